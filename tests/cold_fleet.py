"""Many independent proxies with nodes that have just started, on virtual time. Compares the calls that all of them,
with the real decision module, send to each cold node with the number that the settings allow."""

from __future__ import annotations

from dataclasses import replace
from heapq import heappop, heappush
from math import sqrt
from random import Random

from paddlestep import (
    Arrival,
    Effect,
    Entry,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    Send,
    ServiceClass,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)
from paddlestep.balance import Balancer

S = 1_000_000
BEGIN, WARM_UP_S = 100 * S, 6
COLD_FROM, WARM_US, TIP_US = 0.3, 9 * S, 1_500_000


class Day:
    """`count` proxies serve for some seconds with `nodes` nodes, of which `cold` are then restarted. Afterwards either
    requests continue, or (`burst`) there are none for five seconds and then three at once at every proxy. `told`: the
    number of siblings in the settings; `skew`: some proxies get several times the mean load."""

    def __init__(
        self, count: int, seed: int, burst: bool, nodes: int = 4, cold: int = 4, work_us: int = 200_000,
        multiple: float = 3.0, told: int = 0, skew: bool = False,
    ) -> None:  # fmt: skip
        self.rng = Random(seed)
        self.nodes, self.cold, self.work_us, self.multiple = nodes, cold, work_us, multiple
        told = told or count
        kind = ServiceClass("orders", Effect.UNSAFE, aim_us=2 * S, deadline_us=4 * S)
        terms = Settings(
            (kind,), siblings=told, tick_us=5_000, cold_from=COLD_FROM, warm_after_us=WARM_US,
            fall_multiple=multiple, tip_after_us=TIP_US,
        )  # fmt: skip
        self.proxies = [Balancer(replace(terms, me=i % told), seed * 1000 + i) for i in range(count)]
        self.restart = BEGIN + WARM_UP_S * S
        self.due: list[tuple[int, int, int, Event]] = []
        self.sent: dict[int, list[int]] = {node: [] for node in range(1, cold + 1)}
        self.asked = self.served = 0
        self._plan(burst, [self.rng.expovariate(1) if skew else 1.0 for _ in self.proxies])
        self._play(self.restart + WARM_US)

    def _at(self, t: int, proxy: int, event: Event) -> None:
        heappush(self.due, (t, self.asked + len(self.due) + self.served, proxy, event))

    def _plan(self, burst: bool, weights: list[float]) -> None:
        listed = ListUpdate(ListKind.CACHED, 1, tuple(Entry(n + 1) for n in range(self.nodes)))
        started = ListUpdate(ListKind.DELTA, 2, tuple(Entry(n, since_us=self.restart) for n in self.sent))
        t, request = BEGIN, 0
        for i in range(len(self.proxies)):
            self._at(BEGIN, i, listed)
            self._at(self.restart + self.rng.randrange(100_000), i, started)
        asks = []
        while (t := t + int(self.rng.expovariate(0.6 * self.nodes / self.work_us))) < self.restart + WARM_US:
            asks.append((t, self.rng.choices(range(len(weights)), weights)[0]))
        if burst:
            asks = [ask for ask in asks if not self.restart <= ask[0] < self.restart + 5 * S]
            moment = self.restart + 5 * S
            asks += [(moment + self.rng.randrange(20_000), i) for i in range(len(weights)) for _ in range(3)]
        for t, i in asks:
            request += 1
            self.asked += t > self.restart
            self._at(t, i, Arrival(request, 0, left_us=4 * S))

    def _play(self, end: int) -> None:
        order = 10**9
        while self.due and self.due[0][0] <= end:
            now, _, proxy, event = heappop(self.due)
            for action in self.proxies[proxy].handle(now, [event]):
                order += 1
                if isinstance(action, SetTimer):
                    heappush(self.due, (now + action.delay_us, order, proxy, TimerFired(action.token)))
                elif isinstance(action, Send):
                    took = int(
                        self.work_us / self._capacity(action.endpoint, now) * self.rng.uniform(0.6, 1.4)
                    )
                    over = Outcome(action.request, 0, action.endpoint, Status.OK, took, True)
                    heappush(self.due, (now + took, order, proxy, over))
                    if now >= self.restart and action.endpoint in self.sent:
                        self.sent[action.endpoint].append(now)
            self.served += isinstance(event, Outcome) and now > self.restart

    def _capacity(self, node: int, now: int) -> float:
        if node not in self.sent or now < self.restart:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.restart) / WARM_US)

    def excess(self) -> float:
        """By how many calls the worst window at any cold node exceeds its limit plus a margin for chance. Below 0: no
        window exceeds it."""
        worst = -sqrt(1e9)
        for node, sent in self.sent.items():
            for i, t in enumerate(sent):
                window = sum(t - TIP_US < x <= t for x in sent[: i + 1])
                began = max(self.restart, t - TIP_US)
                budget = self.multiple * self._capacity(node, began) * TIP_US / self.work_us
                worst = max(worst, window - budget - 2 * sqrt(budget) - 2)
        return worst
