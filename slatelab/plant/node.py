"""One node of the plant, without I/O: attempts and the answers of the next tier go in; answers, calls and a
death come out. This file owns what a node does with an attempt: slots, the waiting room, calls to the next
tier, errors, drains, its table of connections. It must never read a clock or know who carries its answers;
`now` is whole microseconds since the run's epoch and never runs backwards.

Inside, time has fractions: work ends exactly when it does, what waits begins at that very moment, and only
the engine hears of it at the next whole microsecond. So nothing is rounded twice, however long the node is
busy, and it makes no difference how often `advance` is called, but to when it is heard of."""

from __future__ import annotations

import random
from collections import OrderedDict
from math import ceil, inf

from slatelab.scenario import Scenario

from .fleet import NodeSpec
from .node_cold import ColdOverloadDetector, WarmupRamp
from .node_cores import Cores
from .node_load import Load
from .node_messages import DownstreamCall, NodeCrashed, NodeOutput, NodeRequest, Reply, WorkStarted
from .node_pace import Overdrive, Pace, Pauses
from .workload import call_count, call_work

__all__ = [
    "NodeOutput",
    "NodeRequest",
    "DownstreamCall",
    "NodeCrashed",
    "NodeSimulator",
    "Reply",
    "WorkStarted",
]

INSTANT = 1e-3  # microseconds that count as none: without it the last digit of a sum would cost a whole one
ERROR_WORK = 0.01  # the part of its work that a request costs which fails at once
STRAINED = 0.05  # the part of its capacity that a thrashing node keeps at the least
LIFE = 1_000_000_000  # more than the attempts of one life, so that the ids of calls differ between lives


class _Job:
    """An attempt on the node: `parts` equal parts of work, with a call to the next tier after each but the
    last."""

    __slots__ = ("call", "done", "fails", "parts", "serial", "work")

    def __init__(self, call: NodeRequest, serial: int, work: int) -> None:
        self.call, self.serial, self.work = call, serial, work
        self.done, self.parts, self.fails = 0, 1, False


