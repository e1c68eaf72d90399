"""One proxy's endpoint in the fleet: takes datagrams and the time, returns datagrams and membership changes. Does no
I/O: the daemon, the lab's model and the tests drive the same state machine. Every datagram from another proxy passes
`Peer.receive`, which counts what it drops, never raises on input, and sends nothing in answer to a datagram that
is not authentic."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from paddlestep.interface import Peers

from ..decisions.fleet.meter import BalancerView
from .datagrams import DatagramSealer, Key
from .load_sharing import LoadSharing
from .member_table import STATES
from .membership import MemberChange, MemberCounts, Membership, MembershipConfig, OutgoingMessage
from .messages import ALIVE, LEFT, LoadAggregate, MemberRecord, MessageError, Payload, pack, unpack

Packet = tuple[str, int, bytes]  # host, port, datagram


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """This proxy's identity: what all members share (fleet, tier) and what is its own."""

    name: str
    fleet: str
    tier: int
    host: str
    port: int
    seeds: tuple[tuple[str, int], ...] = ()


class Peer:
    """`now`: microseconds since the Unix epoch, never decreasing. `load_sharing`: None unless this proxy shares its
    load."""

    def __init__(
        self,
        identity: PeerIdentity,
        keys: Sequence[Key],
        now: int,
        rng: Random,
        config: MembershipConfig | None = None,
    ) -> None:
        session = rng.getrandbits(64) or 1
        self.identity = identity
        self.sealer = DatagramSealer(keys, identity.fleet, identity.tier, session)
        record = MemberRecord(identity.name, identity.host, identity.port, session, now // 1000, ALIVE)
        self.membership = Membership(record, identity.seeds, config or MembershipConfig(), rng)
        self.load_sharing: LoadSharing | None = None
        self.handlers: dict[int, Callable[[int, str, bytes], None]] = {}  # by topic
        self.counts = {"in": 0, "out": 0, "bytes_in": 0, "bytes_out": 0, "strangers": 0, "words": 0,
                       "unposted": 0}  # fmt: skip
        self.membership.start(now)

    def receive(self, now: int, data: bytes) -> None:
        """Handles one datagram from any source."""
        self.counts["in"] += 1
        self.counts["bytes_in"] += len(data)
        opened = self.sealer.open(data)
        if opened is None:
            return
        try:
            envelope = unpack(opened.body)
        except MessageError:
            self.counts["words"] += 1
            return
        if not opened.is_current_session:
            self.counts["strangers"] += 1
            self.membership.handle_stale_session(now, envelope, opened.session)
            return
        if isinstance(envelope.message, LoadAggregate):
            if self.load_sharing:
                self.load_sharing.aggregation.handle(now, envelope, envelope.message)
            return
        if isinstance(envelope.message, Payload):
            self._dispatch_payload(now, envelope.sender, opened.session, envelope.message)
            return
        self.membership.handle(now, envelope, opened.session)

    def _dispatch_payload(self, now: int, sender: str, session: int, payload: Payload) -> None:
        """Passes the payload to the handler of its topic if it comes from the process that the member table holds
        under this name."""
        member = self.membership.member_table.members.get(sender)
        handler = self.handlers.get(payload.topic)
        if member and handler and member.record.session == session:
            handler(now, sender, payload.body)
        else:
            self.counts["unposted"] += 1

    def send_payload(self, name: str, topic: int, body: bytes) -> bool:
        """Queues the payload. Returns whether it will be sent: False if the member is unknown or has left."""
        member = self.membership.member_table.members.get(name)
        if member is None or member.record.state == LEFT:
            return False
        self.membership.outbox.append(
            OutgoingMessage(
                member.record.host, member.record.port, member.record.session, Payload(topic, body)
            )
        )
        return True

    def advance(self, now: int, late: int = 0) -> None:
        """Runs everything that is due. `late`: the delay of this call, microseconds."""
        self.membership.advance(now, late)
        if self.load_sharing:
            self.load_sharing.advance(now)

    def next_deadline(self) -> int:
        """The time at which `advance` should be called next, microseconds."""
        return (
            min(self.membership.next_deadline(), self.load_sharing.next_deadline())
            if self.load_sharing
            else self.membership.next_deadline()
        )

    def drain_datagrams(self) -> list[Packet]:
        """The datagrams to send, in order."""
        packets = []
        for out in self.membership.drain_outbox():
            data = self.sealer.seal(pack(self.identity.name, out.message), out.session)
            self.counts["out"] += 1
            self.counts["bytes_out"] += len(data)
            packets.append((out.host, out.port, data))
        return packets

    def drain_changes(self) -> list[MemberChange]:
        """Returns and removes the membership changes since the last call."""
        return self.membership.drain_changes()

    def start_load_sharing(
        self, now: int, module: Callable[[], BalancerView], on_peers: Callable[[int, Peers, int], None]
    ) -> LoadSharing:
        """From now on this proxy reports its load and receives the sum over the fleet."""
        self.load_sharing = LoadSharing(self.membership, now, module, on_peers)
        return self.load_sharing

    def member_counts(self) -> MemberCounts:
        """The numbers of other members by state."""
        return self.membership.counts()

    def drop_counts(self) -> dict[str, int]:
        """The numbers of dropped datagrams by reason."""
        return self.sealer.counts | {key: self.counts[key] for key in ("strangers", "words", "unposted")}

    def member_list(self, now: int) -> list[dict[str, object]]:
        """All members, this process first, in a form for JSON."""
        records = [_describe(self.membership.self_record, 0, now, now)]
        records += [
            _describe(m.record, m.state_since, m.last_heard, now)
            for _, m in sorted(self.membership.member_table.members.items())
        ]
        return records


def _describe(record: MemberRecord, since: int, heard: int, now: int) -> dict[str, object]:
    return {
        "name": record.name, "address": f"{record.host}:{record.port}", "state": STATES[record.state],
        "incarnation": record.incarnation, "for_s": round((now - since) / 1e6, 1) if since else None,
        "heard_s": round((now - heard) / 1e6, 1) if heard else None, "session": f"{record.session:016x}",
    }  # fmt: skip
