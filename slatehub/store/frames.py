"""Framing of log records: a magic number, the length and a CRC32C (RFC 3720, B.4) over length and body. Pure. A body
with a wrong checksum is never returned, and bytes between two valid frames are always reported as a gap."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from crc32c import crc32c

MAGIC = b"\xf7SL\x1a"
HEADER = struct.Struct("!4sII")
LENGTH = struct.Struct("!I")
MAX_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Frame:
    """A valid frame: its offsets in the file and its body."""

    start: int
    end: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Scan:
    """The valid frames of a file, and the gaps (start, end) between and after them."""

    frames: list[Frame]
    gaps: list[tuple[int, int]]


def encode_frame(body: bytes) -> bytes:
    """Raises ValueError for an empty or too large body."""
    if not 0 < len(body) <= MAX_BODY_BYTES:
        raise ValueError(f"record has {len(body)} bytes; 1 to {MAX_BODY_BYTES} are allowed")
    length = LENGTH.pack(len(body))
    return HEADER.pack(MAGIC, len(body), crc32c(body, crc32c(length))) + body


def _frame_at(data: bytes, offset: int) -> Frame | None:
    if len(data) - offset < HEADER.size:
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if magic != MAGIC or not 0 < length <= MAX_BODY_BYTES or end > len(data):
        return None
    body = data[offset + HEADER.size : end]
    return Frame(offset, end, body) if crc32c(body, crc32c(LENGTH.pack(length))) == checksum else None


def scan_frames(data: bytes) -> Scan:
    """Continues after invalid bytes, so that valid frames behind them are found too."""
    frames: list[Frame] = []
    gaps: list[tuple[int, int]] = []
    offset = 0
    while offset < len(data):
        frame = _frame_at(data, offset)
        if frame is None:
            gap_start = offset
            while frame is None:
                offset = data.find(MAGIC, offset + 1)
                if offset < 0:
                    gaps.append((gap_start, len(data)))
                    return Scan(frames, gaps)
                frame = _frame_at(data, offset)
            gaps.append((gap_start, offset))
        frames.append(frame)
        offset = frame.end
    return Scan(frames, gaps)
