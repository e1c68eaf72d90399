"""The parts of the plant without I/O: workload, topology, fault schedule, behaviour of clients and the settings of a
proxy."""

from __future__ import annotations

import json
import math
import os
import statistics
import subprocess
import sys
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
import scipy.stats
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlestep import Effect, Scope, ServiceClass, Settings, Tenant
from slatehub.settings.reader import load_config as load_proxy_config
from slatelab.plant import settings as proxy_settings
from slatelab.plant.capacity import offered_load, overload_errors
from slatelab.plant.check import find_errors
from slatelab.plant.client import AttemptOutcome, Retry, attempt_timeout_at, next_retry
from slatelab.plant.faults import ActiveFaults, FaultEvent, build_fault_schedule
from slatelab.plant.fleet import build_nodes, build_proxies, replacement
from slatelab.plant.random_streams import RandomStreams
from slatelab.plant.workload import (
    Order,
    call_count,
    call_work,
    generate_arrivals,
    generate_orders,
    sample_work,
)
from slatelab.scenario import Scenario, ScenarioError, parse
from slatelab.scenario.types import Work

ROOT = Path(__file__).parents[2]
HERE = Path(".")
S = 1_000_000
FRONT = {"name": "front", "kind": [{"name": "std", "nodes": 4}]}
POISSON = {"kind": "poisson", "rate": "50/s"}
BROWSE = {"name": "look", "effect": "safe", "work": {"mean": "20 ms"}}
BUY = {"name": "buy", "work": {"mean": "40 ms"}, "deadline": "4 s"}


def scenario(**parts: Any) -> Scenario:
    about = {"name": "plain", "duration": "10 s"}
    return parse({"scenario": about, "class": [BROWSE, BUY], "tier": [FRONT], "arrivals": [POISSON]} | parts)


TIERS = [
    {"name": "front", "proxies": 2, "work": 0.5, "calls": 2.5, "kind": [
        {"name": "std", "nodes": 3, "speed": [0.5, 1.5]},
    ]},
    {"name": "jobs", "work": 2.0, "kind": [
        {"name": "a", "nodes": 2, "cores": 4, "cold": {"from": 0.3, "for": "9 s"}},
        {"name": "b", "nodes": 3, "cold": {"from": 0.6, "for": "2 s"}},
    ]},
]  # fmt: skip


# ---------------------------------------------------------------- random streams


def test_streams_differ_by_every_name_and_by_nothing_else() -> None:
    draw = RandomStreams(7)
    first = draw.stream("order", 1).random()
    draw.stream("order", 2).random()
    assert draw.stream("order", 1).random() == first
    names: list[tuple[str | int, ...]] = [("order", 1), (1, "order"), ("order", 1, 1), ("order1",), ()]
    assert (
        len({draw.stream(*name).random() for name in names} | {RandomStreams(8).stream("order", 1).random()})
        == 6
    )


RUN_DIGEST = """
import hashlib, sys
from pathlib import Path
from slatelab.plant import random_streams, faults, fleet, workload
from slatelab.scenario import load
s, d = load(Path("scenarios/flash-crowd.toml")), random_streams.RandomStreams(5)
f, d2 = load(Path("scenarios/stripped.toml")), random_streams.RandomStreams(5)
nodes = fleet.build_nodes(f, d2)
run = (workload.generate_orders(s, d, Path()), nodes,
       faults.build_fault_schedule(f, d2, nodes, fleet.build_proxies(f, nodes)))
print(hashlib.sha256(repr(run).encode()).hexdigest())
"""


def test_the_same_seed_gives_the_same_workload_under_any_hash_seed() -> None:
    def digest(hash_seed: str) -> bytes:
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        return subprocess.check_output([sys.executable, "-c", RUN_DIGEST], cwd=ROOT, env=environment)

    assert digest("1") == digest("2") != b""


# ---------------------------------------------------------------- orders


