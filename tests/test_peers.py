"""Fleet datagrams, messages, key files, membership and load sharing, without sockets and on virtual time."""

from __future__ import annotations

import random
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import HealthCheck, given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from paddlestep.interface import Outcome, Peers, Status
from slatehub.cli.fleet import fleet as command
from slatehub.decisions.fleet.load import MAX_PER_PROXY, TOTAL_NAMES, Load, NodeLoad, clamp, sum_loads
from slatehub.decisions.fleet.meter import LoadMeter
from slatehub.decisions.fleet.policy import NO_ESTIMATE, FleetPolicy, LocalEstimate, probing_proxies
from slatehub.fleet.aggregation import TREE_FANOUT, tree_rank
from slatehub.fleet.datagrams import MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, DatagramSealer
from slatehub.fleet.member_table import MAX_CLOCK_SKEW_MS, MAX_MEMBERS
from slatehub.fleet.messages import (
    ALIVE,
    DEAD,
    Gossip,
    Join,
    LoadAggregate,
    MemberRecord,
    MessageError,
    pack,
    unpack,
)
from slatehub.fleet.peer import Peer, PeerIdentity
from slatehub.settings import key_file
from slatelab.peers.membership_simulation import EPOCH, KEY, MembershipSimulation
from slatelab.peers.network import DatagramFaults

OTHER = (b"zzzz", b"k" * 32)
SECOND = 1_000_000
quick = hypo(max_examples=60, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))


def pair(**other: object) -> tuple[DatagramSealer, DatagramSealer]:
    terms = {"keys": (KEY,), "fleet": "f", "tier": 0, **other}
    receiver = DatagramSealer(terms["keys"], terms["fleet"], terms["tier"], 2)  # type: ignore[arg-type]
    return DatagramSealer((KEY,), "f", 0, 1), receiver


def test_sealed_datagram_opens_once_and_only_at_its_receiver() -> None:
    a, b = pair()
    data = a.seal(b"x" * MAX_BODY_BYTES, 2)
    assert len(data) == MAX_DATAGRAM_BYTES
    opened = b.open(data)
    assert (
        opened and opened.body == b"x" * MAX_BODY_BYTES and opened.is_current_session and opened.session == 1
    )
    assert b.open(data) is None and b.counts["replay"] == 1
    # A datagram to an earlier session of the receiver proves only that a key holder wrote it.
    assert not b.open(a.seal(b"", 77)).is_current_session  # type: ignore[union-attr]
    assert a.open(a.seal(b"", 1)) is None and a.counts["own"] == 1
    with pytest.raises(ValueError, match="a body of"):
        a.seal(b"x" * (MAX_BODY_BYTES + 1), 2)


@pytest.mark.parametrize(
    ("other", "why"),
    [({"keys": (OTHER,)}, "key"), ({"keys": ((KEY[0], OTHER[1]),)}, "forged"), ({"fleet": "g"}, "forged"),
     ({"tier": 1}, "forged")],
)  # fmt: skip
def test_datagram_of_another_key_fleet_or_tier_is_dropped(other: dict[str, object], why: str) -> None:
    a, b = pair(**other)
    assert b.open(a.seal(b"x", 2)) is None and b.counts[why] == 1


def test_two_keys_are_valid_during_rotation() -> None:
    a, b = pair()
    b.rekey((KEY, OTHER))
    a.rekey((OTHER, KEY))
    assert b.open(a.seal(b"x", 2)) and a.open(b.seal(b"y", 1))
    b.rekey((OTHER,))
    assert b.open(a.seal(b"x", 2)) and a.open(b.seal(b"y", 1))
    a.rekey((KEY,))
    assert b.open(a.seal(b"x", 2)) is None


@quick
@given(st.lists(st.integers(1, 400), max_size=200))
def test_replay_window_accepts_each_sequence_once(order: list[int]) -> None:
    from slatehub.fleet.datagrams import REPLAY_WINDOW, ReplayWindow

    window, taken, newest = ReplayWindow(), set(), 0
    for sequence in order:
        fits = sequence not in taken and sequence > newest - REPLAY_WINDOW
        assert window.accept(sequence) == fits
        taken.add(sequence)
        newest = max(newest, sequence)


