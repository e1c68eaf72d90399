"""Tests of retry storms: the scenarios `scenarios/storm-*.toml`, shortened, on virtual time. Each test checks one
guarantee for clients or nodes in a storm, and fails if the mechanism behind that guarantee is removed."""

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
SHORTENED: dict[str, Any] = {"scenario.duration": "20 s", "fault.0.at": "5 s", "fault.0.for": "5 s"}
# Clients retry at other proxies, so a proxy recognizes few repeats by their keys: these scenarios mark retries.
MARKED_RETRIES = {"clients.marks_retry": True}


@cache
def _run_cached(name: str, changes: tuple[tuple[str, Any], ...]) -> list[r.Record]:
    file = FOLDER / f"{name}.toml"
    return run(load(file, dict(changes)), 1, file.parent, None).records


def run_storm(name: str, changes: dict[str, Any] = SHORTENED) -> list[r.Record]:
    return _run_cached(name, tuple(changes.items()))


def work_per_second(records: list[r.Record], start: r.Up) -> list[int]:
    """The work that arrived at a node in each second after its first attempt, in microseconds."""
    arrivals = [f for f in records if isinstance(f, r.Came) and (f.node, f.life) == (start.node, start.life)]
    came: Counter[int] = Counter()
    for record in arrivals:
        came[(record.t - arrivals[0].t) // SECOND] += record.work_us
    return [came[second] for second in range(8)]


def storm_log(records: list[r.Record]) -> list[str]:
    return [record.text for record in records if isinstance(record, r.Logged) and record.topic == "storm"]


def retry_after_values(records: list[r.Record]) -> list[int]:
    """The Retry-After of each refusal, in microseconds."""
    return [f.retry_after_us for f in records if isinstance(f, r.Answered) and f.status in (429, 503)]


def test_half_of_the_nodes_return_during_a_storm_and_stay_up() -> None:
    records = run_storm("storm-outage")
    returned = [record for record in records if isinstance(record, r.Up) and record.life]
    assert len(returned) == 4
    assert not [record for record in records if isinstance(record, r.Down) and record.why == "fell"]
    assert judge(load(FOLDER / "storm-outage.toml", SHORTENED), records).violations == []


def test_the_load_of_returning_nodes_rises_gradually() -> None:
    records = run_storm("storm-outage")
    loads = [
        work_per_second(records, record) for record in records if isinstance(record, r.Up) and record.life
    ]
    first, last = sum(load[0] for load in loads), sum(load[7] for load in loads)
    assert last > SECOND and first < 0.75 * last, loads  # they start at 0.35 of their capacity


def test_a_storm_is_logged_and_calm_load_is_not() -> None:
    marked = run_storm("storm-ignored", {**SHORTENED, **MARKED_RETRIES})
    assert any("-> storm" in text for text in storm_log(marked))
    assert any("-> storm" in text for text in storm_log(run_storm("storm-outage"))), (
        "retries are unmarked and spread over four proxies"
    )
    assert storm_log(run_storm("calm", {"scenario.duration": "10 s"})) == []


def test_the_flood_of_one_tenant_is_not_reported_as_a_storm() -> None:
    shortened = {"scenario.duration": "17 s", "arrivals.1.start": "8 s", "arrivals.1.end": "14 s"}
    records = run_storm("storm-tenant", {**shortened, **MARKED_RETRIES})
    assert retry_after_values(records), "the flood caused no refusal"
    assert not [text for text in storm_log(records) if "-> storm" in text]
    assert any("account" in text and "floods" in text for text in storm_log(records))


def test_no_unsafe_order_runs_twice() -> None:
    records = run_storm("storm-unsafe")
    began = Counter(r.order_id(record.request) for record in records if isinstance(record, r.Began))
    attempts = Counter(r.order_id(record.request) for record in records if isinstance(record, r.Asked))
    assert max(attempts.values()) > 1 and len(began) > 1000
    assert [order for order, times in began.items() if times > 1] == []


@pytest.mark.parametrize("name", ["storm-outage", "storm-zero"])
def test_refusals_carry_retry_after_where_the_settings_allow_it(name: str) -> None:
    waits = retry_after_values(run_storm(name))
    assert len(waits) > 50
    if name == "storm-zero":
        assert set(waits) == {0}
    else:
        assert min(waits) > 0 and max(waits) <= 625_000  # a quarter of the shortest aim


@pytest.mark.parametrize("name", ["storm-outage", "storm-ignored"])
def test_nobody_within_its_share_starves_in_a_storm(name: str) -> None:
    """In any five seconds in which some order is served, every class and every tenant is served."""
    records = run_storm(name)
    asked = {record.request: record for record in records if isinstance(record, r.Asked)}
    served: dict[int, set[str]] = defaultdict(set)
    for record in records:
        if isinstance(record, r.Answered) and record.status == 200:
            served[record.t // SECOND] |= {asked[record.request].cls, asked[record.request].tenant}
    scenario = load(FOLDER / f"{name}.toml", SHORTENED)
    all_names = {one.name for one in scenario.classes} | {one.name for one in scenario.tenants}
    for start in range(scenario.scenario.duration // SECOND - 5):
        seen = set().union(*(served[second] for second in range(start, start + 5)))
        assert not seen or seen == all_names, (start, all_names - seen)
