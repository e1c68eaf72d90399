"""Replicated registers in simulation: randomized fault schedules, the loss or duplication of each single message, a
crash at each moment; and faults planted in the replica, which the linearizability check must detect."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatehub.copies import replica as replica_module
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


def start_group(seed: int = 1, names: list[str] | None = None) -> ReplicaSimulation:
    simulation = ReplicaSimulation(seed, names or THREE)
    simulation.start(*simulation.founders)
    simulation.run(2 * SECOND)
    assert all(replica.config.epoch == 1 for replica in simulation.running.values())
    return simulation


def run_until(
    simulation: ReplicaSimulation, condition: Callable[[], object], span: int = 20 * SECOND
) -> None:
    """Runs the simulation until `condition` holds."""
    end = simulation.now + span
    while not condition():
        assert simulation.now < end, "the condition never held"
        simulation.run(MS)


def assert_linearizable(simulation: ReplicaSimulation, keys: tuple[bytes, ...] = (KEY,)) -> None:
    simulation.run(5 * SECOND)
    for key in keys:
        assert simulation.read(key) is not None
    assert not linearizability_violations(simulation.history)


@pytest.mark.parametrize(("first", "size"), [(1, 3), (5001, 5)])
def test_randomized_runs_are_linearizable_and_recover(first: int, size: int) -> None:
    for seed in range(first, first + 40):
        run = run_seed(seed, size)
        assert not run.violations, (seed, run.violations)


def write_concurrently(simulation: ReplicaSimulation) -> None:
    for name in ("p0", "p1"):
        simulation.append_token(name, KEY)
    simulation.run(100 * MS)
    simulation.append_token("p0", KEY)
    simulation.run(2 * SECOND)


@pytest.mark.parametrize("copies", [0, 2])
def test_each_single_message_is_lost_or_duplicated_in_turn(copies: int) -> None:
    simulation = start_group()
    before = simulation.messages_sent
    write_concurrently(simulation)
    count = simulation.messages_sent - before
    assert count > 20
    for number in range(1, count + 1):
        simulation = start_group()
        start = simulation.messages_sent
        simulation.copies_override = lambda n, a, b, at=start + number: copies if n == at else 1  # type: ignore[misc]
        write_concurrently(simulation)
        simulation.copies_override = None
        assert_linearizable(simulation)
        assert all(operation.outcome == WRITTEN for operation in simulation.history), number


@pytest.mark.parametrize("wipe", [False, True])
def test_a_proxy_is_lost_at_each_moment_of_an_operation_and_returns(wipe: bool) -> None:
    for at in range(0, 6 * MS, 150):
        for name in ("p0", "p1"):
            simulation = start_group(at)
            simulation.append_token("p1", KEY)
            simulation.append_token("p2", KEY)
            simulation.run(at)
            simulation.crash(name, wipe)
            simulation.run(500 * MS)
            simulation.append_token("p2", KEY)
            simulation.start(name)
            assert_linearizable(simulation)


def test_losing_two_stores_in_turn_stops_three_voters_and_is_tolerated_by_five() -> None:
    simulation = start_group()
    simulation.append_token("p2", KEY)
    simulation.run(100 * MS)
    simulation.crash("p0", wipe=True)
    simulation.crash("p1", wipe=True)
    simulation.start("p0", "p1")
    simulation.run(10 * SECOND)
    began = simulation.now
    operations = [simulation.append_token(name, KEY) for name in THREE]
    simulation.run(SECOND)
    assert all(a and a.outcome == NO_QUORUM and a.ended - began <= 400 * MS for a in operations)
    assert simulation.running["p2"].acceptor.get(KEY)  # the remaining voter still holds the state
    repeated = simulation.append_token("p2", KEY)
    # The missing quorum is known by now, so the operation fails immediately.
    assert repeated and repeated.ended == simulation.now
    five = [f"p{i}" for i in range(5)]
    simulation = start_group(names=five)
    simulation.append_token("p2", KEY)
    simulation.run(100 * MS)
    for name in ("p0", "p1"):
        simulation.crash(name, wipe=True)
        simulation.start(name)
        operation = simulation.append_token("p3", KEY)
        simulation.run(50 * MS)
        assert operation and operation.outcome == WRITTEN
    simulation.run(10 * SECOND)
    assert all(replica.is_voter for replica in simulation.running.values())
    assert_linearizable(simulation)


def test_a_joining_voter_counts_only_after_it_has_synchronized_with_a_majority_of_the_old_voters() -> None:
    simulation = start_group()
    keys = [bytes([i + 1]) * 16 for i in range(120)]
    for i, key in enumerate(keys):
        simulation.append_token(THREE[i % 3], key)
        simulation.run(20 * MS)
    simulation.net.delay = 20 * MS  # so that the catch-up takes long enough to be interrupted
    simulation.crash("p1", wipe=True)
    simulation.start("p1")
    run_until(simulation, lambda: simulation.running["p1"].config.old_voters)
    assert simulation.running["p1"].catchup.is_catching_up
    simulation.crash("p0")  # only p2 is left of the old voters: the change cannot end
    simulation.run(5 * SECOND)
    assert simulation.running["p1"].config.old_voters and simulation.running["p1"].catchup.is_catching_up
    simulation.start("p0")
    simulation.run(60 * SECOND)
    assert not simulation.running["p1"].config.old_voters and len(
        simulation.running["p1"].acceptor.registers
    ) >= len(keys)
    assert_linearizable(simulation, tuple(keys[:3]))


def test_an_outdated_replica_fetches_only_the_registers_that_differ() -> None:
    simulation = start_group()
    keys = [bytes([i + 1]) * 16 for i in range(60)]
    for key in keys[:50]:
        simulation.append_token("p0", key)
        simulation.run(10 * MS)
    simulation.crash("p2")
    for key in keys[50:]:
        simulation.append_token("p0", key)
        simulation.run(10 * MS)
    simulation.start("p2")
    assert len(simulation.running["p2"].acceptor.registers) <= 52
    simulation.run(30 * SECOND)
    assert all(simulation.running["p2"].acceptor.get(key) for key in keys)
    assert simulation.running["p2"].catchup.repaired_count <= 14


def test_a_group_grows_by_one_shrinks_by_one_and_replaces_one() -> None:
    simulation = start_group()
    simulation.append_token("p0", KEY)
    simulation.start("p3", "p4")
    simulation.run(2 * SECOND)
    for what, name, new, voters in (
        ("add", "p3", "", ["p0", "p1", "p2", "p3"]), ("add", "p4", "", ["p0", "p1", "p2", "p3", "p4"]),
        ("remove", "p1", "", ["p0", "p2", "p3", "p4"]), ("replace", "p2", "p1", ["p0", "p1", "p3", "p4"]),
    ):  # fmt: skip
        assert simulation.running["p0"].change_voters(simulation.now, what, name, new) == ""
        simulation._process_output("p0")
        simulation.append_token("p4", KEY)
        simulation.run(5 * SECOND)
        assert [v.name for v in simulation.running["p0"].config.voters] == voters and not simulation.running[
            "p0"
        ].config.old_voters
    assert "no voter" in simulation.running["p0"].change_voters(simulation.now, "remove", "p2")
    assert_linearizable(simulation)


def test_one_full_or_slow_disk_does_not_slow_down_the_group() -> None:
    simulation = start_group()
    simulation.disks["p1"].delay = 300 * MS
    operations = [simulation.append_token(name, KEY) for name in ("p0", "p2", "p1")]
    simulation.run(250 * MS)
    assert all(a and a.outcome == WRITTEN and a.ended - a.began < 100 * MS for a in operations)
    simulation.fill_disk("p2")
    simulation.append_token("p0", KEY)
    simulation.run(SECOND)
    assert simulation.running["p2"].store_failure
    simulation.disks["p1"].delay = 200
    operations = [simulation.append_token(name, KEY) for name in ("p0", "p2")]
    simulation.run(SECOND)
    # A proxy whose store has failed still proposes to the others.
    assert all(a and a.outcome == WRITTEN for a in operations)
    simulation.crash("p2")
    simulation.start("p2")
    assert_linearizable(simulation)


def test_a_minority_fails_immediately_and_recovers_when_the_partition_heals() -> None:
    simulation = start_group()
    simulation.net.partition("cut", ["p0"], ["p1", "p2"])
    first = simulation.append_token("p0", KEY)
    simulation.run(SECOND)
    assert first and first.ended - first.began <= 400 * MS
    second = simulation.append_token("p0", KEY)
    assert second and second.outcome == NO_QUORUM and second.ended == second.began
    by_majority = simulation.append_token("p1", KEY)
    simulation.run(100 * MS)
    assert by_majority and by_majority.outcome == WRITTEN
    simulation.net.heal("cut")
    simulation.run(SECOND)
    third = simulation.append_token("p0", KEY)
    simulation.run(100 * MS)
    assert third and third.outcome == WRITTEN
    assert_linearizable(simulation)


def test_a_replica_that_was_frozen_marks_no_voter_unresponsive_and_its_late_replies_do_no_harm() -> None:
    simulation = start_group()
    simulation.append_token("p0", KEY)
    simulation.run(200)
    simulation.freeze("p1")
    simulation.append_token("p2", KEY)
    simulation.run(3 * SECOND)
    simulation.unfreeze("p1")
    assert not simulation.running["p1"].unresponsive
    assert_linearizable(simulation)


# ---------------------------------------------------------------- planted faults


def test_a_wiped_voter_that_keeps_its_store_id_is_detected() -> None:
    found = next(seed for seed in range(1, 60) if run_seed(seed, reuse_store_id=True).violations)
    assert not run_seed(found).violations


WIPE_EVENTS = [Event(0, "ask", 0), Event(100 * MS, "trap", 0, SECOND, 0.9), Event(600 * MS, "ask", 0),
        Event(1_600 * MS, "ask", 2), Event(1_700 * MS, "ask", 2)]  # fmt: skip


def test_the_smallest_failing_schedule_of_a_wiped_voter_has_at_most_five_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert (
        run_seed(1, events=WIPE_EVENTS, reuse_store_id=True).violations
        and not run_seed(1, events=WIPE_EVENTS).violations
    )
    monkeypatch.setattr(randomized_faults, "draw_events", lambda seed, size: WIPE_EVENTS)
    monkeypatch.setattr(
        randomized_faults,
        "run_seed",
        lambda seed, size, build, events: run_seed(seed, size, build, events, True),
    )
    events, run = shrink(1, 3, None)
    assert len(events) <= 4 and run.violations


class PrematureReplica(Replica):
    """A faulty replica that sends its replies before the records are durable."""

    @property
    def durable_index(self) -> int:  # type: ignore[override]
        return 10**12

    @durable_index.setter
    def durable_index(self, value: int) -> None: ...


def test_a_reply_before_the_sync_is_detected() -> None:
    def build(name: str, store: int, now: int, rng: Random, founding: bool) -> Replica:
        return PrematureReplica(name, store, THREE, now, rng, founding=founding)

    def violates(build: object) -> bool:
        for seed in range(20):
            simulation = ReplicaSimulation(seed, THREE, build=build)  # type: ignore[arg-type]
            simulation.start(*THREE)
            simulation.run(2 * SECOND)
            operation = simulation.append_token("p0", KEY)
            for _ in range(2_000):
                if operation and not operation.ended:
                    simulation.run(20)
            for name in THREE:
                simulation.crash(name)
            simulation.start(*THREE)
            simulation.run(3 * SECOND)
            simulation.read(KEY)
            if linearizability_violations(simulation.history):
                return True
        return False

    assert violates(build) and not violates(None)


@pytest.mark.parametrize("kind", ["one", "new"])
def test_a_wrong_quorum_rule_is_detected(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Faulty quorum rules: any single voter, or only the new voters during a joint configuration."""
    faulty_rule = {
        "one": lambda config, some: any(v in some for v in config.voters),
        "new": lambda config, some: is_quorum(GroupConfig(config.epoch, config.voters), some),
    }[kind]

    def violates() -> bool:
        for seed in range(1, 8):
            simulation = start_group(seed)
            simulation.append_token("p0", KEY)
            simulation.run(SECOND)
            simulation.net.partition("a", ["p2"], ["p0", "p1"])
            simulation.append_token("p0", KEY)
            simulation.append_token("p2", KEY)
            simulation.run(SECOND)
            simulation.crash("p1", wipe=True)  # only p0 holds the last write
            simulation.net.heal("a")
            simulation.start("p1")
            run_until(simulation, lambda v=simulation: v.running["p1"].config.old_voters)  # type: ignore[misc]
            simulation.net.partition("c", ["p0"], ["p1", "p2"])
            simulation.append_token("p2", KEY)
            simulation.run(SECOND)
            simulation.net.partitions.clear()
            simulation.run(5 * SECOND)
            simulation.read(KEY)
            if linearizability_violations(simulation.history):
                return True
        return False

    assert not violates()
    monkeypatch.setattr(replica_module, "is_quorum", faulty_rule)
    assert violates()


