"""The network between the real proxies of a run: the UDP relay, the key file and each proxy's `[fleet]`
table. Only used if the proxies of the scenario know each other."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

from slatehub.settings import key_file
from slatelab.peers.faults import apply_change
from slatelab.peers.network import PeerNetwork
from slatelab.peers.relay import Relay
from slatelab.plant.faults import FaultEvent
from slatelab.plant.fleet import ProxySpec
from slatelab.scenario import Scenario

MAX_SEEDS = 3


class LivePeerNetwork:
    """`rng` draws the delay, loss and other faults of each datagram. Results are not reproducible, as
    the order of datagrams on real sockets varies."""

    def __init__(self, scenario: Scenario, proxies: list[ProxySpec], rng: Random, scratch: Path) -> None:
        self.config, self.proxies = scenario.fleet, proxies
        self.network = PeerNetwork(rng, self.config.delay)
        self.network.faults.loss = self.config.lost
        self.key_path = scratch / "fleet.key"
        self.key_path.unlink(missing_ok=True)
        key_file.add(str(self.key_path), True)
        self.relay = Relay(self.network, [proxy.name for proxy in proxies])

    def fleet_table(self, proxy: ProxySpec) -> str:
        """The proxy's `[fleet]` table of the operator's file."""
        tier = [other.name for other in self.proxies if other.tier == proxy.tier]
        seeds = [_host_port(self.relay.advertised_address(name)) for name in tier[:MAX_SEEDS]]
        rows = {
            "listen": _host_port(self.relay.listen_addresses[proxy.name]),
            "advertise": _host_port(self.relay.advertised_address(proxy.name)),
            "seeds": seeds, "name": "lab", "key_file": str(self.key_path), "share": self.config.share,
        }  # fmt: skip
        return "[fleet]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in rows.items())

    def apply_fault(self, change: FaultEvent) -> None:
        with self.relay.lock:
            apply_change(self.network, change, [proxy.name for proxy in self.proxies], self.config.lost)

    def close(self) -> None:
        self.relay.close()


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
