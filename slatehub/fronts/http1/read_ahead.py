"""Bytes that a caller has sent and that are not parsed yet: its requests before them are still in hand, or they were
received together with these. A request takes several times its bytes once it is parsed. Holds no socket and reads no
clock."""

from __future__ import annotations

from collections import deque

from ...core.limits import READ_CHUNK_BYTES

TIME_RESOLUTION_US = 100_000  # bytes received within this time may share the time of the first of them


class _Chunk:
    """Bytes received at about the same time (microseconds)."""

    __slots__ = ("data", "received_at")

    def __init__(self, data: bytes, received_at: int) -> None:
        self.data = bytearray(data)
        self.received_at = received_at

    def can_take(self, data: bytes, received_at: int) -> bool:
        is_recent = received_at - self.received_at < TIME_RESOLUTION_US
        return is_recent and len(self.data) + len(data) <= READ_CHUNK_BYTES


class ReadAheadBuffer:
    """The bytes in the order of their receipt, each with the time at which it was received. Few bytes at a time share a
    chunk, so that the size bounds the memory."""

    def __init__(self) -> None:
        self._chunks: deque[_Chunk] = deque()
        self._size = 0

    def __len__(self) -> int:
        """Number of bytes."""
        return self._size

    def append(self, data: bytes, received_at: int) -> None:
        """Adds bytes that were received at this time."""
        if self._chunks and self._chunks[-1].can_take(data, received_at):
            self._chunks[-1].data += data
        else:
            self._chunks.append(_Chunk(data, received_at))
        self._size += len(data)

    def take(self, limit: int) -> tuple[bytes, int]:
        """Removes the first bytes, `limit` at the most. Returns them and when they were received. Raises IndexError if
        there are none."""
        chunk = self._chunks[0]
        data = bytes(chunk.data[:limit])
        del chunk.data[:limit]
        if not chunk.data:
            self._chunks.popleft()
        self._size -= len(data)
        return data, chunk.received_at

    def clear(self) -> None:
        """Drops all bytes."""
        self._chunks.clear()
        self._size = 0
