"""The peers' link and membership, without a socket: seals, words, keys, and fleets on virtual time."""

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
from slatehub.decisions.fleet.load import MAX_PER_PROXY as MOST_OF
from slatehub.decisions.fleet.load import TOTAL_NAMES, Load, NodeLoad, clamp, sum_loads
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
    return DatagramSealer((KEY,), "f", 0, 1), DatagramSealer(terms["keys"], terms["fleet"], terms["tier"], 2)  # type: ignore[arg-type]


def test_what_is_sealed_is_opened_once_and_only_by_who_should() -> None:
    a, b = pair()
    data = a.seal(b"x" * MAX_BODY_BYTES, 2)
    assert len(data) == MAX_DATAGRAM_BYTES
    opened = b.open(data)
    assert (
        opened and opened.body == b"x" * MAX_BODY_BYTES and opened.is_current_session and opened.session == 1
    )
    assert b.open(data) is None and b.counts["replay"] == 1
    # another life of ours: nothing more than a hello
    assert not b.open(a.seal(b"", 77)).is_current_session  # type: ignore[union-attr]
    assert a.open(a.seal(b"", 1)) is None and a.counts["own"] == 1
    with pytest.raises(ValueError, match="a body of"):
        a.seal(b"x" * (MAX_BODY_BYTES + 1), 2)


@pytest.mark.parametrize(
    ("other", "why"),
    [({"keys": (OTHER,)}, "key"), ({"keys": ((KEY[0], OTHER[1]),)}, "forged"), ({"fleet": "g"}, "forged"),
     ({"tier": 1}, "forged")],
)  # fmt: skip
def test_another_key_fleet_or_tier_is_not_heard(other: dict[str, object], why: str) -> None:
    a, b = pair(**other)
    assert b.open(a.seal(b"x", 2)) is None and b.counts[why] == 1


def test_two_keys_are_valid_at_once_so_that_one_can_go() -> None:
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
def test_the_window_takes_each_sequence_once(order: list[int]) -> None:
    from slatehub.fleet.datagrams import REPLAY_WINDOW, ReplayWindow

    window, taken, newest = ReplayWindow(), set(), 0
    for sequence in order:
        fits = sequence not in taken and sequence > newest - REPLAY_WINDOW
        assert window.accept(sequence) == fits
        taken.add(sequence)
        newest = max(newest, sequence)


@quick
@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 50), st.integers(0, 2**32))
def test_noise_and_broken_datagrams_are_counted_and_nothing_else(noise: bytes, seed: int) -> None:
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
def test_words_of_any_shape_under_a_good_key_are_words_or_none(parts: list[object], tag: int) -> None:
    body = msgspec.msgpack.encode(["a", [tag, *parts]])
    try:
        letter = unpack(body)
    except MessageError:
        return
    assert pack(letter.sender, letter.message)


@pytest.mark.parametrize(
    "figures", [[-1], [float("nan")], [float("inf")], [10**12 + 1], ["x"], [1] * 17], ids=str
)
def test_a_sum_of_nonsense_is_no_sum(figures: list[object]) -> None:
    good = msgspec.to_builtins(LoadAggregate(False, 1, 1, 0, [1], [], []))
    good[5] = figures
    with pytest.raises(MessageError):
        unpack(msgspec.msgpack.encode(["a", good]))


