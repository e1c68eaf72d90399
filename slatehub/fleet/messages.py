"""What proxies say to each other, as typed messages in MessagePack. It owns their form and the bounds of every value.
It must never let a value through that the machines behind it would have to doubt: what is out of bounds is no message.

Formats of version 1. A field is only ever added at the end, with a default: an older proxy reads past it."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated

import msgspec
from msgspec import Meta

from .datagrams import MAX_BODY_BYTES

NAME_LONG = 64
ALIVE, SUSPECT, DEAD, LEFT = range(4)
U64 = Annotated[int, Meta(ge=0)]  # MessagePack has none above 2**64 - 1
U32 = Annotated[int, Meta(ge=0, lt=2**32)]
Name = Annotated[str, Meta(min_length=1, max_length=NAME_LONG)]
Figure = Annotated[int, Meta(ge=0, le=10**12)]  # thousandths
NODES_MOST = 24  # in one message: as many as fit
POST_MOST = MAX_BODY_BYTES - NAME_LONG - 16  # bytes, beside the sender's name
BUCKETS = 16  # parts in which two tables are compared


class MessageError(ValueError):
    """Not a message of ours."""


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is held of one member. `incarnation` only grows: the higher one is right, and of two alike the graver state.
    Only the member itself raises it, to contradict what is said of it; a new start begins at the clock's milliseconds.
    `suspected_by`: who suspects it, as two who do so by themselves count for more than one whose word went round."""

    name: Name
    host: Annotated[str, Meta(min_length=2, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    session: U64
    incarnation: U64
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    suspected_by: Annotated[str, Meta(max_length=NAME_LONG)] = ""


class Join(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Here I am; answered by the same, which tells the sender our session."""

    row: MemberRecord


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    number: U32
    table: U64  # hash of what the sender holds
    rows: list[MemberRecord]


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    number: U32
    table: U64
    rows: list[MemberRecord]


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Please ping this member for me, and tell me Ack or, once that is late, Nack."""

    number: U32
    target: Name
    rows: list[MemberRecord]


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    number: U32


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    rows: list[MemberRecord]


class TableDigests(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Hashes of the parts of the sender's table; answered by Gossip with what differs."""

    parts: Annotated[list[U32], Meta(min_length=BUCKETS, max_length=BUCKETS)]


class LoadAggregate(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """What a part of the fleet carries together. Going up: of the sender and those who told it; coming down: of all.
    `members`: how many proxies are in it; `age_ms`: of its oldest part; `turn`: coming down, the root's; going up,
    whether it cannot wait. Figures are thousandths: `plain` and `classes` as `decisions.fleet.load` orders them;
    `nodes`: a node's number, calls out there, proxies that use it, calls that failed and that were served of late."""

    down: bool
    turn: U32
    members: Annotated[int, Meta(ge=1, le=65535)]
    age_ms: Annotated[int, Meta(ge=0, le=60_000)]
    plain: Annotated[list[Figure], Meta(max_length=16)]
    classes: Annotated[list[Figure], Meta(max_length=32)]
    nodes: Annotated[list[tuple[U64, Figure, Figure, Figure, Figure]], Meta(max_length=NODES_MOST)]


class Payload(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """What another part of the program has to say to the same part of another proxy. Who has no such part drops it."""

    topic: Annotated[int, Meta(ge=0, lt=256)]
    body: Annotated[bytes, Meta(max_length=POST_MOST)]


Message = Join | Ping | Ack | PingRequest | Nack | Gossip | TableDigests | LoadAggregate | Payload


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    sender: Name
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def pack(sender: str, message: Message) -> bytes:
    return _encoder.encode(Envelope(sender, message))


def unpack(body: bytes) -> Envelope:
    """MessageError where it is none, or names what cannot be."""
    try:
        letter = _decoder.decode(body)
        _sound(letter)
    except (msgspec.DecodeError, ValueError, RecursionError) as problem:  # ValidationError is a DecodeError
        raise MessageError(str(problem)[:200]) from None
    return letter


def _sound(letter: Envelope) -> None:
    message = letter.message
    rows = [message.row] if isinstance(message, Join) else getattr(message, "rows", [])
    for row in rows:
        ip_address(row.host)
    names = [letter.sender, *(row.name for row in rows)]
    if isinstance(message, PingRequest):
        names.append(message.target)
    if not all(name.isprintable() for name in names):
        raise ValueError("a name that does not print")


def size(row: MemberRecord) -> int:
    """Bytes that it takes in a message."""
    return len(_encoder.encode(row))


RESERVE = 140  # bytes of a message beside its rows, at the longest
ROWS_ROOM = MAX_BODY_BYTES - RESERVE
