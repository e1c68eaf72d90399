"""The scenario reader against files that are wrong, and the scenarios of the lab against its own rules."""

from __future__ import annotations

import copy
import re
import tomllib
from pathlib import Path
from typing import Any, get_args

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from pydantic import BaseModel

from slatelab.plant.capacity import offered_load
from slatelab.plant.check import find_errors
from slatelab.plant.faults import build_fault_schedule
from slatelab.plant.fleet import build_nodes, build_proxies
from slatelab.plant.random_streams import RandomStreams
from slatelab.plant.workload import generate_orders
from slatelab.scenario import Scenario, ScenarioError, load, parse
from slatelab.scenario.types import FAULT_KINDS

FOLDER = Path(__file__).parents[2] / "scenarios"
FILES = sorted(FOLDER.glob("*.toml"))
GOOD = """
[scenario]
name = "good"
duration = "10 s"
[[class]]
name = "look"
effect = "safe"
work = { mean = "20 ms" }
[[tier]]
name = "front"
[[tier.kind]]
name = "std"
nodes = 4
[[arrivals]]
kind = "poisson"
rate = "50/s"
[[fault]]
name = "first"
kind = "kill"
tier = "front"
nodes = 1
"""
BROKEN = [  # what stands in GOOD, what is put there, the key that is named, a part of the reason
    ("", "[", "", "cannot be read: "),
    ("", "x = " + "1" * 5000, "", "cannot be read: "),
    ("", "x = " + "[" * 5000, "", "cannot be read: nested too deeply"),
    ("", '"a: \\n" = 1', "'a: \\n'", "is not a key of this format"),
    ('duration = "10 s"', 'duration = "9**9**9**9 s"', "scenario.duration", "cannot be read"),
    ("nodes = 4", "nodes = 4\nspeed = [1, 0]", "tier.0.kind.0.speed.1: ", "greater than 0"),
    ('duration = "10 s"', "duration = 10", "scenario.duration", "needs a unit, as in '250 ms'; got 10"),
    ('duration = "10 s"', 'duration = "10 kg"', "scenario.duration", "has the wrong unit"),
    ('duration = "10 s"', 'duration = "ten s"', "scenario.duration", "cannot be read: 'ten s'"),
    ('duration = "10 s"', 'duration = "30 h"', "scenario.duration", "between 0 and 24 hours"),
    ('duration = "10 s"', "", "scenario.duration", "missing"),
    ('duration = "10 s"', 'duration = "10 s"\nwarmup = "10 s"', "scenario.warmup", "not shorter than"),
    ('name = "good"', 'name = "Good Day"', "scenario.name", "should match pattern"),
    ('effect = "safe"', 'efect = "safe"', "class.0.efect", "is not a key of this format"),
    ('effect = "safe"', 'effect = "harmless"', "class.0.effect", "'safe' or 'unsafe'"),
    ('effect = "safe"', 'effect = "safe"\nbody = 10', "class.0.body", "asked with GET and has none"),
    ('effect = "safe"', 'aim = "9 s"', "class.0.aim", "later than the deadline"),
    ('"20 ms" }', '"20 ms", cv = -1 }', "class.0.work.cv", "greater than or equal to 0"),
    ('"20 ms" }', '"20 ms", dist = "zipf" }', "class.0.work.dist", "'pareto'"),
    ('"20 ms" }', '"0 ms" }', "class.0.work.mean", "greater than 0"),
    ("nodes = 4", "nodes = 0", "tier.0.kind.0.nodes", "greater than or equal to 1"),
    ("nodes = 4", "nodes = 4\nspeed = -1", "tier.0.kind.0.speed", "greater than 0"),
    ("nodes = 4", "nodes = 4\ncold = { from = 3 }", "tier.0.kind.0.cold.from", "share between 0 and 1"),
    ('name = "front"', 'name = "front"\ncalls = 2', "tier.0.calls", "no further tier to call"),
    ('rate = "50/s"', "", "arrivals.0.rate", "missing, kind 'poisson' needs it"),
    ('rate = "50/s"', 'rate = "50"', "arrivals.0.rate", "has the wrong unit"),
    ('rate = "50/s"', 'rate = "50/s"\nclasses = ["buy"]', "arrivals.0.classes", "is named 'buy'"),
    ('kind = "poisson"', 'kind = "trace"\nfile = "no.csv"', "arrivals.0.file", "no such file: 'no.csv'"),
    ('kind = "kill"', 'kind = "explode"', "fault.0.kind", "'kill'"),
    ('kind = "kill"', 'kind = "slow"', "fault.0.factor", "missing, kind 'slow' needs it"),
    ('kind = "kill"', 'kind = "kill"\nafter = "later"', "fault.0.after", "no earlier fault is named 'later'"),
    ('tier = "front"', "", "fault.0.tier", "missing, kind 'kill' needs it"),
    ('tier = "front"', 'tier = "back"', "fault.0.tier", "no tier is named 'back'"),
    ("nodes = 1", "", "fault.0.nodes", "give one of nodes, share and names"),
    ("nodes = 1", 'nodes = 1\nshare = "50 %"', "fault.0.nodes", "give one of nodes, share and names"),
]


@pytest.mark.parametrize(("good", "bad", "key", "reason"), BROKEN, ids=lambda part: str(part)[:30])
def test_a_broken_file_is_answered_with_file_key_and_reason(
    tmp_path: Path, good: str, bad: str, key: str, reason: str
) -> None:
    path = tmp_path / "broken.toml"
    assert good in GOOD
    path.write_text(GOOD.replace(good, bad, 1) if good else bad)
    with pytest.raises(ScenarioError) as answer:
        load(path)
    start = f"{path}: {key}" if key else f"{path}: "
    assert any(line.startswith(start) and reason in line for line in answer.value.lines), answer.value


