"""NodeSimulator against sums done by hand, and against a model of its states under random steps."""

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
CALM = settings(derandomize=True, database=None, deadline=None, max_examples=200, stateful_step_count=40)
COLD = {"from": 0.2, "for": "8 s"}


class Hand:
    """A node, and who turns its clock: `log` holds what it did, by when that was heard of."""

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

    def hear(self, acts: list[NodeOutput]) -> list[NodeOutput]:
        self.log += [(self.now, act) for act in acts]
        return acts

    def until(self, t: int) -> None:
        while (due := self.node.next_event_time()) is not None and due <= t:
            assert due >= self.now
            self.now = due
            self.hear(self.node.advance(due))
        self.now = t

    def ask(self, t: int, work: int, cls: int = 0) -> list[NodeOutput]:
        self.until(t)
        self.keys += 1
        call = NodeRequest(self.keys, f"o{self.keys}.0", "p", cls, self.keys, work, "", t + 3 * S)
        return self.hear(self.node.arrive(t, call))

    def ends(self, t: int = 100 * S, status: int = 200) -> dict[int, int]:
        self.until(t)
        return {act.key: at for at, act in self.log if isinstance(act, Reply) and act.status == status}

    def all(self, kind: type) -> list[Any]:
        return [act for _, act in self.log if isinstance(act, kind)]


CHOKE = {"at": 2, "over": "1 s", "slower": 3, "below": 1, "rest": "1 s", "most": "9 s"}
QUICK: list[tuple[float, float]] = [(0, 1100), (0, 200), (0, 200)]
ENDS: dict[str, tuple[dict[str, Any], list[tuple[float, float]], list[float]]] = {  # (asked, work), ended: ms
    "half each, so the second ends when the first has 1 ms left": ({}, [(0, 10), (4, 5)], [15, 14]),
    "2/3 of a core each, then a core": (
        {"cores": 2, "speed": 2.0}, [(0, 3), (0, 6), (0, 6)], [2.25, 3.75, 3.75]),
    "ramp: 0.2 x 2 s + 0.1 x (2 s)^2 / 2; 4.8 s in all its 8 s, and 1 s": (
        {"new": True, "slots": 1, "cold": COLD}, [(0, 600), (0, 5200)], [2000, 9000]),
    "half a core for all three": ({"thrash": {"at": 1, "share": 0.25}}, [(0, 1)] * 3, [6, 6, 6]),
    "choked at 1 s, for 9 s; then two are not too many": (
        {"slots": 1, "choke": CHOKE}, [(0, 1500)] * 3 + [(3e4, 2000)] * 2, [2500, 7000, 10500, 32000, 34000]),
    "choked at 1 s, empty at 2.5 s, not yet rested": (
        {"slots": 1, "choke": CHOKE}, [*QUICK, (3400, 1000)], [1300, 1900, 2500, 6400]),
    "choked at 1 s, empty at 2.5 s, rested": (
        {"slots": 1, "choke": CHOKE}, [*QUICK, (3600, 1000)], [1300, 1900, 2500, 4600]),
}  # fmt: skip


@pytest.mark.parametrize("kind,asked,ends", ENDS.values(), ids=list(ENDS))
def test_work_ends_when_a_sum_by_hand_says(kind: Any, asked: list[Any], ends: list[float]) -> None:
    hand = Hand(**kind)
    for t, work in asked:
        hand.ask(int(t * MS), int(work * MS))
    assert [end for _, end in sorted(hand.ends().items())] == [end * MS for end in ends]


def test_the_line_is_first_come_and_rounding_does_not_add_up() -> None:
    hand = Hand(cores=1, slots=1, waiting=9999, speed=3.0)
    for _ in range(3000):
        hand.ask(0, 10)  # 3 and a third microseconds each
    ends = hand.ends()
    assert list(ends) == sorted(ends) and (ends[1], ends[2], ends[3000]) == (4, 7, 10_000)


