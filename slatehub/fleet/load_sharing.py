"""This proxy's load, told to the others, and theirs as the module hears of it. Pure. It owns when the module is told
anew. It must never tell what `decisions.fleet.policy` has not clamped, nor let that stand longer than it stays true."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from paddlestep.interface import Peers

from ..decisions.fleet.load import Load
from ..decisions.fleet.meter import BalancerView, LoadMeter
from ..decisions.fleet.policy import MAX_SUM_AGE_US, FleetPolicy, LocalEstimate
from .aggregation import LoadAggregation
from .membership import Membership
from .messages import ALIVE

LOOK_US = 250_000
LASTS_US = 4 * LOOK_US  # what the module is told ends then, if it is not told anew


class LoadSharing:
    """`module`: the decision module as it is now; `hear`: where an event for it goes, with the time and its end. As the
    desk's teller it sees each turn."""

    def __init__(
        self,
        members: Membership,
        now: int,
        module: Callable[[], BalancerView],
        hear: Callable[[int, Peers, int], None],
    ) -> None:
        self.members, self.module, self.hear = members, module, hear
        self.meter = LoadMeter(now)
        self.views = FleetPolicy(members.self_record.name)
        self.aggregation = LoadAggregation(members, self._own)
        self.next = now
        self.load = Load()
        self.ejected: frozenset[int] = frozenset()
        self.told = Peers()

    def observe_batch(self, now: int, events: list[Any], actions: list[Any]) -> None:
        self.meter.batch(now, events, actions)
        module = self.module()
        if module.ejected_count or self.ejected:  # a node that we have found bad is news that cannot wait
            ejected = frozenset(
                n for n, s in module.servers.items() if s.ejected_until > now and not s.ejected_by_peers
            )
            if ejected - self.ejected:
                self.aggregation.hurry(now)
            self.ejected = ejected

    def _own(self, now: int) -> Load:
        self.load = self.meter.read(now, self.module())
        return self.load

    def due(self) -> int:
        return min(self.next, self.aggregation.due())

    def advance(self, now: int) -> None:
        self.aggregation.advance(now)
        if self.next > now and self.aggregation.told_at != now:
            return
        self.next = now + LOOK_US
        sums = self.aggregation
        alive = [m.record.name for m in self.members.member_table.members.values() if m.record.state == ALIVE]
        age = sums.age(now) if sums.total else MAX_SUM_AGE_US + 1
        if self.views.avoided_nodes:
            servers = self.module().servers
            self.views.nodes_restarted(
                {n: servers[n].started_at for n in self.views.avoided_nodes if n in servers}
            )
        module = self.module()
        values = tuple(
            c.worth / max(1.0, module.expected_service_us(i)) for i, c in enumerate(module.settings.classes)
        )
        alone = LocalEstimate(len(module.ready) - module.ejected_count, module.uncrowded_work_us(), values)
        news = self.views.evaluate(now, self.load, sums.total, age, alive, alone)
        if news.alive or self.told.alive:
            self.hear(now, news, now + LASTS_US)
        self.told = news

    def shown(self, now: int) -> dict[str, Any]:
        """For operators."""
        fleet, told = self.aggregation.total, self.told
        age = round(self.aggregation.age(now) / 1e6, 2) if fleet else None
        return {
            "in_use": bool(told.alive), "part": round(told.part, 4), "idle": told.idle, "further_allowed": told.further,
            "all_short": bool(told.worth), "trim": round(self.views.share_correction, 2),
            "call_ms": round(told.work / 1000, 2),
            "left_to_others": len(told.barred), "sum_of": fleet.members if fleet else 0, "sum_age_s": age,
            "arrivals_per_s": round(fleet.arrivals, 1) if fleet else None,
            "tries": round(1 + fleet.retry_ratio, 3) if fleet else None, "refused_sums": self.aggregation.refused,
        }  # fmt: skip
