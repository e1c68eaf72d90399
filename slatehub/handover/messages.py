"""The messages between two processes of one proxy: JSON objects, one per line. Does no I/O. The decoder buffers a
bounded number of bytes and accepts nothing but objects."""

from __future__ import annotations

import json
from typing import Any

VERSION = 1
SENT_IDS = "sent"  # key of the ids of requests that must not run twice and may have run
MAX_LINE_BYTES = 2 * 1024 * 1024  # fits as many node ids as may be in maintenance, each at its longest


class MessageError(Exception):
    """The peer violates the protocol."""


def pack(message: dict[str, Any]) -> bytes:
    """Encodes a message as one line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


class MessageDecoder:
    """Splits the received bytes into objects."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Adds bytes and returns the objects completed by them. Raises MessageError."""
        self.data += data
        if len(self.data) > MAX_LINE_BYTES:
            raise MessageError("message too long")
        *lines, rest = bytes(self.data).split(b"\n") if b"\n" in data else [bytes(self.data)]
        self.data = bytearray(rest)
        return [_parse_line(line) for line in lines]


def _parse_line(line: bytes) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise MessageError("message is not JSON") from None
    if not isinstance(message, dict):
        raise MessageError("message is not a JSON object")
    return message
