"""The HTTP/1.1 server for callers: the listener, the connections that it accepts, and which of them are closed to make
room, at a drain or at a stop. No caller may block another."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from ...core.limits import RESOURCE_EXHAUSTED_ERRNOS
from ...core.memory import MemoryBudget
from ...decisions.drain import HANDOVER_IDLE_GRACE_US, Drain
from ...decisions.pacing import AcceptLimiter, AcceptLimiterConfig
from ...decisions.shutdown import ShutdownSchedule
from ...decisions.stall import HEARTBEAT_INTERVAL_US, StallDetector
from ...drivers.clock import PROCESS_STARTED_US, clock
from ...drivers.dispatcher import DispatcherDriver
from ...observe.log import log_event
from ...settings.reader import Address, ProxyConfig
from ..listener import has_input, listen, since_last_data_us
from ..validation import LocalResponse, ReceivedRequest, is_recorded, kept_headers
from .caller_connection import RESET_ON_CLOSE, CallerConnection, EvictionRank

# Interval between checks for disconnected callers while their connections are not read. No attempt may begin later than
# 0.1 s after the caller disconnected.
DISCONNECT_CHECK_INTERVAL_S = 0.03
# How long new connections wait while all are in use, or behind others; then they are closed unread, so that their
# callers can go elsewhere in time. Less where the shortest deadline of a class is less than twice as long.
MAX_ACCEPT_WAIT_US = 2_000_000
MAX_CLOSED_UNREAD = 1024  # at once
ACCEPT_BACKLOG_US = 200_000  # after all were in use, until those that waited are accepted
MIN_ACCEPT_WAIT_US = 10_000  # from which on the time that input has waited in the accept queue counts
MAX_CLOSED_PER_TURN = 64  # new connections that have waited too long, without a turn for the others
MIN_EVICTION_AGE_US = 200_000  # the first request of a younger connection may still be in transit
NEW_CONNECTION_GRACE_US = 500_000  # for the first request of a new connection during a planned stop


class HttpServer:
    """The listener and all callers' connections."""

    def __init__(
        self, config: ProxyConfig, dispatcher: DispatcherDriver, max_connections: int, memory: MemoryBudget
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.max_connections = max_connections
        self.kept_headers = kept_headers(config)
        self.memory = memory
        self.bytes_read_ahead = 0  # of the bytes held, those that are read ahead and not parsed yet
        self.memory_released = Event()
        memory.on_release = self._on_memory_released
        self.memory_waiters: deque[CallerConnection] = deque()  # connections that wait for memory, in order
        self.paused_readers: set[CallerConnection] = set()  # connections whose reader is paused
        self.reader_paused = Event()
        self.discard_buffer = bytearray(256 * 1024)
        self.shutdown: ShutdownSchedule | None = None
        self.drain = Drain()
        self.handover = Drain(HANDOVER_IDLE_GRACE_US)  # another process accepts connections
        self.accept_limiter = AcceptLimiter(AcceptLimiterConfig())
        self.stall_detector = StallDetector(PROCESS_STARTED_US)
        self.started = False
        # Since when new connections wait as all are in use, and when one was last found to; microseconds, 0: none does.
        self.full_since = self.full_until = 0
        self.connections: OrderedDict[CallerConnection, None] = OrderedDict()  # least recently used first

    def start(self, listener: Any = None) -> None:
        """`listener`: inherited from another process, with the same accept queue."""
        self.listener = listener or self.bind(self.config.listen)
        if listener:
            self.stall_detector = StallDetector(clock())  # until now the other process accepted connections
        # The start-up counts as a stall. Requests that arrived during it are read within the next moments.
        self.stall_detector.heartbeat(clock())
        self.started = True
        self.heartbeat_greenlet = gevent.spawn(self._heartbeat_loop)
        self.disconnect_greenlet = gevent.spawn(self._disconnect_loop)
        self.acceptor = gevent.spawn(self._accept_loop)

    def _on_memory_released(self) -> None:
        if self.memory_waiters:
            self.memory_released.set()

    def unreceived_bytes(self) -> int:
        """Bytes that are counted for large bodies and have not been received yet."""
        bodies = (connection.parser.large_body for connection in self.connections)
        return sum(body.reserved - body.received for body in bodies if body is not None)

    def mark_reader_paused(self, connection: CallerConnection) -> None:
        """Includes a connection whose reader stops reading in the disconnect checks."""
        self.paused_readers.add(connection)
        self.reader_paused.set()

    def _disconnect_loop(self) -> None:
        """Closes connections with a paused reader whose caller disconnected, so that no attempt begins for them."""
        while True:
            self.reader_paused.wait()
            gevent.sleep(DISCONNECT_CHECK_INTERVAL_S)
            for connection in list(self.paused_readers):
                self._check_disconnected(connection)
            if not self.paused_readers:
                self.reader_paused.clear()

    @staticmethod
    def _check_disconnected(connection: CallerConnection) -> None:
        try:
            connection.read_ahead()
            if connection.disconnected:
                connection.close()
            elif connection.could_leave_unnoticed:
                connection.withdraw_job()
        except OSError:  # reset
            connection.close()

    def _heartbeat_loop(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_US / 1e6)
            self.stall_detector.heartbeat(clock())

    def bind(self, address: Address) -> Any:
        """A listening socket for `start` or `apply_settings`. Raises OSError."""
        return listen(address, shared=self.config.mgmt is not None)

    def apply_settings(
        self, config: ProxyConfig, max_connections: int, memory_limit: int, listener: Any
    ) -> None:
        """Applies new settings. Connections stay open, and later requests are validated against the new settings. A new
        listener replaces the old one, whose accept queue is emptied first."""
        self.config = config
        self.kept_headers = kept_headers(config)
        self.max_connections = max_connections
        self.memory.limit = memory_limit
        if listener:
            self.acceptor.kill()
            if not self.handover.active:
                self._accept_backlog()
            self.listener.close()
            self.listener = listener
            self.acceptor = gevent.spawn(self._accept_loop)

    def needs_digest(self, headers: dict[str, str]) -> bool:
        """Whether the body of a request with these headers is hashed, for the ledger."""
        return is_recorded(headers, self.config)

    def ready(self, request: ReceivedRequest) -> LocalResponse:
        """The response to /ready."""
        if request.method not in ("GET", "HEAD"):
            return LocalResponse(405, "this path takes GET", closes_connection=False)
        if self.drain.active:
            return LocalResponse(503, "drained", closes_connection=False)
        is_ready = self.started and (not self.shutdown or self.handover.active)
        return (
            LocalResponse(200, "ready", closes_connection=False)
            if is_ready
            else LocalResponse(503, "stopping", closes_connection=False)
        )

    @property
    def serving(self) -> bool:
        """Whether this process accepts connections, also during a drain."""
        return self.started and self.listener.fileno() >= 0

    def start_drain(self) -> None:
        """Starts an operator's drain: requests are still answered, but connections are no longer kept alive."""
        if not self.drain.active:
            self.drain.start(clock())
            gevent.spawn(self._close_idle_while_draining, self.drain)

    def end_drain(self) -> None:
        """Ends an operator's drain."""
        self.drain.cancel()

    def suspend(self) -> None:
        """Stops accepting because another process has taken over. Connections in the shared accept queue are kept."""
        if not self.handover.active:
            self.acceptor.kill()
            self.handover.start(clock())
            gevent.spawn(self._close_idle_while_draining, self.handover)

    def resume(self) -> None:
        """Accepts connections again after that process has ended."""
        self.handover.cancel()
        if not self.shutdown:
            self.acceptor = gevent.spawn(self._accept_loop)

    def _close_idle_while_draining(self, drain: Drain) -> None:
        started_at = drain.started_at
        while drain.started_at == started_at:
            now = clock()
            for connection in list(self.connections):
                if (
                    connection.idle
                    and drain.should_close_idle(now, connection.idle_since, connection.fresh)
                    and connection.input_empty
                ):
                    connection.close()
            gevent.sleep(0.02)

    def mark_idle(self, connection: CallerConnection) -> None:
        """Makes it the most recently used connection."""
        if connection in self.connections:
            self.connections.move_to_end(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Removes a closed connection."""
        self.connections.pop(connection, None)
        self.paused_readers.discard(connection)

    def _add_connection(self, sock: Any) -> CallerConnection:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(self, sock)
        self.connections[connection] = None
        self.dispatcher.connection_opened()
        self.memory.on_growth()
        return connection

    @property
    def _has_waiting_connection(self) -> bool:
        """Whether a connection waits in the accept queue."""
        return has_input(self.listener)

    @property
    def _max_accept_wait_us(self) -> int:
        """How long a request may have waited in the accept queue. After that its connection is closed unread: it counts
        as not taken, while an answer after its time would be late."""
        shortest_us = min(kind.deadline_us for kind in self.config.settings.classes)
        return min(MAX_ACCEPT_WAIT_US, shortest_us // 2)

    @staticmethod
    def _close_unread(sock: Any) -> None:
        # A reset says that nothing was read; a FIN could cross the request and look like an answer left out.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    def _limit_accept_wait(self) -> None:
        """Called while all connections are in use and one waits. Closes those that have waited for long, unread."""
        now = self.full_until = clock()
        self.full_since = self.full_since or now
        if now - self.full_since < self._max_accept_wait_us:
            return
        closed = 0
        while closed < MAX_CLOSED_UNREAD and self._has_waiting_connection:
            self._close_unread(self.listener.accept()[0])
            closed += 1
        self.full_since = 0
        reason = "memory is full" if self.memory.critical else "all connections are in use"
        log_event("callers", f"{reason}: closed {closed} new ones unread", "warning")

    def _accept_loop(self) -> None:
        while True:
            try:
                # A connection is evicted only when a new one is waiting. An accepted socket gets its CallerConnection
                # at once, because a complete request may already have arrived on it.
                socket.wait_read(self.listener.fileno())
                for _ in range(MAX_CLOSED_PER_TURN):
                    if self._accept_next() or not self._has_waiting_connection:
                        break
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                if error.errno in RESOURCE_EXHAUSTED_ERRNOS:
                    # accept() fails at once, again and again, while no descriptor is free; do not spin.
                    log_event("sockets", f"cannot accept a connection: {error}", "error")
                    self._evict_connection()
                    gevent.sleep(0.05)
                continue
            gevent.sleep(0)  # many new connections must not delay the open ones

    def _accept_next(self) -> int:
        """Accepts the next connection once there is room for it. Returns whether it is kept: one whose request has
        waited too long is closed unread."""
        self._wait_for_accept_limiter()
        while not self._make_room():
            self._limit_accept_wait()
            gevent.sleep(0.02)  # all are busy; new connections wait in the accept queue
        if self.full_since and clock() - self.full_until > ACCEPT_BACKLOG_US:
            self.full_since = 0
        sock = self.listener.accept()[0]
        waited_us = since_last_data_us(sock)
        was_stalled = self.stall_detector.max_unread_us(clock()) > 0
        if not self._has_waiting_connection:
            self.full_since = 0
        if waited_us >= self._max_accept_wait_us and not was_stalled and has_input(sock):
            self._close_unread(sock)
            log_event("callers", "the accept queue is long: closed a new connection unread", "warning")
            return False
        connection = self._add_connection(sock)
        if waited_us >= MIN_ACCEPT_WAIT_US and has_input(sock):
            connection.receipt_clock.left_unread(clock() - waited_us)
        return True

    def _wait_for_accept_limiter(self) -> None:
        """Leaves new connections in the accept queue while there are too many, so that open ones are served."""
        while self.config.operator.storms.pace and not self.accept_limiter.acquire(
            clock(), len(self.dispatcher.job_table.by_request_id)
        ):
            due = self.accept_limiter.due()
            gevent.sleep(max(0, due - clock()) / 1e6 if due else 0)

    def _make_room(self) -> bool:
        """Returns whether one more connection may be accepted, for which another one was closed if need be."""
        is_full = len(self.connections) >= self.max_connections or self.memory.critical
        return not is_full or self._evict_connection()

    def _evict_connection(self) -> bool:
        """Closes the least recently used one of the most dispensable connections (`EvictionRank`) and returns whether
        there was one. Callers that send nothing or only a few bytes must neither keep others out nor cost them their
        connections."""
        cutoff = clock() - MIN_EVICTION_AGE_US
        first_by_rank: dict[EvictionRank, CallerConnection] = {}
        for connection in self.connections:
            rank = connection.eviction_rank(cutoff)
            if rank is not None and rank not in first_by_rank:
                if rank is EvictionRank.INCOMPLETE or connection.input_empty:
                    first_by_rank[rank] = connection
                if EvictionRank.UNUSED in first_by_rank:
                    break
        victim = first_by_rank[min(first_by_rank)] if first_by_rank else None
        if victim:
            state = "it was idle" if victim.idle else "its request was not whole"
            log_event("callers", f"connection closed to make room for a new one: {state}")
            if victim.fresh:
                # As for those that are closed unread: a FIN could cross the first request.
                victim.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            victim.close()
        return victim is not None

    @property
    def closing_connections(self) -> bool:
        """Whether responses close their connection."""
        return (
            self.drain.active
            or self.handover.active
            or (self.shutdown is not None and self.shutdown.disconnecting(clock()))
        )

    def stop(self) -> None:
        """Planned stop: keeps serving as long as the shutdown schedule allows, then closes idle connections. Returns
        when every accepted job is answered."""
        self.shutdown = self.dispatcher.stop()
        while self.connections or not (self.shutdown.finished(clock()) or self.handover.active):
            now = clock()
            if self.shutdown.disconnecting(now):
                self._close_idle(now, self.shutdown.finished(now))
                self._close_listener()
            gevent.sleep(0.02)
        self._close_listener()

    def _close_idle(self, now: int, finished: bool) -> None:
        """Closes idle connections at a planned stop. Unless `finished` (no more answers are given), one with unread
        bytes stays open until these are read and answered, because a close would reset it and could lose the last
        response."""
        for connection in list(self.connections):
            may_close = not connection.fresh or now - connection.idle_since > NEW_CONNECTION_GRACE_US
            if connection.idle and may_close and (finished or connection.input_empty):
                connection.close()

    def _close_listener(self) -> None:
        if self.listener.fileno() >= 0:
            self.acceptor.kill()
            if not self.handover.active:
                self._accept_backlog()
            self.listener.close()

    def _accept_backlog(self) -> None:
        """Accepts what is left in the accept queue; closing the listener would reset these connections."""
        self.listener.setblocking(False)
        try:
            while len(self.connections) < self.max_connections:
                self._add_connection(self.listener.accept()[0])
        except OSError:
            pass
