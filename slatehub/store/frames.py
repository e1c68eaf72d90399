"""Records as bytes: each framed by a mark, its length and a CRC32C (RFC 3720, B.4) over both length and body. Pure. It
must never give out a body whose sum is wrong, and never miss that something stands between two good ones."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from crc32c import crc32c

MARK = b"\xf7SL\x1a"
HEADER = struct.Struct("!4sII")
LENGTH = struct.Struct("!I")
LARGEST = 64 * 1024  # bytes of a body


@dataclass(frozen=True, slots=True)
class Frame:
    start: int
    end: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Scan:
    """The good frames of a file, and the gaps (from, to) between and behind them that are none."""

    frames: list[Frame]
    gaps: list[tuple[int, int]]


def encode_frame(body: bytes) -> bytes:
    if not 0 < len(body) <= LARGEST:
        raise ValueError(f"a record of {len(body)} bytes, 1 to {LARGEST} are taken")
    length = LENGTH.pack(len(body))
    return HEADER.pack(MARK, len(body), crc32c(body, crc32c(length))) + body


def _at(data: bytes, at: int) -> Frame | None:
    if len(data) - at < HEADER.size:
        return None
    mark, length, sum_ = HEADER.unpack_from(data, at)
    end = at + HEADER.size + length
    if mark != MARK or not 0 < length <= LARGEST or end > len(data):
        return None
    body = data[at + HEADER.size : end]
    return Frame(at, end, body) if crc32c(body, crc32c(LENGTH.pack(length))) == sum_ else None


def scan_frames(data: bytes) -> Scan:
    """Goes on behind what is broken, so that it is known whether anything good follows."""
    frames: list[Frame] = []
    gaps: list[tuple[int, int]] = []
    at = 0
    while at < len(data):
        frame = _at(data, at)
        if frame is None:
            begin = at
            while frame is None:
                at = data.find(MARK, at + 1)
                if at < 0:
                    gaps.append((begin, len(data)))
                    return Scan(frames, gaps)
                frame = _at(data, at)
            gaps.append((begin, at))
        frames.append(frame)
        at = frame.end
    return Scan(frames, gaps)
