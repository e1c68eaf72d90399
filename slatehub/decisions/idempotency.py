"""Records of requests that must not run twice, and the answer that a repeat of such a request gets. Pure: each change
concerns one register of `slatehub.copies`. This module defines the form of the record. A request that may have run is
never sent again; whether it has run is determined by `nodes/outcomes.py`, not here.

The form follows the IETF draft "The Idempotency-Key HTTP Header Field" (httpapi): the caller chooses the key, the same
key with another payload is an error, a repeat of a request in progress is a conflict, a repeat of a completed request
gets the recorded answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import msgspec

STATE_SENT, STATE_NEVER_RAN, STATE_COMPLETED = range(3)
MAX_BODY_BYTES = 480  # longer answers are not kept
MAX_FIELD_LENGTH = 64  # bytes of a name, characters of a content type
MAX_RECORD_BYTES = 800  # of an encoded record: the limit of a register (`copies.messages`)
FORMAT = 1
# What tells two requests apart. Records of the first version have only `mark`, which covers 64 KiB of a body.
FINGERPRINT_MARK, FINGERPRINT_DIGEST = 1, 2


class ClaimResult(Enum):
    """What a claim found in the register."""

    CLAIMED = "mine"  # the request may be sent
    REPLAYABLE = "same"  # the request has run and its answer is known
    COMPLETED_WITHOUT_BODY = "ran"  # the request has run; its answer was too long to be kept
    DOUBT = "doubt"  # the request was sent; its outcome is unknown
    KEY_REUSED = "other"  # the key belongs to another request
    UNREADABLE = "unreadable"  # written by a later version


class IdempotencyRecord(msgspec.Struct, array_like=True, frozen=True):
    """`token`: of the job that claimed the key; `mark`: hash of the request's beginning and of the numbers of its class
    and tenant, by which earlier versions of the program compare requests; `at_ms`: when the attempt was sent or had
    ended, milliseconds from the epoch; `kind`: content type of the answer; `digest`: hash of the whole request and of
    the names of its class and tenant, b"" in a record of an earlier version. New fields are only added at the end, with
    a default; earlier versions ignore them."""

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
    fingerprint: int = FINGERPRINT_MARK  # what tells requests apart, see above
    digest: bytes = b""

    def is_same_request(self, mark: int, digest: bytes) -> bool:
        """Whether a request with this mark and digest is the recorded one."""
        return self.digest == digest if self.fingerprint == FINGERPRINT_DIGEST else self.mark == mark


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(IdempotencyRecord)


def register_key(tenant: str, key: str) -> bytes:
    """The register of this idempotency key. Keys of different tenants never share a register."""
    return blake2b(f"{tenant}\0{key}".encode(), digest_size=16).digest()


def decode_idempotency_record(value: bytes) -> IdempotencyRecord | None:
    """None if the value does not have a known form."""
    try:
        record = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        return None
    known = record.format == FORMAT and FINGERPRINT_MARK <= record.fingerprint <= FINGERPRINT_DIGEST
    return record if known and STATE_SENT <= record.state <= STATE_COMPLETED else None


@dataclass(slots=True)
class ClaimIntent:
    """Register change before an attempt: writes the intent to send, unless the current value forbids it."""

    record: IdempotencyRecord
    result: ClaimResult = ClaimResult.CLAIMED
    existing: IdempotencyRecord | None = None

    def __call__(self, value: bytes) -> bytes | None:
        """The new value, None if the claim is rejected; sets `result` and `existing`."""
        self.existing = decode_idempotency_record(value) if value else None
        self.result = self._check(value)
        return _encoder.encode(self.record) if self.result is ClaimResult.CLAIMED else None

    def _check(self, value: bytes) -> ClaimResult:
        existing, wanted = self.existing, self.record
        if not value:
            return ClaimResult.CLAIMED
        if existing is None:
            return ClaimResult.UNREADABLE
        if not existing.is_same_request(wanted.mark, wanted.digest):
            return ClaimResult.KEY_REUSED
        if existing.state == STATE_NEVER_RAN or existing.token == wanted.token:
            # The same token: an earlier attempt of this job that never ran, or this one, written but not yet decided.
            return ClaimResult.CLAIMED
        return result_for_repeat(existing)


def result_for_repeat(record: IdempotencyRecord) -> ClaimResult:
    """What a repeat of the recorded request gets."""
    if record.state == STATE_COMPLETED:
        return ClaimResult.COMPLETED_WITHOUT_BODY if record.body is None else ClaimResult.REPLAYABLE
    return ClaimResult.DOUBT if record.state == STATE_SENT else ClaimResult.CLAIMED


@dataclass(slots=True)
class WriteOutcome:
    """Register change after an attempt. Only the job that sent the request may write its outcome: if another job has
    claimed the register since, nothing changes."""

    record: IdempotencyRecord

    def __call__(self, value: bytes) -> bytes | None:
        """The new value, None if nothing is to be changed."""
        found = decode_idempotency_record(value) if value else None
        own = found is not None and found.token == self.record.token and found.state != STATE_COMPLETED
        return (
            _encoder.encode(self.record) if own and found and found.attempt <= self.record.attempt else None
        )


def never_ran_record(record: IdempotencyRecord, at_ms: int) -> IdempotencyRecord:
    """The record of a request that is proven not to have run and will not run."""
    return msgspec.structs.replace(record, state=STATE_NEVER_RAN, at_ms=at_ms)


def completed_record(
    record: IdempotencyRecord, at_ms: int, kind: str, body: bytes | None
) -> IdempotencyRecord:
    """The record of a request that has run. `body`: the node's answer, None if it was incomplete. An answer
    that is too long, or does not fit into the record beside long names, is not kept."""
    completed = msgspec.structs.replace(record, state=STATE_COMPLETED, at_ms=at_ms, kind="", body=None)
    if body is None or len(body) > MAX_BODY_BYTES or len(kind) > MAX_FIELD_LENGTH:
        return completed
    with_answer = msgspec.structs.replace(completed, kind=kind, body=body)
    return with_answer if len(_encoder.encode(with_answer)) <= MAX_RECORD_BYTES else completed


def intent_record(
    token: int,
    mark: int,
    digest: bytes,
    request: str,
    cls: str,
    tenant: str,
    node: str,
    attempt: int,
    at_ms: int,
) -> IdempotencyRecord:
    """The record that is written before an attempt is sent; long names are cut."""
    return IdempotencyRecord(
        FORMAT,
        STATE_SENT,
        token,
        mark,
        _truncate(request),
        _truncate(cls),
        _truncate(tenant),
        _truncate(node),
        attempt,
        at_ms,
        fingerprint=FINGERPRINT_DIGEST,
        digest=digest,
    )


def _truncate(text: str) -> str:
    return text.encode()[:MAX_FIELD_LENGTH].decode("utf-8", "ignore")
