"""A place of the plant on real sockets: the node that stands there now and its visitors. It owns the facts
that a node sees; what the node does is NodeSimulator's, and what befalls the place is told by the process that
hosts it."""

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
from .gate import Gate
from .outs import Outs
from .server_connection import Request, ServerConnection
from .wire import request_bytes


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Where a place is on this machine. `proxy` is the node's own one to the next tier, "" where it has
    none."""

    spec: NodeSpec
    host: str
    port: int
    proxy: str = ""
    proxy_host: str = ""


@dataclass(eq=False, slots=True)
class Task:
    """An attempt on the node. Its visit is None once the caller has left."""

    call: NodeRequest
    tenant: str
    connection: ServerConnection | None
    begun: bool = False


class EmulatedNode:
    """`notify(say, ...)` hears of what the others must know: up, down, drains."""

    keys = count(1)  # of the whole process: no two attempts have the same

    def __init__(
        self,
        far: HelperChannel,
        scenario: Scenario,
        draw: RandomStreams,
        site: NodeLocation,
        notify: Callable[..., None],
    ) -> None:
        self.channel, self.scenario, self.random_streams, self.site, self.notify = (
            far,
            scenario,
            draw,
            site,
            notify,
        )
        self.spec = site.spec
        self.life = 0
        self.simulator: NodeSimulator | None = None
        self.condition: dict[str, Any] = {}
        self.cut = self.draining = False
        self.connections: dict[ServerConnection, None] = {}  # in the order in which they came
        self.tasks: dict[int, Task] = {}
        self.unread: list[tuple[ServerConnection, Request]] = []  # probes of a node that is frozen
        self.outs = Outs(far, (site.proxy_host, site.port), scenario.rules.answer_slack, self._returned)
        self._gate: Gate | None = None
        self._wake: ScheduledCall | None = None
        self._classes = {cls.name: i for i, cls in enumerate(scenario.classes)}

    def now(self) -> int:
        return self.channel.clock.now()

    # ------------------------------------------------------------ lives

    def start(self, cold: bool, condition: dict[str, Any], cut: bool) -> None:
        """A life begins; what lies on the place already lies on it too."""
        now, spec = self.now(), self.spec
        rng = self.random_streams.stream("node", spec.id, self.life)
        self.simulator = NodeSimulator(self.scenario, spec, rng, now, self.life, cold)
        self.cut = self.draining = False
        share, span = (spec.kind.cold.share, spec.kind.cold.span) if cold else (1.0, 0)
        capacity = spec.kind.cores * spec.speed
        self.channel.facts.add(Up(now, spec.id, self.life, spec.tier, capacity, share, span))
        self._gate = Gate(self.channel.loop, self.site.host, self.site.port, partial(ServerConnection, self))
        if cut:
            self.isolate()
        self.set_condition(condition)
        self.notify("up", node=spec.id, life=self.life, since=now if cold else 0)

    def restart(self, renewed: bool, condition: dict[str, Any], cut: bool) -> None:
        """Starts the node again, or another in its place, cold. Nothing if it is up."""
        if self.simulator is None:
            self.life += 1
            if renewed:
                self.spec = replacement(self.spec, self.life)
            self.start(True, condition, cut)

    def crash(self, why: str) -> None:
        """The process dies: connections are reset, new ones refused. Nothing if it is down."""
        if self.simulator is None:
            return
        self.channel.facts.add(Down(self.now(), self.spec.id, self.life, why))
        self._silence()
        self.outs.give_up_all()
        self.tasks.clear()
        self.unread.clear()
        self.notify("down", node=self.spec.id, life=self.life, why=why)

    def close(self) -> None:
        """The run is over: sockets are closed, nothing is recorded any more."""
        self._silence()
        self.outs.close()

    def _silence(self) -> None:
        self.simulator = None
        if self._gate:
            self._gate.shut()
            self._gate = None
        for visit in list(self.connections):
            visit.reset()
        self._rest()

    # ------------------------------------------------------------ what befalls it

    def isolate(self) -> None:
        """From now on nothing is read or answered, and no connection comes up."""
        if self._gate and not self.cut:
            self.cut = True
            self._gate.isolate()
            for visit in self.connections:
                visit.deafen()

    def end_isolation(self) -> None:
        """The machine is back: its old connections are reset."""
        if self._gate and self.cut:
            self.cut = False
            for visit in list(self.connections):
                visit.reset()
            self._gate.end_isolation()

    def break_some(self, share: float, name: str) -> None:
        """Each open connection is reset with this chance; from a machine that is cut off nobody hears it."""
        rng = self.random_streams.stream("reset", self.site.spec.id, name)
        for visit in [visit for visit in self.connections if rng.random() < share and not self.cut]:
            visit.reset()

    def close_idle(self) -> None:
        """What has stood idle for proxy.idle_close is closed."""
        oldest = self.now() - self.scenario.proxy.idle_close
        for visit in [visit for visit in self.connections if not self.cut]:
            if not visit.key and visit.since < oldest:
                visit.close()

    def set_condition(self, condition: dict[str, Any]) -> None:
        """What lies on the node now, all of it: see NodeSimulator.set_conditions."""
        self.condition = condition
        if self.simulator:
            self._do(self.simulator.set_conditions(self.now(), **condition))
        if not condition.get("frozen"):
            unread, self.unread = self.unread, []
            for visit, request in unread:
                self._probe(visit, request)

    def drain(self) -> None:
        if self.simulator:
            self.draining = True
            self._do(self.simulator.set_conditions(self.now(), draining=True))
            self.notify("drains", node=self.spec.id, life=self.life)

    @property
    def state(self) -> str:
        """For the live table."""
        lies = self.condition
        words = (
            ("down", self.simulator is None),
            ("black hole", self.cut),
            ("frozen", lies.get("frozen")),
            ("draining", self.draining),
            ("errors", lies.get("errors")),
            ("slow", lies.get("slow", 1) != 1),
            ("cold", self.simulator and self.simulator.available_capacity(self.now()) < 1),
        )
        return next((word for word, holds in words if holds), "warm")

    # ------------------------------------------------------------ visits

    def joined(self, visit: ServerConnection) -> None:
        if self.simulator is None or not self.simulator.connect(self.now(), ""):
            visit.over = True
            return visit.reset()
        self.connections[visit] = None
        if self.cut:  # it was on its way in
            visit.deafen()
        self._set_wake()

    def left(self, visit: ServerConnection) -> None:
        self.connections.pop(visit, None)
        if self.simulator is None:
            return
        self.simulator.disconnect(self.now(), "")
        if task := self.tasks.get(visit.key):
            task.connection = None
            # What has begun goes on to its reply; what waits does so only where nobody drops it.
            if self.spec.kind.drops_cancelled and not task.begun:
                del self.tasks[visit.key]
            self._do(self.simulator.cancel(self.now(), visit.key))

    def asked(self, visit: ServerConnection, request: Request) -> None:
        if not request.request:
            return self._probe(visit, request)
        call = self._call(request)
        if call is None:
            return visit.answer(400, "", b"no request of this day\n")
        now = self.now()
        if self.simulator:
            self._do(
                self.simulator.advance(now)
            )  # its own doings first, so that a reply is not late for this
        if self.simulator is None:
            return
        visit.key = call.key
        self.tasks[call.key] = Task(call, request.tenant, visit)
        acts = self.simulator.arrive(now, call)
        work, spec = self.simulator.last_work, self.spec
        self.channel.facts.add(Came(now, spec.id, self.life, call.request, call.proxy, work, request.first))
        self._do(acts)

    def _call(self, request: Request) -> NodeRequest | None:
        """None for one that no caller of this day sends."""
        figures, cls = request.attrs, self._classes.get(request.cls)
        if cls is None:
            return None
        until = self.now() + (request.timeout_us or self.scenario.classes[cls].deadline)
        try:
            seed, work = int(figures["seed"]), int(figures["work"])
            proxy, path = figures["proxy"], figures["path"]
        except (KeyError, ValueError):
            return None
        return NodeRequest(next(self.keys), request.request, proxy, cls, seed, work, path, until)

    def _probe(self, visit: ServerConnection, request: Request) -> None:
        if self.condition.get("frozen"):
            self.unread.append((visit, request))
        elif visit.over or self.simulator is None:
            return
        elif not self.scenario.proxy.probes or request.target not in ("/health", "/status/load"):
            visit.answer(404, "", b"")
        else:
            report = self._report()
            body = report.encode() if request.target == "/status/load" else b"ok"
            visit.answer(503 if self.draining else 200, f"X-Server-Load: {report}\r\n", body)

    def _report(self) -> str:
        assert self.simulator
        return ",".join(
            f"{name}={value:.4f}" for name, value in self.simulator.load_report(self.now()).items()
        )

    # ------------------------------------------------------------ what the node does

    def _do(self, acts: list[NodeOutput]) -> None:
        for act in acts:
            if isinstance(act, Reply):
                self._reply(act)
            elif isinstance(act, WorkStarted):
                self._starts(act)
            elif isinstance(act, DownstreamCall):
                self._call_out(act)
            elif isinstance(act, NodeCrashed):
                return self.crash("fell")
        self._set_wake()

    def _set_wake(self) -> None:
        """One that comes too early only looks again; so a new one is set only where the time has come
        nearer."""
        due = self.simulator.next_event_time() if self.simulator else None
        if due is not None and (self._wake is None or due < self._wake.due):
            self._rest()
            self._wake = self.channel.clock.at(due, self._turn)

    def _rest(self) -> None:
        if self._wake:
            self._wake.cancel()
            self._wake = None

    def _turn(self) -> None:
        self._wake = None
        if self.simulator:
            self._do(self.simulator.advance(self.now()))

    def _starts(self, act: WorkStarted) -> None:
        if task := self.tasks.get(act.key):
            task.begun = True
            self.channel.facts.add(Began(self.now(), self.spec.id, self.life, task.call.request))

    def _reply(self, act: Reply) -> None:
        task = self.tasks.pop(act.key, None)
        if task is None or task.connection is None:
            return
        visit, call, spec = task.connection, task.call, self.spec
        visit.key = 0
        if self.cut:
            return  # written to nobody; the connection is reset once the machine is back
        extra = f"X-Server-Load: {self._report()}\r\n" + (
            "X-Not-Processed: 1\r\n" if act.not_processed else ""
        )
        now = self.now()  # a stamp taken after the write may be later than the caller's
        visit.answer(act.status, extra, act.token.encode())
        self.channel.facts.add(
            Replied(
                now, spec.id, self.life, call.request, call.proxy, act.status, act.not_processed, act.token
            )
        )

    def _call_out(self, act: DownstreamCall) -> None:
        task, now = self.tasks.get(act.key), self.now()
        if task is None:
            return
        call, proxy = task.call, self.site.proxy
        cls = self.scenario.classes[call.cls]
        figures = {"seed": call.order_seed, "work": call.order_work_us, "path": act.path, "proxy": proxy}
        left, alike = max(1, act.until - now), self.scenario.clients.alike
        data = request_bytes(cls, act.request, task.tenant, left, figures, alike=alike)
        tier = self.spec.tier + 1
        asked = Asked(now, act.request, 0, self.spec.id, proxy, tier, cls.name, task.tenant, now, act.until)
        self.outs.send(act, asked, data)

    def _returned(self, key: int, index: int, ok: bool) -> None:
        if self.simulator:
            self._do(self.simulator.downstream_call_finished(self.now(), key, index, ok))
