"""NodeSimulator against results calculated by hand, and invariants of its states under random steps."""

from __future__ import annotations

import random
from itertools import accumulate
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from slatelab.plant.fleet import NodeSpec
from slatelab.plant.node import (
    DownstreamCall,
    NodeCrashed,
    NodeOutput,
    NodeRequest,
    NodeSimulator,
    Reply,
    WorkStarted,
)
from slatelab.scenario import parse

MS, S = 1_000, 1_000_000
SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=200, stateful_step_count=40)
COLD = {"from": 0.2, "for": "8 s"}


class NodeDriver:
    """A node and the clock that drives it: `log` has its outputs with the time at which they were returned."""

    def __init__(self, new: bool = False, speed: float = 1.0, calls: float = 0, **kind: Any) -> None:
        front = {"name": "front", "calls": calls, "kind": [{"name": "f", "nodes": 1, **kind}]}
        self.scenario = parse({
            "scenario": {"name": "x", "duration": "60 s"}, "arrivals": [{"kind": "steady", "rate": "1/s"}],
            "class": [{"name": name, "work": {"mean": "10 ms"}, "deadline": "5 s"} for name in "ab"],
            "tier": [front, *([{"name": "back", "kind": [{"name": "b", "nodes": 1}]}] if calls else [])],
        })  # fmt: skip
        spec = NodeSpec("s-front-1", 0, self.scenario.tiers[0].kind[0], speed, "127.16.0.1")
        self.node = NodeSimulator(self.scenario, spec, random.Random(1), 0, 2, new)
        self.now = self.keys = 0
        self.log: list[tuple[int, NodeOutput]] = []

    def record(self, outputs: list[NodeOutput]) -> list[NodeOutput]:
        self.log += [(self.now, output) for output in outputs]
        return outputs

    def advance_to(self, t: int) -> None:
        while (next_at := self.node.next_event_time()) is not None and next_at <= t:
            assert next_at >= self.now
            self.now = next_at
            self.record(self.node.advance(next_at))
        self.now = t

    def send(self, t: int, work: int, cls: int = 0) -> list[NodeOutput]:
        self.advance_to(t)
        self.keys += 1
        call = NodeRequest(self.keys, f"o{self.keys}.0", "p", cls, self.keys, work, "", t + 3 * S)
        return self.record(self.node.arrive(t, call))

    def reply_times(self, t: int = 100 * S, status: int = 200) -> dict[int, int]:
        self.advance_to(t)
        return {
            output.key: at for at, output in self.log if isinstance(output, Reply) and output.status == status
        }

    def outputs_of(self, kind: type) -> list[Any]:
        return [output for _, output in self.log if isinstance(output, kind)]


CHOKE = {"at": 2, "over": "1 s", "slower": 3, "below": 1, "rest": "1 s", "most": "9 s"}
SHORT_ATTEMPTS: list[tuple[float, float]] = [(0, 1100), (0, 200), (0, 200)]
# Settings of the kind, attempts as (sent at, work), reply times; all in ms.
REPLY_TIMES: dict[str, tuple[dict[str, Any], list[tuple[float, float]], list[float]]] = {
    "half a core each, so the second ends when the first has 1 ms left": ({}, [(0, 10), (4, 5)], [15, 14]),
    "2/3 of a core each, then a core": (
        {"cores": 2, "speed": 2.0}, [(0, 3), (0, 6), (0, 6)], [2.25, 3.75, 3.75]),
    "ramp: 0.2 x 2 s + 0.1 x (2 s)^2 / 2; 4.8 s in all its 8 s, and 1 s": (
        {"new": True, "slots": 1, "cold": COLD}, [(0, 600), (0, 5200)], [2000, 9000]),
    "half a core for all three": ({"thrash": {"at": 1, "share": 0.25}}, [(0, 1)] * 3, [6, 6, 6]),
    "choked at 1 s, for 9 s; then two are not too many": (
        {"slots": 1, "choke": CHOKE}, [(0, 1500)] * 3 + [(3e4, 2000)] * 2, [2500, 7000, 10500, 32000, 34000]),
    "choked at 1 s, empty at 2.5 s, still choked at 3.4 s": (
        {"slots": 1, "choke": CHOKE}, [*SHORT_ATTEMPTS, (3400, 1000)], [1300, 1900, 2500, 6400]),
    "choked at 1 s, empty at 2.5 s, no longer choked at 3.6 s": (
        {"slots": 1, "choke": CHOKE}, [*SHORT_ATTEMPTS, (3600, 1000)], [1300, 1900, 2500, 4600]),
}  # fmt: skip


