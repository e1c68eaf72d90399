"""The form of a flight recording: what the recorder writes and the lab reads. It owns the file's layout, how events and
actions become bytes and back, and what may come out of the frozen module inside. It must never load what could run: a
file is read as data, and the one pickle in it may name the module's own classes and two of the standard library's,
nothing else.

A file is the line MAGIC, frames (length, bytes) and the SHA-256 of all before it. The frames: a `Head`, the frozen
Balancer, the nodes' ids by number, then a batch each."""

from __future__ import annotations

import copyreg
import hashlib
import io
import pickle
import random
import struct
import sys
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, fields
from importlib import import_module
from operator import attrgetter
from pathlib import Path
from typing import Any, get_args

import msgspec

from paddlestep import balance
from paddlestep.interface import Action, Entry, Event

from .stored_names import STORED_NAMES, stored_names

MAGIC = b"slatehub flight 1\n"
LARGEST = 256 * 1024 * 1024  # bytes of a file that is read
LENGTH = struct.Struct(">I")
KINDS: tuple[type, ...] = (*get_args(Event), *get_args(Action))
OTHERS = {("collections", "deque"): deque, ("random", "Random"): random.Random}

Plain = tuple[int, tuple[Any, ...]]  # place among the kinds, fields


class Unreadable(Exception):
    """The file is no recording, or a damaged one; the text is one line."""


@dataclass(frozen=True, slots=True)
class Head:
    """About a recording. Times of batches are microseconds of the proxy's clock, which starts at the time of day."""

    proxy: str
    tier: int
    program: str  # version
    module: str  # SHA-256 of paddlestep/balance.py
    python: str
    reason: str  # asked, stop or fault
    problem: str  # of a fault
    written: str  # RFC 3339, UTC
    batches: int
    first: int
    last: int
    kinds: tuple[tuple[str, tuple[str, ...]], ...]  # of events and actions: name, fields


@dataclass(frozen=True, slots=True)
class Batch:
    """`names`: the callers' ids of the arrivals, in order. `actions` None: the module failed."""

    now: int
    names: tuple[str, ...]
    events: tuple[Plain, ...]
    actions: tuple[Plain, ...] | None


# ---------------------------------------------------------------- to bytes


def kinds() -> tuple[tuple[str, tuple[str, ...]], ...]:
    return tuple((kind.__name__, tuple(f.name for f in fields(kind))) for kind in KINDS)


class Writer:
    """Turns batches into frames."""

    def __init__(self) -> None:
        self.encode = msgspec.msgpack.Encoder().encode
        self.parts = {kind: (i, self._getter(kind)) for i, kind in enumerate(KINDS)}

    @staticmethod
    def _getter(kind: type) -> Any:
        names = [f.name for f in fields(kind)]
        if len(names) > 1:
            return attrgetter(*names)
        return lambda one: (getattr(one, names[0]),)

    def plain(self, ones: Sequence[Event | Action]) -> list[Plain]:
        parts = self.parts
        return [(part[0], part[1](one)) for one in ones for part in (parts[type(one)],)]

    def batch(self, now: int, names: list[str], events: list[Event], actions: list[Action] | None) -> bytes:
        done = None if actions is None else self.plain(actions)
        return frame(self.encode((now, names, self.plain(events), done)))


def frame(data: bytes) -> bytes:
    return LENGTH.pack(len(data)) + data


def freeze(balancer: Any) -> bytes:
    """The whole state of a Balancer. Takes some 3 µs for each node."""
    out = io.BytesIO()
    pickler = pickle.Pickler(out, 5)
    # Left to itself, pickle has Python look up the fields of each entry by name, which takes half of all its time.
    parts = attrgetter(*(f.name for f in fields(Entry)))
    pickler.dispatch_table = {Entry: lambda entry: (Entry, parts(entry))}
    for name in STORED_NAMES:
        pickler.dispatch_table[getattr(balance, name)] = _reducer(getattr(balance, name))
    pickler.dump(balancer)
    return out.getvalue()


def _reducer(cls: type) -> Callable[[Any], tuple[Any, ...]]:
    """Reduces an instance as pickle does by itself, with the stored names of its attributes."""
    stored = stored_names(cls).get

    def reduce(one: Any) -> tuple[Any, ...]:
        state = one.__dict__
        renamed = dict(zip(map(stored, state, state), state.values(), strict=True))
        return copyreg.__newobj__, (cls,), renamed  # type: ignore[attr-defined]

    return reduce


def layout(head: Head, state: bytes, nodes: dict[int, str], batches: Sequence[bytes]) -> Iterator[bytes]:
    """The whole file in pieces of at most some 64 KB, but for the first."""
    encode = msgspec.msgpack.encode
    piece = b"".join((MAGIC, frame(encode(head)), frame(state), frame(encode(nodes))))
    digest = hashlib.sha256()
    waiting: list[bytes] = []
    size = 0
    for batch in (*batches, b""):
        waiting.append(batch)
        size += len(batch)
        if size > 65536 or not batch:
            digest.update(piece)
            yield piece
            piece, waiting, size = b"".join(waiting), [], 0
    digest.update(piece)
    yield piece
    yield digest.digest()


