"""Registers that a group keeps together, on virtual time: drawn days, each message lost or doubled in turn, a crash at
each moment; and faults planted in the machine, which the judge must find."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatehub.copies import replica as machines
from slatehub.copies.acceptor import CLOCK_SKEW_S, MAX_COUNTER_JUMP, Acceptor
from slatehub.copies.messages import (
    CONFIG_KEY,
    Accept,
    Accepted,
    Ballot,
    BallotCeiling,
    ConfigRequest,
    ConfigResponse,
    GroupConfig,
    Heartbeat,
    KeysRequest,
    KeysResponse,
    Message,
    MessageBatch,
    MessageError,
    Prepare,
    Promise,
    RangeDigests,
    RegisterState,
    Rejected,
    StateAccepted,
    StatesRequest,
    StatesResponse,
    Voter,
    decode_record,
    pack,
    unpack,
)
from slatehub.copies.reconfiguration import (
    ReconfigurationError,
    finalized,
    is_quorum,
    joining_voters,
    with_voter_added,
    with_voter_removed,
    with_voter_replaced,
)
from slatehub.copies.replica import NO_QUORUM, UNCHANGED, WRITTEN, Replica
from slatelab.peers import randomized_faults
from slatelab.peers.randomized_faults import Event, run_seed, shrink
from slatelab.peers.replica_simulation import (
    MS,
    SECOND,
    ReplicaSimulation,
    linearizability_violations,
    tokens,
)

KEY = b"k" * 16
THREE = ["p0", "p1", "p2"]


def group(seed: int = 1, names: list[str] | None = None) -> ReplicaSimulation:
    votes = ReplicaSimulation(seed, names or THREE)
    votes.start(*votes.founders)
    votes.run(2 * SECOND)
    assert all(machine.config.epoch == 1 for machine in votes.running.values())
    return votes


def reach(votes: ReplicaSimulation, true: Callable[[], object], span: int = 20 * SECOND) -> None:
    """Runs until that is so."""
    end = votes.now + span
    while not true():
        assert votes.now < end, "never came"
        votes.run(MS)


def sound(votes: ReplicaSimulation, keys: tuple[bytes, ...] = (KEY,)) -> None:
    votes.run(5 * SECOND)
    for key in keys:
        assert votes.read(key) is not None
    assert not linearizability_violations(votes.history)


@pytest.mark.parametrize(("first", "size"), [(1, 3), (5001, 5)])
def test_drawn_days_are_linearizable_and_end_well(first: int, size: int) -> None:
    for seed in range(first, first + 40):
        day = run_seed(seed, size)
        assert not day.violations, (seed, day.violations)


def two_at_once(votes: ReplicaSimulation) -> None:
    for name in ("p0", "p1"):
        votes.append_token(name, KEY)
    votes.run(100 * MS)
    votes.append_token("p0", KEY)
    votes.run(2 * SECOND)


@pytest.mark.parametrize("copies", [0, 2])
def test_each_single_message_is_lost_or_doubled_in_turn(copies: int) -> None:
    votes = group()
    before = votes.messages_sent
    two_at_once(votes)
    count = votes.messages_sent - before
    assert count > 20
    for number in range(1, count + 1):
        votes = group()
        start = votes.messages_sent
        votes.copies_override = lambda n, a, b, at=start + number: copies if n == at else 1  # type: ignore[misc]
        two_at_once(votes)
        votes.copies_override = None
        sound(votes)
        assert all(asked.outcome == WRITTEN for asked in votes.history), number


@pytest.mark.parametrize("wipe", [False, True])
def test_a_machine_is_lost_at_each_moment_of_an_operation_and_of_its_return(wipe: bool) -> None:
    for at in range(0, 6 * MS, 150):
        for name in ("p0", "p1"):
            votes = group(at)
            votes.append_token("p1", KEY)
            votes.append_token("p2", KEY)
            votes.run(at)
            votes.crash(name, wipe)
            votes.run(500 * MS)
            votes.append_token("p2", KEY)
            votes.start(name)
            sound(votes)


def test_two_lost_one_after_another_are_refused_of_three_and_borne_by_five() -> None:
    votes = group()
    votes.append_token("p2", KEY)
    votes.run(100 * MS)
    votes.crash("p0", wipe=True)
    votes.crash("p1", wipe=True)
    votes.start("p0", "p1")
    votes.run(10 * SECOND)
    began = votes.now
    asked = [votes.append_token(name, KEY) for name in THREE]
    votes.run(SECOND)
    assert all(a and a.outcome == NO_QUORUM and a.ended - began <= 400 * MS for a in asked)
    assert votes.running["p2"].acceptor.get(KEY)  # nothing is lost where it still is
    again = votes.append_token("p2", KEY)
    assert again and again.ended == votes.now  # known by now: refused at once
    five = [f"p{i}" for i in range(5)]
    votes = group(names=five)
    votes.append_token("p2", KEY)
    votes.run(100 * MS)
    for name in ("p0", "p1"):
        votes.crash(name, wipe=True)
        votes.start(name)
        asked_once = votes.append_token("p3", KEY)
        votes.run(50 * MS)
        assert asked_once and asked_once.outcome == WRITTEN
    votes.run(10 * SECOND)
    assert all(machine.is_voter for machine in votes.running.values())
    sound(votes)


def test_a_newcomer_counts_only_after_it_has_walked_a_majority_of_those_before() -> None:
    votes = group()
    keys = [bytes([i + 1]) * 16 for i in range(120)]
    for i, key in enumerate(keys):
        votes.append_token(THREE[i % 3], key)
        votes.run(20 * MS)
    votes.net.delay = 20 * MS  # so that the walk takes its time
    votes.crash("p1", wipe=True)
    votes.start("p1")
    reach(votes, lambda: votes.running["p1"].config.old_voters)
    assert votes.running["p1"].catchup.is_catching_up
    votes.crash("p0")  # of those before only p2 is left: the change cannot end
    votes.run(5 * SECOND)
    assert votes.running["p1"].config.old_voters and votes.running["p1"].catchup.is_catching_up
    votes.start("p0")
    votes.run(60 * SECOND)
    assert not votes.running["p1"].config.old_voters and len(votes.running["p1"].acceptor.registers) >= len(
        keys
    )
    sound(votes, tuple(keys[:3]))


def test_a_copy_that_lags_is_brought_up_to_date_by_what_differs_only() -> None:
    votes = group()
    keys = [bytes([i + 1]) * 16 for i in range(60)]
    for key in keys[:50]:
        votes.append_token("p0", key)
        votes.run(10 * MS)
    votes.crash("p2")
    for key in keys[50:]:
        votes.append_token("p0", key)
        votes.run(10 * MS)
    votes.start("p2")
    assert len(votes.running["p2"].acceptor.registers) <= 52
    votes.run(30 * SECOND)
    assert all(votes.running["p2"].acceptor.get(key) for key in keys)
    assert votes.running["p2"].catchup.repaired_count <= 14


def test_a_group_grows_by_one_shrinks_by_one_and_replaces_one() -> None:
    votes = group()
    votes.append_token("p0", KEY)
    votes.start("p3", "p4")
    votes.run(2 * SECOND)
    for what, name, new, voters in (
        ("add", "p3", "", ["p0", "p1", "p2", "p3"]), ("add", "p4", "", ["p0", "p1", "p2", "p3", "p4"]),
        ("remove", "p1", "", ["p0", "p2", "p3", "p4"]), ("replace", "p2", "p1", ["p0", "p1", "p3", "p4"]),
    ):  # fmt: skip
        assert votes.running["p0"].change_voters(votes.now, what, name, new) == ""
        votes._process_output("p0")
        votes.append_token("p4", KEY)
        votes.run(5 * SECOND)
        assert [v.name for v in votes.running["p0"].config.voters] == voters and not votes.running[
            "p0"
        ].config.old_voters
    assert "no voter" in votes.running["p0"].change_voters(votes.now, "remove", "p2")
    sound(votes)


def test_a_full_disk_or_a_slow_one_does_not_set_the_pace() -> None:
    votes = group()
    votes.disks["p1"].delay = 300 * MS
    asked = [votes.append_token(name, KEY) for name in ("p0", "p2", "p1")]
    votes.run(250 * MS)
    assert all(a and a.outcome == WRITTEN and a.ended - a.began < 100 * MS for a in asked)
    votes.fill_disk("p2")
    votes.append_token("p0", KEY)
    votes.run(SECOND)
    assert votes.running["p2"].store_failure
    votes.disks["p1"].delay = 200
    asked = [votes.append_token(name, KEY) for name in ("p0", "p2")]
    votes.run(SECOND)
    assert all(
        a and a.outcome == WRITTEN for a in asked
    )  # one that has no store any more still asks the others
    votes.crash("p2")
    votes.start("p2")
    sound(votes)


def test_a_minority_is_told_at_once_and_goes_on_when_the_cut_heals() -> None:
    votes = group()
    votes.net.partition("cut", ["p0"], ["p1", "p2"])
    first = votes.append_token("p0", KEY)
    votes.run(SECOND)
    assert first and first.ended - first.began <= 400 * MS
    second = votes.append_token("p0", KEY)
    assert second and second.outcome == NO_QUORUM and second.ended == second.began
    there = votes.append_token("p1", KEY)
    votes.run(100 * MS)
    assert there and there.outcome == WRITTEN
    votes.net.heal("cut")
    votes.run(SECOND)
    third = votes.append_token("p0", KEY)
    votes.run(100 * MS)
    assert third and third.outcome == WRITTEN
    sound(votes)


def test_one_that_was_frozen_calls_nobody_silent_and_its_late_yes_harms_nothing() -> None:
    votes = group()
    votes.append_token("p0", KEY)
    votes.run(200)
    votes.freeze("p1")
    votes.append_token("p2", KEY)
    votes.run(3 * SECOND)
    votes.unfreeze("p1")
    assert not votes.running["p1"].unresponsive
    sound(votes)


# ---------------------------------------------------------------- planted


def test_a_wiped_voter_that_counts_is_found() -> None:
    found = next(seed for seed in range(1, 60) if run_seed(seed, reuse_store_id=True).violations)
    assert not run_seed(found).violations


TRAP = [Event(0, "ask", 0), Event(100 * MS, "trap", 0, SECOND, 0.9), Event(600 * MS, "ask", 0),
        Event(1_600 * MS, "ask", 2), Event(1_700 * MS, "ask", 2)]  # fmt: skip


def test_the_least_day_of_a_wiped_voter_is_five_events_or_fewer(monkeypatch: pytest.MonkeyPatch) -> None:
    assert (
        run_seed(1, events=TRAP, reuse_store_id=True).violations and not run_seed(1, events=TRAP).violations
    )
    monkeypatch.setattr(randomized_faults, "draw_events", lambda seed, size: TRAP)
    monkeypatch.setattr(
        randomized_faults,
        "run_seed",
        lambda seed, size, build, events: run_seed(seed, size, build, events, True),
    )
    least, day = shrink(1, 3, None)
    assert len(least) <= 4 and day.violations


class Hasty(Replica):
    """Says yes before it is durable."""

    @property
    def durable_index(self) -> int:  # type: ignore[override]
        return 10**12

    @durable_index.setter
    def durable_index(self, value: int) -> None: ...


def test_a_yes_before_the_sync_is_found() -> None:
    def build(name: str, store: int, now: int, rng: Random, founding: bool) -> Replica:
        return Hasty(name, store, THREE, now, rng, founding=founding)

    def lost(build: object) -> bool:
        for seed in range(20):
            votes = ReplicaSimulation(seed, THREE, build=build)  # type: ignore[arg-type]
            votes.start(*THREE)
            votes.run(2 * SECOND)
            asked = votes.append_token("p0", KEY)
            for _ in range(2_000):
                if asked and not asked.ended:
                    votes.run(20)
            for name in THREE:
                votes.crash(name)
            votes.start(*THREE)
            votes.run(3 * SECOND)
            votes.read(KEY)
            if linearizability_violations(votes.history):
                return True
        return False

    assert lost(build) and not lost(None)


@pytest.mark.parametrize("kind", ["one", "new"])
def test_a_majority_of_the_wrong_group_is_found(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """One voter of any; or the new voters alone while the group changes."""
    wrong = {
        "one": lambda config, some: any(v in some for v in config.voters),
        "new": lambda config, some: is_quorum(GroupConfig(config.epoch, config.voters), some),
    }[kind]

    def broken() -> bool:
        for seed in range(1, 8):
            votes = group(seed)
            votes.append_token("p0", KEY)
            votes.run(SECOND)
            votes.net.partition("a", ["p2"], ["p0", "p1"])
            votes.append_token("p0", KEY)
            votes.append_token("p2", KEY)
            votes.run(SECOND)
            votes.crash("p1", wipe=True)  # the last write is at p0 alone
            votes.net.heal("a")
            votes.start("p1")
            reach(votes, lambda v=votes: v.running["p1"].config.old_voters)  # type: ignore[misc]
            votes.net.partition("c", ["p0"], ["p1", "p2"])
            votes.append_token("p2", KEY)
            votes.run(SECOND)
            votes.net.partitions.clear()
            votes.run(5 * SECOND)
            votes.read(KEY)
            if linearizability_violations(votes.history):
                return True
        return False

    assert not broken()
    monkeypatch.setattr(machines, "is_quorum", wrong)
    assert broken()


# ---------------------------------------------------------------- the parts


def prepare(acceptor: Acceptor, counter: int, by: int = 1, now_s: int = 0) -> Promise | Rejected:
    return acceptor.prepare(now_s, Prepare(1, 1, KEY, Ballot(counter, by)))[0]


def accept(
    acceptor: Acceptor, counter: int, value: bytes, by: int = 1, until: int = 0
) -> Accepted | Rejected:
    ballot = Ballot(counter, by)
    return acceptor.accept(Accept(1, 1, RegisterState(KEY, ballot, until, value), Ballot(counter + 1, by)))[0]


def test_after_a_restart_every_ballot_that_may_have_been_promised_is_refused() -> None:
    first = Acceptor(10)
    assert isinstance(prepare(first, 7), Promise)
    ceiling = first.pending_records[0]
    assert isinstance(ceiling, BallotCeiling) and len(first.pending_records) == 1
    second = Acceptor(10)
    second.restore(first.pending_records, 0)
    assert isinstance(accept(second, 7, b"a"), Rejected)
    assert isinstance(prepare(second, ceiling.counter), Rejected)
    assert isinstance(prepare(second, ceiling.counter + 1), Promise)


def test_what_is_known_through_another_is_no_vote_against_a_promise() -> None:
    acceptor = Acceptor(10)
    assert isinstance(prepare(acceptor, 9, by=2), Promise)
    acceptor.merge(RegisterState(KEY, Ballot(7, 1), 0, b"a"), 0)
    assert isinstance(accept(acceptor, 7, b"a"), Rejected)  # asked for by who has been overtaken
    found = prepare(acceptor, 11)
    assert isinstance(found, Promise) and found.accepted == Ballot(7, 1) and found.value == b"a"


def test_what_was_forgotten_is_never_undercut_and_a_counter_beyond_all_is_refused() -> None:
    acceptor = Acceptor(10)
    assert isinstance(accept(acceptor, 50, b"a", until=1000), Accepted)
    assert acceptor.expire(1000 + CLOCK_SKEW_S) == 0
    assert acceptor.expire(1000 + CLOCK_SKEW_S + 200) == 1 and not acceptor.registers
    assert acceptor.range_digests == [0] * len(acceptor.range_digests)
    assert isinstance(prepare(acceptor, 50, now_s=9999), Rejected)
    assert isinstance(prepare(acceptor, 52, now_s=9999), Promise)
    assert isinstance(prepare(acceptor, 10 * MAX_COUNTER_JUMP, now_s=9999), Rejected)
    assert isinstance(prepare(acceptor, 60, now_s=9999), Promise)


def test_what_was_promised_and_never_written_is_forgotten_and_makes_room() -> None:
    acceptor = Acceptor(1)
    assert isinstance(prepare(acceptor, 5), Promise)
    assert acceptor.expire(CLOCK_SKEW_S) == 0 and acceptor.registers
    assert acceptor.expire(CLOCK_SKEW_S + 200) == 1 and not acceptor.registers
    assert isinstance(prepare(acceptor, 5, now_s=9999), Rejected)
    assert isinstance(prepare(acceptor, 6, now_s=9999), Promise)


def test_no_more_registers_than_there_is_room_for() -> None:
    acceptor = Acceptor(3)
    for i in range(5):
        row = RegisterState(bytes([i + 1]) * 16, Ballot(1, 1), 0, b"a")
        answer = acceptor.accept(Accept(1, 1, row, Ballot(2, 1)))[0]
        assert isinstance(answer, Accepted) == (i < 3)
    assert (
        len(acceptor.registers) == 3
        and len([r for r in acceptor.pending_records if isinstance(r, StateAccepted)]) == 3
    )


def test_groups_change_one_step_at_a_time_and_every_two_that_follow_share_a_voter() -> None:
    a, b, c, d = (Voter(name, i + 1) for i, name in enumerate("abcd"))
    one = GroupConfig(1, (a, b, c))
    change = with_voter_replaced(one, "c", d)
    assert joining_voters(change) == (d,) and change.old_voters == one.voters
    assert not is_quorum(change, {a, d}) and not is_quorum(change, {a, c}) and is_quorum(change, {a, b})
    for step in (lambda: with_voter_added(change, c), lambda: with_voter_removed(change, "a"), lambda: finalized(one),
                 lambda: with_voter_replaced(change, "a", Voter("a", 9))):  # fmt: skip
        with pytest.raises(ReconfigurationError):
            step()
    again = with_voter_replaced(change, "d", Voter("d", 7))  # the newcomer was lost in the middle
    assert again.old_voters == one.voters and again.epoch == 3
    assert finalized(again) == GroupConfig(4, (a, b, Voter("d", 7)))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_noise_is_no_message_and_no_record(noise: bytes) -> None:
    for read in (unpack, decode_record):
        try:
            read(noise)
        except MessageError:
            pass


BALLOTS = st.builds(Ballot, st.integers(0, 2**63 - 1), st.integers(0, 9))
KEYS = st.sampled_from([KEY, CONFIG_KEY, b"a" * 16])
VOTERS = st.lists(st.builds(Voter, st.sampled_from(THREE), st.integers(0, 3)), max_size=4).map(tuple)
CONFIGS = st.builds(GroupConfig, st.integers(0, 2**63 - 1), VOTERS, VOTERS)
ROWS = st.builds(
    RegisterState, KEYS, BALLOTS, st.integers(0, 2**40), st.one_of(st.binary(max_size=20), CONFIGS.map(pack))
)
SMALL, LARGE = st.integers(0, 3), st.integers(0, 2**63 - 1)
SAID = st.one_of(
    st.builds(Prepare, SMALL, SMALL, KEYS, BALLOTS),
    st.builds(Promise, SMALL, BALLOTS, BALLOTS, LARGE, st.binary(max_size=9)),
    st.builds(Accept, SMALL, SMALL, ROWS, BALLOTS), st.builds(Accepted, SMALL, BALLOTS),
    st.builds(Rejected, SMALL, BALLOTS, LARGE, st.integers(0, 5), LARGE),
    st.builds(ConfigRequest, LARGE, st.booleans()),
    st.builds(ConfigResponse, CONFIGS),
    st.builds(RangeDigests, SMALL, st.booleans(), st.lists(LARGE, min_size=64, max_size=64)),
    st.builds(KeysRequest, SMALL, st.integers(0, 63), st.binary(max_size=16)),
    st.builds(
        KeysResponse, SMALL, st.integers(0, 63), st.binary(max_size=16), st.lists(st.tuples(KEYS, BALLOTS), max_size=3),
        st.booleans(),
    ),
    st.builds(StatesRequest, st.lists(KEYS, max_size=3)),
    st.builds(StatesResponse, st.lists(ROWS, max_size=2), st.lists(KEYS, max_size=2)),
    st.builds(Heartbeat, st.booleans()),
)  # fmt: skip


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["p1", "p2", "p9"]), LARGE, st.lists(SAID, max_size=3)), max_size=12)
)
def test_whatever_another_says_under_a_good_key_raises_nothing(
    said: list[tuple[str, int, list[Message]]],
) -> None:
    machine = Replica("p0", 1, THREE, 0, Random(1), founding=True)
    now = 10**15
    for sender, store, items in said:
        machine.receive(now, sender, unpack(pack(MessageBatch(store, items))))
        machine.propose(now, KEY, lambda found: found[:100] + b"x")
        records, _, _ = machine.drain_output()
        machine.mark_durable(now, machine.durable_index + len(records))
        now += 100_000
        machine.advance(now)
    assert len(machine.acceptor.registers) <= 3 and machine.config.epoch < 2**30


def test_an_answer_of_a_version_before_is_read_past_and_a_change_may_leave_things_as_they_are() -> None:
    longer = pack(MessageBatch(5, [Accepted(1, Ballot(1, 1))]))
    assert unpack(longer).messages == [Accepted(1, Ballot(1, 1))]
    votes = group()
    number = votes.running["p0"].propose(votes.now, KEY, lambda found: None)
    results = []
    machine = votes.running["p0"]
    usual = votes._result
    votes._result = lambda name, result: (results.append(result), usual(name, result))[0]  # type: ignore[method-assign]
    votes._process_output("p0")
    votes.run(SECOND)
    assert [(r.operation, r.outcome, r.value) for r in results] == [
        (number, UNCHANGED, b"")
    ] and not machine.operations
    assert tokens(b"") == []
