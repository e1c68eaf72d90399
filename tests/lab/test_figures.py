"""The figures of runs that are small enough to calculate by hand."""

# ruff: noqa: I001
from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hdrh.histogram import HdrHistogram

from slatelab.figures import Figures, measure
from slatelab.records import (
    Answered, Asked, BrokenOff, Came, Down, FaultBegan, FaultEnded, GaveUp, Record, Replied, Up,
)  # fmt: skip
from slatelab.scenario import Scenario, parse

MS, S = 1000, 1_000_000


def scenario(duration: str = "10 s", warmup: str = "0 s", **more: Any) -> Scenario:
    return parse({
        "scenario": {"name": "small", "duration": duration, "warmup": warmup},
        "class": [{"name": "look", "share": 3, "effect": "safe", "worth": 2, "work": {"mean": "20 ms"}},
                  {"name": "buy", "share": 1, "worth": 10, "work": {"mean": "20 ms"}}],
        "tenant": [{"name": "a", "allowance": "2/s"}, {"name": "b"}],
        "tier": [{"name": "front", "kind": [{"name": "std", "nodes": 2}]}],
        "arrivals": [{"kind": "poisson", "rate": "1/s"}], **more,
    })  # fmt: skip


def asked(request: str, due: int, cls: str = "buy", tenant: str = "b") -> Asked:
    return Asked(due, request, 0, "c", "p", 0, cls, tenant, due, due + 6 * S)


def order(name: str, due: int, took: int, status: int = 200, **who: str) -> list[Record]:
    """One attempt, sent when due and answered `took` later."""
    return [asked(f"{name}.0", due, **who), Answered(due + took, f"{name}.0", status)]


def run(*parts: list[Record], **more: Any) -> Figures:
    return measure(scenario(**more), [fact for part in parts for fact in part])


def test_goodput_is_worth_in_time_over_requested_worth() -> None:
    looks = [order(f"l{end}", 3 * S if end == 200 else 2 * S, 9, end, cls="look") for end in (503, 502, 200)]
    figures = run(order("o1", S, 2_500 * MS), order("o2", S, 2_500 * MS + 1), *looks)
    assert figures.goodput == pytest.approx((10 + 2) / (10 + 10 + 2 + 2 + 2)) and figures.worth == 26
    assert (figures.requests, figures.served, figures.in_time) == (5, 3, 2)
    assert (figures.late, figures.refused, figures.failed) == (1, 1, 1)
    assert (figures.worst_class.name, figures.worst_class.goodput) == ("look", pytest.approx(1 / 3))
    assert [(group.requests, group.refused, group.failed) for group in figures.classes] == [
        (3, 1, 1),
        (2, 0, 0),
    ]
    assert figures.series.offered[:5] == [0, 2, 2, 1, 0] and figures.series.late[1] == 1
    assert figures.series.goodput[:5] == [None, 0.5, 0, 1, None] and figures.series.worth[1] == 20


def test_retries_belong_to_the_order_of_the_first_attempt() -> None:
    """Refused at once, then broken off, then served: the latency counts from the time the first attempt was due."""
    later_attempts = [asked("o1.1", 3 * S), BrokenOff(3 * S + 5, "o1.1", True), asked("o1.2", 4 * S)]
    figures = run(order("o1", S, 9, status=503), later_attempts, [Answered(5 * S, "o1.2", 200)])
    assert (figures.requests, figures.late, figures.tries, figures.tries_histogram) == (1, 1, 3, [0, 0, 0, 1])
    assert figures.latency.max == 4000 and figures.series.offered[1] == 1 and sum(figures.series.offered) == 1
    gave_up = [asked("o2.0", S), GaveUp(7 * S, "o2.0")]
    retried = order("o1", S, 9, status=503) + [BrokenOff(2 * S, "o1.1", False, "refused")]
    assert (run(gave_up).failed, run(retried).failed, run(retried).tries) == (1, 1, 2)


def test_orders_that_no_proxy_accepted_count_with_the_mean_worth() -> None:
    not_accepted: list[Record] = [
        BrokenOff(S, "o1.0", False),
        BrokenOff(2 * S, "o1.1", False),
        GaveUp(3 * S, "o3.0"),
    ]
    figures = run(not_accepted, order("o2", S, 9))
    assert (figures.unheard, figures.failed, figures.worth) == (2, 2, 10 + 2 * (3 * 2 + 1 * 10) / 4)
    assert figures.series.failed[:4] == [0, 1, 0, 1]


def test_orders_beyond_the_allowance() -> None:
    """The allowance is two per second with a burst of one second: of four orders at once two are over, and of two more
    half a second later one is. The goodput of a tenant covers its orders within the allowance; all other figures count
    the others with their reduced worth."""
    at_once = [order(f"o{n}", S, 9, tenant="a", status=503 if n == 3 else 200) for n in range(4)]
    later_attempts = [order(f"p{n}", S + 500 * MS, 9, tenant="a", status=503 if n else 200) for n in range(2)]
    figures = run(*at_once, *later_attempts)
    assert figures.over_share == 3
    assert figures.worth == pytest.approx(3 * 10 + 3 * 2)
    assert figures.goodput == pytest.approx((3 * 10 + 2) / 36)
    assert {group.name: group.goodput for group in figures.tenants} == {"a": 1.0, "b": None}
    assert (figures.worst_tenant.name, figures.worst_tenant.goodput) == ("a", 1.0)


