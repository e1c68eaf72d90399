"""The messages between proxies, as typed MessagePack structs. Defines their form and the bounds of every value: a
message with a value out of bounds is rejected as a whole, so that the code behind need not check again.

Formats of version 1. A field is only ever added at the end, with a default: an older proxy ignores it."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated

import msgspec
from msgspec import Meta

from .datagrams import MAX_BODY_BYTES

MAX_NAME_LENGTH = 64
ALIVE, SUSPECT, DEAD, LEFT = range(4)
U64 = Annotated[int, Meta(ge=0)]  # MessagePack cannot encode integers above 2**64 - 1
U32 = Annotated[int, Meta(ge=0, lt=2**32)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Figure = Annotated[int, Meta(ge=0, le=10**12)]  # thousandths
MAX_NODES = 24  # nodes in one message: as many as fit
MAX_PAYLOAD_BYTES = MAX_BODY_BYTES - MAX_NAME_LENGTH - 16  # bytes, beside the sender's name
DIGEST_BUCKETS = 16  # buckets by which two member tables are compared


class MessageError(ValueError):
    """The body is not a valid message."""


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """The record of one member. `incarnation` only grows: the higher one is valid, and of two equal ones the graver
    state. Only the member itself raises it, to refute a record; a new process starts at the clock's milliseconds.
    `suspected_by`: the member that suspects it, as two independent suspicions count for more than one that was
    forwarded."""

    name: Name
    host: Annotated[str, Meta(min_length=2, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    session: U64
    incarnation: U64
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    suspected_by: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""


class Join(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Announces the sender; answered by a Join, which gives the sender the receiver's session."""

    record: MemberRecord


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A probe; answered by an Ack with the same number."""

    number: U32
    table: U64  # digest of the sender's member table
    records: list[MemberRecord]


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to a Ping, or the relayed answer to a PingRequest."""

    number: U32
    table: U64
    records: list[MemberRecord]


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the receiver to ping `target` and to answer with Ack, or with Nack if `target` is late."""

    number: U32
    target: Name
    records: list[MemberRecord]


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The answer to a PingRequest whose target has not answered in time."""

    number: U32


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Records of members, without an answer."""

    records: list[MemberRecord]


class TableDigests(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Digests of the buckets of the sender's table; answered by Gossip with the records of differing buckets."""

    digests: Annotated[list[U32], Meta(min_length=DIGEST_BUCKETS, max_length=DIGEST_BUCKETS)]


class LoadAggregate(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The summed load of a part of the fleet. Upward: of the sender and its subtree; downward: of the whole fleet.
    `members`: proxies in the sum; `age_ms`: age of its oldest part; `round`: downward, the root's round number; upward,
    nonzero if the sum is urgent. Figures are thousandths: `totals` and `classes` in the order of
    `decisions.fleet.load`; `nodes`: a node's number, calls in flight to it, proxies that use it, its calls that failed
    recently and those served recently."""

    downward: bool
    round: U32
    members: Annotated[int, Meta(ge=1, le=65535)]
    age_ms: Annotated[int, Meta(ge=0, le=60_000)]
    totals: Annotated[list[Figure], Meta(max_length=16)]
    classes: Annotated[list[Figure], Meta(max_length=32)]
    nodes: Annotated[list[tuple[U64, Figure, Figure, Figure, Figure]], Meta(max_length=MAX_NODES)]


class Payload(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A message of another subsystem to the same subsystem of another proxy. A receiver without a handler for the
    topic drops it."""

    topic: Annotated[int, Meta(ge=0, lt=256)]
    body: Annotated[bytes, Meta(max_length=MAX_PAYLOAD_BYTES)]


Message = Join | Ping | Ack | PingRequest | Nack | Gossip | TableDigests | LoadAggregate | Payload


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with the name of its sender."""

    sender: Name
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def pack(sender: str, message: Message) -> bytes:
    """Encodes a message."""
    return _encoder.encode(Envelope(sender, message))


def unpack(body: bytes) -> Envelope:
    """Decodes a body. Raises MessageError if it is no valid message, or holds an invalid address or name."""
    try:
        envelope = _decoder.decode(body)
        _validate(envelope)
    except (msgspec.DecodeError, ValueError, RecursionError) as problem:  # ValidationError is a DecodeError
        raise MessageError(str(problem)[:200]) from None
    return envelope


def _validate(envelope: Envelope) -> None:
    message = envelope.message
    records = [message.record] if isinstance(message, Join) else getattr(message, "records", [])
    for record in records:
        ip_address(record.host)
    names = [envelope.sender, *(record.name for record in records)]
    if isinstance(message, PingRequest):
        names.append(message.target)
    if not all(name.isprintable() for name in names):
        raise ValueError("a name has unprintable characters")


def encoded_size(record: MemberRecord) -> int:
    """Bytes that the record takes in a message."""
    return len(_encoder.encode(record))


ENVELOPE_RESERVE_BYTES = 140  # the most that a message takes besides its records
MAX_RECORDS_BYTES = MAX_BODY_BYTES - ENVELOPE_RESERVE_BYTES
