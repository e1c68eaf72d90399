"""The audit at the end of tests. It converts the events that callers, nodes and discovery observed into facts for the
lab's judge, and checks that all counts of an idle dispatcher are back at zero. The judge checks all other rules."""

from __future__ import annotations

from typing import Any

from paddlestep.interface import Status
from slatehub.core.dispatcher import Dispatcher
from slatehub.core.jobs import Attempt
from slatelab.judge import judge
from slatelab.records import (
    Answered,
    Asked,
    Began,
    BrokenOff,
    Came,
    Down,
    GaveUp,
    ProxyDown,
    ProxyUp,
    Record,
    Replied,
    Told,
    Up,
)
from slatelab.scenario import parse

NEVER_ARRIVED = (Status.CONNECT_FAILED, Status.MOOT)
HTTP_STATUS = {Status.OK: 200, Status.ERROR: 500, Status.FULL: 503}


class Audit:
    """One proxy "p" of one tier. `slack`: the allowed lateness of an answer. Times are in microseconds."""

    def __init__(
        self, safe: tuple[str, ...], unsafe: tuple[str, ...], slack: str = "50 ms", **proxy: Any
    ) -> None:
        classes = [{"name": name, "effect": "safe", "work": {"mean": "20 ms"}} for name in safe]
        classes += [{"name": name, "work": {"mean": "20 ms"}} for name in unsafe]
        cold = {"from": 0.3, "for": "9 s"}
        self.scenario = parse({
            "scenario": {"name": "audit", "duration": "60 s"}, "proxy": {"second_copies": False, **proxy},
            "rules": {"answer_slack": slack}, "class": classes, "arrivals": [{"kind": "poisson", "rate": "1/s"}],
            "tier": [{"name": "front", "kind": [{"name": "std", "nodes": 1, "cold": cold}]}],
        })  # fmt: skip
        self.facts: list[Record] = [ProxyUp(0, "p", 0)]

    # ------------------------------------------------------------ callers

    def asked(self, t: int, request: str, cls: str, until: int) -> None:
        self.facts.append(Asked(t, request, 0, "c", "p", 0, cls, "", t, until))

    def answered(self, t: int, request: str, status: int, token: str = "") -> None:
        self.facts.append(Answered(t, request, status, token if status == 200 else ""))

    def left(self, t: int, request: str) -> None:
        self.facts.append(GaveUp(t, request))

    def broken_off(self, t: int, request: str) -> None:
        self.facts.append(BrokenOff(t, request, True, "closed"))

    # ------------------------------------------------------------ nodes, discovery

    def came(self, t: int, node: str, request: str, work_us: int = 0, life: int = 0) -> None:
        self.facts.append(Came(t, node, life, request, "p", work_us, t))

    def replied(
        self,
        t: int,
        node: str,
        request: str,
        status: int,
        turned: bool = False,
        token: str = "",
        life: int = 0,
    ) -> None:
        if not turned:
            self.facts.append(Began(t, node, life, request))
        self.facts.append(Replied(t, node, life, request, "p", status, turned, token))

    def ended(self, t: int, attempt: Attempt, status: Status, token: str) -> None:
        """An attempt of a dispatcher has ended. The facts about its node follow from the status."""
        if status in NEVER_ARRIVED:
            return
        node, request = str(attempt.endpoint), attempt.job.request_id
        self.came(attempt.sent_at, node, request)
        if status in HTTP_STATUS:
            self.replied(
                t,
                node,
                request,
                HTTP_STATUS[status],
                status is Status.FULL,
                token if status is Status.OK else "",
            )
        else:
            self.facts.append(
                Began(attempt.sent_at, node, 0, request)
            )  # it may have run, so it counts as run

    def told(self, t: int, node: str, phase: str) -> None:
        self.facts.append(Told(t, "p", node, phase))

    def starts(self, t: int, node: str, life: int, cold: bool) -> None:
        self.facts.append(Up(t, node, life, 0, 1.0, 0.3 if cold else 1.0, 9_000_000 if cold else 0))
        self.facts.append(Told(t, "p", node, "SERVING", t if cold else 0))

    def fell(self, t: int, node: str, life: int) -> None:
        self.facts.append(Down(t, node, life, "fell"))

    def crashed(self, t: int) -> None:
        self.facts.append(ProxyDown(t, "p", "crashed"))

    # ------------------------------------------------------------ verdict

    def check(self) -> None:
        ruling = judge(self.scenario, self.facts)
        assert ruling.passed, "\n".join(f"{ruling.counts}\n{v.explain()}" for v in ruling.violations[:3])


def assert_idle(dispatcher: Dispatcher) -> None:
    """Checks a dispatcher without jobs: every count must be back at zero, and the sums must equal those of the present
    servers."""
    module = dispatcher.balancer
    assert (
        not dispatcher.job_table.jobs
        and not dispatcher.job_table.by_request_id
        and dispatcher.job_table.next_deadline() is None
    ), "jobs are kept"
    assert not module.requests and not module.waiting and not module.in_flight, "the module counts requests"
    assert all(s.in_flight == 0 for s in module.servers.values()), "calls in flight are counted at a server"
    assert len(dispatcher.timers) == len(dispatcher.timer_tokens) <= 4, "timers accumulate"
    assert all(module.concurrency_limit(s) >= 1 for s in module.ready), "a server is not allowed any call"
    open_now = [s for s in module.ready if max(s.ejected_until, s.paused_until) <= module.now]
    for s in module.servers.values():
        module.refresh_sums(s)
    assert abs(module.slots - sum(module.concurrency_share(s) for s in open_now)) < 1e-6, (
        "the slots include servers that are not present"
    )
    assert module.ejected_count == sum(s.ejected_until > module.now for s in module.ready), (
        "ejections are miscounted"
    )
