"""Tests the storm detector under arbitrary orders of events, and on simulated traffic of callers: a storm is
reported in time and ends in time, and what only resembles one is not reported."""

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

HYPOTHESIS_SETTINGS = hypo(max_examples=25, derandomize=True, database=None, deadline=None)
CALM, RISING, STORM, RECOVERY = Phase
KEYS = st.integers(0, 3) | st.integers(-(2**64), 2**65)
VERDICTS = st.sampled_from(["served", "refused", "failed", ""])
LEGAL = {CALM: {RISING}, RISING: {STORM, CALM}, STORM: {RECOVERY}, RECOVERY: {STORM, CALM}}


class Outage(NamedTuple):
    start: float  # seconds
    end: float
    share: float = 1.0  # of requests that fail
    tenant: int = -1  # whose requests fail; -1: those of all tenants


class Callers:
    """Random requests with `distinct_keys` keys per tenant (0: a key of its own for each request), retried at once
    or after about `wait` milliseconds."""

    def __init__(
        self, seed: int = 1, rate: int = 40, distinct_keys: int = 0, retries: int = 2, wait: int = 1
    ):
        self.rng, self.rate, self.distinct_keys, self.retries, self.wait = (
            Random(seed),
            rate,
            distinct_keys,
            retries,
            wait,
        )
        self.misjudged = 0  # arrivals wrongly taken for retries, and retries that were not recognised
        self.detector = StormDetector(StormDetectorConfig(), 5)
        self.changes: list[tuple[float, Phase]] = []
        self.metrics: list[StormMetrics] = []
        self.queue: list[tuple[int, int, int, int, str]] = []  # time, key, tenant, try, verdict

    def add_requests(self, start: float, end: float, rate: float, tenant: int = -1) -> None:
        at = start
        while (at := at + self.rng.expovariate(rate)) < end:
            tenant_index = tenant if tenant >= 0 else self.rng.randrange(5)
            key = (
                self.rng.randrange(self.distinct_keys) * 5 + tenant_index
                if self.distinct_keys
                else self.rng.getrandbits(64)
            )
            heappush(self.queue, (int(at * S), key, tenant_index, 0, ""))

    def run(self, end: float, *outages: Outage) -> Callers:
        self.add_requests(0, end, self.rate)
        while self.queue:
            now, key, tenant, tries, verdict = heappop(self.queue)
            if verdict:
                self.detector.request_ended(now, key, verdict)  # type: ignore[arg-type]
                if verdict != "served" and tries < self.retries:
                    retry_at = now + self.rng.randint(500, 1500) * self.wait
                    heappush(self.queue, (retry_at, key, tenant, tries + 1, ""))
            else:
                self.misjudged += self.detector.arrival(now, key, 0, tenant, False) != (tries > 0)
                failure_shares = [
                    o.share for o in outages if o.start <= now / S < o.end and o.tenant in (-1, tenant)
                ]
                delay_ms, end = (
                    (5, "failed") if self.rng.random() < max(failure_shares, default=0) else (150, "served")
                )
                heappush(self.queue, (now + delay_ms * MS, key, tenant, tries, end))
            if change := self.detector.advance(now):
                self.changes.append((now / S, change.phase))
            self.metrics.append(self.detector.metrics())
        return self

    def first_change(self, phase: Phase, since: float = 0) -> float:
        return next((t - since for t, p in self.changes if p is phase and t >= since), float("inf"))


