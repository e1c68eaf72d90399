"""Limits for connections from callers and to nodes: never more than the rate and the window allow, and a connection
that asks again after the wait it was given is allowed in the end."""

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
accept_configs = st.builds(
    AcceptLimiterConfig, st.integers(1, 300), st.integers(1, 200), st.just(10), st.integers(1000, 50_000)
)
arrivals = st.lists(st.tuples(steps, st.booleans(), st.integers(-1, 300)), max_size=40)


@quiet
@given(accept_configs, arrivals)
def test_over_any_time_at_most_rate_and_burst_are_accepted(config, arrivals):
    limiter, now, accepted = AcceptLimiter(config), 0, []
    rate = max(config.per_s, -(-S // config.slowest_us))
    for step, busy, want in arrivals:
        now += step
        granted = limiter.acquire(now, 11 if busy else 10, want)
        accepted.append((now, granted))
        counts = [(now - at, sum(n for _, n in accepted[i:])) for i, (at, _) in enumerate(accepted)]
        assert granted >= 0 and all(count * S <= config.burst * S + rate * time for time, count in counts)


@quiet
@given(accept_configs, st.lists(st.booleans(), max_size=60))
def test_a_caller_that_asks_when_due_is_accepted_within_slowest_us(config, busy_states):
    limiter, now, last = AcceptLimiter(config), 5, 5
    limiter.acquire(now, 0, 1000)
    for busy in busy_states:
        now = limiter.due() or now
        granted = limiter.acquire(now, 99 if busy else 0)
        assert now - last <= config.slowest_us
        last = now if granted else last


def test_many_jobs_in_hand_halve_the_rate():
    limiter = AcceptLimiter(AcceptLimiterConfig(per_s=3_000, burst=1000, busy=10))
    assert [
        limiter.acquire(0, 0, 1000),
        limiter.acquire(100_000, 10, 1000),
        limiter.acquire(200_000, 11, 1000),
    ] == [
        1000,
        300,
        150,
    ]
    assert limiter.due() == 200_667 and [limiter.acquire(at, 11) for at in (200_666, 200_667)] == [0, 1]


@quiet
@given(st.integers(0, 99), st.lists(st.tuples(st.sampled_from("aaoobw"), steps, st.booleans()), max_size=60))
def test_handshakes_in_any_order_keep_the_window(seed, events):
    """Some handshakes are never reported as ended. In the end none is in progress, and a connection that asks again
    after the wait it was given is allowed all the same."""
    config = ConnectLimiterConfig(first=4, again=2, most=16, spread_us=50_000, lost_us=300_000)
    limiter, now, in_flight, returned_at, bound = ConnectLimiter(config, Random(seed)), 7, [], -1, 99
    for what, number, ok in events:
        if what == "w":
            now += number
        elif what == "b":
            limiter.node_returned(now, 1)
            returned_at, bound = now, config.again  # until a handshake started since then has succeeded
        elif what == "o" and in_flight:
            started_at = in_flight.pop(number % len(in_flight))
            limiter.release(now, 1, ok, started_at)
            bound = 99 if ok and started_at > returned_at else bound
        for _ in range(number % 20 * (what == "a")):
            wait = limiter.acquire(now, 1)
            in_flight += [now] * (wait == 0)
            counted, window = [t for t in in_flight if t + config.lost_us > now], limiter._windows[1]
            assert 0 <= wait <= config.lost_us and 1 <= window.size <= config.most
            assert wait or len(window.in_flight) == len(counted) <= min(window.size, bound)
    end = now + config.spread_us + config.lost_us
    while wait := limiter.acquire(now, 1):
        now += wait
    assert now <= end


def test_the_window_grows_by_success_and_a_lost_handshake_is_a_failure():
    limiter, sizes = ConnectLimiter(ConnectLimiterConfig(first=2, most=8), Random(1)), []
    for now in range(0, 50_000, 10_000):
        sizes.append(sum(limiter.acquire(now, 1) == 0 for _ in range(20)))
        for _ in range(sizes[-1]):
            limiter.release(now + 5_000, 1, True, now)
    assert sizes == [2, 4, 8, 8, 8]
    assert (
        limiter.acquire(100_000, 1) == 0 == limiter.acquire(100_000 + S, 1) and limiter._windows[1].size == 4
    )
    limiter.release(200_000 + S, 1, True, 100_000)  # reported after it counted as lost: no effect
    assert len(limiter._windows[1].in_flight) == 1


def test_handshakes_from_before_a_return_do_not_count_for_the_returned_node():
    limiter = ConnectLimiter(ConnectLimiterConfig(first=4, again=2, spread_us=0), Random(1))
    assert [limiter.acquire(1, 1) for _ in range(4)] == [0, 0, 0, 0]
    limiter.node_returned(2, 1)
    limiter.release(3, 1, True, 1)
    limiter.release(3, 1, True, 1)
    assert limiter.acquire(4, 1) > 0
    assert [limiter.acquire(4 + S, 1) > 0 for _ in range(3)] == [False, False, True]


def test_independent_proxies_do_not_connect_to_a_returning_node_at_once():
    waits = []
    for seed in range(100):
        limiter = ConnectLimiter(ConnectLimiterConfig(spread_us=100_000), Random(seed))
        limiter.node_returned(0, 1)
        waits.append(limiter.acquire(0, 1))
        limiter.node_returned(waits[-1], 1)  # a repeated announcement does not extend the wait
        assert limiter.acquire(waits[-1], 1) == 0
        limiter.node_returned(S, 1)
        assert limiter._windows[1].not_before >= S
    assert max(sum(t <= w < t + 10_000 for w in waits) for t in range(0, 100_000, 10_000)) < 25
    window = limiter._windows[1]
    for node in range(2, 2 * MAX_TRACKED_NODES):
        limiter.acquire(S, node)
        limiter.acquire(S, 1)
    assert len(limiter._windows) == MAX_TRACKED_NODES and limiter._windows[1] is window
