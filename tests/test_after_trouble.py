"""The first seconds after faults end: the decision module alone, step by step, and whole scenarios of the lab on
virtual time with the real dispatcher and decision module of every proxy. The lab's judge checks each scenario."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from audit import assert_idle
from helpers import MS, SAFE, Driver, S, sends, settings

from paddlestep import Effect, Entry, ListKind, ListUpdate, Outcome, ServiceClass, State, Status
from paddlestep.balance import Balancer
from slatelab import records as r
from slatelab.judge import judge
from slatelab.model.run import Simulation
from slatelab.model.world import EPOCH_UNIX_US
from slatelab.scenario import Scenario, parse

COLD: dict[str, Any] = {
    "cold_from": 0.3,
    "warm_after_us": 9 * S,
    "fall_multiple": 3.0,
    "tip_after_us": 1500 * MS,
}


def worked(servers: int = 2, calls: int = 300, **more: Any) -> Driver:
    """A sidecar that has served many calls, two at a time."""
    d = Driver(settings(**COLD, **more), servers=servers)
    for n in range(1, 2 * calls, 2):
        d.ask(n)
        d.ask(n + 1)
        d.now += 20 * MS
        d.end(n)
        d.end(n + 1)
    return d


def reset_until_presumed_dead(d: Driver, first: int, endpoint: int = 1) -> None:
    """Resets the calls to a server until it is presumed dead."""
    for n in range(first, first + 40, 2):
        out = sends(d.ask(n)) + sends(d.ask(n + 1))
        d.now += 5 * MS
        for a in out:
            d.end(a.request, Status.RESET if a.endpoint == endpoint else Status.OK, latency=5 * MS)
        if d.balancer.servers[endpoint].presumed_dead_at:
            return
    raise AssertionError("never presumed dead")


def serve_in_rounds(d: Driver, first: int, us: int, width: int = 2) -> list[tuple[int, int]]:
    """Serves `width` calls at a time within 10 ms each. Returns (time since the start, endpoint) of each."""
    start, out, flying = d.now, [], []
    for n in range(first, first + width * us // (10 * MS), width):
        flying += [a for i in range(width) for a in sends(d.ask(n + i))] + sends(d.wait(10 * MS))
        out += [(d.now - start, a.endpoint) for a in flying]
        ends = [Outcome(a.request, 0, a.endpoint, Status.OK, 10 * MS, True) for a in flying]
        flying = sends(d.give(*ends))
    return out


def test_a_long_used_server_that_comes_back_cold_is_used_within_its_slow_start_credit() -> None:
    d = worked()
    reset_until_presumed_dead(d, 1001)
    came = [t for t, endpoint in serve_in_rounds(d, 5001, 9 * S) if endpoint == 1]
    assert came and came[0] < 2 * S, "no calls for seconds, although it has a third of its capacity"
    # Half the limit of a cold server: no window of tip_after_us holds more than that and one call more.
    mean = d.balancer.service_us
    for t in came:
        window = [x for x in came if t - COLD["tip_after_us"] < x <= t]
        present = 0.3 + 0.7 * min(1.0, (t + S) / COLD["warm_after_us"])
        assert len(window) <= 3.0 * present * COLD["tip_after_us"] / min(mean, 10 * MS) + 1


def test_a_start_announced_for_the_future_does_not_leave_a_server_cold_for_ever() -> None:
    d = Driver(settings(**COLD), servers=[Entry(1, since_us=10**15), Entry(2)])
    d.wait(10 * S)
    d.ask(1)
    assert d.balancer.capacity(d.balancer.servers[1]) == 1.0
    d.give(
        ListUpdate(ListKind.DELTA, 2, (Entry(1, since_us=10**15),))
    )  # announced again, it is the same start
    assert d.balancer.capacity(d.balancer.servers[1]) == 1.0


@pytest.mark.parametrize("servers", [4, 90])
def test_ejections_end_when_the_healthy_servers_are_gone(servers: int) -> None:
    d = worked(servers)
    for n in range(1, servers // 2 + 1):
        s = d.balancer.servers[n]
        s.error_score, s.ejection_count, s.ejected_until = 0.6, 4, d.now + 8 * S
    d.balancer.assign_subsets(d.balancer.ready)
    d.give(
        ListUpdate(
            ListKind.DELTA, 2, tuple(Entry(n, State.GONE) for n in range(servers // 2 + 1, servers + 1))
        )
    )
    assert sends(d.ask(9001)), "refused or queued while half-open servers are idle"
    assert d.balancer.ejected_count == 0


def test_a_cold_capacity_of_zero_does_not_fail_a_decision() -> None:
    d = Driver(settings(**COLD | {"cold_from": 0.0}), servers=2)
    d.serve(1, 30)
    d.balancer.servers[1].presumed_dead_at, d.balancer.servers[1].slow_start_credit = d.now, 2.0
    d.balancer.servers[2].ejected_until = d.now + S
    assert sends(d.ask(100))


def test_the_slot_of_an_abandoned_call_stays_occupied_as_long_as_its_class_needs() -> None:
    light = ServiceClass("light", Effect.SAFE, aim_us=S, deadline_us=2 * S)
    d = Driver(settings(SAFE, light, tiers=3), servers=1)
    b = d.balancer
    b.class_service_us, b.class_samples, b.class_baseline_us, b.samples, b.service_us = (
        [400 * MS, 20 * MS],
        [9, 9],
        [400 * MS, 20 * MS],
        18,
        100 * MS,
    )
    (s,) = b.servers.values()
    for request, cls in ((1, 0), (2, 1)):
        d.ask(request, cls)
        d.end(request, Status.TIMEOUT, latency=S, over=True)
    assert (
        s.occupancy(d.now) == 2 and s.occupancy(d.now + 30 * MS) == 1 and s.occupancy(d.now + 500 * MS) == 0
    )


def test_a_slowness_long_past_neither_delays_overdue_calls_nor_reduces_admission() -> None:
    d = worked()
    b, s = d.balancer, d.balancer.servers[1]
    room = b.admission_limit(S)
    s.slowness_estimate, s.slowness_at = 10.0, d.now
    b.refresh_sums(s)
    assert b.admission_limit(S) < 0.7 * room
    d.wait(60 * S)
    (call,) = (a for n in (5001, 5002) for a in sends(d.ask(n)) if a.endpoint == 1)
    request = b.requests[call.request]
    assert request.overdue_at - d.now <= 4.1 * b.expected_service_us(0), (
        "a missing answer would be noticed ten times as late"
    )
    b.refresh_sums(s)
    assert b.admission_limit(S) > 0.9 * room


def test_late_outcomes_from_before_a_restart_do_not_change_the_new_server() -> None:
    d = worked()
    out = [a for n in range(2001, 2005) for a in sends(d.ask(n)) if a.endpoint == 1]
    assert out
    d.give(ListUpdate(ListKind.DELTA, 2, (Entry(1, since_us=d.now),)))
    new = d.balancer.servers[1]
    before = (
        new.in_flight,
        new.slowness_estimate,
        new.error_score,
        new.last_reset_at,
        new.presumed_dead_at,
        new.idle_connections,
        new.ejection_count,
        len(new.abandoned_calls),
    )
    for a, status in zip(out, (Status.TIMEOUT, Status.RESET, Status.ERROR, Status.OK), strict=False):
        d.give(Outcome(a.request, 0, 1, status, 900 * MS, True))
    assert (
        new.in_flight,
        new.slowness_estimate,
        new.error_score,
        new.last_reset_at,
        new.presumed_dead_at,
        new.idle_connections,
        new.ejection_count,
        len(new.abandoned_calls),
    ) == before


def test_ejection_ends_and_is_longer_for_a_server_that_fails_again_at_once() -> None:
    d = worked(servers=4)
    b, bad = d.balancer, d.balancer.servers[1]
    lengths = []
    for first in (3001, 5001):
        for n in range(first, first + 400, 4):
            out = [a for i in range(4) for a in sends(d.ask(n + i))]
            d.now += 2 * MS
            for a in out:
                status = Status.ERROR if a.endpoint == 1 else Status.OK
                d.give(Outcome(a.request, 0, a.endpoint, status, 2 * MS, True))
            if bad.ejected_until > d.now:
                break
        lengths.append(bad.ejected_until - d.now)
        assert b.ejected_count == 1
        d.wait(bad.ejected_until - d.now)  # the ejection ends, and the half-open server fails again
        assert b.ejected_count == 0
    assert lengths[1] > 1.2 * lengths[0]
    assert {endpoint for _, endpoint in serve_in_rounds(d, 8001, 8 * S, width=4)} == set(b.servers)
    assert (
        bad.ejection_count == 0
        and bad.error_score < 0.125
        and b.concurrency_limit(bad) == b.concurrency_limit(b.servers[2])
    )


def test_after_an_ejection_a_bad_server_gets_one_call_at_a_time() -> None:
    d = worked(tiers=3)
    b, bad = d.balancer, d.balancer.servers[1]
    assert b.concurrency_limit(bad) > 1
    bad.error_score, bad.ejection_count = 0.4, 1
    out = [a.endpoint for n in range(5001, 5007) for a in sends(d.ask(n))]
    assert out.count(1) == 1 and out.count(2) > 1


def test_one_very_late_answer_does_not_make_a_server_slow() -> None:
    d = worked()
    b, s = d.balancer, d.balancer.servers[1]
    mean = b.expected_service_us(0)
    (call,) = (a for n in (5001, 5002) for a in sends(d.ask(n)) if a.endpoint == 1)
    d.give(Outcome(call.request, 0, 1, Status.OK, 2 * S, True))
    assert s.slowness_estimate < 1.6 and b.expected_service_us(0) < 1.1 * mean


# ---------------------------------------------------------------- scenarios of the lab

FOR = "4 s"
TROUBLES: dict[str, list[dict[str, Any]]] = {
    "slow one": [{"kind": "slow", "factor": 10, "nodes": 1}],
    "slow all": [{"kind": "slow", "factor": 6, "share": "100 %"}],
    "errors one": [{"kind": "errors", "part": 0.9, "nodes": 1}],
    "errors all": [{"kind": "errors", "part": 0.6, "share": "100 %"}],
    "frozen half": [{"kind": "freeze", "nodes": 2}],
    "frozen all": [{"kind": "freeze", "share": "100 %"}],
    "cut off one": [{"kind": "black-hole", "nodes": 1}],
    "cut off all": [{"kind": "black-hole", "share": "100 %"}],
    "killed half": [{"kind": "kill", "nodes": 2}],
    "killed all": [{"kind": "kill", "share": "100 %"}],
    "connections reset": [{"kind": "reset", "part": 0.7, "share": "100 %"}],
    "restarted in turn": [{"kind": "restart", "nodes": 3, "stagger": "1 s", "grace": "500 ms", "for": "1 s"}],
    "replaced": [{"kind": "replace", "nodes": 2}],
    "list silent": [{"kind": "discovery-down"}],
    "list wrong": [{"kind": "discovery-lies", "part": 0.5}],
    "settings reread": [{"kind": "proxy-reload", "share": "100 %"}, {"kind": "kill", "nodes": 1}],
    "proxy killed": [{"kind": "proxy-kill", "nodes": 1}],
    "again at once": [
        {"kind": "slow", "factor": 10, "nodes": 2, "name": "first", "for": "2 s"},
        {"kind": "slow", "factor": 10, "nodes": 2, "after": "first", "at": "200 ms", "for": "2 s"},
    ],
    "dead again at once": [
        {"kind": "kill", "nodes": 2, "name": "first", "for": "1500 ms"},
        {"kind": "kill", "nodes": 2, "after": "first", "at": "500 ms", "for": "1500 ms"},
    ],
}  # fmt: skip
ENDED, CALM, LAST = 8_500_000, 12 * S, 16 * S  # faults are over; recovery must be complete; arrivals end


def scenario(trouble: list[dict[str, Any]]) -> Scenario:
    faults = [{"tier": "front", "for": FOR} | ({} if "after" in f else {"at": "4 s"}) | f for f in trouble]
    classes = [
        {
            "name": "look",
            "effect": "safe",
            "share": 3,
            "aim": "800 ms",
            "deadline": "3 s",
            "work": {"mean": "20 ms"},
        },
        {"name": "buy", "share": 2, "aim": "800 ms", "deadline": "3 s", "work": {"mean": "30 ms"}},
    ]
    kind = {"name": "std", "nodes": 4, "cold": {"from": 0.3, "for": "3 s"}}
    return parse({
        "scenario": {"name": "after-trouble", "duration": "16 s"}, "class": classes, "fault": faults,
        "tier": [{"name": "front", "proxies": 2, "kind": [kind]}],
        "arrivals": [{"kind": "poisson", "rate": "55/s"}],  # a third of the capacity of the four
    })  # fmt: skip


@pytest.mark.parametrize("name", TROUBLES)
@pytest.mark.parametrize("seed", [1, 2])
def test_after_faults_all_requests_are_served_again(
    name: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    idle: list[
        tuple[int, int]
    ] = []  # time of each unsent refusal or failure, and the idle usable servers then
    finish = Balancer.finish_unserved

    def looked(module: Balancer, request: Any) -> None:
        room = sum(module.usable(s) and not s.occupancy(module.now) for s in module.ready)
        # It waited until an answer could no longer be in time.
        pointless = request.queue_deadline and module.now >= request.queue_deadline
        if room and not request.attempts and not pointless:
            idle.append((module.now, room))
        finish(module, request)

    monkeypatch.setattr(Balancer, "finish_unserved", looked)
    parsed_scenario = scenario(TROUBLES[name])
    simulation = Simulation(parsed_scenario, seed, Path(), None)
    dispatchers: list[Any] = []
    seen: dict[str, int] = {}

    def check_modules() -> None:
        """Near the end: no node is ejected, the slots are complete and each node may have a call."""
        for post in simulation.context.proxy_supervisors.values():
            assert post.proxy
            dispatchers.append(post.proxy.dispatcher)
            module = post.proxy.dispatcher.balancer
            assert len(module.ready) == 4 and all(module.concurrency_limit(s) >= 1 for s in module.ready)
            assert not [s for s in module.ready if s.ejected_until > module.now or s.ejection_count > 1], (
                "still ejected"
            )
            assert module.slots > 0.9 * sum(module.concurrency_share(s) for s in module.ready)
            seen["looked"] = seen.get("looked", 0) + 1

    simulation.context.clock.call_at(LAST - 500 * MS, check_modules)
    simulation.run()
    facts = simulation.context.records
    assert seen == {"looked": 2}
    ruling = judge(parsed_scenario, facts)
    assert ruling.passed, "\n".join(v.explain() for v in ruling.violations[:2])
    asked = {f.request: f.t for f in facts if isinstance(f, r.Asked)}
    late = [f for f in facts if isinstance(f, r.Answered) and asked[f.request] > CALM]
    assert len(late) > 150 and [f for f in late if f.status != 200] == []
    works = {(f.node, f.life) for f in facts if isinstance(f, r.Began) and f.t > CALM}
    assert len({node for node, _ in works}) == 4, "a node gets nothing any more"
    calm = [t for t, _ in idle if t - EPOCH_UNIX_US > ENDED]
    assert not calm, f"{len(calm)} refused while servers were idle"
    for dispatcher in dispatchers:
        assert_idle(dispatcher)
