"""The network between the proxies of a tier that know each other: it delivers their datagrams on virtual time over
the network that `slatelab.peers.network` simulates. It assigns addresses and keeps the endpoints. It never looks inside
a datagram."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from paddlestep.interface import Peers
from slatehub.fleet.peer import Peer, PeerIdentity
from slatelab.peers.faults import apply_change
from slatelab.peers.network import PeerNetwork
from slatelab.plant.faults import FaultEvent
from slatelab.scenario.types import Fleet

from .suspension import Suspension, deferred_while_suspended
from .virtual_clock import ScheduledCall, VirtualClock

KEY = (b"lab0", bytes(32))
PORT = 7400
SEEDS = 3
MIN_TIMER_DELAY_US = 1_000  # the driver of the real proxy doesn't wake it up sooner either


class Spec(Protocol):
    """The attributes of a ProxySpec that the peer network needs."""

    @property
    def name(self) -> str: ...

    @property
    def tier(self) -> int: ...


class SimulatedPeerNetwork:
    """`endpoints`: the open endpoints, by proxy name. All proxies of a tier are one fleet."""

    def __init__(self, clock: VirtualClock, fleet: Fleet, rng: Random) -> None:
        self.clock, self.fleet = clock, fleet
        self.net = PeerNetwork(rng, fleet.delay)
        self.net.faults.loss = fleet.lost
        self.numbers: dict[str, int] = {}
        self.tiers: dict[int, list[str]] = {}
        self.endpoints: dict[str, PeerEndpoint] = {}

    def identity(self, spec: Spec) -> PeerIdentity:
        """The identity of this proxy. The first proxies of a tier are the seeds of all of them."""
        number = self.numbers.setdefault(spec.name, len(self.numbers))
        names = self.tiers.setdefault(spec.tier, [])
        if spec.name not in names:
            names.append(spec.name)
        seeds = tuple((address(self.numbers[name]), PORT) for name in names[:SEEDS])
        return PeerIdentity(spec.name, "lab", spec.tier, address(number), PORT, seeds)

    def send(self, sender: str, host: str, data: bytes) -> None:
        receiver = next(
            (endpoint for endpoint in self.endpoints.values() if endpoint.identity.host == host), None
        )
        if receiver is None:
            return
        for wait, copy in self.net.deliveries(sender, receiver.identity.name, data):
            self.clock.call_at(self.clock.now + wait, self._arrive, receiver.identity.name, copy)

    def _arrive(self, name: str, data: bytes) -> None:
        if endpoint := self.endpoints.get(name):
            endpoint.received(data)

    def apply_fault(self, change: FaultEvent) -> None:
        all_names = [name for names in self.tiers.values() for name in names]
        apply_change(self.net, change, all_names, self.fleet.lost)


def address(number: int) -> str:
    """The address in 10.0.0.0/8 of the proxy with this number."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"


class PeerEndpoint:
    """One life of a proxy in the peer network. `epoch`: what the proxy's clock shows when virtual time is 0."""

    def __init__(
        self, network: SimulatedPeerNetwork, spec: Spec, rng: Random, epoch: int, suspension: Suspension
    ) -> None:
        self.network, self.clock, self.epoch, self.suspension = network, network.clock, epoch, suspension
        self.identity = network.identity(spec)
        self.peer = Peer(self.identity, (KEY,), self.clock.now + epoch, rng)
        self._wake: ScheduledCall | None = None
        self._due = 0

    def open(self, module: Callable[[], Any], on_peers: Callable[[int, Peers, int], None]) -> Any:
        """Joins the peer network. Returns the observer of the module's batches, or None where load is not shared."""
        load_observer = (
            self.peer.start_load_sharing(self.clock.now + self.epoch, module, on_peers)
            if self.network.fleet.share
            else None
        )
        self.network.endpoints[self.identity.name] = self
        self._flush_and_schedule()
        return load_observer

    def close(self, leave: bool) -> None:
        if leave:
            self.peer.membership.leave(self.clock.now + self.epoch)
            self._send()
        if self._wake:
            self._wake.cancel()
        if self.network.endpoints.get(self.identity.name) is self:
            del self.network.endpoints[self.identity.name]

    @deferred_while_suspended
    def received(self, data: bytes) -> None:
        self.peer.receive(self.clock.now + self.epoch, data)
        self._flush_and_schedule()

    @deferred_while_suspended
    def _wake_up(self) -> None:
        self._wake = None
        self.peer.advance(self.clock.now + self.epoch)
        self._flush_and_schedule()

    def _send(self) -> None:
        for host, _, data in self.peer.drain_datagrams():
            self.network.send(self.identity.name, host, data)

    def _flush_and_schedule(self) -> None:
        self._send()
        self.peer.drain_changes()
        due = max(self.peer.next_deadline() - self.epoch, self.clock.now + MIN_TIMER_DELAY_US)
        if self._wake is None or due < self._due:
            if self._wake:
                self._wake.cancel()
            self._wake, self._due = self.clock.call_at(due, self._wake_up), due
