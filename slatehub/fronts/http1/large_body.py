"""The body of a large request, which counts the bytes that the process holds for it. Decides nothing about them."""

from __future__ import annotations

from collections.abc import Callable

CountBytes = Callable[[int], None]  # is told by how many bytes the memory held changes


class LargeBody(bytearray):
    """A body over MAX_BUFFERED_BODY_BYTES. Its bytes count as held from their reservation until the memory is free,
    because an attempt that is still under way keeps the body after the caller's connection has closed."""

    def __init__(self, count_bytes: CountBytes) -> None:
        super().__init__()
        self.count_bytes = count_bytes
        self.reserved = 0  # bytes

    def reserve(self, size: int) -> None:
        """Counts this many bytes for the body, unless as many are counted already."""
        if size > self.reserved:
            self.count_bytes(size - self.reserved)
            self.reserved = size

    def append_bytes(self, data: bytes | bytearray) -> None:
        """Adds the next bytes, which are counted with it."""
        self += data
        self.reserve(len(self))

    def __del__(self) -> None:
        self.count_bytes(-self.reserved)
