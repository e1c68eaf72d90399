"""What two processes of one proxy say to each other: JSON objects, one a line. Pure. It must never take in more than
its bound, and never let anything but an object through."""

from __future__ import annotations

import json
from typing import Any

VERSION = 1
MAX_LINE_BYTES = 2 * 1024 * 1024  # a line: every id that may be out by hand, at its longest


class MessageError(Exception):
    """The other side does not speak this."""


def pack(tree: dict[str, Any]) -> bytes:
    return json.dumps(tree, separators=(",", ":")).encode() + b"\n"


class MessageDecoder:
    """Cuts what comes into objects."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The objects that are whole now. MessageError."""
        self.data += data
        if len(self.data) > MAX_LINE_BYTES:
            raise MessageError("too long")
        *lines, rest = bytes(self.data).split(b"\n") if b"\n" in data else [bytes(self.data)]
        self.data = bytearray(rest)
        return [_tree(line) for line in lines]


def _tree(line: bytes) -> dict[str, Any]:
    try:
        tree = json.loads(line)
    except (ValueError, RecursionError):
        raise MessageError("not JSON") from None
    if not isinstance(tree, dict):
        raise MessageError("not an object")
    return tree
