"""How a voter comes by what the others hold: parts of two stores compared by their hashes, then keys, then only what
differs, one question at a time. Pure. It owns when a newcomer has all that counts. It must never call a newcomer caught
up before it has walked a majority of those who voted before it, each of them already in the group that knows it: from
then on nothing is decided without a majority of both (see `reconfiguration`)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .acceptor import bucket
from .messages import (
    DIGEST_RANGES,
    KEYS_MOST,
    ConfigRequest,
    ConfigResponse,
    KeysRequest,
    KeysResponse,
    RangeDigests,
    RegisterState,
    StatesRequest,
    StatesResponse,
    Voter,
)
from .reconfiguration import all_voters, enough_old, joining_voters

if TYPE_CHECKING:
    from .replica import Replica

RESEND_US = 200_000
GIVE_UP_US = 5_000_000  # without an answer: begun anew, with another where there is one
PACE_US = 1_000  # between two questions of one walk
ROOM = 900  # bytes of rows in one message
SECOND = 1_000_000


@dataclass(slots=True)
class Walk:
    """Through one other voter's store."""

    source: Voter
    next: int  # when its question is asked again
    state: str = "digests"  # digests, keys, rows, over
    buckets: list[int] = field(default_factory=list)
    bucket: int = 0
    after: bytes = b""
    wanted: list[bytes] = field(default_factory=list)
    last: bool = False
    rows: int = 0
    moved: int = 0  # when an answer last came