@quick
@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 50), st.integers(0, 2**32))
def test_noise_and_corrupted_datagrams_are_only_counted(noise: bytes, seed: int) -> None:
    rng = random.Random(seed)
    places = (PeerIdentity("a", "f", 0, "127.0.0.1", 1), PeerIdentity("b", "f", 0, "127.0.0.1", 2))
    a, b = (Peer(place, (KEY,), EPOCH, random.Random(place.port)) for place in places)
    b.drain_datagrams()
    good = bytearray(a.sealer.seal(pack("a", Join(a.membership.self_record)), b.sealer.session))
    good[rng.randrange(len(good))] ^= 1 + rng.randrange(255)
    for data in (noise, bytes(good)):
        before = sum(b.drop_counts().values())
        b.receive(EPOCH, data)
        assert (
            sum(b.drop_counts().values()) == before + 1
            and not b.drain_datagrams()
            and not b.membership.member_table.members
        )


def value(depth: int = 0) -> st.SearchStrategy[object]:
    plain = (
        st.none()
        | st.integers(-(2**63), 2**64 - 1)
        | st.floats()
        | st.text(max_size=4)
        | st.binary(max_size=4)
    )
    return plain | st.lists(plain, max_size=5) if depth else plain | st.lists(value(1), max_size=7)


@quick
@given(st.lists(value(), max_size=8), st.integers(0, 7))
def test_any_authentic_body_decodes_or_raises_message_error(fields: list[object], tag: int) -> None:
    body = msgspec.msgpack.encode(["a", [tag, *fields]])
    try:
        envelope = unpack(body)
    except MessageError:
        return
    assert pack(envelope.sender, envelope.message)


@pytest.mark.parametrize(
    "figures", [[-1], [float("nan")], [float("inf")], [10**12 + 1], ["x"], [1] * 17], ids=str
)
def test_load_aggregate_with_invalid_figures_is_rejected(figures: list[object]) -> None:
    good = msgspec.to_builtins(LoadAggregate(False, 1, 1, 0, [1], [], []))
    good[5] = figures
    with pytest.raises(MessageError):
        unpack(msgspec.msgpack.encode(["a", good]))


