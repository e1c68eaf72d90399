"""The storm detector under hostile orders of events, and on traffic of callers that a test makes up: what is
a storm is called one in time and is over in time; what only looks like one is not."""

from __future__ import annotations

from dataclasses import astuple
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from helpers import MS, S
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from slatehub.decisions.storm import (
    EVALUATION_INTERVAL_US,
    MAX_NODES,
    Phase,
    StormDetector,
    StormDetectorConfig,
    StormMetrics,
)

HYPO = hypo(max_examples=25, derandomize=True, database=None, deadline=None)
CALM, RISING, STORM, RECOVERY = Phase
KEYS = st.integers(0, 3) | st.integers(-(2**64), 2**65)
ENDS = st.sampled_from(["served", "refused", "failed", ""])
LEGAL = {CALM: {RISING}, RISING: {STORM, CALM}, STORM: {RECOVERY}, RECOVERY: {STORM, CALM}}


class Outage(NamedTuple):
    start: float  # seconds
    end: float
    share: float = 1.0  # of orders that fail
    tenant: int = -1  # whose; -1: everybody's


class Callers:
    """Orders at random, `kinds` keys (0: each its own), tried again at once or after `wait` milliseconds."""

    def __init__(self, seed: int = 1, rate: int = 40, kinds: int = 0, retries: int = 2, wait: int = 1):
        self.rng, self.rate, self.kinds, self.retries, self.wait = Random(seed), rate, kinds, retries, wait
        self.wrong = 0  # arrivals that were called repeats and were none, or were not and were
        self.detector = StormDetector(StormDetectorConfig(), 5)
        self.changes: list[tuple[float, Phase]] = []
        self.figures: list[StormMetrics] = []
        self.queue: list[tuple[int, int, int, int, str]] = []  # when, key, tenant, try, verdict

    def orders(self, start: float, end: float, rate: float, tenant: int = -1) -> None:
        at = start
        while (at := at + self.rng.expovariate(rate)) < end:
            who = tenant if tenant >= 0 else self.rng.randrange(5)
            key = self.rng.randrange(self.kinds) * 5 + who if self.kinds else self.rng.getrandbits(64)
            heappush(self.queue, (int(at * S), key, who, 0, ""))

    def play(self, end: float, *outages: Outage) -> Callers:
        self.orders(0, end, self.rate)
        while self.queue:
            now, key, tenant, tries, verdict = heappop(self.queue)
            if verdict:
                self.detector.request_ended(now, key, verdict)  # type: ignore[arg-type]
                if verdict != "served" and tries < self.retries:
                    back = now + self.rng.randint(500, 1500) * self.wait
                    heappush(self.queue, (back, key, tenant, tries + 1, ""))
            else:
                self.wrong += self.detector.arrival(now, key, 0, tenant, False) != (tries > 0)
                dark = [o.share for o in outages if o.start <= now / S < o.end and o.tenant in (-1, tenant)]
                lag, end = (5, "failed") if self.rng.random() < max(dark, default=0) else (150, "served")
                heappush(self.queue, (now + lag * MS, key, tenant, tries, end))
            if change := self.detector.advance(now):
                self.changes.append((now / S, change.phase))
            self.figures.append(self.detector.metrics())
        return self

    def when(self, phase: Phase, since: float = 0) -> float:
        return next((t - since for t, p in self.changes if p is phase and t >= since), float("inf"))


