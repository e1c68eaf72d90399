"""A place of the plant: the node that stands there now, the connections to it, and its calls to the next
tier. It owns the facts that a node sees; what the node does is NodeSimulator's, and what befalls the place is
told by `faults`."""

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
    """An attempt on the node. Its line is None once the caller has left."""

    __slots__ = ("ask", "begun", "connection", "proxy")

    def __init__(self, ask: ClientRequest, proxy: str, line: NodeConnection) -> None:
        self.ask, self.proxy, self.begun = ask, proxy, False
        self.connection: NodeConnection | None = line


class SimulatedNode:
    """`own`: the proxy through which its node calls the next tier, None where it calls nobody."""

    def __init__(self, world: SimulationContext, spec: NodeSpec, keys: count[int]) -> None:
        self.context, self.clock, self.spec, self.name = world, world.clock, spec, spec.id
        self.address = f"{spec.address}:{PORT}"
        self.own: ProxySupervisor | None = None
        self.life = 0
        self.simulator: NodeSimulator | None = None
        self.condition: dict[str, Any] = {}
        self.cut = self.draining = False
        self.connections: dict[NodeConnection, None] = {}  # that the node's side takes for open
        self.tasks: dict[int, Task] = {}
        self.outs: dict[tuple[int, int], DownstreamExchange] = {}
        self._keys = keys
        self._wake: ScheduledCall | None = None

    # ------------------------------------------------------------ lives

    def start(self, cold: bool, condition: dict[str, Any]) -> None:
        """A life begins."""
        spec, kind = self.spec, self.spec.kind
        rng = self.context.random_streams.stream("node", spec.id, self.life)
        self.simulator = NodeSimulator(self.context.scenario, spec, rng, self.clock.now, self.life, cold)
        self.draining = False
        share, span = (kind.cold.share, kind.cold.span) if cold else (1.0, 0)
        self.context.specs[spec.id] = spec
        self.context.say(
            Up(self.clock.now, spec.id, self.life, spec.tier, kind.cores * spec.speed, share, span)
        )
        self.set_condition(condition)
        self._enlist("SERVING", self.clock.now if cold else 0)

    def restart(self, renewed: bool, condition: dict[str, Any]) -> None:
        """Starts the node again, or another in its place, cold. Nothing if it is up. Its own proxy has been
        started before, so as to be ready by now."""
        if self.simulator is None:
            self.life += 1
            if renewed:
                self.spec = replacement(self.spec, self.life)
            if self.own and not self.own.proxy:
                self.own.ready()
            self.start(True, condition)

    def crash(self, why: str) -> None:
        """The process dies: connections are reset, new ones refused. Nothing if it is down."""
        if self.simulator is None:
            return
        self.simulator = None
        self._rest()
        self.context.say(Down(self.clock.now, self.spec.id, self.life, why))
        self._enlist("DELETED", 0)
        self.tasks.clear()
        for out in list(self.outs.values()):
            out.give_up()
        if self.own:
            self.own.kill()
        if not self.cut:  # else its caller hears of nothing until the machine is back
            self._break_all()

    def _enlist(self, phase: str, since: int) -> None:
        self.context.discovery.set(self.spec, self.address, phase, since)

    def _rest(self) -> None:
        if self._wake:
            self._wake.cancel()
            self._wake = None

    # ------------------------------------------------------------ what befalls it

    def set_condition(self, condition: dict[str, Any]) -> None:
        """What lies on the node now, all of it: see NodeSimulator.set_conditions."""
        self.condition = condition
        if self.simulator:
            self._do(self.simulator.set_conditions(self.clock.now, **condition))

    def drain(self) -> None:
        if self.simulator:
            self.draining = True
            self._do(self.simulator.set_conditions(self.clock.now, draining=True))
            self._enlist("DRAINING", 0)

    def end_isolation(self) -> None:
        """The machine is back from a black hole: its old connections are reset."""
        if self.cut:
            self.cut = False
            self._break_all()

    def break_some(self, share: float, name: str) -> None:
        """Each open connection is reset with this chance."""
        rng = self.context.random_streams.stream("reset", self.name, name)
        for line in [line for line in self.connections if rng.random() < share]:
            if not self.cut:
                self._break(line)

    def _break_all(self) -> None:
        for line in list(self.connections):
            self._break(line)

    def _break(self, line: NodeConnection) -> None:
        self._part(line)
        line.back.send(line.broken)

    @property
    def state(self) -> str:
        """For whoever watches."""
        lies = self.condition
        words = (
            ("down", self.simulator is None), ("black hole", self.cut), ("frozen", lies.get("frozen")),
            ("draining", self.draining), ("errors", lies.get("errors")), ("slow", lies.get("slow", 1) != 1),
            ("cold", self.simulator and self.simulator.available_capacity(self.clock.now) < 1),
        )  # fmt: skip
        return next((word for word, holds in words if holds), "warm")

    # ------------------------------------------------------------ connections and attempts

    def knock(self, line: NodeConnection, proxy: str) -> None:
        """A proxy wants a connection."""
        if self.cut:
            return  # nothing is said: its own limit of time ends the wait
        if self.simulator is None or not self.simulator.connect(self.clock.now, proxy):
            line.back.send(line.refused)
            return
        line.life, line.back.last = self.life, line.ready
        self.connections[line] = None
        line.back.send(line.up)
        self._set_wake()

    def part(self, line: NodeConnection) -> None:
        """The caller's end of the connection has been closed."""
        if line in self.connections and not self.cut:
            self._part(line)

    def _part(self, line: NodeConnection) -> None:
        del self.connections[line]
        if self.simulator is None or line.life != self.life:
            return
        self._do(self.simulator.advance(self.clock.now))  # what has begun by now counts as begun
        self.simulator.disconnect(self.clock.now, line.proxy)
        if task := self.tasks.get(line.key):
            task.connection = None
            # What has begun goes on to its reply; what waits does so only where nobody drops it.
            if self.spec.kind.drops_cancelled and not task.begun:
                del self.tasks[line.key]
            self._do(self.simulator.cancel(self.clock.now, line.key))

    def arrive(self, line: NodeConnection, errand: AttemptExchange, first: int) -> None:
        """The last byte of an attempt has come, its first at `first`."""
        if self.cut or line not in self.connections or self.simulator is None:
            return
        now = self.clock.now
        ask: ClientRequest = errand.attempt.job.request
        key = line.key = next(self._keys)
        self.tasks[key] = Task(ask, line.proxy, line)
        call = NodeRequest(
            key, ask.request, line.proxy, ask.cls, ask.order_seed, ask.order_work_us, ask.path, errand.until
        )
        acts = self.simulator.arrive(now, call)
        work = self.simulator.last_work
        self.context.say(Came(now, self.spec.id, self.life, ask.request, line.proxy, work, first))
        self._do(acts)

    # ------------------------------------------------------------ what the node does

    def _do(self, acts: list[NodeOutput]) -> None:
        for act in acts:
            if isinstance(act, Reply):
                self._reply(act)
            elif isinstance(act, WorkStarted):
                self._starts(act)
            elif isinstance(act, DownstreamCall):
                self._call_out(act)
            else:
                return self.crash("fell")
        self._set_wake()

    def _set_wake(self) -> None:
        """A wake that comes too early only looks again; so one is set anew only where the time has come
        nearer."""
        due = self.simulator.next_event_time() if self.simulator else None
        if due is None:
            return
        if self._wake is None or due < self._wake.due:
            self._rest()
            self._wake = self.clock.call_at(due, self._turn)

    def _turn(self) -> None:
        self._wake = None
        machine, now = self.simulator, self.clock.now
        if machine is None:
            return
        due = machine.next_event_time()
        if due is not None and due <= now:
            self._do(machine.advance(now))
        else:
            self._set_wake()

    def _starts(self, act: WorkStarted) -> None:
        if task := self.tasks.get(act.key):
            task.begun = True
            self.context.say(Began(self.clock.now, self.spec.id, self.life, task.ask.request))

    def _reply(self, act: Reply) -> None:
        task = self.tasks.pop(act.key, None)
        if task is None or task.connection is None or self.simulator is None:
            return
        line, now = task.connection, self.clock.now
        line.key = 0
        if self.cut:
            return  # written to nobody; the connection is reset once the machine is back
        line.back.send(line.answered, act.status, act.not_processed, act.token, self.report())
        request = task.ask.request
        self.context.say(
            Replied(
                now, self.spec.id, self.life, request, task.proxy, act.status, act.not_processed, act.token
            )
        )

    def report(self) -> tuple[float, ...]:
        """The load report in the order of the settings' columns, to as many digits as it is written with."""
        values = self.simulator.load_report(self.clock.now) if self.simulator else {}
        return tuple(round(value, 4) for value in values.values())

    # ------------------------------------------------------------ calls to the next tier

    def _call_out(self, act: DownstreamCall) -> None:
        task = self.tasks.get(act.key)
        if task is None:
            return
        out = DownstreamExchange(self, act, task.ask)
        self.outs[act.key, act.index] = out
        out.send()

    def returned(self, out: DownstreamExchange, ok: bool) -> None:
        key, index = out.act.key, out.act.index
        self.outs.pop((key, index), None)
        if self.simulator:
            self._do(self.simulator.downstream_call_finished(self.clock.now, key, index, ok))