# ---------------------------------------------------------------- units


def prepare(acceptor: Acceptor, counter: int, proposer: int = 1, now_s: int = 0) -> Promise | Rejected:
    return acceptor.prepare(now_s, Prepare(1, 1, KEY, Ballot(counter, proposer)))[0]


def accept(
    acceptor: Acceptor, counter: int, value: bytes, proposer: int = 1, expires_at_s: int = 0
) -> Accepted | Rejected:
    ballot = Ballot(counter, proposer)
    return acceptor.accept(
        Accept(1, 1, RegisterState(KEY, ballot, expires_at_s, value), Ballot(counter + 1, proposer))
    )[0]


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


def test_a_state_merged_from_another_voter_does_not_override_a_promise() -> None:
    acceptor = Acceptor(10)
    assert isinstance(prepare(acceptor, 9, proposer=2), Promise)
    acceptor.merge(RegisterState(KEY, Ballot(7, 1), 0, b"a"), 0)
    assert isinstance(accept(acceptor, 7, b"a"), Rejected)  # its proposer was overtaken by ballot 9
    found = prepare(acceptor, 11)
    assert isinstance(found, Promise) and found.accepted == Ballot(7, 1) and found.value == b"a"


def test_removed_registers_need_higher_ballots_and_an_implausible_counter_is_rejected() -> None:
    acceptor = Acceptor(10)
    assert isinstance(accept(acceptor, 50, b"a", expires_at_s=1000), Accepted)
    assert acceptor.expire(1000 + CLOCK_SKEW_S) == 0
    assert acceptor.expire(1000 + CLOCK_SKEW_S + 200) == 1 and not acceptor.registers
    assert acceptor.range_digests == [0] * len(acceptor.range_digests)
    assert isinstance(prepare(acceptor, 50, now_s=9999), Rejected)
    assert isinstance(prepare(acceptor, 52, now_s=9999), Promise)
    assert isinstance(prepare(acceptor, 10 * MAX_COUNTER_JUMP, now_s=9999), Rejected)
    assert isinstance(prepare(acceptor, 60, now_s=9999), Promise)