class CatchUp:
    def __init__(self, copies: Replica) -> None:
        self.copies = copies
        self.walks: dict[str, Walk] = {}
        self.walked: set[Voter] = set()  # of those who voted before us
        self.mark = 0  # the record that says we have caught up; 0: not written yet
        self.next_settle = 0
        self.repaired_count = 0  # registers mended from another voter, or brought up to date

    @property
    def is_catching_up(self) -> bool:
        """Whether we are to vote and may not say so yet."""
        copies = self.copies
        return (
            copies.self_voter in joining_voters(copies.config)
            and copies.caught_up_epoch < copies.config.epoch
        )

    def began(self, now: int) -> None:
        """The group has changed."""
        self.walks.clear()
        self.walked.clear()
        self.mark = 0
        if self.is_catching_up:
            self._walk_all(now)

    def _walk_all(self, now: int) -> None:
        copies = self.copies
        for voter in copies.config.old_voters:
            if (
                voter not in self.walked
                and voter.name not in self.walks
                and voter.name != copies.self_voter.name
            ):
                self._walk(now, voter)

    def _walk(self, now: int, voter: Voter) -> None:
        walk = self.walks[voter.name] = Walk(voter, now, moved=now)
        self._ask(now, walk)

    # ------------------------------------------------------------ time

    def due(self) -> list[int]:
        times = [walk.next for walk in self.walks.values()]
        if self.is_catching_up or self._settling:
            times.append(self.next_settle)
        return times

    @property
    def _settling(self) -> bool:
        copies = self.copies
        caught = (
            copies.self_voter in joining_voters(copies.config)
            and copies.caught_up_epoch == copies.config.epoch
        )
        idle = copies.is_voter and copies.config.old_voters and not joining_voters(copies.config)
        return bool(caught or idle)

    def advance(self, now: int) -> None:
        copies = self.copies
        for walk in list(self.walks.values()):
            if now - walk.moved > GIVE_UP_US:
                del self.walks[walk.source.name]
            elif walk.next <= now:
                self._ask(now, walk)
        if self.next_settle <= now:
            self.next_settle = now + RESEND_US + int(RESEND_US * copies.rng.random())
            if self.is_catching_up:
                self._walk_all(now)
            elif self._settling:
                copies.settle(now)
        if copies.is_voter and copies.next_repair <= now:
            copies.next_repair = now + int(copies.terms.repair * (0.5 + copies.rng.random()))
            others = [
                v
                for v in all_voters(copies.config)
                if v.name != copies.self_voter.name and v.name not in copies.unresponsive
            ]
            if others and not self.walks and not self.is_catching_up and not copies.store_failure:
                self._walk(now, copies.rng.choice(others))

    def _ask(self, now: int, walk: Walk) -> None:
        walk.next = now + RESEND_US
        copies, name = self.copies, walk.source.name
        if walk.state == "digests":
            copies._send(name, RangeDigests(copies.config.epoch, True, [0] * DIGEST_RANGES))
        elif walk.state == "keys":
            copies._send(name, KeysRequest(copies.config.epoch, walk.bucket, walk.after))
        else:
            copies._send(name, StatesRequest(walk.wanted[:KEYS_MOST]))

    # ------------------------------------------------------------ asked

    def heard(
        self,
        now: int,
        voter: Voter,
        item: RangeDigests | KeysRequest | KeysResponse | StatesRequest | StatesResponse,
    ) -> None:
        if isinstance(item, (KeysRequest, StatesRequest)) or (
            isinstance(item, RangeDigests) and item.reply_wanted
        ):
            self._answer(voter, item)
            return
        walk = self.walks.get(voter.name)
        if walk is None or walk.source != voter or isinstance(item, (StatesRequest, KeysRequest)):
            return
        if isinstance(item, (RangeDigests, KeysResponse)) and item.epoch < self.copies.config.epoch:
            self.copies._send(
                voter.name, ConfigResponse(self.copies.config)
            )  # what it lists may still change without us
            return
        if isinstance(item, (RangeDigests, KeysResponse)) and item.epoch > self.copies.config.epoch:
            self.copies._send(voter.name, ConfigRequest(self.copies.config.epoch, False))
        walk.moved = now
        if isinstance(item, RangeDigests):
            self._compared(now, walk, item)
        elif isinstance(item, KeysResponse):
            self._listed(now, walk, item)
        else:
            self._fetched(now, walk, item)

    def _answer(self, voter: Voter, item: RangeDigests | KeysRequest | StatesRequest) -> None:
        copies = self.copies
        if copies.store_failure or not copies.is_voter or copies.config_mark > copies.durable_index:
            return  # not durable: after a restart we might decide in the group of before once more
        epoch = copies.config.epoch
        if item.__class__ is not StatesRequest and item.epoch > epoch:  # type: ignore[union-attr]
            copies._send(
                voter.name, ConfigRequest(epoch, False)
            )  # the group has changed, and we have not heard of it
            return
        if isinstance(item, RangeDigests):
            copies._send(voter.name, RangeDigests(epoch, False, copies.acceptor.range_digests))
        elif isinstance(item, KeysRequest):
            listed = copies.acceptor.keys(item.bucket, item.after, KEYS_MOST + 1)
            rows = [(key, row.ballot) for key in listed[:KEYS_MOST] if (row := copies.acceptor.get(key))]
            copies._send(
                voter.name, KeysResponse(epoch, item.bucket, item.after, rows, len(listed) <= KEYS_MOST)
            )
        else:
            self._hand_out(voter, item)

    def _hand_out(self, voter: Voter, item: StatesRequest) -> None:
        rows: list[RegisterState] = []
        gone: list[bytes] = []
        room = ROOM
        for key in item.keys:
            row = self.copies.acceptor.get(key)
            if row is None:
                gone.append(key)
                continue
            room -= len(row.value) + 50
            if room < 0 and rows:
                break
            rows.append(row)
        self.copies._send(voter.name, StatesResponse(rows, gone))

    # ------------------------------------------------------------ answered

    def _compared(self, now: int, walk: Walk, item: RangeDigests) -> None:
        if walk.state != "digests":
            return
        ours = self.copies.acceptor.range_digests
        walk.buckets = [i for i in range(DIGEST_RANGES) if ours[i] != item.digests[i]]
        self._on(now, walk)

    def _on(self, now: int, walk: Walk) -> None:
        """To the next part that differs."""
        if not walk.buckets:
            self._over(now, walk)
            return
        walk.bucket, walk.after, walk.state = walk.buckets.pop(), b"", "keys"
        walk.next = now + PACE_US

    def _listed(self, now: int, walk: Walk, item: KeysResponse) -> None:
        if walk.state != "keys" or item.bucket != walk.bucket or item.after != walk.after:
            return
        held = self.copies.acceptor.get
        walk.wanted = [k for k, ballot in item.versions if (row := held(k)) is None or row.ballot < ballot]
        walk.after = item.versions[-1][0] if item.versions else walk.after
        walk.last = item.last or not item.versions
        self._fetch(now, walk)

    def _fetch(self, now: int, walk: Walk) -> None:
        walk.next = now + PACE_US
        if walk.wanted:
            walk.state = "rows"
        elif walk.last:
            self._on(now, walk)
        else:
            walk.state = "keys"

    def _fetched(self, now: int, walk: Walk, item: StatesResponse) -> None:
        if walk.state != "rows":
            return
        wanted, got = set(walk.wanted), set(item.missing)
        for row in item.states:
            if row.key in wanted and bucket(row.key) == walk.bucket:
                self.copies.acceptor.merge(row, now // SECOND)
                got.add(row.key)
                walk.rows += 1
        walk.wanted = [key for key in walk.wanted if key not in got]
        self._fetch(now, walk)

    def _over(self, now: int, walk: Walk) -> None:
        copies = self.copies
        del self.walks[walk.source.name]
        self.repaired_count += walk.rows
        if walk.rows and not self.is_catching_up:
            copies.log_lines.append(f"took {walk.rows} registers from {walk.source.name}")
        if not self.is_catching_up or walk.source not in copies.config.old_voters:
            return
        self.walked.add(walk.source)
        if enough_old(copies.config, self.walked) and not self.mark:
            self.mark = copies.write_caught()

    def persisted(self, now: int, durable: int) -> None:
        """All that was taken over is durable once the record behind it is."""
        if self.mark and self.mark <= durable and self.is_catching_up:
            self.copies.has_caught_up()
            self.mark = 0
            self.copies.settle(now)
