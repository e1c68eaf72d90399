"""Tests the advice to refused callers: which times are reserved, which reservations are kept, and that all
tables stay bounded."""

from __future__ import annotations

from bisect import bisect_left
from math import ceil
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatehub.decisions.advice import (
    ExponentialBackoff,
    RetryAdviceConfig,
    RetryScheduler,
    make_retry_adviser,
)
from slatehub.decisions.advice.reservations import MISSED_RETENTION_US

MS, SECOND = 1_000, 1_000_000
CONFIG = RetryAdviceConfig()
LONG_CONFIG = RetryAdviceConfig(most_us=30 * SECOND)


def scheduler_at_rate(
    per_s: int, config: RetryAdviceConfig = CONFIG, all_new: bool = False
) -> tuple[RetryScheduler, int]:
    """Returns a scheduler that has served at this rate while others waited, and the time; `all_new`: its
    arrivals were all new requests."""
    scheduler = RetryScheduler(config, Random(1))
    for now in range(0, 8 * SECOND, SECOND // per_s):
        if all_new:
            scheduler.arrived(now, now)
        scheduler.update_backlog(now, 1, 10.0)
        scheduler.served(now, 1)
    scheduler.update_backlog(now, 0, 10.0)
    return scheduler, now


def refuse_arrival(scheduler, now: int, key: int) -> int:
    """A caller arrives and is refused; returns when it is advised to retry."""
    scheduler.arrived(now, key)
    return now + scheduler.refused(now, key)


def slot_index(scheduler: RetryScheduler, at: int) -> int:
    return (at - scheduler.reservations.offset_us) // scheduler.config.slot_us


class ReservationModel:
    """Reservations as a plain list, evaluated by their definition; checks the advice that it is given."""

    def __init__(self, scheduler: RetryScheduler) -> None:
        self.scheduler, self.config = scheduler, scheduler.config
        self.reservations: list[tuple[int, int]] = []  # (time, key), in the order in which they were made
        self.missed: dict[int, int] = {}

    def advance(self, now: int) -> None:
        last = now - self.config.late_us
        self.missed |= {key: at for at, key in sorted(self.reservations) if at < last}
        self.reservations = [a for a in self.reservations if a[0] >= last]
        self.missed = {k: at for k, at in self.missed.items() if at >= last - MISSED_RETENTION_US}

    def upcoming(self, now: int, key: int) -> int:
        mine = [at for at, k in self.reservations if k == key]
        return mine[-1] if mine and mine[-1] > now + self.config.early_us else 0

    def arrive(self, now: int, key: int) -> str:
        if due := sorted(a for a in self.reservations if a[1] == key and a[0] <= now + self.config.early_us):
            self.reservations.remove(due[0])
            return "kept"
        if self.scheduler.shared_keys.shared(key):
            return "newcomer"
        if self.upcoming(now, key):
            return "early"
        return "newcomer" if self.missed.pop(key, None) is None else "late"

    def refuse(self, now: int, key: int) -> None:
        scheduler, advised_at, before = (
            self.scheduler,
            self.upcoming(now, key),
            self.scheduler.reservations_per_slot(now),
        )
        wait, most, after = (
            scheduler.refused(now, key),
            self.config.most_us,
            self.scheduler.reservations_per_slot(now),
        )
        assert 0 <= wait <= most and (wait > 0) == (most > 0)
        if after == before:
            part = (
                most * self.config.spread
                if scheduler.load.is_reliable()
                else max(0, most - self.config.least_us)
            )
            assert wait == advised_at - now or wait >= int(most - part)
            return
        assert not advised_at or scheduler.shared_keys.shared(key)
        at = slot_index(scheduler, now + wait) - scheduler.reservations.next_slot
        assert after[at] == before[at] + 1 <= ceil(scheduler.capacity()) and wait >= self.config.least_us
        self.reservations.append((now + wait, key))


KIND = st.sampled_from(["arrive", "refuse", "lose", "lose", "serve", "return"])
STEP = st.integers(0, 3 * MS) | st.integers(0, 150 * MS) | st.sampled_from([700 * MS, 1_500 * MS, 10**15])
EVENTS = st.lists(st.tuples(KIND, st.integers(0, 3), STEP), max_size=120)


@settings(derandomize=True, database=None, deadline=None, max_examples=500)
@given(EVENTS, st.integers(0, 9), st.sampled_from([0, 30, 2_000]), st.sampled_from([0, 40, 400]))
def test_reservations_agree_with_a_plain_list(events, seed, most_ms, jobs):
    scheduler, now = RetryScheduler(RetryAdviceConfig(most_us=most_ms * MS), Random(seed)), 0
    model = ReservationModel(scheduler)
    for kind, key, step in events:
        # The caller returns exactly on time, or off by an amount that depends on the key.
        if kind == "return" and model.reservations:
            at, chosen_key = min(model.reservations)
            now, key = max(now, at + (key - 2) * 40 * MS), chosen_key
        else:
            now += step
        model.advance(now)
        if kind not in ("refuse", "serve"):
            expected = model.arrive(now, key)
            assert scheduler.arrived(now, key) == expected
        if kind in ("lose", "refuse", "return"):
            model.refuse(now, key)
        if kind == "serve":
            scheduler.served(now, jobs)
            scheduler.update_backlog(now, key, 3.0)
        due = sum(abs(at - now) <= CONFIG.early_us for at, _ in model.reservations)
        assert scheduler.reserved_slots(now) <= min(3, due) and scheduler.reservations.due_count == due
        assert sum(scheduler.reservations_per_slot(now)) <= len(model.reservations)


@pytest.mark.parametrize("per_s", [1, 3, 25, 47, 400])
def test_no_window_of_a_slots_length_holds_more_than_can_be_served(per_s):
    scheduler, now = scheduler_at_rate(per_s, LONG_CONFIG)
    given_at = [refuse_arrival(scheduler, now, k) for k in range(300 * ceil(scheduler.capacity()))]
    capacity = scheduler.capacity()
    assert capacity == pytest.approx(max(2, per_s * LONG_CONFIG.fill) / 10, rel=0.2)
    ahead = scheduler.reservations_per_slot(now)
    times = sorted(given_at[: sum(ahead)])  # later callers got no reservation
    assert len(set(times)) == len(times)
    for at in times:
        assert bisect_left(times, at + LONG_CONFIG.slot_us) - times.index(at) <= ceil(capacity) + 1
    for end in range(2, len(ahead)):  # the first slot may start sooner than the shortest advice
        assert sum(ahead[1:end]) == pytest.approx((end - 1) * capacity, abs=3)


def test_usual_new_requests_keep_their_share_and_reservations_a_quarter():
    scheduler, now = scheduler_at_rate(400, all_new=True)
    assert scheduler.capacity() == pytest.approx(400 * 0.1 * CONFIG.fill / 4, rel=0.1)
    for _ in range(400 * 8):  # half of the new requests are gone, the rate is the same
        now += SECOND // 400
        scheduler.update_backlog(now, 1, 10.0)
        scheduler.served(now, 1)
        if now % 5_000 == 0:
            scheduler.arrived(now, now)
    assert scheduler.capacity() == pytest.approx(
        400 * 0.1 * CONFIG.fill - scheduler.load.baseline_arrival_rate() / 10, rel=0.05
    )
    assert 200 < scheduler.load.baseline_arrival_rate() < 320


@pytest.mark.parametrize("siblings", [1, 16, 200])
def test_reservations_of_a_fleet_that_serves_nothing_add_up_to_one_probing_rate(siblings):
    """Guards against reservations that each proxy makes at two per second by itself: 200 proxies then call
    back 400 callers per second to nodes that are gone."""
    fleet = [RetryScheduler(LONG_CONFIG, Random(n)) for n in range(siblings)]
    for scheduler in fleet:
        scheduler.set_sibling_count(siblings)
        for key in range(200):
            refuse_arrival(scheduler, 0, key)
    total = sum(len(scheduler.reservations.upcoming) for scheduler in fleet)
    assert 0.8 < total / (2.0 * LONG_CONFIG.most_us / SECOND) < 1.2


def test_reservations_stand_when_the_rate_falls_and_new_ones_follow_the_new_rate():
    scheduler, now = scheduler_at_rate(400)
    before = [refuse_arrival(scheduler, now, k) for k in range(600)]
    scheduler.update_backlog(now, 50, 0.0)  # all nodes are gone
    for _ in range(8):
        scheduler.load.advance(now := now + 100 * MS)
        assert scheduler.reserved_slots(now) == 0
    assert scheduler.reservations.due_count > 5 and scheduler.capacity() < 0.5 * 400 * 0.1
    remaining = [
        sum(slot_index(scheduler, at) == scheduler.reservations.next_slot + i for at in before)
        for i in range(len(scheduler.reservations_per_slot(now)))
    ]
    assert scheduler.reservations_per_slot(now) == remaining and max(remaining) > scheduler.capacity()
    scheduler.update_backlog(now, 0, 5.0)
    assert 0 < scheduler.reserved_slots(now) <= 5
    assert (
        remaining[
            slot_index(scheduler, refuse_arrival(scheduler, now, 999)) - scheduler.reservations.next_slot
        ]
        < scheduler.capacity()
    )


def test_callers_with_a_shared_key_each_get_a_time_and_keep_it():
    scheduler, now = scheduler_at_rate(400)
    # Traffic is no longer usual, so the many requests of a key do not mark it as shared.
    for key in range(100, 110):
        scheduler.refused(now, key)
    for _ in range(60):
        scheduler.arrived(now, 7)
    times = sorted(now + scheduler.refused(now, 7) for _ in range(60))
    assert len(set(times)) == 60 and sum(scheduler.reservations_per_slot(now)) == 70
    assert [scheduler.arrived(at, 7) for at in times] == ["kept"] * 60


def test_without_a_known_rate_or_a_reservation_waits_spread_over_the_whole_range():
    scheduler = RetryScheduler(CONFIG, Random(1))
    waits = [refuse_arrival(scheduler, 0, key) for key in range(400)]
    assert sum(scheduler.reservations_per_slot(0)) < 10 and min(waits) < 120 * MS and max(waits) > 1_980 * MS


def test_reservations_made_at_two_rates_are_due_in_order_of_time():
    scheduler, key = RetryScheduler(CONFIG, Random(1)), 2
    first = refuse_arrival(scheduler, 0, 1)
    scheduler.served(0, 10_000)
    while slot_index(scheduler, second := refuse_arrival(scheduler, 0, key)) < slot_index(scheduler, first):
        key += 1
    assert first - 50 * MS < second < first and scheduler.arrived(second - 50 * MS, key) == "kept"


def test_a_caller_that_retries_without_waiting_gets_one_reservation_and_later_none():
    scheduler, now = scheduler_at_rate(400)
    at = refuse_arrival(scheduler, now, 7)
    for tries in range(5_000):
        now += 10
        assert scheduler.arrived(now, 7) == "early"
        wait = scheduler.refused(now, 7)
        assert wait == max(at - now, 50 * MS) if tries < 7 else wait >= SECOND
    assert (
        sum(scheduler.reservations_per_slot(now)) == scheduler.reservations.count == 1
        and scheduler.arrived(at + 400 * MS, 7) == "kept"
    )


def test_the_service_rate_follows_pressure_neither_at_once_nor_late():
    scheduler, now = scheduler_at_rate(100)
    for _ in range(100):  # at low load
        scheduler.served(now := now + 50 * MS, 1)
    assert 80 < scheduler.load.service_rate() < 105
    for step, low, high in [(0, 80, 105), (100, 75, 95), (400, 45, 65), (10**12, 25, 40)]:  # an outage
        scheduler.update_backlog(now := now + step * MS, 500, 10.0)
        assert low < scheduler.load.service_rate() < high
    for _ in range(10):
        scheduler.update_backlog(now := now + 500 * MS, 500, 10.0)
    assert scheduler.load.service_rate() < 1
    for key in range(500):
        refuse_arrival(scheduler, now, 1_000 + key)
    # A few callers are asked to return.
    assert (
        1 <= sum(scheduler.reservations_per_slot(now)) <= 4 and max(scheduler.reservations_per_slot(now)) == 1
    )
    scheduler.update_backlog(now, 0, 10.0)
    for _ in range(100):  # no request waits any more: the rate of served jobs is the lower bound
        scheduler.served(now := now + 20 * MS, 1)
    assert 35 < scheduler.load.service_rate() < 55


def test_tables_stay_bounded_under_any_number_of_keys(monkeypatch):
    for name in ("retry_scheduler.MAX_RESERVATIONS", "reservations.MAX_MISSED", "backoff.MAX_KEYS"):
        monkeypatch.setattr(f"slatehub.decisions.advice.{name}", 40)
    (scheduler, now), backoff = (
        scheduler_at_rate(4_000, LONG_CONFIG),
        ExponentialBackoff(LONG_CONFIG, Random(1)),
    )
    table = scheduler.reservations
    for key in range(20_000):
        now += 2 * MS
        refuse_arrival(scheduler, now, key)
        backoff.refused(now, key)
        assert (
            max(len(table.upcoming), len(table.active), len(table.missed), len(backoff.counts))
            <= 40
            >= table.count
        )
    assert table.missed and table.count == 40 and len(backoff.counts) == 40


@pytest.mark.parametrize("way", ["none", "fixed", "exponential", "appointments"])
def test_the_same_seed_gives_the_same_advice_and_none_where_none_is_allowed(way):
    def advice_sequence(seed: int, most: int) -> list[int]:
        scheduler = make_retry_adviser(RetryAdviceConfig(way, most), Random(seed))
        return [refuse_arrival(scheduler, k // 3 * 7 * MS, k % 50) - k // 3 * 7 * MS for k in range(300)]

    first = advice_sequence(1, 2 * SECOND)
    assert first == advice_sequence(1, 2 * SECOND) and (first == advice_sequence(2, 2 * SECOND)) == (
        way == "none"
    )
    assert set(advice_sequence(1, 0)) == {0} and set(advice_sequence(1, 1)) <= {0, 1}
    assert way == "none" or 50 * MS <= min(first) <= max(first) <= 2 * SECOND


def test_an_exponential_wait_doubles_with_the_refusals_of_a_key_and_is_forgotten():
    advisers = [ExponentialBackoff(CONFIG, Random(seed)) for seed in range(200)]
    longest_waits = [max(adviser.refused(i * SECOND, 9) for adviser in advisers) for i in range(5)]
    assert longest_waits == pytest.approx([200 * MS, 400 * MS, 800 * MS, 1_600 * MS, 2 * SECOND], rel=0.06)
    assert all(adviser.refused(10 * SECOND, 9) <= 200 * MS for adviser in advisers)


@pytest.mark.parametrize("name", RetryAdviceConfig.__slots__)
def test_config_fields_out_of_range_are_named(name):
    with pytest.raises(ValueError, match=name):
        RetryAdviceConfig(**{name: -1})