def test_the_encoded_histogram_can_be_decoded() -> None:
    figures = run(*(order(f"o{n}", n * MS, (n + 1) * MS) for n in range(1000)))
    histogram = HdrHistogram.decode(figures.latency.hdr)
    assert histogram.get_total_count() == figures.latency.count == 1000
    assert histogram.get_value_at_percentile(99) / MS == pytest.approx(990, rel=1e-3)
    assert [figures.latency.p50, figures.latency.p90] == pytest.approx([500, 900], rel=1e-3)
    assert figures.latency.p999 == pytest.approx(999, rel=1e-3)
    assert (figures.latency.max, figures.latency.mean) == (1000, 500.5)
    assert [group.latency.count for group in figures.classes] == [0, 1000]
    assert msgspec.convert(msgspec.json.decode(msgspec.json.encode(figures)), Figures) == figures


def test_the_warm_up_is_left_out_of_all_but_the_series() -> None:
    facts = [*order("o1", S, 9, status=503), *order("o2", 3 * S, 9), Came(S, "s-1", 0, "o1.0", "p", 40, S)]
    figures = measure(scenario(warmup="3 s"), facts)
    assert (figures.requests, figures.goodput, figures.attempts, figures.wasted) == (1, 1, 0, None)
    assert figures.series.offered[:4] == [0, 1, 0, 1] and figures.series.attempts[1] == 1


def test_the_worst_ten_seconds() -> None:
    """One order in each of twenty seconds; those of seconds 8, 9 and 19 are refused. No window extends beyond the last
    second. A shorter run is one window."""
    orders = [order(f"o{n}", n * S, 9, status=503 if n in (8, 9, 19) else 200) for n in range(20)]
    figures = run(*orders, duration="20 s", warmup="5 s")
    assert figures.worst_window == msgspec.structs.replace(
        figures.worst_window, start=5, seconds=10, goodput=0.8
    )
    assert run(*orders[:4], duration="4 s").worst_window.seconds == 4


def test_seconds_until_the_goodput_has_recovered() -> None:
    """Ten orders per second, of which three are refused from 4 s on, one from 8 s on and none from 9 s on."""

    def not_accepted(n: int) -> bool:
        return (40 <= n < 80 and n % 10 < 3) or (80 <= n < 90 and n % 10 < 1)

    orders = [order(f"o{n}", n * 100 * MS, 9, status=503 if not_accepted(n) else 200) for n in range(120)]
    faults = [
        FaultBegan(4 * S, "f", "kill"), FaultBegan(6 * S, "f", "start"), FaultBegan(7 * S, "f", "proxy-end"),
        FaultBegan(5 * S, "g", "slow"), FaultEnded(12 * S, "g", "slow"), FaultBegan(6 * S, "h", "slow"),
    ]  # fmt: skip
    figures = run(*orders, faults, duration="12 s")
    assert [(back.fault, back.kind, back.seconds) for back in figures.returns] == [
        ("f", "kill", 3),
        ("g", "slow", None),
    ]


def test_load_of_the_nodes() -> None:
    facts: list[Record] = [
        Up(0, "s-1", 0, 0, 1.0), Up(0, "s-2", 0, 0, 1.0),
        *order("o1", S, 3 * S), *order("o2", S, 500 * MS, status=500),
        Came(S, "s-1", 0, "o1.0", "p", 30, S), Replied(2 * S, "s-1", 0, "o1.0", "p", 503, True),
        Came(2 * S, "s-2", 0, "o1.0", "p", 50, S), Replied(4 * S, "s-2", 0, "o1.0", "p", 200, False, ""),
        Came(S, "s-1", 0, "o2.0", "p", 20, S),  # never answered: held until its caller has an answer
        Came(3 * S, "s-9", 0, "o1.0/s-2x1/0", "q", 100, 3 * S), Down(5 * S, "s-9", 0, "killed"),
        asked("o1.0/s-2x1/0", 3 * S), Answered(5 * S + 1, "o1.0/s-2x1/0", 500),  # a call of a node
    ]  # fmt: skip
    figures = measure(scenario("6 s"), facts)
    one, two, nine = figures.nodes
    assert (one.node, one.work_us, one.requests) == ("s-1", [0, 50, 0, 0, 0, 0], [0, 2, 0, 0, 0, 0])
    assert one.held == [0, 1, 0, 0, 0, 0]
    assert (two.node, two.held) == ("s-2", [0, 0, 1, 1, 0, 0])
    assert (nine.node, nine.tier, nine.held) == ("s-9", 1, [0, 0, 0, 1, 1, 0])
    assert (figures.attempts, figures.attempts_histogram) == (1.5, [0, 1, 1])
    assert (figures.tries, figures.late, figures.failed) == (1, 1, 1)
    assert figures.wasted == pytest.approx(150 / 200)
    assert figures.series.attempts == [0, 2, 1, 0, 0, 0]


def test_an_empty_run() -> None:
    figures = run()
    assert (figures.goodput, figures.attempts, figures.worst_class, figures.worst_window) == (None,) * 4
    assert figures.returns == [] and figures.series.offered == [0] * 10