def test_a_register_that_was_promised_but_never_written_expires_and_makes_room() -> None:
    acceptor = Acceptor(1)
    assert isinstance(prepare(acceptor, 5), Promise)
    assert acceptor.expire(CLOCK_SKEW_S) == 0 and acceptor.registers
    assert acceptor.expire(CLOCK_SKEW_S + 200) == 1 and not acceptor.registers
    assert isinstance(prepare(acceptor, 5, now_s=9999), Rejected)
    assert isinstance(prepare(acceptor, 6, now_s=9999), Promise)


def test_no_more_registers_than_there_is_room_for() -> None:
    acceptor = Acceptor(3)
    for i in range(5):
        state = RegisterState(bytes([i + 1]) * 16, Ballot(1, 1), 0, b"a")
        reply = acceptor.accept(Accept(1, 1, state, Ballot(2, 1)))[0]
        assert isinstance(reply, Accepted) == (i < 3)
    assert (
        len(acceptor.registers) == 3
        and len([r for r in acceptor.pending_records if isinstance(r, StateAccepted)]) == 3
    )


def test_configurations_change_one_step_at_a_time_and_consecutive_ones_share_a_quorum_voter() -> None:
    a, b, c, d = (Voter(name, i + 1) for i, name in enumerate("abcd"))
    initial = GroupConfig(1, (a, b, c))
    change = with_voter_replaced(initial, "c", d)
    assert joining_voters(change) == (d,) and change.old_voters == initial.voters
    assert not is_quorum(change, {a, d}) and not is_quorum(change, {a, c}) and is_quorum(change, {a, b})
    for step in (lambda: with_voter_added(change, c), lambda: with_voter_removed(change, "a"),
                 lambda: finalized(initial), lambda: with_voter_replaced(change, "a", Voter("a", 9))):  # fmt: skip
        with pytest.raises(ReconfigurationError):
            step()
    replaced = with_voter_replaced(change, "d", Voter("d", 7))  # the joining voter was lost during the change
    assert replaced.old_voters == initial.voters and replaced.epoch == 3
    assert finalized(replaced) == GroupConfig(4, (a, b, Voter("d", 7)))


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
STATES = st.builds(
    RegisterState, KEYS, BALLOTS, st.integers(0, 2**40), st.one_of(st.binary(max_size=20), CONFIGS.map(pack))
)
SMALL_INTS, LARGE_INTS = st.integers(0, 3), st.integers(0, 2**63 - 1)
MESSAGES = st.one_of(
    st.builds(Prepare, SMALL_INTS, SMALL_INTS, KEYS, BALLOTS),
    st.builds(Promise, SMALL_INTS, BALLOTS, BALLOTS, LARGE_INTS, st.binary(max_size=9)),
    st.builds(Accept, SMALL_INTS, SMALL_INTS, STATES, BALLOTS), st.builds(Accepted, SMALL_INTS, BALLOTS),
    st.builds(Rejected, SMALL_INTS, BALLOTS, LARGE_INTS, st.integers(0, 5), LARGE_INTS),
    st.builds(ConfigRequest, LARGE_INTS, st.booleans()),
    st.builds(ConfigResponse, CONFIGS),
    st.builds(RangeDigests, SMALL_INTS, st.booleans(), st.lists(LARGE_INTS, min_size=64, max_size=64)),
    st.builds(KeysRequest, SMALL_INTS, st.integers(0, 63), st.binary(max_size=16)),
    st.builds(
        KeysResponse, SMALL_INTS, st.integers(0, 63), st.binary(max_size=16),
        st.lists(st.tuples(KEYS, BALLOTS), max_size=3), st.booleans(),
    ),
    st.builds(StatesRequest, st.lists(KEYS, max_size=3)),
    st.builds(StatesResponse, st.lists(STATES, max_size=2), st.lists(KEYS, max_size=2)),
    st.builds(Heartbeat, st.booleans()),
)  # fmt: skip


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["p1", "p2", "p9"]), LARGE_INTS, st.lists(MESSAGES, max_size=3)),
        max_size=12,
    )
)
def test_no_authenticated_message_raises_an_exception(
    said: list[tuple[str, int, list[Message]]],
) -> None:
    replica = Replica("p0", 1, THREE, 0, Random(1), founding=True)
    now = 10**15
    for sender, store, items in said:
        replica.receive(now, sender, unpack(pack(MessageBatch(store, items))))
        replica.propose(now, KEY, lambda found: found[:100] + b"x")
        records, _, _ = replica.drain_output()
        replica.mark_durable(now, replica.durable_index + len(records))
        now += 100_000
        replica.advance(now)
    assert len(replica.acceptor.registers) <= 3 and replica.config.epoch < 2**30


def test_an_answer_of_a_version_before_is_read_past_and_a_change_may_leave_things_as_they_are() -> None:
    longer = pack(MessageBatch(5, [Accepted(1, Ballot(1, 1))]))
    assert unpack(longer).messages == [Accepted(1, Ballot(1, 1))]
    votes = start_group()
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
