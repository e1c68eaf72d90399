"""The acceptor of one voter: promised ballots and accepted states per register, and the expiry of registers. Pure.
It never accepts a ballot below one that it has promised, not even after a restart. No reply may be sent before the
state behind it is durable: each reply is returned with the index of the log record that it depends on.

Sources: Lamport, Paxos made simple (2001); Rystsov, CASPaxos (2018): each register is changed independently by a
function of its current value, without a log and without a leader. An addition of this implementation: promises are not
logged one by one. A ceiling of all promised counters is logged occasionally, and after a restart every ballot up to it
counts as promised to another proposer."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import defaultdict
from collections.abc import Iterable, Iterator
from hashlib import blake2b

from .messages import (
    CONFIG_KEY,
    DIGEST_RANGES,
    NO_BALLOT,
    REGISTERS_FULL,
    STALE_BALLOT,
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

CEILING_STEP = 1 << 20  # counters by which the ceiling is raised at a time
MAX_COUNTER_JUMP = 1 << 40  # a counter further above the highest one seen is not plausible
CLOCK_SKEW_S = 600  # allowed clock difference: expired registers are kept for this time too
EXPIRY_BUCKET_S = 60  # registers that expire within one such span are kept in one list


class Register:
    """The promised ballot and the accepted state of one register."""

    __slots__ = ("promised", "record_index", "state")

    def __init__(self, key: bytes) -> None:
        self.promised = NO_BALLOT
        self.state = RegisterState(key, NO_BALLOT, 0, b"")
        self.record_index = 0  # index of the log record that holds `state`

    @property
    def min_ballot(self) -> Ballot:
        """Ballots below it are rejected."""
        return max(self.promised, self.state.ballot)


class Acceptor:
    """`pending_records`: log records to be written, in order; the first one ever appended has index 1."""

    def __init__(self, max_registers: int) -> None:
        self.max_registers = max_registers
        self.registers: dict[bytes, Register] = {}
        self.min_counter = 0  # ballots up to this counter count as promised to another proposer
        self.ceiling = 0  # logged: no counter above it has been promised
        self.ceiling_index = 0
        self.highest = 0  # highest counter seen
        self.pending_records: list[LogRecord] = []
        self.last_index = 0
        self.range_digests = [0] * DIGEST_RANGES
        # Keys with an accepted state, by range.
        self.sorted_keys: list[list[bytes]] = [[] for _ in range(DIGEST_RANGES)]
        self.expiries: defaultdict[int, list[bytes]] = defaultdict(list)  # keys by minute of expiry
        self.implausible_counters = 0

    # ------------------------------------------------------------ log records

    def append_record(self, record: LogRecord) -> int:
        """Returns the record's index."""
        self.pending_records.append(record)
        self.last_index += 1
        return self.last_index

    def restore(self, records: Iterable[LogRecord], now_s: int) -> None:
        """Replays the log records of an earlier process."""
        for record in records:
            if isinstance(record, BallotCeiling):
                self.min_counter = max(self.min_counter, record.counter)
            elif isinstance(record, StateAccepted):
                if _is_expired(record.state, now_s):
                    self.min_counter = max(self.min_counter, record.state.ballot.counter)
                else:
                    self._put(record.state, 0)
        self.ceiling = self.min_counter
        self.highest = max([self.min_counter, *(r.state.ballot.counter for r in self.registers.values())])

    def snapshot(self) -> Iterator[LogRecord]:
        """All records of a checkpoint. Registers may change while it is taken: their log records follow it."""
        yield BallotCeiling(self.ceiling)
        for key in list(self.registers):
            if (register := self.registers.get(key)) and register.state.ballot != NO_BALLOT:
                yield StateAccepted(register.state)

    # ------------------------------------------------------------ requests

    def prepare(self, now_s: int, message: Prepare) -> tuple[Promise | Rejected, int]:
        """Returns the reply, and the index of the log record that must be durable before the reply is sent."""
        ballot = message.ballot
        register = self.registers.get(message.key)
        if not self._is_plausible(ballot) or (register is None and not self._has_room(message.key)):
            return self._reject(
                message.operation,
                ballot,
                register,
                STALE_BALLOT if self._has_room(message.key) else REGISTERS_FULL,
            )
        if ballot.counter <= self.min_counter or (register and ballot <= register.min_ballot):
            return self._reject(message.operation, ballot, register, STALE_BALLOT)
        if register is None:
            register = self._add_register(message.key)
            self.expiries[now_s // EXPIRY_BUCKET_S].append(message.key)  # it may never get a value
        register.promised = ballot
        self._raise_ceiling(ballot.counter)
        state = register.state
        if _is_expired(state, now_s):
            # About to be removed; its ballot still counts.
            state = RegisterState(state.key, state.ballot, 0, b"")
        reply = Promise(message.operation, ballot, state.ballot, state.expires_at_s, state.value)
        return reply, self.ceiling_index

    def accept(self, message: Accept) -> tuple[Accepted | Rejected, int]:
        """Returns the reply, and the index of the log record that must be durable before the reply is sent."""
        ballot, state = message.state.ballot, message.state
        register = self.registers.get(state.key)
        if not self._is_plausible(message.next_ballot) or (
            register is None and not self._has_room(state.key)
        ):
            return self._reject(
                message.operation,
                ballot,
                register,
                STALE_BALLOT if self._has_room(state.key) else REGISTERS_FULL,
            )
        repeated = (
            register is not None and register.state.ballot == ballot and register.state.value == state.value
        )
        # A repeated request, or a state learned from another voter. It is still rejected after a higher promise, made
        # by this process or possibly by the one before: its proposer may have been told that the register was empty.
        min_ballot = register.min_ballot if register else NO_BALLOT
        stale = (
            ballot < min_ballot
            if not repeated
            else register is not None and register.promised > max(ballot, message.next_ballot)
        )
        if stale or ballot.counter <= self.min_counter:
            return self._reject(message.operation, ballot, register, STALE_BALLOT)
        register = register or self._add_register(state.key)
        register.promised = max(register.promised, ballot, message.next_ballot)
        self._raise_ceiling(register.promised.counter)
        if not repeated:
            self._put(state, self.append_record(StateAccepted(state)))
        return Accepted(message.operation, ballot), register.record_index

    def merge(self, state: RegisterState, now_s: int) -> None:
        """Stores a state that another voter has accepted. This is not a vote of this acceptor and leaves its promises
        unchanged: a state that a quorum has accepted is now held by one more voter."""
        if _is_expired(state, now_s) or not self._is_plausible(state.ballot):
            return
        register = self.registers.get(state.key)
        if register is None and not self._has_room(state.key):
            return
        if register is None or state.ballot > register.state.ballot:
            self._put(state, self.append_record(StateAccepted(state)))

    def _reject(
        self, op: int, ballot: Ballot, register: Register | None, reason: int
    ) -> tuple[Rejected, int]:
        counter = max(self.min_counter, register.min_ballot.counter if register else 0)
        return Rejected(op, ballot, counter, reason, 0), 0

    def _is_plausible(self, ballot: Ballot) -> bool:
        """Guards against a counter near the maximum, after which no proposer could use a higher one."""
        if ballot.counter > self.highest + MAX_COUNTER_JUMP:
            self.implausible_counters += 1
            return False
        self.highest = max(self.highest, ballot.counter)
        return True

    def _has_room(self, key: bytes) -> bool:
        return len(self.registers) < self.max_registers or key in self.registers or key == CONFIG_KEY

    def _raise_ceiling(self, counter: int) -> None:
        if counter > self.ceiling:
            self.ceiling = counter + CEILING_STEP
            self.ceiling_index = self.append_record(BallotCeiling(self.ceiling))

    def _add_register(self, key: bytes) -> Register:
        register = self.registers[key] = Register(key)
        return register

    def _put(self, state: RegisterState, record_index: int) -> None:
        register = self.registers.get(state.key) or self._add_register(state.key)
        if state.ballot < register.state.ballot:
            return
        self._update_digest(register.state)
        if register.state.ballot == NO_BALLOT:
            insort(self.sorted_keys[bucket(state.key)], state.key)
        if (
            state.expires_at_s
            and state.expires_at_s // EXPIRY_BUCKET_S != register.state.expires_at_s // EXPIRY_BUCKET_S
        ):
            self.expiries[state.expires_at_s // EXPIRY_BUCKET_S].append(state.key)
        register.state, register.record_index = state, record_index
        self._update_digest(state)

    # ------------------------------------------------------------ expiry

    def expire(self, now_s: int, limit: int = 2_000) -> int:
        """Removes expired registers, and returns how many were checked: `limit` at the most. A later write of such a
        register needs a ballot above every removed one."""
        checked = 0
        while checked < limit and self.expiries:
            minute = min(self.expiries)
            if (minute + 1) * EXPIRY_BUCKET_S + CLOCK_SKEW_S >= now_s:
                break
            keys = self.expiries[minute]
            while keys and checked < limit:
                checked += 1
                self._remove_expired(keys.pop(), now_s)
            if not keys:
                del self.expiries[minute]
        return checked

    def _remove_expired(self, key: bytes, now_s: int) -> None:
        register = self.registers.get(key)
        if register and (register.state.ballot == NO_BALLOT or _is_expired(register.state, now_s)):
            self.min_counter = max(self.min_counter, register.state.ballot.counter, register.promised.counter)
            self._raise_ceiling(self.min_counter)
            self._update_digest(register.state)
            if register.state.ballot != NO_BALLOT:
                range_keys = self.sorted_keys[bucket(key)]
                del range_keys[bisect_left(range_keys, key)]
            del self.registers[key]

    # ------------------------------------------------------------ anti-entropy

    def _update_digest(self, state: RegisterState) -> None:
        if state.ballot != NO_BALLOT:
            data = (
                state.key + state.ballot.counter.to_bytes(8, "big") + state.ballot.proposer.to_bytes(8, "big")
            )
            digest = int.from_bytes(blake2b(data, digest_size=8).digest(), "big") >> 1
            self.range_digests[bucket(state.key)] ^= digest

    def keys(self, number: int, after: bytes, limit: int) -> list[bytes]:
        """The next keys of one range, in order."""
        range_keys = self.sorted_keys[number]
        begin = bisect_right(range_keys, after)
        return range_keys[begin : begin + limit]

    def get(self, key: bytes) -> RegisterState | None:
        """The accepted state of a register, or None."""
        register = self.registers.get(key)
        return register.state if register and register.state.ballot != NO_BALLOT else None


def bucket(key: bytes) -> int:
    """The key range, 0 to DIGEST_RANGES - 1, to which a key belongs."""
    return key[0] % DIGEST_RANGES


def _is_expired(state: RegisterState, now_s: int) -> bool:
    return bool(state.expires_at_s) and state.expires_at_s + CLOCK_SKEW_S < now_s
