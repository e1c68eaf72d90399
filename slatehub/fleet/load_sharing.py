"""Reports this proxy's load to the fleet and passes the fleet's load to the decision module as `Peers` events. Does no
I/O. Decides when a new event is due. Every event comes from `decisions.fleet.policy`, which clamps its values, and
expires on its own if it is not renewed."""

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

EVALUATION_INTERVAL_US = 250_000
# An event for the decision module expires after this unless it is renewed.
PEERS_EVENT_TTL_US = 4 * EVALUATION_INTERVAL_US


class LoadSharing:
    """`balancer`: returns the current decision module; `on_peers`: takes an event for it, with the time and the
    expiry time. `observe_batch` is called with each batch of the decision module's events and actions."""

    def __init__(
        self,
        membership: Membership,
        now: int,
        balancer: Callable[[], BalancerView],
        on_peers: Callable[[int, Peers, int], None],
    ) -> None:
        self.membership, self.balancer, self.on_peers = membership, balancer, on_peers
        self.meter = LoadMeter(now)
        self.policy = FleetPolicy(membership.self_record.name)
        self.aggregation = LoadAggregation(membership, self._measure_own_load)
        self.next_evaluation = now
        self.own_load = Load()
        self.ejected: frozenset[int] = frozenset()
        self.last_event = Peers()

    def observe_batch(self, now: int, events: list[Any], actions: list[Any]) -> None:
        """Measures a batch of the decision module's events and actions; reports newly ejected nodes at once."""
        self.meter.batch(now, events, actions)
        module = self.balancer()
        if module.ejected_count or self.ejected:  # a node newly ejected here is reported at once
            ejected = frozenset(
                n for n, s in module.servers.items() if s.ejected_until > now and not s.ejected_by_peers
            )
            if ejected - self.ejected:
                self.aggregation.send_soon(now)
            self.ejected = ejected

    def _measure_own_load(self, now: int) -> Load:
        self.own_load = self.meter.read(now, self.balancer())
        return self.own_load

    def next_deadline(self) -> int:
        """The time at which `advance` should be called next, microseconds."""
        return min(self.next_evaluation, self.aggregation.next_deadline())

    def advance(self, now: int) -> None:
        """Sends what is due, and passes a new event to the decision module when one is due."""
        self.aggregation.advance(now)
        if self.next_evaluation > now and self.aggregation.total_at != now:
            return
        self.next_evaluation = now + EVALUATION_INTERVAL_US
        aggregation = self.aggregation
        alive = [
            m.record.name for m in self.membership.member_table.members.values() if m.record.state == ALIVE
        ]
        age = aggregation.age(now) if aggregation.total else MAX_SUM_AGE_US + 1
        if self.policy.avoided_nodes:
            servers = self.balancer().servers
            self.policy.nodes_restarted(
                {n: servers[n].started_at for n in self.policy.avoided_nodes if n in servers}
            )
        module = self.balancer()
        values = tuple(
            c.worth / max(1.0, module.expected_service_us(i)) for i, c in enumerate(module.settings.classes)
        )
        local_estimate = LocalEstimate(
            len(module.ready) - module.ejected_count, module.uncrowded_work_us(), values
        )
        event = self.policy.evaluate(now, self.own_load, aggregation.total, age, alive, local_estimate)
        if event.alive or self.last_event.alive:
            self.on_peers(now, event, now + PEERS_EVENT_TTL_US)
        self.last_event = event

    def status(self, now: int) -> dict[str, Any]:
        """A summary for operators."""
        fleet, event = self.aggregation.total, self.last_event
        age = round(self.aggregation.age(now) / 1e6, 2) if fleet else None
        return {
            "in_use": bool(event.alive), "part": round(event.part, 4), "idle": event.idle,
            "further_allowed": event.further,
            "all_short": bool(event.worth), "trim": round(self.policy.share_correction, 2),
            "call_ms": round(event.work / 1000, 2),
            "left_to_others": len(event.barred), "sum_of": fleet.members if fleet else 0, "sum_age_s": age,
            "arrivals_per_s": round(fleet.arrivals, 1) if fleet else None,
            "tries": round(1 + fleet.retry_ratio, 3) if fleet else None,
            "refused_sums": self.aggregation.rejected_count,
        }  # fmt: skip
