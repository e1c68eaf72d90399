"""One proxy's end of the fleet: bytes and time in, bytes and news out. Pure: the daemon, the lab's model and tests
drive this same machine. It owns the one door through which everything from another proxy comes, and the counts of
what was dropped there. It must never raise on what comes in, and never answer what it does not believe."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from paddlestep.interface import Peers

from ..decisions.fleet.meter import BalancerView
from .datagrams import DatagramSealer, Key
from .load_sharing import LoadSharing
from .member_table import STATES
from .membership import MemberChange, MemberCounts, Membership, MembershipConfig, Out
from .messages import ALIVE, LEFT, LoadAggregate, MemberRecord, MessageError, Payload, pack, unpack

Packet = tuple[str, int, bytes]  # host, port, datagram


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who we are to the others: what must be the same for all (fleet, tier) and what only we have."""

    name: str
    fleet: str
    tier: int
    host: str
    port: int
    seeds: tuple[tuple[str, int], ...] = ()


class Peer:
    """`now`: microseconds from the Unix epoch, never running backwards. `load_sharing`: what is told of our load, if
    it is."""

    def __init__(
        self,
        place: PeerIdentity,
        keys: Sequence[Key],
        now: int,
        rng: Random,
        terms: MembershipConfig | None = None,
    ) -> None:
        session = rng.getrandbits(64) or 1
        self.identity = place
        self.sealer = DatagramSealer(keys, place.fleet, place.tier, session)
        row = MemberRecord(place.name, place.host, place.port, session, now // 1000, ALIVE)
        self.membership = Membership(row, place.seeds, terms or MembershipConfig(), rng)
        self.load_sharing: LoadSharing | None = None
        self.handlers: dict[int, Callable[[int, str, bytes], None]] = {}  # by topic
        self.counts = {"in": 0, "out": 0, "bytes_in": 0, "bytes_out": 0, "strangers": 0, "words": 0,
                       "unposted": 0}  # fmt: skip
        self.membership.start(now)

    def receive(self, now: int, data: bytes) -> None:
        """One datagram, from anybody."""
        self.counts["in"] += 1
        self.counts["bytes_in"] += len(data)
        opened = self.sealer.open(data)
        if opened is None:
            return
        try:
            letter = unpack(opened.body)
        except MessageError:
            self.counts["words"] += 1
            return
        if not opened.is_current_session:
            self.counts["strangers"] += 1
            self.membership.stranger(now, letter, opened.session)
            return
        if isinstance(letter.message, LoadAggregate):
            if self.load_sharing:
                self.load_sharing.aggregation.heard(now, letter, letter.message)
            return
        if isinstance(letter.message, Payload):
            self._posted(now, letter.sender, opened.session, letter.message)
            return
        self.membership.heard(now, letter, opened.session)

    def _posted(self, now: int, sender: str, session: int, post: Payload) -> None:
        """For another part of the program, from the process that bears this name as far as we know."""
        held = self.membership.member_table.members.get(sender)
        take = self.handlers.get(post.topic)
        if held and take and held.record.session == session:
            take(now, sender, post.body)
        else:
            self.counts["unposted"] += 1

    def send_payload(self, name: str, topic: int, body: bytes) -> bool:
        """Whether it goes out: not to who is not known, or has left."""
        held = self.membership.member_table.members.get(name)
        if held is None or held.record.state == LEFT:
            return False
        self.membership.out.append(
            Out(held.record.host, held.record.port, held.record.session, Payload(topic, body))
        )
        return True

    def advance(self, now: int, late: int = 0) -> None:
        self.membership.advance(now, late)
        if self.load_sharing:
            self.load_sharing.advance(now)

    def next_deadline(self) -> int:
        return (
            min(self.membership.due(), self.load_sharing.due())
            if self.load_sharing
            else self.membership.due()
        )

    def drain_datagrams(self) -> list[Packet]:
        """The datagrams that are to go out, in order."""
        packets = []
        for out in self.membership.take():
            data = self.sealer.seal(pack(self.identity.name, out.message), out.to)
            self.counts["out"] += 1
            self.counts["bytes_out"] += len(data)
            packets.append((out.host, out.port, data))
        return packets

    def drain_changes(self) -> list[MemberChange]:
        return self.membership.news()

    def start_load_sharing(
        self, now: int, module: Callable[[], BalancerView], hear: Callable[[int, Peers, int], None]
    ) -> LoadSharing:
        """From now on what this proxy carries is told, and what all carry is heard."""
        self.load_sharing = LoadSharing(self.membership, now, module, hear)
        return self.load_sharing

    def member_counts(self) -> MemberCounts:
        return self.membership.counts()

    def drop_counts(self) -> dict[str, int]:
        return self.sealer.counts | {key: self.counts[key] for key in ("strangers", "words", "unposted")}

    def member_list(self, now: int) -> list[dict[str, object]]:
        """Everybody, ourselves first, as JSON would have it."""
        rows = [_shown(self.membership.self_record, 0, now, now)]
        rows += [
            _shown(m.record, m.since, m.heard, now)
            for _, m in sorted(self.membership.member_table.members.items())
        ]
        return rows


def _shown(row: MemberRecord, since: int, heard: int, now: int) -> dict[str, object]:
    return {
        "name": row.name, "address": f"{row.host}:{row.port}", "state": STATES[row.state],
        "incarnation": row.incarnation, "for_s": round((now - since) / 1e6, 1) if since else None,
        "heard_s": round((now - heard) / 1e6, 1) if heard else None, "session": f"{row.session:016x}",
    }  # fmt: skip