@pytest.mark.parametrize("kind,asked,reply_times", REPLY_TIMES.values(), ids=list(REPLY_TIMES))
def test_work_ends_at_times_calculated_by_hand(kind: Any, asked: list[Any], reply_times: list[float]) -> None:
    driver = NodeDriver(**kind)
    for t, work in asked:
        driver.send(int(t * MS), int(work * MS))
    assert [end for _, end in sorted(driver.reply_times().items())] == [end * MS for end in reply_times]


def test_the_queue_is_first_come_first_served_and_rounding_errors_do_not_add_up() -> None:
    driver = NodeDriver(cores=1, slots=1, waiting=9999, speed=3.0)
    for _ in range(3000):
        driver.send(0, 10)  # 3 1/3 microseconds each
    reply_times = driver.reply_times()
    assert list(reply_times) == sorted(reply_times) and (
        reply_times[1],
        reply_times[2],
        reply_times[3000],
    ) == (4, 7, 10_000)


def test_slowness_and_handshakes_take_capacity_and_connections_are_limited() -> None:
    driver = NodeDriver(connections=2, handshake_work="20 ms")
    driver.send(0, 10 * MS)
    for t, slow in ((5, 4.0), (9, 1.0)):
        driver.advance_to(t * MS)
        driver.node.set_conditions(driver.now, slow=slow)
    assert [driver.node.connect(10 * MS, "p") for _ in range(3)] == [True, True, False]
    assert driver.reply_times(S) == {1: 19 * MS}  # 3 ms were left, at a third of the core
    driver.node.disconnect(driver.now, "p")
    assert driver.node.connect(driver.now, "p")


def test_work_stops_during_pauses() -> None:
    begin = round(random.Random(1).expovariate(1 / S))
    driver = NodeDriver(pause={"every": "1 s", "length": "100 ms"})
    driver.send(0, begin + 1)
    assert driver.reply_times(begin + 100 * MS + 1) == {1: begin + 100 * MS + 1}
    driver.send(driver.now, 2000 * S)
    assert driver.reply_times(3000 * S)[2] == pytest.approx(2200 * S, rel=0.01)


@pytest.mark.parametrize("drops", [True, False])
def test_rejects_attempts_beyond_the_queue_and_drops_cancelled_waiting_ones(drops: bool) -> None:
    driver = NodeDriver(slots=1, waiting=1, drops_cancelled=drops)
    assert [driver.send(0, 2 * MS) for _ in range(3)] == [[WorkStarted(1)], [], [Reply(3, 503, True)]]
    for key in (1, 2):
        driver.record(driver.node.cancel(MS, key))
    assert driver.node.pending_requests == 2 - drops
    assert driver.reply_times(S) == ({1: 2 * MS} if drops else {1: 2 * MS, 2: 4 * MS})
    driver.node.set_conditions(S, draining=True)
    assert driver.send(S, MS) == [Reply(4, 503, True)]


