"""Builds and runs a simulation: creates its parts in order, decides when it is complete, and reports progress. It
never reads a clock: the same scenario and seed give the same records, byte for byte."""

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

PROGRESS_INTERVAL_US = 100_000
IDLE_CHECK_INTERVAL_US = 50_000  # between two checks at the end whether all nodes are idle
MAX_LATENCIES_PER_TICK = 2_000


def run(scenario: Scenario, seed: int, folder: Path, watch: ProgressCallback | None) -> Recording:
    """Runs the whole scenario. `folder` is where trace files of arrivals are; `watch` is called ten times per second
    of virtual time. Raises ScenarioError for a scenario that cannot be run."""
    simulation = Simulation(scenario, seed, folder, watch)
    simulation.run()
    context = simulation.context
    return Recording(
        "model", seed, context.records, context.clock.events - simulation.ticks, 0, context.notes
    )


class Simulation:
    """Creates everything at time 0: nodes, the list of them, proxies, then clients."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, watch: ProgressCallback | None) -> None:
        self.context, self._watch, self.ticks = SimulationContext(scenario, seed), watch, 0
        self._ended = self.context.clock.event()
        nodes = build_nodes(scenario, self.context.random_streams)
        proxy_specs = build_proxies(scenario, nodes)
        orders = generate_orders(scenario, self.context.random_streams, folder)
        self._faults = Faults(
            self.context,
            schedules.build_fault_schedule(scenario, self.context.random_streams, nodes, proxy_specs),
        )
        self._create_nodes(nodes)
        balancer = self._create_proxies(proxy_specs)
        self.clients = Clients(self.context, balancer, orders, self._clients_finished)
        if watch:
            self.clients.latencies = []
            self.context.clock.call_at(0, self._tick)

    def _create_nodes(self, nodes: list[NodeSpec]) -> None:
        context, keys = self.context, count(1)
        context.discovery = Discovery(context)
        for spec in nodes:
            node = context.simulated_nodes[spec.id] = SimulatedNode(context, spec, keys)
            context.nodes_by_address[node.address] = node
            node.start(False, self._faults.active_faults.conditions_for(spec.id))
        for poller in context.discovery.pollers:
            tier_nodes = [node for node in context.simulated_nodes.values() if node.spec.tier == poller.tier]
            poller.rows = tuple(self._registry_entry(node) for node in tier_nodes)

    def _create_proxies(self, proxy_specs: list[ProxySpec]) -> ConnectionBalancer:
        context, entries = self.context, Entries(self.context)
        for spec in proxy_specs:
            context.proxy_supervisors[spec.name] = ProxySupervisor(context, spec, entries)
            if spec.owner_node:
                context.simulated_nodes[spec.owner_node].own_proxy = context.proxy_supervisors[spec.name]
        balancer = ConnectionBalancer(
            context,
            [supervisor for supervisor in context.proxy_supervisors.values() if not supervisor.spec.tier],
        )
        context.on_proxy_change = balancer.proxy_changed
        for supervisor in context.proxy_supervisors.values():
            supervisor.ready()
        return balancer

    def _registry_entry(self, node: SimulatedNode) -> RegistryEntry:
        return RegistryEntry(node.spec.id, "SERVING", node.address, 0)

    def run(self) -> None:
        self.context.clock.run(until=self._ended)
        if self._watch:
            self._report_progress(self._watch)

    # ------------------------------------------------------------ completion

    def _clients_finished(self) -> None:
        """All clients have finished. Work that is left on nodes may go on for the longest deadline."""
        deadline = max(cls.deadline for cls in self.context.scenario.classes)
        self._stop_when_idle(self.context.clock.now + deadline)

    def _stop_when_idle(self, latest: int) -> None:
        clock = self.context.clock
        busy = self.context.open_calls or any(
            p.simulator and p.simulator.pending_requests for p in self.context.simulated_nodes.values()
        )
        if busy and clock.now < latest:
            clock.call_at(clock.now + IDLE_CHECK_INTERVAL_US, self._stop_when_idle, latest)
            return
        for node in self.context.simulated_nodes.values():
            for exchange in list(node.downstream_exchanges.values()):
                exchange.give_up()
        self._ended.succeed()

    # ------------------------------------------------------------ progress

    def _tick(self) -> None:
        assert self._watch
        self.ticks += 1
        self._report_progress(self._watch)
        self.context.clock.call_at(self.context.clock.now + PROGRESS_INTERVAL_US, self._tick)

    def _report_progress(self, watch: ProgressCallback) -> None:
        clients = self.clients
        latencies, clients.latencies = clients.latencies or [], []
        nodes = tuple(
            (node.spec.id, node.state, node.simulator.pending_requests if node.simulator else 0)
            for node in self.context.simulated_nodes.values()
        )
        snapshot = ProgressSnapshot(
            self.context.clock.now,
            self.context.scenario.scenario.duration,
            clients.started,
            latencies_us=tuple(latencies[:MAX_LATENCIES_PER_TICK]),
            nodes=nodes,
            **clients.counts,
        )
        watch(snapshot)
