"""Connections in and out: never more than the rate and the window say, and nobody is put off for ever."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from slatehub.decisions.pacing import (
    MAX_TRACKED_NODES,
    AcceptLimiter,
    AcceptLimiterConfig,
    ConnectLimiter,
    ConnectLimiterConfig,
)

S = 1_000_000
quiet = settings(derandomize=True, database=None, deadline=None, max_examples=200)
steps = st.one_of(st.integers(0, 60_000), st.integers(0, 10**13))
rates = st.builds(
    AcceptLimiterConfig, st.integers(1, 300), st.integers(1, 200), st.just(10), st.integers(1000, 50_000)
)
visits = st.lists(st.tuples(steps, st.booleans(), st.integers(-1, 300)), max_size=40)


@quiet
@given(rates, visits)
def test_over_any_time_the_door_lets_in_at_most_rate_and_burst(terms, visits):
    door, now, let = AcceptLimiter(terms), 0, []
    rate = max(terms.per_s, -(-S // terms.slowest_us))
    for step, busy, want in visits:
        now += step
        taken = door.acquire(now, 11 if busy else 10, want)
        let.append((now, taken))
        counts = [(now - at, sum(n for _, n in let[i:])) for i, (at, _) in enumerate(let)]
        assert taken >= 0 and all(count * S <= terms.burst * S + rate * time for time, count in counts)


@quiet
@given(rates, st.lists(st.booleans(), max_size=60))
def test_whoever_comes_when_due_is_let_in_before_long(terms, moods):
    door, now, last = AcceptLimiter(terms), 5, 5
    door.acquire(now, 0, 1000)
    for busy in moods:
        now = door.due() or now
        came = door.acquire(now, 99 if busy else 0)
        assert now - last <= terms.slowest_us
        last = now if came else last


def test_a_busy_desk_halves_the_rate():
    door = AcceptLimiter(AcceptLimiterConfig(per_s=3_000, burst=1000, busy=10))
    assert [door.acquire(0, 0, 1000), door.acquire(100_000, 10, 1000), door.acquire(200_000, 11, 1000)] == [
        1000,
        300,
        150,
    ]
    assert door.due() == 200_667 and [door.acquire(at, 11) for at in (200_666, 200_667)] == [0, 1]


@quiet
@given(st.integers(0, 99), st.lists(st.tuples(st.sampled_from("aaoobw"), steps, st.booleans()), max_size=60))
def test_any_order_of_handshakes(seed, events):
    """Some are never heard of; in the end none is, and whoever asks when told to is let go all the same."""
    terms = ConnectLimiterConfig(first=4, again=2, most=16, spread_us=50_000, lost_us=300_000)
    pace, now, out, came, bound = ConnectLimiter(terms, Random(seed)), 7, [], -1, 99
    for what, number, ok in events:
        if what == "w":
            now += number
        elif what == "b":
            pace.node_returned(now, 1)
            came, bound = now, terms.again  # at once, until one begun since then has gone well
        elif what == "o" and out:
            asked = out.pop(number % len(out))
            pace.release(now, 1, ok, asked)
            bound = 99 if ok and asked > came else bound
        for _ in range(number % 20 * (what == "a")):
            wait = pace.acquire(now, 1)
            out += [now] * (wait == 0)
            counted, window = [t for t in out if t + terms.lost_us > now], pace._windows[1]
            assert 0 <= wait <= terms.lost_us and 1 <= window.size <= terms.most
            assert wait or len(window.in_flight) == len(counted) <= min(window.size, bound)
    end = now + terms.spread_us + terms.lost_us
    while wait := pace.acquire(now, 1):
        now += wait
    assert now <= end


def test_the_window_grows_by_success_and_a_lost_handshake_is_a_failure():
    pace, sizes = ConnectLimiter(ConnectLimiterConfig(first=2, most=8), Random(1)), []
    for now in range(0, 50_000, 10_000):
        sizes.append(sum(pace.acquire(now, 1) == 0 for _ in range(20)))
        for _ in range(sizes[-1]):
            pace.release(now + 5_000, 1, True, now)
    assert sizes == [2, 4, 8, 8, 8]
    assert pace.acquire(100_000, 1) == 0 == pace.acquire(100_000 + S, 1) and pace._windows[1].size == 4
    pace.release(200_000 + S, 1, True, 100_000)  # heard of too late: that one counts no more
    assert len(pace._windows[1].in_flight) == 1


def test_what_began_before_a_return_tells_nothing_of_the_node_since():
    pace = ConnectLimiter(ConnectLimiterConfig(first=4, again=2, spread_us=0), Random(1))
    assert [pace.acquire(1, 1) for _ in range(4)] == [0, 0, 0, 0]
    pace.node_returned(2, 1)
    pace.release(3, 1, True, 1)
    pace.release(3, 1, True, 1)
    assert pace.acquire(4, 1) > 0
    assert [pace.acquire(4 + S, 1) > 0 for _ in range(3)] == [False, False, True]


def test_proxies_that_share_nothing_do_not_meet_a_returning_node_at_once():
    waits = []
    for seed in range(100):
        pace = ConnectLimiter(ConnectLimiterConfig(spread_us=100_000), Random(seed))
        pace.node_returned(0, 1)
        waits.append(pace.acquire(0, 1))
        pace.node_returned(waits[-1], 1)  # announced again meanwhile: not put off
        assert pace.acquire(waits[-1], 1) == 0
        pace.node_returned(S, 1)
        assert pace._windows[1].not_before >= S
    assert max(sum(t <= w < t + 10_000 for w in waits) for t in range(0, 100_000, 10_000)) < 25
    window = pace._windows[1]
    for node in range(2, 2 * MAX_TRACKED_NODES):
        pace.acquire(S, node)
        pace.acquire(S, 1)
    assert len(pace._windows) == MAX_TRACKED_NODES and pace._windows[1] is window
