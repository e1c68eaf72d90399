"""Drives the peer in the daemon: its socket, its one alarm, lines for the log. It owns the socket. It must never
decide, never wait for another proxy, and never let what comes in cost more than its share of the loop."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Any

import gevent
from gevent import socket

from paddlestep.interface import Peers

from ..drivers.clock import Timer, clock
from ..observe.log import error_location, log_event
from ..settings.operator import FleetConfig
from .datagrams import MAX_DATAGRAM_BYTES
from .load_sharing import LoadSharing
from .membership import Bucket, MemberChange
from .peer import Peer, PeerIdentity

BATCH = 32  # datagrams read before others have their turn
RATE = 2_000  # datagrams a second that are read at all, at some 15 us each: 3 % of a core
POSTS_RATE = 20_000  # where other parts speak over the link too
UNKNOWN_RATE = 200  # of these, from addresses that have not yet sent anything under our key
SOURCES = 2048  # addresses remembered as having done so
BUFFER = 256 * 1024  # bytes that wait in the system: what is beyond is dropped there
AGAIN_S = 0.2  # between two tries to have the socket while another process of this proxy holds it
LEVELS = {"lost": "warning", "suspect": "info", "clash": "error", "self": "warning"}


class FleetDriver:
    """One process's membership. `seed`: of this process."""

    def __init__(self, name: str, tier: int, terms: FleetConfig, seed: int) -> None:
        assert terms.listen
        self.settings = terms
        host, port = terms.advertise or terms.listen
        place = PeerIdentity(name, terms.name, tier, host, port, terms.seeds)
        self.peer = Peer(place, terms.read_keys(), clock(), Random(seed ^ clock()))
        self.sock: Any = None
        self.reader: Any = None
        self.timer: Timer | None = None
        self.all, self.unknown = Bucket(RATE, RATE / 10), Bucket(UNKNOWN_RATE, UNKNOWN_RATE / 10)
        self.sources: OrderedDict[Any, None] = OrderedDict()
        self.dropped = {"unknown": 0, "unsent": 0, "held_back": 0}

    def start_load_sharing(
        self, module: Callable[[], Any], hear: Callable[[int, Peers, int], None]
    ) -> LoadSharing:
        """What this proxy carries is told, and what all carry goes to `hear`. The share is to see each turn."""
        return self.peer.start_load_sharing(clock(), module, hear)

    def send_payload(self, name: str, topic: int, body: bytes) -> None:
        """To the same part of another proxy, as far as it is known; it may be lost like any datagram."""
        if self.peer.send_payload(name, topic, body):
            self._send()

    def broadcast(self, topic: int, body: bytes) -> None:
        """To all who are there."""
        for name in [m.record.name for m in self.peer.membership.member_table.live_members()]:
            self.send_payload(name, topic, body)

    def raise_receive_limit(self) -> None:
        """Another part speaks over this link too: more is read in a second, at the cost of as much more of the core."""
        self.all = Bucket(POSTS_RATE, POSTS_RATE / 10)

    # ------------------------------------------------------------ begin and end

    def open(self) -> None:
        """From here on it is a member, as soon as the socket is to be had."""
        if self.reader is None:
            self.reader = gevent.spawn(self._read)

    def _bind(self) -> Any:
        assert self.settings.listen
        host, port = self.settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        return sock

    def _wait_for_socket(self) -> None:
        told = False
        while self.sock is None:
            try:
                self.sock = self._bind()
            except OSError as problem:
                if not told:
                    log_event("fleet", f"no socket yet, trying on: {problem}", "warning")
                told = True
                gevent.sleep(AGAIN_S)
        host, port = self.sock.getsockname()[:2]
        log_event(
            "fleet", f"{self.peer.identity.name} speaks with fleet {self.settings.name} at {host}:{port}"
        )

    def close(self, leave: bool) -> None:
        """`leave`: says good-bye; otherwise another process of this proxy takes the name up."""
        if leave and self.sock:
            self.peer.membership.leave(clock())
            self._send()
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.reader:
            self.reader.kill()
            self.reader = None
        if self.sock:
            self.sock.close()
            self.sock = None

    def rekey(self, terms: FleetConfig) -> None:
        """New keys, or the same, under the same names and addresses."""
        self.settings = terms
        self.peer.sealer.rekey(terms.read_keys())

    # ------------------------------------------------------------ in and out

    def _read(self) -> None:
        self._wait_for_socket()
        self._after()
        count = 0
        while True:
            if not self.all.take(clock()):
                self.dropped["held_back"] += 1
                gevent.sleep(0.05)  # the system drops what its buffer does not hold
                continue
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # an answer that nobody listens where we sent to: no news
                if self.sock.fileno() < 0:
                    return
                continue
            self._took(data, source)
            count += 1
            if count % BATCH == 0:
                gevent.sleep(0)

    def _took(self, data: bytes, source: Any) -> None:
        known = source in self.sources
        if not known and not self.unknown.take(clock()):
            self.dropped["unknown"] += 1
            return
        try:
            before = sum(self.peer.sealer.counts.values())
            self.peer.receive(clock(), data)
            if not known and sum(self.peer.sealer.counts.values()) == before:
                self.sources[source] = None
                if len(self.sources) > SOURCES:
                    self.sources.popitem(last=False)
            self._after()
        except Exception as problem:  # ours: nobody else may suffer from it
            log_event(
                "fault", f"fleet: {type(problem).__name__}: {problem}", "error", where=error_location(problem)
            )

    def _turn(self) -> None:
        wanted, self.timer = self.timer, None
        try:
            now = clock()
            self.peer.advance(now, max(0, now - wanted.due) if wanted else 0)
        except Exception as problem:
            log_event(
                "fault", f"fleet: {type(problem).__name__}: {problem}", "error", where=error_location(problem)
            )
        self._after()

    def _after(self) -> None:
        self._send()
        for change in self.peer.drain_changes():
            self._tell(change)
        due = max(self.peer.next_deadline(), clock() + 1_000)
        if self.timer is None or due < self.timer.due:
            if self.timer:
                self.timer.cancel()
            self.timer = Timer(due, self._turn)

    def _send(self) -> None:
        for host, port, data in self.peer.drain_datagrams():
            if not self.sock:
                return
            try:
                self.sock.sendto(data, socket.MSG_DONTWAIT, (host, port))
            except OSError:
                self.dropped["unsent"] += 1  # a full buffer, no route: as if lost on the way

    def _tell(self, change: MemberChange) -> None:
        counts = self.peer.member_counts()
        log_event(
            "fleet", f"{change.name} is {change.state}: {change.cause}", LEVELS.get(change.state, "info"),
            member=change.name, state=change.state, alive=counts.alive + 1, lost=counts.lost,
        )  # fmt: skip

    # ------------------------------------------------------------ shown

    def status(self) -> dict[str, Any]:
        """All of it, as JSON."""
        peer, counts, now = self.peer, self.peer.member_counts(), clock()
        return {
            "name": peer.identity.name, "fleet": peer.identity.fleet, "tier": peer.identity.tier,
            "session": f"{peer.sealer.session:016x}", "speaking": self.sock is not None,
            "health": peer.membership.health,
            "alive": counts.alive + 1, "suspect": counts.suspect, "lost": counts.lost,
            "shared": peer.load_sharing.shown(now) if peer.load_sharing else {},
            "traffic": dict(peer.counts), "dropped": peer.drop_counts() | self.dropped,
            "members": peer.member_list(now),
        }  # fmt: skip
