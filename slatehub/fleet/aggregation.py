"""What the whole fleet carries, added up along a tree of its members and handed down again. Pure. It owns who tells
whom and how old a part may be. It must never count itself in a circle, whatever two members hold of who is there.

The members that are alive, ordered by a hash of their names, form a heap: who stands at place i tells the one at (i -
1) // TREE_FANOUT. A parent has the lower hash, and takes what goes up from higher hashes only, so that no circle can
form even while two members hold different lists. The first of all has the sum and hands it down. A child that changes
its parent is counted at both until the older part has aged out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from ..decisions.fleet.load import Load, clamp, decode, encode, sum_loads
from .datagrams import MAX_BODY_BYTES
from .membership import Membership, Out
from .messages import ALIVE, NODES_MOST, Envelope, LoadAggregate, MemberRecord, pack

TREE_FANOUT = 6
PERIOD_US = 600_000  # a parent of six carries twelve sums in it, one of 1,200 bytes at the most
PART_US = 1_500_000  # a part that was not told again for so long no longer counts
SOON_US = 50_000  # news that cannot wait goes out no more often
CHILDREN_MOST = 4 * TREE_FANOUT  # parts that are kept, while members still hold different lists


@lru_cache(maxsize=4096)
def tree_rank(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()


@dataclass(slots=True)
class Part:
    load: Load
    at: int
    age_us: int


class LoadAggregation:
    """`own`: gives what this proxy carries. `total`, `told_at`, `age_us`: the sum of all, when it was told, how old its
    oldest part was then."""

    def __init__(self, members: Membership, own: Callable[[int], Load]) -> None:
        self.members, self.own = members, own
        self.parts: dict[str, Part] = {}
        self.total: Load | None = None
        self.told_at = self.age_us = self.turn = 0
        self.next = 0
        self.soonest = 0
        self.hurried = False
        self.refused = 0

    # ------------------------------------------------------------ the tree

    def _line(self) -> list[MemberRecord]:
        """Who stands in the tree, ourselves included, in order."""
        rows = [m.record for m in self.members.member_table.members.values() if m.record.state == ALIVE]
        return sorted([*rows, self.members.self_record], key=lambda row: (tree_rank(row.name), row.name))

    def _place(self, line: list[MemberRecord]) -> int:
        return next(i for i, row in enumerate(line) if row.name == self.members.self_record.name)

    # ------------------------------------------------------------ time

    def due(self) -> int:
        return min(self.next, self.soonest) if self.hurried else self.next

    def advance(self, now: int) -> None:
        if self.next <= now or (self.hurried and self.soonest <= now):
            self._tell(now)

    def hurry(self, now: int) -> None:
        """Something that the others should know at once: it does not wait for the period."""
        self.hurried = True
        self.soonest = max(self.soonest, now)

    def _tell(self, now: int) -> None:
        hurried, self.hurried = self.hurried, False
        self.next, self.soonest = now + PERIOD_US, now + SOON_US
        line = self._line()
        place = self._place(line)
        for name in [n for n, part in self.parts.items() if now - part.at > PART_US]:
            del self.parts[name]
        own = self.own(now)
        load = sum_loads([own, *(part.load for part in self.parts.values())])
        age = max([0, *(now - part.at + part.age_us for part in self.parts.values())])
        if place:
            self._send(line[(place - 1) // TREE_FANOUT], load, False, age, int(hurried))
            return
        self.turn = (self.turn + 1) & 0xFFFFFFFF
        self._take(now, load, age, self.turn)
        self._hand_down(line, place)

    def _hand_down(self, line: list[MemberRecord], place: int) -> None:
        if self.total:
            for row in line[place * TREE_FANOUT + 1 : place * TREE_FANOUT + 1 + TREE_FANOUT]:
                self._send(row, self.total, True, self.age_us, self.turn)

    def _send(self, row: MemberRecord, load: Load, down: bool, age_us: int, turn: int) -> None:
        plain, classes, nodes = encode(load, NODES_MOST)
        age_ms = min(60_000, age_us // 1000)
        message = LoadAggregate(down, turn, min(65535, load.members), age_ms, plain, classes, nodes)
        while (
            nodes and len(pack(self.members.self_record.name, message)) > MAX_BODY_BYTES
        ):  # figures far beyond the usual take more bytes
            nodes = nodes[: len(nodes) // 2]
            message = LoadAggregate(down, turn, min(65535, load.members), age_ms, plain, classes, nodes)
        self.members.out.append(Out(row.host, row.port, row.session, message))

    # ------------------------------------------------------------ messages in

    def heard(self, now: int, letter: Envelope, message: LoadAggregate) -> None:
        """A part from below, or the whole from above. What a member's place does not entitle it to say is refused."""
        held = self.members.member_table.members.get(letter.sender)
        load = decode(message.members, message.plain, message.classes, message.nodes)
        below = (tree_rank(letter.sender), letter.sender) > (
            tree_rank(self.members.self_record.name),
            self.members.self_record.name,
        )
        if held is None or load is None or below == message.down:
            self.refused += 1
            return
        living = 1 + sum(1 for m in self.members.member_table.members.values() if m.living)
        load = clamp(load, living)
        if message.down:
            if self.told_at and now - self.told_at < PERIOD_US // 2 and message.turn == self.turn:
                return  # came twice
            self._take(now, load, message.age_ms * 1000, message.turn)
            line = self._line()
            self._hand_down(line, self._place(line))
            return
        if letter.sender not in self.parts and len(self.parts) >= CHILDREN_MOST:
            self.refused += 1
            return
        self.parts[letter.sender] = Part(load, now, message.age_ms * 1000)
        if message.turn:  # the sender could not wait
            self.hurry(now)

    def _take(self, now: int, load: Load, age_us: int, turn: int) -> None:
        self.total, self.told_at, self.age_us, self.turn = load, now, age_us, turn

    def age(self, now: int) -> int:
        """Of the oldest part in the sum of all, microseconds."""
        return now - self.told_at + self.age_us