class Hostile(RuleBasedStateMachine):
    """Any events in any order; a twin gets the same."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.changed = 5, 5
        self.pair = [
            StormDetector(StormDetectorConfig(start_us=0, rise_us=0, storm_us=0, calm_us=0), 3) for _ in "ab"
        ]

    def tell(self, name: str, *about: Any) -> Any:
        one, other = (getattr(d, name)(self.now, *about) for d in self.pair)
        assert one == other
        return one

    @rule(
        step=st.sampled_from([1, EVALUATION_INTERVAL_US, 7 * EVALUATION_INTERVAL_US, S, 3600 * S, 10**6 * S]),
        times=st.integers(1, 8),
    )
    def wait(self, step: int, times: int) -> None:
        for _ in range(times):
            self.now += step
            self.look()

    def look(self) -> None:
        before = self.pair[0].phase
        if change := self.tell("advance"):
            assert change.before is before and change.phase in LEGAL[before]
            assert self.now - self.changed >= self.pair[0].terms.least_us
            self.changed = self.now

    @rule(key=KEYS, tenant=st.integers(-2, 4), marked=st.booleans(), end=ENDS, times=st.integers(1, 30))
    def order(self, key: int, tenant: int, marked: bool, end: str, times: int) -> None:
        for _ in range(times):
            self.tell("arrival", key, 0, tenant, marked)
            if end:
                self.tell("request_ended", key, end)
        self.look()

    @rule(node=st.integers(0, 10**6), util=st.floats(), times=st.integers(1, 400))
    def other(self, node: int, util: float, times: int) -> None:
        for n in range(times):
            self.tell("node_reported", node + n, util)
            self.tell("connection_opened")

    @invariant()
    def sound(self) -> None:
        detector, f = self.pair[0], self.pair[0].metrics()
        assert all(0 <= share <= 1 for share in (f.repeats, f.refused, f.top_tenant, f.util))
        assert all(0 <= x < float("inf") for x in astuple(f) if isinstance(x, float))
        assert len(detector._nodes.last) <= MAX_NODES
        assert detector.phase is CALM or detector.due() is not None


TestHostile = Hostile.TestCase
TestHostile.settings = hypo(HYPO, max_examples=60, stateful_step_count=30)


@HYPO
@given(st.integers(0, 99), st.sampled_from([3, 40, 600]), st.floats(0.3, 1), st.sampled_from([0, 6]))
def test_orders_that_nobody_repeats_are_no_storm(seed: int, rate: int, share: float, kinds: int) -> None:
    assert not Callers(seed, rate, kinds, retries=0).play(16, Outage(8, 12, share)).changes


@HYPO
@given(st.integers(0, 99), st.sampled_from([30, 100, 300]), st.sampled_from([1, 100, 300]))
def test_a_storm_is_called_in_two_seconds_and_over_in_eight(seed: int, rate: int, wait: int) -> None:
    callers = Callers(seed, rate, 0, 2, wait).play(40, Outage(10, 16))
    assert callers.when(STORM, 10) <= 2 + wait / 1000 and callers.when(CALM, 16) <= 8
    assert [phase for _, phase in callers.changes] == [RISING, STORM, RECOVERY, CALM]
    assert callers.wrong < 10  # few keys lose their place to others


def test_a_storm_of_orders_that_all_look_alike() -> None:
    callers = Callers(kinds=4).play(40, Outage(10, 26))
    assert callers.when(STORM, 10) <= 3 and callers.when(RECOVERY) > 26 and callers.when(CALM, 26) <= 8


def test_a_second_outage_in_recovery_is_a_storm_at_once() -> None:
    callers = Callers(2).play(40, Outage(10, 15), Outage(19, 22))
    assert callers.when(RECOVERY, 15) < 4 and callers.when(STORM, 19) < 1 and callers.when(RISING, 12) > 40


@HYPO
@given(st.integers(0, 99), st.sampled_from([0, 4]), st.sampled_from([0, 2]))
def test_one_tenants_flood_is_flagged_and_is_no_storm_of_all(seed: int, kinds: int, retries: int) -> None:
    """Where nobody repeats, the others may well be refused too."""
    callers = Callers(seed, 40, kinds, retries)
    callers.orders(20, 24, 120, tenant=3)
    callers.play(30, Outage(20, 24, tenant=3), Outage(20, 24, 0.02 if retries else 0.5))
    assert any(f.flood and f.top_tenant_index == 3 for f in callers.figures) and not callers.changes


def test_growth_is_flagged_and_is_no_storm() -> None:
    callers = Callers()
    callers.orders(15, 20, 100)
    assert any(f.growth and not f.flood for f in callers.play(25).figures) and not callers.changes
    fresh = Callers(rate=5)
    fresh.orders(3, 4.8, 400)
    assert not any(f.growth for f in fresh.play(4.8).figures)  # what is usual is not known yet


def test_few_repeats_are_no_storm_be_it_by_count_or_by_share() -> None:
    assert not Callers(rate=3).play(1200, Outage(0, 1200, 0.2)).changes
    assert not Callers(rate=300).play(12, Outage(6, 12, 0.12)).changes


def test_a_proxy_started_in_an_outage_waits_a_second_and_finds_common_keys_out() -> None:
    callers = Callers(rate=400).play(6, Outage(0, 6))
    assert callers.when(RISING) >= 1.5 and callers.when(STORM) <= 3
    assert Callers(kinds=4, retries=0).play(30, Outage(0, 30)).when(CALM) < 12


def test_a_few_callers_who_come_in_threes_are_no_flood() -> None:
    for seed in range(10, 20):
        assert not any(f.flood for f in Callers(seed, 20).play(15, Outage(10, 13)).figures)


def test_a_step_of_the_clock_ends_a_storm_in_order_and_teaches_nothing() -> None:
    storm = Callers().play(15, Outage(10, 15)).detector
    usual, late = storm.metrics().usual_per_s, 10**6 * S
    assert storm.phase is STORM and not storm.arrival(late, 1, 0, 0, False) and not storm.advance(late)
    for now in range(late, late + 10 * S, EVALUATION_INTERVAL_US):
        storm.advance(now)
    assert storm.phase is CALM and storm.metrics().usual_per_s > usual * 0.8


def test_a_step_of_the_clock_sustains_nothing() -> None:
    detector = StormDetector(StormDetectorConfig(), 1)
    for now in (*range(0, 12 * EVALUATION_INTERVAL_US, EVALUATION_INTERVAL_US), 20 * S):
        for key in range(20):
            detector.arrival(now, key, 0, 0, True)
            detector.request_ended(now, key, "refused")
        assert detector.advance(now) is None


def test_a_refusal_explains_one_repeat_and_not_for_ever() -> None:
    detector = StormDetector(StormDetectorConfig(), 1)
    memory = detector.terms.memory_us
    for key, wait, repeat in ((1, 3 * MS, True), (2, memory, True), (3, memory + 5 * MS, False)):
        assert not detector.arrival(0, key, 0, 0, False)
        detector.request_ended(0, key, "refused")
        assert detector.arrival(wait, key, 0, 0, False) is repeat
        assert not detector.arrival(wait, key, 0, 0, False)


def test_new_connections_and_served_repeats_are_no_storm() -> None:
    detector, seen = StormDetector(StormDetectorConfig(), 1), []
    for now in range(0, 20 * S, 10 * MS):
        late = now > 10 * S
        detector.arrival(now, now, 0, 0, marked=not late)
        detector.request_ended(now, now, "refused" if late else "served")
        if late:
            detector.connection_opened(now)
        if change := detector.advance(now):
            seen.append((change.phase, late))
    assert seen == [(RISING, True)]


def test_nodes_that_get_over_it_end_a_storm_while_repeats_still_come() -> None:
    detector, rng, seen = StormDetector(StormDetectorConfig(), 1), Random(3), []
    for now in range(0, 30 * S, 5 * MS):
        late = now > 15 * S
        detector.arrival(now, now, 0, 0, rng.random() < 0.5)
        detector.request_ended(now, now, "served" if rng.random() < (0.7 if late else 0.2) else "refused")
        detector.node_reported(now, 1, 0.5 if late else 1.0)
        if change := detector.advance(now):
            seen.append((change.phase, late, change.figures.repeats > 0.3))
    assert seen[-2:] == [(STORM, False, True), (RECOVERY, True, True)]
