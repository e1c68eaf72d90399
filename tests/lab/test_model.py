"""Tests of the engine `model`, which simulates a scenario on virtual time. Most tests run a whole scenario."""

from __future__ import annotations

import datetime
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.model_theory import CELLS, MEAN_SERVICE_S, mean_wait, simulate
from paddlestep.balance import Balancer
from slatehub.core.jobs import Answer, AnswerStatus, NodeResponse
from slatelab import records as r
from slatelab.judge import judge
from slatelab.model import run
from slatelab.model.client_listener import ClientListener
from slatelab.model.http_response import http_response
from slatelab.model.network import OrderedChannel
from slatelab.model.node_connections import NodeConnectionPool
from slatelab.model.virtual_clock import VirtualClock
from slatelab.records import digest, order_id
from slatelab.scenario import Scenario, parse

ROOT = Path(__file__).parents[2]
TIMES = {"aim": "1 s", "deadline": "3 s"}
LOOK = {"name": "look", "effect": "safe", "share": 2, **TIMES, "work": {"mean": "15 ms"}}
BUY = {"name": "buy", **TIMES, "work": {"mean": "25 ms"}}
BURSTS: dict[str, Any] = {"arrivals": [{"kind": "burst", "every": "1 s", "size": 40}]}
STEADY: dict[str, Any] = {"arrivals": [{"kind": "steady", "rate": "1/s"}], "network": {"jitter": 0}}
NODES = {"name": "std", "nodes": 4, "cold": {"from": 0.4, "for": "2 s"}}


def scenario_tree(*faults: dict[str, Any], **parts: Any) -> dict[str, Any]:
    return {
        "scenario": {"name": "small", "duration": "8 s"},
        "class": [LOOK, BUY],
        "tier": [{"name": "front", "proxies": 2, "kind": [NODES]}],
        "arrivals": [{"kind": "poisson", "rate": "60/s"}],
        "fault": [{"tier": "front", "at": "3 s", **fault} for fault in faults],
        **parts,
    }


TIERS = [
    {"name": "front", "proxies": 2, "work": 0.5, "calls": 1.5, "kind": [{**NODES, "name": "f"}]},
    {"name": "jobs", "work": 0.5, "kind": [{**NODES, "name": "j"}]},
]


def run_and_judge(scenario: Scenario, seed: int = 1) -> list[r.Record]:
    records = run(scenario, seed, ROOT, None).records
    verdict = judge(scenario, records)
    assert verdict.passed, verdict.violations[0].explain()
    assert [record.t for record in records] == sorted(record.t for record in records)
    return records


def records_of(kind: type[Any], records: list[r.Record], **fields: Any) -> list[Any]:
    return [f for f in records if type(f) is kind and all(getattr(f, k) == v for k, v in fields.items())]


# ---------------------------------------------------------------- reproducible records


EVERYTHING = scenario_tree(
    {"kind": "restart", "tier": "jobs", "nodes": 2, "stagger": "1 s", "grace": "1 s", "for": "500 ms"},
    {"kind": "replace", "nodes": 1, "for": "1 s"},
    {"kind": "reset", "part": 0.3, "share": 1.0, "for": "2 s"},
    {"kind": "black-hole", "tier": "jobs", "nodes": 1, "for": "2 s"},
    {"kind": "freeze", "nodes": 1, "for": "1 s"},
    {"kind": "heavy-tail", "part": 0.05, "factor": 8, "for": "2 s"},
    {"kind": "errors", "nodes": 1, "part": 0.5, "for": "2 s"},
    {"kind": "discovery-lies", "part": 0.5, "for": "1 s"},
    {"kind": "proxy-stop", "nodes": 1, "for": "1 s"},
    {"kind": "proxy-kill", "tier": "jobs", "nodes": 1, "for": "1 s"},
    {"kind": "proxy-reload", "at": "5 s"},
    tier=TIERS, clients={"retries": 2, "patience_least": 0.3},
)  # fmt: skip
SCRIPT = """
import json, sys
from pathlib import Path
from slatelab.model import run
from slatelab.records import digest
from slatelab.scenario import parse
recording = run(parse(json.loads(sys.argv[1])), 1, Path("."), None)
print(digest(recording.records), recording.events)
assert not {"gevent", "asyncio", "httptools"} & set(sys.modules)
"""


