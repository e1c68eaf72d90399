"""Measures this proxy's load from the balancer's events and actions. Observing changes nothing in the balancer, and the
memory used does not grow with the traffic."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import exp
from typing import Any, Protocol

from paddlestep.interface import Action, Arrival, Event, Outcome, Refuse, Send, Status

from .load import MAX_CALLS_PER_NODE, MAX_CLASSES, Load, NodeLoad

RATE_SPAN_US = 3_000_000  # time over which rates are averaged
OUTCOME_MEMORY_US = 700_000  # time over which the outcomes of calls to each node are remembered
FAILED = frozenset((Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT))


class BalancerView(Protocol):
    """What is read of the balancer."""

    @property
    def servers(self) -> Mapping[int, Any]: ...
    @property
    def ready(self) -> Sequence[Any]: ...
    @property
    def settings(self) -> Any: ...

    mean_occupied_slots: float
    slots: float
    waiting: int
    ejected_count: int

    def uncrowded_work_us(self) -> float: ...
    def expected_service_us(self, cls: int, /) -> float: ...


class LoadMeter:
    """`batch` observes each batch of the balancer; `read` returns the load. Times are microseconds."""

    def __init__(self, now: int) -> None:
        self.counts = dict.fromkeys(("arrivals", "sends", "further", "refused", "served"), 0)
        self.rates = dict.fromkeys(self.counts, 0.0)
        self.class_counts = [[0, 0] for _ in range(MAX_CLASSES)]  # arrivals, refusals
        self.class_rates = [[0.0, 0.0] for _ in range(MAX_CLASSES)]
        self.classes = 0
        self.started_at = self.read_at = now
        self.open_requests: dict[int, tuple[int, int]] = {}  # request -> its class, its attempts
        self.outcomes: dict[int, list[float]] = {}  # endpoint -> failed and served calls, decaying

    def batch(self, now: int, events: Sequence[Event], actions: Sequence[Action]) -> None:
        """Counts the events and actions of one batch."""
        for event in events:
            if isinstance(event, Arrival):
                self.counts["arrivals"] += 1
                cls = min(event.cls, MAX_CLASSES - 1)
                self.classes = max(self.classes, cls + 1)
                self.class_counts[cls][0] += 1
                self.open_requests[event.request] = (cls, 0)
            elif isinstance(event, Outcome):
                if event.status is Status.OK or event.status in FAILED:
                    self._record_outcome(event.endpoint, event.status is Status.OK)
                self.counts["served"] += event.status is Status.OK
                if event.closed:
                    self.open_requests.pop(event.request, None)
        for action in actions:
            if isinstance(action, Send):
                cls, attempts = self.open_requests.get(action.request, (0, 1))
                self.counts["further" if attempts else "sends"] += 1
                if action.request in self.open_requests:
                    self.open_requests[action.request] = (cls, attempts + 1)
            elif isinstance(action, Refuse):
                self.counts["refused"] += 1
                cls, _ = self.open_requests.pop(action.request, (0, 0))
                self.class_counts[cls][1] += 1
        if len(self.open_requests) > 100_000:  # requests that ended in a way that is not observed here
            self.open_requests.clear()

    def _record_outcome(self, endpoint: int, served: bool) -> None:
        """Recent outcomes weigh most: each one halves the count of the opposite kind. Otherwise, at a node that has
        just gone bad and gets no more calls, the calls served before would outweigh its failures until both are
        forgotten."""
        counts = self.outcomes.setdefault(endpoint, [0.0, 0.0])
        counts[served] += 1
        counts[not served] /= 2

    def read(self, now: int, balancer: BalancerView) -> Load:
        """The rates averaged over RATE_SPAN_US, and what is in flight now."""
        passed = max(1, now - self.read_at)
        self.read_at = now
        # A meter younger than RATE_SPAN_US averages over its lifetime; the time before does not count as zero.
        keep = exp(-passed / min(RATE_SPAN_US, max(passed, now - self.started_at)))
        for name, count in self.counts.items():
            self.rates[name] = self.rates[name] * keep + count * 1e6 / passed * (1 - keep)
            self.counts[name] = 0
        for rates, counts in zip(self.class_rates, self.class_counts, strict=True):
            for i in (0, 1):
                rates[i] = rates[i] * keep + counts[i] * 1e6 / passed * (1 - keep)
                counts[i] = 0
        decay = exp(-passed / OUTCOME_MEMORY_US)
        for endpoint, outcomes in list(self.outcomes.items()):
            server = balancer.servers.get(endpoint)
            if server and server.ejected_until > now and not server.ejected_by_peers:
                # The failures for which a node was ejected count until it is tried again. Otherwise, when proxies with
                # little traffic eject a node one after the other, each for two or three failures, the failures of one
                # are forgotten before those of the next are reported.
                outcomes[1] = 0.0
                continue
            outcomes[:] = [outcomes[0] * decay, outcomes[1] * decay]
            if endpoint not in balancer.servers or max(outcomes) < 0.01:
                del self.outcomes[endpoint]
        per_s = self.rates
        totals = (
            per_s["arrivals"], per_s["sends"], per_s["further"], per_s["refused"], balancer.mean_occupied_slots,
            max(0.0, balancer.slots), float(balancer.waiting), per_s["served"],
        )  # fmt: skip
        classes = tuple((rates[0], rates[1]) for rates in self.class_rates[: self.classes])
        return Load(1, totals, classes, self._nodes(balancer))

    def _nodes(self, balancer: BalancerView) -> dict[int, NodeLoad]:
        """The nodes that this proxy has recently used: a few, even if there are ten thousand."""
        found = {}
        for endpoint, (failed, served) in self.outcomes.items():
            flights = float(balancer.servers[endpoint].in_flight)
            found[endpoint] = NodeLoad(
                flights, 1.0, min(failed, MAX_CALLS_PER_NODE), min(served, MAX_CALLS_PER_NODE)
            )
        return found
