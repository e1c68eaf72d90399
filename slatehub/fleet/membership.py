"""Fleet membership: SWIM with the Lifeguard extensions. Does no I/O: takes the time and messages, returns messages and
changes. Maintains the member table, the probes and the rumours. A late turn of this process never leads to another
proxy being declared lost, a member that may only be partitioned is kept until its retention time ends, and memory is
bounded whatever is received.

Sources: Das, Gupta, Motivala, SWIM (DSN 2002): probes in a shuffled round, indirect probes, suspicion, incarnation
numbers, rumours piggybacked on probes. Dadgar, Phillips, Currey, Lifeguard (2017): the local health score lengthens
the probe timeout (multiplier), a suspicion ends sooner the more members confirm it independently (dynamic timeout), and
a suspected member is informed first (buddy system). Additions of this project: a process known only from rumours
becomes a member once it has answered this process, directly or through another member, so that nonexistent names never
count; lost members are contacted repeatedly, so that both sides of a partition find each other again; a late turn
postpones the timeouts that would have ended in it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, log, log10
from random import Random

from msgspec.structs import replace

from .member_table import STATES, Member, MemberTable
from .messages import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_RECORDS_BYTES,
    SUSPECT,
    Ack,
    Envelope,
    Gossip,
    Join,
    MemberRecord,
    Message,
    Nack,
    Ping,
    PingRequest,
    TableDigests,
    encoded_size,
)

MS = 1_000
SECOND = 1_000_000
INDIRECT_PROBES = 3  # members asked to probe on behalf of this process; also the fanout of gossip
MAX_HEALTH_SCORE = 8  # upper bound of the local health score; the probe timeout is multiplied by 1 + score
MAX_UNCONFIRMED = 1024  # processes known only from rumours
MAX_RELAYS = 256  # pings relayed for other members, and joins through other members, at once
MAX_JOIN_ATTEMPTS = 4  # before a process known only from rumours is dropped
JOINS_PER_SECOND = 50  # to unconfirmed processes and in answer to unexpected senders
# Contradictions by another process of this name before it is reported: the record of a process that has ended
# causes one, but cannot answer the refutation of it.
CLASH_REPORT_THRESHOLD = 2


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Settings of the membership protocol; times in microseconds."""

    probe_interval_us: int = 500 * MS  # between two probes
    probe_timeout_us: int = 150 * MS  # for a direct Ack
    suspicion_factor: float = 4.0  # shortest suspicion: this many probe intervals, times log10 of the members
    # Longest suspicion, in shortest ones, while no other member confirms it.
    max_suspicion_factor: float = 6.0
    gossip_interval_us: int = 100 * MS
    rejoin_interval_us: int = 2 * SECOND  # between two attempts to reach a lost member or a seed
    lost_retention_us: int = 3600 * SECOND  # a lost member counts as possibly present for this long
    left_retention_us: int = 60 * SECOND


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's state, for the log and for counters."""

    name: str
    state: str  # alive, suspect, lost, left, clash, self
    cause: str


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to an address; `session`: the receiver's session, 0 if it is not known."""

    host: str
    port: int
    session: int
    message: Message


@dataclass(frozen=True, slots=True)
class MemberCounts:
    """Numbers of the other proxies. `lost`: not heard from, and possibly only partitioned: decisions that must be safe
    count them as present."""

    alive: int
    suspect: int
    lost: int

    @property
    def present(self) -> int:
        """Members that are alive or suspected."""
        return self.alive + self.suspect

    @property
    def possibly_present(self) -> int:
        """Members that are alive, suspected or lost."""
        return self.present + self.lost


@dataclass(slots=True)
class Probe:
    """The probe under way. `nacks_due`: helpers that have not yet sent a Nack."""

    name: str
    number: int
    started_at: int
    indirect_sent: bool = False
    nacks_due: int = 0
    acked: bool = False


@dataclass(slots=True)
class UnconfirmedMember:
    """A process known only from rumours: it has not yet answered this process."""

    record: MemberRecord
    source: str
    attempts: int = 0
    last_attempt_at: int = 0


