"""Looks at a Balancer while it decides about one request, and notes what it sees. It owns which of the module's own
figures count as a reason. It must never change the module's state: it reads only what can be read without a trace, and
never draws from its dice. What a module of another tree does not have is left out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

Sums = dict[str, float]
LOOKS = 3  # at a request that is passed over again and again; from then on these are counted


@dataclass(frozen=True, slots=True)
class Belief:
    """What the module held of one node. Times in microseconds from the moment on; 0: not so."""

    endpoint: int
    state: str
    held: int
    limit: int
    slowness: float
    badness: float
    suspicion: float  # badness for the request's class
    ejected_us: int
    paused_us: int
    capacity: float  # share of its full capacity that a cold node is relied on for
    credit: float  # calls that a cold node may still be sent
    near: bool
    home: bool

    @property
    def why_not(self) -> str:
        """What keeps calls off it, as far as it shows here."""
        if self.state != "READY":
            return self.state.lower()
        if self.ejected_us:
            return "ejected"
        if self.paused_us:
            return "paused"
        if self.held >= self.limit:
            return "full"
        return "cold" if self.capacity < 1 and self.credit < 1 else ""


@dataclass(frozen=True, slots=True)
class Moment:
    """One look at a request, numbered as the module does."""

    index: int
    now: int
    number: int
    what: str
    why: str = ""
    sums: Sums = field(default_factory=dict)
    beliefs: tuple[Belief, ...] = ()
    chosen: int = 0  # endpoint
    tried: tuple[int, ...] = ()


def belief(balancer: Any, server: Any, cls: int, near: set[int]) -> Belief:
    now = balancer.now
    return Belief(
        endpoint=server.entry.endpoint,
        state=server.entry.state.name,
        held=server.occupancy(now),
        limit=balancer.concurrency_limit(server),
        slowness=server.slowness(now),
        badness=server.error_score,
        suspicion=balancer.class_error_score(server, cls),
        ejected_us=max(0, server.ejected_until - now),
        paused_us=max(0, server.paused_until - now),
        capacity=balancer.capacity(server),
        credit=server.slow_start_credit,
        near=server.entry.endpoint in near,
        home=server.assigned,
    )


def sums(balancer: Any, request: Any) -> Sums:
    """The module's figures over all nodes, as they bear on one request."""
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


