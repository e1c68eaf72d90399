"""The state that all parts of one simulation share: the clock, the scenario, the random streams, the network, the
records so far, and the nodes and proxies by name. It has no behaviour of its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from slatelab.plant.fleet import NodeSpec
from slatelab.plant.random_streams import RandomStreams
from slatelab.records import Record
from slatelab.scenario import Scenario

from .network import Network
from .peer_network import SimulatedPeerNetwork
from .virtual_clock import VirtualClock

if TYPE_CHECKING:
    from .discovery import Discovery
    from .proxy_supervisor import ProxySupervisor
    from .simulated_node import SimulatedNode

# What the proxies' clock shows at virtual time 0, in microseconds since 1970, like a real clock.
# Guards against code of the decision module that takes the time 0 for "never".
EPOCH_UNIX_US = 1_700_000_000_000_000


class ClientRequest(msgspec.Struct, frozen=True, gc=False):
    """A request as its caller (a client or a node) sends it. `until` is when the caller gives up."""

    request: str
    attempt: int
    caller: str
    cls: int
    tenant: int
    order_seed: int
    order_work_us: int
    path: str
    intended: int
    until: int
    retried: bool = False


class SimulationContext:
    """`simulated_nodes` is keyed by the id of the first node in a position, which replacements don't change."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random_streams = RandomStreams(seed)
        self.clock = VirtualClock()
        self.network = Network(scenario, self.random_streams.stream("network"))
        self.records: list[Record] = []
        self.add_record = self.records.append
        self.notes: list[str] = []
        self.specs: dict[str, NodeSpec] = {}  # of every node, also of replaced ones
        self.simulated_nodes: dict[str, SimulatedNode] = {}
        self.nodes_by_address: dict[str, SimulatedNode] = {}
        self.proxy_supervisors: dict[str, ProxySupervisor] = {}
        self.discovery: Discovery
        self.peer_network = SimulatedPeerNetwork(
            self.clock, scenario.fleet, self.random_streams.stream("peers")
        )
        # Called when a proxy becomes ready, begins to stop or ends.
        self.on_proxy_change: Callable[[ProxySupervisor], None]
        self.open_calls = 0  # open calls of nodes to the next tier
        self.classes = [cls.name for cls in scenario.classes]
        self.tenants = [tenant.name for tenant in scenario.tenants] or [""]
