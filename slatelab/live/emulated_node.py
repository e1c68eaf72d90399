"""An emulated node on real sockets: the node now running at one location and its connections. This module
records the facts that a node observes. The node's behaviour is decided by NodeSimulator; faults are
applied by the process that hosts the node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Any

from slatelab.plant.fleet import NodeSpec, replacement
from slatelab.plant.node import (
    DownstreamCall,
    NodeCrashed,
    NodeOutput,
    NodeRequest,
    NodeSimulator,
    Reply,
    WorkStarted,
)
from slatelab.plant.random_streams import RandomStreams
from slatelab.records import Asked, Began, Came, Down, Replied, Up
from slatelab.scenario import Scenario

from .clock import ScheduledCall
from .control_channel import HelperChannel
from .downstream_calls import DownstreamCalls
from .node_listener import NodeListener
from .server_connection import Request, ServerConnection
from .wire import request_bytes


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """The addresses of a node location on this machine. `proxy` is the node's own proxy to the next tier, ""
    if it has none."""

    spec: NodeSpec
    host: str
    port: int
    proxy: str = ""
    proxy_host: str = ""


@dataclass(eq=False, slots=True)
class ActiveAttempt:
    """An attempt in progress on the node. `connection` is None once the caller has disconnected."""

    call: NodeRequest
    tenant: str
    connection: ServerConnection | None
    started: bool = False


class EmulatedNode:
    """`notify(kind, ...)` reports what the other processes need: up, down, drains."""

    keys = count(1)  # unique within the whole process

    def __init__(
        self,
        channel: HelperChannel,
        scenario: Scenario,
        random_streams: RandomStreams,
        location: NodeLocation,
        notify: Callable[..., None],
    ) -> None:
        self.channel, self.scenario, self.random_streams, self.location, self.notify = (
            channel,
            scenario,
            random_streams,
            location,
            notify,
        )
        self.spec = location.spec
        self.life = 0
        self.simulator: NodeSimulator | None = None
        self.condition: dict[str, Any] = {}
        self.isolated = self.draining = False
        self.connections: dict[ServerConnection, None] = {}  # in order of arrival
        self.attempts: dict[int, ActiveAttempt] = {}
        self.unread: list[tuple[ServerConnection, Request]] = []  # probes received while the node is frozen
        self.downstream_calls = DownstreamCalls(
            channel,
            (location.proxy_host, location.port),
            scenario.rules.answer_slack,
            self._downstream_call_finished,
        )
        self._listener: NodeListener | None = None
        self._timer: ScheduledCall | None = None
        self._classes = {cls.name: i for i, cls in enumerate(scenario.classes)}

    def now(self) -> int:
        return self.channel.clock.now()

    # ------------------------------------------------------------ lives

    def start(self, cold: bool, condition: dict[str, Any], isolated: bool) -> None:
        """Starts a new life of the node; conditions already in effect at this location apply to it too."""
        now, spec = self.now(), self.spec
        rng = self.random_streams.stream("node", spec.id, self.life)
        self.simulator = NodeSimulator(self.scenario, spec, rng, now, self.life, cold)
        self.isolated = self.draining = False
        share, span = (spec.kind.cold.share, spec.kind.cold.span) if cold else (1.0, 0)
        capacity = spec.kind.cores * spec.speed
        self.channel.facts.add(Up(now, spec.id, self.life, spec.tier, capacity, share, span))
        self._listener = NodeListener(
            self.channel.loop, self.location.host, self.location.port, partial(ServerConnection, self)
        )
        if isolated:
            self.isolate()
        self.set_condition(condition)
        self.notify("up", node=spec.id, life=self.life, since=now if cold else 0)

    def restart(self, renewed: bool, condition: dict[str, Any], isolated: bool) -> None:
        """Starts the node again, or a replacement at its location, cold. Does nothing if it is up."""
        if self.simulator is None:
            self.life += 1
            if renewed:
                self.spec = replacement(self.spec, self.life)
            self.start(True, condition, isolated)

    def crash(self, why: str) -> None:
        """The node's process dies: connections are reset, new ones refused. Does nothing if it is down."""
        if self.simulator is None:
            return
        self.channel.facts.add(Down(self.now(), self.spec.id, self.life, why))
        self._close_connections()
        self.downstream_calls.cancel_all()
        self.attempts.clear()
        self.unread.clear()
        self.notify("down", node=self.spec.id, life=self.life, why=why)

    def close(self) -> None:
        """Closes the sockets at the end of the run; nothing is recorded any more."""
        self._close_connections()
        self.downstream_calls.close()

    def _close_connections(self) -> None:
        self.simulator = None
        if self._listener:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()
        self._cancel_timer()

    # ------------------------------------------------------------ faults

    def isolate(self) -> None:
        """Isolates the node: nothing is read or answered any more, and no new connection is established."""
        if self._listener and not self.isolated:
            self.isolated = True
            self._listener.isolate()
            for connection in self.connections:
                connection.stop_reading()

    def end_isolation(self) -> None:
        """Ends the isolation: connections opened before it are reset."""
        if self._listener and self.isolated:
            self.isolated = False
            for connection in list(self.connections):
                connection.reset()
            self._listener.end_isolation()

    def reset_some(self, share: float, name: str) -> None:
        """Resets each open connection with probability `share`. While the node is isolated no reset would
        reach the peer, so none is sent."""
        rng = self.random_streams.stream("reset", self.location.spec.id, name)
        for connection in [
            connection for connection in self.connections if rng.random() < share and not self.isolated
        ]:
            connection.reset()

    def close_idle(self) -> None:
        """Closes connections that were idle for longer than proxy.idle_close."""
        oldest = self.now() - self.scenario.proxy.idle_close
        for connection in [connection for connection in self.connections if not self.isolated]:
            if not connection.key and connection.idle_since < oldest:
                connection.close()

    def set_condition(self, condition: dict[str, Any]) -> None:
        """Sets all conditions of the node; see NodeSimulator.set_conditions."""
        self.condition = condition
        if self.simulator:
            self._apply_outputs(self.simulator.set_conditions(self.now(), **condition))
        if not condition.get("frozen"):
            unread, self.unread = self.unread, []
            for connection, request in unread:
                self._probe(connection, request)

    def drain(self) -> None:
        if self.simulator:
            self.draining = True
            self._apply_outputs(self.simulator.set_conditions(self.now(), draining=True))
            self.notify("drains", node=self.spec.id, life=self.life)

    @property
    def state(self) -> str:
        """State of the node for the live table."""
        condition = self.condition
        states = (
            ("down", self.simulator is None),
            ("black hole", self.isolated),
            ("frozen", condition.get("frozen")),
            ("draining", self.draining),
            ("errors", condition.get("errors")),
            ("slow", condition.get("slow", 1) != 1),
            ("cold", self.simulator and self.simulator.available_capacity(self.now()) < 1),
        )
        return next((word for word, applies in states if applies), "warm")

    # ------------------------------------------------------------ connections

    def connection_opened(self, connection: ServerConnection) -> None:
        if self.simulator is None or not self.simulator.connect(self.now(), ""):
            connection.closed = True
            return connection.reset()
        self.connections[connection] = None
        if self.isolated:  # the connection was being accepted when the isolation began
            connection.stop_reading()
        self._schedule_advance()

    def connection_closed(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)
        if self.simulator is None:
            return
        self.simulator.disconnect(self.now(), "")
        if attempt := self.attempts.get(connection.key):
            attempt.connection = None
            # Work that has started runs to its reply. Waiting work is dropped only if the node drops
            # cancelled requests.
            if self.spec.kind.drops_cancelled and not attempt.started:
                del self.attempts[connection.key]
            self._apply_outputs(self.simulator.cancel(self.now(), connection.key))

    def request_received(self, connection: ServerConnection, request: Request) -> None:
        if not request.request:
            return self._probe(connection, request)
        call = self._parse_request(request)
        if call is None:
            return connection.answer(400, "", b"no request of this day\n")
        now = self.now()
        if self.simulator:
            # Processes due events first, so that their replies are not delayed.
            self._apply_outputs(self.simulator.advance(now))
        if self.simulator is None:
            return
        connection.key = call.key
        self.attempts[call.key] = ActiveAttempt(call, request.tenant, connection)
        outputs = self.simulator.arrive(now, call)
        work, spec = self.simulator.last_work, self.spec
        self.channel.facts.add(
            Came(now, spec.id, self.life, call.request, call.proxy, work, request.first_byte_at)
        )
        self._apply_outputs(outputs)

    def _parse_request(self, request: Request) -> NodeRequest | None:
        """Converts the HTTP request; None if it was not sent by a caller of this run."""
        attrs, cls = request.attrs, self._classes.get(request.cls)
        if cls is None:
            return None
        until = self.now() + (request.timeout_us or self.scenario.classes[cls].deadline)
        try:
            seed, work = int(attrs["seed"]), int(attrs["work"])
            proxy, path = attrs["proxy"], attrs["path"]
        except (KeyError, ValueError):
            return None
        return NodeRequest(next(self.keys), request.request, proxy, cls, seed, work, path, until)

    def _probe(self, connection: ServerConnection, request: Request) -> None:
        if self.condition.get("frozen"):
            self.unread.append((connection, request))
        elif connection.closed or self.simulator is None:
            return
        elif not self.scenario.proxy.probes or request.target not in ("/health", "/status/load"):
            connection.answer(404, "", b"")
        else:
            report = self._load_report()
            body = report.encode() if request.target == "/status/load" else b"ok"
            connection.answer(503 if self.draining else 200, f"X-Server-Load: {report}\r\n", body)

    def _load_report(self) -> str:
        assert self.simulator
        return ",".join(
            f"{name}={value:.4f}" for name, value in self.simulator.load_report(self.now()).items()
        )

    # ------------------------------------------------------------ node behaviour

    def _apply_outputs(self, outputs: list[NodeOutput]) -> None:
        for output in outputs:
            if isinstance(output, Reply):
                self._reply(output)
            elif isinstance(output, WorkStarted):
                self._work_started(output)
            elif isinstance(output, DownstreamCall):
                self._send_downstream_call(output)
            elif isinstance(output, NodeCrashed):
                return self.crash("fell")
        self._schedule_advance()

    def _schedule_advance(self) -> None:
        """Schedules the next advance. An advance that comes too early has no effect, so the timer is replaced
        only if the due time moved forward."""
        due = self.simulator.next_event_time() if self.simulator else None
        if due is not None and (self._timer is None or due < self._timer.due):
            self._cancel_timer()
            self._timer = self.channel.clock.call_at(due, self._advance)

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _advance(self) -> None:
        self._timer = None
        if self.simulator:
            self._apply_outputs(self.simulator.advance(self.now()))

    def _work_started(self, output: WorkStarted) -> None:
        if attempt := self.attempts.get(output.key):
            attempt.started = True
            self.channel.facts.add(Began(self.now(), self.spec.id, self.life, attempt.call.request))

    def _reply(self, output: Reply) -> None:
        attempt = self.attempts.pop(output.key, None)
        if attempt is None or attempt.connection is None:
            return
        connection, call, spec = attempt.connection, attempt.call, self.spec
        connection.key = 0
        if self.isolated:
            return  # no response is written while isolated; the connection is reset when the isolation ends
        extra = f"X-Server-Load: {self._load_report()}\r\n" + (
            "X-Not-Processed: 1\r\n" if output.not_processed else ""
        )
        now = self.now()  # taken before the write: a later stamp could exceed the caller's receive time
        connection.answer(output.status, extra, output.token.encode())
        self.channel.facts.add(
            Replied(
                now,
                spec.id,
                self.life,
                call.request,
                call.proxy,
                output.status,
                output.not_processed,
                output.token,
            )
        )

    def _send_downstream_call(self, output: DownstreamCall) -> None:
        attempt, now = self.attempts.get(output.key), self.now()
        if attempt is None:
            return
        call, proxy = attempt.call, self.location.proxy
        cls = self.scenario.classes[call.cls]
        attrs = {"seed": call.order_seed, "work": call.order_work_us, "path": output.path, "proxy": proxy}
        remaining_us, alike = max(1, output.until - now), self.scenario.clients.alike
        data = request_bytes(cls, output.request, attempt.tenant, remaining_us, attrs, alike=alike)
        tier = self.spec.tier + 1
        asked = Asked(
            now, output.request, 0, self.spec.id, proxy, tier, cls.name, attempt.tenant, now, output.until
        )
        self.downstream_calls.send(output, asked, data)

    def _downstream_call_finished(self, key: int, index: int, ok: bool) -> None:
        if self.simulator:
            self._apply_outputs(self.simulator.downstream_call_finished(self.now(), key, index, ok))