class ArbitraryEvents(RuleBasedStateMachine):
    """Any events in any order. Two detectors get the same events and must return the same."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.changed = 5, 5
        self.detectors = [
            StormDetector(StormDetectorConfig(start_us=0, rise_us=0, storm_us=0, calm_us=0), 3) for _ in "ab"
        ]

    def call_both(self, name: str, *about: Any) -> Any:
        first, second = (getattr(d, name)(self.now, *about) for d in self.detectors)
        assert first == second
        return first

    @rule(
        step=st.sampled_from([1, EVALUATION_INTERVAL_US, 7 * EVALUATION_INTERVAL_US, S, 3600 * S, 10**6 * S]),
        times=st.integers(1, 8),
    )
    def wait(self, step: int, times: int) -> None:
        for _ in range(times):
            self.now += step
            self.evaluate()

    def evaluate(self) -> None:
        before = self.detectors[0].phase
        if change := self.call_both("advance"):
            assert change.previous is before and change.phase in LEGAL[before]
            assert self.now - self.changed >= self.detectors[0].config.least_us
            self.changed = self.now

    @rule(key=KEYS, tenant=st.integers(-2, 4), is_retry=st.booleans(), end=VERDICTS, times=st.integers(1, 30))
    def request(self, key: int, tenant: int, is_retry: bool, end: str, times: int) -> None:
        for _ in range(times):
            self.call_both("arrival", key, 0, tenant, is_retry)
            if end:
                self.call_both("request_ended", key, end)
        self.evaluate()

    @rule(node=st.integers(0, 10**6), util=st.floats(), times=st.integers(1, 400))
    def report_and_connect(self, node: int, util: float, times: int) -> None:
        for n in range(times):
            self.call_both("node_reported", node + n, util)
            self.call_both("connection_opened")

    @invariant()
    def check_bounds(self) -> None:
        detector, f = self.detectors[0], self.detectors[0].metrics()
        assert all(0 <= share <= 1 for share in (f.repeats, f.refused, f.top_tenant, f.util))
        assert all(0 <= x < float("inf") for x in astuple(f) if isinstance(x, float))
        assert len(detector._node_reports.reports) <= MAX_NODES
        assert detector.phase is CALM or detector.due() is not None


TestArbitraryEvents = ArbitraryEvents.TestCase
TestArbitraryEvents.settings = hypo(HYPOTHESIS_SETTINGS, max_examples=60, stateful_step_count=30)


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 99), st.sampled_from([3, 40, 600]), st.floats(0.3, 1), st.sampled_from([0, 6]))
def test_requests_without_retries_are_no_storm(
    seed: int, rate: int, share: float, distinct_keys: int
) -> None:
    assert not Callers(seed, rate, distinct_keys, retries=0).run(16, Outage(8, 12, share)).changes


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 99), st.sampled_from([30, 100, 300]), st.sampled_from([1, 100, 300]))
def test_a_storm_is_called_in_two_seconds_and_over_in_eight(seed: int, rate: int, wait: int) -> None:
    callers = Callers(seed, rate, 0, 2, wait).run(40, Outage(10, 16))
    assert callers.first_change(STORM, 10) <= 2 + wait / 1000 and callers.first_change(CALM, 16) <= 8
    assert [phase for _, phase in callers.changes] == [RISING, STORM, RECOVERY, CALM]
    assert callers.misjudged < 10  # few keys are evicted from the table by others


def test_a_storm_of_requests_with_common_keys() -> None:
    callers = Callers(distinct_keys=4).run(40, Outage(10, 26))
    assert (
        callers.first_change(STORM, 10) <= 3
        and callers.first_change(RECOVERY) > 26
        and callers.first_change(CALM, 26) <= 8
    )


def test_a_second_outage_in_recovery_is_a_storm_at_once() -> None:
    callers = Callers(2).run(40, Outage(10, 15), Outage(19, 22))
    assert (
        callers.first_change(RECOVERY, 15) < 4
        and callers.first_change(STORM, 19) < 1
        and callers.first_change(RISING, 12) > 40
    )


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 99), st.sampled_from([0, 4]), st.sampled_from([0, 2]))
def test_one_tenants_flood_is_flagged_and_is_no_storm_of_all(
    seed: int, distinct_keys: int, retries: int
) -> None:
    """Where no caller retries, requests of the other tenants may be refused too."""
    callers = Callers(seed, 40, distinct_keys, retries)
    callers.add_requests(20, 24, 120, tenant=3)
    callers.run(30, Outage(20, 24, tenant=3), Outage(20, 24, 0.02 if retries else 0.5))
    assert any(f.flood and f.top_tenant_index == 3 for f in callers.metrics) and not callers.changes


def test_growth_is_flagged_and_is_no_storm() -> None:
    callers = Callers()
    callers.add_requests(15, 20, 100)
    assert any(f.growth and not f.flood for f in callers.run(25).metrics) and not callers.changes
    fresh = Callers(rate=5)
    fresh.add_requests(3, 4.8, 400)
    assert not any(f.growth for f in fresh.run(4.8).metrics)  # the usual rate is not known yet


def test_few_retries_are_no_storm_neither_by_count_nor_by_share() -> None:
    assert not Callers(rate=3).run(1200, Outage(0, 1200, 0.2)).changes
    assert not Callers(rate=300).run(12, Outage(6, 12, 0.12)).changes


def test_a_proxy_started_in_an_outage_waits_a_second_and_recognises_common_keys() -> None:
    callers = Callers(rate=400).run(6, Outage(0, 6))
    assert callers.first_change(RISING) >= 1.5 and callers.first_change(STORM) <= 3
    assert Callers(distinct_keys=4, retries=0).run(30, Outage(0, 30)).first_change(CALM) < 12


def test_a_few_callers_that_retry_twice_are_no_flood() -> None:
    for seed in range(10, 20):
        assert not any(f.flood for f in Callers(seed, 20).run(15, Outage(10, 13)).metrics)


def test_a_clock_step_ends_a_storm_in_order_and_leaves_the_usual_rate() -> None:
    storm = Callers().run(15, Outage(10, 15)).detector
    usual, late = storm.metrics().usual_per_s, 10**6 * S
    assert storm.phase is STORM and not storm.arrival(late, 1, 0, 0, False) and not storm.advance(late)
    for now in range(late, late + 10 * S, EVALUATION_INTERVAL_US):
        storm.advance(now)
    assert storm.phase is CALM and storm.metrics().usual_per_s > usual * 0.8


def test_a_clock_step_does_not_sustain_a_condition() -> None:
    detector = StormDetector(StormDetectorConfig(), 1)
    for now in (*range(0, 12 * EVALUATION_INTERVAL_US, EVALUATION_INTERVAL_US), 20 * S):
        for key in range(20):
            detector.arrival(now, key, 0, 0, True)
            detector.request_ended(now, key, "refused")
        assert detector.advance(now) is None


def test_a_refusal_explains_one_retry_and_not_for_ever() -> None:
    detector = StormDetector(StormDetectorConfig(), 1)
    memory = detector.config.memory_us
    for key, wait, repeat in ((1, 3 * MS, True), (2, memory, True), (3, memory + 5 * MS, False)):
        assert not detector.arrival(0, key, 0, 0, False)
        detector.request_ended(0, key, "refused")
        assert detector.arrival(wait, key, 0, 0, False) is repeat
        assert not detector.arrival(wait, key, 0, 0, False)


def test_new_connections_and_served_retries_are_no_storm() -> None:
    detector, seen = StormDetector(StormDetectorConfig(), 1), []
    for now in range(0, 20 * S, 10 * MS):
        late = now > 10 * S
        detector.arrival(now, now, 0, 0, is_retry=not late)
        detector.request_ended(now, now, "refused" if late else "served")
        if late:
            detector.connection_opened(now)
        if change := detector.advance(now):
            seen.append((change.phase, late))
    assert seen == [(RISING, True)]


def test_recovering_nodes_end_a_storm_while_retries_still_arrive() -> None:
    detector, rng, seen = StormDetector(StormDetectorConfig(), 1), Random(3), []
    for now in range(0, 30 * S, 5 * MS):
        late = now > 15 * S
        detector.arrival(now, now, 0, 0, rng.random() < 0.5)
        detector.request_ended(now, now, "served" if rng.random() < (0.7 if late else 0.2) else "refused")
        detector.node_reported(now, 1, 0.5 if late else 1.0)
        if change := detector.advance(now):
            seen.append((change.phase, late, change.metrics.repeats > 0.3))
    assert seen[-2:] == [(STORM, False, True), (RECOVERY, True, True)]