@pytest.mark.parametrize("dist", ["fixed", "exponential", "lognormal"])
def test_work_has_the_configured_mean_and_cv(dist: Any) -> None:
    work = Work.model_validate({"mean": "20 ms", "dist": dist, "cv": 1.5})
    rng = RandomStreams(1).stream("work")
    samples = [sample_work(work, rng) for _ in range(40_000)]
    assert statistics.fmean(samples) == pytest.approx(20_000, rel=0.02)
    cv = {"fixed": 0.0, "exponential": 1.0, "lognormal": 1.5}[dist]
    assert statistics.pstdev(samples) / 20_000 == pytest.approx(cv, rel=0.04)


SHAPE_TOLERANCE = 0.985, 1.015  # uncertainty of the shape fitted to a sample


@pytest.mark.parametrize("cv", [0.3, 1.0, 4.0])
def test_the_pareto_fitted_to_the_samples_has_the_configured_mean_and_cv(cv: float) -> None:
    """Compares the fitted shape, because the cv of a sample converges very slowly if the fourth moment is infinite."""
    work = Work.model_validate({"mean": "20 ms", "dist": "pareto", "cv": cv})
    rng = RandomStreams(1).stream("work")
    samples = [sample_work(work, rng) for _ in range(40_000)]
    least = min(samples)
    fit = scipy.stats.pareto(len(samples) / sum(math.log(us / least) for us in samples), scale=least)
    assert fit.mean() == pytest.approx(20_000, rel=0.01)
    spread = [
        scipy.stats.pareto(shape).std() / scipy.stats.pareto(shape).mean()
        for shape in (fit.args[0] * near for near in SHAPE_TOLERANCE)
    ]
    assert spread[0] > cv > spread[1]


RATE = st.integers(1, 300).map("{}/s".format)
KINDS = st.one_of(
    st.fixed_dictionaries({"kind": st.sampled_from(["poisson", "steady"]), "rate": RATE}),
    st.fixed_dictionaries({"kind": st.just("ramp"), "rate": st.just("0/s") | RATE, "to_rate": RATE}),
    st.builds(
        lambda ms, n: {"kind": "burst", "every": f"{ms} ms", "size": n},
        st.integers(1, 5000),
        st.integers(1, 9),
    ),
)


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(KINDS, st.integers(0, 9), st.integers(1, 20), st.integers(0, 99))
def test_arrivals_are_ordered_inside_their_window_and_as_many_as_the_capacity_check_expects(
    stream: dict[str, Any], start: int, length: int, seed: int
) -> None:
    run_scenario = scenario(arrivals=[stream | {"start": f"{start} s", "end": f"{start + length} s"}])
    times = [arrival.at for arrival in generate_arrivals(run_scenario, RandomStreams(seed), HERE, 0)]
    assert times == sorted(times)
    assert all(start * S <= at < min(10, start + length) * S for at in times)
    # Equal shares of both classes: 30 ms of work per order.
    expected = offered_load(run_scenario)[0].mean * 10 / 0.03
    chance = 5 * math.sqrt(expected) + 5 if stream["kind"] in ("poisson", "ramp") else 1
    assert abs(len(times) - expected) <= chance


def test_ramp_and_poisson_arrivals_have_the_expected_distribution() -> None:
    ramp = scenario(arrivals=[{"kind": "ramp", "rate": "0/s", "to_rate": "400/s"}])
    times = [arrival.at / S for arrival in generate_arrivals(ramp, RandomStreams(3), HERE, 0)]
    squares = [t * t / 100 for t in times]  # in proportion to the expected count
    assert scipy.stats.kstest(squares, "uniform").pvalue > 0.001
    constant = scenario(arrivals=[{"kind": "poisson", "rate": "400/s"}])
    gaps = [b.at - a.at for a, b in pairwise(generate_arrivals(constant, RandomStreams(3), HERE, 0))]
    assert scipy.stats.kstest(gaps, "expon", args=(0, 2500)).pvalue > 0.001


