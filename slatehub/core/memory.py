"""The memory that requests and answers may take in one process, and how much of it they hold. Counts only: who holds
bytes reports them, and decides itself what to do where there are no more. Pure."""

from __future__ import annotations

from collections.abc import Callable

from .limits import READ_CHUNK_BYTES

# One part in so many of the limit is kept for small requests, and as much beyond it for those that have come whole and
# for answers: clients that stop half way through a request must not take the memory of those that do not.
RESERVE_DIVISOR = 8
UNREACHABLE_BYTES = 1 << 62
SHORT_READ_BYTES = 4 * 1024  # size of one read while memory is short


class MemoryBudget:
    """All sizes are in bytes. `held`: what is counted, and the excess that was measured beside it. `on_release` is
    called whenever bytes were released, `on_growth` when `held` has reached `next_measurement` or a connection was
    opened."""

    def __init__(self, limit: int, on_release: Callable[[], None] = lambda: None) -> None:
        self.held = 0
        self.excess = 0  # what the process takes beyond its plan beside what is counted
        self.private = 0  # memory of the process when it was last measured, for the log; 0: not measured
        self.critical = False  # the process is so near its limit that it may take no more connections
        self.on_release = on_release
        self.on_growth: Callable[[], None] = lambda: None
        self.next_measurement = UNREACHABLE_BYTES
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
        elif self.held >= self.next_measurement:
            self.on_growth()

    @property
    def counted(self) -> int:
        """What was counted, without the excess."""
        return self.held - self.excess

    def set_excess(self, excess: int) -> None:
        """Sets how much the process takes beyond its plan: requests and answers get so much less. Small ones always
        keep what the reserve leaves them, as refusing them would free little."""
        excess = min(excess, self.large_limit)
        change = excess - self.excess
        self.excess = excess
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
