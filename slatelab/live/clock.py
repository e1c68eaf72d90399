"""Time in the emulating processes: one clock for all of them, and calls at exact times. It owns the kernel's
timer descriptor; the event loop's own timers go by whole milliseconds, which is too coarse for work of a few.
It must never block, and knows nothing of what it calls."""

from __future__ import annotations

import ctypes
import heapq
import os
import time
from asyncio import AbstractEventLoop
from collections.abc import Callable

NONBLOCK_CLOEXEC = os.O_NONBLOCK | os.O_CLOEXEC
TFD_TIMER_ABSTIME = 1  # TFD_TIMER_ABSTIME


def monotonic_us() -> int:
    """CLOCK_MONOTONIC in microseconds: the same in all processes of the machine."""
    return time.monotonic_ns() // 1000


class _TimerSpec(ctypes.Structure):
    _fields_ = [(name, ctypes.c_long) for name in ("every_s", "every_ns", "at_s", "at_ns")]


_libc = ctypes.CDLL(None, use_errno=True)


class ScheduledCall:
    """One call to come. `cancel` takes it back."""

    __slots__ = ("call", "due")

    def __init__(self, due: int, call: Callable[[], None]) -> None:
        self.due = due
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Clock:
    """Microseconds since `base` (itself of CLOCK_MONOTONIC), and calls at given times, in their order."""

    def __init__(self, loop: AbstractEventLoop, base: int) -> None:
        self.base = base
        self._loop = loop
        self._heap: list[tuple[int, int, ScheduledCall]] = []
        self._count = 0
        self._armed = 0
        self._fd = _libc.timerfd_create(time.CLOCK_MONOTONIC, NONBLOCK_CLOEXEC)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        loop.add_reader(self._fd, self._on_timer)

    def now(self) -> int:
        return time.monotonic_ns() // 1000 - self.base

    def call_at(self, due: int, call: Callable[[], None]) -> ScheduledCall:
        """Calls at `due`, never earlier; what is past is called as soon as the loop is free."""
        scheduled = ScheduledCall(due, call)
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, scheduled))
        if not self._armed or due < self._armed:
            self._arm(due)
        return scheduled

    def rebase(self, by: int) -> None:
        """Counts from `by` later on; only while no call is to come."""
        assert not self._heap
        self.base += by

    def close(self) -> None:
        self._loop.remove_reader(self._fd)
        os.close(self._fd)
        self._heap.clear()

    def _arm(self, due: int) -> None:
        self._armed = due
        at = max(1, due + self.base)  # 0 would disarm it
        spec = _TimerSpec(0, 0, at // 1_000_000, at % 1_000_000 * 1000)
        if _libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, ctypes.byref(spec), None):
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def _on_timer(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            return  # it was armed anew for later while this call was on its way
        self._armed = 0
        heap = self._heap
        limit = self._count  # what is added by those called here waits for the next turn of the loop
        while heap and heap[0][0] <= self.now() and heap[0][1] <= limit:
            call = heapq.heappop(heap)[2].call
            if call:
                call()
        while heap and heap[0][2].call is None:
            heapq.heappop(heap)
        if heap:
            self._arm(heap[0][0])
