"""The layout of a run: nodes, proxies and discovery at addresses of this machine, and the fault schedule. The
layout is made once. Also writes the proxies' configuration files; starts no process."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from math import ceil, prod
from pathlib import Path
from typing import Any

from slatelab.engine import InvalidRunError
from slatelab.plant import faults, fleet, settings
from slatelab.plant.faults import FaultEvent
from slatelab.plant.fleet import NodeSpec, ProxySpec
from slatelab.plant.random_streams import RandomStreams
from slatelab.scenario import Scenario

from .addresses import Addresses
from .discovery import DiscoveryEndpoint
from .emulated_node import NodeLocation
from .front import ProxyAddress

MAX_PROXIES = 300  # each process takes about 30 MB
# Limits for one emulating process.
NODES_PER_PROCESS, REQUESTS_PER_S_PER_PROCESS = 40, 1500


@dataclass(slots=True)
class Plan:
    """The parts of one run with their addresses, and its fault schedule."""

    scenario: Scenario
    random_streams: RandomStreams
    nodes: list[NodeSpec]
    proxies: list[ProxySpec]
    changes: list[FaultEvent]
    proxy_addresses: dict[str, ProxyAddress]  # by proxy
    discovery_endpoints: dict[str, DiscoveryEndpoint]  # by proxy
    # By tier: the endpoint that the lab itself calls; these calls are not recorded.
    lab_endpoints: list[DiscoveryEndpoint]
    locations: list[NodeLocation]
    # By proxy: additional tables of the operator's file.
    operator_tables: dict[str, str] = field(default_factory=dict)

    def node_address(self, node_id: str) -> str:
        """host:port of a node location."""
        return next(
            f"{location.host}:{location.port}" for location in self.locations if location.spec.id == node_id
        )

    def members(self, tier: int) -> list[dict[str, Any]]:
        """The discovery entries of a tier's nodes at the start."""
        return [
            settings.member_entry(location.spec, f"{location.host}:{location.port}", "SERVING", 0)
            for location in self.locations
            if location.spec.tier == tier
        ]

    def locations_by_process(self) -> list[list[NodeLocation]]:
        """Distributes the node locations over as many processes as they need."""
        count = min(
            _max_processes(),
            max(
                ceil(len(self.locations) / NODES_PER_PROCESS),
                ceil(_total_request_rate(self.scenario) / REQUESTS_PER_S_PER_PROCESS),
            ),
        )
        return [self.locations[i::count] for i in range(min(count, len(self.locations)))]

    def operator_config(self, proxy: ProxySpec) -> str:
        """The operator's file of a proxy; "" if all settings have their defaults."""
        defaults = type(self.scenario.proxy.storms)()
        changed = self.scenario.proxy.storms.model_dump().items() - defaults.model_dump().items()
        storms = (
            "[storms]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in sorted(changed)) if changed else ""
        )
        return storms + self.operator_tables.get(proxy.name, "")

    def write_config(self, path: Path, proxy: ProxySpec, members: list[dict[str, Any]], life: int) -> None:
        """Writes a proxy's configuration file. The file is replaced atomically, as a proxy may read it at any
        time. Each life of a proxy has its own seed."""
        address, endpoint = self.proxy_addresses[proxy.name], self.discovery_endpoints[proxy.name]
        seed = f"{self.random_streams.stream('proxy', proxy.name, life).getrandbits(64):016x}"
        listen, discovery = f"{address.host}:{address.port}", f"{endpoint.host}:{endpoint.port}"
        tree = settings.build_config(self.scenario, proxy, listen, discovery, members, seed)
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps(tree, indent=1))
        os.replace(draft, path)


def make_plan(scenario: Scenario, seed: int, at: Addresses) -> Plan:
    """Lays out a run. Raises ScenarioError, and InvalidRunError if this machine cannot hold it."""
    if scenario.proxy.kind != "slatehub":
        raise InvalidRunError(f"proxy.kind {scenario.proxy.kind!r} is known to the engine model alone")
    random_streams = RandomStreams(seed)
    nodes = fleet.build_nodes(scenario, random_streams)
    proxies = fleet.build_proxies(scenario, nodes)
    if len(proxies) > MAX_PROXIES:
        raise InvalidRunError(f"{len(proxies)} proxies: more than the {MAX_PROXIES} that a live run starts")
    proxy_addresses = {p.name: ProxyAddress(p.name, at.proxy(i), at.port) for i, p in enumerate(proxies)}
    discovery_endpoints = {
        p.name: DiscoveryEndpoint(p.name, p.tier, at.discovery(i), at.port) for i, p in enumerate(proxies)
    }
    lab_endpoints = [
        DiscoveryEndpoint("", tier, at.discovery(len(proxies) + tier), at.port)
        for tier in range(len(scenario.tiers))
    ]
    proxy_of_node = {p.owner_node: p.name for p in proxies if p.owner_node}
    locations = [
        NodeLocation(
            n,
            at.node(i),
            at.port,
            proxy_of_node.get(n.id, ""),
            proxy_addresses[proxy_of_node[n.id]].host if n.id in proxy_of_node else "",
        )
        for i, n in enumerate(nodes)
    ]
    changes = faults.build_fault_schedule(scenario, random_streams, nodes, proxies)
    return Plan(
        scenario,
        random_streams,
        nodes,
        proxies,
        changes,
        proxy_addresses,
        discovery_endpoints,
        lab_endpoints,
        locations,
    )


def _max_processes() -> int:
    return max(1, (os.cpu_count() or 2) // 2 - 1)


def _total_request_rate(scenario: Scenario) -> float:
    """Approximate requests per second at all nodes together."""
    orders = sum(max(stream.rate, stream.to_rate) for stream in scenario.arrivals)
    calls = [prod(tier.calls for tier in scenario.tiers[:t]) for t in range(len(scenario.tiers))]
    return max(1.0, orders * sum(calls))
