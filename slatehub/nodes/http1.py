"""The transport of attempts over HTTP/1.1: the addresses of the nodes, a pool of reused connections to them, and the
exchange of each attempt.

It opens and closes connections and reports exactly one outcome for each attempt. It does not choose nodes, does not
retry on its own, and does not begin a request to a draining node. An attempt counts as served only when its whole
response has arrived, or the beginning of one that is streamed (see `UpstreamExchange._stream_response`)."""

from __future__ import annotations

import errno
import math
import sys
from random import Random

import gevent

from paddlestep.interface import Status

from ..core.jobs import Attempt, NodeResponse
from ..core.limits import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, RESOURCE_EXHAUSTED_ERRNOS
from ..core.memory import MemoryBudget
from ..decisions.connection_reuse import newest_reusable, reusable_at, reuse_wait_us
from ..decisions.pacing import ConnectLimiter, ConnectLimiterConfig
from ..drivers.clock import Timer, clock
from ..drivers.dispatcher import DispatcherDriver
from ..drivers.pipe import Pipe, ReaderClosed
from ..drivers.upstream import (
    InvalidResponse,
    RequestAbandoned,
    StaleConnection,
    UnsolicitedData,
    UpstreamConnection,
    UpstreamError,
    UpstreamResponse,
    host_header,
    serialize_request,
)
from ..observe.log import error_location, log_event
from ..settings.reader import Address, ProxyConfig
from .outcomes import status_for_broken_connection, status_for_response, status_for_timeout

IDLE_CLOSE_MARGIN_US = 1_000_000  # an idle connection is closed this long before the node would close it
RECENT_START_US = 10_000_000  # a node that started less than this ago counts as returned after a restart
# So long before its deadline the beginning of a large response is forwarded, however slowly the rest comes.
FORWARD_MARGIN_US = 500_000
CONNECT_LOST_US = 5_000_000  # a handshake without a result for this long counts as failed


class PooledNode:
    """A node: its endpoint number, its address, its last start in microseconds (0: long ago), its zone, and the idle
    connections to it, the last used at the end."""

    def __init__(self, endpoint: int, address: Address, since: int) -> None:
        self.endpoint = endpoint
        self.address = address
        self.since = since
        self.zone = 0
        self.idle: list[UpstreamConnection] = []


