"""State machine of one node, without I/O. Inputs are attempts and the results of calls to the next tier;
outputs are replies, calls to the next tier and a crash. Handles slots, the waiting queue, calls to the next
tier, injected errors, draining and the limit of connections. It reads no clock and does not depend on the
transport: `now` is in whole microseconds since the run's epoch and never decreases.

Internal times have fractions of a microsecond: work ends at its exact time and a waiting attempt starts at that
same time; only the engine gets the output at the next whole microsecond. So rounding errors do not add up while
the node is busy, and how often `advance` is called affects only when the outputs are returned."""

from __future__ import annotations

import random
from collections import OrderedDict
from math import ceil, inf

from slatelab.scenario import Scenario

from .fleet import NodeSpec
from .node_cold import ColdOverloadDetector, WarmupRamp
from .node_cores import Cores
from .node_load import LoadAverage
from .node_messages import DownstreamCall, NodeCrashed, NodeOutput, NodeRequest, Reply, WorkStarted
from .node_pace import ChokeState, CorePace, Pauses
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

# Shorter spans count as 0: otherwise a rounding error in a sum would delay an event by 1 µs.
TIME_EPSILON_US = 1e-3
ERROR_WORK_SHARE = 0.01  # the share of its work that an injected failure costs
MIN_THRASHING_CAPACITY = 0.05  # the least share of its capacity that a thrashing node keeps
# More than the attempts of one life, so that ids of calls differ between lives.
LIFE_ID_STRIDE = 1_000_000_000


class _Attempt:
    """An attempt on the node. Its work is split into `parts` equal parts, with a call to the next tier after
    each part but the last; `done` of them are finished."""

    __slots__ = ("call", "done", "fails", "parts", "serial", "work")

    def __init__(self, call: NodeRequest, serial: int, work: int) -> None:
        self.call, self.serial, self.work = call, serial, work
        self.done, self.parts, self.fails = 0, 1, False


