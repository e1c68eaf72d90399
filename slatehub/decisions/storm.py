"""Whether a retry storm is under way, told from what one proxy sees. This file owns the figures of arrivals,
repeats and answers, the four phases and the table of keys that came of late. It must never look at a clock,
draw a number, refuse, delay or route anything: whoever holds the detector acts on its phase.

What tells a storm. A storm is a loop: answers that are of no use make callers come back, and that makes more
of them. So it takes both halves at once: a share of the arrivals that are repeats AND a share of the answers
that were refusals or failures. Either alone is something else: many new keys are growth, however many are
refused; refusals that nobody repeats are an outage; repeats that are served are callers come over from
elsewhere. With up to two retries and a chance p of failure the share of repeats is
(p + p^2) / (1 + p + p^2): 24 % at p = 0.25 (a sign), 33 % at p = 0.37 (a storm), 67 % when all fails. A rate
alone tells nothing, and the usual one is unknown to a proxy just started.

What a key tells. A key that nobody else has is a repeat for certain when it comes back after a refusal. Where
orders look alike a key comes by itself too: it is known as common once it has come with nothing owed to it,
or back more often in a row than a caller retries. Nothing can be said of one order with a common key, only of
all of them: what comes above `slack` x their rate just before the refusals began counts as repeats, each for
one answer refused of late. That finds about two thirds of them. Marks, where callers set them, count at once.
Not seen: unmarked repeats whose body differs each time, and a storm of common keys older than the proxy.

One tenant: when most of the excess over the usual is one tenant's, far above its usual share, it is a flood,
and phases go by the traffic of the others. A burst of new connections while answers are refused is a sign
(RISING), never a storm.

Retry storms as a loop that outlives its cause: N. Bronson et al., Metastable Failures in Distributed Systems,
HotOS 2021.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from enum import Enum
from math import exp, sqrt
from typing import Literal

EVALUATION_INTERVAL_US = (
    100_000  # microseconds between two looks; the phases need no finer, and an idle proxy is not woken
)
PAUSE = (
    10 * EVALUATION_INTERVAL_US
)  # longer without a look is a step of the clock or a sleep: nothing has been sustained
SETS, WAYS = 1024, 4  # 4,096 keys, 86 KB: at 1,000 new ones a second each is known for about 4 s
STALE = 60_000_000  # a key not seen for a minute is new again
TRIES = 6  # a key back more often than this in a row is not one caller's: callers here retry twice
COMMON = 255  # in the place of the tries: more than one order has this key
MOST_TENANTS = 256  # told apart; each costs half a microsecond a look
MAX_NODES = 256  # reports kept
NODE_STALE = 5_000_000  # how long a report counts: nodes report with each answer
SLOW = 0.25  # pace of learning the usual outside CALM: an outage is not usual, yet nothing is stuck for good
FRESH, REPEATS, SERVED, REFUSED, CONNECTS, ALIKE, FIXED = range(7)  # places of counts; then those by tenant

Verdict = Literal["served", "refused", "failed"]


class Phase(Enum):
    CALM = "calm"
    RISING = "rising"  # signs, held for a while
    STORM = "storm"
    RECOVERY = "recovery"  # answers are of use again, but those who were refused still come


@dataclass(frozen=True, slots=True)
class StormDetectorConfig:
    """When to call what a storm. Times in microseconds; shares 0..1, `_quiet` < `_off` < `_on` < `_hard`."""

    least_us: int = 500_000  # 100 ms..60 s: a phase lasts at least this long
    window_us: int = 1_000_000  # 300 ms..10 s: time constant of the present figures
    usual_us: int = 60_000_000  # 5 s..1 h: time constant of the usual
    learn_us: int = 5_000_000  # 1 s..usual_us: the usual is unknown before
    start_us: int = 1_000_000  # 0..60 s after the first arrival: no sign before
    memory_us: int = 8_000_000  # 1 s..60 s: a refusal explains a repeat so long; above any Retry-After
    rise_us: int = 500_000  # 0..10 s: a sign held this long is RISING
    storm_us: int = 1_000_000  # 0..10 s: a hard sign held this long is a STORM
    ease_us: int = 500_000  # 0..10 s: ease held this long ends a STORM; twice this without a sign ends RISING
    calm_us: int = 3_000_000  # 0..60 s: quiet held this long ends RECOVERY; 4 times this without a sign, too
    repeats_on: float = 0.20  # share of arrivals that makes a sign
    repeats_hard: float = 0.30  # ... a storm
    repeats_off: float = 0.15  # ... below which the loop is broken
    repeats_quiet: float = 0.10  # ... below which it is quiet
    refused_on: float = 0.10  # share of answers refused or failed that makes a sign
    refused_hard: float = 0.20  # ... a storm
    refused_off: float = 0.08  # ... below which the loop is broken
    least_count: float = 8.0  # 1..1000: repeats within the window without which there is no sign
    util_ease: float = 0.70  # nodes less busy than this, while more is served, are getting over it
    slack: float = 1.1  # 1..3: common keys above this times their rate before count as repeats
    grow: float = 0.5  # 0.1..10: excess over the usual, in parts of it, that is growth or a flood
    flood_share: float = 0.70  # share of the excess that makes it one tenant's
    reconnects: float = 4.0  # 1..100: times the usual new connections, and 20 a second more, that make a sign


@dataclass(frozen=True, slots=True)
class StormMetrics:
    """As of the last look. Rates are per second over the window and at least 0, shares 0..1."""

    arrivals_per_s: float = 0.0
    repeats: float = 0.0  # share of arrivals
    distinct_per_s: float = 0.0  # arrivals that are no repeats
    refused: float = 0.0  # share of final answers that were refused or failed
    reconnects_per_s: float = 0.0
    top_tenant: float = 0.0  # its share of arrivals: the flooding one's, else the largest
    top_tenant_index: int = -1  # -1: nobody
    util: float = 0.0  # mean of the nodes' last reports; 0 where there are none
    usual_per_s: float = 0.0  # 0 while unknown
    flood: bool = False  # most of the excess is that tenant's
    growth: bool = False  # far more distinct orders than usual, and few repeats


@dataclass(frozen=True, slots=True)
class Changed:
    phase: Phase
    before: Phase
    figures: StormMetrics
    text: str  # one line for the log


def _share(part: float, rest: float) -> float:
    return min(1.0, max(0.0, part / (part + rest))) if part + rest > 0 else 0.0


class _Came(Enum):
    NEW = 0
    REPEAT = 1
    ALIKE = 2  # a common key, nothing owed
    OWED = 3  # a common key with a refusal outstanding: may be a repeat


class _Keys:
    """Who came of late, and how many answers of each key were of no use: a table of sets of four, in which
    whoever was not seen for longest makes room. Debts fade: one refusal counts for `memory`, many longer."""

    def __init__(self, memory: int) -> None:
        self.memory = memory
        self.key = array("Q", [0]) * (SETS * WAYS)
        self.at = array("q", [-1 - STALE]) * (SETS * WAYS)
        self.owed = array("f", [0.0]) * (SETS * WAYS)
        self.tries = array("B", [0]) * (SETS * WAYS)

    def _place(self, now: int, key: int) -> tuple[int, bool]:
        """Where the key is, its debt faded to now, and whether it is new."""
        base = oldest = (key % SETS) * WAYS
        for i in range(base, base + WAYS):
            if self.key[i] == key and now - self.at[i] <= STALE:
                if self.owed[i]:
                    self.owed[i] *= exp((self.at[i] - now) / self.memory)
                self.at[i] = now
                return i, False
            if self.at[i] < self.at[oldest]:
                oldest = i
        self.key[oldest], self.at[oldest], self.owed[oldest], self.tries[oldest] = key, now, 0.0, 0
        return oldest, True

    def came(self, now: int, key: int, marked: bool) -> _Came:
        i, new = self._place(now, key)
        owed = self.owed[i] >= 0.3678  # just below 1/e
        if marked:
            self.owed[i] = max(0.0, self.owed[i] - 1)
            return _Came.REPEAT
        if new:
            return _Came.NEW
        if not owed or self.tries[i] >= TRIES:
            self.tries[i] = COMMON
            return _Came.OWED if owed else _Came.ALIKE
        self.tries[i] += 1
        self.owed[i] = max(0.0, self.owed[i] - 1)
        return _Came.REPEAT

    def settle(self, now: int, key: int, by: int) -> None:
        """One more (1) or one fewer (-1) answer of no use."""
        i, _ = self._place(now, key)
        self.owed[i] = max(0.0, self.owed[i] + by)


class _Fading:
    """Counts in which what is older counts less, over the time they cover."""

    def __init__(self, size: int, constant: int) -> None:
        self.constant = constant
        self.counts = [0.0] * size
        self.covered = 0.0  # microseconds, at most twice the constant

    def fold(self, new: list[int], passed: float, pace: float = 1.0) -> None:
        keep = exp(-passed * pace / self.constant)
        self.counts = [c * keep + n * pace for c, n in zip(self.counts, new, strict=True)]
        self.covered = self.covered * keep + min(passed * pace, self.constant)

    def rate(self, place: int) -> float:
        return self.counts[place] * 1e6 / self.covered if self.covered else 0.0


class _Nodes:
    """The last report of each node."""

    def __init__(self) -> None:
        self.last: dict[int, tuple[int, float]] = {}  # in the order of their reports

    def report(self, now: int, endpoint: int, util: float) -> None:
        self.last.pop(endpoint, None)
        self.last[endpoint] = (now, min(1.0, max(0.0, util)))
        if len(self.last) > MAX_NODES:
            del self.last[next(iter(self.last))]

    def mean(self, now: int) -> float | None:
        while self.last and now - self.last[oldest := next(iter(self.last))][0] > NODE_STALE:
            del self.last[oldest]
        return sum(util for _, util in self.last.values()) / len(self.last) if self.last else None


class StormDetector:
    """Events with their time go in; `advance`, called after them and when `due` says so, tells a change of
    phase. `tenants`: how many there are; any other index is nobody's. An event costs the same whatever came
    before it."""

    def __init__(self, terms: StormDetectorConfig, tenants: int) -> None:
        self.terms = terms
        self.phase = Phase.CALM
        self._tenants = min(max(0, tenants), MOST_TENANTS)
        size = FIXED + 2 * (self._tenants + 1)  # fresh ones and repeats of each, and of nobody
        self._new = [0] * size
        self._dirty = False
        self._recent = _Fading(size, terms.window_us)
        self._usual = _Fading(size, terms.usual_us)
        self._keys = _Keys(terms.memory_us)
        self._nodes = _Nodes()
        self._figures = StormMetrics()
        self._util: float | None = None
        self._first = self._latest = -1  # arrivals
        self._last = self._entered = -1  # look, change of phase
        self._before = self._lately = 0.0  # rate of common keys while answers were of use, and a look later
        self._sound = 0  # microseconds in which answers were of use; without, no rate of common keys is known
        self._pool = 0.0  # how many common keys may come now that are no repeats
        self._flooding = self._suspect = -1
        self._ebb = 0.0  # least served a second in this storm
        self._since: dict[str, int] = {}  # which conditions hold, and since when

    # ------------------------------------------------------------ events in

    def arrival(self, now: int, key: int, cls: int, tenant: int, marked: bool) -> bool:
        """An order has come in whole. `key`: 64 bits of a hash of tenant, class, path and body, to which
        `cls` adds nothing. True: a repeat, by its mark or by a refusal or failure of its key of late."""
        self._touch(now)
        if self._first < 0:
            self._first = now
        self._latest = now
        place = tenant if 0 <= tenant < self._tenants else self._tenants
        key &= (1 << 64) - 1
        came = self._keys.came(now, key, marked)
        repeat = came is _Came.REPEAT or self._crowded(now, key, came, place)
        self._new[REPEATS if repeat else FRESH] += 1
        self._new[FIXED + 2 * place + repeat] += 1
        return repeat

    def _crowded(self, now: int, key: int, came: _Came, place: int) -> bool:
        """Whether this one of a common key is above what came before the refusals did. A flooding tenant
        takes nothing from the pool: guards against others' orders being called repeats for its sake."""
        if came is _Came.NEW:
            return False
        if place != self._flooding:
            if self._pool >= 1 or came is _Came.ALIKE or self._sound < self.terms.learn_us:
                self._pool = max(0.0, self._pool - 1)
                self._new[ALIKE] += 1
                return False
        elif came is _Came.ALIKE:
            return False
        self._keys.settle(now, key, -1)
        return True

    def request_ended(self, now: int, key: int, verdict: Verdict) -> None:
        """The final answer of an order; "failed" too where its caller left without one: it will be back."""
        self._touch(now)
        if verdict == "served":
            self._new[SERVED] += 1
        else:
            self._new[REFUSED] += 1
            self._keys.settle(now, key & ((1 << 64) - 1), 1)

    def connection_opened(self, now: int) -> None:
        self._touch(now)
        self._new[CONNECTS] += 1

    def node_reported(self, now: int, endpoint: int, util: float) -> None:
        """How busy a node says it is, 0..1; what lies outside counts as the nearer end, NaN as 0."""
        self._nodes.report(now, endpoint, util)

    def _touch(self, now: int) -> None:
        self._dirty = True
        if self._last < 0:
            self._last = self._entered = now

    # ------------------------------------------------------------ looks

    def due(self) -> int | None:
        """When `advance` has something to look at, if nothing else happens first."""
        if self._dirty or self.phase is not Phase.CALM or "sign" in self._since:
            return self._last + EVALUATION_INTERVAL_US
        return None

    def advance(self, now: int) -> Changed | None:
        """At most one change a call, never within least_us of the one before."""
        passed = now - self._last
        if self._last < 0 or passed < EVALUATION_INTERVAL_US:
            return None
        self._last = now
        if passed > PAUSE:
            self._since.clear()
        self._fold(now, passed)
        self._util = self._nodes.mean(now)
        self._excess(now)
        self._hold(now)
        if now - self._entered < self.terms.least_us:
            return None
        phase = self._next(now)
        return None if phase is self.phase else self._enter(now, phase)

    def metrics(self) -> StormMetrics:
        return self._figures

    def _fold(self, now: int, passed: int) -> None:
        """The new counts become part of the figures. Silence and steps of the clock teach nothing."""
        new, self._new = self._new, [0] * len(self._new)
        self._dirty = False
        self._recent.fold(new, passed)
        lively = self._first >= 0 and now - self._latest <= PAUSE
        if lively:
            self._usual.fold(new, min(passed, PAUSE), 1.0 if self.phase is Phase.CALM else SLOW)
        if lively and self._refused() < self.terms.refused_on:
            self._sound += min(passed, PAUSE)
            self._before, self._lately = self._lately, self._recent.rate(ALIKE)
        refill = self.terms.slack * max(self._before, self._usual.rate(ALIKE))
        self._pool = min(4 + refill / 4, self._pool + refill * passed / 1e6)

    def _known(self) -> bool:
        return self._usual.covered >= self.terms.learn_us

    def _refused(self) -> float:
        return _share(self._recent.counts[REFUSED], self._recent.counts[SERVED])

    def _by_tenant(self) -> list[float]:
        """Rates of arrivals. Nobody's are left out."""
        counts, covered = self._recent.counts, self._recent.covered
        pairs = zip(counts[FIXED:-2:2], counts[FIXED + 1 : -2 : 2], strict=True)
        return [(fresh + repeats) * 1e6 / covered for fresh, repeats in pairs]

    def _excess(self, now: int) -> None:
        """Sets flood, growth and the figures. What chance may do (four sigmas, and the least count) is no
        excess; half of it is enough to go on being one, so that a flag does not flicker."""
        terms, rate = self.terms, self._recent.rate
        fresh, repeats, usual = rate(FRESH), rate(REPEATS), self._usual.rate(FRESH)
        window = terms.window_us / 1e6
        least = terms.least_count / window
        need = max(terms.grow * usual, 4 * sqrt(usual / (2 * window)), least)
        over = fresh + repeats - usual
        tenants = self._by_tenant()
        flooded = self._known() and over >= max(need, 2 * least) / (1 if self._flooding < 0 else 2)
        self._suspected(now, self._flooder(over, usual, tenants) if flooded else -1)
        grown = self._known() and fresh - usual >= (need / 2 if self._figures.growth else need)
        share = _share(repeats, fresh)
        top = max(tenants, default=0.0) if self._flooding < 0 else tenants[self._flooding]
        self._figures = StormMetrics(
            arrivals_per_s=fresh + repeats,
            repeats=share,
            distinct_per_s=fresh,
            refused=self._refused(),
            reconnects_per_s=rate(CONNECTS),
            top_tenant=min(1.0, top / (fresh + repeats)) if top > 0 else 0.0,
            top_tenant_index=tenants.index(top) if top > 0 else -1,
            util=self._util or 0.0,
            usual_per_s=usual if self._known() else 0.0,
            flood=self._flooding >= 0,
            growth=grown and self._flooding < 0 and share < terms.repeats_on,
        )

    def _suspected(self, now: int, suspect: int) -> None:
        """A flood is one after half of rise_us: orders that come in threes may look like one for a moment. It
        goes on while its repeats come: guards against calling them the others' once the excess is gone."""
        mine = self._recent.counts[FIXED + 2 * self._flooding + 1] if self._flooding >= 0 else 0.0
        if suspect < 0 and mine >= self.terms.least_count / 2:
            return
        if suspect != self._suspect:
            self._since.pop("suspect", None)
        self._suspect = suspect
        self._mark(now, suspect=suspect >= 0)
        self._flooding = suspect if self._held(now, "suspect", self.terms.rise_us // 2) else -1

    def _flooder(self, over: float, usual: float, tenants: list[float]) -> int:
        """Whose excess it is: most of it, at least half way from the usual share to all, and the others large
        enough for their calm to mean something; or -1."""
        if len(tenants) < 2:
            return -1
        before = [self._usual.rate(FIXED + 2 * tenant) for tenant in range(len(tenants))]
        grown = [now - then for now, then in zip(tenants, before, strict=True)]
        worst = max(range(len(grown)), key=grown.__getitem__)
        share = _share(before[worst], usual - before[worst])
        told = (1 - share) * over * self.terms.window_us / 1e6 >= self.terms.least_count / 2
        most = over * max(self.terms.flood_share, (1 + share) / 2)
        return worst if told and grown[worst] >= most else -1

    # ------------------------------------------------------------ phases

    def _rest(self) -> tuple[float, float]:
        """Share and count of repeats, without a flooding tenant's part."""
        counts = self._recent.counts
        fresh, repeats = counts[FRESH], counts[REPEATS]
        if self._flooding >= 0:
            place = FIXED + 2 * self._flooding
            fresh, repeats = fresh - counts[place], repeats - counts[place + 1]
        return _share(repeats, fresh), repeats

    def _hold(self, now: int) -> None:
        """Which conditions hold, and since when."""
        terms = self.terms
        share, count = self._rest()
        refused = self._refused()
        enough = count >= terms.least_count and now - self._first >= terms.start_us
        sign = enough and share >= terms.repeats_on and refused >= terms.refused_on
        hard = enough and share >= terms.repeats_hard and refused >= terms.refused_hard
        few = count < terms.least_count / 2
        ease = few or share < terms.repeats_off or refused < terms.refused_off or self._emptying(refused)
        sign = sign or self._reconnecting(refused)
        self._mark(now, sign=sign, unsigned=not sign, hard=hard and not ease, ease=ease)
        self._mark(now, quiet=few or share < terms.repeats_quiet)

    def _mark(self, now: int, **conditions: bool) -> None:
        for name, holds in conditions.items():
            if holds:
                self._since.setdefault(name, now)
            else:
                self._since.pop(name, None)

    def _held(self, now: int, name: str, long: int) -> bool:
        return now - self._since.get(name, now + 1) >= long

    def _emptying(self, refused: float) -> bool:
        """The nodes have room, most answers are of use and more than at the ebb: the work is being done."""
        if self.phase is not Phase.STORM and self.phase is not Phase.RECOVERY:
            return False
        served = self._recent.rate(SERVED)
        self._ebb = min(self._ebb, served)
        room = self._util is not None and self._util < self.terms.util_ease
        return room and refused < 0.5 and served > 1.5 * self._ebb + 1

    def _reconnecting(self, refused: float) -> bool:
        usual, now = self._usual.rate(CONNECTS), self._recent.rate(CONNECTS)
        many = now >= self.terms.reconnects * usual and now >= usual + 20
        return many and self._known() and refused >= self.terms.refused_on

    def _next(self, now: int) -> Phase:
        terms = self.terms
        if self.phase is Phase.CALM:
            return Phase.RISING if self._held(now, "sign", terms.rise_us) else Phase.CALM
        if self.phase is Phase.RISING:
            if self._held(now, "hard", terms.storm_us):
                return Phase.STORM
            return Phase.CALM if self._held(now, "unsigned", 2 * terms.ease_us) else Phase.RISING
        if self.phase is Phase.STORM:
            return Phase.RECOVERY if self._held(now, "ease", terms.ease_us) else Phase.STORM
        if "hard" in self._since:
            return Phase.STORM
        over = self._held(now, "quiet", terms.calm_us) or self._held(now, "unsigned", 4 * terms.calm_us)
        return Phase.CALM if over else Phase.RECOVERY

    def _enter(self, now: int, phase: Phase) -> Changed:
        before, self.phase, self._entered = self.phase, phase, now
        if phase is Phase.STORM:
            self._ebb = self._recent.rate(SERVED)
        return Changed(phase, before, self._figures, self._worded(before))

    def _worded(self, before: Phase) -> str:
        f = self._figures
        usual = f"{f.usual_per_s:.1f}/s" if f.usual_per_s else "unknown"
        text = (
            f"{before.value} -> {self.phase.value}: {f.arrivals_per_s:.1f}/s arrive (usual {usual}), "
            f"{f.repeats:.0%} repeats, {f.distinct_per_s:.1f}/s distinct, {f.refused:.0%} refused or failed, "
            f"{f.reconnects_per_s:.1f}/s connect, tenant {f.top_tenant_index} has {f.top_tenant:.0%}, "
            f"util {f.util:.2f}"
        )
        flood = f", flood by tenant {f.top_tenant_index}" if f.flood else ""
        return text + flood + (", growth" if f.growth else "")