class Witness:
    """Stands beside the methods in which the module decides. `note` gets what was seen; `index`: the batch in play."""

    def __init__(self, balancer: Any, numbers: Iterable[int], note: Callable[[Moment], None]) -> None:
        self.balancer = balancer
        self.numbers = frozenset(numbers)
        self.note = note
        self.index = 0
        self.doing = ""  # the method that is deciding about one of ours
        self.over_share = False
        self.passed: dict[int, int] = {}  # how often a request was passed over
        self.fresh: dict[int, Any] = {}  # requests that came to wait in the batch in play
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

    def _see(self, request: Any, what: str, why: str = "", chosen: Any = None) -> None:
        b = self.balancer
        try:
            near = {server.entry.endpoint for server in b.preferred}
            beliefs = tuple(belief(b, server, request.cls, near) for _, server in sorted(b.servers.items()))
            tried = tuple(a.server.entry.endpoint for a in request.attempts)
            endpoint = chosen.entry.endpoint if chosen else 0
            self.note(
                Moment(self.index, b.now, request.id, what, why, sums(b, request), beliefs, endpoint, tried)
            )
        except AttributeError as problem:  # another tree's module knows other figures
            self.note(Moment(self.index, b.now, request.id, what, f"{why} (no figures: {problem})".strip()))

    def batch_over(self) -> None:
        """The batch has been played: who came to wait in it and still does, is told why."""
        for request in self.fresh.values():
            if request.queued:
                self._see(request, "held", self._kept(request))
        self.fresh.clear()
        self.index += 1

    # ------------------------------------------------------------ the methods

    def _on_arrival(self, method: Callable[[Any], None]) -> Callable[[Any], None]:
        def arrive(arrival: Any) -> None:
            mine = arrival.request in self.numbers
            self.doing, self.over_share = ("arrive" if mine else ""), False
            method(arrival)
            self.doing = ""
            request = self.balancer.requests.get(arrival.request)
            if mine and request and request.queued:
                self.fresh[request.id] = request
                self._see(request, "taken in", "there is room")

        return arrive

    def _retry_or_finish(self, method: Callable[[Any, Any], None]) -> Callable[[Any, Any], None]:
        def again(request: Any, status: Any) -> None:
            self.doing = "again" if request.id in self.numbers else ""
            method(request, status)
            self.doing = ""
            if request.id in self.numbers and request.queued:
                self.fresh[request.id] = request
                self._see(
                    request, "to be tried again", f"ended as {status.name}, and time and budget allow it"
                )

        return again

    def _on_overdue(self, method: Callable[[Any], None]) -> Callable[[Any], None]:
        def overdue(request: Any) -> None:
            if request.id in self.numbers:
                self._see(request, "overdue", "its call has taken far longer than expected")
            method(request)

        return overdue

    def _finish_unserved(self, method: Callable[[Any], None]) -> Callable[[Any], None]:
        def finish(request: Any) -> None:
            if request.id in self.numbers:
                what = "refused" if self.balancer.retry_is_safe(request) else "failed"
                self._see(request, what, self._reason(request))
            method(request)

        return finish

    def _over_allowance(self, method: Callable[[int], bool]) -> Callable[[int], bool]:
        def over_share(tenant: int) -> bool:
            self.over_share = method(tenant)
            return self.over_share

        return over_share

    def _pick_server(self, method: Callable[[Any], Any]) -> Callable[[Any], Any]:
        def pick(request: Any) -> Any:
            server = method(request)
            passes = self.passed.get(request.id, 0)
            if request.id in self.numbers and not server:
                self.passed[request.id] = passes + 1
            if request.id in self.numbers and (server or passes < LOOKS):
                why = "the soonest answer expected" if server else "no node that it may go to can take it"
                self._see(request, "sent" if server else "passed over", why, server)
            return server

        return pick

    # ------------------------------------------------------------ reasons

    def _reason(self, request: Any) -> str:
        """Which comparison ended it. The module has just made it, on the same figures."""
        b = self.balancer
        try:
            if self.doing == "arrive":
                return self._turned_away(request)
            left, expected = request.deadline - b.now, b.expected_service_us(request.cls)
            if self.doing != "again":
                return self._timed_out(request)
            if not b.allowed_servers(request):
                return f"no node that the rules allow a further try at, after {len(request.attempts)}"
            if left <= expected / 2:
                return f"{left / 1000:.1f} ms left, less than half of the {expected / 1000:.1f} ms expected"
            return f"retry budget {b.retry_budget:.2f} < 1"
        except AttributeError as problem:
            return f"(this module knows no {problem.name})"

    def _turned_away(self, request: Any) -> str:
        b = self.balancer
        front = b.settings.tier == 0
        room = b.admission_limit((request.target if front else request.deadline) - b.now)
        if len(b.ready) > b.ejected_count and b.waiting + b.in_flight >= room:
            return f"{b.waiting} waiting + {b.in_flight} in flight >= room for {room:.2f}"
        cause = "its tenant is over its allowance"
        if not self.over_share:
            left, expected = request.deadline - b.now, b.expected_service_us(request.cls)
            cause = f"{left / 1000:.1f} ms left, {expected / 1000:.1f} ms expected"
        busy = (
            f"{b.waiting} waiting"
            if b.waiting
            else f"used {b.mean_occupied_slots:.2f} > 0.8 of {b.slots:.2f} slots"
        )
        return f"{cause}, and {busy}"

    def _kept(self, request: Any) -> str:
        b = self.balancer
        try:
            ahead = sum(one.queued for one in list(b.queue)[: b.queue.index(request)])
            room = b.free_slots + b.burst_allowance()
            if room < 0.5 and (b.in_flight or b.mean_occupied_slots > b.slots):
                return f"free slots {b.free_slots:.2f} + breath {b.burst_allowance():.2f} < 0.5, {ahead} ahead of it"
            return f"{ahead} ahead of it" if ahead else "no node that it may go to has room"
        except (AttributeError, ValueError):
            return ""

    def _timed_out(self, request: Any) -> str:
        now = self.balancer.now
        if (
            request.queue_deadline
            and now >= request.queue_deadline
            and now < request.deadline - self.balancer.settings.tick_us
        ):
            return "had waited so long that an answer would come after its aim"
        return "its time was up"