def row(name: str, **more: object) -> MemberRecord:
    return msgspec.structs.replace(MemberRecord(name, "10.1.0.1", 9, 5, EPOCH // 1000, ALIVE), **more)


def member(ring: MembershipSimulation, name: str, rows: list[MemberRecord]) -> None:
    """Tells it these rows, as its fellow p1 would."""
    peer, teller = ring.peers[name], ring.peers["p1"]
    peer.receive(ring.now, teller.sealer.seal(pack("p1", Gossip(rows)), peer.sealer.session))


def met(count: int, seed: int = 1) -> MembershipSimulation:
    ring = MembershipSimulation(seed)
    ring.start(*(f"p{i}" for i in range(count)))
    ring.run(6 * SECOND)
    assert ring.has_converged()
    return ring


def test_two_thousand_names_that_nobody_bears_never_count() -> None:
    ring = met(20)
    for i in range(0, 2000, 10):
        member(ring, "p0", [row(f"ghost{i + k}") for k in range(10)])
    assert ring.peers["p0"].member_counts().alive == 19
    ring.run(120 * SECOND)
    assert ring.has_converged() and not ring.peers["p0"].membership.unconfirmed
    assert not [c for _, _, c in ring.log if c.state in ("lost", "suspect")]


def test_the_table_has_a_bound_and_the_lost_go_first() -> None:
    ring = met(3)
    table = ring.peers["p0"].membership.member_table
    for i in range(MAX_MEMBERS + 50):
        table.update(row(f"x{i}", state=DEAD), ring.now + i)
    assert len(table.members) == MAX_MEMBERS and "p1" in table.members and "p2" in table.members


def test_what_is_said_of_a_living_one_is_contradicted_and_an_impossible_incarnation_is_refused() -> None:
    ring = met(4)
    held = ring.peers["p0"].membership.member_table.members["p2"].record
    member(ring, "p0", [msgspec.structs.replace(held, state=DEAD)])
    assert ring.peers["p0"].member_counts().lost == 1
    ring.run(5 * SECOND)
    assert ring.has_converged()
    far = held.incarnation + 2 * MAX_CLOCK_SKEW_MS
    member(ring, "p0", [msgspec.structs.replace(held, incarnation=far, state=DEAD)])
    ring.run(2 * SECOND)
    assert ring.has_converged() and ring.peers["p0"].membership.member_table.rejected_count


def test_a_second_process_of_a_name_is_said_aloud() -> None:
    ring = met(3)
    ring.addresses["10.9.9.9", 7000] = "p9"
    twin = Peer(
        PeerIdentity("p1", "lab", 0, "10.9.9.9", 7000, (("10.0.0.0", 7000),)),
        (KEY,),
        ring.now,
        random.Random(5),
    )
    ring.peers["p9"] = twin
    ring._process_output("p9")
    ring.run(40 * SECOND)
    assert [c for _, name, c in ring.log if c.state == "clash" and name in ("p1", "p9")]
    assert {"p0", "p2"} <= {m.record.name for m in twin.membership.member_table.live_members()}


def test_a_restart_is_the_same_member_and_an_old_record_of_it_is_not_believed() -> None:
    ring = met(3)
    old = ring.peers["p2"]
    record = old.sealer.seal(pack("p2", Join(old.membership.self_record)), ring.peers["p0"].sealer.session)
    ring.stop("p2")
    ring.start("p2")
    ring.run(3 * SECOND)
    assert ring.has_converged() and not [c for _, _, c in ring.log if c.state == "lost"]
    ring.peers["p0"].receive(ring.now, record)
    assert (
        ring.peers["p0"].membership.member_table.members["p2"].record.session
        == ring.peers["p2"].sealer.session
    )


@pytest.mark.parametrize("count", [5, 30])
def test_all_know_of_a_death_in_time_and_of_nothing_else(count: int) -> None:
    ring = met(count)
    ring.stop("p3")
    began = ring.now
    ring.run(20 * SECOND)
    lost = {who: t for t, who, c in ring.log if c.state == "lost"}
    assert {c.name for _, _, c in ring.log if c.state == "lost"} == {"p3"}
    assert set(lost) == set(ring.peers) and max(lost.values()) - began < 8 * SECOND
    assert (
        ring.peers["p0"].member_counts().lost == 1
        and ring.peers["p0"].member_counts().possibly_present == count - 1
    )


def test_a_frozen_one_wakes_and_accuses_nobody() -> None:
    ring = met(10)
    ring.freeze("p4")
    ring.run(8 * SECOND)
    assert {c.name for _, _, c in ring.log if c.state == "lost"} == {"p4"}
    ring.log.clear()
    ring.unfreeze("p4")
    ring.run(10 * SECOND)
    assert ring.has_converged() and not [c for _, _, c in ring.log if c.state == "lost" and c.name != "p4"]


def test_one_that_hears_and_is_not_heard_is_lost_to_all_and_comes_back() -> None:
    ring = met(8)
    ring.net.partition("mute", ["p5"], [f"p{i}" for i in range(8)], both=False)
    ring.run(15 * SECOND)
    assert all(p.member_counts().lost == 1 for n, p in ring.peers.items() if n != "p5")
    ring.net.heal("mute")
    ring.run(10 * SECOND)
    assert ring.has_converged()


def test_a_cut_between_two_only_is_bridged_by_the_others() -> None:
    ring = met(8)
    ring.net.partition("pair", ["p1"], ["p2"])
    ring.run(60 * SECOND)
    assert not [c for _, _, c in ring.log if c.state == "lost"]


def test_both_sides_of_a_cut_remember_the_other_and_find_it() -> None:
    ring = met(12)
    ring.net.partition("half", [f"p{i}" for i in range(6)], [f"p{i}" for i in range(6, 12)])
    ring.run(20 * SECOND)
    assert {(p.member_counts().present, p.member_counts().possibly_present) for p in ring.peers.values()} == {
        (5, 11)
    }
    ring.net.heal("half")
    ring.run(10 * SECOND)
    assert ring.has_converged()


@quick
@given(st.data())
def test_membership_converges_once_faults_end(data: st.DataObject) -> None:
    """Any order of cuts, losses, doubles, delays, freezes, deaths and starts."""
    ring = MembershipSimulation(data.draw(st.integers(0, 99)))
    names = [f"p{i}" for i in range(6)]
    ring.start(*names)
    frozen: set[str] = set()
    for _ in range(data.draw(st.integers(1, 6))):
        kind = data.draw(st.sampled_from(["cut", "one-way", "weather", "freeze", "restart", "leave"]))
        some = data.draw(st.sets(st.sampled_from(names), min_size=1, max_size=3))
        rest = set(names) - some
        if kind in ("cut", "one-way"):
            ring.net.partition(kind, some, rest, kind == "cut")
        elif kind == "weather":
            ring.net.faults = DatagramFaults(
                loss=0.3, duplication=0.2, corruption=0.1, reordering=0.3, reordering_delay=3 * SECOND
            )
        elif kind == "freeze":
            for name in some - frozen:
                ring.freeze(name)
                frozen.add(name)
        else:
            for name in some - frozen:
                ring.stop(name, leave=kind == "leave")
                ring.start(name)
        ring.run(data.draw(st.integers(0, 12)) * SECOND)
    ring.net.partitions.clear()
    ring.net.faults = DatagramFaults()
    for name in sorted(frozen):
        ring.unfreeze(name)
    ring.run(30 * SECOND)
    assert ring.has_converged()


def test_a_key_file_is_made_turned_over_and_checked(tmp_path: Path) -> None:
    run = CliRunner()
    path = str(tmp_path / "fleet.key")

    def ask(*words: str) -> str:
        done = run.invoke(command, ["keys", *words])
        return f"{done.exit_code} {done.output}"

    assert ask("make", path).startswith("0")
    first = key_file.read(path)
    assert ask("make", path).startswith("0") and key_file.read(path)[0] == first[0]
    assert "holds 2 keys already" in ask("make", path)
    assert ask("swap", path).startswith("0") and key_file.read(path)[1] == first[0]
    said = ask("drop", path)
    assert (
        said.startswith("0")
        and len(key_file.read(path)) == 1
        and key_file.read(path)[0].secret.hex() not in said
    )
    Path(path).chmod(0o644)
    assert "chmod 600" in ask("check", path)


LINE = b"00112233 " + b"0" * 64 + b"\n"


@pytest.mark.parametrize("raw", [b"", b"abc", LINE[:-2], b"\xff" * 9, b"0" * 5000, b"x" + LINE[1:], LINE * 2])
def test_a_key_file_that_is_none_is_told_as_such(raw: bytes) -> None:
    with pytest.raises(key_file.KeyFileError):
        key_file.parse(raw)


# ---------------------------------------------------------------- what all carry


def load(arrivals: float = 0.0, nodes: dict[int, NodeLoad] | None = None, **plain: float) -> Load:
    return Load(
        1, tuple({"arrivals": arrivals, **plain}.get(name, 0.0) for name in TOTAL_NAMES), (), nodes or {}
    )


class Module:
    """As much of the decision module as is read of it."""

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


def sharing(
    count: int, rates: dict[str, float], seed: int = 1
) -> tuple[MembershipSimulation, dict[str, Peers]]:
    """Peers who each tell so many arrivals a second, and what each module hears."""
    heard: dict[str, Peers] = {}

    def make(place: PeerIdentity, now: int, rng: random.Random) -> Peer:
        peer, module = Peer(place, (KEY,), now, rng), Module()
        share = peer.start_load_sharing(
            now, lambda: module, lambda _now, news, _until: heard.update({place.name: news})
        )
        share.meter.read = lambda _now, _module: load(rates.get(place.name, 10.0), used=1.0, slots=2.0)  # type: ignore
        return peer

    ring = MembershipSimulation(seed, make_peer=make)
    ring.start(*(f"p{i}" for i in range(count)))
    ring.run(8 * SECOND)
    return ring, heard


@pytest.mark.parametrize("count", [2, 7, 40])
def test_all_hear_the_sum_of_all(count: int) -> None:
    ring, heard = sharing(count, {"p1": 100.0})
    for name, peer in ring.peers.items():
        assert peer.load_sharing and peer.load_sharing.aggregation.total
        assert peer.load_sharing.aggregation.total.members == count
        assert peer.load_sharing.aggregation.total.arrivals == pytest.approx(100 + 10 * (count - 1))
        assert peer.load_sharing.aggregation.age(ring.now) < 3 * SECOND and heard[name].alive == count
        assert heard[name].idle == 0.5
    if count > 2:
        assert (
            heard["p1"].part == pytest.approx(100 / (100 + 10 * (count - 1))) and heard["p0"].part < 1 / count
        )


def test_after_the_first_of_the_tree_has_died_the_sum_closes_again() -> None:
    ring, heard = sharing(30, {})
    first = min(ring.peers, key=tree_rank)
    ring.stop(first)
    ring.run(12 * SECOND)
    sums = [peer.load_sharing.aggregation.total for peer in ring.peers.values() if peer.load_sharing]
    assert {fleet.members for fleet in sums if fleet} == {29}
    assert all(news.alive == 29 for name, news in heard.items() if name != first)


def test_who_is_cut_off_goes_by_itself_alone() -> None:
    ring, heard = sharing(9, {"p4": 90.0})
    assert heard["p4"].part
    ring.net.partition("cut", ["p4"], [f"p{i}" for i in range(9)])
    ring.run(10 * SECOND)
    assert heard["p4"] == Peers() and heard["p0"].alive == 8
    ring.net.heal("cut")
    ring.run(10 * SECOND)
    assert heard["p4"].part and heard["p0"].alive == 9


def test_nonsense_under_a_good_key_is_clamped_to_what_one_may_say() -> None:
    ring, heard = sharing(10, {"p3": 1e9})
    assert all(0 <= news.part <= 1 for news in heard.values()) and heard["p0"].part >= 0.25 / 10
    liar = Load(60_000, (1e9,) * len(TOTAL_NAMES), ((1e9, 1e9),), {7: NodeLoad(1e9, 1e9, 1e9, 0)})
    bound = clamp(liar, 10)
    assert bound.members == 10 and bound.nodes[7].failed == 80 and bound.slots == MOST_OF["slots"] * 10


@quick
@given(st.integers(2, 40), st.integers(0, 99))
def test_no_two_members_tell_each_other_in_a_circle(count: int, seed: int) -> None:
    """Whatever each holds of who is there, who goes up stands below."""
    rng = random.Random(seed)
    names = [f"p{i}" for i in range(count)]
    for name in names:
        seen = sorted(
            {name, *rng.sample(names, rng.randrange(1, count + 1))}, key=lambda n: (tree_rank(n), n)
        )
        place = seen.index(name)
        if place:
            assert tree_rank(seen[(place - 1) // TREE_FANOUT]) < tree_rank(name)


def test_a_node_that_fails_for_the_fleet_is_left_to_one_and_comes_back_when_that_is_served() -> None:
    names = ["a", "b", "c", "d"]
    views = {name: FleetPolicy(name) for name in names}
    bad = {1: NodeLoad(0, 4, 6.0, 1.0), 2: NodeLoad(0, 4, 0.2, 20.0)}
    fleet = Load(4, load(40.0).totals, (), bad)

    def barred(now: int, fleet: Load) -> dict[str, frozenset[int]]:
        return {
            n: v.evaluate(now, load(10.0), fleet, 0, [x for x in names if x != n]).barred
            for n, v in views.items()
        }

    found = barred(EPOCH, fleet)
    assert sorted(map(set, found.values()), key=len) == [set(), {1}, {1}, {1}]
    assert not found[probing_proxies(1, names)[0]]
    served = Load(4, fleet.totals, (), {1: NodeLoad(0, 1, 0.5, 1.0), 2: bad[2]})
    assert not any(barred(EPOCH + SECOND, served).values())
    alike = Load(4, fleet.totals, (), {n: NodeLoad(0, 4, 8.0, 4.0) for n in (1, 2, 3)})
    assert not any(barred(EPOCH + 2 * SECOND, alike).values())  # never where all are bad alike
    barred(EPOCH + 3 * SECOND, fleet)
    for view in views.values():
        view.nodes_restarted({1: EPOCH + 4 * SECOND})
    assert not any(v.avoided_nodes for v in views.values())


@pytest.mark.parametrize("apart_us", [0, 300_000, SECOND])
def test_proxies_that_eject_a_node_one_after_the_other_leave_it_to_one(apart_us: int) -> None:
    """Each has served many calls there just before, and ejects it for two failures."""
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
        told = [meter.read(now, module) for meter, module in zip(meters, modules, strict=True)]
    fleet = sum_loads(told)
    views = {name: FleetPolicy(name) for name in names}
    found = [
        v.evaluate(now, load(10.0), fleet, 0, [x for x in names if x != n]).barred for n, v in views.items()
    ]
    assert sorted(map(set, found), key=len) == [set(), {1}, {1}, {1}]


def test_the_fleet_s_further_attempts_end_at_a_tenth_and_begin_again_below() -> None:
    view = FleetPolicy("a")

    def further(rate: float) -> bool:
        fleet = Load(2, load(100.0, sends=100.0, further=rate).totals, (), {})
        return view.evaluate(EPOCH, load(50.0), fleet, 0, ["b"]).further

    assert [further(rate) for rate in (5, 9.9, 10.5, 9, 8.5, 7.9, 9)] == [
        True,
        True,
        False,
        False,
        False,
        True,
        True,
    ]


def test_the_work_of_a_call_goes_by_the_most_that_nodes_served_and_is_clamped() -> None:
    view = FleetPolicy("a")

    def work(served: float, alone: LocalEstimate, at: int = EPOCH) -> float:
        return view.evaluate(at, load(50.0), Load(2, load(100.0, served=served).totals), 0, ["b"], alone).work

    assert (
        work(80.0, LocalEstimate()) == work(80.0, LocalEstimate(4)) == 0.0
    )  # what it would hold it against is not known yet
    assert work(80.0, LocalEstimate(4, 100_000.0)) == pytest.approx(50_000)
    assert work(40.0, LocalEstimate(4, 100_000.0)) == pytest.approx(
        50_000
    )  # an idle hour does not make calls longer
    assert work(40.0, LocalEstimate(4, 30_000.0)) == 30_000  # never more than what it alone would take it for
    assert work(1e6, LocalEstimate(4, 90_000.0)) == 30_000  # nor a lie: a third of that at the least
    assert FleetPolicy("c").evaluate(EPOCH, load(50.0), None, 0, ["b"], LocalEstimate(4, 9.0)).work == 0.0


def test_nodes_that_went_count_for_what_was_served_of_late_and_trim_ends_with_a_cut() -> None:
    view = FleetPolicy("a")
    fleet = Load(2, load(100.0, served=80.0).totals)

    def work(nodes: int, at: int) -> float:
        return view.evaluate(at, load(50.0), fleet, 0, ["b"], LocalEstimate(nodes, 100_000.0)).work

    assert work(8, EPOCH) == pytest.approx(100_000)
    assert (
        work(4, EPOCH + SECOND) > 80_000
    )  # half of them have just gone: no node serves twice as much for it
    short = Load(2, load(100.0, refused=10.0).totals)
    for step in range(20):
        view.evaluate(EPOCH + (2 + step) * SECOND, load(50.0, refused=10.0), short, 0, ["b"])
    assert view.share_correction > 1
    view.evaluate(EPOCH + 30 * SECOND, load(50.0), None, 0, ["b"])
    assert view.share_correction == 1


def looked(
    view: FleetPolicy, own: Load, fleet: Load, alone: LocalEstimate = NO_ESTIMATE, seconds: int = 10
) -> Peers:
    """What it hears in the end, the same being told four times a second; twenty proxies."""
    for step in range(4 * seconds):
        news = view.evaluate(EPOCH + step * SECOND // 4, own, fleet, 0, [f"p{i}" for i in range(19)], alone)
    return news


def test_a_sum_of_the_largest_figures_still_fits_a_datagram() -> None:
    """It ended in a traceback of whoever had to hand it on."""
    ring, _ = sharing(3, {})
    nodes = {2**63 + i: NodeLoad(1e12, 1e12, 1e12, 1e12) for i in range(24)}
    for peer in ring.peers.values():
        assert peer.load_sharing
        most = Load(1, (1e12,) * len(TOTAL_NAMES), ((1e12, 1e12),) * 16, nodes)
        peer.load_sharing.meter.read = lambda _now, _module, most=most: most  # type: ignore[method-assign]
    ring.run(4 * SECOND)
    assert all(
        peer.load_sharing
        and peer.load_sharing.aggregation.total
        and peer.load_sharing.aggregation.total.nodes
        for peer in ring.peers.values()
    )


def test_parts_by_need_add_up_to_about_one() -> None:
    rates = [190.0] + [10.0] * 19
    fleet = Load(20, load(sum(rates)).totals)
    parts = [looked(FleetPolicy(f"p{i}"), load(rate), fleet).part or 1 / 20 for i, rate in enumerate(rates)]
    assert parts[0] == pytest.approx(0.5)
    assert 0.95 < sum(parts) < 1.15


def test_who_refuses_more_than_all_do_gets_more_and_a_lie_costs_no_more_than_half() -> None:
    fleet = Load(20, load(800.0, refused=160.0).totals)
    more, less = (looked(FleetPolicy("a"), load(40.0, refused=x), fleet).part for x in (16.0, 0.0))
    assert less < 0.7 / 20 < 1.5 / 20 < more <= 4 / 20
    lies = Load(20, load(400_000.0, refused=400_000.0).totals)
    assert looked(FleetPolicy("a"), load(40.0), lies).part == 0.5 / 20


def test_all_draw_one_line_of_worth_while_all_are_short_and_not_at_each_call() -> None:
    view, rated = FleetPolicy("a"), ((10.0, 0.0), (30.0, 0.0))
    alone = LocalEstimate(4, 1000.0, (0.4, 0.2))

    def line(used: float) -> float:
        fleet = Load(2, load(40.0, used=used, slots=10.0).totals, rated)
        return view.evaluate(EPOCH, load(20.0), fleet, 0, ["b"], alone).worth

    assert [line(used) for used in (8.4, 8.6, 7.5, 6.9, 8.4)] == [
        0,
        pytest.approx(0.25),
        pytest.approx(0.25),
        0,
        0,
    ]


@pytest.mark.parametrize("fleet", [None, load(10.0)])
def test_too_little_and_too_old_news_is_none(fleet: Load | None) -> None:
    assert FleetPolicy("a").evaluate(EPOCH, load(1.0), fleet, 0, ["b", "c"]) == Peers()
    whole = Load(3, load(30.0).totals, (), {})
    assert FleetPolicy("a").evaluate(EPOCH, load(1.0), whole, 4 * SECOND, ["b", "c"]) == Peers()
    assert FleetPolicy("a").evaluate(EPOCH, load(1.0), whole, 0, ["b", "c"]).alive == 3
