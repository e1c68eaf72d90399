"""One voter's memory: which ballots it has promised to wait for, and what it has accepted, register by register. Pure.
It owns the registers and their expiry. It must never accept below a ballot that it has promised, not even after a
restart, and never say so before what it says has been written down: each answer names the record that it waits for.

Sources: Lamport, Paxos made simple (2001); Rystsov, CASPaxos (2018): a register is changed by a function of what stands
in it, each by itself, without a log and a leader. Ours: promises are not written down one by one. A ceiling is, now and
then, and after a restart every ballot below it counts as promised away."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import defaultdict
from collections.abc import Iterable, Iterator
from hashlib import blake2b

from .messages import (
    CONFIG_KEY,
    DIGEST_RANGES,
    FULL,
    LATE,
    NONE,
    Accept,
    Accepted,
    Ballot,
    BallotCeiling,
    LogRecord,
    Prepare,
    Promise,
    RegisterState,
    Rejected,
    StateAccepted,
)

RESERVE = 1 << 20  # counters by which the ceiling is raised at once
MAX_COUNTER_JUMP = 1 << 40  # a counter so far above all that were seen is no proposer's of ours
CLOCK_SKEW_S = 600  # by which clocks may differ: nothing is forgotten before that is over too
SPAN_S = 60  # registers that expire together


class Register:
    __slots__ = ("mark", "promised", "state")

    def __init__(self, key: bytes) -> None:
        self.promised = NONE
        self.state = RegisterState(key, NONE, 0, b"")
        self.mark = 0  # the record that holds the row

    @property
    def bar(self) -> Ballot:
        """Nothing below it is taken any more."""
        return max(self.promised, self.state.ballot)


class Acceptor:
    """`records`: what is to be written down, in order; the first that was ever handed out is number 1. `most`:
    registers at the most."""

    def __init__(self, most: int) -> None:
        self.max_registers = most
        self.registers: dict[bytes, Register] = {}
        self.min_counter = 0  # ballots up to this counter are taken for promised away
        self.ceiling = 0  # written down: none above it has been promised
        self.ceiling_mark = 0
        self.highest = 0  # counter that was seen
        self.pending_records: list[LogRecord] = []
        self.mark = 0
        self.range_digests = [0] * DIGEST_RANGES
        self.sorted: list[list[bytes]] = [[] for _ in range(DIGEST_RANGES)]  # keys that hold something
        self.ends: defaultdict[int, list[bytes]] = defaultdict(list)  # by minute of their end
        self.refused_far = 0

    # ------------------------------------------------------------ written down

    def append_record(self, record: LogRecord) -> int:
        """Its number."""
        self.pending_records.append(record)
        self.mark += 1
        return self.mark

    def restore(self, records: Iterable[LogRecord], now_s: int) -> None:
        """What an earlier life wrote down."""
        for record in records:
            if isinstance(record, BallotCeiling):
                self.min_counter = max(self.min_counter, record.counter)
            elif isinstance(record, StateAccepted):
                if _over(record.state, now_s):
                    self.min_counter = max(self.min_counter, record.state.ballot.counter)
                else:
                    self._put(record.state, 0)
        self.ceiling = self.min_counter
        self.highest = max([self.min_counter, *(r.state.ballot.counter for r in self.registers.values())])

    def snapshot(self) -> Iterator[LogRecord]:
        """All that a checkpoint must hold; registers may change while it is taken, as their records come after it."""
        yield BallotCeiling(self.ceiling)
        for key in list(self.registers):
            if (register := self.registers.get(key)) and register.state.ballot != NONE:
                yield StateAccepted(register.state)

    # ------------------------------------------------------------ asked

    def prepare(self, now_s: int, message: Prepare) -> tuple[Promise | Rejected, int]:
        """The answer, and the record that must be durable before it goes out."""
        ballot = message.ballot
        register = self.registers.get(message.key)
        if not self._sound(ballot) or (register is None and not self._room(message.key)):
            return self._refused(
                message.operation, ballot, register, LATE if self._room(message.key) else FULL
            )
        if ballot.counter <= self.min_counter or (register and ballot <= register.bar):
            return self._refused(message.operation, ballot, register, LATE)
        if register is None:
            register = self._new(message.key)
            self.ends[now_s // SPAN_S].append(message.key)  # it may never hold anything
        register.promised = ballot
        self._reserve(ballot.counter)
        row = register.state
        if _over(row, now_s):
            row = RegisterState(
                row.key, row.ballot, 0, b""
            )  # it is forgotten in a moment; its ballot still counts
        answer = Promise(message.operation, ballot, row.ballot, row.expires_at_s, row.value)
        return answer, self.ceiling_mark

    def accept(self, message: Accept) -> tuple[Accepted | Rejected, int]:
        ballot, row = message.state.ballot, message.state
        register = self.registers.get(row.key)
        if not self._sound(message.next_ballot) or (register is None and not self._room(row.key)):
            return self._refused(message.operation, ballot, register, LATE if self._room(row.key) else FULL)
        again = register is not None and register.state.ballot == ballot and register.state.value == row.value
        # Asked again, or known through another voter. A higher promise since then, in this life or perhaps in the one
        # before, forbids a yes all the same: who has it may have been told that nothing stood here.
        bar = register.bar if register else NONE
        late = (
            ballot < bar
            if not again
            else register is not None and register.promised > max(ballot, message.next_ballot)
        )
        if late or ballot.counter <= self.min_counter:
            return self._refused(message.operation, ballot, register, LATE)
        register = register or self._new(row.key)
        register.promised = max(register.promised, ballot, message.next_ballot)
        self._reserve(register.promised.counter)
        if not again:
            self._put(row, self.append_record(StateAccepted(row)))
        return Accepted(message.operation, ballot), register.mark

    def merge(self, row: RegisterState, now_s: int) -> None:
        """What another voter has accepted. It is no vote of ours, only known here: where a majority holds it, one more
        does now. Our promises stay as they are."""
        if _over(row, now_s) or not self._sound(row.ballot):
            return
        register = self.registers.get(row.key)
        if register is None and not self._room(row.key):
            return
        if register is None or row.ballot > register.state.ballot:
            self._put(row, self.append_record(StateAccepted(row)))

    def _refused(self, op: int, ballot: Ballot, register: Register | None, why: int) -> tuple[Rejected, int]:
        counter = max(self.min_counter, register.bar.counter if register else 0)
        return Rejected(op, ballot, counter, why, 0), 0

    def _sound(self, ballot: Ballot) -> bool:
        """Guards against one counter beyond all, after which nobody could be let in any more."""
        if ballot.counter > self.highest + MAX_COUNTER_JUMP:
            self.refused_far += 1
            return False
        self.highest = max(self.highest, ballot.counter)
        return True

    def _room(self, key: bytes) -> bool:
        return len(self.registers) < self.max_registers or key in self.registers or key == CONFIG_KEY

    def _reserve(self, counter: int) -> None:
        if counter > self.ceiling:
            self.ceiling = counter + RESERVE
            self.ceiling_mark = self.append_record(BallotCeiling(self.ceiling))

    def _new(self, key: bytes) -> Register:
        register = self.registers[key] = Register(key)
        return register

    def _put(self, row: RegisterState, mark: int) -> None:
        register = self.registers.get(row.key) or self._new(row.key)
        if row.ballot < register.state.ballot:
            return
        self._toggle(register.state)
        if register.state.ballot == NONE:
            insort(self.sorted[bucket(row.key)], row.key)
        if row.expires_at_s and row.expires_at_s // SPAN_S != register.state.expires_at_s // SPAN_S:
            self.ends[row.expires_at_s // SPAN_S].append(row.key)
        register.state, register.mark = row, mark
        self._toggle(row)

    # ------------------------------------------------------------ time

    def expire(self, now_s: int, most: int = 2_000) -> int:
        """Forgets what nobody relies on any more, so many at once; how many were looked at. Whoever writes it anew must
        come with a higher ballot than any that was forgotten."""
        looked = 0
        while looked < most and self.ends:
            span = min(self.ends)
            if (span + 1) * SPAN_S + CLOCK_SKEW_S >= now_s:
                break
            keys = self.ends[span]
            while keys and looked < most:
                looked += 1
                self._forget(keys.pop(), now_s)
            if not keys:
                del self.ends[span]
        return looked

    def _forget(self, key: bytes, now_s: int) -> None:
        register = self.registers.get(key)
        if register and (register.state.ballot == NONE or _over(register.state, now_s)):
            self.min_counter = max(self.min_counter, register.state.ballot.counter, register.promised.counter)
            self._reserve(self.min_counter)
            self._toggle(register.state)
            if register.state.ballot != NONE:
                part = self.sorted[bucket(key)]
                del part[bisect_left(part, key)]
            del self.registers[key]

    # ------------------------------------------------------------ compared

    def _toggle(self, row: RegisterState) -> None:
        if row.ballot != NONE:
            text = row.key + row.ballot.counter.to_bytes(8, "big") + row.ballot.proposer.to_bytes(8, "big")
            hashed = int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1
            self.range_digests[bucket(row.key)] ^= hashed

    def keys(self, number: int, after: bytes, most: int) -> list[bytes]:
        """The next of one part, in order."""
        part = self.sorted[number]
        begin = bisect_right(part, after)
        return part[begin : begin + most]

    def get(self, key: bytes) -> RegisterState | None:
        register = self.registers.get(key)
        return register.state if register and register.state.ballot != NONE else None


def bucket(key: bytes) -> int:
    return key[0] % DIGEST_RANGES


def _over(row: RegisterState, now_s: int) -> bool:
    return bool(row.expires_at_s) and row.expires_at_s + CLOCK_SKEW_S < now_s
