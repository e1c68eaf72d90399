"""Observes a Balancer while it decides about a request, and records the figures behind each decision. This module
defines which of the Balancer's figures are given as a reason. The observer does not change the Balancer's state: it
reads only what has no side effect, and never draws from its random generator. Figures and methods that a module of
another tree does not have are left out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

Totals = dict[str, float]
MAX_RECORDED_PASSES = 3  # passes over one request that are recorded in full; further ones are only counted


@dataclass(frozen=True, slots=True)
class NodeEstimate:
    """The module's figures of one node. Durations are in microseconds, counted from the moment; 0: does not apply."""

    endpoint: int
    state: str
    occupancy: int
    limit: int
    slowness: float
    error_score: float
    class_error_score: float  # error score for the request's class
    ejected_us: int
    paused_us: int
    capacity: float  # share of its full capacity that the module expects of a cold node
    slow_start_credit: float  # calls that a cold node may still be sent
    preferred: bool
    assigned: bool

    @property
    def unavailable_reason(self) -> str:
        """Why the node gets no calls, as far as these figures show it; "" if it may get one."""
        if self.state != "READY":
            return self.state.lower()
        if self.ejected_us:
            return "ejected"
        if self.paused_us:
            return "paused"
        if self.occupancy >= self.limit:
            return "full"
        return "cold" if self.capacity < 1 and self.slow_start_credit < 1 else ""


@dataclass(frozen=True, slots=True)
class Moment:
    """What was observed of a request at one decision. `number` is the request's id in the module."""

    index: int
    now: int
    number: int
    what: str
    why: str = ""
    totals: Totals = field(default_factory=dict)
    estimates: tuple[NodeEstimate, ...] = ()
    chosen: int = 0  # endpoint
    tried: tuple[int, ...] = ()


def node_estimate(balancer: Any, server: Any, cls: int, preferred: set[int]) -> NodeEstimate:
    now = balancer.now
    return NodeEstimate(
        endpoint=server.entry.endpoint,
        state=server.entry.state.name,
        occupancy=server.occupancy(now),
        limit=balancer.concurrency_limit(server),
        slowness=server.slowness(now),
        error_score=server.error_score,
        class_error_score=balancer.class_error_score(server, cls),
        ejected_us=max(0, server.ejected_until - now),
        paused_us=max(0, server.paused_until - now),
        capacity=balancer.capacity(server),
        slow_start_credit=server.slow_start_credit,
        preferred=server.entry.endpoint in preferred,
        assigned=server.assigned,
    )


def totals(balancer: Any, request: Any) -> Totals:
    """Returns the module's figures over all nodes that matter for one request."""
    wanted = max(0, min(request.target, request.deadline) - balancer.now)
    ready = len(balancer.ready)
    return {
        "waiting": balancer.waiting,
        "in flight": balancer.in_flight,
        "room": balancer.admission_limit(
            wanted if balancer.settings.tier == 0 else max(0, request.deadline - balancer.now)
        ),
        "slots": balancer.slots,
        "free": balancer.free_slots,
        "breath": balancer.burst_allowance(),
        "used": balancer.mean_occupied_slots,
        "budget": balancer.retry_budget,
        "expected ms": balancer.expected_service_us(request.cls) / 1000,
        "left ms": (request.deadline - balancer.now) / 1000,
        "ready": ready,
        "ejected": balancer.ejected_count,
    }


