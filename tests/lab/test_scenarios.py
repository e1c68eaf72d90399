"""The scenario reader with invalid files, and the scenarios of the lab against its own rules."""

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
VALID_SCENARIO = """
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
INVALID_CHANGES = [  # text in VALID_SCENARIO, its replacement, the reported key, part of the reason
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


@pytest.mark.parametrize(
    ("original", "replacement", "key", "reason"), INVALID_CHANGES, ids=lambda value: str(value)[:30]
)
def test_an_invalid_file_is_reported_with_file_key_and_reason(
    tmp_path: Path, original: str, replacement: str, key: str, reason: str
) -> None:
    path = tmp_path / "broken.toml"
    assert original in VALID_SCENARIO
    path.write_text(VALID_SCENARIO.replace(original, replacement, 1) if original else replacement)
    with pytest.raises(ScenarioError) as error:
        load(path)
    start = f"{path}: {key}" if key else f"{path}: "
    assert any(line.startswith(start) and reason in line for line in error.value.lines), error.value


def test_all_errors_are_reported_together_and_a_change_to_an_unknown_key_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "broken.toml"
    path.write_text(VALID_SCENARIO.replace('"10 s"', "10").replace("nodes = 4", "nodes = 0"))
    with pytest.raises(ScenarioError, match=r"(?s)scenario\.duration: .*tier\.0\.kind\.0\.nodes: "):
        load(path)
    path.write_text(VALID_SCENARIO)
    assert load(path, {"arrivals.0.rate": "7/s"}).arrivals[0].rate == 7
    with pytest.raises(ScenarioError, match=r"arrivals\.3\.rate: there is no such key"):
        load(path, {"arrivals.3.rate": "7/s"})


def _paths(tree: Any) -> list[tuple[Any, ...]]:
    """The paths of all values in a tree."""
    children = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    return [
        key_path
        for key, value in children
        for key_path in [(key,), *((key, *rest) for rest in _paths(value))]
    ]


TREES = [tomllib.loads(path.read_text()) for path in FILES]
POSITIONS = [(tree, key_path) for tree in TREES for key_path in _paths(tree)]
TEXT = st.text(max_size=20)
QUANTITY = st.builds(
    "{} {}".format, st.floats() | st.integers(), st.sampled_from(["s", "ms", "/s", "%", "m", ""])
)
ARBITRARY_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT | QUANTITY | st.dates(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=5,
)


@settings(derandomize=True, database=None, deadline=None, max_examples=1500)
@given(st.sampled_from(POSITIONS), ARBITRARY_VALUES, st.sampled_from(["put", "drop", "add"]))
@example((TREES[0], ("scenario", "duration")), "nan s", "put")
def test_any_tree_gives_a_scenario_or_errors_with_file_and_key(
    position: tuple[dict[str, Any], tuple[Any, ...]], value: Any, operation: str
) -> None:
    tree = copy.deepcopy(position[0])
    *parents, last = position[1]
    table: Any = tree
    for segment in parents:
        table = table[segment]
    if operation == "drop":
        del table[last]
    else:
        table[
            last if operation == "put" else (len(table) - 1 if isinstance(table, list) else "unheard-of")
        ] = value
    try:
        assert isinstance(parse(tree, "mangled.toml"), Scenario)
        assert operation != "add" or isinstance(table, list), "an unknown key was accepted"
    except ScenarioError as error:
        first = re.escape(str(position[1][0])) if parents else "[^ ]+"
        assert error.lines
        for line in error.lines:
            assert re.fullmatch(r"mangled\.toml: ([A-Za-z0-9_.-]+|[a-z0-9_.]*(['\"]).*\2): .+", line), line
        if operation != "drop":
            assert any(re.match(rf"mangled\.toml: ({first}|arrivals|fault)", line) for line in error.lines)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_scenario_of_the_lab_can_be_run_and_states_its_purpose(path: Path) -> None:
    scenario = load(path)
    assert scenario.scenario.name == path.stem
    assert path.read_text().startswith("# ") and "shows:" in path.read_text().partition("[scenario]")[0]
    assert find_errors(scenario, FOLDER) == []
    random_streams = RandomStreams(scenario.scenario.seed)
    nodes = build_nodes(scenario, random_streams)
    proxies = build_proxies(scenario, nodes)
    last = max(
        (
            change.at
            for change in build_fault_schedule(scenario, random_streams, nodes, proxies)
            if not change.is_start
        ),
        default=0,
    )
    assert last <= scenario.scenario.duration
    seconds = scenario.scenario.duration / 1e6
    busiest = max(load.peak / load.capacity for load in offered_load(scenario))
    if path.stem == "hundred-proxies":
        assert (len(nodes), len(proxies)) == (1000, 100) and len(
            generate_orders(scenario, random_streams, FOLDER)
        ) <= 20_000
    else:  # small enough for the live engine on eight cores
        rate = len(generate_orders(scenario, random_streams, FOLDER)) / seconds
        assert 15 <= seconds <= 45 and rate <= 320 and len(proxies) <= 10
    overloaded = ("flash-crowd", "one-loud", "storm-tenant")
    # The peaks of the others are within the capacity of the nodes.
    assert (busiest > 1) == (path.stem in overloaded)


def _keys(table_type: type[BaseModel]) -> set[str]:
    """All keys of a table of the format, including nested tables."""
    found = {field.alias or name for name, field in table_type.model_fields.items()}
    children = {inner for field in table_type.model_fields.values() for inner in get_args(field.annotation)}
    children |= {field.annotation for field in table_type.model_fields.values()}
    tables = {table for table in children if isinstance(table, type) and issubclass(table, BaseModel)}
    return found.union(*(_keys(table) for table in tables))


def test_the_operators_page_has_every_key_and_fault_and_a_valid_example() -> None:
    text = (FOLDER.parent / "docs" / "operators" / "scenarios.md").read_text()
    _, example_text, rest = re.split(r"```(?:toml)?\n", text)
    words = set(re.findall(r"[a-z_]+", " ".join(re.findall(r"`[^`]+`", rest))))
    assert _keys(Scenario) - words == set() and len(_keys(Scenario)) > 80
    assert [kind for kind in FAULT_KINDS if f'| `"{kind}"` |' not in text] == []
    example = parse(tomllib.loads(example_text))
    assert find_errors(example, FOLDER) == []
    assert [load.mean for load in offered_load(example)] == pytest.approx([0.75, 0.9])
