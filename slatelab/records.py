"""The records of a run: each record is a fact that a client, a node, discovery or the lab itself observed, with its
time. Both engines write only these records, and the judge and the figures read only these, so a verdict never depends
on what a proxy reports about itself. Defines the types of the facts and their two encodings.

Times are whole microseconds since the run's epoch, from one clock for all parties. A `request` is one attempt of a
client, or one call of a node to the next tier, with its own X-Request-ID; an `order` is one logical request of a
client, over all its attempts. The order of a request is its id up to the first dot (`o17.0`: order 17, first attempt;
the id of a call made for it starts with the request's id: `o17.0/s-3x5/1`)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec


class Fact(msgspec.Struct, frozen=True, tag=True, gc=False, omit_defaults=True):
    """Base class of all records: `t` is when the fact was observed."""

    t: int


# ---------------------------------------------------------------- observed by callers (clients, and nodes that call)


class Asked(Fact, frozen=True, tag=True, gc=False):
    """A whole request has been written to a connection that the proxy's host accepted."""

    request: str
    attempt: int  # number of the client's attempt, 0 is the first; always 0 for a node's call
    caller: str  # "c12", or the id of the node that calls
    proxy: str
    tier: int  # of the proxy
    cls: str
    tenant: str
    intended: int  # when it should have been sent (open loop); latency counts from here
    until: int  # when the caller gives up this attempt


class Answered(Fact, frozen=True, tag=True, gc=False):
    """A whole answer has been read; `token` is the part of the body that identifies the node's answer."""

    request: str
    status: int  # HTTP status
    token: str = ""
    retry_after_us: int = 0


class BrokenOff(Fact, frozen=True, tag=True, gc=False):
    """The connection ended, or could not be established, before a whole answer. `sent`: the whole request had been
    written."""

    request: str
    sent: bool
    why: str = ""


class GaveUp(Fact, frozen=True, tag=True, gc=False):
    """The caller has closed the connection because its time was over or its own caller had left."""

    request: str


# ---------------------------------------------------------------- observed by nodes


class Came(Fact, frozen=True, tag=True, gc=False):
    """The last byte of an attempt has arrived; `first` is when its first byte did."""

    node: str
    life: int  # number of earlier starts of the node
    request: str
    proxy: str
    work_us: int  # at speed 1 on one core, without the work of its calls
    first: int


class Began(Fact, frozen=True, tag=True, gc=False):
    """Work on an attempt has begun: from now on it counts as run."""

    node: str
    life: int
    request: str


class Replied(Fact, frozen=True, tag=True, gc=False):
    """An answer has been written. `turned`: rejected with X-Not-Processed, so the attempt has not run."""

    node: str
    life: int
    request: str
    proxy: str
    status: int
    turned: bool = False
    token: str = ""


class Up(Fact, frozen=True, tag=True, gc=False):
    """A node has started. It has the share `cold_from` of its capacity now and all of it after `warm_us`."""

    node: str
    life: int
    tier: int
    cores: float  # cores times speed: work in microseconds that it does per microsecond once warm
    cold_from: float = 1.0
    warm_us: int = 0


class Down(Fact, frozen=True, tag=True, gc=False):
    """A node has ended. `why` is "killed", "stopped", "fell" (overloaded while cold) or "crashed"."""

    node: str
    life: int
    why: str


# ---------------------------------------------------------------- observed by discovery and by the lab


class Told(Fact, frozen=True, tag=True, gc=False):
    """Discovery has sent this entry to a proxy."""

    proxy: str
    node: str
    phase: str  # SERVING, DRAINING or DELETED
    since: int = 0  # last start of the node; 0: long ago


class Polled(Fact, frozen=True, tag=True, gc=False):
    """A proxy has called discovery."""

    proxy: str


class ProxyUp(Fact, frozen=True, tag=True, gc=False):
    """A proxy has reported that it is ready."""

    proxy: str
    tier: int


class ProxyDown(Fact, frozen=True, tag=True, gc=False):
    """The end of a proxy. `why` is "planned" (at the SIGTERM), "killed", "exited" (after planned) or
    "crashed"."""

    proxy: str
    why: str


class FaultBegan(Fact, frozen=True, tag=True, gc=False):
    """An entry of the fault schedule has been carried out."""

    name: str
    kind: str
    targets: tuple[str, ...] = ()


class FaultEnded(Fact, frozen=True, tag=True, gc=False):
    """A fault that lasts has ended."""

    name: str
    kind: str
    targets: tuple[str, ...] = ()


class Logged(Fact, frozen=True, tag=True, gc=False):
    """A line of a proxy's structured log."""

    proxy: str
    level: str
    topic: str
    text: str
    fields: dict[str, str] = {}


class Lagged(Fact, frozen=True, tag=True, gc=False):
    """The lab itself was late by `by_us`: its observations around this time are only that accurate."""

    who: str
    by_us: int


Record = (
    Asked | Answered | BrokenOff | GaveUp | Came | Began | Replied | Up | Down
    | Told | Polled | ProxyUp | ProxyDown | FaultBegan | FaultEnded | Logged | Lagged
)  # fmt: skip

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def order_id(request: str) -> str:
    """The id of the order that a request, or a call made for it, belongs to."""
    return request.partition(".")[0]


def write(path: Path, records: Iterable[Record]) -> None:
    """Writes one JSON object per line, in the given order."""
    with path.open("wb") as file:
        for record in records:
            file.write(_encoder.encode(record))
            file.write(b"\n")


def read(path: Path) -> Iterator[Record]:
    """The records of a file. Raises msgspec.DecodeError or ValidationError for an invalid line."""
    with path.open("rb") as file:
        for line in file:
            yield _decoder.decode(line)


def digest(records: Iterable[Record]) -> str:
    """SHA-256 of the encoded records: runs with equal digests are the same, byte for byte."""
    hasher = hashlib.sha256()
    for record in records:
        hasher.update(_encoder.encode(record))
        hasher.update(b"\n")
    return hasher.hexdigest()
