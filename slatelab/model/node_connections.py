"""A proxy's side of its connections to nodes, and the attempts sent on them: the proxy's HTTP/1 client without
sockets. The constants below mirror `slatehub.nodes.http1` and `slatehub.drivers.upstream`. This module opens and closes
connections and reports the status of each attempt once, by the proxy's own table of outcomes. It neither chooses nodes
nor retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from paddlestep.interface import Status
from slatehub.core.jobs import Attempt
from slatehub.nodes.outcomes import status_for_broken_connection, status_for_response, status_for_timeout

from .network import OrderedChannel
from .suspension import Suspension, deferred_while_suspended
from .virtual_clock import ScheduledCall
from .world import EPOCH_UNIX_US

if TYPE_CHECKING:
    from .proxy import Proxy
    from .simulated_node import SimulatedNode

LAST_BYTE_DELAY_US = 2_000  # how long a reused connection holds back the last byte of a request
IDLE_CLOSE_MARGIN_US = 1_000_000  # the proxy closes an idle connection this long before the node would


class PooledNode:
    """A node as the proxy sees it: its address, and the idle connections to it, the last used one last."""

    __slots__ = ("address", "endpoint", "idle", "simulated_node")

    def __init__(self, endpoint: int, address: str, simulated_node: SimulatedNode) -> None:
        self.endpoint, self.address, self.simulated_node = endpoint, address, simulated_node
        self.idle: list[NodeConnection] = []


class NodeConnection:
    """One connection. `open` is the state of the proxy's side; `dead`: the node closed it before the request's last
    byte was sent, and this has not been handled yet; `ready`: the earliest time at which it is established, as several
    round trips precede the first byte. `life` and `key` belong to the node: the node's life in which the connection was
    established, and the attempt that it carries."""

    __slots__ = (
        "to_proxy", "dead", "exchange", "expires", "pool", "to_node", "key", "life", "node", "open", "simulated_node",
        "proxy", "ready", "used", "expiry_scheduled",
    )  # fmt: skip

    def __init__(self, pool: NodeConnectionPool, node: PooledNode, exchange: AttemptExchange) -> None:
        self.pool, self.node, self.simulated_node, self.proxy = (
            pool,
            node,
            node.simulated_node,
            pool.proxy.name,
        )
        self.exchange: AttemptExchange | None = exchange
        internal_delay = pool.context.network.internal_delay
        self.to_node, self.to_proxy = (
            OrderedChannel(pool.clock, internal_delay),
            OrderedChannel(pool.clock, internal_delay),
        )
        self.open, self.used, self.dead, self.expiry_scheduled = True, False, False, False
        self.ready = self.expires = self.life = self.key = 0

    @property
    def suspension(self) -> Suspension:
        return self.pool.proxy.suspension

    # ------------------------------------------------------------ events from the node

    @deferred_while_suspended
    def established(self) -> None:
        if self.open and self.exchange:
            self.exchange.connected()

    @deferred_while_suspended
    def refused(self) -> None:
        if self.open and self.exchange:
            self.exchange.finish(Status.CONNECT_FAILED)

    @deferred_while_suspended
    def broken(self) -> None:
        exchange = self.exchange
        if not self.open:
            return
        if exchange is None:
            self.pool.drop(self)
        elif exchange.written:
            exchange.finish(status_for_broken_connection(True))
        else:
            self.dead = True  # checked before the last byte is sent

    @deferred_while_suspended
    def answered(self, status: int, turned: bool, token: str, report: tuple[float, ...]) -> None:
        exchange = self.exchange
        if self.open and exchange:
            self.exchange = exchange.connection = None
            self.pool.release(self)
            exchange.finish(status_for_response(status, turned), report, token)

    # ------------------------------------------------------------ the proxy's side

    def close(self) -> None:
        if self.open:
            self.open = False
            self.exchange = None
            self.pool.open_connections -= 1
            self.to_node.send(self.simulated_node.connection_closed, self)

    @deferred_while_suspended
    def expire(self) -> None:
        """Closes the connection if it has been idle for too long; it may have been used since the timer was set."""
        self.expiry_scheduled = False
        if self.open and self.exchange is None:
            if self.pool.clock.now >= self.expires:
                self.pool.drop(self)
            else:
                self.schedule_expiry()

    def schedule_expiry(self) -> None:
        if not self.expiry_scheduled:
            self.expiry_scheduled = True
            self.pool.clock.call_at(self.expires, self.expire)


class AttemptExchange:
    """One attempt in progress. However it ends, `finish` reports its status to the dispatcher once and closes a
    connection that can't be reused."""

    __slots__ = (
        "timer",
        "attempt",
        "pool",
        "connect_timer",
        "connection",
        "node",
        "finished",
        "until",
        "written",
    )

    def __init__(self, pool: NodeConnectionPool, attempt: Attempt, node: PooledNode) -> None:
        self.pool, self.attempt, self.node = pool, attempt, node
        self.connection: NodeConnection | None = None
        self.written = self.finished = False
        self.until = attempt.deadline - EPOCH_UNIX_US
        self.timer = pool.clock.call_at(self.until, self._timed_out)
        self.connect_timer: ScheduledCall | None = None  # the connect timeout

    @property
    def suspension(self) -> Suspension:
        return self.pool.proxy.suspension

    def send(self) -> None:
        """Sends the request on the last used idle connection, or on a new one."""
        node = self.node
        if node.idle:
            connection = self.connection = node.idle.pop()
            connection.exchange = self
            self._write(connection)
        elif new := self.pool.connect(node, self):
            self.connection = new
            self.connect_timer = self.pool.clock.call_at(
                self.pool.clock.now + self.pool.connect_us, self._connect_timed_out
            )
        else:
            self.finish(status_for_broken_connection(False))

    def connected(self) -> None:
        if self.connect_timer:
            self.connect_timer.cancel()
            self.connect_timer = None
        assert self.connection
        self._write(self.connection)

    def _write(self, connection: NodeConnection) -> None:
        if self.attempt.endpoint in self.pool.proxy.dispatcher.unavailable_since:
            return self.finish(Status.MOOT)
        if connection.used:
            # Sends all but the last byte: until that is sent, the node can't have begun to work on the request.
            self.pool.clock.call_at(
                self.pool.clock.now + LAST_BYTE_DELAY_US, self._send_held_byte, connection.to_node.arrival()
            )
        else:
            self._send_last_byte(connection.to_node.arrival())

    @deferred_while_suspended
    def _send_held_byte(self, first_byte_at: int) -> None:
        connection = self.connection
        if self.finished or connection is None:
            return
        if not connection.dead:
            return self._send_last_byte(first_byte_at)
        connection.close()
        self.connection = None
        self.send()  # the node never had the whole request, so the same attempt is sent on the next connection

    def _send_last_byte(self, first_byte_at: int) -> None:
        assert self.connection
        self.written = True
        self.connection.to_node.send(
            self.connection.simulated_node.arrive, self.connection, self, first_byte_at
        )

    @deferred_while_suspended
    def _timed_out(self) -> None:
        self.finish(status_for_timeout(self.written))

    @deferred_while_suspended
    def _connect_timed_out(self) -> None:
        self.finish(Status.CONNECT_FAILED)

    def finish(self, status: Status, report: tuple[float, ...] = (), token: str = "") -> None:
        if self.finished:
            return
        self.end()
        self.pool.proxy.attempt_ended(self.attempt, status, report, token)

    def end(self) -> None:
        self.finished = True
        self.pool.exchanges.pop(self, None)
        self.timer.cancel()
        if self.connect_timer:
            self.connect_timer.cancel()
        if self.connection:
            self.connection.close()


