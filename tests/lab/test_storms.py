"""The hard days of `scenarios/storm-*.toml`, cut short and played on virtual time: each test is for one promise to the
callers or the nodes in a storm, and fails where what keeps it is taken away."""

from __future__ import annotations

from collections import Counter, defaultdict
from functools import cache
from pathlib import Path
from typing import Any

import pytest

from slatelab import records as r
from slatelab.judge import judge
from slatelab.model import run
from slatelab.scenario import load

FOLDER = Path(__file__).parents[2] / "scenarios"
SECOND = 1_000_000
EARLY: dict[str, Any] = {"scenario.duration": "20 s", "fault.0.at": "5 s", "fault.0.for": "5 s"}
MARKED = {
    "clients.marks_retry": True
}  # callers try again elsewhere, so a proxy knows few repeats by their keys


@cache
def _day(name: str, changes: tuple[tuple[str, Any], ...]) -> list[r.Record]:
    file = FOLDER / f"{name}.toml"
    return run(load(file, dict(changes)), 1, file.parent, None).records


def day(name: str, changes: dict[str, Any] = EARLY) -> list[r.Record]:
    return _day(name, tuple(changes.items()))


def works(records: list[r.Record], start: r.Up) -> list[int]:
    """Work that came to a node in each second from its first attempt on."""
    mine = [f for f in records if isinstance(f, r.Came) and (f.node, f.life) == (start.node, start.life)]
    came: Counter[int] = Counter()
    for fact in mine:
        came[(fact.t - mine[0].t) // SECOND] += fact.work_us
    return [came[second] for second in range(8)]


def told(records: list[r.Record]) -> list[str]:
    return [fact.text for fact in records if isinstance(fact, r.Logged) and fact.topic == "storm"]


def advice(records: list[r.Record]) -> list[int]:
    """What refused clients were told, of each refusal."""
    return [f.retry_after_us for f in records if isinstance(f, r.Answered) and f.status in (429, 503)]


def test_half_of_the_nodes_come_back_into_a_storm_and_stay_up() -> None:
    records = day("storm-outage")
    returned = [fact for fact in records if isinstance(fact, r.Up) and fact.life]
    assert len(returned) == 4
    assert not [fact for fact in records if isinstance(fact, r.Down) and fact.why == "fell"]
    assert judge(load(FOLDER / "storm-outage.toml", EARLY), records).violations == []


def test_the_load_of_returning_nodes_rises_gradually() -> None:
    records = day("storm-outage")
    loads = [works(records, fact) for fact in records if isinstance(fact, r.Up) and fact.life]
    first, last = sum(load[0] for load in loads), sum(load[7] for load in loads)
    assert last > SECOND and first < 0.75 * last, loads  # they start at 0.35 of what they can do


def test_a_storm_is_told_in_the_log_and_a_calm_day_is_not() -> None:
    marked = day("storm-ignored", {**EARLY, **MARKED})
    assert any("-> storm" in text for text in told(marked))
    assert any("-> storm" in text for text in told(day("storm-outage"))), (
        "unmarked, and spread over four proxies"
    )
    assert told(day("calm", {"scenario.duration": "10 s"})) == []


def test_the_flood_of_one_tenant_is_no_storm() -> None:
    cut = {"scenario.duration": "17 s", "arrivals.1.start": "8 s", "arrivals.1.end": "14 s"}
    records = day("storm-tenant", {**cut, **MARKED})
    assert advice(records), "the flood was no flood"
    assert not [text for text in told(records) if "-> storm" in text]
    assert any("account" in text and "floods" in text for text in told(records))


def test_no_order_that_must_not_run_twice_does() -> None:
    records = day("storm-unsafe")
    began = Counter(r.order_id(fact.request) for fact in records if isinstance(fact, r.Began))
    tries = Counter(r.order_id(fact.request) for fact in records if isinstance(fact, r.Asked))
    assert max(tries.values()) > 1 and len(began) > 1000
    assert [order for order, times in began.items() if times > 1] == []


@pytest.mark.parametrize("name", ["storm-outage", "storm-zero"])
def test_refused_callers_are_told_a_time_where_the_platform_lets_them(name: str) -> None:
    waits = advice(day(name))
    assert len(waits) > 50
    if name == "storm-zero":
        assert set(waits) == {0}
    else:
        assert min(waits) > 0 and max(waits) <= 625_000  # a quarter of the shortest aim


@pytest.mark.parametrize("name", ["storm-outage", "storm-ignored"])
def test_nobody_within_its_share_starves_in_a_storm(name: str) -> None:
    """In any five seconds in which anybody is served, every class and every tenant is."""
    records = day(name)
    asked = {fact.request: fact for fact in records if isinstance(fact, r.Asked)}
    served: dict[int, set[str]] = defaultdict(set)
    for fact in records:
        if isinstance(fact, r.Answered) and fact.status == 200:
            served[fact.t // SECOND] |= {asked[fact.request].cls, asked[fact.request].tenant}
    scenario = load(FOLDER / f"{name}.toml", EARLY)
    everybody = {one.name for one in scenario.classes} | {one.name for one in scenario.tenants}
    for start in range(scenario.scenario.duration // SECOND - 5):
        seen = set().union(*(served[second] for second in range(start, start + 5)))
        assert not seen or seen == everybody, (start, everybody - seen)
