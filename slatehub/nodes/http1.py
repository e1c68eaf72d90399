"""The machine room: the nodes' addresses, the connections to them, and every attempt that travels on one over
HTTP/1.1. It owns connections from opening to closing and says of each attempt once how it ended. It must never choose
a node, try again on its own, or write to a node that drains; and it calls an answer served only when the whole of it
has come."""

from __future__ import annotations

import errno
import math
from random import Random

import gevent

from paddlestep.interface import Status

from ..core.jobs import Attempt, NodeResponse
from ..core.limits import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, RESOURCE_EXHAUSTED_ERRNOS
from ..decisions.pacing import ConnectLimiter, ConnectLimiterConfig
from ..drivers.clock import Timer, clock
from ..drivers.dispatcher import DispatcherDriver
from ..drivers.pipe import Pipe, ReaderClosed
from ..drivers.upstream import (
    InvalidResponse,
    RequestAbandoned,
    StaleConnection,
    UpstreamConnection,
    UpstreamError,
    UpstreamResponse,
    host_header,
    serialize_request,
)
from ..observe.log import error_location, log_event
from ..settings.reader import Address, ProxyConfig
from .outcomes import status_for_broken_connection, status_for_response, status_for_timeout

IDLE_CLOSE_MARGIN_US = 1_000_000  # before the node closes an idle connection itself
NEW_US = 10_000_000  # a node that started so long ago counts as one that has come back
PACE_LOST_US = 5_000_000


class PooledNode:
    """A node: where it is now, since when (0: long ago), and our idle connections to it, the newest last."""

    def __init__(self, peer: Address, since: int) -> None:
        self.address = peer
        self.since = since
        self.idle: list[UpstreamConnection] = []