class NodePool:
    """The nodes, the connections to them, and the interface through which the dispatcher sends attempts."""

    def __init__(
        self,
        config: ProxyConfig,
        dispatcher: DispatcherDriver,
        max_connections: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.memory = memory or MemoryBudget(sys.maxsize)
        self.max_connections = max_connections
        self.open_connections = 0
        self.nodes: dict[int, PooledNode] = {}
        self.connect_limiter = ConnectLimiter(
            ConnectLimiterConfig(lost_us=CONNECT_LOST_US), Random(config.seed)
        )
        self.connections_opened = self.attempts_sent = 0  # since the start, for the log

    # ------------------------------------------------------------ calls of the node list

    def set_node(self, endpoint: int, address: Address, since: int = 0, zone: int = 0) -> None:
        """Sets the address of a node, its last start (microseconds) and its zone. If the address changes, idle
        connections to the old one are closed."""
        node = self.nodes.get(endpoint)
        if node is None:
            node = self.nodes[endpoint] = PooledNode(endpoint, address, 0)
        if node.address != address:
            node.address = address
            self.close_idle(node)
        node.zone = zone
        if node.since != since:
            node.since = since
            if clock() - since < RECENT_START_US:
                self.connect_limiter.node_returned(clock(), endpoint)

    def close_node(self, endpoint: int) -> None:
        """Closes the idle connections to a node that drains or is gone. Its address is kept, as the balancer may still
        send an attempt to it or have one under way."""
        if node := self.nodes.get(endpoint):
            self.close_idle(node)
        self.connect_limiter.node_removed(endpoint)

    def forget_node(self, endpoint: int) -> None:
        """Removes a node to which no more attempts will be sent."""
        self.close_node(endpoint)
        self.nodes.pop(endpoint, None)

    @property
    def idle_timeout_us(self) -> int:
        """How long an idle connection is kept, in microseconds: it must be closed before the node closes it."""
        return max(self.config.conn_idle_us - IDLE_CLOSE_MARGIN_US, self.config.conn_idle_us * 4 // 5)

    def apply_settings(self, config: ProxyConfig, max_connections: int) -> None:
        """Applies new settings. Connections stay open, except idle ones that would now be kept for too long."""
        self.config = config
        self.max_connections = max_connections
        latest = clock() + self.idle_timeout_us
        for node in self.nodes.values():
            for connection in [x for x in node.idle if x.timer and x.timer.due > latest]:
                self._close_connection(node, connection)

    def close_idle(self, node: PooledNode) -> None:
        """Closes all idle connections to a node."""
        for connection in list(node.idle):
            self._close_connection(node, connection)

    def _close_connection(self, node: PooledNode, connection: UpstreamConnection) -> None:
        if connection in node.idle:
            node.idle.remove(connection)
        connection.close()

    # ------------------------------------------------------------ the attempt transport

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt in a greenlet of its own."""
        attempt.exchange = UpstreamExchange(self, attempt)
        self.attempts_sent += 1

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt as CANCELLED."""
        if attempt.exchange:
            attempt.exchange.stop(Status.CANCELLED)

    # ------------------------------------------------------------ connections

    def take_idle(self, node: PooledNode) -> UpstreamConnection | None:
        """Returns the idle connection that was used last, has rested since and is still usable, or None."""
        now = clock()
        while (index := newest_reusable(node.idle, now)) is not None:
            connection = node.idle.pop(index)
            if connection.is_usable():
                return connection
            if connection.has_unsolicited_data():
                self.log_unsolicited_data(node)
            connection.close()
        return None

    def log_unsolicited_data(self, node: PooledNode) -> None:
        """Logs that a node has sent more than its response, for example a duplicate of it."""
        node_id = self.dispatcher.node_ids.get(node.endpoint)
        log_event("nodes", "unsolicited data after a response: connection closed", "warning", node=node_id)

    @property
    def at_limit(self) -> bool:
        """Whether all `max_connections` are open, idle ones included."""
        return self.open_connections >= self.max_connections

    def new_connection(self, node: PooledNode) -> UpstreamConnection:
        """Returns a new connection, not yet connected. Raises OSError if all `max_connections` are in use."""
        if self.at_limit:
            # Closes the oldest idle connection to any node. Otherwise idle connections to nodes that are no longer used
            # could fill the pool.
            idle = [
                (m.idle[0].timer.due if m.idle[0].timer else 0, endpoint)
                for endpoint, m in self.nodes.items()
                if m.idle
            ]
            if not idle:
                raise OSError(errno.EMFILE, "too many connections to nodes")
            spare = self.nodes[min(idle)[1]]
            self._close_connection(spare, spare.idle[0])
        connection = UpstreamConnection(node.address, self._connection_closed)
        self.open_connections += 1
        self.connections_opened += 1
        return connection

    def _connection_closed(self) -> None:
        self.open_connections -= 1

    def release(self, node: PooledNode, connection: UpstreamConnection, endpoint: int) -> None:
        """Takes a connection back after a response: it is kept for the next request, unless the node has moved, drains
        or is gone."""
        unavailable = endpoint in self.dispatcher.unavailable_since or self.nodes.get(endpoint) is not node
        if unavailable or connection.address != node.address:
            connection.close()
            return
        now, own_zone = clock(), node.zone == self.config.settings.zone
        connection.mark_idle(
            now + self.idle_timeout_us,
            lambda: self._close_connection(node, connection),
            reusable_at(now, own_zone),
        )
        node.idle.append(connection)

    # ------------------------------------------------------------ load reports

    def parse_load_report(self, text: str) -> tuple[float, ...]:
        """Returns the values of a load report in the order of the configured columns. Unknown names are ignored. A
        report in which a column is missing or is not a finite number counts as no report: the result is empty."""
        columns = self.config.settings.report_columns
        if not text or not columns:
            return ()
        values: dict[str, float] = {}
        for pair in text.split(","):
            name, _, value = pair.partition("=")
            if name.strip() in columns:
                try:
                    values[name.strip()] = float(value)
                except ValueError:
                    return ()
        valid = len(values) == len(set(columns)) and all(math.isfinite(x) for x in values.values())
        return tuple(values[c] for c in columns) if valid else ()


class UpstreamExchange:
    """One attempt under way, in a greenlet of its own. However it ends, `stop` reports the outcome to the dispatcher
    once and closes the connection unless that can be reused or still carries a streamed response."""

    def __init__(self, pool: NodePool, attempt: Attempt) -> None:
        self.pool = pool
        self.attempt = attempt
        self.connection: UpstreamConnection | None = None
        self.finished = False
        self.timer = Timer(attempt.deadline, self._deadline_reached)
        self.connect_timer: Timer | None = None  # limits the time for connecting
        self.greenlet = gevent.spawn(self._run)

    @property
    def _written(self) -> bool:
        return bool(self.connection and self.connection.written)

    def _deadline_reached(self) -> None:
        self.stop(status_for_timeout(self._written))

    def stop(
        self, status: Status, report: tuple[float, ...] = (), node_response: NodeResponse | None = None
    ) -> None:
        """Ends the attempt with this outcome; later calls do nothing."""
        if self.finished:
            return
        self.finished = True
        self.timer.cancel()
        if self.connect_timer:
            self.connect_timer.cancel()
        if self.connection:
            self.connection.close()
        if gevent.getcurrent() is not self.greenlet:
            self.greenlet.kill(block=False)
        self.pool.dispatcher.attempt_ended(self.attempt, status, report, node_response)

    def _run(self) -> None:
        try:
            self._perform()
        except (OSError, UpstreamError) as error:
            if getattr(error, "errno", None) in RESOURCE_EXHAUSTED_ERRNOS:
                self._log("sockets", f"cannot open a connection: {error}", "error")
            if isinstance(error, InvalidResponse):
                self._log("nodes", f"invalid response: {error}", "warning")
            self.stop(
                status_for_broken_connection(
                    self._written, invalid_response=isinstance(error, InvalidResponse)
                )
            )
        except Exception as error:
            self._log("fault", f"attempt failed: {type(error).__name__}: {error}", "error", error)
        finally:
            # After an unexpected exception above the attempt still gets its outcome, and the job its answer.
            self.stop(status_for_broken_connection(self._written))
            if self.connection:
                # Taken or opened after `stop`: a killed greenlet can run once more before it ends.
                self.connection.close()

    def _log(self, topic: str, text: str, level: str, error: Exception | None = None) -> None:
        node_id = self.pool.dispatcher.node_ids.get(self.attempt.endpoint)
        log_event(
            topic, text, level, request=self.attempt.job.request_id, node=node_id, where=error_location(error)
        )

    def _perform(self) -> None:
        pool, attempt = self.pool, self.attempt
        node = pool.nodes.get(attempt.endpoint)
        if node is None:
            return self.stop(Status.MOOT)
        connection = self._send_request(node)
        if connection is None:
            return self.stop(Status.MOOT)
        response = connection.read(
            MAX_BUFFERED_BODY_BYTES,
            lambda: self.stop(Status.ERROR),
            MAX_BODY_BYTES,
            pool.memory,
            attempt.deadline - FORWARD_MARGIN_US,
        )
        try:
            if response.streamed:
                self._stream_response(node, connection, response)
            else:
                self._deliver_response(node, connection, response)
        finally:
            response.release()

    def _deliver_response(
        self, node: PooledNode, connection: UpstreamConnection, response: UpstreamResponse
    ) -> None:
        """Reports a response that has arrived whole."""
        pool, attempt = self.pool, self.attempt
        report = pool.parse_load_report(response.headers.get("x-server-load", ""))
        if response.has_excess_data:
            pool.log_unsolicited_data(node)
        if response.reusable:
            self.connection = None
            pool.release(node, connection, attempt.endpoint)
        node_response = None
        status = status_for_response(response.status, response.headers.get("x-not-processed") == "1")
        if status is Status.OK:
            node_response = NodeResponse(bytes(response.body), response.headers.get("content-type", ""))
        self.stop(status, report, node_response)

    def _stream_response(
        self, node: PooledNode, connection: UpstreamConnection, response: UpstreamResponse
    ) -> None:
        """Streams a large response to the caller. For the balancer the attempt has been served and is over; the rest of
        the transfer concerns only the node and the caller, and goes at the caller's pace. It ends when either of them
        ends it, or when it stalls."""
        if self.finished or self.attempt.job.answered:
            return self.stop(Status.CANCELLED)
        pool, endpoint = self.pool, self.attempt.endpoint
        self.connection = None  # `stop` must not close it
        pipe = Pipe(connection.close)
        report = pool.parse_load_report(response.headers.get("x-server-load", ""))
        node_response = NodeResponse(
            response.take_body(), response.headers.get("content-type", ""), pipe, response.declared_length
        )
        timer = None
        if response.declared_length is not None and response.declared_length <= MAX_BUFFERED_BODY_BYTES:
            # A short answer that is not collected, as memory is short: its last byte is due in time.
            timer = Timer(self.attempt.job.deadline, connection.close)
        try:
            self.stop(Status.OK, report, node_response)
            while chunk := connection.read_body_chunk(response):
                pipe.write_chunk(chunk)
            pipe.finish()
            if response.has_excess_data:
                pool.log_unsolicited_data(node)
            if response.reusable:
                return pool.release(node, connection, endpoint)
        except ReaderClosed:
            pass
        except (OSError, UpstreamError) as error:
            if pipe.on_reader_closed:  # else the caller has gone, which closed the connection
                self._log("nodes", f"streamed response broken off: {error}", "warning")
                pipe.abort()
        finally:
            response.parser = None  # breaks a reference cycle that would need a garbage collection
            if timer:
                timer.cancel()
        connection.close()

    @property
    def _is_obsolete(self) -> bool:
        """Whether the request must not be sent any more: the attempt has been stopped, the job has been answered or its
        caller has gone, or the node drains or is gone. Checked after each wait before the first byte is written, as
        the dispatcher cancels an attempt only if the settings allow it."""
        return (
            self.finished
            or self.attempt.job.answered
            or self.attempt.endpoint in self.pool.dispatcher.unavailable_since
        )

    def _connect(self, node: PooledNode) -> UpstreamConnection | None:
        """Opens a new connection as soon as the connect limiter allows another handshake, or returns one that can be
        reused before that. The limiter restricts the concurrent handshakes with a node that has just returned, and more
        so while they fail. The attempt's deadline ends the wait. Returns None if the attempt became obsolete."""
        pool, endpoint = self.pool, self.attempt.endpoint
        requested_at, connected = clock(), False
        while pool.config.operator.storms.pace and (
            wait := pool.connect_limiter.acquire(requested_at, endpoint)
        ):
            gevent.sleep(wait / 1e6)
            if self._is_obsolete:
                return None
            if idle := pool.take_idle(node):
                return idle
            requested_at = clock()
        try:
            connection = self.connection = pool.new_connection(node)
            timeout_us = pool.config.settings.connect_timeout_us
            self.connect_timer = Timer(clock() + timeout_us, lambda: self.stop(Status.CONNECT_FAILED))
            connection.connect()
            self.connect_timer.cancel()
            self.connect_timer = None
            connected = True
            return connection
        finally:
            pool.connect_limiter.release(clock(), endpoint, connected, requested_at)

    def _send_request(self, node: PooledNode) -> UpstreamConnection | None:
        """Writes the request and returns the connection that carries it; None if the attempt became obsolete."""
        pool, attempt = self.pool, self.attempt
        while not self._is_obsolete:
            connection = self.connection = pool.take_idle(node)
            if connection is None and (wait := reuse_wait_us(node.idle, clock(), pool.at_limit)):
                gevent.sleep(wait / 1e6)
                continue
            connection = self.connection = connection or self._connect(node)
            if connection is None or not attempt.job.responder.may_begin(attempt.job) or self._is_obsolete:
                break
            if connection.address != node.address:
                connection.close()  # the node has moved meanwhile: another process may be at its old address
                continue
            time_left = attempt.deadline - clock()
            try:
                request = serialize_request(
                    attempt.job.request,
                    host_header(connection.address),
                    f"X-Timeout: {max(1, time_left)}u\r\n",
                )
                # A request that has begun is completed even if the node begins to drain.
                connection.write(request, lambda: attempt.job.answered)
                return connection
            except RequestAbandoned:
                break
            except StaleConnection as error:
                if isinstance(error, UnsolicitedData):
                    pool.log_unsolicited_data(node)
                connection.close()  # nothing has run on the node: the same attempt uses another connection
        return None