class TokenBucket:
    """A token bucket: `rate` tokens a second, at most `burst` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.tokens, self.updated_at = rate, burst, burst, 0

    def take(self, now: int) -> bool:
        """Takes a token; False if there is none."""
        self.tokens = min(self.burst, self.tokens + self.rate * max(0, now - self.updated_at) / SECOND)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Membership:
    """The membership state of one process. `me`: its own record at the start. Times are microseconds since the Unix
    epoch, from the clock that also gives a new process its incarnation number; they never decrease."""

    def __init__(
        self, me: MemberRecord, seeds: Iterable[tuple[str, int]], config: MembershipConfig, rng: Random
    ) -> None:
        self.member_table = MemberTable(me)
        self.seeds = tuple(seed for seed in seeds if seed != (me.host, me.port))
        self.config, self.rng = config, rng
        self.health = 0  # 0: healthy; MAX_HEALTH_SCORE: own failed probes are weak evidence
        self.outbox: list[OutgoingMessage] = []
        self.changes: list[MemberChange] = []
        self.rumours: dict[str, int] = {}  # name -> times sent
        self.unconfirmed: OrderedDict[str, UnconfirmedMember] = OrderedDict()
        # Own sequence number -> requester, its sequence number, deadline.
        self.relays: OrderedDict[int, tuple[str, int, int]] = OrderedDict()
        # Own sequence number -> unconfirmed process that another member pings.
        self.indirect_joins: OrderedDict[int, str] = OrderedDict()
        self.probe_round: list[str] = []
        self.probe: Probe | None = None
        self.sequence = rng.getrandbits(32)
        self.next_probe = self.next_gossip = self.next_rejoin = self.next_join = 0
        self.compared_at = 0
        self.join_limiter = TokenBucket(JOINS_PER_SECOND, JOINS_PER_SECOND)
        self.clashes: dict[int, int] = {}  # session of another process of this name -> contradictions
        self.refuted_at = 0
        self.left = False
        # Further rounds that contact several lost members at once, after one of them has come back.
        self.fast_rejoin_rounds = 0
        self.false_alarms = 0  # suspicions that were refuted

    # ------------------------------------------------------------ queries

    @property
    def self_record(self) -> MemberRecord:
        """The record of this process."""
        return self.member_table.me

    def counts(self) -> MemberCounts:
        """The numbers of other members by state."""
        by = [0, 0, 0, 0]
        for member in self.member_table.members.values():
            by[member.record.state] += 1
        return MemberCounts(by[ALIVE], by[SUSPECT], by[DEAD])

    def drain_outbox(self) -> list[OutgoingMessage]:
        """Returns and removes the messages to send."""
        out, self.outbox = self.outbox, []
        return out

    def drain_changes(self) -> list[MemberChange]:
        """Returns and removes the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def next_deadline(self) -> int:
        """The time at which `advance` should be called next, microseconds."""
        times = [self.next_probe, self.next_rejoin, *self._probe_deadlines()]
        if self.rumours:
            times.append(self.next_gossip)
        if self.unconfirmed:
            times.append(self.next_join)
        times += [m.suspected_until for m in self.member_table.members.values() if m.record.state == SUSPECT]
        times += [until for _, _, until in self.relays.values()]
        return min(times)

    def _probe_deadlines(self) -> list[int]:
        probe = self.probe
        return (
            [probe.started_at + self._probe_timeout_us]
            if probe and not probe.indirect_sent and not probe.acked
            else []
        )

    @property
    def _probe_timeout_us(self) -> int:
        return self.config.probe_timeout_us * (1 + self.health)

    # ------------------------------------------------------------ time

    def start(self, now: int) -> None:
        """Starts the timers and contacts the seeds."""
        self.next_probe = now + int(self.rng.random() * self.config.probe_interval_us)
        self.next_rejoin = now + self.config.rejoin_interval_us
        self._join_seeds()

    def advance(self, now: int, late: int = 0) -> None:
        """Runs everything that is due. `late`: the delay of this turn, microseconds; after a long delay the timeouts
        that ended in the meantime are extended, so that waiting answers are read first."""
        if self.left:
            return
        if late > self.config.probe_timeout_us:
            self._compensate_lateness(now, late)
        self._expire_relays(now)
        self._send_indirect_probes(now)
        if self.next_probe <= now:
            self._finish_probe(now)
            self._start_probe(now)
            self.next_probe = now + self.config.probe_interval_us * (1 + self.health)
        self._expire_suspicions(now)
        if self.unconfirmed and self.next_join <= now:
            self._contact_unconfirmed(now)
        if self.rumours and self.next_gossip <= now:
            self._send_gossip(now)
        if self.next_rejoin <= now:
            self._contact_lost(now)

    def _compensate_lateness(self, now: int, late: int) -> None:
        """Keeps a process that was suspended or starved of CPU time from suspecting all others for its own silence."""
        self._degrade_health()
        if self.probe:
            self.probe.started_at = now
            self.next_probe = max(self.next_probe, now + self._probe_timeout_us * 2)
        for member in self.member_table.members.values():
            if member.record.state == SUSPECT:
                member.suspected_until += late

    def _degrade_health(self) -> None:
        self.health = min(MAX_HEALTH_SCORE, self.health + 1)

    # ------------------------------------------------------------ probes

    def _start_probe(self, now: int) -> None:
        member = self._next_probe_target()
        if not member:
            return
        self.sequence = (self.sequence + 1) & 0xFFFFFFFF
        self.probe = Probe(member.record.name, self.sequence, now)
        self._send(member.record, Ping(self.sequence, self.member_table.digest, self._rumours_for(member)))

    def _next_probe_target(self) -> Member | None:
        """Goes through the members in a shuffled round: each is probed within two rounds, however they are shuffled."""
        while self.probe_round:
            member = self.member_table.members.get(self.probe_round.pop())
            if member and member.living:
                return member
        self.probe_round = [m.record.name for m in self.member_table.live_members()]
        self.rng.shuffle(self.probe_round)
        return self.member_table.members[self.probe_round.pop()] if self.probe_round else None

    def _send_indirect_probes(self, now: int) -> None:
        """Asks other members to probe when the direct probe has not been answered in time."""
        probe = self.probe
        if not probe or probe.indirect_sent or probe.acked or now < probe.started_at + self._probe_timeout_us:
            return
        probe.indirect_sent = True
        others = [
            m
            for m in self.member_table.live_members()
            if m.record.name != probe.name and m.record.state == ALIVE
        ]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        probe.nacks_due = len(helpers)
        for helper in helpers:
            self._send(helper.record, PingRequest(probe.number, probe.name, self._rumours_for(helper)))
        if member := self.member_table.members.get(probe.name):  # the datagram may only have been lost
            self._send(member.record, Ping(probe.number, self.member_table.digest, self._rumours_for(member)))

    def _finish_probe(self, now: int) -> None:
        probe, self.probe = self.probe, None
        if not probe:
            return
        if probe.acked:
            self.health = max(0, self.health - 1)
            return
        # A helper that cannot reach the target sends a Nack; missing Nacks point to a fault of this process.
        if probe.nacks_due or not probe.indirect_sent:
            self._degrade_health()
        member = self.member_table.members.get(probe.name)
        if member and member.record.state in (ALIVE, SUSPECT):
            self._suspect(now, member.record, self.self_record.name)

    def _expire_relays(self, now: int) -> None:
        for number in [n for n, (_, _, until) in self.relays.items() if until <= now]:
            name, their_number, _ = self.relays.pop(number)
            if member := self.member_table.members.get(name):
                self._send(member.record, Nack(their_number))

    # ------------------------------------------------------------ suspicion

    def _suspect(self, now: int, record: MemberRecord, by: str) -> None:
        """Records a suspicion, by this process or another. More independent accusers shorten its timeout."""
        member = self.member_table.members[record.name]
        if member.record.state == ALIVE:
            member.accusers = set()
            member.suspected_at = now
            self.member_table.update(replace(record, state=SUSPECT, suspected_by=by), now)
            self._record_change(record.name, "suspect", f"no answer to {by}")
        elif by in member.accusers or len(member.accusers) > INDIRECT_PROBES:
            return
        member.accusers.add(by)
        member.suspected_until = member.suspected_at + self._suspicion_timeout_us(len(member.accusers) - 1)
        member.record = replace(member.record, suspected_by=by)
        self._queue_rumour(record.name)

    def _suspicion_timeout_us(self, confirmed: int) -> int:
        count = len(self.member_table.members) + 1
        least = self.config.suspicion_factor * max(1.0, log10(count)) * self.config.probe_interval_us
        most = least * self.config.max_suspicion_factor
        if count - 2 < INDIRECT_PROBES:  # too few members for independent confirmations
            return int(least)
        return int(max(least, most - (most - least) * log(confirmed + 1) / log(INDIRECT_PROBES + 1)))

    def _expire_suspicions(self, now: int) -> None:
        for member in [
            m
            for m in self.member_table.members.values()
            if m.record.state == SUSPECT and m.suspected_until <= now
        ]:
            accusers, waited = len(member.accusers), (now - member.suspected_at) / SECOND
            self.member_table.update(replace(member.record, state=DEAD, suspected_by=""), now)
            self._queue_rumour(member.record.name)
            self._record_change(
                member.record.name, "lost", f"suspected by {accusers} for {waited:.1f} s without an answer"
            )

    # ------------------------------------------------------------ lost and unconfirmed members

    def _contact_lost(self, now: int) -> None:
        """Contacts a lost member, and a seed that is not a member: both sides of a partition keep trying to reach each
        other. Also drops members whose retention time has ended."""
        self.next_rejoin = now + self.config.rejoin_interval_us
        for name, member in list(self.member_table.members.items()):
            span = (
                self.config.lost_retention_us
                if member.record.state == DEAD
                else self.config.left_retention_us
            )
            if not member.living and now - member.state_since > span:
                self.member_table.remove(name)
        lost = [m.record for m in self.member_table.members.values() if m.record.state == DEAD]
        for record in self.rng.sample(
            lost, min(len(lost), INDIRECT_PROBES if self.fast_rejoin_rounds else 1)
        ):
            self._emit(record.host, record.port, 0, Join(self.self_record))
        if lost and self.fast_rejoin_rounds:
            self.fast_rejoin_rounds -= 1
            self.next_rejoin = now + self.config.gossip_interval_us
        known = {(m.record.host, m.record.port) for m in self.member_table.live_members()}
        if missing := [seed for seed in self.seeds if seed not in known]:
            self._emit(*self.rng.choice(missing), 0, Join(self.self_record))

    def _join_seeds(self) -> None:
        for host, port in self.seeds:
            self._emit(host, port, 0, Join(self.self_record))

    def _add_unconfirmed(self, record: MemberRecord, by: str, now: int) -> None:
        """Keeps a process that a rumour names; it becomes a member once it has answered."""
        if record.state > SUSPECT:
            return
        if record.name not in self.unconfirmed and len(self.unconfirmed) >= MAX_UNCONFIRMED:
            self.unconfirmed.popitem(last=False)
        known = self.unconfirmed.setdefault(record.name, UnconfirmedMember(record, by))
        if record.incarnation > known.record.incarnation:
            known.record = record
        self.next_join = min(self.next_join or now, now)

    def _contact_unconfirmed(self, now: int) -> None:
        """Contacts unconfirmed processes at a bounded rate; from the second attempt on also through the member that
        named them."""
        self.next_join = now + 100 * MS
        for name, unconfirmed in list(self.unconfirmed.items()):
            if (
                unconfirmed.last_attempt_at + self._probe_timeout_us * (1 + unconfirmed.attempts) > now
                and unconfirmed.attempts
            ):
                continue
            if unconfirmed.attempts >= MAX_JOIN_ATTEMPTS:
                del self.unconfirmed[name]
                continue
            if not self.join_limiter.take(now):
                return
            unconfirmed.attempts += 1
            unconfirmed.last_attempt_at = now
            self._emit(
                unconfirmed.record.host,
                unconfirmed.record.port,
                unconfirmed.record.session,
                Join(self.self_record),
            )
            source = self.member_table.members.get(unconfirmed.source)
            if unconfirmed.attempts > 1 and source:
                self.sequence = (self.sequence + 1) & 0xFFFFFFFF
                self._send(source.record, PingRequest(self.sequence, name, []))
                self.indirect_joins[self.sequence] = name
                if len(self.indirect_joins) > MAX_RELAYS:
                    self.indirect_joins.popitem(last=False)

    # ------------------------------------------------------------ rumours

    def _queue_rumour(self, name: str) -> None:
        self.rumours[name] = 0

    def _send_gossip(self, now: int) -> None:
        self.next_gossip = now + self.config.gossip_interval_us
        others = self.member_table.live_members()
        for member in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
            if records := self._rumours_for(member):
                self._send(member.record, Gossip(records))
        if not others:
            self.rumours.clear()

    def _rumours_for(self, to: Member) -> list[MemberRecord]:
        """The records sent least often so far, as many as fit. A suspected receiver gets its own record first, so that
        it can refute the suspicion."""
        records, room = [], MAX_RECORDS_BYTES
        if to.record.state == SUSPECT:
            records.append(to.record)
            room -= encoded_size(to.record)
        most = 4 * ceil(log10(len(self.member_table.members) + 2))
        for name, times in sorted(self.rumours.items(), key=lambda item: item[1]):
            record = self.self_record if name == self.self_record.name else self._find_record(name)
            if record is None or times >= most:
                del self.rumours[name]
                continue
            room -= encoded_size(record)
            if room < 0:
                break
            if record is not to.record:
                records.append(record)
            self.rumours[name] = times + 1
        return records

    def _find_record(self, name: str) -> MemberRecord | None:
        member = self.member_table.members.get(name)
        return member.record if member else None

    # ------------------------------------------------------------ incoming messages

    def handle_stale_session(self, now: int, envelope: Envelope, session: int) -> None:
        """Handles a message that does not name this process's session. Its content is not trusted: the claimed sender
        is only sent a Join, and the record of another process of its name if there is one."""
        message = envelope.message
        known = self.member_table.members.get(envelope.sender)
        record = message.record if isinstance(message, Join) else known.record if known else None
        if record and record.name != self.self_record.name and self.join_limiter.take(now):
            self._emit(record.host, record.port, session, Join(self.self_record))
            # The table has another process of this name: the sender gets its record.
            if known and known.record.session != session:
                self._emit(record.host, record.port, session, Gossip([known.record]))

    def handle(self, now: int, envelope: Envelope, session: int) -> None:
        """Handles a message that `session` sent to this process's current session."""
        if self.left:
            return
        message, sender = envelope.message, envelope.sender
        if isinstance(message, Join):
            self._handle_join(now, message.record, session)
        member = self.member_table.members.get(sender)
        if sender == self.self_record.name or member is None:
            return
        if session != member.record.session:
            # Another process of the same name, older or newer than the one in the table. It is not treated as that
            # one; if it is reachable at the same address, it will answer with its own record.
            if not isinstance(message, Join):
                self._send(replace(member.record, session=session), Gossip([member.record]))
            return
        member.last_heard = now
        if not member.living and not isinstance(message, Join):
            # The sender does not know that it is recorded as not alive; this lets it refute the record.
            self._send(member.record, Gossip([member.record]))
        if isinstance(message, Ping):
            self._send(
                member.record, Ack(message.number, self.member_table.digest, self._rumours_for(member))
            )
        elif isinstance(message, Ack):
            self._handle_ack(now, message, sender)
        elif isinstance(message, Nack):
            if self.probe and self.probe.number == message.number and self.probe.nacks_due:
                self.probe.nacks_due -= 1
        elif isinstance(message, PingRequest):
            self._handle_ping_request(now, message, sender)
        elif isinstance(message, TableDigests):
            self._handle_digests(member, message)
        self._merge_records(now, getattr(message, "records", ()), member)
        if isinstance(message, (Ping, Ack)) and message.table != self.member_table.digest:
            self._send_digests(now, member)

    def _handle_join(self, now: int, record: MemberRecord, session: int) -> None:
        """Handles a Join: it names this process's session, which proves that the sender is reachable and makes it a
        member."""
        if record.name == self.self_record.name:
            self._refute(now, record)
            return
        if record.session != session:
            return
        known = self.member_table.members.get(record.name)
        self.unconfirmed.pop(record.name, None)
        gone = known and not known.living and record.incarnation <= known.record.incarnation
        if known and (
            gone or (known.record.session != session and not self.member_table.supersedes(record, now))
        ):
            # The sender has to refute the record held here, and may itself hold a record of another process under this
            # name. Rate-limited, as both sides may keep answering each other.
            if not self.join_limiter.take(now):
                return
            self._emit(record.host, record.port, session, Gossip([known.record]))
            self._emit(record.host, record.port, session, Join(self.self_record))
            return
        if not self.member_table.supersedes(record, now):
            return
        self._mark_alive(now, record, known)
        if not known or not known.living:  # so that it learns of the others and of this process
            self._emit(record.host, record.port, session, Join(self.self_record))

    def _mark_alive(self, now: int, record: MemberRecord, known: Member | None) -> None:
        previous = known.record if known else None
        member = self.member_table.update(record, now)
        if member is None:
            return
        member.last_heard = now
        self._queue_rumour(record.name)
        # This process has just joined or rejoined: it asks for the other members.
        if len(self.member_table.members) == 1 or (previous and previous.state == DEAD):
            self._send(record, TableDigests(list(self.member_table.bucket_digests)))
        if previous is None:
            self._record_change(record.name, "alive", "has joined")
        elif previous.session != record.session:
            self._record_change(record.name, "alive", "a new process under its name")
        if previous and previous.state == DEAD and self.member_table.members:
            self.fast_rejoin_rounds = 1 + len(self.member_table.members) // INDIRECT_PROBES
            self.next_rejoin = min(self.next_rejoin, now + self.config.gossip_interval_us)
        if previous and previous.state != ALIVE and previous.session == record.session:
            self.false_alarms += previous.state == SUSPECT
            self._record_change(record.name, "alive", f"was {STATES[previous.state]}, has refuted it")

    def _handle_ack(self, now: int, message: Ack, sender: str) -> None:
        probe = self.probe
        if probe and probe.number == message.number:
            probe.acked = True  # also when it was relayed by a helper
        if name := self.indirect_joins.pop(message.number, None):
            for record in message.records:
                fits = record.name == name and record.state == ALIVE and name not in self.member_table.members
                if fits and self.member_table.supersedes(record, now):
                    self.unconfirmed.pop(name, None)
                    self._mark_alive(now, record, None)
        if relay := self.relays.pop(message.number, None):
            name, their_number, _ = relay
            if member := self.member_table.members.get(name):
                subject = self.member_table.members.get(sender)
                records = [subject.record] if subject else []
                self._send(member.record, Ack(their_number, self.member_table.digest, records))

    def _handle_ping_request(self, now: int, message: PingRequest, sender: str) -> None:
        target = self.member_table.members.get(message.target)
        if target is None or len(self.relays) >= MAX_RELAYS:
            return
        self.sequence = (self.sequence + 1) & 0xFFFFFFFF
        self.relays[self.sequence] = (sender, message.number, now + self.config.probe_timeout_us * 4 // 5)
        self._send(target.record, Ping(self.sequence, self.member_table.digest, self._rumours_for(target)))

    def _merge_records(self, now: int, records: Iterable[MemberRecord], sender: Member) -> None:
        """Merges another member's records. Where they are outdated, the sender gets the newer ones."""
        stale = []
        for record in records:
            if record.name == self.self_record.name:
                self._refute(now, record)
            elif known := self.member_table.members.get(record.name):
                if not known.living and (record.incarnation, record.state) < (
                    known.record.incarnation,
                    known.record.state,
                ):
                    stale.append(known.record)
                self._merge_record(now, record, known)
            else:
                self._add_unconfirmed(record, sender.record.name, now)
        if stale:
            self._send(sender.record, Gossip(stale[:8]))

    def _merge_record(self, now: int, record: MemberRecord, known: Member) -> None:
        if record.state == SUSPECT and record.incarnation == known.record.incarnation and known.living:
            self._suspect(
                now, replace(known.record, suspected_by=record.suspected_by), record.suspected_by or "?"
            )
            return
        if not self.member_table.supersedes(record, now):
            return
        if record.state == ALIVE:
            self._mark_alive(now, record, known)
        elif record.state == SUSPECT:
            self._mark_alive(now, replace(record, state=ALIVE, suspected_by=""), known)
            self._suspect(now, record, record.suspected_by or "?")
        else:
            self.member_table.update(record, now)
            self._queue_rumour(record.name)
            self._record_change(
                record.name,
                STATES[record.state],
                "reported by others" if record.state == DEAD else "announced by itself",
            )

    def _refute(self, now: int, record: MemberRecord) -> None:
        """Refutes a record of this process with a higher incarnation. Another process of the same name does the same,
        endlessly: that is reported, and refuted once a probe interval only."""
        me = self.self_record
        if (record.incarnation, record.state) <= (me.incarnation, me.state) and record.session == me.session:
            return
        if record.session != me.session and record.incarnation < me.incarnation:
            self._queue_rumour(me.name)  # the sender holds the record of an earlier process
            return
        if record.incarnation > now // 1000 + 366 * 24 * 3600 * 1000:
            return
        if record.session != me.session:
            count = self.clashes[record.session] = self.clashes.get(record.session, 0) + 1
            if len(self.clashes) > 16:
                self.clashes = {record.session: count}
            if count == CLASH_REPORT_THRESHOLD:
                self._record_change(
                    me.name, "clash", f"another process at {record.host}:{record.port} has this name too"
                )
            if now - self.refuted_at < self.config.probe_interval_us:
                return
        elif record.state != ALIVE:
            self._degrade_health()  # another member missed an answer: this process may be slow
        self.refuted_at = now
        self.member_table.update_self(replace(me, incarnation=record.incarnation + 1))
        self._queue_rumour(me.name)
        if record.state != ALIVE:
            self._record_change(me.name, "self", f"was reported {STATES[record.state]}; refuted")

    # ------------------------------------------------------------ table comparison

    def _send_digests(self, now: int, member: Member) -> None:
        if now - self.compared_at >= self.config.probe_interval_us:
            self.compared_at = now
            self._send(member.record, TableDigests(list(self.member_table.bucket_digests)))

    def _handle_digests(self, member: Member, message: TableDigests) -> None:
        records, room = [], MAX_RECORDS_BYTES
        differing = self.member_table.differing_records(list(message.digests))
        for record in self.rng.sample(differing, len(differing)):
            room -= encoded_size(record)
            if room < 0:
                break
            records.append(record)
        if records:
            self._send(member.record, Gossip(records))

    # ------------------------------------------------------------ leaving

    def leave(self, now: int) -> None:
        """Announces that this process leaves, to several members, as the announcement is not acknowledged."""
        record = replace(self.self_record, state=LEFT)
        others = self.member_table.live_members()
        for member in self.rng.sample(others, min(2 * INDIRECT_PROBES, len(others))):
            self._send(member.record, Gossip([record]))
        self.left = True

    def _send(self, record: MemberRecord, message: Message) -> None:
        self._emit(record.host, record.port, record.session, message)

    def _emit(self, host: str, port: int, to: int, message: Message) -> None:
        self.outbox.append(OutgoingMessage(host, port, to, message))

    def _record_change(self, name: str, state: str, cause: str) -> None:
        self.changes.append(MemberChange(name, state, cause))
