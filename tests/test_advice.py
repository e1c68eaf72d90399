"""Advice to refused callers: what is promised, what becomes of it, and that nothing grows."""

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
TERMS = RetryAdviceConfig()
LONG = RetryAdviceConfig(most_us=30 * SECOND)


def at_rate(
    per_s: int, terms: RetryAdviceConfig = TERMS, newcomers: bool = False
) -> tuple[RetryScheduler, int]:
    """One that has served so many a second while others waited, and the time; `newcomers`: all came anew."""
    one = RetryScheduler(terms, Random(1))
    for now in range(0, 8 * SECOND, SECOND // per_s):
        if newcomers:
            one.arrived(now, now)
        one.update_backlog(now, 1, 10.0)
        one.served(now, 1)
    one.update_backlog(now, 0, 10.0)
    return one, now


def lose(one, now: int, key: int) -> int:
    """A caller comes and is refused; when it is to come back."""
    one.arrived(now, key)
    return now + one.refused(now, key)


def slot(one: RetryScheduler, at: int) -> int:
    return (at - one.reservations.phase) // one.terms.slot_us


class Model:
    """Appointments as a plain list, judged by their definition; checks what it is given."""

    def __init__(self, one: RetryScheduler) -> None:
        self.one, self.terms = one, one.terms
        self.open: list[tuple[int, int]] = []  # (time, key), in the order in which they were given
        self.missed: dict[int, int] = {}

    def advance(self, now: int) -> None:
        last = now - self.terms.late_us
        self.missed |= {key: at for at, key in sorted(self.open) if at < last}
        self.open = [a for a in self.open if a[0] >= last]
        self.missed = {k: at for k, at in self.missed.items() if at >= last - MISSED_RETENTION_US}

    def ahead(self, now: int, key: int) -> int:
        mine = [at for at, k in self.open if k == key]
        return mine[-1] if mine and mine[-1] > now + self.terms.early_us else 0

    def arrive(self, now: int, key: int) -> str:
        if due := sorted(a for a in self.open if a[1] == key and a[0] <= now + self.terms.early_us):
            self.open.remove(due[0])
            return "kept"
        if self.one.shared_keys.shared(key):
            return "newcomer"
        if self.ahead(now, key):
            return "early"
        return "newcomer" if self.missed.pop(key, None) is None else "late"

    def refuse(self, now: int, key: int) -> None:
        one, told, before = self.one, self.ahead(now, key), self.one.reservations_per_slot(now)
        wait, most, after = one.refused(now, key), self.terms.most_us, self.one.reservations_per_slot(now)
        assert 0 <= wait <= most and (wait > 0) == (most > 0)
        if after == before:
            part = most * self.terms.spread if one.load.is_reliable() else max(0, most - self.terms.least_us)
            assert wait == told - now or wait >= int(most - part)
            return
        assert not told or one.shared_keys.shared(key)
        at = slot(one, now + wait) - one.reservations.next_slot
        assert after[at] == before[at] + 1 <= ceil(one.capacity()) and wait >= self.terms.least_us
        self.open.append((now + wait, key))


KIND = st.sampled_from(["arrive", "refuse", "lose", "lose", "serve", "return"])
STEP = st.integers(0, 3 * MS) | st.integers(0, 150 * MS) | st.sampled_from([700 * MS, 1_500 * MS, 10**15])
EVENTS = st.lists(st.tuples(KIND, st.integers(0, 3), STEP), max_size=120)


@settings(derandomize=True, database=None, deadline=None, max_examples=500)
@given(EVENTS, st.integers(0, 9), st.sampled_from([0, 30, 2_000]), st.sampled_from([0, 40, 400]))
def test_appointments_agree_with_a_plain_list(events, seed, most_ms, jobs):
    one, now = RetryScheduler(RetryAdviceConfig(most_us=most_ms * MS), Random(seed)), 0
    model = Model(one)
    for kind, key, step in events:
        if kind == "return" and model.open:  # to the microsecond, or as far off as the key says
            at, chosen = min(model.open)
            now, key = max(now, at + (key - 2) * 40 * MS), chosen
        else:
            now += step
        model.advance(now)
        if kind not in ("refuse", "serve"):
            expected = model.arrive(now, key)
            assert one.arrived(now, key) == expected
        if kind in ("lose", "refuse", "return"):
            model.refuse(now, key)
        if kind == "serve":
            one.served(now, jobs)
            one.update_backlog(now, key, 3.0)
        due = sum(abs(at - now) <= TERMS.early_us for at, _ in model.open)
        assert one.reserved_slots(now) <= min(3, due) and one.reservations.due_count == due
        assert sum(one.reservations_per_slot(now)) <= len(model.open)


@pytest.mark.parametrize("per_s", [1, 3, 25, 47, 400])
def test_no_window_of_a_slots_length_holds_more_than_can_be_served(per_s):
    one, now = at_rate(per_s, LONG)
    given_at = [lose(one, now, k) for k in range(300 * ceil(one.capacity()))]
    capacity = one.capacity()
    assert capacity == pytest.approx(max(2, per_s * LONG.fill) / 10, rel=0.2)
    ahead = one.reservations_per_slot(now)
    times = sorted(given_at[: sum(ahead)])  # who came after them got no appointment
    assert len(set(times)) == len(times)
    for at in times:
        assert bisect_left(times, at + LONG.slot_us) - times.index(at) <= ceil(capacity) + 1
    for end in range(2, len(ahead)):  # the very next one may be sooner than the shortest advice
        assert sum(ahead[1:end]) == pytest.approx((end - 1) * capacity, abs=3)


def test_newcomers_of_a_usual_day_keep_their_part_and_appointments_a_quarter():
    one, now = at_rate(400, newcomers=True)
    assert one.capacity() == pytest.approx(400 * 0.1 * TERMS.fill / 4, rel=0.1)
    for _ in range(400 * 8):  # half of them has left, the rate is the same
        now += SECOND // 400
        one.update_backlog(now, 1, 10.0)
        one.served(now, 1)
        if now % 5_000 == 0:
            one.arrived(now, now)
    assert one.capacity() == pytest.approx(
        400 * 0.1 * TERMS.fill - one.load.baseline_arrival_rate() / 10, rel=0.05
    )
    assert 200 < one.load.baseline_arrival_rate() < 320


@pytest.mark.parametrize("siblings", [1, 16, 200])
def test_appointments_of_a_fleet_that_serves_nothing_add_up_to_one_probing_rate(siblings):
    """Each gave two a second by itself: 200 proxies called 400 callers a second back before nodes that had gone."""
    fleet = [RetryScheduler(LONG, Random(n)) for n in range(siblings)]
    for one in fleet:
        one.set_sibling_count(siblings)
        for key in range(200):
            lose(one, 0, key)
    given = sum(len(one.reservations.upcoming) for one in fleet)
    assert 0.8 < given / (2.0 * LONG.most_us / SECOND) < 1.2


def test_what_was_promised_stands_when_the_rate_falls_and_new_ones_go_by_the_new_rate():
    one, now = at_rate(400)
    before = [lose(one, now, k) for k in range(600)]
    one.update_backlog(now, 50, 0.0)  # every node is gone
    for _ in range(8):
        one.load.advance(now := now + 100 * MS)
        assert one.reserved_slots(now) == 0
    assert one.reservations.due_count > 5 and one.capacity() < 0.5 * 400 * 0.1
    still = [
        sum(slot(one, at) == one.reservations.next_slot + i for at in before)
        for i in range(len(one.reservations_per_slot(now)))
    ]
    assert one.reservations_per_slot(now) == still and max(still) > one.capacity()
    one.update_backlog(now, 0, 5.0)
    assert 0 < one.reserved_slots(now) <= 5
    assert still[slot(one, lose(one, now, 999)) - one.reservations.next_slot] < one.capacity()


def test_callers_who_all_ask_alike_get_each_a_time_and_keep_it():
    one, now = at_rate(400)
    for key in range(100, 110):  # no calm day any more on which a key could be known for its many orders
        one.refused(now, key)
    for _ in range(60):
        one.arrived(now, 7)
    times = sorted(now + one.refused(now, 7) for _ in range(60))
    assert len(set(times)) == 60 and sum(one.reservations_per_slot(now)) == 70
    assert [one.arrived(at, 7) for at in times] == ["kept"] * 60


def test_without_a_known_rate_nor_an_appointment_callers_come_over_all_of_the_time():
    one = RetryScheduler(TERMS, Random(1))
    waits = [lose(one, 0, key) for key in range(400)]
    assert sum(one.reservations_per_slot(0)) < 10 and min(waits) < 120 * MS and max(waits) > 1_980 * MS


def test_of_a_slot_filled_at_two_rates_the_earlier_comes_first():
    one, key = RetryScheduler(TERMS, Random(1)), 2
    first = lose(one, 0, 1)
    one.served(0, 10_000)
    while slot(one, second := lose(one, 0, key)) < slot(one, first):
        key += 1
    assert first - 50 * MS < second < first and one.arrived(second - 50 * MS, key) == "kept"


def test_one_who_hammers_gets_one_place_and_later_none():
    one, now = at_rate(400)
    at = lose(one, now, 7)
    for tries in range(5_000):
        now += 10
        assert one.arrived(now, 7) == "early"
        wait = one.refused(now, 7)
        assert wait == max(at - now, 50 * MS) if tries < 7 else wait >= SECOND
    assert (
        sum(one.reservations_per_slot(now)) == one.reservations.count == 1
        and one.arrived(at + 400 * MS, 7) == "kept"
    )


def test_the_drain_rate_follows_pressure_and_forgets_neither_at_once_nor_late():
    one, now = at_rate(100)
    for _ in range(100):  # an idle day
        one.served(now := now + 50 * MS, 1)
    assert 80 < one.load.service_rate() < 105
    for step, low, high in [(0, 80, 105), (100, 75, 95), (400, 45, 65), (10**12, 25, 40)]:  # an outage
        one.update_backlog(now := now + step * MS, 500, 10.0)
        assert low < one.load.service_rate() < high
    for _ in range(10):
        one.update_backlog(now := now + 500 * MS, 500, 10.0)
    assert one.load.service_rate() < 1
    for key in range(500):
        lose(one, now, 1_000 + key)
    assert (
        1 <= sum(one.reservations_per_slot(now)) <= 4 and max(one.reservations_per_slot(now)) == 1
    )  # somebody comes to see
    one.update_backlog(now, 0, 10.0)
    for _ in range(100):  # nobody waits any more: what is served is the least that can be
        one.served(now := now + 20 * MS, 1)
    assert 35 < one.load.service_rate() < 55


def test_tables_stay_bounded_under_any_number_of_keys(monkeypatch):
    for name in ("retry_scheduler.MAX_RESERVATIONS", "reservations.MAX_MISSED", "backoff.MAX_KEYS"):
        monkeypatch.setattr(f"slatehub.decisions.advice.{name}", 40)
    (one, now), other = at_rate(4_000, LONG), ExponentialBackoff(LONG, Random(1))
    book = one.reservations
    for key in range(20_000):
        now += 2 * MS
        lose(one, now, key)
        other.refused(now, key)
        assert (
            max(len(book.upcoming), len(book.active), len(book.missed), len(other.counts)) <= 40 >= book.count
        )
    assert book.missed and book.count == 40 and len(other.counts) == 40


@pytest.mark.parametrize("way", ["none", "fixed", "exponential", "appointments"])
def test_the_same_seed_gives_the_same_advice_and_none_where_none_is_allowed(way):
    def day(seed: int, most: int) -> list[int]:
        one = make_retry_adviser(RetryAdviceConfig(way, most), Random(seed))
        return [lose(one, k // 3 * 7 * MS, k % 50) - k // 3 * 7 * MS for k in range(300)]

    first = day(1, 2 * SECOND)
    assert first == day(1, 2 * SECOND) and (first == day(2, 2 * SECOND)) == (way == "none")
    assert set(day(1, 0)) == {0} and set(day(1, 1)) <= {0, 1}
    assert way == "none" or 50 * MS <= min(first) <= max(first) <= 2 * SECOND


def test_an_exponential_wait_doubles_with_the_refusals_of_a_key_and_is_forgotten():
    ones = [ExponentialBackoff(TERMS, Random(seed)) for seed in range(200)]
    spans = [max(one.refused(i * SECOND, 9) for one in ones) for i in range(5)]
    assert spans == pytest.approx([200 * MS, 400 * MS, 800 * MS, 1_600 * MS, 2 * SECOND], rel=0.06)
    assert all(one.refused(10 * SECOND, 9) <= 200 * MS for one in ones)


@pytest.mark.parametrize("name", RetryAdviceConfig.__slots__)
def test_terms_out_of_range_are_named(name):
    with pytest.raises(ValueError, match=name):
        RetryAdviceConfig(**{name: -1})
