"""The first seconds after trouble ends: the module alone, step by step, and whole days of the lab on virtual time, with
the real desk and module of every proxy. Each day is laid before the judge."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from audit import at_rest
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
    """A sidecar that has been at work for a while, two calls at a time."""
    d = Driver(settings(**COLD, **more), servers=servers)
    for n in range(1, 2 * calls, 2):
        d.ask(n)
        d.ask(n + 1)
        d.now += 20 * MS
        d.end(n)
        d.end(n + 1)
    return d


def dies(d: Driver, first: int, endpoint: int = 1) -> None:
    """Its calls break until it is taken for dead."""
    for n in range(first, first + 40, 2):
        out = sends(d.ask(n)) + sends(d.ask(n + 1))
        d.now += 5 * MS
        for a in out:
            d.end(a.request, Status.RESET if a.endpoint == endpoint else Status.OK, latency=5 * MS)
        if d.balancer.servers[endpoint].down:
            return
    raise AssertionError("never taken for dead")


def pairs(d: Driver, first: int, us: int, width: int = 2) -> list[tuple[int, int]]:
    """`width` calls at a time, all served within 10 ms: (since then, endpoint) of each."""
    start, out, flying = d.now, [], []
    for n in range(first, first + width * us // (10 * MS), width):
        flying += [a for i in range(width) for a in sends(d.ask(n + i))] + sends(d.wait(10 * MS))
        out += [(d.now - start, a.endpoint) for a in flying]
        ends = [Outcome(a.request, 0, a.endpoint, Status.OK, 10 * MS, True) for a in flying]
        flying = sends(d.give(*ends))
    return out


def test_a_server_long_at_work_that_comes_back_cold_is_used_within_its_budget() -> None:
    d = worked()
    dies(d, 1001)
    came = [t for t, endpoint in pairs(d, 5001, 9 * S) if endpoint == 1]
    assert came and came[0] < 2 * S, "nothing for seconds, though it could do a third and more"
    # Half the budget of a cold one: no window of tip_after holds more than that and the one call it may have at once.
    mean = d.balancer.mean
    for t in came:
        window = [x for x in came if t - COLD["tip_after_us"] < x <= t]
        present = 0.3 + 0.7 * min(1.0, (t + S) / COLD["warm_after_us"])
        assert len(window) <= 3.0 * present * COLD["tip_after_us"] / min(mean, 10 * MS) + 1


def test_a_start_told_for_a_time_to_come_does_not_leave_a_server_cold_for_ever() -> None:
    d = Driver(settings(**COLD), servers=[Entry(1, since_us=10**15), Entry(2)])
    d.wait(10 * S)
    d.ask(1)
    assert d.balancer.capacity(d.balancer.servers[1]) == 1.0
    d.give(ListUpdate(ListKind.DELTA, 2, (Entry(1, since_us=10**15),)))  # told again, it is no other start
    assert d.balancer.capacity(d.balancer.servers[1]) == 1.0


@pytest.mark.parametrize("servers", [4, 90])
def test_ejections_do_not_outlive_the_servers_that_made_them_harmless(servers: int) -> None:
    d = worked(servers)
    for n in range(1, servers // 2 + 1):
        s = d.balancer.servers[n]
        s.bad, s.strikes, s.ejected = 0.6, 4, d.now + 8 * S
    d.balancer.deal(d.balancer.ready)
    d.give(
        ListUpdate(
            ListKind.DELTA, 2, tuple(Entry(n, State.GONE) for n in range(servers // 2 + 1, servers + 1))
        )
    )
    assert sends(d.ask(9001)), "refused or held while half-open servers stand idle"
    assert d.balancer.out_count == 0


def test_a_cold_share_of_nothing_stops_no_decision() -> None:
    d = Driver(settings(**COLD | {"cold_from": 0.0}), servers=2)
    d.serve(1, 30)
    d.balancer.servers[1].down, d.balancer.servers[1].credit = d.now, 2.0
    d.balancer.servers[2].ejected = d.now + S
    assert sends(d.ask(100))


def test_a_slot_of_short_work_given_up_on_is_not_held_as_long_as_one_of_long_work() -> None:
    light = ServiceClass("light", Effect.SAFE, aim_us=S, deadline_us=2 * S)
    d = Driver(settings(SAFE, light, tiers=3), servers=1)
    b = d.balancer
    b.means, b.counts, b.bases, b.count, b.mean = (
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
    assert s.held(d.now) == 2 and s.held(d.now + 30 * MS) == 1 and s.held(d.now + 500 * MS) == 0


def test_a_slowness_long_past_neither_hides_silence_nor_takes_room() -> None:
    d = worked()
    b, s = d.balancer, d.balancer.servers[1]
    room = b.room(S)
    s.slow, s.seen = 10.0, d.now
    b.refresh(s)
    assert b.room(S) < 0.7 * room
    d.wait(60 * S)
    (call,) = (a for n in (5001, 5002) for a in sends(d.ask(n)) if a.endpoint == 1)
    request = b.requests[call.request]
    assert request.late - d.now <= 4.1 * b.expected(0), "silence would be noticed ten times as late"
    b.refresh(s)
    assert b.room(S) > 0.9 * room


def test_an_old_lifes_late_outcomes_change_nothing_of_the_new_one() -> None:
    d = worked()
    out = [a for n in range(2001, 2005) for a in sends(d.ask(n)) if a.endpoint == 1]
    assert out
    d.give(ListUpdate(ListKind.DELTA, 2, (Entry(1, since_us=d.now),)))
    new = d.balancer.servers[1]
    before = (new.flights, new.slow, new.bad, new.broke, new.down, new.warm, new.strikes, len(new.ghosts))
    for a, status in zip(out, (Status.TIMEOUT, Status.RESET, Status.ERROR, Status.OK), strict=False):
        d.give(Outcome(a.request, 0, 1, status, 900 * MS, True))
    assert (
        new.flights,
        new.slow,
        new.bad,
        new.broke,
        new.down,
        new.warm,
        new.strikes,
        len(new.ghosts),
    ) == before


def test_ejection_ends_and_what_fails_again_at_once_is_left_out_for_longer() -> None:
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
            if bad.ejected > d.now:
                break
        lengths.append(bad.ejected - d.now)
        assert b.out_count == 1
        d.wait(bad.ejected - d.now)  # it ends, and half-open it fails again
        assert b.out_count == 0
    assert lengths[1] > 1.2 * lengths[0]
    assert {endpoint for _, endpoint in pairs(d, 8001, 8 * S, width=4)} == set(b.servers)
    assert bad.strikes == 0 and bad.bad < 0.125 and b.limit(bad) == b.limit(b.servers[2])


def test_after_an_ejection_a_bad_server_gets_one_call_at_a_time() -> None:
    d = worked(tiers=3)
    b, bad = d.balancer, d.balancer.servers[1]
    assert b.limit(bad) > 1
    bad.bad, bad.strikes = 0.4, 1
    out = [a.endpoint for n in range(5001, 5007) for a in sends(d.ask(n))]
    assert out.count(1) == 1 and out.count(2) > 1


def test_one_answer_out_of_proportion_makes_no_server_slow() -> None:
    d = worked()
    b, s = d.balancer, d.balancer.servers[1]
    mean = b.expected(0)
    (call,) = (a for n in (5001, 5002) for a in sends(d.ask(n)) if a.endpoint == 1)
    d.give(Outcome(call.request, 0, 1, Status.OK, 2 * S, True))
    assert s.slow < 1.6 and b.expected(0) < 1.1 * mean


# ---------------------------------------------------------------- days of the lab

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
ENDED, CALM, LAST = 8_500_000, 12 * S, 16 * S  # trouble is over; all is as before at the latest; arrivals end


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
        "arrivals": [{"kind": "poisson", "rate": "55/s"}],  # a third of what the four can do
    })  # fmt: skip


@pytest.mark.parametrize("name", TROUBLES)
@pytest.mark.parametrize("seed", [1, 2])
def test_after_trouble_everybody_is_served_again(
    name: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    idle: list[tuple[int, int]] = []  # refused or failed unsent, while so many servers stood idle with room
    finish = Balancer.finish

    def looked(module: Balancer, request: Any) -> None:
        room = sum(module.usable(s) and not s.held(module.now) for s in module.ready)
        pointless = request.drop and module.now >= request.drop  # it waited as long as it could be in time
        if room and not request.attempts and not pointless:
            idle.append((module.now, room))
        finish(module, request)

    monkeypatch.setattr(Balancer, "finish", looked)
    day = scenario(TROUBLES[name])
    play = Simulation(day, seed, Path(), None)
    desks: list[Any] = []
    seen: dict[str, int] = {}

    def look() -> None:
        """Late in the day: no node is left out, slots are whole, every one may have a call."""
        for post in play.context.proxy_supervisors.values():
            assert post.proxy
            desks.append(post.proxy.dispatcher)
            module = post.proxy.dispatcher.balancer
            assert len(module.ready) == 4 and all(module.limit(s) >= 1 for s in module.ready)
            assert not [s for s in module.ready if s.ejected > module.now or s.strikes > 1], "still ejected"
            assert module.slots > 0.9 * sum(module.share(s) for s in module.ready)
            seen["looked"] = seen.get("looked", 0) + 1

    play.context.clock.call_at(LAST - 500 * MS, look)
    play.run()
    facts = play.context.records
    assert seen == {"looked": 2}
    ruling = judge(day, facts)
    assert ruling.passed, "\n".join(v.explain() for v in ruling.violations[:2])
    asked = {f.request: f.t for f in facts if isinstance(f, r.Asked)}
    late = [f for f in facts if isinstance(f, r.Answered) and asked[f.request] > CALM]
    assert len(late) > 150 and [f for f in late if f.status != 200] == []
    works = {(f.node, f.life) for f in facts if isinstance(f, r.Began) and f.t > CALM}
    assert len({node for node, _ in works}) == 4, "a node gets nothing any more"
    calm = [t for t, _ in idle if t - EPOCH_UNIX_US > ENDED]
    assert not calm, f"{len(calm)} refused while servers stood idle"
    for desk in desks:
        at_rest(desk)