# ---------------------------------------------------------------- back


class Thawer(pickle.Unpickler):
    """Knows the classes that the module itself defines, and no others. Guards against a file that would have the
    reader run something."""

    def __init__(self, data: bytes, package: str) -> None:
        super().__init__(io.BytesIO(data))
        self.package = package

    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in OTHERS:
            return OTHERS[module, name]
        if module in ("paddlestep.balance", "paddlestep.interface"):
            own = import_module(module.replace("paddlestep", self.package, 1))
            found = own.__dict__.get(name)
            if isinstance(found, type) and found.__module__ == own.__name__:
                return _restorer(found) if module == "paddlestep.balance" else found
        raise pickle.UnpicklingError(f"names {module[:40]}.{name[:40]}, which is no part of this module")


def _restorer(cls: type) -> type:
    """A subclass whose instances take a state with stored names and then become instances of `cls`. It is `cls` itself
    where that has no other names."""
    attributes = {stored: attribute for attribute, stored in stored_names(cls).items()}

    def restore(one: Any, state: dict[str, Any]) -> None:
        one.__class__ = cls
        one.__dict__.update({sys.intern(attributes.get(name, name)): value for name, value in state.items()})

    return type(cls.__name__, (cls,), {"__setstate__": restore}) if attributes else cls


class Flight:
    """A recording that has been read. `package` names the decision module that its events are for."""

    def __init__(self, head: Head, state: bytes, nodes: dict[int, str], batches: list[Batch]) -> None:
        self.head = head
        self.state = state
        self.nodes = nodes
        self.batches = batches

    def thaw(self, package: str = "paddlestep") -> Any:
        """The Balancer as it was before the first batch. Unreadable where this module cannot have made it."""
        try:
            balancer = Thawer(self.state, package).load()
        except Exception as problem:
            raise Unreadable(f"the module's state cannot be read: {_line(problem)}") from None
        if not isinstance(balancer, import_module(f"{package}.balance").Balancer):
            raise Unreadable("the module's state is no Balancer")
        return balancer

    def event(self, one: Plain, package: str = "paddlestep") -> Any:
        """An event or action as the module knows it."""
        place, values = one
        try:
            name, names = self.head.kinds[place]
            kind = getattr(import_module(f"{package}.interface"), name)
            return msgspec.convert(dict(zip(names, values, strict=True)), kind)
        except Exception as problem:
            raise Unreadable(f"an event cannot be read: {_line(problem)}") from None


def _line(problem: Exception) -> str:
    text = "".join(c if c.isprintable() else "?" for c in f"{type(problem).__name__}: {problem}")
    return text[:200]


def _frames(data: bytes) -> Iterator[bytes]:
    at = len(MAGIC)
    while at < len(data):
        end = at + LENGTH.size + LENGTH.unpack_from(data, at)[0]
        if end > len(data):
            raise Unreadable("a part runs past its end")
        yield data[at + LENGTH.size : end]
        at = end


def read(path: Path) -> Flight:
    """The recording at `path`. Unreadable says what is wrong with it, in one line."""
    try:
        with path.open("rb") as file:
            data = file.read(LARGEST + 1)
    except OSError as problem:
        raise Unreadable(f"cannot be read: {problem.strerror}") from None
    if len(data) > LARGEST:
        raise Unreadable(f"larger than {LARGEST} bytes")
    if not data.startswith(MAGIC):
        known = data.startswith(MAGIC[: MAGIC.rindex(b" ")])
        raise Unreadable("a recording of another form" if known else "no flight recording")
    body, digest = data[:-32], data[-32:]
    if hashlib.sha256(body).digest() != digest:
        raise Unreadable("cut off or damaged: its checksum does not fit")
    try:
        return _flight(list(_frames(body)))
    except (struct.error, msgspec.MsgspecError, ValueError, RecursionError) as problem:
        raise Unreadable(f"cannot be read: {_line(problem)}") from None


def _flight(parts: list[bytes]) -> Flight:
    if len(parts) < 3:
        raise Unreadable("has no beginning")
    decode = msgspec.msgpack.decode
    head = decode(parts[0], type=Head)
    form = tuple[int, tuple[str, ...], tuple[Plain, ...], tuple[Plain, ...] | None]
    batch = msgspec.msgpack.Decoder(form).decode
    batches = [Batch(*batch(part)) for part in parts[3:]]
    if len(batches) != head.batches:
        raise Unreadable(f"has {len(batches)} batches where {head.batches} are due")
    return Flight(head, parts[1], decode(parts[2], type=dict[int, str]), batches)
