"""The memory that this process takes of the machine, as its system reports it, and the return of what the allocator
keeps of freed memory. Decides nothing about either."""

from __future__ import annotations

import os
from collections.abc import Callable

STATM_PATH = "/proc/self/statm"
STATM_MAX_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _load_malloc_trim() -> Callable[[int], int] | None:
    """The C library's function; None where it has none."""
    try:
        import ctypes

        trim: Callable[[int], int] = ctypes.CDLL(None).malloc_trim
    except (ImportError, OSError, AttributeError, MemoryError):
        return None
    return trim


class ProcessMemory:
    """Reads and returns memory of this process. Where the system does not report it, `private_bytes` is 0."""

    def __init__(self) -> None:
        self._malloc_trim = _load_malloc_trim()
        try:
            self._statm = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = -1

    def private_bytes(self) -> int:
        """Bytes in memory that this process shares with no other and with no file (proc_pid_statm(5): resident without
        shared); 0 if that is not known."""
        try:
            _, resident, shared, *_ = os.pread(self._statm, STATM_MAX_BYTES, 0).split()
            return (int(resident) - int(shared)) * PAGE_BYTES
        except (OSError, ValueError):
            return 0

    def release_free(self) -> None:
        """Gives pages back to the system in which the allocator holds nothing that is in use. Takes milliseconds for
        tens of megabytes; does nothing where the C library cannot."""
        if self._malloc_trim:
            self._malloc_trim(0)

    def close(self) -> None:
        """Closes the descriptor."""
        if self._statm >= 0:
            os.close(self._statm)
            self._statm = -1