def test_all_faults_are_told_at_once_and_a_change_to_no_key_is_one(tmp_path: Path) -> None:
    path = tmp_path / "broken.toml"
    path.write_text(GOOD.replace('"10 s"', "10").replace("nodes = 4", "nodes = 0"))
    with pytest.raises(ScenarioError, match=r"(?s)scenario\.duration: .*tier\.0\.kind\.0\.nodes: "):
        load(path)
    path.write_text(GOOD)
    assert load(path, {"arrivals.0.rate": "7/s"}).arrivals[0].rate == 7
    with pytest.raises(ScenarioError, match=r"arrivals\.3\.rate: there is no such key"):
        load(path, {"arrivals.3.rate": "7/s"})


def _ways(tree: Any) -> list[tuple[Any, ...]]:
    """The path of every value in a tree."""
    inside = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    return [way for key, value in inside for way in [(key,), *((key, *rest) for rest in _ways(value))]]


TREES = [tomllib.loads(path.read_text()) for path in FILES]
PLACES = [(tree, way) for tree in TREES for way in _ways(tree)]
TEXT = st.text(max_size=20)
QUANTITY = st.builds(
    "{} {}".format, st.floats() | st.integers(), st.sampled_from(["s", "ms", "/s", "%", "m", ""])
)
JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT | QUANTITY | st.dates(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=5,
)


@settings(derandomize=True, database=None, deadline=None, max_examples=1500)
@given(st.sampled_from(PLACES), JUNK, st.sampled_from(["put", "drop", "add"]))
@example((TREES[0], ("scenario", "duration")), "nan s", "put")
def test_whatever_stands_in_the_tree_the_answer_is_a_scenario_or_names_file_and_key(
    place: tuple[dict[str, Any], tuple[Any, ...]], junk: Any, how: str
) -> None:
    tree = copy.deepcopy(place[0])
    *way, last = place[1]
    at: Any = tree
    for part in way:
        at = at[part]
    if how == "drop":
        del at[last]
    else:
        at[last if how == "put" else (len(at) - 1 if isinstance(at, list) else "unheard-of")] = junk
    try:
        assert isinstance(parse(tree, "mangled.toml"), Scenario)
        assert how != "add" or isinstance(at, list), "a key that the format has not was passed over"
    except ScenarioError as answer:
        first = re.escape(str(place[1][0])) if way else "[^ ]+"
        assert answer.lines
        for line in answer.lines:
            assert re.fullmatch(r"mangled\.toml: ([A-Za-z0-9_.-]+|[a-z0-9_.]*(['\"]).*\2): .+", line), line
        if how != "drop":
            assert any(re.match(rf"mangled\.toml: ({first}|arrivals|fault)", line) for line in answer.lines)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_scenario_of_the_lab_can_be_played_and_says_what_it_shows(path: Path) -> None:
    scenario = load(path)
    assert scenario.scenario.name == path.stem
    assert path.read_text().startswith("# ") and "shows:" in path.read_text().partition("[scenario]")[0]
    assert find_errors(scenario, FOLDER) == []
    draw = RandomStreams(scenario.scenario.seed)
    nodes = build_nodes(scenario, draw)
    before = build_proxies(scenario, nodes)
    last = max(
        (change.at for change in build_fault_schedule(scenario, draw, nodes, before) if not change.is_start),
        default=0,
    )
    assert last <= scenario.scenario.duration
    seconds = scenario.scenario.duration / 1e6
    busiest = max(load.peak / load.capacity for load in offered_load(scenario))
    if path.stem == "hundred-proxies":
        assert (len(nodes), len(before)) == (1000, 100) and len(
            generate_orders(scenario, draw, FOLDER)
        ) <= 20_000
    else:  # modest enough for the live engine on eight cores
        rate = len(generate_orders(scenario, draw, FOLDER)) / seconds
        assert 15 <= seconds <= 45 and rate <= 320 and len(before) <= 10
    beyond = ("flash-crowd", "one-loud", "storm-tenant")
    assert (busiest > 1) == (path.stem in beyond)  # the others peak within what nodes can do


def _keys(part: type[BaseModel]) -> set[str]:
    """Every key of the format, also of the tables inside."""
    found = {field.alias or name for name, field in part.model_fields.items()}
    inside = {inner for field in part.model_fields.values() for inner in get_args(field.annotation)}
    inside |= {field.annotation for field in part.model_fields.values()}
    tables = {table for table in inside if isinstance(table, type) and issubclass(table, BaseModel)}
    return found.union(*(_keys(table) for table in tables))


def test_the_operators_text_knows_every_key_and_fault_and_its_example_can_be_played() -> None:
    text = (FOLDER.parent / "docs" / "operators" / "scenarios.md").read_text()
    _, example_text, rest = re.split(r"```(?:toml)?\n", text)
    words = set(re.findall(r"[a-z_]+", " ".join(re.findall(r"`[^`]+`", rest))))
    assert _keys(Scenario) - words == set() and len(_keys(Scenario)) > 80
    assert [kind for kind in FAULT_KINDS if f'| `"{kind}"` |' not in text] == []
    example = parse(tomllib.loads(example_text))
    assert find_errors(example, FOLDER) == []
    assert [load.mean for load in offered_load(example)] == pytest.approx([0.75, 0.9])
