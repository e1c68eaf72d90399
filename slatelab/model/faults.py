"""Applies the fault schedule: maps each kind of FaultEvent to its effect on nodes, proxies and discovery. The
schedule alone chooses targets and times."""

from __future__ import annotations

from collections.abc import Callable

from slatelab.plant.faults import DURABLE_FAULTS, PEER_FAULTS, ActiveFaults, FaultEvent
from slatelab.records import FaultBegan, FaultEnded

from .proxy_supervisor import ProxySupervisor
from .simulated_node import SimulatedNode
from .world import SimulationContext


class Faults:
    """Schedules the fault events of a run and applies each at its time."""

    def __init__(self, context: SimulationContext, changes: list[FaultEvent]) -> None:
        self.context = context
        self.active_faults = ActiveFaults(context.scenario)
        for change in changes:
            context.clock.call_at(change.at, self._apply, change)

    def _apply(self, change: FaultEvent) -> None:
        record_type = FaultBegan if change.is_start or change.kind not in DURABLE_FAULTS else FaultEnded
        self.context.add_record(
            record_type(self.context.clock.now, change.fault, change.kind, change.targets)
        )
        for name, condition in self.active_faults.apply(change):
            self.context.simulated_nodes[name].set_condition(condition)
        if change.kind in PEER_FAULTS:
            self.context.peer_network.apply_fault(change)
        elif change.kind.startswith("discovery"):
            self.context.discovery.apply_fault(change)
        elif change.kind == "proxy-freeze":
            for name in change.targets:
                self.context.proxy_supervisors[name].freeze(change.is_start)
        elif action := PROXY_ACTIONS.get(change.kind):
            for name in change.targets:
                action(self.context.proxy_supervisors[name])
        else:
            for name in change.targets:
                self._apply_to_node(self.context.simulated_nodes[name], change)

    def _apply_to_node(self, node: SimulatedNode, change: FaultEvent) -> None:
        kind = change.kind
        if kind in ("kill", "stop"):
            node.crash("killed" if kind == "kill" else "stopped")
        elif kind == "drain":
            node.drain()
        elif kind in ("start", "renew"):
            node.restart(kind == "renew", self.active_faults.conditions_for(node.name))
        elif kind == "reset":
            node.reset_connections(change.spec.part or 1.0, f"{change.fault} {change.at}")
        elif kind == "black-hole" and self.active_faults.is_black_holed(node.name):
            node.isolated = True
        elif kind == "black-hole":
            node.end_isolation()


PROXY_ACTIONS: dict[str, Callable[[ProxySupervisor], None]] = {
    "proxy-kill": ProxySupervisor.kill,
    "proxy-stop": ProxySupervisor.stop,
    "proxy-end": ProxySupervisor.kill_if_stopping,
    "proxy-start": ProxySupervisor.start,
    "proxy-reload": ProxySupervisor.reload,
}
