"""Detects retry storms from what one proxy observes: arrivals, retries and final answers. The detector reads
no clock and draws no random numbers, and it refuses, delays and routes nothing: its user acts on the phase
that it reports.

Criterion. A storm is a loop: failed answers make callers retry, and the retries make more answers fail. It is
therefore recognised by both halves at once: a share of the arrivals that are retries AND a share of the
answers that were refusals or failures. Either alone is something else. Many new keys are growth, however many
of them are refused; refusals that nobody retries are an outage; retries that are served come from callers of
another proxy. With up to two retries and a probability p of failure, the share of retries is (p + p^2) / (1 +
p + p^2): 24 % at p = 0.25 (a sign), 33 % at p = 0.37 (a storm), 67 % when all fail. A rate alone is no
criterion, and a proxy that has just started does not know its usual rate.

Keys. A key that only one request has is certainly a retry when it comes back after a refusal. Where requests
look alike, the same key also arrives for other reasons: it is known as common once it has arrived with no
refusal outstanding, or more often in a row than a caller retries. Of a single request with a common key
nothing can be said, only of all of them together: arrivals above `slack` times their rate just before the
refusals began count as retries, each against one recently refused answer. This finds about two thirds of
them. Requests that the caller marks as retries count at once. Not detected: unmarked retries whose body
differs each time, and a storm of common keys that is older than the proxy.

Floods. When most of the excess over the usual rate belongs to one tenant, far above its usual share, it is a
flood, and the phase follows the traffic of the other tenants. A burst of new connections while answers are
refused is a sign (RISING), never a storm.

Retry storms as a loop that outlives its cause: N. Bronson et al., Metastable Failures in Distributed Systems,
HotOS 2021.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from enum import Enum
from math import exp, sqrt
from typing import Literal

# Between two evaluations. The phases need no finer interval, and an idle proxy is not woken for them.
EVALUATION_INTERVAL_US = 100_000
# A longer gap is a clock step or a sleep: no condition has been sustained over it.
MAX_EVALUATION_GAP_US = 10 * EVALUATION_INTERVAL_US
SETS, WAYS = 1024, 4  # 4,096 keys in 86 KB: at 1,000 new ones a second each is kept for about 4 s
KEY_STALE_US = 60_000_000  # a key not seen for a minute is new again
# A key that comes back more often in a row does not belong to one caller: callers here retry twice.
MAX_CONSECUTIVE_RETRIES = 6
COMMON_KEY = 255  # stored in place of the retries: more than one request has this key
MAX_TENANTS = 256  # tracked separately; each costs half a microsecond per evaluation
MAX_NODES = 256  # reports kept
NODE_REPORT_STALE_US = 5_000_000  # how long a report counts: nodes report with each answer
# Relative pace at which the usual figures adapt outside CALM: an outage is not usual, but the figures must
# not be stuck permanently.
LEARNING_PACE_OUTSIDE_CALM = 0.25
# Indices of the counts; the counts of each tenant follow from FIRST_TENANT on.
FRESH, REPEATS, SERVED, REFUSED, CONNECTS, COMMON_FRESH, FIRST_TENANT = range(7)

Verdict = Literal["served", "refused", "failed"]


class Phase(Enum):
    """The phases of a retry storm."""

    CALM = "calm"
    RISING = "rising"  # signs, held for a while
    STORM = "storm"
    RECOVERY = "recovery"  # answers succeed again, but refused callers still retry


@dataclass(frozen=True, slots=True)
class StormDetectorConfig:
    """Thresholds of the detector. Times in microseconds; shares 0..1, `_quiet` < `_off` < `_on` < `_hard`."""

    least_us: int = 500_000  # 100 ms..60 s: minimum duration of a phase
    window_us: int = 1_000_000  # 300 ms..10 s: time constant of the recent figures
    usual_us: int = 60_000_000  # 5 s..1 h: time constant of the usual figures
    learn_us: int = 5_000_000  # 1 s..usual_us: the usual rate is unknown before
    start_us: int = 1_000_000  # 0..60 s after the first arrival: no sign before
    memory_us: int = 8_000_000  # 1 s..60 s: how long a refusal explains a retry; above any Retry-After
    rise_us: int = 500_000  # 0..10 s: a sign held this long is RISING
    storm_us: int = 1_000_000  # 0..10 s: a hard sign held this long is a STORM
    ease_us: int = 500_000  # 0..10 s: ease held this long ends a STORM; twice this without a sign ends RISING
    calm_us: int = 3_000_000  # 0..60 s: quiet held this long, or 4 times this without a sign, ends RECOVERY
    repeats_on: float = 0.20  # share of retries among arrivals that is a sign
    repeats_hard: float = 0.30  # ... that is a hard sign
    repeats_off: float = 0.15  # ... below which the loop is broken (ease)
    repeats_quiet: float = 0.10  # ... below which it is quiet
    refused_on: float = 0.10  # share of answers refused or failed that is a sign
    refused_hard: float = 0.20  # ... that is a hard sign
    refused_off: float = 0.08  # ... below which the loop is broken (ease)
    least_count: float = 8.0  # 1..1000: retries within the window without which there is no sign
    util_ease: float = 0.70  # nodes less busy than this, while more is served, are recovering
    slack: float = 1.1  # 1..3: common keys above this multiple of their earlier rate count as retries
    grow: float = 0.5  # 0.1..10: excess over the usual rate, as a fraction of it, that is growth or a flood
    flood_share: float = 0.70  # share of the excess that makes it one tenant's flood
    reconnects: float = 4.0  # 1..100: times the usual rate of new connections, and 20/s more, that is a sign


@dataclass(frozen=True, slots=True)
class StormMetrics:
    """Figures of the last evaluation. Rates are per second over the window and at least 0, shares 0..1."""

    arrivals_per_s: float = 0.0
    repeats: float = 0.0  # share of retries among arrivals
    distinct_per_s: float = 0.0  # arrivals that are not retries
    refused: float = 0.0  # share of final answers that were refused or failed
    reconnects_per_s: float = 0.0
    top_tenant: float = 0.0  # share of arrivals of the flooding tenant, else of the largest
    top_tenant_index: int = -1  # -1: none
    util: float = 0.0  # mean of the nodes' last reports; 0 where there are none
    usual_per_s: float = 0.0  # 0 while unknown
    flood: bool = False  # most of the excess belongs to that tenant
    growth: bool = False  # far more distinct requests than usual, and few retries


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """A change of phase, with the metrics that caused it."""

    phase: Phase
    previous: Phase
    metrics: StormMetrics
    text: str  # one line for the log


def _ratio(part: float, rest: float) -> float:
    return min(1.0, max(0.0, part / (part + rest))) if part + rest > 0 else 0.0


class _KeyArrival(Enum):
    NEW = 0
    REPEAT = 1
    COMMON = 2  # a common key, no refusal outstanding
    COMMON_AFTER_REFUSAL = 3  # a common key with a refusal outstanding: may be a retry


class _KeyTable:
    """Recently seen keys, and how many refused or failed answers of each are outstanding: a set-associative
    table in which the least recently seen key of a set is replaced. Outstanding refusals decay: one counts
    for `memory_us`, several count for longer."""

    def __init__(self, memory_us: int) -> None:
        self.memory_us = memory_us
        self.keys = array("Q", [0]) * (SETS * WAYS)
        self.last_seen = array("q", [-1 - KEY_STALE_US]) * (SETS * WAYS)
        self.refusals = array("f", [0.0]) * (SETS * WAYS)
        self.retries = array("B", [0]) * (SETS * WAYS)

    def _find(self, now: int, key: int) -> tuple[int, bool]:
        """Index of the key, with its refusals decayed to `now`, and whether the key is new."""
        base = oldest = (key % SETS) * WAYS
        for i in range(base, base + WAYS):
            if self.keys[i] == key and now - self.last_seen[i] <= KEY_STALE_US:
                if self.refusals[i]:
                    self.refusals[i] *= exp((self.last_seen[i] - now) / self.memory_us)
                self.last_seen[i] = now
                return i, False
            if self.last_seen[i] < self.last_seen[oldest]:
                oldest = i
        self.keys[oldest], self.last_seen[oldest], self.refusals[oldest], self.retries[oldest] = (
            key,
            now,
            0.0,
            0,
        )
        return oldest, True

    def arrival(self, now: int, key: int, is_retry: bool) -> _KeyArrival:
        i, new = self._find(now, key)
        has_refusal = self.refusals[i] >= 0.3678  # just below 1/e
        if is_retry:
            self.refusals[i] = max(0.0, self.refusals[i] - 1)
            return _KeyArrival.REPEAT
        if new:
            return _KeyArrival.NEW
        if not has_refusal or self.retries[i] >= MAX_CONSECUTIVE_RETRIES:
            self.retries[i] = COMMON_KEY
            return _KeyArrival.COMMON_AFTER_REFUSAL if has_refusal else _KeyArrival.COMMON
        self.retries[i] += 1
        self.refusals[i] = max(0.0, self.refusals[i] - 1)
        return _KeyArrival.REPEAT

    def add_refusals(self, now: int, key: int, count: int) -> None:
        """Adds one refused or failed answer (1) or removes one (-1)."""
        i, _ = self._find(now, key)
        self.refusals[i] = max(0.0, self.refusals[i] + count)


class _DecayingCounts:
    """Exponentially decaying counts, and the time that they cover."""

    def __init__(self, size: int, time_constant_us: int) -> None:
        self.time_constant_us = time_constant_us
        self.counts = [0.0] * size
        self.covered_us = 0.0  # at most twice the time constant

    def add(self, new: list[int], elapsed_us: float, pace: float = 1.0) -> None:
        keep = exp(-elapsed_us * pace / self.time_constant_us)
        self.counts = [c * keep + n * pace for c, n in zip(self.counts, new, strict=True)]
        self.covered_us = self.covered_us * keep + min(elapsed_us * pace, self.time_constant_us)

    def rate(self, place: int) -> float:
        return self.counts[place] * 1e6 / self.covered_us if self.covered_us else 0.0


class _NodeReports:
    """The last report of each node."""

    def __init__(self) -> None:
        self.reports: dict[int, tuple[int, float]] = {}  # ordered by time of report

    def report(self, now: int, endpoint: int, util: float) -> None:
        self.reports.pop(endpoint, None)
        self.reports[endpoint] = (now, min(1.0, max(0.0, util)))
        if len(self.reports) > MAX_NODES:
            del self.reports[next(iter(self.reports))]

    def mean(self, now: int) -> float | None:
        while (
            self.reports and now - self.reports[oldest := next(iter(self.reports))][0] > NODE_REPORT_STALE_US
        ):
            del self.reports[oldest]
        return sum(util for _, util in self.reports.values()) / len(self.reports) if self.reports else None


class StormDetector:
    """Takes timestamped events; `advance`, to be called after them and when `due` says so, returns a change
    of phase. `tenant_count`: number of tenants; any other index counts as no tenant. The cost of an event
    does not depend on the events before it."""

    def __init__(self, config: StormDetectorConfig, tenant_count: int) -> None:
        self.config = config
        self.phase = Phase.CALM
        self._tenant_count = min(max(0, tenant_count), MAX_TENANTS)
        # New requests and retries of each tenant, and of no tenant.
        size = FIRST_TENANT + 2 * (self._tenant_count + 1)
        self._pending_counts = [0] * size
        self._has_events = False
        self._recent = _DecayingCounts(size, config.window_us)
        self._usual = _DecayingCounts(size, config.usual_us)
        self._key_table = _KeyTable(config.memory_us)
        self._node_reports = _NodeReports()
        self._metrics = StormMetrics()
        self._util: float | None = None
        self._first_arrival = self._last_arrival = -1
        self._last_evaluation = self._phase_since = -1
        # Rate of common keys while few answers failed: at the last but one such evaluation, and at the last.
        self._common_rate_before = self._common_rate = 0.0
        # Time in which few answers failed; without enough of it the rate of common keys is unknown.
        self._healthy_us = 0
        self._common_allowance = 0.0  # how many arrivals of common keys may still count as new requests
        self._flooding_tenant = self._suspected_tenant = -1
        self._lowest_served_rate = 0.0  # lowest rate of served answers per second in this storm
        self._condition_since: dict[str, int] = {}  # which conditions hold, and since when

    # ------------------------------------------------------------ events in

    def arrival(self, now: int, key: int, cls: int, tenant: int, is_retry: bool) -> bool:
        """A complete request has arrived. `key`: 64 bits of a hash of tenant, class, path and body, to which
        `cls` adds nothing. Returns whether it is a retry, by its mark or because its key was recently refused
        or failed."""
        self._note_event(now)
        if self._first_arrival < 0:
            self._first_arrival = now
        self._last_arrival = now
        place = tenant if 0 <= tenant < self._tenant_count else self._tenant_count
        key &= (1 << 64) - 1
        arrival = self._key_table.arrival(now, key, is_retry)
        is_repeat = arrival is _KeyArrival.REPEAT or self._exceeds_allowance(now, key, arrival, place)
        self._pending_counts[REPEATS if is_repeat else FRESH] += 1
        self._pending_counts[FIRST_TENANT + 2 * place + is_repeat] += 1
        return is_repeat

    def _exceeds_allowance(self, now: int, key: int, arrival: _KeyArrival, place: int) -> bool:
        """Whether this arrival of a common key exceeds the rate before the refusals. A flooding tenant does
        not use up the allowance: otherwise requests of other tenants would be counted as retries because of
        it."""
        if arrival is _KeyArrival.NEW:
            return False
        if place != self._flooding_tenant:
            if (
                self._common_allowance >= 1
                or arrival is _KeyArrival.COMMON
                or self._healthy_us < self.config.learn_us
            ):
                self._common_allowance = max(0.0, self._common_allowance - 1)
                self._pending_counts[COMMON_FRESH] += 1
                return False
        elif arrival is _KeyArrival.COMMON:
            return False
        self._key_table.add_refusals(now, key, -1)
        return True

    def request_ended(self, now: int, key: int, verdict: Verdict) -> None:
        """A request has had its final answer. "failed" also where its caller disconnected without one, as it
        will retry."""
        self._note_event(now)
        if verdict == "served":
            self._pending_counts[SERVED] += 1
        else:
            self._pending_counts[REFUSED] += 1
            self._key_table.add_refusals(now, key & ((1 << 64) - 1), 1)

    def connection_opened(self, now: int) -> None:
        """A caller has opened a new connection."""
        self._note_event(now)
        self._pending_counts[CONNECTS] += 1

    def node_reported(self, now: int, endpoint: int, util: float) -> None:
        """Utilisation that a node reports, 0..1; values outside are clamped, and NaN counts as 0."""
        self._node_reports.report(now, endpoint, util)

    def _note_event(self, now: int) -> None:
        self._has_events = True
        if self._last_evaluation < 0:
            self._last_evaluation = self._phase_since = now

    # ------------------------------------------------------------ evaluation

    def due(self) -> int | None:
        """When `advance` has something to evaluate, if nothing else happens first."""
        if self._has_events or self.phase is not Phase.CALM or "sign" in self._condition_since:
            return self._last_evaluation + EVALUATION_INTERVAL_US
        return None

    def advance(self, now: int) -> PhaseChange | None:
        """Evaluates the phase. At most one change per call, and none within least_us of the previous one."""
        elapsed_us = now - self._last_evaluation
        if self._last_evaluation < 0 or elapsed_us < EVALUATION_INTERVAL_US:
            return None
        self._last_evaluation = now
        if elapsed_us > MAX_EVALUATION_GAP_US:
            self._condition_since.clear()
        self._update_counts(now, elapsed_us)
        self._util = self._node_reports.mean(now)
        self._update_metrics(now)
        self._update_conditions(now)
        if now - self._phase_since < self.config.least_us:
            return None
        phase = self._next_phase(now)
        return None if phase is self.phase else self._enter_phase(now, phase)

    def metrics(self) -> StormMetrics:
        """The metrics of the last evaluation."""
        return self._metrics

    def _update_counts(self, now: int, elapsed_us: int) -> None:
        """Adds the new counts to the recent and usual ones. Silence and clock steps do not change the usual
        ones."""
        new, self._pending_counts = self._pending_counts, [0] * len(self._pending_counts)
        self._has_events = False
        self._recent.add(new, elapsed_us)
        active = self._first_arrival >= 0 and now - self._last_arrival <= MAX_EVALUATION_GAP_US
        if active:
            self._usual.add(
                new,
                min(elapsed_us, MAX_EVALUATION_GAP_US),
                1.0 if self.phase is Phase.CALM else LEARNING_PACE_OUTSIDE_CALM,
            )
        if active and self._refused_share() < self.config.refused_on:
            self._healthy_us += min(elapsed_us, MAX_EVALUATION_GAP_US)
            self._common_rate_before, self._common_rate = self._common_rate, self._recent.rate(COMMON_FRESH)
        refill = self.config.slack * max(self._common_rate_before, self._usual.rate(COMMON_FRESH))
        self._common_allowance = min(4 + refill / 4, self._common_allowance + refill * elapsed_us / 1e6)

    def _usual_is_known(self) -> bool:
        return self._usual.covered_us >= self.config.learn_us

    def _refused_share(self) -> float:
        return _ratio(self._recent.counts[REFUSED], self._recent.counts[SERVED])

    def _tenant_rates(self) -> list[float]:
        """Arrivals per second of each tenant, without those of no tenant."""
        counts, covered_us = self._recent.counts, self._recent.covered_us
        pairs = zip(counts[FIRST_TENANT:-2:2], counts[FIRST_TENANT + 1 : -2 : 2], strict=True)
        return [(fresh + repeats) * 1e6 / covered_us for fresh, repeats in pairs]

    def _update_metrics(self, now: int) -> None:
        """Sets flood, growth and the metrics. What may be chance (four sigmas, and the least count) is no
        excess. Half of the threshold is enough to remain one, so that a flag does not flicker."""
        config, rate = self.config, self._recent.rate
        fresh, repeats, usual = rate(FRESH), rate(REPEATS), self._usual.rate(FRESH)
        window_s = config.window_us / 1e6
        min_rate = config.least_count / window_s
        min_excess = max(config.grow * usual, 4 * sqrt(usual / (2 * window_s)), min_rate)
        excess = fresh + repeats - usual
        tenants = self._tenant_rates()
        flooded = self._usual_is_known() and excess >= max(min_excess, 2 * min_rate) / (
            1 if self._flooding_tenant < 0 else 2
        )
        self._update_flood(now, self._find_flooder(excess, usual, tenants) if flooded else -1)
        is_growth = self._usual_is_known() and fresh - usual >= (
            min_excess / 2 if self._metrics.growth else min_excess
        )
        share = _ratio(repeats, fresh)
        top = max(tenants, default=0.0) if self._flooding_tenant < 0 else tenants[self._flooding_tenant]
        self._metrics = StormMetrics(
            arrivals_per_s=fresh + repeats,
            repeats=share,
            distinct_per_s=fresh,
            refused=self._refused_share(),
            reconnects_per_s=rate(CONNECTS),
            top_tenant=min(1.0, top / (fresh + repeats)) if top > 0 else 0.0,
            top_tenant_index=tenants.index(top) if top > 0 else -1,
            util=self._util or 0.0,
            usual_per_s=usual if self._usual_is_known() else 0.0,
            flood=self._flooding_tenant >= 0,
            growth=is_growth and self._flooding_tenant < 0 and share < config.repeats_on,
        )

    def _update_flood(self, now: int, suspect: int) -> None:
        """A flood counts as one after half of rise_us: a few requests that are retried twice may look like
        one for a moment. It lasts while its retries arrive: otherwise they would be counted as the other
        tenants' once the excess is gone."""
        flood_repeats = (
            self._recent.counts[FIRST_TENANT + 2 * self._flooding_tenant + 1]
            if self._flooding_tenant >= 0
            else 0.0
        )
        if suspect < 0 and flood_repeats >= self.config.least_count / 2:
            return
        if suspect != self._suspected_tenant:
            self._condition_since.pop("suspect", None)
        self._suspected_tenant = suspect
        self._set_conditions(now, suspect=suspect >= 0)
        self._flooding_tenant = suspect if self._held_for(now, "suspect", self.config.rise_us // 2) else -1

    def _find_flooder(self, excess: float, usual: float, tenants: list[float]) -> int:
        """The tenant whose excess it is, or -1. It must have most of the excess, at least half way from its
        usual share to all of it, and the others must be enough for their calm to mean something."""
        if len(tenants) < 2:
            return -1
        usual_rates = [self._usual.rate(FIRST_TENANT + 2 * tenant) for tenant in range(len(tenants))]
        increases = [rate - usual_rate for rate, usual_rate in zip(tenants, usual_rates, strict=True)]
        largest = max(range(len(increases)), key=increases.__getitem__)
        share = _ratio(usual_rates[largest], usual - usual_rates[largest])
        others_visible = (1 - share) * excess * self.config.window_us / 1e6 >= self.config.least_count / 2
        min_increase = excess * max(self.config.flood_share, (1 + share) / 2)
        return largest if others_visible and increases[largest] >= min_increase else -1

    # ------------------------------------------------------------ phases

    def _repeats_without_flood(self) -> tuple[float, float]:
        """Share and count of retries, without those of a flooding tenant."""
        counts = self._recent.counts
        fresh, repeats = counts[FRESH], counts[REPEATS]
        if self._flooding_tenant >= 0:
            place = FIRST_TENANT + 2 * self._flooding_tenant
            fresh, repeats = fresh - counts[place], repeats - counts[place + 1]
        return _ratio(repeats, fresh), repeats

    def _update_conditions(self, now: int) -> None:
        """Updates which conditions hold, and since when."""
        config = self.config
        share, count = self._repeats_without_flood()
        refused = self._refused_share()
        enough_repeats = count >= config.least_count and now - self._first_arrival >= config.start_us
        sign = enough_repeats and share >= config.repeats_on and refused >= config.refused_on
        hard_sign = enough_repeats and share >= config.repeats_hard and refused >= config.refused_hard
        few_repeats = count < config.least_count / 2
        ease = (
            few_repeats
            or share < config.repeats_off
            or refused < config.refused_off
            or self._nodes_recovering(refused)
        )
        sign = sign or self._reconnect_burst(refused)
        self._set_conditions(now, sign=sign, no_sign=not sign, hard_sign=hard_sign and not ease, ease=ease)
        self._set_conditions(now, quiet=few_repeats or share < config.repeats_quiet)

    def _set_conditions(self, now: int, **conditions: bool) -> None:
        for name, holds in conditions.items():
            if holds:
                self._condition_since.setdefault(name, now)
            else:
                self._condition_since.pop(name, None)

    def _held_for(self, now: int, name: str, duration_us: int) -> bool:
        return now - self._condition_since.get(name, now + 1) >= duration_us

    def _nodes_recovering(self, refused: float) -> bool:
        """The nodes have free capacity, and answers mostly succeed and at a higher rate than at the lowest
        point: the backlog is being worked off."""
        if self.phase is not Phase.STORM and self.phase is not Phase.RECOVERY:
            return False
        served = self._recent.rate(SERVED)
        self._lowest_served_rate = min(self._lowest_served_rate, served)
        nodes_have_room = self._util is not None and self._util < self.config.util_ease
        return nodes_have_room and refused < 0.5 and served > 1.5 * self._lowest_served_rate + 1

    def _reconnect_burst(self, refused: float) -> bool:
        usual, now = self._usual.rate(CONNECTS), self._recent.rate(CONNECTS)
        many_connections = now >= self.config.reconnects * usual and now >= usual + 20
        return many_connections and self._usual_is_known() and refused >= self.config.refused_on

    def _next_phase(self, now: int) -> Phase:
        config = self.config
        if self.phase is Phase.CALM:
            return Phase.RISING if self._held_for(now, "sign", config.rise_us) else Phase.CALM
        if self.phase is Phase.RISING:
            if self._held_for(now, "hard_sign", config.storm_us):
                return Phase.STORM
            return Phase.CALM if self._held_for(now, "no_sign", 2 * config.ease_us) else Phase.RISING
        if self.phase is Phase.STORM:
            return Phase.RECOVERY if self._held_for(now, "ease", config.ease_us) else Phase.STORM
        if "hard_sign" in self._condition_since:
            return Phase.STORM
        calm = self._held_for(now, "quiet", config.calm_us) or self._held_for(
            now, "no_sign", 4 * config.calm_us
        )
        return Phase.CALM if calm else Phase.RECOVERY

    def _enter_phase(self, now: int, phase: Phase) -> PhaseChange:
        previous, self.phase, self._phase_since = self.phase, phase, now
        if phase is Phase.STORM:
            self._lowest_served_rate = self._recent.rate(SERVED)
        return PhaseChange(phase, previous, self._metrics, self._describe(previous))

    def _describe(self, previous: Phase) -> str:
        f = self._metrics
        usual = f"{f.usual_per_s:.1f}/s" if f.usual_per_s else "unknown"
        text = (
            f"{previous.value} -> {self.phase.value}: {f.arrivals_per_s:.1f}/s arrive (usual {usual}), "
            f"{f.repeats:.0%} repeats, {f.distinct_per_s:.1f}/s distinct, {f.refused:.0%} refused or failed, "
            f"{f.reconnects_per_s:.1f}/s connect, tenant {f.top_tenant_index} has {f.top_tenant:.0%}, "
            f"util {f.util:.2f}"
        )
        flood = f", flood by tenant {f.top_tenant_index}" if f.flood else ""
        return text + flood + (", growth" if f.growth else "")
