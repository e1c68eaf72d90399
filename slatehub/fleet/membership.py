"""Who is there: SWIM with the Lifeguard corrections. Pure: time and messages in, messages and changes out. It owns the
table of members, the probes and the rumours. It must never call a proxy lost because it was itself too late to listen,
never forget one that may merely be cut off while its own bound allows, and never grow with what it is told.

Sources: Das, Gupta, Motivala, SWIM (DSN 2002): probes in a shuffled round, indirect probes, suspicion, incarnation
numbers, rumours on the backs of probes. Dadgar, Phillips, Currey, Lifeguard (2017): the health of one's own process
stretches its patience (multiplier), a suspicion ends sooner the more accuse by themselves (dynamic timeout), and who is
suspected is told first (buddy). Ours: one that is only told of is a member once it has answered us, directly or through
another, so that names that nobody bears never count; the lost are asked again and again, so that two sides of a cut
find each other; a late turn voids what was to be judged in it."""

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
    ROWS_ROOM,
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
    size,
)

MS = 1_000
SECOND = 1_000_000
HELPERS = 3  # asked to probe for us
WORST = 8  # of the health multiplier
TOLD_MOST = 1024  # names heard of and not yet met
RELAYS_MOST = 256
TRIES = 4  # to meet one that we are told of
MEET_RATE = 50  # hellos a second, of both kinds
CLASH_AFTER = 2  # contradictions by another process: the row of one that has ended cannot answer our first


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Times in microseconds."""

    period: int = 500 * MS  # between two probes
    timeout: int = 150 * MS  # for a direct answer
    suspicion: float = 4.0  # periods at the least, times log10 of the members
    suspicion_most: float = 6.0  # times the least, while nobody else accuses
    gossip: int = 100 * MS
    lost_every: int = 2 * SECOND  # between two tries to reach somebody lost, or a seed
    forget: int = 3600 * SECOND  # a lost one is counted as perhaps there for so long
    forget_left: int = 60 * SECOND


@dataclass(frozen=True, slots=True)
class MemberChange:
    """For the log, and for whoever counts."""

    name: str
    state: str  # alive, suspect, lost, left, clash, self
    cause: str


@dataclass(frozen=True, slots=True)
class Out:
    """A message for whoever listens there; `to`: its session, 0: not known."""

    host: str
    port: int
    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class MemberCounts:
    """Proxies but for us. `lost`: not heard of, and perhaps merely cut off: what must be safe counts them as there."""

    alive: int
    suspect: int
    lost: int

    @property
    def present(self) -> int:
        return self.alive + self.suspect

    @property
    def possibly_present(self) -> int:
        return self.present + self.lost


@dataclass(slots=True)
class Probe:
    name: str
    number: int
    began: int
    helped: bool = False
    nacks_due: int = 0
    acked: bool = False


@dataclass(slots=True)
class Told:
    """Somebody whom we have been told of and not met."""

    row: MemberRecord
    by: str
    tries: int = 0
    at: int = 0


class Bucket:
    """So many a second, and so many of them at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.left, self.at = rate, burst, burst, 0

    def take(self, now: int) -> bool:
        self.left = min(self.burst, self.left + self.rate * max(0, now - self.at) / SECOND)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Membership:
    """One process's. `me`: its row as it starts. Times count in microseconds from the Unix epoch, by the clock that a
    new start's incarnation is read from, and never run backwards."""

    def __init__(
        self, me: MemberRecord, seeds: Iterable[tuple[str, int]], terms: MembershipConfig, rng: Random
    ) -> None:
        self.member_table = MemberTable(me)
        self.seeds = tuple(seed for seed in seeds if seed != (me.host, me.port))
        self.terms, self.rng = terms, rng
        self.health = 0  # 0: well, WORST: trust nothing that we find missing
        self.out: list[Out] = []
        self.changes: list[MemberChange] = []
        self.rumours: dict[str, int] = {}  # name -> how often it has been told
        self.unconfirmed: OrderedDict[str, Told] = OrderedDict()
        self.relays: OrderedDict[int, tuple[str, int, int]] = (
            OrderedDict()
        )  # our number -> whose, their number, until
        self.through: OrderedDict[int, str] = (
            OrderedDict()
        )  # our number -> whom we try to meet through another
        self.round: list[str] = []
        self.probe: Probe | None = None
        self.number = rng.getrandbits(32)
        self.next_probe = self.next_gossip = self.next_lost = self.next_meet = 0
        self.compared = 0
        self.bucket = Bucket(MEET_RATE, MEET_RATE)
        self.clashes: dict[int, int] = {}  # session of another process of our name -> contradictions
        self.refuted_at = 0
        self.left = False
        self.reunion = 0  # turns in which the lost are asked for at once, as one of them has been found
        self.false_alarms = 0  # suspicions that were contradicted

    # ------------------------------------------------------------ what others ask

    @property
    def self_record(self) -> MemberRecord:
        return self.member_table.me

    def counts(self) -> MemberCounts:
        by = [0, 0, 0, 0]
        for member in self.member_table.members.values():
            by[member.record.state] += 1
        return MemberCounts(by[ALIVE], by[SUSPECT], by[DEAD])

    def take(self) -> list[Out]:
        out, self.out = self.out, []
        return out

    def news(self) -> list[MemberChange]:
        changes, self.changes = self.changes, []
        return changes

    def due(self) -> int:
        """When `advance` should be called next."""
        times = [self.next_probe, self.next_lost, *self._probe_due()]
        if self.rumours:
            times.append(self.next_gossip)
        if self.unconfirmed:
            times.append(self.next_meet)
        times += [m.until for m in self.member_table.members.values() if m.record.state == SUSPECT]
        times += [until for _, _, until in self.relays.values()]
        return min(times)

    def _probe_due(self) -> list[int]:
        probe = self.probe
        return [probe.began + self._patience] if probe and not probe.helped and not probe.acked else []

    @property
    def _patience(self) -> int:
        return self.terms.timeout * (1 + self.health)

    # ------------------------------------------------------------ time

    def start(self, now: int) -> None:
        self.next_probe = now + int(self.rng.random() * self.terms.period)
        self.next_lost = now + self.terms.lost_every
        self._greet_seeds()

    def advance(self, now: int, late: int = 0) -> None:
        """Whatever is due. `late`: by how much this turn comes too late; what should have been judged in the meantime
        is judged once we have had time to listen."""
        if self.left:
            return
        if late > self.terms.timeout:
            self._overslept(now, late)
        self._end_relays(now)
        self._help(now)
        if self.next_probe <= now:
            self._judge(now)
            self._begin(now)
            self.next_probe = now + self.terms.period * (1 + self.health)
        self._bury(now)
        if self.unconfirmed and self.next_meet <= now:
            self._meet(now)
        if self.rumours and self.next_gossip <= now:
            self._spread(now)
        if self.next_lost <= now:
            self._seek(now)

    def _overslept(self, now: int, late: int) -> None:
        """Guards against a process that was frozen, or starved, and accuses all the others of its own silence."""
        self._worse()
        if self.probe:
            self.probe.began = now
            self.next_probe = max(self.next_probe, now + self._patience * 2)
        for member in self.member_table.members.values():
            if member.record.state == SUSPECT:
                member.until += late

    def _worse(self) -> None:
        self.health = min(WORST, self.health + 1)

    # ------------------------------------------------------------ probes

    def _begin(self, now: int) -> None:
        member = self._next()
        if not member:
            return
        self.number = (self.number + 1) & 0xFFFFFFFF
        self.probe = Probe(member.record.name, self.number, now)
        self._send(member.record, Ping(self.number, self.member_table.whole, self._rows(member)))

    def _next(self) -> Member | None:
        """The members in a shuffled round: each is probed within two rounds, whatever the shuffles."""
        while self.round:
            member = self.member_table.members.get(self.round.pop())
            if member and member.living:
                return member
        self.round = [m.record.name for m in self.member_table.live_members()]
        self.rng.shuffle(self.round)
        return self.member_table.members[self.round.pop()] if self.round else None

    def _help(self, now: int) -> None:
        """No answer yet: others are asked to try."""
        probe = self.probe
        if not probe or probe.helped or probe.acked or now < probe.began + self._patience:
            return
        probe.helped = True
        others = [
            m
            for m in self.member_table.live_members()
            if m.record.name != probe.name and m.record.state == ALIVE
        ]
        helpers = self.rng.sample(others, min(HELPERS, len(others)))
        probe.nacks_due = len(helpers)
        for helper in helpers:
            self._send(helper.record, PingRequest(probe.number, probe.name, self._rows(helper)))
        if member := self.member_table.members.get(probe.name):  # a datagram may simply have been lost
            self._send(member.record, Ping(probe.number, self.member_table.whole, self._rows(member)))

    def _judge(self, now: int) -> None:
        probe, self.probe = self.probe, None
        if not probe:
            return
        if probe.acked:
            self.health = max(0, self.health - 1)
            return
        # Helpers who cannot reach it say so: who hears nothing at all had better doubt itself.
        if probe.nacks_due or not probe.helped:
            self._worse()
        member = self.member_table.members.get(probe.name)
        if member and member.record.state in (ALIVE, SUSPECT):
            self._accuse(now, member.record, self.self_record.name)

    def _end_relays(self, now: int) -> None:
        for number in [n for n, (_, _, until) in self.relays.items() if until <= now]:
            name, theirs, _ = self.relays.pop(number)
            if member := self.member_table.members.get(name):
                self._send(member.record, Nack(theirs))

    # ------------------------------------------------------------ suspicion

    def _accuse(self, now: int, row: MemberRecord, by: str) -> None:
        """A suspicion of ours or one that we are told. More who accuse by themselves bring its end nearer."""
        member = self.member_table.members[row.name]
        if member.record.state == ALIVE:
            member.accusers = set()
            member.asked = now
            self.member_table.update(replace(row, state=SUSPECT, suspected_by=by), now)
            self._change(row.name, "suspect", f"no answer to {by}")
        elif by in member.accusers or len(member.accusers) > HELPERS:
            return
        member.accusers.add(by)
        member.until = member.asked + self._suspicion(len(member.accusers) - 1)
        member.record = replace(member.record, suspected_by=by)
        self._rumour(row.name)

    def _suspicion(self, confirmed: int) -> int:
        count = len(self.member_table.members) + 1
        least = self.terms.suspicion * max(1.0, log10(count)) * self.terms.period
        most = least * self.terms.suspicion_most
        if count - 2 < HELPERS:  # too few to confirm anything
            return int(least)
        return int(max(least, most - (most - least) * log(confirmed + 1) / log(HELPERS + 1)))

    def _bury(self, now: int) -> None:
        for member in [
            m for m in self.member_table.members.values() if m.record.state == SUSPECT and m.until <= now
        ]:
            accusers, waited = len(member.accusers), (now - member.asked) / SECOND
            self.member_table.update(replace(member.record, state=DEAD, suspected_by=""), now)
            self._rumour(member.record.name)
            self._change(
                member.record.name, "lost", f"suspected by {accusers} for {waited:.1f} s without a word"
            )

    # ------------------------------------------------------------ those who are lost, or only told of

    def _seek(self, now: int) -> None:
        """Tries one who is lost, or a seed while there are few: both sides of a cut go on asking for each other."""
        self.next_lost = now + self.terms.lost_every
        for name, member in list(self.member_table.members.items()):
            span = self.terms.forget if member.record.state == DEAD else self.terms.forget_left
            if not member.living and now - member.since > span:
                self.member_table.drop(name)
        lost = [m.record for m in self.member_table.members.values() if m.record.state == DEAD]
        for row in self.rng.sample(lost, min(len(lost), HELPERS if self.reunion else 1)):
            self._emit(row.host, row.port, 0, Join(self.self_record))
        if lost and self.reunion:
            self.reunion -= 1
            self.next_lost = now + self.terms.gossip
        known = {(m.record.host, m.record.port) for m in self.member_table.live_members()}
        if missing := [seed for seed in self.seeds if seed not in known]:
            self._emit(*self.rng.choice(missing), 0, Join(self.self_record))

    def _greet_seeds(self) -> None:
        for host, port in self.seeds:
            self._emit(host, port, 0, Join(self.self_record))

    def _hear_of(self, row: MemberRecord, by: str, now: int) -> None:
        """A name that is new to us: counts once it has answered."""
        if row.state > SUSPECT:
            return
        if row.name not in self.unconfirmed and len(self.unconfirmed) >= TOLD_MOST:
            self.unconfirmed.popitem(last=False)
        held = self.unconfirmed.setdefault(row.name, Told(row, by))
        if row.incarnation > held.row.incarnation:
            held.row = row
        self.next_meet = min(self.next_meet or now, now)

    def _meet(self, now: int) -> None:
        """Asks those who wait for it, at a bounded rate; in vain, then through whoever told us of them."""
        self.next_meet = now + 100 * MS
        for name, told in list(self.unconfirmed.items()):
            if told.at + self._patience * (1 + told.tries) > now and told.tries:
                continue
            if told.tries >= TRIES:
                del self.unconfirmed[name]
                continue
            if not self.bucket.take(now):
                return
            told.tries += 1
            told.at = now
            self._emit(told.row.host, told.row.port, told.row.session, Join(self.self_record))
            teller = self.member_table.members.get(told.by)
            if told.tries > 1 and teller:
                self.number = (self.number + 1) & 0xFFFFFFFF
                self._send(teller.record, PingRequest(self.number, name, []))
                self.through[self.number] = name
                if len(self.through) > RELAYS_MOST:
                    self.through.popitem(last=False)

    # ------------------------------------------------------------ rumours

    def _rumour(self, name: str) -> None:
        self.rumours[name] = 0

    def _spread(self, now: int) -> None:
        self.next_gossip = now + self.terms.gossip
        others = self.member_table.live_members()
        for member in self.rng.sample(others, min(HELPERS, len(others))):
            if rows := self._rows(member):
                self._send(member.record, Gossip(rows))
        if not others:
            self.rumours.clear()

    def _rows(self, to: Member) -> list[MemberRecord]:
        """The rumours that were told least, as many as fit; first of all to one that is suspected, that it is."""
        rows, room = [], ROWS_ROOM
        if to.record.state == SUSPECT:
            rows.append(to.record)
            room -= size(to.record)
        most = 4 * ceil(log10(len(self.member_table.members) + 2))
        for name, times in sorted(self.rumours.items(), key=lambda item: item[1]):
            row = self.self_record if name == self.self_record.name else self._row(name)
            if row is None or times >= most:
                del self.rumours[name]
                continue
            room -= size(row)
            if room < 0:
                break
            if row is not to.record:
                rows.append(row)
            self.rumours[name] = times + 1
        return rows

    def _row(self, name: str) -> MemberRecord | None:
        member = self.member_table.members.get(name)
        return member.record if member else None

    # ------------------------------------------------------------ messages in

    def stranger(self, now: int, letter: Envelope, session: int) -> None:
        """Something that does not name our session. Believed is only that somebody should hear it."""
        message = letter.message
        held = self.member_table.members.get(letter.sender)
        row = message.row if isinstance(message, Join) else held.record if held else None
        if row and row.name != self.self_record.name and self.bucket.take(now):
            self._emit(row.host, row.port, session, Join(self.self_record))
            if (
                held and held.record.session != session
            ):  # a process of a name that we hold another one for: it should know
                self._emit(row.host, row.port, session, Gossip([held.record]))

    def heard(self, now: int, letter: Envelope, session: int) -> None:
        """A message written for us, in our lifetime, by this session."""
        if self.left:
            return
        message, sender = letter.message, letter.sender
        if isinstance(message, Join):
            self._greeted(now, message.row, session)
        member = self.member_table.members.get(sender)
        if sender == self.self_record.name or member is None:
            return
        if session != member.record.session:
            # Another process of its name, older or newer than the one we hold. It is not taken for that one; where it
            # can be heard at the same address it says what it is.
            if not isinstance(message, Join):
                self._send(replace(member.record, session=session), Gossip([member.record]))
            return
        member.heard = now
        if not member.living and not isinstance(message, Join):
            self._send(
                member.record, Gossip([member.record])
            )  # it does not know that it counts as lost, and says so now
        if isinstance(message, Ping):
            self._send(member.record, Ack(message.number, self.member_table.whole, self._rows(member)))
        elif isinstance(message, Ack):
            self._acked(now, message, sender)
        elif isinstance(message, Nack):
            if self.probe and self.probe.number == message.number and self.probe.nacks_due:
                self.probe.nacks_due -= 1
        elif isinstance(message, PingRequest):
            self._ping_for(now, message, sender)
        elif isinstance(message, TableDigests):
            self._answer_compare(member, message)
        self._take_rows(now, getattr(message, "rows", ()), member)
        if isinstance(message, (Ping, Ack)) and message.table != self.member_table.whole:
            self._compare(now, member)

    def _greeted(self, now: int, row: MemberRecord, session: int) -> None:
        """It has answered us, so it is there: the proof that makes a member."""
        if row.name == self.self_record.name:
            self._about_me(now, row)
            return
        if row.session != session:
            return
        known = self.member_table.members.get(row.name)
        self.unconfirmed.pop(row.name, None)
        gone = known and not known.living and row.incarnation <= known.record.incarnation
        if known and (gone or (known.record.session != session and not self.member_table.newer(row, now))):
            # It is to contradict what we hold; and it may hold another process for us. Bounded: both may go on so.
            if not self.bucket.take(now):
                return
            self._emit(row.host, row.port, session, Gossip([known.record]))
            self._emit(row.host, row.port, session, Join(self.self_record))
            return
        if not self.member_table.newer(row, now):
            return
        self._welcome(now, row, known)
        if not known or not known.living:  # it is to learn of the others, and of us
            self._emit(row.host, row.port, session, Join(self.self_record))

    def _welcome(self, now: int, row: MemberRecord, known: Member | None) -> None:
        was = known.record if known else None
        member = self.member_table.update(row, now)
        if member is None:
            return
        member.heard = now
        self._rumour(row.name)
        # we have just come, or come back: who else is there?
        if len(self.member_table.members) == 1 or (was and was.state == DEAD):
            self._send(row, TableDigests(list(self.member_table.parts)))
        if was is None:
            self._change(row.name, "alive", "has joined")
        elif was.session != row.session:
            self._change(row.name, "alive", "a new process under its name")
        if was and was.state == DEAD and self.member_table.members:
            self.reunion = 1 + len(self.member_table.members) // HELPERS
            self.next_lost = min(self.next_lost, now + self.terms.gossip)
        if was and was.state != ALIVE and was.session == row.session:
            self.false_alarms += was.state == SUSPECT
            self._change(row.name, "alive", f"was {STATES[was.state]}, and has contradicted it")

    def _acked(self, now: int, message: Ack, sender: str) -> None:
        probe = self.probe
        if probe and probe.number == message.number:
            probe.acked = True  # through a helper too: then it has come the long way
        if name := self.through.pop(message.number, None):
            for row in message.rows:
                fits = row.name == name and row.state == ALIVE and name not in self.member_table.members
                if fits and self.member_table.newer(row, now):
                    self.unconfirmed.pop(name, None)
                    self._welcome(now, row, None)
        if relay := self.relays.pop(message.number, None):
            name, theirs, _ = relay
            if member := self.member_table.members.get(name):
                subject = self.member_table.members.get(sender)
                rows = [subject.record] if subject else []
                self._send(member.record, Ack(theirs, self.member_table.whole, rows))

    def _ping_for(self, now: int, message: PingRequest, sender: str) -> None:
        target = self.member_table.members.get(message.target)
        if target is None or len(self.relays) >= RELAYS_MOST:
            return
        self.number = (self.number + 1) & 0xFFFFFFFF
        self.relays[self.number] = (sender, message.number, now + self.terms.timeout * 4 // 5)
        self._send(target.record, Ping(self.number, self.member_table.whole, self._rows(target)))

    def _take_rows(self, now: int, rows: Iterable[MemberRecord], sender: Member) -> None:
        """What another says of members. Where it is behind the times it is told so."""
        stale = []
        for row in rows:
            if row.name == self.self_record.name:
                self._about_me(now, row)
            elif held := self.member_table.members.get(row.name):
                if not held.living and (row.incarnation, row.state) < (
                    held.record.incarnation,
                    held.record.state,
                ):
                    stale.append(held.record)
                self._told(now, row, held)
            else:
                self._hear_of(row, sender.record.name, now)
        if stale:
            self._send(sender.record, Gossip(stale[:8]))

    def _told(self, now: int, row: MemberRecord, held: Member) -> None:
        if row.state == SUSPECT and row.incarnation == held.record.incarnation and held.living:
            self._accuse(now, replace(held.record, suspected_by=row.suspected_by), row.suspected_by or "?")
            return
        if not self.member_table.newer(row, now):
            return
        if row.state == ALIVE:
            self._welcome(now, row, held)
        elif row.state == SUSPECT:
            self._welcome(now, replace(row, state=ALIVE, suspected_by=""), held)
            self._accuse(now, row, row.suspected_by or "?")
        else:
            self.member_table.update(row, now)
            self._rumour(row.name)
            self._change(row.name, STATES[row.state], "as others tell" if row.state == DEAD else "it said so")

    def _about_me(self, now: int, row: MemberRecord) -> None:
        """Contradicts what is said of us, with a higher incarnation. Another process under our name does so too,
        without end: that is said aloud, and contradicted once a period only."""
        me = self.self_record
        if (row.incarnation, row.state) <= (me.incarnation, me.state) and row.session == me.session:
            return
        if row.session != me.session and row.incarnation < me.incarnation:
            self._rumour(me.name)  # somebody holds us for an earlier process
            return
        if row.incarnation > now // 1000 + 366 * 24 * 3600 * 1000:
            return
        if row.session != me.session:
            count = self.clashes[row.session] = self.clashes.get(row.session, 0) + 1
            if len(self.clashes) > 16:
                self.clashes = {row.session: count}
            if count == CLASH_AFTER:
                self._change(me.name, "clash", f"another process at {row.host}:{row.port} has this name too")
            if now - self.refuted_at < self.terms.period:
                return
        elif row.state != ALIVE:
            self._worse()  # somebody missed us: we may be slow
        self.refuted_at = now
        self.member_table.renew(replace(me, incarnation=row.incarnation + 1))
        self._rumour(me.name)
        if row.state != ALIVE:
            self._change(me.name, "self", f"was said to be {STATES[row.state]}; contradicted")

    # ------------------------------------------------------------ tables compared

    def _compare(self, now: int, member: Member) -> None:
        if now - self.compared >= self.terms.period:
            self.compared = now
            self._send(member.record, TableDigests(list(self.member_table.parts)))

    def _answer_compare(self, member: Member, message: TableDigests) -> None:
        rows, room = [], ROWS_ROOM
        differing = self.member_table.differing(list(message.parts))
        for row in self.rng.sample(differing, len(differing)):
            room -= size(row)
            if room < 0:
                break
            rows.append(row)
        if rows:
            self._send(member.record, Gossip(rows))

    # ------------------------------------------------------------ the end

    def leave(self, now: int) -> None:
        """Says good-bye: to a few, more than once, as nobody answers."""
        row = replace(self.self_record, state=LEFT)
        others = self.member_table.live_members()
        for member in self.rng.sample(others, min(2 * HELPERS, len(others))):
            self._send(member.record, Gossip([row]))
        self.left = True

    def _send(self, row: MemberRecord, message: Message) -> None:
        self._emit(row.host, row.port, row.session, message)

    def _emit(self, host: str, port: int, to: int, message: Message) -> None:
        self.out.append(Out(host, port, to, message))

    def _change(self, name: str, state: str, cause: str) -> None:
        self.changes.append(MemberChange(name, state, cause))