def test_orders_follow_shares_names_patience_and_honour() -> None:
    run_scenario = scenario(
        tenant=[{"name": "big", "share": 3}, {"name": "small"}, {"name": "off", "share": 100}],
        clients={"patience_least": 0.5, "honour": 0.25},
        arrivals=[{"kind": "steady", "rate": "500/s", "tenants": ["big", "small"]}],
        **{"class": [BROWSE | {"share": 3}, BUY]},
    )
    orders = generate_orders(run_scenario, RandomStreams(1), HERE)
    samples = zip(*((o.cls, o.tenant, o.honours_retry_after) for o in orders), strict=True)
    assert [statistics.fmean(column) for column in samples] == pytest.approx([0.25, 0.25, 0.25], abs=0.02)
    assert {o.tenant for o in orders} == {0, 1}
    patience = [o.patience_us for o in orders if o.cls == 1]
    assert 2 * S <= min(patience) < 2.1 * S and 3.9 * S < max(patience) <= 4 * S
    assert len({o.seed for o in orders}) == len(orders) == orders[-1].number + 1 == 5000


def test_one_stream_of_arrivals_changes_nothing_in_another() -> None:
    burst = {"kind": "burst", "every": "1 s", "size": 3}
    alone = generate_orders(scenario(), RandomStreams(1), HERE)
    both = generate_orders(scenario(arrivals=[POISSON, burst]), RandomStreams(1), HERE)
    all_of_it = {(o.at, o.seed, o.work_us) for o in both}
    assert len({o.seed for o in both}) == len(both) == len(alone) + 30
    assert all_of_it >= {(o.at, o.seed, o.work_us) for o in alone}


def test_a_trace_is_read_and_its_errors_are_reported_by_line(tmp_path: Path) -> None:
    run_scenario = scenario(
        arrivals=[{"kind": "trace", "file": "t.csv", "start": "1 s"}], tenant=[{"name": "big"}]
    )
    file = tmp_path / "t.csv"
    file.write_text("# seconds,class,tenant\n2.5,buy,big\n\n0.25, look\n1\n9.5\n")
    first, _, last = generate_orders(run_scenario, RandomStreams(1), tmp_path)
    assert (first.at, first.cls, last.at, last.cls) == (1_250_000, 0, 3_500_000, 1)
    assert offered_load(run_scenario, tmp_path)[0].peak == pytest.approx(0.04)
    file.write_text("1,buy\nsoon\n-1\n2,sell\n3,buy,small\n4,buy,big,red\n")
    with pytest.raises(ScenarioError) as error:
        generate_orders(run_scenario, RandomStreams(1), tmp_path)
    starts = [line.removeprefix(f"{file}: ").split(": ")[:2] for line in error.value.lines]
    assert starts[:4] == [
        [f"line {n}", key] for n, key in enumerate(["seconds", "seconds", "class", "tenant"], 2)
    ]
    assert starts[4:] == [["line 6", "has more than three fields, seconds[,class[,tenant]]"]]
    file.write_bytes(b"1,\xff\n")
    with pytest.raises(ScenarioError, match=r"t\.csv: arrivals\.0\.file: cannot be read"):
        generate_orders(run_scenario, RandomStreams(1), tmp_path)


def test_number_and_work_of_calls_follow_the_tiers() -> None:
    noisy = [BROWSE | {"work": {"mean": "20 ms", "noise": 0.2}}, BUY]
    run_scenario = scenario(tier=TIERS, **{"class": noisy})
    counts = [call_count(run_scenario, seed, 0, "") for seed in range(4000)]
    assert set(counts) == {2, 3} and statistics.fmean(counts) == pytest.approx(2.5, abs=0.03)
    assert call_count(run_scenario, 1, 1, "0") == 0
    assert call_work(run_scenario, 1, 10_000, 1, 1, "0") == 20_000
    samples = [
        call_work(run_scenario, seed, 10_000, 0, 0, path) for seed in range(500) for path in ("0", "1")
    ]
    assert 4000 <= min(samples) < 4020 and 5980 < max(samples) <= 6000 and samples[0] != samples[1]


