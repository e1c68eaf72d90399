"""The file format of flight recordings, which the recorder writes and the lab reads.

This module defines the file's layout, encodes and decodes events and actions, and restricts which classes the pickled
decision module may contain. Reading a file executes no code from it: everything is decoded as data, and the only pickle
in a file may refer to the module's own classes and two classes of the standard library, and to nothing else.

A file consists of the line MAGIC, frames (length, bytes) and the SHA-256 of everything before the digest. The frames
are a `RecordingHeader`, the serialized Balancer, the nodes' ids by number, and then one frame for each batch."""

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
MAX_FILE_BYTES = 256 * 1024 * 1024  # larger files are not read
FRAME_LENGTH = struct.Struct(">I")
ITEM_TYPES: tuple[type, ...] = (*get_args(Event), *get_args(Action))
STANDARD_CLASSES = {("collections", "deque"): deque, ("random", "Random"): random.Random}

EncodedItem = tuple[int, tuple[Any, ...]]  # index of its type in the header's `kinds`, field values


class RecordingError(Exception):
    """The file is not a recording, or is damaged. The message is a single line."""


@dataclass(frozen=True, slots=True)
class RecordingHeader:
    """Metadata of a recording. It is stored with its field names, so they are part of the file format. Times of batches
    are microseconds of the proxy's clock, which starts at the time of day."""

    proxy: str
    tier: int
    program: str  # version of slatehub
    module: str  # SHA-256 of paddlestep/balance.py
    python: str
    reason: str  # asked, stop or fault
    problem: str  # description of the fault, if the reason is one
    written: str  # RFC 3339, UTC
    batches: int  # number of batches
    first: int  # time of the first batch
    last: int  # time of the last batch
    kinds: tuple[tuple[str, tuple[str, ...]], ...]  # types of events and actions: name, field names


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch of events and the actions that the module returned for it. `now` is its time in microseconds, `names` has
    the callers' ids of the arrivals, in order. `actions` is None if the module failed."""

    now: int
    names: tuple[str, ...]
    events: tuple[EncodedItem, ...]
    actions: tuple[EncodedItem, ...] | None


# ---------------------------------------------------------------- encoding


def kinds() -> tuple[tuple[str, tuple[str, ...]], ...]:
    """Returns the name and the field names of each type of event and action, in the order of their indexes."""
    return tuple((kind.__name__, tuple(f.name for f in fields(kind))) for kind in ITEM_TYPES)


class BatchEncoder:
    """Encodes batches as frames."""

    def __init__(self) -> None:
        self.encode = msgspec.msgpack.Encoder().encode
        self.encoders = {kind: (i, self._field_getter(kind)) for i, kind in enumerate(ITEM_TYPES)}

    @staticmethod
    def _field_getter(kind: type) -> Any:
        names = [f.name for f in fields(kind)]
        if len(names) > 1:
            return attrgetter(*names)
        return lambda item: (getattr(item, names[0]),)

    def encode_items(self, items: Sequence[Event | Action]) -> list[EncodedItem]:
        """Returns the type index and the field values of each item."""
        encoders = self.encoders
        return [(encoder[0], encoder[1](item)) for item in items for encoder in (encoders[type(item)],)]

    def encode_batch(
        self, now: int, names: list[str], events: list[Event], actions: list[Action] | None
    ) -> bytes:
        """Returns the frame of a batch. `actions` is None if the module failed."""
        encoded_actions = None if actions is None else self.encode_items(actions)
        return encode_frame(self.encode((now, names, self.encode_items(events), encoded_actions)))


def encode_frame(data: bytes) -> bytes:
    """Returns `data` preceded by its length."""
    return FRAME_LENGTH.pack(len(data)) + data


def serialize_balancer(balancer: Any) -> bytes:
    """Returns the complete state of a Balancer as a pickle. Takes about 7 µs per node, half of it for stored names."""
    output = io.BytesIO()
    pickler = pickle.Pickler(output, 5)
    # By default, pickle makes Python look up the fields of each entry by name, which takes half of the total time.
    entry_fields = attrgetter(*(f.name for f in fields(Entry)))
    pickler.dispatch_table = {Entry: lambda entry: (Entry, entry_fields(entry))}
    for name in STORED_NAMES:
        pickler.dispatch_table[getattr(balance, name)] = _reducer(getattr(balance, name))
    pickler.dump(balancer)
    return output.getvalue()


def _reducer(cls: type) -> Callable[[Any], tuple[Any, ...]]:
    """Returns a function that reduces an instance of `cls` as pickle does by default, but with the stored names of its
    attributes."""
    stored = stored_names(cls).get

    def reduce(item: Any) -> tuple[Any, ...]:
        state = item.__dict__
        renamed = dict(zip(map(stored, state, state), state.values(), strict=True))
        return copyreg.__newobj__, (cls,), renamed  # type: ignore[attr-defined]

    return reduce


def encode_file(
    header: RecordingHeader, state: bytes, nodes: dict[int, str], batches: Sequence[bytes]
) -> Iterator[bytes]:
    """Yields the complete file in pieces. Each has about 64 KB at most, except the first, which holds the header, the
    state and the nodes."""
    encode = msgspec.msgpack.encode
    piece = b"".join((MAGIC, encode_frame(encode(header)), encode_frame(state), encode_frame(encode(nodes))))
    digest = hashlib.sha256()
    pending: list[bytes] = []
    size = 0
    for batch in (*batches, b""):
        pending.append(batch)
        size += len(batch)
        if size > 65536 or not batch:
            digest.update(piece)
            yield piece
            piece, pending, size = b"".join(pending), [], 0
    digest.update(piece)
    yield piece
    yield digest.digest()


