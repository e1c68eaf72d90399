"""Nodes in maintenance for a whole fleet: the form of the registers that hold them, and how an operator's call changes
a register. Pure. A node in maintenance is never dropped from its register, and a value never exceeds what a register
holds."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

REGISTER_COUNT = 16  # a value is short and holds only some ids, so the ids are spread over several registers
MAX_VALUE_BYTES = 700  # of an encoded value; below the limit of a register (`copies.messages`)
# How long the end of a maintenance is kept: a node that came back is cold for a while.
ENDED_MEMORY_MS = 600_000
FORMAT = 1


class NodesInMaintenance(msgspec.Struct, array_like=True, frozen=True):
    """The value of a register. `version` grows with each change: a higher one is newer. `started_at`, `ended_at`: by
    node id, milliseconds from the epoch."""

    format: int = FORMAT
    version: int = 0
    started_at: dict[str, int] = {}
    ended_at: dict[str, int] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodesInMaintenance)


def register_number(ident: str) -> int:
    """The number of the register that holds this node id."""
    return blake2b(ident.encode(), digest_size=1).digest()[0] % REGISTER_COUNT


def register_key(number: int) -> bytes:
    """The key of the register with this number."""
    return blake2b(b"nodes out by hand %d" % number, digest_size=16).digest()


def decode_value(value: bytes) -> NodesInMaintenance | None:
    """None if the value does not have a known form."""
    if not value:
        return NodesInMaintenance()
    try:
        held = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        return None
    return held if held.format == FORMAT else None


@dataclass(slots=True)
class SetNodeMaintenance:
    """Register change for an operator's call: starts the maintenance of the node (`out`), or ends it.
    `error`: why it cannot be done, else empty."""

    ident: str
    out: bool
    at_ms: int
    error: str = ""

    def __call__(self, value: bytes) -> bytes | None:
        """The new value, None if the call cannot be done."""
        held = decode_value(value)
        if held is None:
            self.error = "what stands there was written by a later version"
            return None
        if (self.ident in held.started_at) == self.out:
            # Nothing changes, but the value is written again, as it may not have been decided yet.
            return _encoder.encode(held)
        started_at, ended_at = (
            dict(held.started_at),
            {k: at for k, at in held.ended_at.items() if self.at_ms - at < ENDED_MEMORY_MS},
        )
        if self.out:
            started_at[self.ident] = self.at_ms
            ended_at.pop(self.ident, None)
        else:
            del started_at[self.ident]
            ended_at[self.ident] = self.at_ms
        new_value = _encoder.encode(NodesInMaintenance(FORMAT, held.version + 1, started_at, ended_at))
        while len(new_value) > MAX_VALUE_BYTES and ended_at:
            del ended_at[min(ended_at, key=lambda k: ended_at[k])]
            new_value = _encoder.encode(NodesInMaintenance(FORMAT, held.version + 1, started_at, ended_at))
        if len(new_value) > MAX_VALUE_BYTES:
            self.error = "no room for another node out"
            return None
        return new_value


def rewrite_unchanged(value: bytes) -> bytes | None:
    """Register change for a reliable read: writing the value again makes it decided."""
    return value or None
