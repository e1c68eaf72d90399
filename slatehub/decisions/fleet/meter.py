"""What this proxy carries, read off the module's events and actions. It owns the counts. It must never change what it
watches, and never grow with what passes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import exp
from typing import Any, Protocol

from paddlestep.interface import Action, Arrival, Event, Outcome, Refuse, Send, Status

from .load import CALLS_MOST, CLASSES_MOST, Load, NodeLoad

SPAN_US = 3_000_000  # over which rates are averaged
ENDS_US = 700_000  # over which the ends of calls at each node are remembered
FAILED = frozenset((Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT))


class Module(Protocol):
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


class Meter:
    """`batch` sees each turn of the module; `read` gives the load."""

    def __init__(self, now: int) -> None:
        self.counts = dict.fromkeys(("arrivals", "sends", "further", "refused", "served"), 0)
        self.rates = dict.fromkeys(self.counts, 0.0)
        self.by_class = [[0, 0] for _ in range(CLASSES_MOST)]
        self.class_rates = [[0.0, 0.0] for _ in range(CLASSES_MOST)]
        self.classes = 0
        self.began = self.at = now
        self.open: dict[int, tuple[int, int]] = {}  # request -> its class, its attempts
        self.ends: dict[int, list[float]] = {}  # node -> failed and served calls, fading

    def batch(self, now: int, events: Sequence[Event], actions: Sequence[Action]) -> None:
        for event in events:
            if isinstance(event, Arrival):
                self.counts["arrivals"] += 1
                cls = min(event.cls, CLASSES_MOST - 1)
                self.classes = max(self.classes, cls + 1)
                self.by_class[cls][0] += 1
                self.open[event.request] = (cls, 0)
            elif isinstance(event, Outcome):
                if event.status is Status.OK or event.status in FAILED:
                    self._end(event.endpoint, event.status is Status.OK)
                self.counts["served"] += event.status is Status.OK
                if event.closed:
                    self.open.pop(event.request, None)
        for action in actions:
            if isinstance(action, Send):
                cls, attempts = self.open.get(action.request, (0, 1))
                self.counts["further" if attempts else "sends"] += 1
                if action.request in self.open:
                    self.open[action.request] = (cls, attempts + 1)
            elif isinstance(action, Refuse):
                self.counts["refused"] += 1
                cls, _ = self.open.pop(action.request, (0, 0))
                self.by_class[cls][1] += 1
        if len(self.open) > 100_000:  # requests that ended in a way that this does not see
            self.open.clear()

    def _end(self, node: int, served: bool) -> None:
        """The latest says most: each end halves what spoke for the other. Guards against a node that has just gone bad
        and is asked no more: what it served before would outweigh its failures until both are forgotten."""
        ends = self.ends.setdefault(node, [0.0, 0.0])
        ends[served] += 1
        ends[not served] /= 2

    def read(self, now: int, module: Module) -> Load:
        """Rates over some seconds, and what is out now."""
        passed = max(1, now - self.at)
        self.at = now
        # While it is young the average is of what there has been, not of that and of nothing before.
        keep = exp(-passed / min(SPAN_US, max(passed, now - self.began)))
        for name, count in self.counts.items():
            self.rates[name] = self.rates[name] * keep + count * 1e6 / passed * (1 - keep)
            self.counts[name] = 0
        for rates, counts in zip(self.class_rates, self.by_class, strict=True):
            for i in (0, 1):
                rates[i] = rates[i] * keep + counts[i] * 1e6 / passed * (1 - keep)
                counts[i] = 0
        fade = exp(-passed / ENDS_US)
        for number, ends in list(self.ends.items()):
            server = module.servers.get(number)
            if server and server.ejected_until > now and not server.ejected_by_peers:
                # What it was ejected for counts until it is tried again. Guards against proxies of little traffic that
                # eject a node one after the other: each of two failures or three, forgotten before the next one's.
                ends[1] = 0.0
                continue
            ends[:] = [ends[0] * fade, ends[1] * fade]
            if number not in module.servers or max(ends) < 0.01:
                del self.ends[number]
        per_s = self.rates
        plain = (
            per_s["arrivals"], per_s["sends"], per_s["further"], per_s["refused"],
            module.mean_occupied_slots, max(0.0, module.slots), float(module.waiting), per_s["served"],
        )  # fmt: skip
        classes = tuple((rates[0], rates[1]) for rates in self.class_rates[: self.classes])
        return Load(1, plain, classes, self._nodes(module))

    def _nodes(self, module: Module) -> dict[int, NodeLoad]:
        """Those that this proxy has had to do with: of ten thousand it tells of a few."""
        told = {}
        for number, (failed, served) in self.ends.items():
            flights = float(module.servers[number].in_flight)
            told[number] = NodeLoad(flights, 1.0, min(failed, CALLS_MOST), min(served, CALLS_MOST))
        return told
