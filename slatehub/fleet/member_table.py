"""The table of members: what is held of each, which of two rows is right, and hashes by which two tables are compared.
Pure. It must never hold more rows than its bound, and never take a row that could lock its member out for good."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from zlib import crc32

from .messages import ALIVE, BUCKETS, DEAD, LEFT, SUSPECT, MemberRecord

MAX_MEMBERS = 1024  # members, the lost ones included
MAX_CLOCK_SKEW_MS = 366 * 24 * 3600 * 1000  # clocks of machines lie no further apart
STATES = {ALIVE: "alive", SUSPECT: "suspect", DEAD: "lost", LEFT: "left"}


@dataclass(slots=True)
class Member:
    record: MemberRecord
    since: int  # when it came into its state here
    heard: int = 0  # when it last spoke to us itself
    accusers: set[str] = field(default_factory=set)
    until: int = 0  # suspected: lost from then on
    asked: int = 0  # when it was suspected
    mark: int = 0  # its part in the hashes

    @property
    def living(self) -> bool:
        return self.record.state <= SUSPECT


class MemberTable:
    """`rows` holds everybody but us."""

    def __init__(self, me: MemberRecord) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.parts = [0] * BUCKETS
        self.whole = 0
        self.rejected_count = 0  # rows for which there was no room, or whose incarnation cannot be
        self._mark = 0
        self.renew(me)

    def renew(self, me: MemberRecord) -> None:
        """Our own row has changed."""
        self._toggle(me.name, self._mark)
        self.me, self._mark = me, mark(me)
        self._toggle(me.name, self._mark)

    def live_members(self) -> list[Member]:
        return [m for m in self.members.values() if m.living]

    def newer(self, row: MemberRecord, now: int) -> bool:
        """Whether this row counts against what is held. An incarnation far beyond every clock is refused: its member
        could never contradict it."""
        if row.incarnation > now // 1000 + MAX_CLOCK_SKEW_MS:
            self.rejected_count += 1
            return False
        held = self.members.get(row.name)
        return held is None or (row.incarnation, row.state) > (held.record.incarnation, held.record.state)

    def update(self, row: MemberRecord, now: int) -> Member | None:
        """Takes the row in; the member, or None where there is no room for a new one."""
        member = self.members.get(row.name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS and not self._make_room():
                self.rejected_count += 1
                return None
            member = self.members[row.name] = Member(row, now)
        elif member.record.state != row.state or member.record.session != row.session:
            member.since = now
        self._toggle(row.name, member.mark)
        member.record, member.mark = row, mark(row)
        self._toggle(row.name, member.mark)
        return member

    def drop(self, name: str) -> None:
        member = self.members.pop(name)
        self._toggle(name, member.mark)

    def _make_room(self) -> bool:
        gone = [m for m in self.members.values() if not m.living]
        if gone:
            self.drop(min(gone, key=lambda m: m.since).record.name)
        return bool(gone)

    def _toggle(self, name: str, one: int) -> None:
        self.whole ^= one
        self.parts[part(name)] ^= one & 0xFFFFFFFF

    def differing(self, parts: list[int]) -> list[MemberRecord]:
        """The living of ours that lie in parts of the table in which the other's differs."""
        differ = {i for i, (ours, theirs) in enumerate(zip(self.parts, parts, strict=True)) if ours != theirs}
        rows = [self.me, *(m.record for m in self.members.values() if m.living)]
        return [row for row in rows if part(row.name) in differ]


def part(name: str) -> int:
    return crc32(name.encode()) % BUCKETS


def mark(row: MemberRecord) -> int:
    """0 for who is not living: those are forgotten at each proxy in its own time. Suspicion passes too quickly to be
    compared."""
    if row.state > SUSPECT:
        return 0
    text = f"{row.name}\0{row.incarnation}\0{row.session}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
