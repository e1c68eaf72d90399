"""Puts a day of the plant together and plays it. It owns the order in which the parts come to be, when the
day is over, and who watches. It must never read a clock: the same scenario and seed give the same records,
byte for byte."""

from __future__ import annotations

from itertools import count
from pathlib import Path

from slatelab.engine import ProgressCallback, ProgressSnapshot, Recording
from slatelab.plant import faults as schedules
from slatelab.plant.fleet import NodeSpec, ProxySpec, build_nodes, build_proxies
from slatelab.plant.registry import RegistryEntry
from slatelab.plant.workload import generate_orders
from slatelab.scenario import Scenario

from .clients import Clients
from .connection_balancer import ConnectionBalancer
from .discovery import Discovery
from .discovery_client import Entries
from .faults import Faults
from .proxy_supervisor import ProxySupervisor
from .simulated_node import SimulatedNode
from .world import SimulationContext

TICK_US = 100_000
LOOK_US = 50_000  # between two looks whether all is quiet at the end
MOST_LATENCIES = 2_000  # in one tick


def run(scenario: Scenario, seed: int, folder: Path, watch: ProgressCallback | None) -> Recording:
    """Plays the whole day. `folder` is where trace files of arrivals are; `watch` is called ten times a
    second of the day's time. Raises ScenarioError for a scenario that cannot be played."""
    day = Simulation(scenario, seed, folder, watch)
    day.run()
    world = day.context
    return Recording("model", seed, world.records, world.clock.events - day.ticks, 0, world.notes)


class Simulation:
    """Everything is put in its place at the moment 0: nodes, the list of them, proxies, then callers."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, watch: ProgressCallback | None) -> None:
        self.context, self._watch, self.ticks = SimulationContext(scenario, seed), watch, 0
        self._end = self.context.clock.event()
        nodes = build_nodes(scenario, self.context.random_streams)
        posts = build_proxies(scenario, nodes)
        todays = generate_orders(scenario, self.context.random_streams, folder)
        self._faults = Faults(
            self.context, schedules.build_fault_schedule(scenario, self.context.random_streams, nodes, posts)
        )
        self._put_up(nodes)
        front = self._man(posts)
        self.clients = Clients(self.context, front, todays, self._settled)
        if watch:
            self.clients.latencies = []
            self.context.clock.call_at(0, self._tick)

    def _put_up(self, nodes: list[NodeSpec]) -> None:
        world, keys = self.context, count(1)
        world.discovery = Discovery(world)
        for spec in nodes:
            place = world.simulated_nodes[spec.id] = SimulatedNode(world, spec, keys)
            world.by_address[place.address] = place
            place.start(False, self._faults.active_faults.conditions_for(spec.id))
        for aside in world.discovery.asides:
            here = [place for place in world.simulated_nodes.values() if place.spec.tier == aside.tier]
            aside.rows = tuple(self._row(place) for place in here)

    def _man(self, posts: list[ProxySpec]) -> ConnectionBalancer:
        world, entries = self.context, Entries(self.context)
        for spec in posts:
            world.proxy_supervisors[spec.name] = ProxySupervisor(world, spec, entries)
            if spec.owner_node:
                world.simulated_nodes[spec.owner_node].own = world.proxy_supervisors[spec.name]
        front = ConnectionBalancer(
            world, [post for post in world.proxy_supervisors.values() if not post.spec.tier]
        )
        world.front_changes = front.changes
        for post in world.proxy_supervisors.values():
            post.ready()
        return front

    def _row(self, place: SimulatedNode) -> RegistryEntry:
        return RegistryEntry(place.spec.id, "SERVING", place.address, 0)

    def run(self) -> None:
        self.context.clock.run(until=self._end)
        if self._watch:
            self._show(self._watch)

    # ------------------------------------------------------------ the end

    def _settled(self) -> None:
        """No client waits any more. What nodes still do is seen to its end, for the time of the longest
        deadline."""
        deadline = max(cls.deadline for cls in self.context.scenario.classes)
        self._look(self.context.clock.now + deadline)

    def _look(self, last: int) -> None:
        day = self.context.clock
        busy = self.context.open_calls or any(
            p.simulator and p.simulator.pending_requests for p in self.context.simulated_nodes.values()
        )
        if busy and day.now < last:
            day.call_at(day.now + LOOK_US, self._look, last)
            return
        for place in self.context.simulated_nodes.values():
            for out in list(place.outs.values()):
                out.give_up()
        self._end.succeed()

    # ------------------------------------------------------------ whoever watches

    def _tick(self) -> None:
        assert self._watch
        self.ticks += 1
        self._show(self._watch)
        self.context.clock.call_at(self.context.clock.now + TICK_US, self._tick)

    def _show(self, watch: ProgressCallback) -> None:
        clients = self.clients
        latencies, clients.latencies = clients.latencies or [], []
        nodes = tuple(
            (place.spec.id, place.state, place.simulator.pending_requests if place.simulator else 0)
            for place in self.context.simulated_nodes.values()
        )
        tick = ProgressSnapshot(
            self.context.clock.now,
            self.context.scenario.scenario.duration,
            clients.begun,
            latencies_us=tuple(latencies[:MOST_LATENCIES]),
            nodes=nodes,
            **clients.counts,
        )
        watch(tick)
