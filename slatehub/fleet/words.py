"""What proxies say to each other, as typed messages in MessagePack. It owns their form and the bounds of every value.
It must never let a value through that the machines behind it would have to doubt: what is out of bounds is no message.

Formats of version 1. A field is only ever added at the end, with a default: an older proxy reads past it."""

from __future__ import annotations

import math
from ipaddress import ip_address
from typing import Annotated

import msgspec
from msgspec import Meta

from .seal import ROOM

NAME_LONG = 64
ALIVE, SUSPECT, DEAD, LEFT = range(4)
U64 = Annotated[int, Meta(ge=0)]  # MessagePack has none above 2**64 - 1
U32 = Annotated[int, Meta(ge=0, lt=2**32)]
Name = Annotated[str, Meta(min_length=1, max_length=NAME_LONG)]
Figure = Annotated[float, Meta(ge=0, le=1e9)]
BUCKETS = 16  # parts in which two tables are compared


class BadWords(ValueError):
    """Not a message of ours."""


class Row(msgspec.Struct, array_like=True, frozen=True):
    """What is held of one member. `incarnation` only grows: the higher one is right, and of two alike the graver state.
    Only the member itself raises it, to contradict what is said of it; a new start begins at the clock's milliseconds.
    `by`: who suspects it, as two who do so by themselves count for more than one whose word went round."""

    name: Name
    host: Annotated[str, Meta(min_length=2, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    session: U64
    incarnation: U64
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    by: Annotated[str, Meta(max_length=NAME_LONG)] = ""


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Here I am; answered by the same, which tells the sender our session."""

    row: Row


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    number: U32
    table: U64  # hash of what the sender holds
    rows: list[Row]


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    number: U32
    table: U64
    rows: list[Row]


class PingFor(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Please ping this member for me, and tell me Ack or, once that is late, Nack."""

    number: U32
    target: Name
    rows: list[Row]


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    number: U32


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    rows: list[Row]


class Compare(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Hashes of the parts of the sender's table; answered by Gossip with what differs."""

    parts: Annotated[list[U32], Meta(min_length=BUCKETS, max_length=BUCKETS)]


class Sum(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """What a part of the fleet carries together. Going up: of the sender and those who told it; coming down: of all.
    `nodes`: for each node's number the calls out there, slowness times calls seen, calls seen, and how many have it
    ejected. `members`: how many proxies are in it. `age_ms`: of the oldest part."""

    down: bool
    turn: U32  # of the root, coming down
    members: Annotated[int, Meta(ge=1, le=65535)]
    age_ms: Annotated[int, Meta(ge=0, le=60_000)]
    plain: Annotated[list[Figure], Meta(max_length=16)]
    classes: Annotated[list[Figure], Meta(max_length=64)]
    nodes: Annotated[list[tuple[U64, Figure, Figure, Figure, Figure]], Meta(max_length=64)]


Message = Hello | Ping | Ack | PingFor | Nack | Gossip | Compare | Sum


class Letter(msgspec.Struct, array_like=True, frozen=True):
    sender: Name
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Letter)


def pack(sender: str, message: Message) -> bytes:
    return _encoder.encode(Letter(sender, message))


def unpack(body: bytes) -> Letter:
    """BadWords where it is none, or names what cannot be."""
    try:
        letter = _decoder.decode(body)
        _sound(letter)
    except (msgspec.DecodeError, ValueError, RecursionError) as problem:  # ValidationError is a DecodeError
        raise BadWords(str(problem)[:200]) from None
    return letter


def _sound(letter: Letter) -> None:
    message = letter.message
    rows = [message.row] if isinstance(message, Hello) else getattr(message, "rows", [])
    for row in rows:
        ip_address(row.host)
    names = [letter.sender, *(row.name for row in rows)]
    if isinstance(message, PingFor):
        names.append(message.target)
    if not all(name.isprintable() for name in names):
        raise ValueError("a name that does not print")
    if isinstance(message, Sum):
        figures = (*message.plain, *message.classes, *(x for node in message.nodes for x in node))
        if not all(math.isfinite(x) for x in figures):
            raise ValueError("a figure that is none")


def size(row: Row) -> int:
    """Bytes that it takes in a message."""
    return len(_encoder.encode(row))


RESERVE = 140  # bytes of a message beside its rows, at the longest
ROWS_ROOM = ROOM - RESERVE