# ---------------------------------------------------------------- clients

ORDER = Order(0, 10 * S, 1, 0, 40_000, S, True, 9)


@pytest.mark.parametrize(
    ("end", "cls", "client_settings", "wait"),
    [
        ("served", 0, {}, None),
        ("refused", 1, {}, 300_000),
        ("refused", 1, {"honour": 0}, 50_000),  # the order itself does not honour Retry-After
        ("unheard", 1, {}, 50_000),
        ("failed", 1, {}, None),
        ("gone", 1, {}, None),
        ("gave-up", 1, {}, None),
        ("gave-up", 1, {"reckless": True}, 50_000),
        ("gone", 0, {}, 50_000),
        ("gave-up", 0, {}, 50_000),
        ("unheard", 1, {"backoff": "none"}, 0),
        ("unheard", 1, {"retries": 0}, None),
        ("unheard", 1, {"base": "3 s"}, None),  # the retry would be after the deadline
    ],
)
def test_client_retries_by_outcome_class_and_settings(
    end: AttemptOutcome, cls: int, client_settings: dict[str, Any], wait: int | None
) -> None:
    run_scenario = scenario(clients={"retries": 1, "backoff": "fixed", "base": "50 ms"} | client_settings)
    order = Order(0, 10 * S, cls, 0, 40_000, S, "honour" not in client_settings, 9)
    now = 11 * S + 500_000
    again = next_retry(run_scenario, order, 0, now, end, 300_000, RandomStreams(1).stream("client"))
    assert again == (None if wait is None else Retry(now + wait))
    assert next_retry(run_scenario, order, 1, now, end, 300_000, RandomStreams(1).stream("client")) is None


def test_patience_backoff_and_the_longest_retry_after() -> None:
    run_scenario = scenario(clients={"retries": 9, "base": "100 ms"}, proxy={"max_retry_after": "1 s"})
    rng = RandomStreams(1).stream("client")
    waits = [x.at for _ in range(500) if (x := next_retry(run_scenario, ORDER, 2, 0, "unheard", 0, rng))]
    assert 0 <= min(waits) < 10_000 and 390_000 < max(waits) <= 400_000
    assert next_retry(run_scenario, ORDER, 0, 10 * S, "refused", 9 * S, rng) == Retry(11 * S)
    assert [attempt_timeout_at(run_scenario, ORDER, sent) for sent in (10 * S, 13 * S + 1)] == [
        11 * S,
        14 * S,
    ]


# ---------------------------------------------------------------- topology


def test_every_node_and_proxy_has_a_unique_name_and_address() -> None:
    big = {"name": "big", "kind": [{"name": "many", "nodes": 10_000}]}
    more = {"name": "more", "kind": [{"name": "k", "nodes": 9996}]}
    run_scenario = scenario(tier=[FRONT | {"proxies": 9}, big, more])
    nodes = build_nodes(run_scenario, RandomStreams(1))
    all_proxies = build_proxies(run_scenario, nodes)
    hosts = [(node.id, node.address) for node in nodes] + [(p.name, p.address) for p in all_proxies]
    assert len(nodes) == 20_000 and len(all_proxies) == 9 + 4 + 10_000
    assert len({name for name, _ in hosts}) == len({address for _, address in hosts}) == len(hosts)
    for _, address in hosts:
        first, *_, last = map(int, address.split("."))
        assert first == 127 and 1 <= last <= 254
    with pytest.raises(ScenarioError, match="tier: 20001 nodes, the plant holds 20000"):
        build_nodes(
            scenario(tier=[big, more, FRONT | {"kind": [{"name": "std", "nodes": 5}]}]), RandomStreams(1)
        )


