"""Time in the emulating processes: one clock shared by all of them, and calls at exact times. It uses a
timerfd because the event loop's own timers have a resolution of a millisecond, which is too coarse for
work of a few milliseconds. Nothing here blocks."""

from __future__ import annotations

import ctypes
import heapq
import os
import time
from asyncio import AbstractEventLoop
from collections.abc import Callable

NONBLOCK_CLOEXEC = os.O_NONBLOCK | os.O_CLOEXEC
TFD_TIMER_ABSTIME = 1  # from sys/timerfd.h


def monotonic_us() -> int:
    """CLOCK_MONOTONIC in microseconds, the same in all processes of the machine."""
    return time.monotonic_ns() // 1000


class _TimerSpec(ctypes.Structure):
    _fields_ = [(name, ctypes.c_long) for name in ("every_s", "every_ns", "at_s", "at_ns")]


_libc = ctypes.CDLL(None, use_errno=True)


class ScheduledCall:
    """A scheduled call. `cancel` revokes it."""

    __slots__ = ("call", "due")

    def __init__(self, due: int, call: Callable[[], None]) -> None:
        self.due = due
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Clock:
    """Microseconds since `base` (a CLOCK_MONOTONIC time), and calls at given times, in the order of those
    times."""

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
        """Schedules a call at `due`, never earlier. If `due` has passed, the call is made as soon as the loop
        is free."""
        scheduled = ScheduledCall(due, call)
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, scheduled))
        if not self._armed or due < self._armed:
            self._arm(due)
        return scheduled

    def rebase(self, by: int) -> None:
        """Moves the origin forward by `by` microseconds. Only allowed while no call is scheduled."""
        assert not self._heap
        self.base += by

    def close(self) -> None:
        self._loop.remove_reader(self._fd)
        os.close(self._fd)
        self._heap.clear()

    def _arm(self, due: int) -> None:
        self._armed = due
        at = max(1, due + self.base)  # a time of 0 would disarm the timer
        spec = _TimerSpec(0, 0, at // 1_000_000, at % 1_000_000 * 1000)
        if _libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, ctypes.byref(spec), None):
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def _on_timer(self) -> None:
        try:
            os.read(self._fd, 8)
        except BlockingIOError:
            return  # the timer was re-armed for a later time before this callback ran
        self._armed = 0
        heap = self._heap
        limit = self._count  # calls scheduled by these callbacks wait for the next turn of the loop
        while heap and heap[0][0] <= self.now() and heap[0][1] <= limit:
            call = heapq.heappop(heap)[2].call
            if call:
                call()
        while heap and heap[0][2].call is None:
            heapq.heappop(heap)
        if heap:
            self._arm(heap[0][0])
