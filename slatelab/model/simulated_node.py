"""A node of the simulation across restarts and replacements: its present process, the connections to it, and its
calls to the next tier. This module records what the node sees. NodeSimulator decides how the node behaves, and `faults`
applies faults to it."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any

from slatelab.plant.fleet import NodeSpec, replacement
from slatelab.plant.node import DownstreamCall, NodeOutput, NodeRequest, NodeSimulator, Reply, WorkStarted
from slatelab.records import Began, Came, Down, Replied, Up

from .downstream_calls import DownstreamExchange
from .virtual_clock import ScheduledCall
from .world import ClientRequest, SimulationContext

if TYPE_CHECKING:
    from .node_connections import AttemptExchange, NodeConnection
    from .proxy_supervisor import ProxySupervisor

PORT = 80


class Task:
    """An attempt on the node. `connection` is None once the proxy has closed it."""

    __slots__ = ("client_request", "started", "connection", "proxy")

    def __init__(self, client_request: ClientRequest, proxy: str, connection: NodeConnection) -> None:
        self.client_request, self.proxy, self.started = client_request, proxy, False
        self.connection: NodeConnection | None = connection


class SimulatedNode:
    """`own_proxy`: the proxy through which the node calls the next tier, None if it makes no calls. `isolated`: the
    node is in a black hole, and nothing reaches it or leaves it."""

    def __init__(self, context: SimulationContext, spec: NodeSpec, keys: count[int]) -> None:
        self.context, self.clock, self.spec, self.name = context, context.clock, spec, spec.id
        self.address = f"{spec.address}:{PORT}"
        self.own_proxy: ProxySupervisor | None = None
        self.life = 0
        self.simulator: NodeSimulator | None = None
        self.condition: dict[str, Any] = {}
        self.isolated = self.draining = False
        self.connections: dict[NodeConnection, None] = {}  # open as seen from the node
        self.tasks: dict[int, Task] = {}
        self.downstream_exchanges: dict[tuple[int, int], DownstreamExchange] = {}
        self._keys = keys
        self._wake: ScheduledCall | None = None

    # ------------------------------------------------------------ starts and stops

    def start(self, cold: bool, condition: dict[str, Any]) -> None:
        """Starts a new life of the node."""
        spec, kind = self.spec, self.spec.kind
        rng = self.context.random_streams.stream("node", spec.id, self.life)
        self.simulator = NodeSimulator(self.context.scenario, spec, rng, self.clock.now, self.life, cold)
        self.draining = False
        share, span = (kind.cold.share, kind.cold.span) if cold else (1.0, 0)
        self.context.specs[spec.id] = spec
        self.context.add_record(
            Up(self.clock.now, spec.id, self.life, spec.tier, kind.cores * spec.speed, share, span)
        )
        self.set_condition(condition)
        self._publish_state("SERVING", self.clock.now if cold else 0)

    def restart(self, renewed: bool, condition: dict[str, Any]) -> None:
        """Starts the node again, or a replacement for it, cold. No effect if it is up. Its own proxy counts as started
        earlier, so that it is ready at this time."""
        if self.simulator is None:
            self.life += 1
            if renewed:
                self.spec = replacement(self.spec, self.life)
            if self.own_proxy and not self.own_proxy.proxy:
                self.own_proxy.ready()
            self.start(True, condition)

    def crash(self, reason: str) -> None:
        """The process dies: connections are reset, new ones are refused. No effect if it is down."""
        if self.simulator is None:
            return
        self.simulator = None
        self._cancel_wake()
        self.context.add_record(Down(self.clock.now, self.spec.id, self.life, reason))
        self._publish_state("DELETED", 0)
        self.tasks.clear()
        for exchange in list(self.downstream_exchanges.values()):
            exchange.give_up()
        if self.own_proxy:
            self.own_proxy.kill()
        if not self.isolated:  # in a black hole the resets are sent once the machine is reachable again
            self._reset_all()

    def _publish_state(self, phase: str, since: int) -> None:
        self.context.discovery.set_node_state(self.spec, self.address, phase, since)

    def _cancel_wake(self) -> None:
        if self._wake:
            self._wake.cancel()
            self._wake = None

    # ------------------------------------------------------------ faults

    def set_condition(self, condition: dict[str, Any]) -> None:
        """Sets all conditions of the node at once: see NodeSimulator.set_conditions."""
        self.condition = condition
        if self.simulator:
            self._handle_outputs(self.simulator.set_conditions(self.clock.now, **condition))

    def drain(self) -> None:
        if self.simulator:
            self.draining = True
            self._handle_outputs(self.simulator.set_conditions(self.clock.now, draining=True))
            self._publish_state("DRAINING", 0)

    def end_isolation(self) -> None:
        """The black hole ends: the old connections are reset."""
        if self.isolated:
            self.isolated = False
            self._reset_all()

    def reset_connections(self, share: float, name: str) -> None:
        """Resets each open connection with the probability `share`."""
        rng = self.context.random_streams.stream("reset", self.name, name)
        for connection in [connection for connection in self.connections if rng.random() < share]:
            if not self.isolated:
                self._reset_connection(connection)

    def _reset_all(self) -> None:
        for connection in list(self.connections):
            self._reset_connection(connection)

    def _reset_connection(self, connection: NodeConnection) -> None:
        self._remove_connection(connection)
        connection.to_proxy.send(connection.broken)

    @property
    def state(self) -> str:
        """The node's state as shown in progress reports."""
        condition = self.condition
        states = (
            ("down", self.simulator is None), ("black hole", self.isolated), ("frozen", condition.get("frozen")),
            ("draining", self.draining), ("errors", condition.get("errors")), ("slow", condition.get("slow", 1) != 1),
            ("cold", self.simulator and self.simulator.available_capacity(self.clock.now) < 1),
        )  # fmt: skip
        return next((state for state, holds in states if holds), "warm")

    # ------------------------------------------------------------ connections and attempts

    def connection_requested(self, connection: NodeConnection, proxy: str) -> None:
        """A proxy opens a connection."""
        if self.isolated:
            return  # no reply: the proxy's connect timeout ends the wait
        if self.simulator is None or not self.simulator.connect(self.clock.now, proxy):
            connection.to_proxy.send(connection.refused)
            return
        connection.life, connection.to_proxy.last = self.life, connection.ready
        self.connections[connection] = None
        connection.to_proxy.send(connection.established)
        self._set_wake()

    def connection_closed(self, connection: NodeConnection) -> None:
        """The proxy has closed its side of the connection."""
        if connection in self.connections and not self.isolated:
            self._remove_connection(connection)

    def _remove_connection(self, connection: NodeConnection) -> None:
        del self.connections[connection]
        if self.simulator is None or connection.life != self.life:
            return
        # Work that starts at this instant counts as started.
        self._handle_outputs(self.simulator.advance(self.clock.now))
        self.simulator.disconnect(self.clock.now, connection.proxy)
        if task := self.tasks.get(connection.key):
            task.connection = None
            # Started work goes on to its reply; waiting work does so only on nodes that don't drop cancelled requests.
            if self.spec.kind.drops_cancelled and not task.started:
                del self.tasks[connection.key]
            self._handle_outputs(self.simulator.cancel(self.clock.now, connection.key))

    def arrive(self, connection: NodeConnection, exchange: AttemptExchange, first_byte_at: int) -> None:
        """The last byte of an attempt has arrived; its first byte arrived at `first_byte_at`."""
        if self.isolated or connection not in self.connections or self.simulator is None:
            return
        now = self.clock.now
        client_request: ClientRequest = exchange.attempt.job.request
        key = connection.key = next(self._keys)
        self.tasks[key] = Task(client_request, connection.proxy, connection)
        call = NodeRequest(
            key,
            client_request.request,
            connection.proxy,
            client_request.cls,
            client_request.order_seed,
            client_request.order_work_us,
            client_request.path,
            exchange.until,
        )
        outputs = self.simulator.arrive(now, call)
        work = self.simulator.last_work
        self.context.add_record(
            Came(now, self.spec.id, self.life, client_request.request, connection.proxy, work, first_byte_at)
        )
        self._handle_outputs(outputs)

    # ------------------------------------------------------------ outputs of the node simulator

    def _handle_outputs(self, outputs: list[NodeOutput]) -> None:
        for output in outputs:
            if isinstance(output, Reply):
                self._reply(output)
            elif isinstance(output, WorkStarted):
                self._work_started(output)
            elif isinstance(output, DownstreamCall):
                self._send_downstream(output)
            else:
                return self.crash("fell")
        self._set_wake()

    def _set_wake(self) -> None:
        """Schedules the next wake-up. One that comes too early only checks again, so a scheduled one is replaced only
        if the new time is earlier."""
        due = self.simulator.next_event_time() if self.simulator else None
        if due is None:
            return
        if self._wake is None or due < self._wake.due:
            self._cancel_wake()
            self._wake = self.clock.call_at(due, self._wake_up)

    def _wake_up(self) -> None:
        self._wake = None
        simulator, now = self.simulator, self.clock.now
        if simulator is None:
            return
        due = simulator.next_event_time()
        if due is not None and due <= now:
            self._handle_outputs(simulator.advance(now))
        else:
            self._set_wake()

    def _work_started(self, output: WorkStarted) -> None:
        if task := self.tasks.get(output.key):
            task.started = True
            self.context.add_record(
                Began(self.clock.now, self.spec.id, self.life, task.client_request.request)
            )

    def _reply(self, output: Reply) -> None:
        task = self.tasks.pop(output.key, None)
        if task is None or task.connection is None or self.simulator is None:
            return
        connection, now = task.connection, self.clock.now
        connection.key = 0
        if self.isolated:
            return  # the reply is lost; the connection is reset when the black hole ends
        connection.to_proxy.send(
            connection.answered, output.status, output.not_processed, output.token, self.report()
        )
        request = task.client_request.request
        self.context.add_record(
            Replied(
                now,
                self.spec.id,
                self.life,
                request,
                task.proxy,
                output.status,
                output.not_processed,
                output.token,
            )
        )

    def report(self) -> tuple[float, ...]:
        """The load report in the order of the settings' columns, rounded to the digits that are sent."""
        values = self.simulator.load_report(self.clock.now) if self.simulator else {}
        return tuple(round(value, 4) for value in values.values())

    # ------------------------------------------------------------ calls to the next tier

    def _send_downstream(self, output: DownstreamCall) -> None:
        task = self.tasks.get(output.key)
        if task is None:
            return
        exchange = DownstreamExchange(self, output, task.client_request)
        self.downstream_exchanges[output.key, output.index] = exchange
        exchange.send()

    def downstream_finished(self, exchange: DownstreamExchange, ok: bool) -> None:
        key, index = exchange.call.key, exchange.call.index
        self.downstream_exchanges.pop((key, index), None)
        if self.simulator:
            self._handle_outputs(self.simulator.downstream_call_finished(self.clock.now, key, index, ok))
