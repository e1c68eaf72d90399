"""The process that hosts emulated nodes: it applies faults to them as the lab directs. This module passes the
lab's messages on to the nodes; the behaviour of a node is implemented elsewhere."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from slatelab.plant.faults import ActiveFaults, FaultEvent
from slatelab.plant.random_streams import RandomStreams
from slatelab.scenario import Scenario

from .control_channel import HelperChannel, JobContext, Message, Part
from .emulated_node import EmulatedNode, NodeLocation

IDLE_CHECK_S = 0.5


@dataclass(frozen=True, slots=True)
class NodesJob:
    """What a process that hosts nodes is started with."""

    context: JobContext
    scenario: Scenario
    seed: int
    locations: list[NodeLocation]
    changes: list[FaultEvent]  # of the whole run; the lab sends the index of each change when it is due

    def part(self, channel: HelperChannel) -> Part:
        return NodeHost(self, channel)


class NodeHost:
    """The nodes of one process, and the faults that are active on them."""

    def __init__(self, job: NodesJob, channel: HelperChannel) -> None:
        self.job, self.channel = job, channel
        self.active_faults = ActiveFaults(job.scenario)
        random_streams = RandomStreams(job.seed)
        self.emulated_nodes = {
            location.spec.id: EmulatedNode(
                channel, job.scenario, random_streams, location, partial(self._notify, location.spec.id)
            )
            for location in job.locations
        }

    async def open(self) -> None:
        for name, node in self.emulated_nodes.items():
            node.start(False, self.active_faults.conditions_for(name), False)
        self._close_idle()

    def handle_message(self, message: Message) -> None:
        if message["do"] == "change":
            self._apply_fault(self.job.changes[message["n"]])
        elif message["do"] == "start":
            name = message["place"]
            self.emulated_nodes[name].restart(
                message["renewed"],
                self.active_faults.conditions_for(name),
                self.active_faults.is_black_holed(name),
            )

    def _apply_fault(self, change: FaultEvent) -> None:
        for name, condition in self.active_faults.apply(change):
            if node := self.emulated_nodes.get(name):
                node.set_condition(condition)
        for name in change.targets:
            if node := self.emulated_nodes.get(name):
                self._apply_to_node(node, name, change)

    def _apply_to_node(self, node: EmulatedNode, name: str, change: FaultEvent) -> None:
        if change.kind == "black-hole" and self.active_faults.is_black_holed(name):
            node.isolate()
        elif change.kind == "black-hole":
            node.end_isolation()
        elif action := FAULT_ACTIONS.get(change.kind):
            action(node, change)

    def tick(self) -> Message:
        nodes = [
            (p.spec.id, p.state, p.simulator.pending_requests if p.simulator else 0)
            for p in self.emulated_nodes.values()
        ]
        return {"nodes": nodes, "open": sum(len(p.downstream_calls) for p in self.emulated_nodes.values())}

    def close(self) -> Message:
        for node in self.emulated_nodes.values():
            node.close()
        return {"open": 0}

    def _notify(self, name: str, kind: str, **fields: Any) -> None:
        self.channel.send(kind, place=name, **fields)

    def _close_idle(self) -> None:
        for node in self.emulated_nodes.values():
            node.close_idle()
        self.channel.loop.call_later(IDLE_CHECK_S, self._close_idle)


FAULT_ACTIONS: dict[str, Callable[[EmulatedNode, FaultEvent], None]] = {
    "kill": lambda node, change: node.crash("killed"),
    "stop": lambda node, change: node.crash("stopped"),
    "drain": lambda node, change: node.drain(),
    "reset": lambda node, change: node.reset_some(change.spec.part or 1.0, f"{change.fault} {change.at}"),
}
