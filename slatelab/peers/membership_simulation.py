"""Simulates the membership of a fleet on virtual time: real peer state machines on a modelled network and
nothing else, for measurements and tests of membership and sums at any fleet size. The peers are only
driven through their public interface: datagrams, time and the output to send."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from slatehub.fleet.membership import MemberChange, MembershipConfig
from slatehub.fleet.peer import Peer, PeerIdentity

from .network import PeerNetwork

EPOCH = 1_700_000_000_000_000
KEY = (b"\0\1\2\3", bytes(range(32)))
PeerFactory = Callable[[PeerIdentity, int, Random], Peer]


class MembershipSimulation:
    """`start` and `stop` members by name; `run` for a time span. `log`: (time, observing member, change)."""

    def __init__(
        self, seed: int, terms: MembershipConfig | None = None, make_peer: PeerFactory | None = None
    ) -> None:
        self.rng = Random(seed)
        self.net = PeerNetwork(Random(seed + 1))
        self.terms = terms or MembershipConfig()
        self.make_peer = make_peer or (
            lambda identity, now, rng: Peer(identity, (KEY,), now, rng, self.terms)
        )
        self.now = EPOCH
        self.peers: dict[str, Peer] = {}
        self.addresses: dict[tuple[str, int], str] = {}
        self.frozen: dict[str, list[bytes]] = {}
        self.log: list[tuple[int, str, MemberChange]] = []
        self._queue: list[tuple[int, int, str, Any]] = []
        self._sequence = 0
        self._next_wakeup: dict[str, int] = {}  # by name: when each peer is to be advanced next

    def identity_for(self, name: str, seeds: int = 2) -> PeerIdentity:
        first = tuple(sorted(self.addresses))[:seeds]
        number = int(name[1:])
        return PeerIdentity(name, "lab", 0, f"10.0.{number >> 8}.{number & 255}", 7000, first)

    def start(self, *names: str) -> None:
        for name in names:
            identity = self.identity_for(name)
            self.addresses[identity.host, identity.port] = name
            self.peers[name] = self.make_peer(identity, self.now, Random(self.rng.getrandbits(64)))
            self._process_output(name)

    def stop(self, *names: str, leave: bool = False) -> None:
        for name in names:
            if leave:
                self.peers[name].membership.leave(self.now)
                self._process_output(name)
            del self.peers[name]
            self._next_wakeup.pop(name, None)
            self.frozen.pop(name, None)

    def freeze(self, name: str) -> None:
        self.frozen[name] = []

    def unfreeze(self, name: str) -> None:
        """Resumes a frozen member. It receives the datagrams buffered meanwhile, as many as a socket buffer
        holds, and then detects how late it is."""
        for data in self.frozen.pop(name)[:200]:
            self.peers[name].receive(self.now, data)
        self._advance_peer(name)

    def run(self, span_us: int) -> None:
        end = self.now + span_us
        while self._queue and self._queue[0][0] <= end:
            due, _, name, data = heappop(self._queue)
            self.now = max(self.now, due)
            if name not in self.peers:
                continue
            if data is None:
                if self._next_wakeup.get(name) == due and name not in self.frozen:
                    self._advance_peer(name)
            elif name in self.frozen:
                self.frozen[name].append(data)
            else:
                self.peers[name].receive(self.now, data)
                self._process_output(name)
        self.now = end

    def _advance_peer(self, name: str) -> None:
        peer = self.peers[name]
        peer.advance(self.now, max(0, self.now - self._next_wakeup[name]))
        self._process_output(name)

    def _process_output(self, name: str) -> None:
        peer = self.peers[name]
        for host, port, data in peer.drain_datagrams():
            receiver = self.addresses.get((host, port))
            if receiver in self.peers:
                for wait, copy in self.net.deliveries(name, receiver, data):
                    self._schedule(self.now + wait, receiver, copy)
        self.log += [(self.now, name, change) for change in peer.drain_changes()]
        due = max(self.now + 1, peer.next_deadline())
        if (
            self._next_wakeup.get(name) is None
            or due < self._next_wakeup[name]
            or self._next_wakeup[name] <= self.now
        ):
            self._next_wakeup[name] = due
            self._schedule(due, name, None)

    def _schedule(self, due: int, name: str, data: Any) -> None:
        self._sequence += 1
        heappush(self._queue, (due, self._sequence, name, data))

    def has_converged(self) -> bool:
        """Whether every member considers exactly all the others alive."""
        names = set(self.peers)
        return all(
            {m.record.name for m in p.membership.member_table.live_members()} == names - {n}
            for n, p in self.peers.items()
        )
