"""Runs the peer in the daemon: its UDP socket, its timer, and its log lines. Takes no decisions, never waits for
another proxy, and bounds the share of the event loop that incoming datagrams may use."""

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
from .membership import MemberChange, TokenBucket
from .peer import Peer, PeerIdentity

READ_BATCH = 32  # datagrams read before other greenlets run
RECEIVE_RATE = 2_000  # datagrams read a second; at about 15 us each, 3 % of a core
PAYLOAD_RECEIVE_RATE = 20_000  # the same, once other subsystems send payloads too
UNKNOWN_SOURCE_RATE = 200  # of these, from addresses that have not yet sent an authentic datagram
MAX_KNOWN_SOURCES = 2048  # addresses remembered as having sent one
RECEIVE_BUFFER_BYTES = 256 * 1024  # socket receive buffer; the kernel drops what exceeds it
BIND_RETRY_S = 0.2  # between two attempts to bind while another process of this proxy holds the address
LEVELS = {"lost": "warning", "suspect": "info", "clash": "error", "self": "warning"}


class FleetDriver:
    """Runs one process's membership. `seed`: seeds its random numbers, together with the clock."""

    def __init__(self, name: str, tier: int, config: FleetConfig, seed: int) -> None:
        assert config.listen
        self.settings = config
        host, port = config.advertise or config.listen
        identity = PeerIdentity(name, config.name, tier, host, port, config.seeds)
        self.peer = Peer(identity, config.read_keys(), clock(), Random(seed ^ clock()))
        self.sock: Any = None
        self.reader: Any = None
        self.timer: Timer | None = None
        self.limiter, self.unknown_limiter = (
            TokenBucket(RECEIVE_RATE, RECEIVE_RATE / 10),
            TokenBucket(UNKNOWN_SOURCE_RATE, UNKNOWN_SOURCE_RATE / 10),
        )
        self.known_sources: OrderedDict[Any, None] = OrderedDict()
        self.dropped = {"unknown": 0, "unsent": 0, "held_back": 0}

    def start_load_sharing(
        self, module: Callable[[], Any], on_peers: Callable[[int, Peers, int], None]
    ) -> LoadSharing:
        """Starts reporting this proxy's load; the fleet's load goes to `on_peers`. The returned object must observe
        each batch of the decision module."""
        return self.peer.start_load_sharing(clock(), module, on_peers)

    def send_payload(self, name: str, topic: int, body: bytes) -> None:
        """Sends to the same subsystem of another proxy, if that is known; may be lost like any datagram."""
        if self.peer.send_payload(name, topic, body):
            self._send()

    def broadcast(self, topic: int, body: bytes) -> None:
        """Sends to all live members."""
        for name in [m.record.name for m in self.peer.membership.member_table.live_members()]:
            self.send_payload(name, topic, body)

    def raise_receive_limit(self) -> None:
        """Raises the receive rate for a subsystem that sends payloads; the CPU time used may rise accordingly."""
        self.limiter = TokenBucket(PAYLOAD_RECEIVE_RATE, PAYLOAD_RECEIVE_RATE / 10)

    # ------------------------------------------------------------ start and stop

    def open(self) -> None:
        """Joins the fleet as soon as the address can be bound."""
        if self.reader is None:
            self.reader = gevent.spawn(self._receive_loop)

    def _bind(self) -> Any:
        assert self.settings.listen
        host, port = self.settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        return sock

    def _wait_for_socket(self) -> None:
        logged = False
        while self.sock is None:
            try:
                self.sock = self._bind()
            except OSError as problem:
                if not logged:
                    log_event("fleet", f"cannot bind the socket, retrying: {problem}", "warning")
                logged = True
                gevent.sleep(BIND_RETRY_S)
        host, port = self.sock.getsockname()[:2]
        log_event("fleet", f"{self.peer.identity.name} joins fleet {self.settings.name} at {host}:{port}")

    def close(self, leave: bool) -> None:
        """`leave`: announces the departure; otherwise another process of this proxy takes over its name."""
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

    def rekey(self, config: FleetConfig) -> None:
        """Reads the keys again; names and addresses stay."""
        self.settings = config
        self.peer.sealer.rekey(config.read_keys())

    # ------------------------------------------------------------ input and output

    def _receive_loop(self) -> None:
        self._wait_for_socket()
        self._flush()
        count = 0
        while True:
            if not self.limiter.take(clock()):
                self.dropped["held_back"] += 1
                gevent.sleep(0.05)  # the kernel drops what its buffer does not hold
                continue
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # an ICMP error: nothing listens at an address that was sent to
                if self.sock.fileno() < 0:
                    return
                continue
            self._handle_datagram(data, source)
            count += 1
            if count % READ_BATCH == 0:
                gevent.sleep(0)

    def _handle_datagram(self, data: bytes, source: Any) -> None:
        known = source in self.known_sources
        if not known and not self.unknown_limiter.take(clock()):
            self.dropped["unknown"] += 1
            return
        try:
            before = sum(self.peer.sealer.counts.values())
            self.peer.receive(clock(), data)
            if not known and sum(self.peer.sealer.counts.values()) == before:
                self.known_sources[source] = None
                if len(self.known_sources) > MAX_KNOWN_SOURCES:
                    self.known_sources.popitem(last=False)
            self._flush()
        except Exception as problem:  # a bug here must not stop the receive loop
            log_event(
                "fault", f"fleet: {type(problem).__name__}: {problem}", "error", where=error_location(problem)
            )

    def _on_timer(self) -> None:
        wanted, self.timer = self.timer, None
        try:
            now = clock()
            self.peer.advance(now, max(0, now - wanted.due) if wanted else 0)
        except Exception as problem:
            log_event(
                "fault", f"fleet: {type(problem).__name__}: {problem}", "error", where=error_location(problem)
            )
        self._flush()

    def _flush(self) -> None:
        self._send()
        for change in self.peer.drain_changes():
            self._log_change(change)
        due = max(self.peer.next_deadline(), clock() + 1_000)
        if self.timer is None or due < self.timer.due:
            if self.timer:
                self.timer.cancel()
            self.timer = Timer(due, self._on_timer)

    def _send(self) -> None:
        for host, port, data in self.peer.drain_datagrams():
            if not self.sock:
                return
            try:
                self.sock.sendto(data, socket.MSG_DONTWAIT, (host, port))
            except OSError:
                self.dropped["unsent"] += 1  # a full buffer, no route: as if lost on the way

    def _log_change(self, change: MemberChange) -> None:
        counts = self.peer.member_counts()
        log_event(
            "fleet", f"{change.name} is {change.state}: {change.cause}", LEVELS.get(change.state, "info"),
            member=change.name, state=change.state, alive=counts.alive + 1, lost=counts.lost,
        )  # fmt: skip

    # ------------------------------------------------------------ status

    def status(self) -> dict[str, Any]:
        """The full status, in a form for JSON."""
        peer, counts, now = self.peer, self.peer.member_counts(), clock()
        return {
            "name": peer.identity.name, "fleet": peer.identity.fleet, "tier": peer.identity.tier,
            "session": f"{peer.sealer.session:016x}", "speaking": self.sock is not None,
            "health": peer.membership.health,
            "alive": counts.alive + 1, "suspect": counts.suspect, "lost": counts.lost,
            "shared": peer.load_sharing.status(now) if peer.load_sharing else {},
            "traffic": dict(peer.counts), "dropped": peer.drop_counts() | self.dropped,
            "members": peer.member_list(now),
        }  # fmt: skip