class DecisionObserver:
    """Wraps the methods in which the module decides. `record` is called with each moment; `index` is the current batch.
    `missing` are the methods that the module does not have: nothing is observed of them."""

    def __init__(
        self, balancer: Any, request_numbers: Iterable[int], record: Callable[[Moment], None]
    ) -> None:
        self.balancer = balancer
        self.request_numbers = frozenset(request_numbers)
        self.record = record
        self.index = 0
        self.deciding_method = ""  # the method that is deciding about an observed request
        self.tenant_over_allowance = False
        self.pass_counts: dict[int, int] = {}  # how often each request was passed over
        self.newly_queued: dict[int, Any] = {}  # requests queued in the current batch
        self.missing: list[str] = []
        for name in (
            "on_arrival",
            "retry_or_finish",
            "on_overdue",
            "finish_unserved",
            "pick_server",
            "over_allowance",
        ):
            if callable(method := getattr(balancer, name, None)):
                setattr(balancer, name, getattr(self, f"_{name}")(method))
            else:
                self.missing.append(name)

    def _observe(self, request: Any, what: str, why: str = "", chosen: Any = None) -> None:
        b = self.balancer
        try:
            preferred = {server.entry.endpoint for server in b.preferred}
            estimates = tuple(
                node_estimate(b, server, request.cls, preferred) for _, server in sorted(b.servers.items())
            )
            tried = tuple(a.server.entry.endpoint for a in request.attempts)
            endpoint = chosen.entry.endpoint if chosen else 0
            self.record(
                Moment(
                    self.index, b.now, request.id, what, why, totals(b, request), estimates, endpoint, tried
                )
            )
        except AttributeError as error:  # the module of another tree has other attributes
            self.record(Moment(self.index, b.now, request.id, what, f"{why} (no figures: {error})".strip()))

    def batch_over(self) -> None:
        """Ends the current batch: records for each request queued in it that still waits why it waits."""
        for request in self.newly_queued.values():
            if request.queued:
                self._observe(request, "held", self._waiting_reason(request))
        self.newly_queued.clear()
        self.index += 1

    # ------------------------------------------------------------ the methods

    def _on_arrival(self, method: Callable[[Any], None]) -> Callable[[Any], None]:
        def on_arrival(arrival: Any) -> None:
            observed = arrival.request in self.request_numbers
            self.deciding_method, self.tenant_over_allowance = ("arrive" if observed else ""), False
            method(arrival)
            self.deciding_method = ""
            request = self.balancer.requests.get(arrival.request)
            if observed and request and request.queued:
                self.newly_queued[request.id] = request
                self._observe(request, "taken in", "there is room")

        return on_arrival

    def _retry_or_finish(self, method: Callable[[Any, Any], None]) -> Callable[[Any, Any], None]:
        def retry_or_finish(request: Any, status: Any) -> None:
            self.deciding_method = "again" if request.id in self.request_numbers else ""
            method(request, status)
            self.deciding_method = ""
            if request.id in self.request_numbers and request.queued:
                self.newly_queued[request.id] = request
                self._observe(
                    request, "to be tried again", f"ended as {status.name}, and time and budget allow it"
                )

        return retry_or_finish

    def _on_overdue(self, method: Callable[[Any], None]) -> Callable[[Any], None]:
        def on_overdue(request: Any) -> None:
            if request.id in self.request_numbers:
                self._observe(request, "overdue", "its call has taken far longer than expected")
            method(request)

        return on_overdue

    def _finish_unserved(self, method: Callable[[Any], None]) -> Callable[[Any], None]:
        def finish_unserved(request: Any) -> None:
            if request.id in self.request_numbers:
                what = "refused" if self.balancer.retry_is_safe(request) else "failed"
                self._observe(request, what, self._reason(request))
            method(request)

        return finish_unserved

    def _over_allowance(self, method: Callable[[int], bool]) -> Callable[[int], bool]:
        def over_allowance(tenant: int) -> bool:
            self.tenant_over_allowance = method(tenant)
            return self.tenant_over_allowance

        return over_allowance

    def _pick_server(self, method: Callable[[Any], Any]) -> Callable[[Any], Any]:
        def pick_server(request: Any) -> Any:
            server = method(request)
            passes = self.pass_counts.get(request.id, 0)
            if request.id in self.request_numbers and not server:
                self.pass_counts[request.id] = passes + 1
            if request.id in self.request_numbers and (server or passes < MAX_RECORDED_PASSES):
                why = "the soonest answer expected" if server else "no node that it may go to can take it"
                self._observe(request, "sent" if server else "passed over", why, server)
            return server

        return pick_server

    # ------------------------------------------------------------ reasons

    def _reason(self, request: Any) -> str:
        """Returns which comparison ended the request. The module has just made it on the same figures."""
        b = self.balancer
        try:
            if self.deciding_method == "arrive":
                return self._refusal_reason(request)
            left, expected = request.deadline - b.now, b.expected_service_us(request.cls)
            if self.deciding_method != "again":
                return self._timeout_reason(request)
            if not b.allowed_servers(request):
                return f"no node that the rules allow a further try at, after {len(request.attempts)}"
            if left <= expected / 2:
                return f"{left / 1000:.1f} ms left, less than half of the {expected / 1000:.1f} ms expected"
            return f"retry budget {b.retry_budget:.2f} < 1"
        except AttributeError as error:
            return f"(this module knows no {error.name})"

    def _refusal_reason(self, request: Any) -> str:
        b = self.balancer
        front = b.settings.tier == 0
        room = b.admission_limit((request.target if front else request.deadline) - b.now)
        if len(b.ready) > b.ejected_count and b.waiting + b.in_flight >= room:
            return f"{b.waiting} waiting + {b.in_flight} in flight >= room for {room:.2f}"
        cause = "its tenant is over its allowance"
        if not self.tenant_over_allowance:
            left, expected = request.deadline - b.now, b.expected_service_us(request.cls)
            cause = f"{left / 1000:.1f} ms left, {expected / 1000:.1f} ms expected"
        busy = (
            f"{b.waiting} waiting"
            if b.waiting
            else f"used {b.mean_occupied_slots:.2f} > 0.8 of {b.slots:.2f} slots"
        )
        return f"{cause}, and {busy}"

    def _waiting_reason(self, request: Any) -> str:
        b = self.balancer
        try:
            ahead = sum(one.queued for one in list(b.queue)[: b.queue.index(request)])
            room = b.free_slots + b.burst_allowance()
            if room < 0.5 and (b.in_flight or b.mean_occupied_slots > b.slots):
                return f"free slots {b.free_slots:.2f} + breath {b.burst_allowance():.2f} < 0.5, {ahead} ahead of it"
            return f"{ahead} ahead of it" if ahead else "no node that it may go to has room"
        except (AttributeError, ValueError):
            return ""

    def _timeout_reason(self, request: Any) -> str:
        now = self.balancer.now
        if (
            request.queue_deadline
            and now >= request.queue_deadline
            and now < request.deadline - self.balancer.settings.tick_us
        ):
            return "had waited so long that an answer would come after its aim"
        return "its time was up"
