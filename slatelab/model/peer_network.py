"""What lies between the proxies of a tier that know each other: their datagrams on virtual time, over the net that
`slatelab.peers.network` plays. It owns the addresses and the ends of the link. It must never look inside a datagram."""

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
LEAST_US = 1_000  # as the daemon's driver rings it no sooner


class Spec(Protocol):
    @property
    def name(self) -> str: ...

    @property
    def tier(self) -> int: ...


class SimulatedPeerNetwork:
    """`endpoints`: who listens, by address. All proxies of a tier are one fleet."""

    def __init__(self, day: VirtualClock, terms: Fleet, rng: Random) -> None:
        self.clock, self.terms = day, terms
        self.net = PeerNetwork(rng, terms.delay)
        self.net.faults.loss = terms.lost
        self.numbers: dict[str, int] = {}
        self.tiers: dict[int, list[str]] = {}
        self.endpoints: dict[str, PeerEndpoint] = {}

    def place(self, spec: Spec) -> PeerIdentity:
        """Where this proxy stands; the first of its tier are everybody's seeds."""
        number = self.numbers.setdefault(spec.name, len(self.numbers))
        names = self.tiers.setdefault(spec.tier, [])
        if spec.name not in names:
            names.append(spec.name)
        seeds = tuple((address(self.numbers[name]), PORT) for name in names[:SEEDS])
        return PeerIdentity(spec.name, "lab", spec.tier, address(number), PORT, seeds)

    def send(self, sender: str, host: str, data: bytes) -> None:
        receiver = next((end for end in self.endpoints.values() if end.place.host == host), None)
        if receiver is None:
            return
        for wait, copy in self.net.deliveries(sender, receiver.place.name, data):
            self.clock.call_at(self.clock.now + wait, self._arrive, receiver.place.name, copy)

    def _arrive(self, name: str, data: bytes) -> None:
        if end := self.endpoints.get(name):
            end.received(data)

    def change(self, change: FaultEvent) -> None:
        everybody = [name for names in self.tiers.values() for name in names]
        apply_change(self.net, change, everybody, self.terms.lost)


def address(number: int) -> str:
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"


class PeerEndpoint:
    """One life of a proxy on the link. `epoch`: where the day stands on the clock that proxies read."""

    def __init__(
        self, between: SimulatedPeerNetwork, spec: Spec, rng: Random, epoch: int, still: Suspension
    ) -> None:
        self.network, self.clock, self.epoch, self.still = between, between.clock, epoch, still
        self.place = between.place(spec)
        self.peer = Peer(self.place, (KEY,), self.clock.now + epoch, rng)
        self._wake: ScheduledCall | None = None
        self._due = 0

    def open(self, module: Callable[[], Any], hear: Callable[[int, Peers, int], None]) -> Any:
        """Joins. What sees the module's turns, or None where nothing is shared."""
        share = (
            self.peer.start_load_sharing(self.clock.now + self.epoch, module, hear)
            if self.network.terms.share
            else None
        )
        self.network.endpoints[self.place.name] = self
        self._after()
        return share

    def close(self, leave: bool) -> None:
        if leave:
            self.peer.membership.leave(self.clock.now + self.epoch)
            self._send()
        if self._wake:
            self._wake.cancel()
        if self.network.endpoints.get(self.place.name) is self:
            del self.network.endpoints[self.place.name]

    @deferred_while_suspended
    def received(self, data: bytes) -> None:
        self.peer.receive(self.clock.now + self.epoch, data)
        self._after()

    @deferred_while_suspended
    def _ring(self) -> None:
        self._wake = None
        self.peer.advance(self.clock.now + self.epoch)
        self._after()

    def _send(self) -> None:
        for host, _, data in self.peer.drain_datagrams():
            self.network.send(self.place.name, host, data)

    def _after(self) -> None:
        self._send()
        self.peer.drain_changes()
        due = max(self.peer.next_deadline() - self.epoch, self.clock.now + LEAST_US)
        if self._wake is None or due < self._due:
            if self._wake:
                self._wake.cancel()
            self._wake, self._due = self.clock.call_at(due, self._ring), due