class NodeConnectionPool:
    """Carries out the dispatcher's attempts. `max_connections`: connections open at once."""

    def __init__(self, proxy: Proxy, max_connections: int) -> None:
        self.proxy, self.context, self.clock, self.max_connections = (
            proxy,
            proxy.context,
            proxy.context.clock,
            max_connections,
        )
        self.connect_us = self.context.scenario.proxy.connect_timeout
        idle = self.context.scenario.proxy.idle_close
        # The proxy has to close an idle connection before the node does.
        self.idle_timeout_us = max(idle - IDLE_CLOSE_MARGIN_US, idle * 4 // 5)
        self.open_connections = 0
        self.addresses: dict[int, str] = {}
        self.nodes: dict[int, PooledNode] = {}  # nodes that have been sent an attempt
        self.exchanges: dict[AttemptExchange, None] = {}

    # ------------------------------------------------------------ changes of the node list

    def set_node(self, endpoint: int, address: str) -> None:
        """Sets the address of a node. Idle connections to its old address are closed."""
        self.addresses[endpoint] = address
        node = self.nodes.get(endpoint)
        if node and node.address != address:
            node.address, node.simulated_node = address, self.context.nodes_by_address[address]
            self._close_idle(node)

    def close_node(self, endpoint: int) -> None:
        """The node is draining or gone: closes its idle connections. Attempts in progress go on."""
        if node := self.nodes.get(endpoint):
            self._close_idle(node)

    def _close_idle(self, node: PooledNode) -> None:
        for connection in list(node.idle):
            self.drop(connection)

    def drop(self, connection: NodeConnection) -> None:
        if connection in connection.node.idle:
            connection.node.idle.remove(connection)
        connection.close()

    # ------------------------------------------------------------ commands of the dispatcher

    def send(self, attempt: Attempt) -> None:
        node = self._pooled_node(attempt.endpoint)
        if node is None:
            return self.proxy.attempt_ended(attempt, Status.MOOT, (), "")
        exchange = attempt.exchange = AttemptExchange(self, attempt, node)
        self.exchanges[exchange] = None
        exchange.send()

    def _pooled_node(self, endpoint: int) -> PooledNode | None:
        node = self.nodes.get(endpoint)
        if node is None and (address := self.addresses.get(endpoint)):
            node = self.nodes[endpoint] = PooledNode(
                endpoint, address, self.context.nodes_by_address[address]
            )
        return node

    def cancel(self, attempt: Attempt) -> None:
        if attempt.exchange:
            attempt.exchange.finish(Status.CANCELLED)

    # ------------------------------------------------------------ connections

    def connect(self, node: PooledNode, exchange: AttemptExchange) -> NodeConnection | None:
        """Opens a connection, which takes at least one round trip to be established. At the limit, the
        idle connection that expires first is closed to make room; None if no connection is idle."""
        if self.open_connections >= self.max_connections and not self._make_room():
            return None
        connection = NodeConnection(self, node, exchange)
        self.open_connections += 1
        round_trips = self.context.scenario.network.handshake_trips
        connection.ready = (
            self.clock.now + round(round_trips * 2 * self.context.network.internal_delay())
            if round_trips > 1
            else 0
        )
        connection.to_node.send(connection.simulated_node.connection_requested, connection, self.proxy.name)
        return connection

    def _make_room(self) -> bool:
        idle = [(m.idle[0].expires, n) for n, m in self.nodes.items() if m.idle]
        if idle:
            self.drop(self.nodes[min(idle)[1]].idle[0])
        return bool(idle)

    def release(self, connection: NodeConnection) -> None:
        """Keeps a connection for the next attempt after an answer, unless the node has moved, drains or is gone."""
        node = connection.node
        if (
            connection.simulated_node is not node.simulated_node
            or node.endpoint in self.proxy.dispatcher.unavailable_since
        ):
            return connection.close()
        connection.used = True
        connection.expires = self.clock.now + self.idle_timeout_us
        node.idle.append(connection)
        connection.schedule_expiry()

    def close(self) -> None:
        """The process ends: closes all connections without reporting the attempts."""
        for exchange in list(self.exchanges):
            exchange.end()
        for node in self.nodes.values():
            self._close_idle(node)
