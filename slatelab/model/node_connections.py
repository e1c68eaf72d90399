"""A proxy's side of the connections to nodes, and every attempt that travels on one: the program's machine
room without sockets (`slatehub.nodes.http1`, of which the constants below are). It owns connections from
opening to closing and says of each attempt once how it ended, by the program's own table of outcomes. It must
never choose a node or try again."""

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

HOLD_US = 2_000  # between the last byte but one and the last of a request on a connection used before
CLOSE_EARLY_US = 1_000_000  # before the node closes an idle connection itself


class PooledNode:
    """A node as the proxy knows it: where it is, and the idle connections to it, the newest last."""

    __slots__ = ("address", "endpoint", "idle", "place")

    def __init__(self, endpoint: int, address: str, place: SimulatedNode) -> None:
        self.endpoint, self.address, self.place = endpoint, address, place
        self.idle: list[NodeConnection] = []


class NodeConnection:
    """One connection. `open` is the proxy's side; `dead`: its end has come while it was in use, and not yet
    been looked at; `ready`: it is not up earlier, as several round trips come before the first byte; `life`
    and `key` are the node's: in which it came up, and the attempt now on it."""

    __slots__ = (
        "back", "dead", "exchange", "expires", "pool", "forth", "key", "life", "node", "open", "place",
        "proxy", "ready", "used", "waking",
    )  # fmt: skip

    def __init__(self, floor: NodeConnectionPool, machine: PooledNode, errand: AttemptExchange) -> None:
        self.pool, self.node, self.place, self.proxy = floor, machine, machine.place, floor.proxy.name
        self.exchange: AttemptExchange | None = errand
        near = floor.context.network.near
        self.forth, self.back = OrderedChannel(floor.clock, near), OrderedChannel(floor.clock, near)
        self.open, self.used, self.dead, self.waking = True, False, False, False
        self.ready = self.expires = self.life = self.key = 0

    @property
    def still(self) -> Suspension:
        return self.pool.proxy.still

    # ------------------------------------------------------------ what comes from the node

    @deferred_while_suspended
    def up(self) -> None:
        if self.open and self.exchange:
            self.exchange.connected()

    @deferred_while_suspended
    def refused(self) -> None:
        if self.open and self.exchange:
            self.exchange.stop(Status.CONNECT_FAILED)

    @deferred_while_suspended
    def broken(self) -> None:
        errand = self.exchange
        if not self.open:
            return
        if errand is None:
            self.pool.drop(self)
        elif errand.written:
            errand.stop(status_for_broken_connection(True))
        else:
            self.dead = True  # found before the last byte is let go

    @deferred_while_suspended
    def answered(self, status: int, turned: bool, token: str, report: tuple[float, ...]) -> None:
        errand = self.exchange
        if self.open and errand:
            self.exchange = errand.connection = None
            self.pool.release(self)
            errand.stop(status_for_response(status, turned), report, token)

    # ------------------------------------------------------------ the proxy's own end

    def close(self) -> None:
        if self.open:
            self.open = False
            self.exchange = None
            self.pool.open_connections -= 1
            self.forth.send(self.place.part, self)

    @deferred_while_suspended
    def expire(self) -> None:
        """It has rested too long, or been used since this was set."""
        self.waking = False
        if self.open and self.exchange is None:
            if self.pool.clock.now >= self.expires:
                self.pool.drop(self)
            else:
                self.watch()

    def watch(self) -> None:
        if not self.waking:
            self.waking = True
            self.pool.clock.call_at(self.expires, self.expire)