def test_fleet_and_proxies_of_two_tiers() -> None:
    run_scenario = scenario(tier=TIERS)
    nodes = build_nodes(run_scenario, RandomStreams(1))
    assert [node.id for node in nodes][2:5] == ["s-front-3", "s-jobs-1", "s-jobs-2"]
    assert [node.kind.name for node in nodes[3:]] == ["a", "a", "b", "b", "b"]
    speeds = [node.speed for node in nodes[:3]]
    assert len(set(speeds)) == 3 and all(0.5 <= speed <= 1.5 for speed in speeds)
    seen = [
        (p.name, p.tier, p.index, p.sibling_count, p.owner_node) for p in build_proxies(run_scenario, nodes)
    ]
    assert seen[0] == ("p-front-1", 0, 0, 2, "") and seen[-1] == ("p-jobs-3", 1, 2, 3, "s-front-3")
    new = replacement(replacement(nodes[3], 1), 2)
    assert (new.id, new.original_id, new.address) == ("s-jobs-1-r2", "s-jobs-1", nodes[3].address)


def test_capacity_multiplies_calls_down_the_tiers_and_reports_overloaded_tiers() -> None:
    ramp = {"kind": "ramp", "rate": "0/s", "to_rate": "100/s"}
    press = {"name": "press", "kind": [{"name": "p", "nodes": 1}]}
    front, jobs, presses = offered_load(
        scenario(tier=[TIERS[0], TIERS[1] | {"calls": 4}, press], arrivals=[ramp])
    )
    assert (front.mean, front.peak, front.capacity) == pytest.approx((0.75, 0.5 * 95 * 0.03, 3.0))
    assert (jobs.mean, jobs.capacity, presses.mean) == pytest.approx((1.5 * 2.5 * 2, 11.0, 1.5 * 2.5 * 4))
    heavy: dict[str, Any] = {"tier": TIERS, "arrivals": [POISSON | {"rate": "90/s"}]}
    (line,) = overload_errors(scenario(**heavy))
    assert line.startswith("tier.1: 'jobs' is asked for 13.50 s of work") and "11.00 (123%)" in line
    assert (
        overload_errors(scenario(**heavy, scenario={"name": "x", "duration": "9 s", "overload": True})) == []
    )


# ---------------------------------------------------------------- faults


def fault_events(*faults: dict[str, Any], seed: int = 1) -> list[FaultEvent]:
    run_scenario = scenario(tier=TIERS, fault=list(faults))
    nodes = build_nodes(run_scenario, RandomStreams(seed))
    return build_fault_schedule(run_scenario, RandomStreams(seed), nodes, build_proxies(run_scenario, nodes))


def event_summary(*faults: dict[str, Any]) -> list[tuple[float, str, bool, int]]:
    return [(c.at / S, c.kind, c.is_start, len(c.targets)) for c in fault_events(*faults)]


def test_compound_faults_are_split_into_events() -> None:
    one = {"tier": "jobs", "nodes": 1, "at": "1 s", "for": "2 s"}
    assert event_summary(one | {"kind": "kill"}) == [(1, "kill", True, 1), (3, "start", True, 1)]
    assert event_summary(one | {"kind": "kill", "for": "0 s"}) == [(1, "kill", True, 1)]
    restart = [(1, "drain", True, 1), (5, "stop", True, 1), (7, "start", True, 1)]
    assert event_summary(one | {"kind": "restart", "grace": "4 s"}) == restart
    assert event_summary(one | {"kind": "drain"}) == [(1, "drain", True, 1), (3, "stop", True, 1)]
    assert event_summary(one | {"kind": "replace"}) == [(1, "kill", True, 1), (3, "renew", True, 1)]
    assert event_summary(one | {"kind": "reset"}) == [(1, "reset", True, 1), (2, "reset", True, 1)]
    assert event_summary(one | {"kind": "slow", "factor": 2}) == [(1, "slow", True, 1), (3, "slow", False, 1)]
    assert event_summary({"kind": "strip-headers", "tier": "jobs"}) == [(0, "strip-headers", True, 5)]
    lies = {"kind": "discovery-lies", "part": 0.4}
    assert event_summary(lies) == [(0, "discovery-lies", True, 1), (0, "discovery-lies", True, 2)]
    stop = event_summary({"kind": "proxy-stop", "tier": "front", "for": "1 s"})
    assert stop == [(0, "proxy-stop", True, 2), (1, "proxy-start", True, 2), (3.7, "proxy-end", True, 2)]


