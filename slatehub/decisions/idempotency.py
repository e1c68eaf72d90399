"""What is written down of an order that must not run twice, and what a repeat of it is told. Pure: changes of one
register each, see `copies`. It owns the form of that register. It must never let an order out that may have run, and
never guess whether it has: `nodes/outcomes.py` says so.

The form follows the draft The Idempotency-Key HTTP Header Field (IETF, httpapi): the key is the caller's, the same key
with another payload is an error, one that is in hand is a conflict, one that has ended is answered as before."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import msgspec

STATE_SENT, STATE_NEVER_RAN, STATE_COMPLETED = range(3)
BODY_MOST = 480  # bytes of an answer that are kept
WORD_MOST = 64  # characters of a name or type
FORMAT = 1


class ClaimResult(Enum):
    """What a claim came upon."""

    MINE = "mine"  # it may be sent
    REPLAYABLE = "same"  # it has run, and its answer is known
    COMPLETED_WITHOUT_BODY = "ran"  # it has run, its answer was too long to be kept
    DOUBT = "doubt"  # it was sent, nobody knows how it ended
    KEY_REUSED = "other"  # the same key for another order
    UNREADABLE = "unreadable"  # written by a later version


class IdempotencyRecord(msgspec.Struct, array_like=True, frozen=True):
    """`token`: of the job that claimed it; `mark`: of what was asked for; `at_ms`: when the attempt was let out, or had
    ended. A field is only ever added at the end, with a default."""

    format: int
    state: int
    token: int
    mark: int
    request: str
    cls: str
    tenant: str
    node: str
    attempt: int
    at_ms: int
    kind: str = ""
    body: bytes | None = None  # None: not kept


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(IdempotencyRecord)


def register_key(tenant: str, key: str) -> bytes:
    """The register of this key: one tenant's keys are nothing to another."""
    return blake2b(f"{tenant}\0{key}".encode(), digest_size=16).digest()


def decode_idempotency_record(value: bytes) -> IdempotencyRecord | None:
    """None where it is of a form that we do not know."""
    try:
        entry = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        return None
    return entry if entry.format == FORMAT and STATE_SENT <= entry.state <= STATE_COMPLETED else None


@dataclass(slots=True)
class ClaimIntent:
    """Before an attempt: its intent is written, unless what stands there forbids it."""

    entry: IdempotencyRecord
    result: ClaimResult = ClaimResult.MINE
    existing: IdempotencyRecord | None = None

    def __call__(self, value: bytes) -> bytes | None:
        self.existing = decode_idempotency_record(value) if value else None
        self.result = self._finding(value)
        return _encoder.encode(self.entry) if self.result is ClaimResult.MINE else None

    def _finding(self, value: bytes) -> ClaimResult:
        found, mine = self.existing, self.entry
        if not value:
            return ClaimResult.MINE
        if found is None:
            return ClaimResult.UNREADABLE
        if found.mark != mine.mark:
            return ClaimResult.KEY_REUSED
        if found.state == STATE_NEVER_RAN or found.token == mine.token:
            return (
                ClaimResult.MINE
            )  # ours: an earlier attempt that never ran, or this one, written but not yet decided
        return result_for_repeat(found)


def result_for_repeat(entry: IdempotencyRecord) -> ClaimResult:
    """What a repeat is told of an order that was let out."""
    if entry.state == STATE_COMPLETED:
        return ClaimResult.COMPLETED_WITHOUT_BODY if entry.body is None else ClaimResult.REPLAYABLE
    return ClaimResult.DOUBT if entry.state == STATE_SENT else ClaimResult.MINE


@dataclass(slots=True)
class WriteOutcome:
    """After an attempt. Only the job that let it out says so; where another has taken the register up since, nothing is
    changed."""

    entry: IdempotencyRecord

    def __call__(self, value: bytes) -> bytes | None:
        found = decode_idempotency_record(value) if value else None
        mine = found is not None and found.token == self.entry.token and found.state != STATE_COMPLETED
        return _encoder.encode(self.entry) if mine and found and found.attempt <= self.entry.attempt else None


def never_ran_record(entry: IdempotencyRecord, at_ms: int) -> IdempotencyRecord:
    """Proven: it has not run and will not."""
    return msgspec.structs.replace(entry, state=STATE_NEVER_RAN, at_ms=at_ms)


def completed_record(
    entry: IdempotencyRecord, at_ms: int, kind: str, body: bytes | None
) -> IdempotencyRecord:
    """`body`: the node's answer, None where it was not whole or is too long."""
    kept = body if body is not None and len(body) <= BODY_MOST and len(kind) <= WORD_MOST else None
    return msgspec.structs.replace(
        entry, state=STATE_COMPLETED, at_ms=at_ms, kind=kind if kept is not None else "", body=kept
    )


def intent_record(
    token: int, mark: int, request: str, cls: str, tenant: str, node: str, attempt: int, at_ms: int
) -> IdempotencyRecord:
    return IdempotencyRecord(
        FORMAT, STATE_SENT, token, mark, _cut(request), _cut(cls), _cut(tenant), _cut(node), attempt, at_ms
    )


def _cut(word: str) -> str:
    return word.encode()[:WORD_MOST].decode("utf-8", "ignore")