class NodeSimulator:
    """One life of a node, from its start at `now`. `life` counts its starts before this; `cold`: it begins
    with the share of kind.cold. Whatever is called returns all that the node has done up to `now`, of other
    attempts too, in order; what `connect` cannot return comes with the next call, for which `due` asks at
    once. Each thing that happens takes O(log n).

    Work in `slots` shares the cores equally; `waiting` more wait, first come first served. A request that
    waits for the next tier keeps its slot and leaves the cores. The handshake of a new connection takes a
    core's share and no slot.

    After NodeCrashed the node is dead: it takes no connection, and nothing more comes from it."""

    __slots__ = (
        "_acts", "_at", "_calling", "_connections", "_cores", "_dead", "_draining", "_errors", "_in_work",
        "_load", "_noted", "_out", "_pace", "_pressure", "_rng", "_scenario", "_serial", "_spec", "_strip",
        "_tail", "_unheard", "_unread", "_waiting", "pending_requests", "last_work", "life",
    )  # fmt: skip

    def __init__(
        self, scenario: Scenario, spec: NodeSpec, rng: random.Random, now: int, life: int, cold: bool
    ) -> None:
        kind = spec.kind
        self._scenario, self._spec, self._rng, self._at, self.life = scenario, spec, rng, now, life
        self._acts: list[NodeOutput] = []
        self._cores: Cores[_Job | None] = Cores(kind.cores)  # None: a handshake
        self._load = Load(kind.cores, kind.report_every, now)
        self._build(WarmupRamp(now, kind.cold.share, kind.cold.span) if cold else WarmupRamp(now, 1.0, 0))
        self._noted = bool(kind.thrash or kind.choke)  # it matters how many are held
        self._calling = spec.tier + 1 < len(scenario.tiers) and scenario.tiers[spec.tier].calls > 0
        self._waiting: OrderedDict[int, _Job] = OrderedDict()
        self._out: dict[int, _Job] = {}  # with a call to the next tier
        self._unread: dict[int, _Job] = {}  # came while it was frozen
        self._unheard: dict[int, bool] = {}  # calls that ended while it was frozen
        self._errors = kind.errors
        self._tail: tuple[float, float, int | None] = (0.0, 1.0, None)
        self._dead = self._draining = self._strip = False
        self._connections = self._in_work = self._serial = 0
        self.pending_requests = 0  # in work and waiting
        self.last_work = 0  # of the attempt that came last, in microseconds at speed 1, a heavy tail included

    def _build(self, ramp: WarmupRamp) -> None:
        kind, speed, rules = self._spec.kind, self._spec.speed, self._scenario.rules
        choke = Overdrive(kind.choke, kind.cores) if kind.choke else None
        pauses = Pauses(kind.pause, self._rng, self._at) if kind.pause else None
        self._pace = Pace(self._at, speed, ramp, choke, pauses)
        self._pressure: ColdOverloadDetector | None = None
        if kind.cold.falls and ramp.share(self._at) < 1:
            self._pressure = ColdOverloadDetector(
                ramp, kind.cores * speed, rules.fall_multiple, rules.fall_window
            )

    # ---------------------------------------------------------------- what befalls it

    def connect(self, now: int, proxy: str) -> bool:
        """A proxy opens a connection. False: the table is full (or as many handshakes wait as it holds), or
        the node is dead; then nothing has been done."""
        kind = self._spec.kind
        crowded = len(self._cores.heap) >= kind.slots + kind.connections
        if self._dead or crowded or self._connections >= kind.connections:
            return False
        self._connections += 1
        if kind.handshake_work:
            self._run(now)
            self._cores.add(kind.handshake_work, None)
        return True

    def disconnect(self, now: int, proxy: str) -> None:
        """One of the proxy's connections has ended. What runs is not touched: see `cancel`."""
        self._connections = max(0, self._connections - 1)

    def arrive(self, now: int, call: NodeRequest) -> list[NodeOutput]:
        """The last byte of an attempt has come. A frozen node reads it when it thaws; beyond as many as it
        takes connections, which cannot be, it never does."""
        if self._dead:
            return []
        self._run(now)
        self._serial += 1
        job = _Job(call, self._serial, self._work(call))
        if self._pressure and self._pushed_over(self._pressure, now, job.work):
            self._fall()
        elif not self._pace.frozen:
            self._read(now, job)
        elif len(self._unread) < self._spec.kind.connections:
            self._unread[call.key] = job
        return self._told()

    def cancel(self, now: int, key: int) -> list[NodeOutput]:
        """The caller has closed the attempt's connection. What waits is dropped where kind.drops_cancelled,
        and so is what a frozen node has not read; what runs goes on to its Reply."""
        self._run(now)
        if self._spec.kind.drops_cancelled:
            self._unread.pop(key, None)
            if key in self._waiting:
                del self._waiting[key]
                self._count(now, 0, -1)
        return self._told()

    def downstream_call_finished(self, now: int, key: int, index: int, ok: bool) -> list[NodeOutput]:
        """The DownstreamCall of this key and index has ended. Not ok: Reply 500 at once. Of others nothing is
        made."""
        self._run(now)
        job = self._out.get(key)
        if job and job.done == index + 1:
            if self._pace.frozen:
                self._unheard[key] = ok
            else:
                self._go_on(now, key, ok)
        return self._told()

    def next_event_time(self) -> int | None:
        """When `advance` next has something to do, never before the time it was last told; None: not by
        itself. O(1)."""
        if self._acts:
            return self._at
        if not self._cores.heap or self._pace.frozen:
            return None
        wait = min(self._pace.time(self._at, self._cores.need()), self._pace.until - self._at)
        return None if wait == inf else self._at + max(0, ceil(wait - INSTANT))

    def advance(self, now: int) -> list[NodeOutput]:
        """What has happened by itself up to now."""
        self._run(now)
        return self._told()

    def set_conditions(
        self, now: int, *, slow: float | None = None, errors: float | None = None, frozen: bool | None = None,
        draining: bool | None = None, tail: tuple[float, float, int | None] | None = None,
        strip: bool | None = None,
    ) -> list[NodeOutput]:  # fmt: skip
        """Faults begin or end; None leaves one as it is. `slow`: so many times (1: as usual); `errors`: the
        share of requests that fails at once (kind.errors at least); `frozen`: does and answers nothing;
        `draining`: turns what comes away; `tail`: (share, factor, class or None for all) of what arrives
        costs factor times the work (share 0 ends it); `strip`: calls carry the class's whole deadline, as if
        the time left had been lost."""
        self._run(now)
        self._errors = self._errors if errors is None else max(errors, self._spec.kind.errors)
        self._draining = self._draining if draining is None else draining
        self._tail = self._tail if tail is None else tail
        self._strip = self._strip if strip is None else strip
        self._pace.slow = self._pace.slow if slow is None else slow
        self._pace.frozen = self._pace.frozen if frozen is None else frozen
        self._pace.refresh(now)
        if not self._pace.frozen:
            self._thaw(now)
        return self._told()

    def load_report(self, now: int) -> dict[str, float]:
        """`qps`: answers a second to what has run; `util`: busy share of the cores, 0 to 1; both of the last
        second or so, as they were when last refreshed, which is every kind.report_every."""
        load = self._load
        if now >= load.due:
            load.refresh(now, 0.0 if self._pace.frozen else (now - self._at) * self._cores.busy())
        return {"qps": load.qps, "util": min(1.0, max(0.0, load.util))}

    def available_capacity(self, now: int) -> float:
        """The share of its capacity that it can do now, 0 to 1: under 1 while it starts from cold."""
        return self._pace.ramp.share(now)

    # ---------------------------------------------------------------- time

    def _run(self, now: int) -> None:
        """Plays all up to now, each thing at its own moment."""
        cores, pace = self._cores, self._pace
        left = float(now - self._at)
        self._at = now
        while True:
            t = now - left
            if pace.until <= t + INSTANT:
                pace.turn(self.pending_requests)
                continue
            room = min(left, pace.until - t)
            if cores.heap:
                span = pace.time(t, cores.need())
                if span <= room + INSTANT:
                    span = min(span, left)
                    left -= span
                    self._load.busy += span * cores.busy()
                    self._ended(now - left, cores.pop())
                    continue
                self._pass(t, room)
            left -= room
            if left <= 0:
                break
        if now >= self._load.due:
            self._load.refresh(now)

    def _pass(self, t: float, span: float) -> None:
        self._cores.spend(self._pace.work(t, span))
        if not self._pace.frozen:
            self._load.busy += span * self._cores.busy()

    def _told(self) -> list[NodeOutput]:
        acts, self._acts = self._acts, []
        return acts

    # ---------------------------------------------------------------- an attempt's way

    def _work(self, call: NodeRequest) -> int:
        work = call_work(
            self._scenario, call.order_seed, call.order_work_us, call.cls, self._spec.tier, call.path
        )
        share, factor, cls = self._tail
        if share and (cls is None or cls == call.cls) and self._rng.random() < share:
            work = round(work * factor)
        self.last_work = work
        return work

    def _read(self, t: float, job: _Job) -> None:
        kind = self._spec.kind
        if self._draining:
            self._acts.append(Reply(job.call.key, 503, True))
        elif self._in_work < kind.slots:
            self._count(t, 1, 1)
            self._begin(job)
        elif len(self._waiting) < kind.waiting:
            self._waiting[job.call.key] = job
            self._count(t, 0, 1)
        else:
            self._acts.append(Reply(job.call.key, 503, True))

    def _begin(self, job: _Job) -> None:
        """Takes the slot that has been counted for it."""
        call = job.call
        self._acts.append(WorkStarted(call.key))
        if self._errors and self._rng.random() < self._errors:
            job.fails = True
            self._cores.add(job.work * ERROR_WORK, job)
            return
        if self._calling:
            job.parts += call_count(self._scenario, call.order_seed, self._spec.tier, call.path)
        self._cores.add(job.work / job.parts, job)

    def _ended(self, t: float, job: _Job | None) -> None:
        """A part of its work is done."""
        if job is None:
            return
        job.done += 1
        if job.done == job.parts or job.fails:
            self._answer(t, job, 500 if job.fails else 200)
        else:
            self._out[job.call.key] = job
            self._acts.append(self._call_out(job))

    def _call_out(self, job: _Job) -> DownstreamCall:
        call, index = job.call, job.done - 1
        request = f"{call.request}/{self._spec.id}x{self.life * LIFE + job.serial}/{index}"
        path = f"{call.path}.{index}" if call.path else str(index)
        until = call.until
        if self._strip or not self._scenario.proxy.passes_deadline:
            until = self._at + self._scenario.classes[call.cls].deadline
        return DownstreamCall(call.key, index, request, path, until)

    def _go_on(self, t: float, key: int, ok: bool) -> None:
        job = self._out.pop(key)
        if ok:
            self._cores.add(job.work / job.parts, job)
        else:
            self._answer(t, job, 500)

    def _answer(self, t: float, job: _Job, status: int) -> None:
        """Gives the slot to whoever has waited longest."""
        call = job.call
        token = f"{self._spec.id}/{self.life}/{job.serial}/{call.request}" if status == 200 else ""
        self._acts.append(Reply(call.key, status, False, token))
        self._load.answered += 1
        if self._waiting:
            self._count(t, 0, -1)
            self._begin(self._waiting.popitem(last=False)[1])
        else:
            self._count(t, -1, -1)

    def _count(self, t: float, in_work: int, held: int) -> None:
        self._in_work += in_work
        self.pending_requests += held
        if self._noted:
            self._pace.held(t, self.pending_requests)
            self._strain()

    def _strain(self) -> None:
        if thrash := self._spec.kind.thrash:
            self._cores.strain(max(STRAINED, 1 - thrash.share * max(0, self._in_work - thrash.at)))

    # ---------------------------------------------------------------- frozen, and fallen

    def _thaw(self, now: int) -> None:
        """Hears and reads, in this order, what has come meanwhile."""
        unheard, self._unheard = self._unheard, {}
        unread, self._unread = self._unread, {}
        for key, ok in unheard.items():
            self._go_on(now, key, ok)
        for job in unread.values():
            self._read(now, job)

    def _pushed_over(self, pressure: ColdOverloadDetector, now: int, work: int) -> bool:
        if now < pressure.ramp.end:
            return pressure.add(now, work)
        self._pressure = None
        return False

    def _fall(self) -> None:
        self._dead = True
        self._acts.append(NodeCrashed())
        self._cores.clear()
        for held in (self._waiting, self._out, self._unread, self._unheard):
            held.clear()
        self.pending_requests = self._in_work = self._connections = 0
