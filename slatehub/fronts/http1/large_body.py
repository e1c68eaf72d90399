"""The body of a large request: the memory that holds it, and the count of that memory. Decides nothing about them."""

from __future__ import annotations

import mmap
from collections.abc import Callable

CountBytes = Callable[[int], None]  # is told by how many bytes the memory held changes

GROWTH_BYTES = 256 * 1024  # by which the mapping of a body without a declared length grows


class LargeBody(mmap.mmap):
    """A body over MAX_BUFFERED_BODY_BYTES, in a memory mapping of its own: it takes the memory of the bytes that it
    holds, and gives it back to the system when it is freed. The allocator would copy a body that grows, and keep holes
    where bodies have been.

    Its bytes count as held from their reservation until the memory is free, because an attempt that is still under way
    keeps the body after the caller's connection has closed."""

    count_bytes: CountBytes
    reserved = 0  # bytes

    def __new__(cls, count_bytes: CountBytes, capacity: int = GROWTH_BYTES) -> LargeBody:
        """`capacity`: bytes, of the whole body if they are known. Raises OSError if there is no memory for them."""
        body = super().__new__(cls, -1, capacity, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
        body.count_bytes = count_bytes
        return body

    @property
    def received(self) -> int:
        """Bytes of the body that have been received."""
        return self.tell()

    def reserve(self, size: int) -> None:
        """Counts this many bytes for the body, unless as many are counted already."""
        if size > self.reserved:
            growth, self.reserved = size - self.reserved, size  # before the count, which may look at it
            self.count_bytes(growth)

    def append(self, data: bytes | bytearray) -> None:
        """Adds the next bytes, which are counted with it. Raises OSError if there is no memory for them."""
        needed = self.received + len(data)
        if needed > len(self):
            self.resize(max(needed, len(self) + GROWTH_BYTES))
        self.write(data)
        self.reserve(needed)

    def content(self) -> memoryview:
        """The bytes received. The memory stays as long as this view or a part of it is in use, and no more can be
        added."""
        return memoryview(self)[: self.received]

    def __del__(self) -> None:
        self.count_bytes(-self.reserved)