class NodePool:
    def __init__(self, plant: ProxyConfig, desk: DispatcherDriver, most: int) -> None:
        self.config = plant
        self.dispatcher = desk
        self.max_connections = most  # connections
        self.open_connections = 0
        self.nodes: dict[int, PooledNode] = {}
        self.connect_limiter = ConnectLimiter(ConnectLimiterConfig(lost_us=PACE_LOST_US), Random(plant.seed))
        self.connections_opened = self.attempts_sent = 0  # for the log

    # ------------------------------------------------------------ what the node list tells

    def set_node(self, endpoint: int, peer: Address, since: int = 0) -> None:
        """The address of a node and its last start; it may move, and connections to where it was are of no more use."""
        machine = self.nodes.get(endpoint)
        if machine is None:
            machine = self.nodes[endpoint] = PooledNode(peer, 0)
        if machine.address != peer:
            machine.address = peer
            self.close_idle(machine)
        if machine.since != since:
            machine.since = since
            if clock() - since < NEW_US:
                self.connect_limiter.node_returned(clock(), endpoint)

    def close_node(self, endpoint: int) -> None:
        """The node is gone; it stays known by its address, as the module may still have calls out to it."""
        if machine := self.nodes.get(endpoint):
            self.close_idle(machine)
        self.connect_limiter.node_removed(endpoint)

    def forget_node(self, endpoint: int) -> None:
        """Nobody will name this node any more."""
        self.close_node(endpoint)
        self.nodes.pop(endpoint, None)

    @property
    def keep_us(self) -> int:
        """How long an idle connection is kept: the node must not be the one to close it."""
        return max(self.config.conn_idle_us - IDLE_CLOSE_MARGIN_US, self.config.conn_idle_us * 4 // 5)

    def apply_settings(self, plant: ProxyConfig, most: int) -> None:
        """New settings; connections stay, but for those that would now rest too long."""
        self.config = plant
        self.max_connections = most
        latest = clock() + self.keep_us
        for machine in self.nodes.values():
            for line in [x for x in machine.idle if x.timer and x.timer.due > latest]:
                self._drop(machine, line)

    def close_idle(self, machine: PooledNode) -> None:
        for line in list(machine.idle):
            self._drop(machine, line)

    def _drop(self, machine: PooledNode, line: UpstreamConnection) -> None:
        if line in machine.idle:
            machine.idle.remove(line)
        line.close()

    # ------------------------------------------------------------ the desk's floor

    def send(self, attempt: Attempt) -> None:
        attempt.exchange = UpstreamExchange(self, attempt)
        self.attempts_sent += 1

    def cancel(self, attempt: Attempt) -> None:
        if attempt.exchange:
            attempt.exchange.stop(Status.CANCELLED)

    # ------------------------------------------------------------ connections

    def take(self, machine: PooledNode) -> UpstreamConnection | None:
        """The idle connection used last, if one is still alive."""
        while machine.idle:
            line = machine.idle.pop()
            if line.is_usable():
                return line
            line.close()
        return None

    def new_connection(self, machine: PooledNode) -> UpstreamConnection:
        """A new connection, not yet connected. OSError where there are too many already."""
        if self.open_connections >= self.max_connections:
            # The oldest idle one anywhere makes room: guards against a pool of connections to nodes out of use.
            idle = [
                (m.idle[0].timer.due if m.idle[0].timer else 0, n) for n, m in self.nodes.items() if m.idle
            ]
            if not idle:
                raise OSError(errno.EMFILE, "too many connections to nodes")
            spare = self.nodes[min(idle)[1]]
            self._drop(spare, spare.idle[0])
        line = UpstreamConnection(machine.address, self._closed)
        self.open_connections += 1
        self.connections_opened += 1
        return line

    def _closed(self) -> None:
        self.open_connections -= 1

    def release(self, machine: PooledNode, line: UpstreamConnection, endpoint: int) -> None:
        """After an answer: kept for the next call, unless the node has moved or leaves."""
        gone = endpoint in self.dispatcher.unavailable_since or self.nodes.get(endpoint) is not machine
        if gone or line.address != machine.address:
            line.close()
            return
        line.mark_idle(clock() + self.keep_us, lambda: self._drop(machine, line))
        machine.idle.append(line)

    # ------------------------------------------------------------ reports

    def report(self, text: str) -> tuple[float, ...]:
        """The load report in the order of the settings' columns; names not known are skipped, and a report in
        which a column is missing or no finite number is as good as none."""
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
        good = len(values) == len(set(columns)) and all(math.isfinite(x) for x in values.values())
        return tuple(values[c] for c in columns) if good else ()


class UpstreamExchange:
    """One attempt under way, in a greenlet of its own. However it ends, and whoever ends it, `stop` tells the desk
    once and closes what is not fit to be kept."""

    def __init__(self, room: NodePool, attempt: Attempt) -> None:
        self.pool = room
        self.attempt = attempt
        self.connection: UpstreamConnection | None = None
        self.finished = False
        self.timer = Timer(attempt.deadline, self._late)
        self.connect_timer: Timer | None = None  # the limit for connecting
        self.greenlet = gevent.spawn(self._run)

    @property
    def _written(self) -> bool:
        return bool(self.connection and self.connection.written)

    def _late(self) -> None:
        self.stop(status_for_timeout(self._written))

    def stop(
        self, status: Status, report: tuple[float, ...] = (), printed: NodeResponse | None = None
    ) -> None:
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
        self.pool.dispatcher.attempt_ended(self.attempt, status, report, printed)

    def _run(self) -> None:
        try:
            self._carry()
        except (OSError, UpstreamError) as problem:
            if getattr(problem, "errno", None) in RESOURCE_EXHAUSTED_ERRNOS:
                self._say("sockets", f"no connection to be had: {problem}", "error")
            if isinstance(problem, InvalidResponse):
                self._say("nodes", f"spoilt answer: {problem}", "warning")
            self.stop(
                status_for_broken_connection(self._written, spoilt=isinstance(problem, InvalidResponse))
            )
        except Exception as problem:
            self._say("fault", f"attempt failed: {type(problem).__name__}: {problem}", "error", problem)
        finally:
            # Guards against a fault of our own above: the job still gets its outcome, and so its answer.
            self.stop(status_for_broken_connection(self._written))
            if (
                self.connection
            ):  # taken or opened after it was stopped: the greenlet runs once more before it is ended
                self.connection.close()

    def _say(self, topic: str, text: str, level: str, problem: Exception | None = None) -> None:
        node = self.pool.dispatcher.node_ids.get(self.attempt.endpoint)
        log_event(
            topic, text, level, request=self.attempt.job.request_id, node=node, where=error_location(problem)
        )

    def _carry(self) -> None:
        room, attempt = self.pool, self.attempt
        machine = room.nodes.get(attempt.endpoint)
        if machine is None:
            return self.stop(Status.MOOT)
        line = self._hand_over(machine)
        if line is None:
            return self.stop(Status.MOOT)
        reply = line.read(MAX_BUFFERED_BODY_BYTES, lambda: self.stop(Status.ERROR), MAX_BODY_BYTES)
        if reply.streamed:
            return self._pass_on(machine, line, reply)
        report = room.report(reply.headers.get("x-server-load", ""))
        if reply.reusable:
            self.connection = None
            room.release(machine, line, attempt.endpoint)
        printed = None
        status = status_for_response(reply.status, reply.headers.get("x-not-processed") == "1")
        if status is Status.OK:
            printed = NodeResponse(bytes(reply.body), reply.headers.get("content-type", ""))
        self.stop(status, report, printed)

    def _pass_on(self, machine: PooledNode, line: UpstreamConnection, reply: UpstreamResponse) -> None:
        """A large answer, as it comes. For the module it has been served, and this attempt is over: what is left is
        between the node and the caller, who takes it at its own pace. It ends with either or by a bound on progress."""
        if self.finished or self.attempt.job.answered:
            return self.stop(Status.CANCELLED)
        room, endpoint = self.pool, self.attempt.endpoint
        self.connection = None  # `stop` must not close it
        pipe = Pipe(line.close)
        report = room.report(reply.headers.get("x-server-load", ""))
        printed = NodeResponse(
            reply.take_body(), reply.headers.get("content-type", ""), pipe, reply.declared_length
        )
        try:
            self.stop(Status.OK, report, printed)
            while piece := line.read_body_chunk(reply):
                pipe.write_chunk(piece)
            pipe.finish()
            if reply.reusable:
                return room.release(machine, line, endpoint)
        except ReaderClosed:
            pass
        except (OSError, UpstreamError) as problem:
            if pipe.on_reader_closed:  # else the caller has left, and took the connection along
                self._say("nodes", f"a large answer broke off: {problem}", "warning")
                pipe.abort()
        finally:
            reply.parser = None  # it holds the reply: the two would wait for the collector
        line.close()

    @property
    def _pointless(self) -> bool:
        """Whether nothing of it may go out any more: it has been stopped, its caller has gone or been answered, or the
        node was told to drain. It is asked after each wait, while the first byte is still ours to keep: a withdrawal
        comes only where the settings allow one."""
        return (
            self.finished
            or self.attempt.job.answered
            or self.attempt.endpoint in self.pool.dispatcher.unavailable_since
        )

    def _connect(self, machine: PooledNode) -> UpstreamConnection | None:
        """A new connection, as soon as the node can take another handshake: not all of ours at once to one that has
        just come back, fewer while they fail. The attempt's own limit ends the wait. None where it became pointless."""
        room, endpoint = self.pool, self.attempt.endpoint
        asked, good = clock(), False
        while room.config.operator.storms.pace and (wait := room.connect_limiter.acquire(asked, endpoint)):
            gevent.sleep(wait / 1e6)
            if self._pointless:
                return None
            asked = clock()
        try:
            line = self.connection = room.new_connection(machine)
            limit = room.config.settings.connect_timeout_us
            self.connect_timer = Timer(clock() + limit, lambda: self.stop(Status.CONNECT_FAILED))
            line.connect()
            self.connect_timer.cancel()
            self.connect_timer = None
            good = True
            return line
        finally:
            room.connect_limiter.release(clock(), endpoint, good, asked)

    def _hand_over(self, machine: PooledNode) -> UpstreamConnection | None:
        """The connection on which the whole request has been written; None where it has become pointless."""
        room, attempt = self.pool, self.attempt
        while not self._pointless:
            line = self.connection = room.take(machine)
            line = line or self._connect(machine)
            if line is None or self._pointless:
                break
            left = attempt.deadline - clock()
            try:
                request = serialize_request(
                    attempt.job.request, host_header(line.address), f"X-Timeout: {max(1, left)}u\r\n"
                )
                line.write(
                    request, lambda: attempt.job.answered
                )  # one that has begun may go on to who drains
                return line
            except RequestAbandoned:
                break
            except StaleConnection:
                line.close()  # no attempt has reached the node: the same one goes by the next connection
        return None