def make_record(name: str, **more: object) -> MemberRecord:
    return msgspec.structs.replace(MemberRecord(name, "10.1.0.1", 9, 5, EPOCH // 1000, ALIVE), **more)


def deliver_gossip(simulation: MembershipSimulation, name: str, records: list[MemberRecord]) -> None:
    """Delivers these records to the member as gossip from p1."""
    peer, sender = simulation.peers[name], simulation.peers["p1"]
    peer.receive(simulation.now, sender.sealer.seal(pack("p1", Gossip(records)), peer.sealer.session))


def converged_fleet(count: int, seed: int = 1) -> MembershipSimulation:
    simulation = MembershipSimulation(seed)
    simulation.start(*(f"p{i}" for i in range(count)))
    simulation.run(6 * SECOND)
    assert simulation.has_converged()
    return simulation


def test_gossip_of_nonexistent_members_never_counts() -> None:
    simulation = converged_fleet(20)
    for i in range(0, 2000, 10):
        deliver_gossip(simulation, "p0", [make_record(f"ghost{i + k}") for k in range(10)])
    assert simulation.peers["p0"].member_counts().alive == 19
    simulation.run(120 * SECOND)
    assert simulation.has_converged() and not simulation.peers["p0"].membership.unconfirmed
    assert not [c for _, _, c in simulation.log if c.state in ("lost", "suspect")]


def test_member_table_is_bounded_and_evicts_lost_members_first() -> None:
    simulation = converged_fleet(3)
    table = simulation.peers["p0"].membership.member_table
    for i in range(MAX_MEMBERS + 50):
        table.update(make_record(f"x{i}", state=DEAD), simulation.now + i)
    assert len(table.members) == MAX_MEMBERS and "p1" in table.members and "p2" in table.members


def test_false_death_is_refuted_and_impossible_incarnation_rejected() -> None:
    simulation = converged_fleet(4)
    held = simulation.peers["p0"].membership.member_table.members["p2"].record
    deliver_gossip(simulation, "p0", [msgspec.structs.replace(held, state=DEAD)])
    assert simulation.peers["p0"].member_counts().lost == 1
    simulation.run(5 * SECOND)
    assert simulation.has_converged()
    far = held.incarnation + 2 * MAX_CLOCK_SKEW_MS
    deliver_gossip(simulation, "p0", [msgspec.structs.replace(held, incarnation=far, state=DEAD)])
    simulation.run(2 * SECOND)
    assert simulation.has_converged() and simulation.peers["p0"].membership.member_table.rejected_count


def test_second_process_of_a_name_is_reported_as_clash() -> None:
    simulation = converged_fleet(3)
    simulation.addresses["10.9.9.9", 7000] = "p9"
    twin = Peer(
        PeerIdentity("p1", "lab", 0, "10.9.9.9", 7000, (("10.0.0.0", 7000),)),
        (KEY,),
        simulation.now,
        random.Random(5),
    )
    simulation.peers["p9"] = twin
    simulation._process_output("p9")
    simulation.run(40 * SECOND)
    assert [c for _, name, c in simulation.log if c.state == "clash" and name in ("p1", "p9")]
    assert {"p0", "p2"} <= {m.record.name for m in twin.membership.member_table.live_members()}


def test_restart_is_the_same_member_and_replayed_join_is_ignored() -> None:
    simulation = converged_fleet(3)
    old = simulation.peers["p2"]
    record = old.sealer.seal(
        pack("p2", Join(old.membership.self_record)), simulation.peers["p0"].sealer.session
    )
    simulation.stop("p2")
    simulation.start("p2")
    simulation.run(3 * SECOND)
    assert simulation.has_converged() and not [c for _, _, c in simulation.log if c.state == "lost"]
    simulation.peers["p0"].receive(simulation.now, record)
    assert (
        simulation.peers["p0"].membership.member_table.members["p2"].record.session
        == simulation.peers["p2"].sealer.session
    )


@pytest.mark.parametrize("count", [5, 30])
def test_death_is_detected_in_time_without_false_positives(count: int) -> None:
    simulation = converged_fleet(count)
    simulation.stop("p3")
    stopped_at = simulation.now
    simulation.run(20 * SECOND)
    lost = {who: t for t, who, c in simulation.log if c.state == "lost"}
    assert {c.name for _, _, c in simulation.log if c.state == "lost"} == {"p3"}
    assert set(lost) == set(simulation.peers) and max(lost.values()) - stopped_at < 8 * SECOND
    assert (
        simulation.peers["p0"].member_counts().lost == 1
        and simulation.peers["p0"].member_counts().possibly_present == count - 1
    )


def test_resumed_process_declares_nobody_lost() -> None:
    simulation = converged_fleet(10)
    simulation.freeze("p4")
    simulation.run(8 * SECOND)
    assert {c.name for _, _, c in simulation.log if c.state == "lost"} == {"p4"}
    simulation.log.clear()
    simulation.unfreeze("p4")
    simulation.run(10 * SECOND)
    assert simulation.has_converged() and not [
        c for _, _, c in simulation.log if c.state == "lost" and c.name != "p4"
    ]


def test_member_that_can_only_receive_is_lost_and_recovers() -> None:
    simulation = converged_fleet(8)
    simulation.net.partition("mute", ["p5"], [f"p{i}" for i in range(8)], both=False)
    simulation.run(15 * SECOND)
    assert all(p.member_counts().lost == 1 for n, p in simulation.peers.items() if n != "p5")
    simulation.net.heal("mute")
    simulation.run(10 * SECOND)
    assert simulation.has_converged()


def test_partition_of_one_pair_is_bridged_by_the_others() -> None:
    simulation = converged_fleet(8)
    simulation.net.partition("pair", ["p1"], ["p2"])
    simulation.run(60 * SECOND)
    assert not [c for _, _, c in simulation.log if c.state == "lost"]


def test_both_sides_of_a_partition_find_each_other_again() -> None:
    simulation = converged_fleet(12)
    simulation.net.partition("half", [f"p{i}" for i in range(6)], [f"p{i}" for i in range(6, 12)])
    simulation.run(20 * SECOND)
    assert {
        (p.member_counts().present, p.member_counts().possibly_present) for p in simulation.peers.values()
    } == {(5, 11)}
    simulation.net.heal("half")
    simulation.run(10 * SECOND)
    assert simulation.has_converged()


@quick
@given(st.data())
def test_membership_converges_once_faults_end(data: st.DataObject) -> None:
    """Any sequence of partitions, losses, duplicates, delays, suspensions, deaths and starts."""
    simulation = MembershipSimulation(data.draw(st.integers(0, 99)))
    names = [f"p{i}" for i in range(6)]
    simulation.start(*names)
    frozen: set[str] = set()
    for _ in range(data.draw(st.integers(1, 6))):
        kind = data.draw(st.sampled_from(["cut", "one-way", "weather", "freeze", "restart", "leave"]))
        chosen = data.draw(st.sets(st.sampled_from(names), min_size=1, max_size=3))
        others = set(names) - chosen
        if kind in ("cut", "one-way"):
            simulation.net.partition(kind, chosen, others, kind == "cut")
        elif kind == "weather":
            simulation.net.faults = DatagramFaults(
                loss=0.3, duplication=0.2, corruption=0.1, reordering=0.3, reordering_delay=3 * SECOND
            )
        elif kind == "freeze":
            for name in chosen - frozen:
                simulation.freeze(name)
                frozen.add(name)
        else:
            for name in chosen - frozen:
                simulation.stop(name, leave=kind == "leave")
                simulation.start(name)
        simulation.run(data.draw(st.integers(0, 12)) * SECOND)
    simulation.net.partitions.clear()
    simulation.net.faults = DatagramFaults()
    for name in sorted(frozen):
        simulation.unfreeze(name)
    simulation.run(30 * SECOND)
    assert simulation.has_converged()


def test_key_file_is_created_rotated_and_checked(tmp_path: Path) -> None:
    run = CliRunner()
    path = str(tmp_path / "fleet.key")

    def run_keys(*arguments: str) -> str:
        done = run.invoke(command, ["keys", *arguments])
        return f"{done.exit_code} {done.output}"

    assert run_keys("make", path).startswith("0")
    first = key_file.read(path)
    assert run_keys("make", path).startswith("0") and key_file.read(path)[0] == first[0]
    assert "holds 2 keys already" in run_keys("make", path)
    assert run_keys("swap", path).startswith("0") and key_file.read(path)[1] == first[0]
    output = run_keys("drop", path)
    assert (
        output.startswith("0")
        and len(key_file.read(path)) == 1
        and key_file.read(path)[0].secret.hex() not in output
    )
    Path(path).chmod(0o644)
    assert "chmod 600" in run_keys("check", path)


LINE = b"00112233 " + b"0" * 64 + b"\n"


@pytest.mark.parametrize("raw", [b"", b"abc", LINE[:-2], b"\xff" * 9, b"0" * 5000, b"x" + LINE[1:], LINE * 2])
def test_invalid_key_file_is_rejected(raw: bytes) -> None:
    with pytest.raises(key_file.KeyFileError):
        key_file.parse(raw)


# ---------------------------------------------------------------- load sharing


def load(arrivals: float = 0.0, nodes: dict[int, NodeLoad] | None = None, **plain: float) -> Load:
    return Load(
        1, tuple({"arrivals": arrivals, **plain}.get(name, 0.0) for name in TOTAL_NAMES), (), nodes or {}
    )


class Module:
    """The part of the decision module that the load meter reads."""

    mean_occupied_slots = slots = 1.0
    waiting = ejected_count = 0
    ready = ()
    settings = SimpleNamespace(classes=())

    def __init__(self) -> None:
        self.servers: dict[int, object] = {}

    def uncrowded_work_us(self) -> float:
        return 0.0

    def expected_service_us(self, cls: int) -> float:
        return 0.0


def fleet_sharing_load(
    count: int, rates: dict[str, float], seed: int = 1
) -> tuple[MembershipSimulation, dict[str, Peers]]:
    """Peers that report the given arrivals a second, and the last event for each decision module."""
    events: dict[str, Peers] = {}

    def make(place: PeerIdentity, now: int, rng: random.Random) -> Peer:
        peer, module = Peer(place, (KEY,), now, rng), Module()
        load_sharing = peer.start_load_sharing(
            now, lambda: module, lambda _now, event, _until: events.update({place.name: event})
        )
        load_sharing.meter.read = lambda _now, _module: load(  # type: ignore
            rates.get(place.name, 10.0), used=1.0, slots=2.0
        )
        return peer

    simulation = MembershipSimulation(seed, make_peer=make)
    simulation.start(*(f"p{i}" for i in range(count)))
    simulation.run(8 * SECOND)
    return simulation, events


@pytest.mark.parametrize("count", [2, 7, 40])
def test_every_member_receives_the_fleet_sum(count: int) -> None:
    simulation, events = fleet_sharing_load(count, {"p1": 100.0})
    for name, peer in simulation.peers.items():
        assert peer.load_sharing and peer.load_sharing.aggregation.total
        assert peer.load_sharing.aggregation.total.members == count
        assert peer.load_sharing.aggregation.total.arrivals == pytest.approx(100 + 10 * (count - 1))
        assert peer.load_sharing.aggregation.age(simulation.now) < 3 * SECOND and events[name].alive == count
        assert events[name].idle == 0.5
    if count > 2:
        assert (
            events["p1"].part == pytest.approx(100 / (100 + 10 * (count - 1)))
            and events["p0"].part < 1 / count
        )


def test_sum_recovers_after_the_tree_root_dies() -> None:
    simulation, events = fleet_sharing_load(30, {})
    first = min(simulation.peers, key=tree_rank)
    simulation.stop(first)
    simulation.run(12 * SECOND)
    sums = [peer.load_sharing.aggregation.total for peer in simulation.peers.values() if peer.load_sharing]
    assert {fleet.members for fleet in sums if fleet} == {29}
    assert all(event.alive == 29 for name, event in events.items() if name != first)


def test_isolated_member_decides_by_its_own_load() -> None:
    simulation, events = fleet_sharing_load(9, {"p4": 90.0})
    assert events["p4"].part
    simulation.net.partition("cut", ["p4"], [f"p{i}" for i in range(9)])
    simulation.run(10 * SECOND)
    assert events["p4"] == Peers() and events["p0"].alive == 8
    simulation.net.heal("cut")
    simulation.run(10 * SECOND)
    assert events["p4"].part and events["p0"].alive == 9


def test_authentic_absurd_figures_are_clamped() -> None:
    simulation, events = fleet_sharing_load(10, {"p3": 1e9})
    assert all(0 <= event.part <= 1 for event in events.values()) and events["p0"].part >= 0.25 / 10
    false_load = Load(60_000, (1e9,) * len(TOTAL_NAMES), ((1e9, 1e9),), {7: NodeLoad(1e9, 1e9, 1e9, 0)})
    bound = clamp(false_load, 10)
    assert bound.members == 10 and bound.nodes[7].failed == 80 and bound.slots == MAX_PER_PROXY["slots"] * 10


@quick
@given(st.integers(2, 40), st.integers(0, 99))
def test_tree_has_no_cycles_with_differing_member_lists(count: int, seed: int) -> None:
    """For any member list, the parent of a member has a lower rank than the member."""
    rng = random.Random(seed)
    names = [f"p{i}" for i in range(count)]
    for name in names:
        seen = sorted(
            {name, *rng.sample(names, rng.randrange(1, count + 1))}, key=lambda n: (tree_rank(n), n)
        )
        place = seen.index(name)
        if place:
            assert tree_rank(seen[(place - 1) // TREE_FANOUT]) < tree_rank(name)


def test_failing_node_is_probed_by_one_proxy_and_returns_once_served() -> None:
    names = ["a", "b", "c", "d"]
    policies = {name: FleetPolicy(name) for name in names}
    bad = {1: NodeLoad(0, 4, 6.0, 1.0), 2: NodeLoad(0, 4, 0.2, 20.0)}
    fleet = Load(4, load(40.0).totals, (), bad)

    def avoided(now: int, fleet: Load) -> dict[str, frozenset[int]]:
        return {
            n: v.evaluate(now, load(10.0), fleet, 0, [x for x in names if x != n]).barred
            for n, v in policies.items()
        }

    found = avoided(EPOCH, fleet)
    assert sorted(map(set, found.values()), key=len) == [set(), {1}, {1}, {1}]
    assert not found[probing_proxies(1, names)[0]]
    served = Load(4, fleet.totals, (), {1: NodeLoad(0, 1, 0.5, 1.0), 2: bad[2]})
    assert not any(avoided(EPOCH + SECOND, served).values())
    alike = Load(4, fleet.totals, (), {n: NodeLoad(0, 4, 8.0, 4.0) for n in (1, 2, 3)})
    assert not any(avoided(EPOCH + 2 * SECOND, alike).values())  # never where all nodes fail alike
    avoided(EPOCH + 3 * SECOND, fleet)
    for policy in policies.values():
        policy.nodes_restarted({1: EPOCH + 4 * SECOND})
    assert not any(v.avoided_nodes for v in policies.values())


@pytest.mark.parametrize("apart_us", [0, 300_000, SECOND])
def test_node_ejected_by_proxies_in_turn_is_probed_by_one(apart_us: int) -> None:
    """Each proxy has served many calls at the node just before, and ejects it after two failures."""
    names = ["a", "b", "c", "d"]
    meters = [LoadMeter(EPOCH) for _ in names]
    modules = []
    for meter in meters:
        module = Module()
        module.servers = {
            n: SimpleNamespace(ejected_until=0, ejected_by_peers=False, in_flight=0) for n in (1, 2)
        }
        modules.append(module)
        for node in (1, 2) * 18:
            meter.batch(EPOCH, [Outcome(1, 0, node, Status.OK, 1000, True)], [])
    now = EPOCH
    for meter, module in zip(meters, modules, strict=True):
        for _ in range(2):
            meter.batch(now, [Outcome(1, 0, 1, Status.ERROR, 1000, True)], [])
        module.servers[1].ejected_until = now + 5 * SECOND  # type: ignore[attr-defined]
        now += apart_us
        loads = [meter.read(now, module) for meter, module in zip(meters, modules, strict=True)]
    fleet = sum_loads(loads)
    policies = {name: FleetPolicy(name) for name in names}
    found = [
        v.evaluate(now, load(10.0), fleet, 0, [x for x in names if x != n]).barred
        for n, v in policies.items()
    ]
    assert sorted(map(set, found), key=len) == [set(), {1}, {1}, {1}]


def test_fleet_retries_stop_at_a_tenth_and_resume_below() -> None:
    policy = FleetPolicy("a")

    def further(rate: float) -> bool:
        fleet = Load(2, load(100.0, sends=100.0, further=rate).totals, (), {})
        return policy.evaluate(EPOCH, load(50.0), fleet, 0, ["b"]).further

    assert [further(rate) for rate in (5, 9.9, 10.5, 9, 8.5, 7.9, 9)] == [
        True,
        True,
        False,
        False,
        False,
        True,
        True,
    ]


def test_work_per_call_follows_peak_service_rate_and_is_clamped() -> None:
    policy = FleetPolicy("a")

    def work(served: float, local_estimate: LocalEstimate, at: int = EPOCH) -> float:
        return policy.evaluate(
            at, load(50.0), Load(2, load(100.0, served=served).totals), 0, ["b"], local_estimate
        ).work

    # Without an estimate of its own nothing can be compared.
    assert work(80.0, LocalEstimate()) == work(80.0, LocalEstimate(4)) == 0.0
    assert work(80.0, LocalEstimate(4, 100_000.0)) == pytest.approx(50_000)
    # A lower rate of served calls does not raise the work per call.
    assert work(40.0, LocalEstimate(4, 100_000.0)) == pytest.approx(50_000)
    assert work(40.0, LocalEstimate(4, 30_000.0)) == 30_000  # never more than the proxy's own estimate
    # Never less than a third of it either, however wrong the sum is.
    assert work(1e6, LocalEstimate(4, 90_000.0)) == 30_000
    assert FleetPolicy("c").evaluate(EPOCH, load(50.0), None, 0, ["b"], LocalEstimate(4, 9.0)).work == 0.0


def test_removed_nodes_keep_recent_service_rate_and_isolation_resets_share_correction() -> None:
    policy = FleetPolicy("a")
    fleet = Load(2, load(100.0, served=80.0).totals)

    def work(nodes: int, at: int) -> float:
        return policy.evaluate(at, load(50.0), fleet, 0, ["b"], LocalEstimate(nodes, 100_000.0)).work

    assert work(8, EPOCH) == pytest.approx(100_000)
    # Half of the nodes have just been removed; the others do not serve twice as much at once.
    assert work(4, EPOCH + SECOND) > 80_000
    short = Load(2, load(100.0, refused=10.0).totals)
    for step in range(20):
        policy.evaluate(EPOCH + (2 + step) * SECOND, load(50.0, refused=10.0), short, 0, ["b"])
    assert policy.share_correction > 1
    policy.evaluate(EPOCH + 30 * SECOND, load(50.0), None, 0, ["b"])
    assert policy.share_correction == 1


def settled_event(
    policy: FleetPolicy,
    own: Load,
    fleet: Load,
    local_estimate: LocalEstimate = NO_ESTIMATE,
    seconds: int = 10,
) -> Peers:
    """The last event for one of twenty proxies that gets the same sum four times a second."""
    for step in range(4 * seconds):
        event = policy.evaluate(
            EPOCH + step * SECOND // 4, own, fleet, 0, [f"p{i}" for i in range(19)], local_estimate
        )
    return event


def test_a_sum_of_the_largest_figures_still_fits_a_datagram() -> None:
    """Guards against an aggregate too long for a datagram, which raised in the member that forwarded it."""
    simulation, _ = fleet_sharing_load(3, {})
    nodes = {2**63 + i: NodeLoad(1e12, 1e12, 1e12, 1e12) for i in range(24)}
    for peer in simulation.peers.values():
        assert peer.load_sharing
        most = Load(1, (1e12,) * len(TOTAL_NAMES), ((1e12, 1e12),) * 16, nodes)
        peer.load_sharing.meter.read = lambda _now, _module, most=most: most  # type: ignore[method-assign]
    simulation.run(4 * SECOND)
    assert all(
        peer.load_sharing
        and peer.load_sharing.aggregation.total
        and peer.load_sharing.aggregation.total.nodes
        for peer in simulation.peers.values()
    )


def test_shares_by_demand_sum_to_about_one() -> None:
    rates = [190.0] + [10.0] * 19
    fleet = Load(20, load(sum(rates)).totals)
    shares = [
        settled_event(FleetPolicy(f"p{i}"), load(rate), fleet).part or 1 / 20 for i, rate in enumerate(rates)
    ]
    assert shares[0] == pytest.approx(0.5)
    assert 0.95 < sum(shares) < 1.15


def test_share_grows_with_excess_refusals_and_false_sums_cost_at_most_half() -> None:
    fleet = Load(20, load(800.0, refused=160.0).totals)
    more, less = (settled_event(FleetPolicy("a"), load(40.0, refused=x), fleet).part for x in (16.0, 0.0))
    assert less < 0.7 / 20 < 1.5 / 20 < more <= 4 / 20
    false_sum = Load(20, load(400_000.0, refused=400_000.0).totals)
    assert settled_event(FleetPolicy("a"), load(40.0), false_sum).part == 0.5 / 20


def test_common_worth_threshold_has_hysteresis() -> None:
    policy, rated = FleetPolicy("a"), ((10.0, 0.0), (30.0, 0.0))
    local_estimate = LocalEstimate(4, 1000.0, (0.4, 0.2))

    def worth_threshold(used: float) -> float:
        fleet = Load(2, load(40.0, used=used, slots=10.0).totals, rated)
        return policy.evaluate(EPOCH, load(20.0), fleet, 0, ["b"], local_estimate).worth

    assert [worth_threshold(used) for used in (8.4, 8.6, 7.5, 6.9, 8.4)] == [
        0,
        pytest.approx(0.25),
        pytest.approx(0.25),
        0,
        0,
    ]


@pytest.mark.parametrize("fleet", [None, load(10.0)])
def test_incomplete_or_stale_sum_is_ignored(fleet: Load | None) -> None:
    assert FleetPolicy("a").evaluate(EPOCH, load(1.0), fleet, 0, ["b", "c"]) == Peers()
    whole = Load(3, load(30.0).totals, (), {})
    assert FleetPolicy("a").evaluate(EPOCH, load(1.0), whole, 4 * SECOND, ["b", "c"]) == Peers()
    assert FleetPolicy("a").evaluate(EPOCH, load(1.0), whole, 0, ["b", "c"]).alive == 3