# ---------------------------------------------------------------- decoding


class RestrictedUnpickler(pickle.Unpickler):
    """Unpickler that accepts the classes that the decision module itself defines and STANDARD_CLASSES, and no others.
    This protects the reader against files that would execute code. `package` names the decision module."""

    def __init__(self, data: bytes, package: str) -> None:
        super().__init__(io.BytesIO(data))
        self.package = package

    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in STANDARD_CLASSES:
            return STANDARD_CLASSES[module, name]
        if module in ("paddlestep.balance", "paddlestep.interface"):
            own_module = import_module(module.replace("paddlestep", self.package, 1))
            found = own_module.__dict__.get(name)
            if isinstance(found, type) and found.__module__ == own_module.__name__:
                return _restorer(found) if module == "paddlestep.balance" else found
        raise pickle.UnpicklingError(f"names {module[:40]}.{name[:40]}, which is not a class of this module")


def _restorer(cls: type) -> type:
    """Returns a subclass of `cls` whose instances accept a state with stored names and then become instances of `cls`.
    Returns `cls` itself if its attributes are stored under their own names."""
    attributes = {stored: attribute for attribute, stored in stored_names(cls).items()}

    def restore(item: Any, state: dict[str, Any]) -> None:
        item.__class__ = cls
        item.__dict__.update({sys.intern(attributes.get(name, name)): value for name, value in state.items()})

    return type(cls.__name__, (cls,), {"__setstate__": restore}) if attributes else cls


class FlightRecording:
    """A recording that has been read. In its methods, `package` names the decision module that the state or item is
    loaded for."""

    def __init__(
        self, header: RecordingHeader, state: bytes, nodes: dict[int, str], batches: list[Batch]
    ) -> None:
        self.header = header
        self.state = state
        self.nodes = nodes
        self.batches = batches

    def load_balancer(self, package: str = "paddlestep") -> Any:
        """Returns the Balancer as it was before the first batch. Raises RecordingError if the state cannot come from
        this module."""
        try:
            balancer = RestrictedUnpickler(self.state, package).load()
        except Exception as problem:
            raise RecordingError(f"the module's state cannot be read: {_describe_error(problem)}") from None
        if not isinstance(balancer, import_module(f"{package}.balance").Balancer):
            raise RecordingError("the module's state is not a Balancer")
        return balancer

    def decode_item(self, item: EncodedItem, package: str = "paddlestep") -> Any:
        """Returns an event or action as an instance of the module's own class. Raises RecordingError if the module has
        no such class or the fields do not fit it."""
        type_index, values = item
        try:
            name, names = self.header.kinds[type_index]
            kind = getattr(import_module(f"{package}.interface"), name)
            return msgspec.convert(dict(zip(names, values, strict=True)), kind)
        except Exception as problem:
            raise RecordingError(f"an event cannot be read: {_describe_error(problem)}") from None


def _describe_error(problem: Exception) -> str:
    text = "".join(c if c.isprintable() else "?" for c in f"{type(problem).__name__}: {problem}")
    return text[:200]


def _decode_frames(data: bytes) -> Iterator[bytes]:
    offset = len(MAGIC)
    while offset < len(data):
        end = offset + FRAME_LENGTH.size + FRAME_LENGTH.unpack_from(data, offset)[0]
        if end > len(data):
            raise RecordingError("a frame extends beyond the end of the file")
        yield data[offset + FRAME_LENGTH.size : end]
        offset = end


def read(path: Path) -> FlightRecording:
    """Reads the recording at `path`. Raises RecordingError, with a one-line message that says what is wrong."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as problem:
        raise RecordingError(f"cannot be read: {problem.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise RecordingError(f"larger than {MAX_FILE_BYTES} bytes")
    if not data.startswith(MAGIC):
        other_version = data.startswith(MAGIC[: MAGIC.rindex(b" ")])
        raise RecordingError(
            "a flight recording of another format version" if other_version else "not a flight recording"
        )
    body, digest = data[:-32], data[-32:]
    if hashlib.sha256(body).digest() != digest:
        raise RecordingError("truncated or damaged: the checksum does not match")
    try:
        return _decode_recording(list(_decode_frames(body)))
    except (struct.error, msgspec.MsgspecError, ValueError, RecursionError) as problem:
        raise RecordingError(f"cannot be read: {_describe_error(problem)}") from None


def _decode_recording(frames: list[bytes]) -> FlightRecording:
    if len(frames) < 3:
        raise RecordingError("lacks its header, module state or list of nodes")
    decode = msgspec.msgpack.decode
    header = decode(frames[0], type=RecordingHeader)
    batch_type = tuple[int, tuple[str, ...], tuple[EncodedItem, ...], tuple[EncodedItem, ...] | None]
    decode_batch = msgspec.msgpack.Decoder(batch_type).decode
    batches = [Batch(*decode_batch(encoded_frame)) for encoded_frame in frames[3:]]
    if len(batches) != header.batches:
        raise RecordingError(f"has {len(batches)} batches, but its header says {header.batches}")
    return FlightRecording(header, frames[1], decode(frames[2], type=dict[int, str]), batches)