class NodeSimulator:
    """One life of a node, which starts at `now`. `life` is the number of earlier starts; `cold`: it starts with
    the capacity share of kind.cold. Methods that return outputs return, in order, everything the node has done
    up to `now`, for other attempts too. Outputs that arise in `connect` are returned by the next such call, and
    `next_event_time` is then due at once. Each event takes O(log n).

    Attempts in `slots` share the cores equally; up to `waiting` more are queued, first come first served. An
    attempt that waits for the next tier keeps its slot but uses no core. The handshake of a new connection takes
    a core's share and no slot.

    After NodeCrashed the node is dead: it accepts no connection and returns no more outputs."""

    __slots__ = (
        "_awaiting_call", "_connections", "_cores", "_dead", "_deferred_results", "_draining", "_errors",
        "_heavy_tail", "_in_work", "_load", "_makes_calls", "_now", "_outputs", "_overload_detector", "_pace",
        "_rng", "_scenario", "_serial", "_spec", "_strips_deadline", "_tracks_pending", "_unread", "_waiting",
        "pending_requests", "last_work", "life",
    )  # fmt: skip

    def __init__(
        self, scenario: Scenario, spec: NodeSpec, rng: random.Random, now: int, life: int, cold: bool
    ) -> None:
        kind = spec.kind
        self._scenario, self._spec, self._rng, self._now, self.life = scenario, spec, rng, now, life
        self._outputs: list[NodeOutput] = []
        self._cores: Cores[_Attempt | None] = Cores(kind.cores)  # None: a handshake
        self._load = LoadAverage(kind.cores, kind.report_every, now)
        self._build_pace(
            WarmupRamp(now, kind.cold.share, kind.cold.span) if cold else WarmupRamp(now, 1.0, 0)
        )
        self._tracks_pending = bool(kind.thrash or kind.choke)  # pending requests affect the speed
        self._makes_calls = spec.tier + 1 < len(scenario.tiers) and scenario.tiers[spec.tier].calls > 0
        self._waiting: OrderedDict[int, _Attempt] = OrderedDict()
        self._awaiting_call: dict[int, _Attempt] = {}  # by key; their call to the next tier is open
        self._unread: dict[int, _Attempt] = {}  # by key; arrived while it was frozen
        self._deferred_results: dict[int, bool] = {}  # by key: ok, of calls that ended while it was frozen
        self._errors = kind.errors
        self._heavy_tail: tuple[float, float, int | None] = (0.0, 1.0, None)
        self._dead = self._draining = self._strips_deadline = False
        self._connections = self._in_work = self._serial = 0
        self.pending_requests = 0  # in slots and in the waiting queue
        # Work of the last attempt that arrived, in microseconds at speed 1, with its heavy tail.
        self.last_work = 0

    def _build_pace(self, ramp: WarmupRamp) -> None:
        kind, speed, rules = self._spec.kind, self._spec.speed, self._scenario.rules
        choke = ChokeState(kind.choke, kind.cores) if kind.choke else None
        pauses = Pauses(kind.pause, self._rng, self._now) if kind.pause else None
        self._pace = CorePace(self._now, speed, ramp, choke, pauses)
        self._overload_detector: ColdOverloadDetector | None = None
        if kind.cold.falls and ramp.share(self._now) < 1:
            self._overload_detector = ColdOverloadDetector(
                ramp, kind.cores * speed, rules.fall_multiple, rules.fall_window
            )

    # ---------------------------------------------------------------- inputs

    def connect(self, now: int, proxy: str) -> bool:
        """A proxy opens a connection. Returns False, with no effect, if the limit of connections is reached (open
        ones, or pending handshakes) or the node is dead."""
        kind = self._spec.kind
        handshakes_full = len(self._cores.heap) >= kind.slots + kind.connections
        if self._dead or handshakes_full or self._connections >= kind.connections:
            return False
        self._connections += 1
        if kind.handshake_work:
            self._advance_to(now)
            self._cores.add(kind.handshake_work, None)
        return True

    def disconnect(self, now: int, proxy: str) -> None:
        """One of the proxy's connections has closed. Its attempts are not affected: see `cancel`."""
        self._connections = max(0, self._connections - 1)

    def arrive(self, now: int, call: NodeRequest) -> list[NodeOutput]:
        """The last byte of an attempt has arrived. A frozen node handles it once it is no longer frozen; it stores
        at most as many as it accepts connections, which engines never exceed."""
        if self._dead:
            return []
        self._advance_to(now)
        self._serial += 1
        attempt = _Attempt(call, self._serial, self._attempt_work(call))
        if self._overload_detector and self._is_overloaded(self._overload_detector, now, attempt.work):
            self._crash()
        elif not self._pace.frozen:
            self._admit(now, attempt)
        elif len(self._unread) < self._spec.kind.connections:
            self._unread[call.key] = attempt
        return self._take_outputs()

    def cancel(self, now: int, key: int) -> list[NodeOutput]:
        """The caller has closed the attempt's connection. With kind.drops_cancelled an attempt that waits, or that
        a frozen node has not read, is dropped; a running attempt continues until its Reply."""
        self._advance_to(now)
        if self._spec.kind.drops_cancelled:
            self._unread.pop(key, None)
            if key in self._waiting:
                del self._waiting[key]
                self._update_counts(now, 0, -1)
        return self._take_outputs()

    def downstream_call_finished(self, now: int, key: int, index: int, ok: bool) -> list[NodeOutput]:
        """The DownstreamCall of this key and index has ended. If not ok, the attempt gets Reply 500 at once. Calls
        that are not open are ignored."""
        self._advance_to(now)
        attempt = self._awaiting_call.get(key)
        if attempt and attempt.done == index + 1:
            if self._pace.frozen:
                self._deferred_results[key] = ok
            else:
                self._resume(now, key, ok)
        return self._take_outputs()

    def next_event_time(self) -> int | None:
        """When `advance` next has something to do, never before the last `now`; None if there is no event without
        new input. O(1)."""
        if self._outputs:
            return self._now
        if not self._cores.heap or self._pace.frozen:
            return None
        wait = min(self._pace.time(self._now, self._cores.need()), self._pace.until - self._now)
        return None if wait == inf else self._now + max(0, ceil(wait - TIME_EPSILON_US))

    def advance(self, now: int) -> list[NodeOutput]:
        """Processes all events up to `now` and returns the outputs."""
        self._advance_to(now)
        return self._take_outputs()

    def set_conditions(
        self, now: int, *, slow: float | None = None, errors: float | None = None, frozen: bool | None = None,
        draining: bool | None = None, tail: tuple[float, float, int | None] | None = None,
        strip: bool | None = None,
    ) -> list[NodeOutput]:  # fmt: skip
        """Starts or ends faults; None leaves a condition as it is. `slow`: slowdown factor (1: normal); `errors`:
        share of requests that fail at once (at least kind.errors); `frozen`: no work and no answers; `draining`:
        rejects new attempts; `tail`: (share, factor, class or None for all): this share of arriving attempts
        costs factor times the work (share 0 ends it); `strip`: calls to the next tier carry the class's whole
        deadline instead of the time left."""
        self._advance_to(now)
        self._errors = self._errors if errors is None else max(errors, self._spec.kind.errors)
        self._draining = self._draining if draining is None else draining
        self._heavy_tail = self._heavy_tail if tail is None else tail
        self._strips_deadline = self._strips_deadline if strip is None else strip
        self._pace.slow = self._pace.slow if slow is None else slow
        self._pace.frozen = self._pace.frozen if frozen is None else frozen
        self._pace.refresh(now)
        if not self._pace.frozen:
            self._handle_deferred(now)
        return self._take_outputs()

    def load_report(self, now: int) -> dict[str, float]:
        """`qps`: answers per second to attempts that have run; `util`: busy share of the cores, 0 to 1. Both are
        averages over about a second and refreshed every kind.report_every."""
        load = self._load
        if now >= load.due:
            load.refresh(now, 0.0 if self._pace.frozen else (now - self._now) * self._cores.busy())
        return {"qps": load.qps, "util": min(1.0, max(0.0, load.util))}

    def available_capacity(self, now: int) -> float:
        """The share of its capacity that is available at `now`, 0 to 1: below 1 during a cold start."""
        return self._pace.ramp.share(now)

    # ---------------------------------------------------------------- time

    def _advance_to(self, now: int) -> None:
        """Processes all events up to `now`, each at its exact time."""
        cores, pace = self._cores, self._pace
        left = float(now - self._now)
        self._now = now
        while True:
            t = now - left
            if pace.until <= t + TIME_EPSILON_US:
                pace.next_piece(self.pending_requests)
                continue
            available = min(left, pace.until - t)
            if cores.heap:
                span = pace.time(t, cores.need())
                if span <= available + TIME_EPSILON_US:
                    span = min(span, left)
                    left -= span
                    self._load.busy += span * cores.busy()
                    self._finish_part(now - left, cores.pop())
                    continue
                self._spend(t, available)
            left -= available
            if left <= 0:
                break
        if now >= self._load.due:
            self._load.refresh(now)

    def _spend(self, t: float, span: float) -> None:
        self._cores.advance(self._pace.work(t, span))
        if not self._pace.frozen:
            self._load.busy += span * self._cores.busy()

    def _take_outputs(self) -> list[NodeOutput]:
        outputs, self._outputs = self._outputs, []
        return outputs

    # ---------------------------------------------------------------- processing of an attempt

    def _attempt_work(self, call: NodeRequest) -> int:
        work = call_work(
            self._scenario, call.order_seed, call.order_work_us, call.cls, self._spec.tier, call.path
        )
        share, factor, cls = self._heavy_tail
        if share and (cls is None or cls == call.cls) and self._rng.random() < share:
            work = round(work * factor)
        self.last_work = work
        return work

    def _admit(self, t: float, attempt: _Attempt) -> None:
        kind = self._spec.kind
        if self._draining:
            self._outputs.append(Reply(attempt.call.key, 503, True))
        elif self._in_work < kind.slots:
            self._update_counts(t, 1, 1)
            self._start(attempt)
        elif len(self._waiting) < kind.waiting:
            self._waiting[attempt.call.key] = attempt
            self._update_counts(t, 0, 1)
        else:
            self._outputs.append(Reply(attempt.call.key, 503, True))

    def _start(self, attempt: _Attempt) -> None:
        """Starts the attempt in a slot that is already counted as used."""
        call = attempt.call
        self._outputs.append(WorkStarted(call.key))
        if self._errors and self._rng.random() < self._errors:
            attempt.fails = True
            self._cores.add(attempt.work * ERROR_WORK_SHARE, attempt)
            return
        if self._makes_calls:
            attempt.parts += call_count(self._scenario, call.order_seed, self._spec.tier, call.path)
        self._cores.add(attempt.work / attempt.parts, attempt)

    def _finish_part(self, t: float, attempt: _Attempt | None) -> None:
        """A part of the attempt's work, or a handshake (None), is finished."""
        if attempt is None:
            return
        attempt.done += 1
        if attempt.done == attempt.parts or attempt.fails:
            self._answer(t, attempt, 500 if attempt.fails else 200)
        else:
            self._awaiting_call[attempt.call.key] = attempt
            self._outputs.append(self._downstream_call(attempt))

    def _downstream_call(self, attempt: _Attempt) -> DownstreamCall:
        call, index = attempt.call, attempt.done - 1
        request = f"{call.request}/{self._spec.id}x{self.life * LIFE_ID_STRIDE + attempt.serial}/{index}"
        path = f"{call.path}.{index}" if call.path else str(index)
        until = call.until
        if self._strips_deadline or not self._scenario.proxy.passes_deadline:
            until = self._now + self._scenario.classes[call.cls].deadline
        return DownstreamCall(call.key, index, request, path, until)

    def _resume(self, t: float, key: int, ok: bool) -> None:
        attempt = self._awaiting_call.pop(key)
        if ok:
            self._cores.add(attempt.work / attempt.parts, attempt)
        else:
            self._answer(t, attempt, 500)

    def _answer(self, t: float, attempt: _Attempt, status: int) -> None:
        """Answers the attempt and gives its slot to the attempt that has waited longest."""
        call = attempt.call
        token = f"{self._spec.id}/{self.life}/{attempt.serial}/{call.request}" if status == 200 else ""
        self._outputs.append(Reply(call.key, status, False, token))
        self._load.answered += 1
        if self._waiting:
            self._update_counts(t, 0, -1)
            self._start(self._waiting.popitem(last=False)[1])
        else:
            self._update_counts(t, -1, -1)

    def _update_counts(self, t: float, in_work: int, pending: int) -> None:
        self._in_work += in_work
        self.pending_requests += pending
        if self._tracks_pending:
            self._pace.set_held(t, self.pending_requests)
            self._apply_thrash()

    def _apply_thrash(self) -> None:
        if thrash := self._spec.kind.thrash:
            self._cores.set_efficiency(
                max(MIN_THRASHING_CAPACITY, 1 - thrash.share * max(0, self._in_work - thrash.at))
            )

    # ---------------------------------------------------------------- freezes and crashes

    def _handle_deferred(self, now: int) -> None:
        """Handles what arrived while the node was frozen: first the results of calls, then new attempts."""
        deferred, self._deferred_results = self._deferred_results, {}
        unread, self._unread = self._unread, {}
        for key, ok in deferred.items():
            self._resume(now, key, ok)
        for attempt in unread.values():
            self._admit(now, attempt)

    def _is_overloaded(self, detector: ColdOverloadDetector, now: int, work: int) -> bool:
        if now < detector.ramp.end:
            return detector.add(now, work)
        self._overload_detector = None
        return False

    def _crash(self) -> None:
        self._dead = True
        self._outputs.append(NodeCrashed())
        self._cores.clear()
        for table in (self._waiting, self._awaiting_call, self._unread, self._deferred_results):
            table.clear()
        self.pending_requests = self._in_work = self._connections = 0