def test_scenario_and_seed_give_the_same_bytes_in_any_process() -> None:
    scenario, ticks = parse(EVERYTHING), []
    ours = run(scenario, 1, ROOT, ticks.append)
    for hash_seed in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
        call = [sys.executable, "-c", SCRIPT, json.dumps(EVERYTHING)]
        done = subprocess.run(call, env=env, capture_output=True, text=True, timeout=60, check=True)
        # The child process runs without progress reports, this one with them.
        assert done.stdout.split() == [digest(ours.records), str(ours.events)]
    assert ours.events > len(ours.records)
    assert digest(run(scenario, 2, ROOT, None).records) != digest(ours.records)
    assert [tick.t for tick in ticks[:3]] == [0, 100_000, 200_000]
    last = ticks[-1]
    orders = {order_id(record.request) for record in records_of(r.Asked, ours.records)}
    assert last.served + last.refused + last.failed == last.asked == len(orders)
    assert sum(len(tick.latencies_us) for tick in ticks) == last.served


def test_no_clock_of_this_machine_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    def read(*_: Any) -> Any:
        raise AssertionError("a clock was read")

    names = ("time", "monotonic", "perf_counter", "process_time")
    clocks = [name + end for name in names for end in ("", "_ns")]
    ours = ("slatelab", "slatehub", "paddlestep", "simpy")
    known = {id(getattr(time, name)) for name in clocks}
    for module in [m for name, m in sys.modules.items() if name.partition(".")[0] in ours]:
        for name, value in list(vars(module).items()):
            if id(value) in known:  # bound by "from time import"
                monkeypatch.setattr(module, name, read)
    for name in clocks:
        monkeypatch.setattr(time, name, read)
    clockless_datetime = type("NoClock", (), {"now": read, "utcnow": read, "today": read})
    monkeypatch.setattr(datetime, "datetime", clockless_datetime)
    recording = run(parse(EVERYTHING), 1, ROOT, None)
    monkeypatch.undo()
    assert len(records_of(r.Answered, recording.records)) > 400


# ---------------------------------------------------------------- theory


@pytest.mark.parametrize("name", ["M/M/1", "M/M/4", "M/LN/1 cv 2"])
def test_waits_match_the_exact_recursion(name: str) -> None:
    cell = next(cell for cell in CELLS if cell.name == name and cell.load == 0.8)
    means = simulate(cell, 1, 3000, 0)
    assert means["furthest_us"] <= 1 and means["wait"] > 0.01


def test_the_mean_wait_matches_theory() -> None:
    cell = next(cell for cell in CELLS if cell.name == "M/M/1" and cell.load == 0.5)
    theory = mean_wait(1, cell.rate, MEAN_SERVICE_S, 2 * MEAN_SERVICE_S**2)
    assert theory == pytest.approx(MEAN_SERVICE_S)  # rho / (1 - rho) times the mean work
    assert simulate(cell, 1, 20_000)["wait"] == pytest.approx(theory, rel=0.1)


# ---------------------------------------------------------------- faults


def fault_span(records: list[r.Record]) -> tuple[int, int]:
    return records_of(r.FaultBegan, records)[0].t, records_of(r.FaultEnded, records)[0].t


@pytest.mark.parametrize(("kind", "receives"), [("freeze", True), ("black-hole", False)])
def test_a_silent_node_sends_no_replies_and_recovers(kind: str, receives: bool) -> None:
    fault = {"kind": kind, "names": ["s-front-1"], "at": "3020 ms", "for": "2 s"}
    records = run_and_judge(parse(scenario_tree(fault, **BURSTS)))
    start, end = fault_span(records)
    there = [f for f in records if getattr(f, "node", "") == "s-front-1"]
    meanwhile = Counter(type(f) for f in there if start < f.t < end)
    assert meanwhile[r.Replied] == 0 and bool(meanwhile[r.Came]) is receives
    assert meanwhile[r.Began] == 0 or not receives  # a node in a black hole goes on working
    assert len([f for f in there if f.t > end and type(f) is r.Replied]) > 5  # the node recovers


def test_a_connection_into_a_black_hole_never_comes_up() -> None:
    """So no request sent while the black hole lasts is lost."""
    fault = {"kind": "black-hole", "nodes": 2, "for": "3 s"}
    # Each attempt opens a new connection.
    records = run_and_judge(parse(scenario_tree(fault, proxy={"idle_close": "1 ms"})))
    asked = {f.request for f in records_of(r.Asked, records) if f.t >= 3_000_000}
    ends = [f for f in records_of(r.Answered, records) if f.request in asked]
    assert len(ends) == len(asked) and {f.status for f in ends} == {200}


