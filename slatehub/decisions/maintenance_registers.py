"""Nodes out by hand for a whole fleet: what stands in the registers that hold them, and how a call changes it. Pure. It
owns their form. It must never forget that a node is out, and never hold more than a register takes."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

REGISTER_COUNT = 16  # registers: a value is short, and so holds some ids only
MOST = 700  # bytes of a value
BACK_MS = 600_000  # a return is remembered for so long: a node that came back is cold for a while
FORMAT = 1


class NodesInMaintenance(msgspec.Struct, array_like=True, frozen=True):
    """`version` grows with each change: who knows a higher one has newer news. Times in milliseconds from the epoch."""

    format: int = FORMAT
    version: int = 0
    started_at: dict[str, int] = {}
    ended_at: dict[str, int] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodesInMaintenance)


def register_number(ident: str) -> int:
    return blake2b(ident.encode(), digest_size=1).digest()[0] % REGISTER_COUNT


def register_key(number: int) -> bytes:
    return blake2b(b"nodes out by hand %d" % number, digest_size=16).digest()


def decode_value(value: bytes) -> NodesInMaintenance | None:
    """None where it is of a form that we do not know."""
    if not value:
        return NodesInMaintenance()
    try:
        held = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        return None
    return held if held.format == FORMAT else None


@dataclass(slots=True)
class SetNodeMaintenance:
    """An operator's call. `error`: it cannot be done."""

    ident: str
    out: bool
    at_ms: int
    error: str = ""

    def __call__(self, value: bytes) -> bytes | None:
        held = decode_value(value)
        if held is None:
            self.error = "what stands there was written by a later version"
            return None
        if (self.ident in held.started_at) == self.out:
            return _encoder.encode(held)  # a set, no counter; written again, as it need not have been decided
        out, back = (
            dict(held.started_at),
            {k: at for k, at in held.ended_at.items() if self.at_ms - at < BACK_MS},
        )
        if self.out:
            out[self.ident] = self.at_ms
            back.pop(self.ident, None)
        else:
            del out[self.ident]
            back[self.ident] = self.at_ms
        wanted = _encoder.encode(NodesInMaintenance(FORMAT, held.version + 1, out, back))
        while len(wanted) > MOST and back:
            del back[min(back, key=lambda k: back[k])]
            wanted = _encoder.encode(NodesInMaintenance(FORMAT, held.version + 1, out, back))
        if len(wanted) > MOST:
            self.error = "no room for another node out"
            return None
        return wanted


def rewrite_unchanged(value: bytes) -> bytes | None:
    """A read that is sure: what was found is decided by being written again."""
    return value or None
