"""Drives a Balancer in tests with a manual clock."""

from __future__ import annotations

from typing import Any

from paddlestep import (
    Action,
    Arrival,
    Balancer,
    Effect,
    Entry,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Outcome,
    Refuse,
    Send,
    ServiceClass,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)

MS = 1_000
S = 1_000_000
SAFE = ServiceClass("safe", Effect.SAFE, aim_us=1 * S, deadline_us=2 * S)
UNSAFE = ServiceClass("unsafe", Effect.UNSAFE, aim_us=1 * S, deadline_us=2 * S)


def settings(*classes: ServiceClass, **more: Any) -> Settings:
    base: dict[str, Any] = {
        "max_attempts": 3,
        "may_cancel": True,
        "answer_slack_us": 8 * MS,
        "cold_from": 0.2,
        "warm_after_us": 10 * S,
        "fall_multiple": 2.0,
        "tip_after_us": 1 * S,
    }
    return Settings(classes=classes or (SAFE,), **(base | more))


class Driver:
    """Feeds events to a Balancer and advances its clock; due timers fire automatically. `done` collects all actions."""

    def __init__(self, config: Settings, servers: int | list[Entry] = 2, seed: int = 1) -> None:
        self.balancer = Balancer(config, seed)
        self.now = 100 * S
        self.timers: list[tuple[int, int]] = []
        self.done: list[Action] = []
        entries = [Entry(i + 1) for i in range(servers)] if isinstance(servers, int) else servers
        self.give(ListUpdate(ListKind.CACHED, 1, tuple(entries)))

    def give(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        self.timers += [(self.now + a.delay_us, a.token) for a in actions if isinstance(a, SetTimer)]
        self.done += actions
        return [a for a in actions if not isinstance(a, SetTimer | Log)]

    def wait(self, us: int) -> list[Action]:
        end, out = self.now + us, []
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            out += self.give(TimerFired(due[0][1]))
        self.now = end
        return out

    def ask(self, request: int, cls: int = 0, left: int = 2 * S, tenant: int = 0) -> list[Action]:
        return self.give(Arrival(request, cls, tenant=tenant, left_us=left))

    def end(
        self,
        request: int,
        status: Status = Status.OK,
        attempt: int = 0,
        latency: int = 20 * MS,
        over: bool = False,
    ) -> list[Action]:
        sent = [a for a in self.done if isinstance(a, Send) and a.request == request]
        endpoint = sent[attempt].endpoint
        closed = over or status is Status.OK
        return self.give(Outcome(request, attempt, endpoint, status, latency, closed))

    def serve(self, first: int, count: int, latency: int = 20 * MS) -> None:
        """Sends requests one after another, each answered before the next."""
        for request in range(first, first + count):
            self.ask(request)
            self.now += latency
            self.end(request, latency=latency)


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def finals(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Refuse | Fail)]
