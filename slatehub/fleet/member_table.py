"""The member table: the record of each member, which of two records supersedes the other, and digests by which two
tables are compared. Does no I/O. The number of records is bounded, and a record that its member could never refute is
rejected."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from zlib import crc32

from .messages import ALIVE, DEAD, DIGEST_BUCKETS, LEFT, SUSPECT, MemberRecord

MAX_MEMBERS = 1024  # other members, lost ones included
MAX_CLOCK_SKEW_MS = 366 * 24 * 3600 * 1000  # clocks of two nodes differ by less
STATES = {ALIVE: "alive", SUSPECT: "suspect", DEAD: "lost", LEFT: "left"}


@dataclass(slots=True)
class Member:
    """A member and what this process keeps about it."""

    record: MemberRecord
    state_since: int  # when it entered its state in this table
    last_heard: int = 0  # when its last message arrived
    accusers: set[str] = field(default_factory=set)
    suspected_until: int = 0  # while suspected: lost from this time on
    suspected_at: int = 0  # when the suspicion began
    digest: int = 0  # of its record, as included in the table's digests

    @property
    def living(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.record.state <= SUSPECT


class MemberTable:
    """`members` holds all members except this process, whose record is `me`."""

    def __init__(self, me: MemberRecord) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.bucket_digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.rejected_count = 0  # records without room, or with an impossible incarnation
        self._self_digest = 0
        self.update_self(me)

    def update_self(self, me: MemberRecord) -> None:
        """Replaces this process's own record."""
        self._toggle_digest(me.name, self._self_digest)
        self.me, self._self_digest = me, record_digest(me)
        self._toggle_digest(me.name, self._self_digest)

    def live_members(self) -> list[Member]:
        """The members that are alive or suspected."""
        return [m for m in self.members.values() if m.living]

    def supersedes(self, record: MemberRecord, now: int) -> bool:
        """Whether the record supersedes the one held. An incarnation far ahead of every clock is rejected: its member
        could never refute it."""
        if record.incarnation > now // 1000 + MAX_CLOCK_SKEW_MS:
            self.rejected_count += 1
            return False
        held = self.members.get(record.name)
        return held is None or (record.incarnation, record.state) > (
            held.record.incarnation,
            held.record.state,
        )

    def update(self, record: MemberRecord, now: int) -> Member | None:
        """Inserts or replaces the record. Returns the member, or None if there is no room for a new one."""
        member = self.members.get(record.name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS and not self._make_room():
                self.rejected_count += 1
                return None
            member = self.members[record.name] = Member(record, now)
        elif member.record.state != record.state or member.record.session != record.session:
            member.state_since = now
        self._toggle_digest(record.name, member.digest)
        member.record, member.digest = record, record_digest(record)
        self._toggle_digest(record.name, member.digest)
        return member

    def remove(self, name: str) -> None:
        """Removes a member; KeyError if it is unknown."""
        member = self.members.pop(name)
        self._toggle_digest(name, member.digest)

    def _make_room(self) -> bool:
        gone = [m for m in self.members.values() if not m.living]
        if gone:
            self.remove(min(gone, key=lambda m: m.state_since).record.name)
        return bool(gone)

    def _toggle_digest(self, name: str, digest: int) -> None:
        self.digest ^= digest
        self.bucket_digests[bucket_of(name)] ^= digest & 0xFFFFFFFF

    def differing_records(self, parts: list[int]) -> list[MemberRecord]:
        """Records of live members in the buckets whose digests differ from `parts`, this process's included."""
        differ = {
            i
            for i, (ours, theirs) in enumerate(zip(self.bucket_digests, parts, strict=True))
            if ours != theirs
        }
        records = [self.me, *(m.record for m in self.members.values() if m.living)]
        return [record for record in records if bucket_of(record.name) in differ]


def bucket_of(name: str) -> int:
    """The bucket whose digest includes the member of this name."""
    return crc32(name.encode()) % DIGEST_BUCKETS


def record_digest(record: MemberRecord) -> int:
    """A 64-bit digest of the record; 0 if it is not alive, as each proxy drops such records at its own time. Suspicion
    is too short-lived to be compared and is left out."""
    if record.state > SUSPECT:
        return 0
    text = f"{record.name}\0{record.incarnation}\0{record.session}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
