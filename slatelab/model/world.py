"""What all parts of one modelled day share: its time, the scenario, the random streams, the network, the
facts seen so far, and where everybody is. It owns nothing of what any part does."""

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

# Where the day stands on the clock that proxies read, in microseconds since 1970, as a real one's would.
# Guards against code of the module that takes the time 0 for "never".
EPOCH_UNIX_US = 1_700_000_000_000_000


class ClientRequest(msgspec.Struct, frozen=True, gc=False):
    """A request as its caller makes it. `until` is when the caller gives it up."""

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
    """Places are known by the id of the node that stood there first, and by their address."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random_streams = RandomStreams(seed)
        self.clock = VirtualClock()
        self.network = Network(scenario, self.random_streams.stream("network"))
        self.records: list[Record] = []
        self.say = self.records.append
        self.notes: list[str] = []
        self.specs: dict[str, NodeSpec] = {}  # of every node there has been
        self.simulated_nodes: dict[str, SimulatedNode] = {}
        self.by_address: dict[str, SimulatedNode] = {}
        self.proxy_supervisors: dict[str, ProxySupervisor] = {}
        self.discovery: Discovery
        self.peer_network = SimulatedPeerNetwork(
            self.clock, scenario.fleet, self.random_streams.stream("peers")
        )
        self.front_changes: Callable[[ProxySupervisor], None]  # a proxy has come or goes
        self.open_calls = 0  # of nodes, to the next tier
        self.classes = [cls.name for cls in scenario.classes]
        self.tenants = [tenant.name for tenant in scenario.tenants] or [""]
