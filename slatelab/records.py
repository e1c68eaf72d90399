"""What was seen in a run, as facts: each line says what a client, a node, discovery or the lab itself saw, and when.
Both engines write these and nothing else; the judge and the figures read these and nothing else, so a verdict never
rests on what a proxy says of itself. This file owns the forms of the facts and their two encodings. It must never
interpret one.

Times are whole microseconds since the run's epoch, of one clock for all parties. Names: a `request` is one try of a
client, or one call of a node to the next tier, under an X-Request-ID of its own; an `order` is what a client wants,
over all its tries. The order of a request is its id up to the first dot (`o17.0`: order 17, first try; a call made
for it begins with the same letters: `o17.0/s-3x5/1`)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec


class Fact(msgspec.Struct, frozen=True, tag=True, gc=False, omit_defaults=True):
    """Base of all: `t` is when it was seen."""

    t: int


# ---------------------------------------------------------------- seen by callers (clients, and nodes that call on)


class Asked(Fact, frozen=True, tag=True, gc=False):
    """A whole request has been written to a connection that the proxy's machine accepted."""

    request: str
    attempt: int  # the client's try, 0 the first; always 0 for a node's call
    caller: str  # "c12", or the id of the node that calls
    proxy: str
    tier: int  # of the proxy asked
    cls: str
    tenant: str
    intended: int  # when it should have been sent (open loop); latency counts from here
    until: int  # when the caller gives this try up


class Answered(Fact, frozen=True, tag=True, gc=False):
    """A whole answer has been read; `token` is the body as far as it names who made it."""

    request: str
    status: int  # of HTTP
    token: str = ""
    retry_after_us: int = 0


class BrokenOff(Fact, frozen=True, tag=True, gc=False):
    """The connection ended, or never came up, before a whole answer. `sent`: the whole request had been written."""

    request: str
    sent: bool
    why: str = ""


class GaveUp(Fact, frozen=True, tag=True, gc=False):
    """The caller has closed the connection, its time being up or its own caller gone."""

    request: str


# ---------------------------------------------------------------- seen by nodes


class Came(Fact, frozen=True, tag=True, gc=False):
    """The last byte of an attempt has arrived; `first` is when its first byte did."""

    node: str
    life: int  # how often the node has started before
    request: str
    proxy: str
    work_us: int  # at speed 1 on one core, without what it calls for
    first: int


class Began(Fact, frozen=True, tag=True, gc=False):
    """Work on an attempt has begun: from here on it has run."""

    node: str
    life: int
    request: str


class Replied(Fact, frozen=True, tag=True, gc=False):
    """An answer has been written. `turned`: with X-Not-Processed, nothing of it has run."""

    node: str
    life: int
    request: str
    proxy: str
    status: int
    turned: bool = False
    token: str = ""


class Up(Fact, frozen=True, tag=True, gc=False):
    """A node has started. `cold`: it does `cold_from` of its capacity now and all of it after `warm_us`."""

    node: str
    life: int
    tier: int
    cores: float  # times speed: work in microseconds that it does each microsecond once warm
    cold_from: float = 1.0
    warm_us: int = 0


class Down(Fact, frozen=True, tag=True, gc=False):
    """A node has ended: why is "killed", "stopped", "fell" or "crashed"."""

    node: str
    life: int
    why: str


# ---------------------------------------------------------------- seen by discovery, and by the lab of its own doings


class Told(Fact, frozen=True, tag=True, gc=False):
    """Discovery has written this entry to a proxy."""

    proxy: str
    node: str
    phase: str  # SERVING, DRAINING or DELETED
    since: int = 0  # when the node last started; 0: long ago


class Polled(Fact, frozen=True, tag=True, gc=False):
    """A proxy has asked discovery."""

    proxy: str


class ProxyUp(Fact, frozen=True, tag=True, gc=False):
    """A proxy has answered ready."""

    proxy: str
    tier: int


class ProxyDown(Fact, frozen=True, tag=True, gc=False):
    """A proxy ends: why is "planned" (from when it was told), "killed", "exited" (after planned) or "crashed"."""

    proxy: str
    why: str


class FaultBegan(Fact, frozen=True, tag=True, gc=False):
    """An entry of the fault schedule has been carried out."""

    name: str
    kind: str
    targets: tuple[str, ...] = ()


class FaultEnded(Fact, frozen=True, tag=True, gc=False):
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
    """The lab itself was late by so much: what it saw around here is not to be trusted to better than this."""

    who: str
    by_us: int


Record = (
    Asked | Answered | BrokenOff | GaveUp | Came | Began | Replied | Up | Down
    | Told | Polled | ProxyUp | ProxyDown | FaultBegan | FaultEnded | Logged | Lagged
)  # fmt: skip

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def order_id(request: str) -> str:
    """The order that a request, or a call for it, belongs to."""
    return request.partition(".")[0]


def write(path: Path, records: Iterable[Record]) -> None:
    """One JSON object a line, in the order given."""
    with path.open("wb") as file:
        for record in records:
            file.write(_encoder.encode(record))
            file.write(b"\n")


def read(path: Path) -> Iterator[Record]:
    """The records of a file. Raises msgspec.DecodeError or ValidationError on a line that is none."""
    with path.open("rb") as file:
        for line in file:
            yield _decoder.decode(line)


def digest(records: Iterable[Record]) -> str:
    """SHA-256 of the encoded records: two runs are the same, byte for byte, where these are equal."""
    whole = hashlib.sha256()
    for record in records:
        whole.update(_encoder.encode(record))
        whole.update(b"\n")
    return whole.hexdigest()