def test_a_node_that_dies_is_refused_and_comes_back_cold() -> None:
    records = run_and_judge(parse(scenario_tree({"kind": "kill", "names": ["s-front-1"], "for": "2 s"})))
    down, up = records_of(r.Down, records)[0], records_of(r.Up, records, node="s-front-1")[1]
    assert (down.why, down.t, up.t) == ("killed", 3_000_000, 5_000_000)
    assert (up.life, up.cold_from, up.warm_us) == (1, 0.4, 2_000_000)
    came = records_of(r.Came, records, node="s-front-1")
    assert not [c for c in came if down.t <= c.t < up.t] and [c for c in came if c.life == 1]
    gone = records_of(r.Told, records, node="s-front-1", phase="DELETED")
    assert {told_at.proxy for told_at in gone} == {"p-front-1", "p-front-2"}
    assert all(4_000_000 <= told_at.t <= 4_010_000 for told_at in gone)  # discovery.delay later


def test_a_replacement_node_gets_attempts() -> None:
    records = run_and_judge(parse(scenario_tree({"kind": "replace", "names": ["s-front-1"], "for": "1 s"})))
    assert records_of(r.Came, records, node="s-front-1-r1") and not records_of(
        r.Up, records, node="s-front-1", life=1
    )


def test_draining_or_falsely_deleted_nodes_get_no_attempts() -> None:
    records = run_and_judge(parse(scenario_tree({"kind": "drain", "names": ["s-front-1"], "for": "3 s"})))
    told_at = max(f.t for f in records_of(r.Told, records, phase="DRAINING"))
    assert not [c for c in records_of(r.Came, records, node="s-front-1") if c.first > told_at + 1_000]
    records = run_and_judge(parse(scenario_tree({"kind": "discovery-lies", "part": 0.5, "for": "2 s"})))
    start, end = fault_span(records)
    falsely_deleted = {f.node for f in records_of(r.Told, records, phase="DELETED")}
    assert len(falsely_deleted) == 2
    late = [
        c for c in records_of(r.Came, records) if c.node in falsely_deleted and start + 10_000 < c.first < end
    ]
    assert (
        not late and {c.node for c in records_of(r.Came, records) if c.t > end + 500_000} >= falsely_deleted
    )


def test_discovery_that_is_down_is_asked_again_until_it_is_back() -> None:
    down = {"kind": "discovery-down", "tier": "", "for": "3 s"}
    records = run_and_judge(parse(scenario_tree(down, {"kind": "kill", "nodes": 1})))
    asked = [f.t for f in records_of(r.Polled, records) if 3_000_000 <= f.t < 6_000_000]
    assert len(records_of(r.Polled, records)) < 60  # a watch is a long poll
    assert 2 <= len(asked) <= 30 and not [
        f for f in records_of(r.Told, records) if 3_000_000 <= f.t < 6_000_000
    ]
    assert {f.proxy for f in records_of(r.Told, records, phase="DELETED")} == {"p-front-1", "p-front-2"}