def test_targets_depend_on_the_seed_and_times_on_stagger_and_after() -> None:
    kill = {"kind": "kill", "tier": "jobs", "share": 0.01}
    assert len({fault_events(kill, seed=seed)[0].targets for seed in range(30)}) == 5
    staggered = fault_events(kill | {"share": 0.6, "stagger": "2 s", "for": "1 s"})
    assert [(c.at // S, c.kind) for c in staggered] == list(enumerate(["kill", "start"] * 3))
    order = [c.targets[0] for c in staggered[::2]]
    assert len(set(order)) == 3 and order == sorted(order)
    stop = {"kind": "proxy-stop", "name": "stop", "tier": "jobs", "for": "1 s"}
    assert fault_events(stop, kill | {"after": "stop"})[-2].at == S  # the last is proxy-end
    first = kill | {"name": "one", "share": 0.4, "at": "1 s", "for": "2 s", "stagger": "1 s"}
    then = fault_events(first, {"kind": "freeze", "after": "one", "at": "2 s", "tier": "front", "nodes": 1})[
        -1
    ]
    assert (then.at, then.kind, then.fault, then.spec.after) == (6 * S, "freeze", "freeze-2", "one")


def test_all_missing_targets_are_reported() -> None:
    missing_target = scenario(fault=[{"kind": "kill", "tier": "front", "names": ["s-front-9"]}])
    assert find_errors(missing_target, HERE) == [
        "fault.0.names: no node of tier 'front' is named 's-front-9'; they are s-front-1 to s-front-4"
    ]
    overloaded = scenario(arrivals=[POISSON | {"rate": "200000/s"}])
    assert [line.partition(": ")[0] for line in find_errors(overloaded, HERE)] == ["tier.0", "arrivals"]
    lasting = {"kind": "freeze", "name": "ice", "tier": "front", "nodes": 1}
    with pytest.raises(ScenarioError) as error:
        fault_events(
            lasting,
            {"kind": "kill", "tier": "jobs", "names": ["s-front-1"]},
            {"kind": "proxy-kill", "tier": "jobs", "names": ["p-jobs-1", "p-jobs-4"]},
            {"kind": "kill", "tier": "front", "nodes": 4, "after": "ice"},
        )
    assert error.value.lines == [
        "plain: fault.1.names: no node of tier 'jobs' is named 's-front-1'; they are s-jobs-1 to s-jobs-5",
        "plain: fault.2.names: no proxy of tier 'jobs' is named 'p-jobs-4'; they are p-jobs-1 to p-jobs-3",
        "plain: fault.3.after: 'ice' never ends; give it a time with `for`",
        "plain: fault.3.nodes: 4, but tier 'front' has 3 to choose from",
    ]
    with pytest.raises(ScenarioError, match="fault.0: makes more than"):
        fault_events({"kind": "reset", "tier": "jobs", "nodes": 5, "for": "24 h", "stagger": "1 s"})


def test_overlapping_faults_on_a_node_combine_and_end() -> None:
    def on(kind: str, name: str, at: int, span: int, **more: Any) -> dict[str, Any]:
        when = {"at": f"{at} s", "for": f"{span} s"}
        return {"kind": kind, "name": name, "tier": "jobs", "names": ["s-jobs-1"]} | when | more

    run_scenario = scenario(tier=TIERS)
    active_faults, seen = ActiveFaults(run_scenario), []
    for event in fault_events(
        on("slow", "a", 1, 9, factor=2),
        on("slow", "b", 2, 1, factor=3),
        on("errors", "c", 2, 6, part=0.5),
        on("errors", "d", 4, 2, part=0.5),
        on("heavy-tail", "e", 4, 3, part=0.1, factor=20, **{"class": "buy"}),
        on("freeze", "f", 5, 1),
        on("black-hole", "g", 5, 2),
    ):
        active_faults.apply(event)
        seen.append(
            (
                event.at // S,
                active_faults.conditions_for("s-jobs-1"),
                active_faults.is_black_holed("s-jobs-1"),
            )
        )
    last = {at: (found["slow"], found["errors"], found["frozen"], cut) for at, found, cut in seen}
    assert (last[2], last[3]) == ((6, 0.5, False, False), (2, 0.5, False, False))
    assert (last[5], last[6]) == ((2, 0.75, True, True), (2, 0.5, False, True))
    assert [found["tail"] for at, found, _ in seen if at == 4][-1] == (0.1, 20, 1)
    no_faults = {"slow": 1.0, "errors": 0.0, "frozen": False, "strip": False, "tail": (0.0, 1.0, None)}
    assert (seen[-1][1], seen[-1][2]) == (no_faults, False) and active_faults.conditions_for(
        "s-jobs-2"
    ) == no_faults


# ---------------------------------------------------------------- settings of a proxy


def test_slatehub_reads_back_what_the_scenario_says(tmp_path: Path) -> None:
    run_scenario = scenario(
        tier=TIERS,
        tenant=[{"name": "big", "share": 3, "allowance": "12/s"}, {"name": "small"}],
        proxy={"attempts": 3, "cancel": False, "retry_after": False, "max_open": 77, "passes_deadline": False,
               "sockets": 500, "memory_mb": 99, "idle_close": "7 s", "over_share_worth": 0.3, "tick": "2 ms"},
        rules={"ask_every": "5 s", "fall_multiple": 2.5, "drain_grace": "2 s"},
    )  # fmt: skip
    nodes = build_nodes(run_scenario, RandomStreams(1))
    proxy = build_proxies(run_scenario, nodes)[3]
    members = [
        proxy_settings.member_entry(node, f"{node.address}:80", "SERVING", 0)
        for node in nodes
        if node.tier == 1
    ]
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            proxy_settings.build_config(run_scenario, proxy, "127.128.0.4:0", "127.0.0.1:99", members, "8c1f")
        )
    )
    read = load_proxy_config({"EDGE_CONFIG": str(path)})
    assert (read.name, read.listen, read.seed) == (proxy.name, ("127.128.0.4", 0), 0x8C1F)
    assert (read.memory_mb, read.sockets, read.max_open, read.conn_idle_us) == (99, 500, 77, 7 * S)
    assert (read.kinds, read.zones) == ({"a": 0, "b": 1}, {proxy_settings.ZONE: 0})
    assert (read.classes, read.accounts) == ({"look": 0, "buy": 1}, {"big": 0, "small": 1})
    buy = ServiceClass("buy", Effect.UNSAFE, Scope.CELL, 0, 2_500_000, 4 * S, 1.0, 0.0, False)
    assert read.settings == Settings(
        classes=(replace(buy, name="look", effect=Effect.SAFE, deadline_us=6 * S), buy),
        tenants=(Tenant("big", 0.75, 12.0), Tenant("small", 0.25, 0.0)),
        me=1, siblings=3, zone=0, tier=1, tiers=2, passes_deadline=False, pushed_discovery=False,
        tick_us=2000, max_attempts=3, may_cancel=False, may_duplicate=True, may_probe=True,
        may_tell_peers=False,
        retry_after=False, max_retry_after_us=2 * S, connect_timeout_us=150_000, over_share_worth=0.3,
        report_columns=("qps", "util"), answer_slack_us=50_000, drain_grace_us=2 * S, ask_every_us=5 * S,
        cold_from=0.3, warm_after_us=9 * S, fall_multiple=2.5, tip_after_us=1_500_000,
    )  # fmt: skip
    assert proxy_settings.build_settings(scenario(), build_proxies(scenario(), nodes)[0])["tenants"] == []