def test_calls_to_the_next_tier_come_between_equal_parts_of_the_work() -> None:
    driver, name = NodeDriver(slots=1, calls=2), "s-front-1x2000000001"
    driver.send(0, 30 * MS), driver.send(0, 30 * MS)
    driver.advance_to(S // 2)
    assert driver.node.downstream_call_finished(S // 2, 1, 1, True) == []  # this call is not open
    driver.advance_to(S)  # the slot is kept, so the other attempt waits
    assert driver.log == [(0, WorkStarted(1)), (10 * MS, DownstreamCall(1, 0, f"o1.0/{name}/0", "0", 3 * S))]
    driver.node.set_conditions(S, strip=True)
    driver.record(driver.node.downstream_call_finished(S, 1, 0, True))
    driver.advance_to(2 * S)
    assert driver.log[2] == (
        S + 10 * MS,
        DownstreamCall(1, 1, f"o1.0/{name}/1", "1", driver.log[2][0] + 5 * S),
    )
    driver.record(driver.node.downstream_call_finished(2 * S, 1, 1, True))
    driver.advance_to(3 * S)
    assert driver.log[3] == (2 * S + 10 * MS, Reply(1, 200, False, "s-front-1/2/1/o1.0"))
    assert (
        driver.node.downstream_call_finished(3 * S, 2, 0, False) == [Reply(2, 500)]
        and driver.node.pending_requests == 0
    )


def test_errors_are_fast_and_heavy_tails_affect_their_class() -> None:
    driver = NodeDriver()
    for t, cls, errors in ((0, 0, 1.0), (1, 1, 0.0), (2, 0, 0.0)):
        driver.advance_to(t * S)
        driver.node.set_conditions(t * S, errors=errors, tail=(1.0, 8.0, 1))
        driver.send(t * S, 100 * MS, cls)
    assert driver.reply_times(status=500) == {1: MS} and driver.reply_times() == {2: 1800 * MS, 3: 2100 * MS}
    driver = NodeDriver(errors=1.0)
    driver.node.set_conditions(0, errors=0.0)  # the fault has ended: the error rate of the kind remains
    driver.send(0, 100 * MS)
    assert driver.reply_times(status=500) == {1: MS}


def test_a_frozen_node_has_no_outputs_until_it_resumes() -> None:
    driver = NodeDriver(slots=2, waiting=0, calls=1, pause={"every": "50 s", "length": "1 s"})
    driver.send(0, 2 * MS), driver.send(MS, 20 * MS)
    driver.advance_to(4 * MS)  # the first has made its call, the second is in work
    driver.node.set_conditions(4 * MS, frozen=True)
    assert driver.node.downstream_call_finished(5 * MS, 1, 0, False) == [] == driver.send(5 * MS, MS)
    assert driver.send(6 * MS, MS) == driver.send(6 * MS, MS) == [] == driver.node.cancel(7 * MS, 3)
    driver.advance_to(S)
    assert len(driver.log) == 3 and driver.node.next_event_time() is None
    assert driver.node.set_conditions(S, frozen=False) == [Reply(1, 500), WorkStarted(4), Reply(5, 503, True)]


def test_the_report_is_of_the_last_second_and_refreshed_at_its_times() -> None:
    driver = NodeDriver(cores=2, report_every="70 ms")
    for n in range(102):
        driver.send(n * 50 * MS, 40 * MS)  # 40 % of two cores
        driver.advance_to(n * 50 * MS + 20 * MS)
        driver.node.load_report(driver.now)  # during the work
    driver.advance_to(5100 * MS)
    report = driver.node.load_report(driver.now)
    assert report == {"qps": pytest.approx(20, rel=0.1), "util": pytest.approx(0.4, rel=0.1)}
    report = driver.node.load_report(driver.now + 70 * MS)
    assert (
        driver.node.load_report(driver.now + 139 * MS)
        == report
        != driver.node.load_report(driver.now + 140 * MS)
    )
    assert max(driver.node.load_report(10 * S).values()) < 0.01


@pytest.mark.parametrize("at,budget", [(0, 900 * MS), (2 * S, 3 * 487_500)])
def test_a_cold_node_crashes_just_beyond_its_budget(at: int, budget: int) -> None:
    """From 0.5 to 2 s its capacity is 0.2 x 1.5 s + 0.1 x (2^2 - 0.5^2) / 2 s. Three attempts of work w crash it if
    3 w > budget + 2 w."""
    for more in (-1, 1):
        driver = NodeDriver(True, slots=1, waiting=0, cold=COLD)
        if at:
            driver.send(at - 1500 * MS, 10 * S)  # just outside the window; the other attempts are rejected
        outputs = [driver.send(at, budget + more) for _ in range(3)]
        assert [NodeCrashed() in done for done in outputs] == [False, False, more > 0]
    assert driver.send(at, 1) == [] and not driver.node.connect(at, "p")
    assert driver.node.pending_requests == 0 and driver.node.next_event_time() is None
    driver = NodeDriver(True, cold=COLD, slots=1, waiting=0)
    for _ in range(9):  # the node is warm by now
        assert NodeCrashed() not in driver.send(8 * S, budget)


@SETTINGS
@given(
    st.lists(st.tuples(st.integers(0, 60 * MS), st.integers(1, 90 * MS)), min_size=1, max_size=40),
    st.sampled_from([1, 2, 4]), st.sampled_from([1, 4, 50]), st.sampled_from([0.37, 1.0, 3.0]), st.booleans(),
)  # fmt: skip
def test_busy_cores_do_exactly_the_offered_work(
    asked: list[tuple[int, int]], cores: int, slots: int, speed: float, new: bool
) -> None:
    cold = {"from": 0.1, "for": "1 s", "falls": False}
    driver, work_done = NodeDriver(new, speed, cores=cores, slots=slots, waiting=99, cold=cold), 0.0
    times = accumulate(gap for gap, _ in asked)
    for t, work in [*((t, work) for t, (_, work) in zip(times, asked, strict=True)), (1000 * S, 0)]:
        while driver.now < t:
            to = min(t, driver.node.next_event_time() or t)  # the next end of work, or of the ramp
            running = min(driver.node.pending_requests, cores, slots)
            work_done += (
                running * speed * driver.node.available_capacity((driver.now + to) // 2) * (to - driver.now)
            )
            driver.advance_to(to)
        driver.send(t, work) if work else None
    assert work_done == pytest.approx(sum(work for _, work in asked), abs=len(asked) * cores * speed + 1)


TIME_SPANS = st.one_of(st.integers(0, 100), st.integers(0, 60 * MS))
RESULTS = st.lists(st.sampled_from([True, True, False]), max_size=3)
WORK_LISTS = st.lists(st.one_of(st.integers(1, 2 * MS), st.integers(1, 40 * MS)), max_size=4)
CONDITIONS: st.SearchStrategy[Any] = st.one_of(st.just({}), st.just({}), st.fixed_dictionaries({}, optional={
    "slow": st.sampled_from([1.0, 3.0]), "errors": st.sampled_from([0.0, 0.5]), "frozen": st.booleans(),
    "draining": st.booleans(), "tail": st.sampled_from([(0.0, 1.0, None), (0.5, 9.0, 1)])}))  # fmt: skip


class NodeStateMachine(RuleBasedStateMachine):
    """A node and a second one that is advanced far more often: their outputs must be the same."""

    @initialize(new=st.booleans(), drops=st.booleans(), with_faults=st.booleans())
    def begin(self, new: bool, drops: bool, with_faults: bool) -> None:
        choke = {"at": 1, "over": "20 ms", "slower": 2, "below": 1, "rest": "30 ms", "most": "90 ms"}
        more: dict[str, Any] = {"choke": choke, "pause": {"every": "50 ms", "length": "7 ms"}, "errors": 0.2}
        kind: dict[str, Any] = {"cold": {"from": 0.01, "for": "300 ms"}, "handshake_work": "300 us"}
        kind |= {
            "cores": 2,
            "slots": 3,
            "waiting": 2,
            "drops_cancelled": drops,
            **(more if with_faults else {}),
        }
        self.drivers = [NodeDriver(new, 0.7, 0.7, **kind) for _ in range(2)]
        self.drops, self.frozen = drops, False
        self.dropped_keys: set[int] = set()
        self.returned_calls: set[tuple[int, int]] = set()

    def wait(self, span: int, oks: list[bool] | None = None) -> None:
        """Advances both nodes by `span`, then finishes some of the open calls."""
        one, other = self.drivers
        for t in range(other.now, other.now + span, max(1, span // 7)):
            other.advance_to(t)
            other.record(other.node.advance(t))
        one.advance_to(one.now + span)
        other.advance_to(one.now)
        calls = [(output.key, output.index) for output in one.outputs_of(DownstreamCall)]
        for call, ok in zip(
            [call for call in calls if call not in self.returned_calls], oks or [], strict=False
        ):
            self.returned_calls.add(call)
            for driver in self.drivers:
                driver.record(driver.node.downstream_call_finished(driver.now, *call, ok))

    @rule(span=TIME_SPANS, oks=RESULTS, works=WORK_LISTS, leaves=st.integers(0, 9), what=CONDITIONS)
    def step(self, span: int, oks: list[bool], works: list[int], leaves: int, what: dict[str, Any]) -> None:
        self.wait(span, oks)
        started = {output.key for output in self.drivers[0].outputs_of(WorkStarted)}
        for key in self.open_keys()[leaves : leaves + 1]:
            self.dropped_keys |= {key} - started if self.drops else set()
            for driver in self.drivers:
                driver.record(driver.node.cancel(driver.now, key))
        self.frozen = what.get("frozen", self.frozen)
        for driver in self.drivers:
            driver.record(driver.node.set_conditions(driver.now, **what) if what else [])
            for work in works:
                driver.send(driver.now, work, work % 2)
            driver.node.connect(driver.now, "p")

    def open_keys(self) -> list[int]:
        replied = [output.key for output in self.drivers[0].outputs_of(Reply)]
        assert len(set(replied)) == len(replied) and not self.dropped_keys & set(replied)
        keys = () if self.drivers[0].outputs_of(NodeCrashed) else range(1, self.drivers[0].keys + 1)
        return [key for key in keys if key not in {*replied, *self.dropped_keys}]

    @invariant()
    def holds(self) -> None:
        one, other = self.drivers
        began, open_now = [output.key for output in one.outputs_of(WorkStarted)], self.open_keys()
        assert one.log == other.log
        assert len(set(began)) == len(began) and len(set(began) & set(open_now)) <= 3
        assert not one.outputs_of(NodeCrashed) or isinstance(one.log[-1][1], NodeCrashed)
        assert not set(began) & {output.key for output in one.outputs_of(Reply) if output.not_processed}
        assert one.node.pending_requests <= len(open_now) and (
            self.frozen or one.node.pending_requests == len(open_now)
        )
        assert (next_at := one.node.next_event_time()) is None or next_at >= one.now

    def teardown(self) -> None:
        if hasattr(self, "hands"):
            self.step(0, [], [], 9, {"frozen": False, "slow": 1.0})
            while self.open_keys():
                self.wait(2 * S, [True] * 3)
            self.wait(2 * S)
            assert self.drivers[0].node.pending_requests == 0


def test_each_attempt_ends_once_whatever_happens() -> None:
    run_state_machine_as_test(NodeStateMachine, settings=SETTINGS)