def test_reset_connections_lose_only_unsafe_work_in_progress() -> None:
    """Connections are reset once per second. The unsafe orders in progress at that time are lost, and no others."""
    fault, total = {"kind": "reset", "share": 1.0, "at": "3020 ms", "for": "3 s"}, set()
    resets = (3_020_000, 4_020_000, 5_020_000)
    for seed in range(1, 7):
        records = run_and_judge(parse(scenario_tree(fault, **BURSTS)), seed)
        came = {f.request: f.t for f in reversed(records_of(r.Came, records))}
        answered = {f.request: f.t for f in records_of(r.Answered, records)}
        lost = {f.request for f in records_of(r.Answered, records) if f.status == 500}
        unsafe = {f.request for f in records_of(r.Asked, records, cls="buy")}
        assert lost <= unsafe and {answered[q] // 1_000_000 for q in lost} <= {3, 4, 5}
        for at in resets:  # a request in transit at that time may or may not have arrived
            work = {q for q in unsafe if came.get(q, at) < at - 1_000 and answered.get(q, at) > at + 1_000}
            gone = {q for q in lost if at <= answered[q] < at + 1_000_000}
            assert work <= gone and all(came.get(q, at) <= at + 2_000 for q in gone)
            total |= {(seed, at, q) for q in gone}
    assert {at for _, at, _ in total} == set(resets) and len(total) > 30


def test_a_proxy_that_is_killed() -> None:
    fault = {"kind": "proxy-kill", "names": ["p-front-1"], "at": "3020 ms", "for": "1 s"}
    records = run_and_judge(parse(scenario_tree(fault, **BURSTS)))
    assert [f.why for f in records_of(r.ProxyDown, records)] == ["killed"]
    up = records_of(r.ProxyUp, records, proxy="p-front-1")
    assert [f.t for f in up] == [0, 4_420_000]
    asked = records_of(r.Asked, records, proxy="p-front-1")
    assert not [f for f in asked if 3_020_000 < f.t < 4_420_000] and [f for f in asked if f.t > 4_420_000]
    lost = records_of(r.BrokenOff, records)
    # A refused connection is retried on the other proxy.
    assert lost and all(f.sent and f.t < 3_030_000 for f in lost)


def test_a_planned_stop_loses_nothing() -> None:
    fault = {"kind": "proxy-stop", "names": ["p-front-1"], "at": "2999600 us", "for": "500 ms"}
    # A burst arrives while idle connections are being closed.
    records = run_and_judge(parse(scenario_tree(fault, **BURSTS)))
    assert not records_of(r.BrokenOff, records) and not records_of(r.GaveUp, records)
    assert {f.status for f in records_of(r.Answered, records)} <= {200, 503}
    planned, exited = records_of(r.ProxyDown, records)
    assert (planned.why, planned.t, exited.why) == ("planned", 2_999_600, "exited")
    assert exited.t == 2_999_600 + 3_550_000  # keeps serving until shortly before SIGKILL could come
    ours = records_of(r.Asked, records, proxy="p-front-1")
    assert len([f for f in ours if 2_999_600 < f.t < 3_299_600]) > 10  # the balancer notices the stop late
    assert records_of(r.ProxyUp, records, proxy="p-front-1")[1].t == exited.t + 400_000


def test_a_reload_reaches_the_module(monkeypatch: pytest.MonkeyPatch) -> None:
    adopted = []
    monkeypatch.setattr(Balancer, "apply_settings", lambda self, settings: adopted.append(settings.me))
    run_and_judge(parse(scenario_tree({"kind": "proxy-reload"})))
    assert sorted(adopted) == [0, 1]


def test_a_nodes_own_proxy_lives_and_dies_with_it() -> None:
    scenario = parse(scenario_tree({"kind": "kill", "names": ["s-front-1"], "for": "2 s"}, tier=TIERS))
    records = run_and_judge(scenario)
    down, up = records_of(r.Down, records)[0], records_of(r.Up, records, node="s-front-1", life=1)[0]
    assert [(f.proxy, f.t) for f in records_of(r.ProxyDown, records)] == [("p-jobs-1", down.t)]
    assert records_of(r.ProxyUp, records, proxy="p-jobs-1")[1].t == up.t
    calls = [f for f in records_of(r.Asked, records, caller="s-front-1")]
    assert calls and all(f.proxy == "p-jobs-1" and f.tier == 1 for f in calls)
    assert not [f for f in calls if down.t <= f.t < up.t] and [f for f in calls if f.t > up.t]


def test_work_left_on_nodes_is_simulated_to_its_end() -> None:
    """Clients give up after 60 ms, and the nodes' calls for them go on, as they carry no deadline."""
    slow = {**BUY, "work": {"mean": "300 ms"}}
    habits = {"clients": {"patience": 0.02}, "proxy": {"passes_deadline": False}}
    records = run_and_judge(parse(scenario_tree(tier=TIERS, **{**STEADY, "class": [slow], **habits})))
    last = max(f.t for f in records if getattr(f, "request", "/").count("/") == 0)
    assert [f for f in records_of(r.Answered, records) if f.t > last + 50_000]
    assert not [f for f in records_of(r.GaveUp, records) if "/" in f.request]


# ---------------------------------------------------------------- connections


def test_a_used_connection_holds_the_last_byte_back() -> None:
    one = [{"name": "front", "kind": [{**NODES, "nodes": 1}]}]
    came = records_of(r.Came, run_and_judge(parse(scenario_tree(**STEADY, tier=one))))
    assert [c.t - c.first for c in came] == [0] + [2_000] * 7
    shorter = {"idle_close": "1200 ms"}  # closed after 960 ms idle, so each order needs a new connection
    came = records_of(r.Came, run_and_judge(parse(scenario_tree(**STEADY, tier=one, proxy=shorter))))
    assert [c.t - c.first for c in came] == [0] * 8


def test_an_attempt_is_resent_if_its_connection_breaks_before_the_last_byte() -> None:
    """This holds for unsafe work too, as the node can't have started it."""
    buys = {**STEADY, "class": [BUY], "tier": [{"name": "front", "kind": [{**NODES, "nodes": 2}]}]}
    came = records_of(r.Came, run_and_judge(parse(scenario_tree(**buys))))
    used = next(c for c in came[1:] if c.t - c.first == 2_000)
    for early, statuses in ((1_000, {200}), (-1_000, {200, 500})):  # before its last byte arrives, and after
        at = f"{used.t - early} us"
        records = run_and_judge(
            parse(scenario_tree({"kind": "kill", "names": [used.node], "at": at}, **buys))
        )
        assert {f.status for f in records_of(r.Answered, records)} == statuses


def test_a_proxy_keeps_to_its_share_of_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    limits, open_now, connect = [], [], NodeConnectionPool.connect

    def counted(self: NodeConnectionPool, *args: Any) -> Any:
        connection = connect(self, *args)
        limits.append(self.max_connections)
        open_now.append(self.open_connections)
        return connection

    monkeypatch.setattr(NodeConnectionPool, "connect", counted)
    wide = [{"name": "front", "kind": [{**NODES, "nodes": 30}]}]
    run_and_judge(
        parse(
            scenario_tree(tier=wide, proxy={"sockets": 64}, arrivals=[{"kind": "poisson", "rate": "300/s"}])
        )
    )
    assert set(limits) == {13} and max(open_now) == 13 and len(open_now) > 100


def test_a_full_listener_closes_an_idle_connection_for_a_waiting_one() -> None:
    """Closing the idle one admitted the waiting one, and the listener then took another from the empty queue."""
    proxy = Mock()
    proxy.suspension.active = False
    listener = ClientListener(proxy, max_connections=1)
    idle, waiting = (Mock(idle=True, unread_request=None) for _ in range(2))
    listener.connection_requested(idle)
    listener.connection_requested(waiting)
    assert list(listener.connections) == [waiting] and not idle.open_at_proxy


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 500), st.integers(0, 500)), min_size=1))
def test_messages_of_a_channel_arrive_in_order(sent: list[tuple[int, int]]) -> None:
    clock, arrived, delays = VirtualClock(), [], iter([delay for _, delay in sent])
    channel = OrderedChannel(clock, lambda: next(delays))
    at = 0
    for n, (gap, _) in enumerate(sent):
        at += gap
        clock.call_at(at, lambda n=n: channel.send(arrived.append, n))
    clock.run()
    assert arrived == list(range(len(sent)))