def test_slowness_and_handshakes_take_capacity_and_connections_have_an_end() -> None:
    hand = Hand(connections=2, handshake_work="20 ms")
    hand.ask(0, 10 * MS)
    for t, slow in ((5, 4.0), (9, 1.0)):
        hand.until(t * MS)
        hand.node.set_conditions(hand.now, slow=slow)
    assert [hand.node.connect(10 * MS, "p") for _ in range(3)] == [True, True, False]
    assert hand.ends(S) == {1: 19 * MS}  # 3 ms were left, for one of three
    hand.node.disconnect(hand.now, "p")
    assert hand.node.connect(hand.now, "p")


def test_work_stands_still_in_pauses() -> None:
    begin = round(random.Random(1).expovariate(1 / S))
    hand = Hand(pause={"every": "1 s", "length": "100 ms"})
    hand.ask(0, begin + 1)
    assert hand.ends(begin + 100 * MS + 1) == {1: begin + 100 * MS + 1}
    hand.ask(hand.now, 2000 * S)
    assert hand.ends(3000 * S)[2] == pytest.approx(2200 * S, rel=0.01)


@pytest.mark.parametrize("drops", [True, False])
def test_it_turns_away_what_it_has_no_room_for_and_drops_what_waits_for_nobody(drops: bool) -> None:
    hand = Hand(slots=1, waiting=1, drops_cancelled=drops)
    assert [hand.ask(0, 2 * MS) for _ in range(3)] == [[WorkStarted(1)], [], [Reply(3, 503, True)]]
    for key in (1, 2):
        hand.hear(hand.node.cancel(MS, key))
    assert hand.node.pending_requests == 2 - drops
    assert hand.ends(S) == ({1: 2 * MS} if drops else {1: 2 * MS, 2: 4 * MS})
    hand.node.set_conditions(S, draining=True)
    assert hand.ask(S, MS) == [Reply(4, 503, True)]


