"""Sums the load of the whole fleet up a tree of its members and sends the result back down. Does no I/O. Decides which
member sends to which and how old a part may be. A load is never counted in a cycle, even while two members have
different member lists.

The live members, ordered by a hash of their names, form a heap: the member at index i sends to the one at index
(i - 1) // TREE_FANOUT. A parent has the lower hash, and accepts upward sums only from higher hashes, so that no cycle
can form even while two members hold different lists. The first member (the root) has the sum of all and sends it down.
A child that changes its parent is counted at both until the older part has expired."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from ..decisions.fleet.load import Load, clamp, decode, encode, sum_loads
from .datagrams import MAX_BODY_BYTES
from .membership import Membership, OutgoingMessage
from .messages import ALIVE, MAX_NODES, Envelope, LoadAggregate, MemberRecord, pack

TREE_FANOUT = 6
SEND_INTERVAL_US = 600_000  # a parent of six handles twelve sums in it, each of at most 1,200 bytes
PART_TTL_US = 1_500_000  # a part that was not received again within this time no longer counts
URGENT_INTERVAL_US = 50_000  # shortest interval between two urgent sums
MAX_CHILDREN = 4 * TREE_FANOUT  # parts kept, as members may hold different lists for a time


@lru_cache(maxsize=4096)
def tree_rank(name: str) -> bytes:
    """The hash that determines a member's position in the tree."""
    return blake2b(name.encode(), digest_size=8).digest()


@dataclass(slots=True)
class Part:
    """The last sum from a child. `age_us`: the age of its oldest part when it arrived."""

    load: Load
    received_at: int
    age_us: int


class LoadAggregation:
    """`measure_own_load`: measures this proxy's load at a time. `total`, `total_at`, `age_us`: the fleet's sum, when it
    arrived, and the age of its oldest part at that time, microseconds."""

    def __init__(self, membership: Membership, measure_own_load: Callable[[int], Load]) -> None:
        self.membership, self.measure_own_load = membership, measure_own_load
        self.parts: dict[str, Part] = {}
        self.total: Load | None = None
        self.total_at = self.age_us = self.round = 0
        self.next_send = 0
        self.next_urgent_send = 0
        self.urgent = False
        self.rejected_count = 0

    # ------------------------------------------------------------ the tree

    def _tree_order(self) -> list[MemberRecord]:
        """The records of the live members in tree order, this process included."""
        records = [m.record for m in self.membership.member_table.members.values() if m.record.state == ALIVE]
        return sorted(
            [*records, self.membership.self_record], key=lambda record: (tree_rank(record.name), record.name)
        )

    def _tree_index(self, tree: list[MemberRecord]) -> int:
        return next(i for i, record in enumerate(tree) if record.name == self.membership.self_record.name)

    # ------------------------------------------------------------ time

    def next_deadline(self) -> int:
        """The time at which `advance` should be called next, microseconds."""
        return min(self.next_send, self.next_urgent_send) if self.urgent else self.next_send

    def advance(self, now: int) -> None:
        """Sends the sum if it is due."""
        if self.next_send <= now or (self.urgent and self.next_urgent_send <= now):
            self._send_sum(now)

    def send_soon(self, now: int) -> None:
        """Sends the next sum without waiting for the interval to end."""
        self.urgent = True
        self.next_urgent_send = max(self.next_urgent_send, now)

    def _send_sum(self, now: int) -> None:
        urgent, self.urgent = self.urgent, False
        self.next_send, self.next_urgent_send = now + SEND_INTERVAL_US, now + URGENT_INTERVAL_US
        tree = self._tree_order()
        index = self._tree_index(tree)
        for name in [n for n, part in self.parts.items() if now - part.received_at > PART_TTL_US]:
            del self.parts[name]
        own = self.measure_own_load(now)
        load = sum_loads([own, *(part.load for part in self.parts.values())])
        age = max([0, *(now - part.received_at + part.age_us for part in self.parts.values())])
        if index:
            self._send(tree[(index - 1) // TREE_FANOUT], load, False, age, int(urgent))
            return
        self.round = (self.round + 1) & 0xFFFFFFFF
        self._set_total(now, load, age, self.round)
        self._send_down(tree, index)

    def _send_down(self, tree: list[MemberRecord], index: int) -> None:
        if self.total:
            for record in tree[index * TREE_FANOUT + 1 : index * TREE_FANOUT + 1 + TREE_FANOUT]:
                self._send(record, self.total, True, self.age_us, self.round)

    def _send(self, record: MemberRecord, load: Load, downward: bool, age_us: int, round: int) -> None:
        totals, classes, nodes = encode(load, MAX_NODES)
        age_ms = min(60_000, age_us // 1000)
        message = LoadAggregate(downward, round, min(65535, load.members), age_ms, totals, classes, nodes)
        # Unusually large figures take more bytes.
        while nodes and len(pack(self.membership.self_record.name, message)) > MAX_BODY_BYTES:
            nodes = nodes[: len(nodes) // 2]
            message = LoadAggregate(downward, round, min(65535, load.members), age_ms, totals, classes, nodes)
        self.membership.outbox.append(OutgoingMessage(record.host, record.port, record.session, message))

    # ------------------------------------------------------------ incoming messages

    def handle(self, now: int, envelope: Envelope, message: LoadAggregate) -> None:
        """Handles a part from a child or the total from a parent. Rejects a message whose direction does not match the
        sender's rank."""
        member = self.membership.member_table.members.get(envelope.sender)
        load = decode(message.members, message.totals, message.classes, message.nodes)
        from_child = (tree_rank(envelope.sender), envelope.sender) > (
            tree_rank(self.membership.self_record.name),
            self.membership.self_record.name,
        )
        if member is None or load is None or from_child == message.downward:
            self.rejected_count += 1
            return
        live_count = 1 + sum(1 for m in self.membership.member_table.members.values() if m.living)
        load = clamp(load, live_count)
        if message.downward:
            if self.total_at and now - self.total_at < SEND_INTERVAL_US // 2 and message.round == self.round:
                return  # a duplicate
            self._set_total(now, load, message.age_ms * 1000, message.round)
            tree = self._tree_order()
            self._send_down(tree, self._tree_index(tree))
            return
        if envelope.sender not in self.parts and len(self.parts) >= MAX_CHILDREN:
            self.rejected_count += 1
            return
        self.parts[envelope.sender] = Part(load, now, message.age_ms * 1000)
        if message.round:  # urgent
            self.send_soon(now)

    def _set_total(self, now: int, load: Load, age_us: int, round: int) -> None:
        self.total, self.total_at, self.age_us, self.round = load, now, age_us, round

    def age(self, now: int) -> int:
        """Age of the oldest part in the fleet's sum, microseconds."""
        return now - self.total_at + self.age_us