# ---------------------------------------------------------------- the direct baseline, and the real proxy


def test_direct_dispatch_has_no_limit_and_no_retry() -> None:
    small = [{"name": "front", "kind": [{"name": "std", "nodes": 1, "slots": 1, "waiting": 1}]}]
    scenario = parse(scenario_tree(tier=small, proxy={"kind": "direct"}, clients={"retries": 1}))
    records = run(scenario, 1, ROOT, None).records
    attempts = Counter(c.request for c in records_of(r.Came, records))
    assert set(attempts.values()) == {1} and len(attempts) == len(records_of(r.Asked, records))
    turned = {f.request for f in records_of(r.Replied, records, turned=True)}
    # The second attempt is the client's retry.
    assert {f.attempt for f in records_of(r.Asked, records)} == {0, 1}
    assert len(turned) > 50 and turned == {f.request for f in records_of(r.Answered, records, status=503)}


def test_constants_and_responses_match_those_of_the_proxy() -> None:
    """The engine mirrors constants of the proxy: it can't import them, as the proxy's modules load sockets."""
    node_list = pytest.importorskip("slatehub.discovery.node_list")
    from slatehub.drivers import upstream
    from slatehub.fronts.http1 import caller_connection, server
    from slatehub.nodes import http1
    from slatelab.model import client_listener, discovery_client, node_connections, proxy

    assert (discovery_client.WATCH_TIMEOUT_US, discovery_client.WATCH_DEADLINE_US) == (
        node_list.WATCH_TIMEOUT_MS * 1000,
        node_list.WATCH_DEADLINE_US,
    )
    assert (node_connections.LAST_BYTE_DELAY_US, node_connections.IDLE_CLOSE_MARGIN_US) == (
        upstream.LAST_BYTE_DELAY_S * 1e6,
        http1.IDLE_CLOSE_MARGIN_US,
    )
    assert client_listener.KEEP_ALIVE_US == caller_connection.KEEP_ALIVE_US
    assert proxy.DEADLINE_MARGIN_US == caller_connection.DELIVERY_MARGIN_US
    for answer in (
        *map(Answer, (AnswerStatus.FAILED, AnswerStatus.DEADLINE_EXCEEDED)),
        Answer(AnswerStatus.REFUSED, None, 1_234_567),
    ):
        status, extra, *_ = server.CallerConnection._format_answer(None, answer)
        assert http_response(answer) == (status, "", round(float(extra.partition(": ")[2] or 0) * 1e6))
    assert (
        server.CallerConnection._format_answer(None, Answer(AnswerStatus.SERVED, NodeResponse(b"x", "")))[0]
        == 200
    )
    assert http_response(Answer(AnswerStatus.SERVED, "token")) == (200, "token", 0)