class AttemptExchange:
    """One attempt under way. However it ends, `stop` tells the desk once and closes what is not fit to be
    kept."""

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

    def __init__(self, floor: NodeConnectionPool, attempt: Attempt, machine: PooledNode) -> None:
        self.pool, self.attempt, self.node = floor, attempt, machine
        self.connection: NodeConnection | None = None
        self.written = self.finished = False
        self.until = attempt.deadline - EPOCH_UNIX_US
        self.timer = floor.clock.call_at(self.until, self._late)
        self.connect_timer: ScheduledCall | None = None  # the limit for connecting

    @property
    def still(self) -> Suspension:
        return self.pool.proxy.still

    def hand_over(self) -> None:
        """On the idle connection used last, or on a new one."""
        machine = self.node
        if machine.idle:
            line = self.connection = machine.idle.pop()
            line.exchange = self
            self._write(line)
        elif new := self.pool.connect(machine, self):
            self.connection = new
            self.connect_timer = self.pool.clock.call_at(
                self.pool.clock.now + self.pool.connect_us, self._in_vain
            )
        else:
            self.stop(status_for_broken_connection(False))

    def connected(self) -> None:
        if self.connect_timer:
            self.connect_timer.cancel()
            self.connect_timer = None
        assert self.connection
        self._write(self.connection)

    def _write(self, line: NodeConnection) -> None:
        if self.attempt.endpoint in self.pool.proxy.dispatcher.unavailable_since:
            return self.stop(Status.MOOT)
        if line.used:
            # All but the last byte; until that has gone nobody can have begun on it.
            self.pool.clock.call_at(self.pool.clock.now + HOLD_US, self._let_go, line.forth.arrival())
        else:
            self._last_byte(line.forth.arrival())

    @deferred_while_suspended
    def _let_go(self, first: int) -> None:
        line = self.connection
        if self.finished or line is None:
            return
        if not line.dead:
            return self._last_byte(first)
        line.close()
        self.connection = None
        self.hand_over()  # no attempt has reached the node: the same one goes by the next connection

    def _last_byte(self, first: int) -> None:
        assert self.connection
        self.written = True
        self.connection.forth.send(self.connection.place.arrive, self.connection, self, first)

    @deferred_while_suspended
    def _late(self) -> None:
        self.stop(status_for_timeout(self.written))

    @deferred_while_suspended
    def _in_vain(self) -> None:
        self.stop(Status.CONNECT_FAILED)

    def stop(self, status: Status, report: tuple[float, ...] = (), token: str = "") -> None:
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
    """The desk's floor. `most`: connections open at once."""

    def __init__(self, proxy: Proxy, most: int) -> None:
        self.proxy, self.context, self.clock, self.max_connections = (
            proxy,
            proxy.context,
            proxy.context.clock,
            most,
        )
        self.connect_us = self.context.scenario.proxy.connect_timeout
        idle = self.context.scenario.proxy.idle_close
        self.keep_us = max(idle - CLOSE_EARLY_US, idle * 4 // 5)  # the node must not be the one to close it
        self.open_connections = 0
        self.addresses: dict[int, str] = {}
        self.nodes: dict[int, PooledNode] = {}  # those that have been sent to
        self.exchanges: dict[AttemptExchange, None] = {}

    # ------------------------------------------------------------ what the node list tells

    def set_node(self, endpoint: int, address: str) -> None:
        """The address of a node; connections to where it was are of no more use."""
        self.addresses[endpoint] = address
        machine = self.nodes.get(endpoint)
        if machine and machine.address != address:
            machine.address, machine.place = address, self.context.by_address[address]
            self._close_idle(machine)

    def close_node(self, endpoint: int) -> None:
        """The node drains or is gone; calls to it may still be out."""
        if machine := self.nodes.get(endpoint):
            self._close_idle(machine)

    def _close_idle(self, machine: PooledNode) -> None:
        for line in list(machine.idle):
            self.drop(line)

    def drop(self, line: NodeConnection) -> None:
        if line in line.node.idle:
            line.node.idle.remove(line)
        line.close()

    # ------------------------------------------------------------ what the desk wants

    def send(self, attempt: Attempt) -> None:
        machine = self._machine(attempt.endpoint)
        if machine is None:
            return self.proxy.attempt_ended(attempt, Status.MOOT, (), "")
        errand = attempt.exchange = AttemptExchange(self, attempt, machine)
        self.exchanges[errand] = None
        errand.hand_over()

    def _machine(self, endpoint: int) -> PooledNode | None:
        machine = self.nodes.get(endpoint)
        if machine is None and (address := self.addresses.get(endpoint)):
            machine = self.nodes[endpoint] = PooledNode(endpoint, address, self.context.by_address[address])
        return machine

    def cancel(self, attempt: Attempt) -> None:
        if attempt.exchange:
            attempt.exchange.stop(Status.CANCELLED)

    # ------------------------------------------------------------ connections

    def connect(self, machine: PooledNode, errand: AttemptExchange) -> NodeConnection | None:
        """A new connection, not yet up, which takes one round trip at the least; None where there are too
        many already. The oldest idle one anywhere makes room."""
        if self.open_connections >= self.max_connections and not self._make_room():
            return None
        line = NodeConnection(self, machine, errand)
        self.open_connections += 1
        trips = self.context.scenario.network.handshake_trips
        line.ready = self.clock.now + round(trips * 2 * self.context.network.near()) if trips > 1 else 0
        line.forth.send(line.place.knock, line, self.proxy.name)
        return line

    def _make_room(self) -> bool:
        idle = [(m.idle[0].expires, n) for n, m in self.nodes.items() if m.idle]
        if idle:
            self.drop(self.nodes[min(idle)[1]].idle[0])
        return bool(idle)

    def release(self, line: NodeConnection) -> None:
        """After an answer: kept for the next call, unless the node has moved or leaves."""
        machine = line.node
        if line.place is not machine.place or machine.endpoint in self.proxy.dispatcher.unavailable_since:
            return line.close()
        line.used = True
        line.expires = self.clock.now + self.keep_us
        machine.idle.append(line)
        line.watch()

    def close(self) -> None:
        """The process ends: all connections with it, and nobody is told."""
        for errand in list(self.exchanges):
            errand.end()
        for machine in self.nodes.values():
            self._close_idle(machine)