def test_calls_to_the_next_tier_come_between_equal_parts_of_the_work() -> None:
    hand, name = Hand(slots=1, calls=2), "s-front-1x2000000001"
    hand.ask(0, 30 * MS), hand.ask(0, 30 * MS)
    hand.until(S // 2)
    assert hand.node.downstream_call_finished(S // 2, 1, 1, True) == []  # no such call is out
    hand.until(S)  # the slot is kept: the other waits
    assert hand.log == [(0, WorkStarted(1)), (10 * MS, DownstreamCall(1, 0, f"o1.0/{name}/0", "0", 3 * S))]
    hand.node.set_conditions(S, strip=True)
    hand.hear(hand.node.downstream_call_finished(S, 1, 0, True))
    hand.until(2 * S)
    assert hand.log[2] == (S + 10 * MS, DownstreamCall(1, 1, f"o1.0/{name}/1", "1", hand.log[2][0] + 5 * S))
    hand.hear(hand.node.downstream_call_finished(2 * S, 1, 1, True))
    hand.until(3 * S)
    assert hand.log[3] == (2 * S + 10 * MS, Reply(1, 200, False, "s-front-1/2/1/o1.0"))
    assert (
        hand.node.downstream_call_finished(3 * S, 2, 0, False) == [Reply(2, 500)]
        and hand.node.pending_requests == 0
    )


def test_errors_come_quickly_and_heavy_tails_befall_their_class() -> None:
    hand = Hand()
    for t, cls, errors in ((0, 0, 1.0), (1, 1, 0.0), (2, 0, 0.0)):
        hand.until(t * S)
        hand.node.set_conditions(t * S, errors=errors, tail=(1.0, 8.0, 1))
        hand.ask(t * S, 100 * MS, cls)
    assert hand.ends(status=500) == {1: MS} and hand.ends() == {2: 1800 * MS, 3: 2100 * MS}
    hand = Hand(errors=1.0)
    hand.node.set_conditions(0, errors=0.0)  # a fault has ended: as bad as its kind is
    hand.ask(0, 100 * MS)
    assert hand.ends(status=500) == {1: MS}


def test_a_frozen_node_says_nothing_until_it_thaws() -> None:
    hand = Hand(slots=2, waiting=0, calls=1, pause={"every": "50 s", "length": "1 s"})
    hand.ask(0, 2 * MS), hand.ask(MS, 20 * MS)
    hand.until(4 * MS)  # the first has called, the second is at work
    hand.node.set_conditions(4 * MS, frozen=True)
    assert hand.node.downstream_call_finished(5 * MS, 1, 0, False) == [] == hand.ask(5 * MS, MS)
    assert hand.ask(6 * MS, MS) == hand.ask(6 * MS, MS) == [] == hand.node.cancel(7 * MS, 3)
    hand.until(S)
    assert len(hand.log) == 3 and hand.node.next_event_time() is None
    assert hand.node.set_conditions(S, frozen=False) == [Reply(1, 500), WorkStarted(4), Reply(5, 503, True)]


def test_the_report_is_of_the_last_second_and_refreshed_at_its_times() -> None:
    hand = Hand(cores=2, report_every="70 ms")
    for n in range(102):
        hand.ask(n * 50 * MS, 40 * MS)  # two fifths of two cores
        hand.until(n * 50 * MS + 20 * MS)
        hand.node.load_report(hand.now)  # in the midst of it
    hand.until(5100 * MS)
    report = hand.node.load_report(hand.now)
    assert report == {"qps": pytest.approx(20, rel=0.1), "util": pytest.approx(0.4, rel=0.1)}
    report = hand.node.load_report(hand.now + 70 * MS)
    assert hand.node.load_report(hand.now + 139 * MS) == report != hand.node.load_report(hand.now + 140 * MS)
    assert max(hand.node.load_report(10 * S).values()) < 0.01


@pytest.mark.parametrize("at,budget", [(0, 900 * MS), (2 * S, 3 * 487_500)])
def test_a_cold_node_falls_over_just_beyond_its_budget(at: int, budget: int) -> None:
    """From 0.5 to 2 s it can do 0.2 x 1.5 s + 0.1 x (2^2 - 0.5^2) / 2 s. Three of w push it over where
    3 w > budget + 2 w."""
    for more in (-1, 1):
        hand = Hand(True, slots=1, waiting=0, cold=COLD)
        if at:
            hand.ask(at - 1500 * MS, 10 * S)  # just out of the window, and turns the others away
        acts = [hand.ask(at, budget + more) for _ in range(3)]
        assert [NodeCrashed() in done for done in acts] == [False, False, more > 0]
    assert hand.ask(at, 1) == [] and not hand.node.connect(at, "p")
    assert hand.node.pending_requests == 0 and hand.node.next_event_time() is None
    hand = Hand(True, cold=COLD, slots=1, waiting=0)
    for _ in range(9):  # warm by then
        assert NodeCrashed() not in hand.ask(8 * S, budget)


@CALM
@given(
    st.lists(st.tuples(st.integers(0, 60 * MS), st.integers(1, 90 * MS)), min_size=1, max_size=40),
    st.sampled_from([1, 2, 4]), st.sampled_from([1, 4, 50]), st.sampled_from([0.37, 1.0, 3.0]), st.booleans(),
)  # fmt: skip
def test_busy_cores_do_just_the_work_there_is(
    asked: list[tuple[int, int]], cores: int, slots: int, speed: float, new: bool
) -> None:
    cold = {"from": 0.1, "for": "1 s", "falls": False}
    hand, did = Hand(new, speed, cores=cores, slots=slots, waiting=99, cold=cold), 0.0
    times = accumulate(gap for gap, _ in asked)
    for t, work in [*((t, work) for t, (_, work) in zip(times, asked, strict=True)), (1000 * S, 0)]:
        while hand.now < t:
            to = min(t, hand.node.next_event_time() or t)  # something ends, or the ramp
            running = min(hand.node.pending_requests, cores, slots)
            did += running * speed * hand.node.available_capacity((hand.now + to) // 2) * (to - hand.now)
            hand.until(to)
        hand.ask(t, work) if work else None
    assert did == pytest.approx(sum(work for _, work in asked), abs=len(asked) * cores * speed + 1)


SPAN = st.one_of(st.integers(0, 100), st.integers(0, 60 * MS))
OKS = st.lists(st.sampled_from([True, True, False]), max_size=3)
WORKS = st.lists(st.one_of(st.integers(1, 2 * MS), st.integers(1, 40 * MS)), max_size=4)
CHANGE: st.SearchStrategy[Any] = st.one_of(st.just({}), st.just({}), st.fixed_dictionaries({}, optional={
    "slow": st.sampled_from([1.0, 3.0]), "errors": st.sampled_from([0.0, 0.5]), "frozen": st.booleans(),
    "draining": st.booleans(), "tail": st.sampled_from([(0.0, 1.0, None), (0.5, 9.0, 1)])}))  # fmt: skip


class Steps(RuleBasedStateMachine):
    """The node, and a second one that is looked at far more often: they must do the same."""

    @initialize(new=st.booleans(), drops=st.booleans(), rough=st.booleans())
    def begin(self, new: bool, drops: bool, rough: bool) -> None:
        choke = {"at": 1, "over": "20 ms", "slower": 2, "below": 1, "rest": "30 ms", "most": "90 ms"}
        more: dict[str, Any] = {"choke": choke, "pause": {"every": "50 ms", "length": "7 ms"}, "errors": 0.2}
        kind: dict[str, Any] = {"cold": {"from": 0.01, "for": "300 ms"}, "handshake_work": "300 us"}
        kind |= {"cores": 2, "slots": 3, "waiting": 2, "drops_cancelled": drops, **(more if rough else {})}
        self.hands = [Hand(new, 0.7, 0.7, **kind) for _ in range(2)]
        self.drops, self.frozen = drops, False
        self.dropped: set[int] = set()
        self.back: set[tuple[int, int]] = set()

    def wait(self, span: int, oks: list[bool] | None = None) -> None:
        """Then some of the calls that are out come back."""
        one, other = self.hands
        for t in range(other.now, other.now + span, max(1, span // 7)):
            other.until(t)
            other.hear(other.node.advance(t))
        one.until(one.now + span)
        other.until(one.now)
        calls = [(act.key, act.index) for act in one.all(DownstreamCall)]
        for call, ok in zip([call for call in calls if call not in self.back], oks or [], strict=False):
            self.back.add(call)
            for hand in self.hands:
                hand.hear(hand.node.downstream_call_finished(hand.now, *call, ok))

    @rule(span=SPAN, oks=OKS, works=WORKS, leaves=st.integers(0, 9), what=CHANGE)
    def step(self, span: int, oks: list[bool], works: list[int], leaves: int, what: dict[str, Any]) -> None:
        self.wait(span, oks)
        started = {act.key for act in self.hands[0].all(WorkStarted)}
        for key in self.open()[leaves : leaves + 1]:
            self.dropped |= {key} - started if self.drops else set()
            for hand in self.hands:
                hand.hear(hand.node.cancel(hand.now, key))
        self.frozen = what.get("frozen", self.frozen)
        for hand in self.hands:
            hand.hear(hand.node.set_conditions(hand.now, **what) if what else [])
            for work in works:
                hand.ask(hand.now, work, work % 2)
            hand.node.connect(hand.now, "p")

    def open(self) -> list[int]:
        replied = [act.key for act in self.hands[0].all(Reply)]
        assert len(set(replied)) == len(replied) and not self.dropped & set(replied)
        keys = () if self.hands[0].all(NodeCrashed) else range(1, self.hands[0].keys + 1)
        return [key for key in keys if key not in {*replied, *self.dropped}]

    @invariant()
    def holds(self) -> None:
        one, other = self.hands
        began, open_ = [act.key for act in one.all(WorkStarted)], self.open()
        assert one.log == other.log
        assert len(set(began)) == len(began) and len(set(began) & set(open_)) <= 3
        assert not one.all(NodeCrashed) or isinstance(one.log[-1][1], NodeCrashed)
        assert not set(began) & {act.key for act in one.all(Reply) if act.turned}
        assert one.node.pending_requests <= len(open_) and (
            self.frozen or one.node.pending_requests == len(open_)
        )
        assert (due := one.node.next_event_time()) is None or due >= one.now

    def teardown(self) -> None:
        if hasattr(self, "hands"):
            self.step(0, [], [], 9, {"frozen": False, "slow": 1.0})
            while self.open():
                self.wait(2 * S, [True] * 3)
            self.wait(2 * S)
            assert self.hands[0].node.pending_requests == 0


def test_each_attempt_ends_once_whatever_happens() -> None:
    run_state_machine_as_test(Steps, settings=CALM)
