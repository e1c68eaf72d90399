"""Scenarios whose proxies know each other: on virtual time and, once, with real processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from slatelab import records as r
from slatelab.engine import Recording
from slatelab.judge import judge
from slatelab.live import run as live
from slatelab.model import run
from slatelab.model.run import Simulation
from slatelab.scenario import load, parse

FOLDER = Path(__file__).parents[2] / "scenarios"
SHORTENED = {"scenario.duration": "12 s", "fault.0.at": "4 s", "fault.0.for": "6 s", "tier.0.proxies": 24}


def run_and_judge(name: str, **more: Any) -> Recording:
    scenario = load(FOLDER / f"{name}.toml", {**SHORTENED, **more})
    recording = run(scenario, 1, FOLDER, None)
    assert judge(scenario, recording.records).violations == []
    return recording


def failures(recording: Recording) -> int:
    """Counts the attempts that a node failed."""
    return sum(isinstance(f, r.Replied) and f.status == 500 for f in recording.records)


def test_a_fleet_spends_fewer_calls_on_a_bad_node_than_proxies_that_share_nothing() -> None:
    alone, peers = run_and_judge("one-ejected"), run_and_judge("one-ejected", **{"fleet.peers": True})
    assert failures(peers) < 0.75 * failures(alone)
    again = run_and_judge("one-ejected", **{"fleet.peers": True})
    assert again.records == peers.records  # the same seed gives the same run


@pytest.mark.parametrize("kind", ["peer-cut", "peer-mute", "peer-lossy"])
def test_faults_between_proxies_break_no_rule_and_the_fleet_recovers(kind: str) -> None:
    fault = {
        "kind": kind,
        "at": "2 s",
        "for": "9 s",
        "tier": "front",
        "part": 0.9 if kind == "peer-lossy" else 0.0,
    }
    chosen = {} if kind == "peer-lossy" else {"names": ["p-front-1", "p-front-2", "p-front-3"]}
    simulation = Simulation(parse({**_scenario_tree(8), "fault": [{**fault, **chosen}]}), 1, FOLDER, None)
    counts = []
    simulation.context.clock.call_at(
        10_900_000,
        lambda: counts.append(
            [e.peer.member_counts().present for e in simulation.context.peer_network.endpoints.values()]
        ),
    )
    simulation.run()
    assert judge(simulation.context.scenario, simulation.context.records).violations == []
    if kind == "peer-cut":
        # 26 once all suspicions have expired, 56 before the partition.
        assert max(counts[0]) <= 5 and sum(counts[0]) <= 30
    assert {
        end.peer.member_counts().present for end in simulation.context.peer_network.endpoints.values()
    } == {7}


def test_a_frozen_proxy_wakes_among_the_others_and_no_rule_is_broken() -> None:
    simulation = Simulation(
        load(FOLDER / "one-frozen.toml", {**SHORTENED, "fault.0.for": "5 s", "tier.0.proxies": 6}),
        1,
        FOLDER,
        None,
    )
    seen = []
    simulation.context.clock.call_at(
        8_900_000,
        lambda: seen.append(
            [e.peer.member_counts().alive for e in simulation.context.peer_network.endpoints.values()]
        ),
    )
    simulation.run()
    assert judge(simulation.context.scenario, simulation.context.records).violations == []
    assert sorted(seen[0]) == [4, 4, 4, 4, 4, 5]  # the frozen proxy still has the member list from before
    assert {end.peer.member_counts().alive for end in simulation.context.peer_network.endpoints.values()} == {
        5
    }
    asleep = [
        f
        for f in simulation.context.records
        if isinstance(f, r.Came) and f.proxy == _frozen_proxy(simulation) and 4e6 < f.first < 9e6
    ]
    assert not asleep


def _frozen_proxy(simulation: Simulation) -> str:
    return next(f.targets[0] for f in simulation.context.records if isinstance(f, r.FaultBegan))


def test_one_loaded_proxy_alone_rejects_what_the_fleet_has_capacity_for() -> None:
    short = {"scenario.duration": "16 s", "arrivals.1.start": "6 s", "arrivals.1.end": "14 s"}
    scenario = load(FOLDER / "one-loud.toml", {**short, "fleet.peers": False})
    alone = judge(scenario, run(scenario, 1, FOLDER, None).records)
    assert set(alone.counts) == {"worth-inverted"}
    scenario = load(FOLDER / "one-loud.toml", short)
    assert judge(scenario, run(scenario, 1, FOLDER, None).records).passed


def test_attempts_of_the_fleet_are_held_to_their_limit() -> None:
    scenario = load(FOLDER / "all-half-fail.toml", {**SHORTENED, "rules.fleet_attempts": 1.01})
    assert set(judge(scenario, run(scenario, 1, FOLDER, None).records).counts) == {"fleet-attempts"}


def _scenario_tree(proxies: int) -> dict[str, Any]:
    return {
        "scenario": {"name": "between", "duration": "20 s"},
        "class": [{"name": "job-status", "effect": "safe", "work": {"mean": "15 ms"}}],
        "tier": [{"name": "front", "proxies": proxies, "kind": [{"name": "std", "nodes": 8}]}],
        "arrivals": [{"kind": "poisson", "rate": "100/s"}], "fleet": {"peers": True},
    }  # fmt: skip


def test_real_proxies_of_a_scenario_find_each_other_through_a_cut(tmp_path: Path) -> None:
    tree = _scenario_tree(3) | {"scenario": {"name": "between", "duration": "6 s"}}
    tree["fault"] = [{"kind": "peer-cut", "at": "1 s", "for": "1 s", "tier": "front", "nodes": 1}]
    scenario = parse(tree)
    recording = live(scenario, 1, tmp_path, None, FOLDER.parent, tmp_path)
    assert judge(scenario, recording.records).violations == []
    said = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    assert said.count("is alive: has joined") >= 6 and "Traceback" not in said
