"""The memory that requests and answers may take in one process, and how much of it they hold. Counts only: who holds
bytes reports them, and decides itself what to do where there are no more. Pure."""

from __future__ import annotations

from collections.abc import Callable

from .limits import READ_CHUNK_BYTES

# One part in so many of the limit is kept for small requests, and as much beyond it for those that have come whole and
# for answers: clients that stop half way through a request must not take the memory of those that do not.
RESERVE_DIVISOR = 8
SHORT_READ_BYTES = 4 * 1024  # size of one read while memory is short


class MemoryBudget:
    """`limit` and `held` are in bytes. `on_release` is called whenever bytes were released."""

    def __init__(self, limit: int, on_release: Callable[[], None] = lambda: None) -> None:
        self.held = 0
        self.on_release = on_release
        self.limit = limit

    @property
    def limit(self) -> int:
        """Up to which requests that are not whole may fill the memory, in bytes."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        reserve = limit // RESERVE_DIVISOR
        self._limit = limit
        # Kept ready, as each read asks for them.
        self.large_limit = limit - reserve  # up to which large bodies may fill the memory
        self.whole_limit = limit + reserve  # up to which requests that have come whole may

    def count(self, change: int) -> None:
        """Adds to the bytes held; a negative change releases them."""
        self.held += change
        if change < 0:
            self.on_release()

    @property
    def short(self) -> bool:
        """Whether only the reserve is left: no large body may be kept waiting, and little is read at once."""
        return self.held > self.large_limit

    @property
    def full(self) -> bool:
        """Whether no request that is not whole may be kept."""
        return self.held > self._limit

    @property
    def exhausted(self) -> bool:
        """Whether nothing more may be taken on."""
        return self.held > self.whole_limit

    @property
    def read_size(self) -> int:
        """How many bytes should be read from a connection at once."""
        return SHORT_READ_BYTES if self.held > self.large_limit else READ_CHUNK_BYTES
