"""Carries out the fault schedule: the one table from the kinds of FaultEvent to what befalls places, proxies and
discovery. It must never choose a target or a time; the schedule has."""

from __future__ import annotations

from collections.abc import Callable

from slatelab.plant.faults import DURABLE_FAULTS, PEER_FAULTS, ActiveFaults, FaultEvent
from slatelab.records import FaultBegan, FaultEnded

from .proxy_supervisor import ProxySupervisor
from .simulated_node import SimulatedNode
from .world import SimulationContext


class Faults:
    def __init__(self, world: SimulationContext, changes: list[FaultEvent]) -> None:
        self.context = world
        self.active_faults = ActiveFaults(world.scenario)
        for change in changes:
            world.clock.call_at(change.at, self._carry_out, change)

    def _carry_out(self, change: FaultEvent) -> None:
        fact = FaultBegan if change.is_start or change.kind not in DURABLE_FAULTS else FaultEnded
        self.context.say(fact(self.context.clock.now, change.fault, change.kind, change.targets))
        for name, condition in self.active_faults.apply(change):
            self.context.simulated_nodes[name].set_condition(condition)
        if change.kind in PEER_FAULTS:
            self.context.peer_network.change(change)
        elif change.kind.startswith("discovery"):
            self.context.discovery.change(change)
        elif change.kind == "proxy-freeze":
            for name in change.targets:
                self.context.proxy_supervisors[name].freeze(change.is_start)
        elif act := ON_POSTS.get(change.kind):
            for name in change.targets:
                act(self.context.proxy_supervisors[name])
        else:
            for name in change.targets:
                self._on_place(self.context.simulated_nodes[name], change)

    def _on_place(self, place: SimulatedNode, change: FaultEvent) -> None:
        kind = change.kind
        if kind in ("kill", "stop"):
            place.crash("killed" if kind == "kill" else "stopped")
        elif kind == "drain":
            place.drain()
        elif kind in ("start", "renew"):
            place.restart(kind == "renew", self.active_faults.conditions_for(place.name))
        elif kind == "reset":
            place.break_some(change.spec.part or 1.0, f"{change.fault} {change.at}")
        elif kind == "black-hole" and self.active_faults.is_black_holed(place.name):
            place.cut = True
        elif kind == "black-hole":
            place.end_isolation()


ON_POSTS: dict[str, Callable[[ProxySupervisor], None]] = {
    "proxy-kill": ProxySupervisor.kill,
    "proxy-stop": ProxySupervisor.stop,
    "proxy-end": ProxySupervisor.cut_short,
    "proxy-start": ProxySupervisor.start,
    "proxy-reload": ProxySupervisor.reload,
}
