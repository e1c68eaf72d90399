"""The clock and alarms of the daemon. This file owns what time it is for every part that is not pure. It must never run
backwards, and never ring early."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

_OFFSET = time.time_ns() // 1000 - time.monotonic_ns() // 1000


# When the process began, as near as its processor time tells: until it serves it hardly does anything but work.
PROCESS_STARTED_US = time.monotonic_ns() // 1000 + _OFFSET - time.process_time_ns() // 1000


def clock() -> int:
    """Microseconds that never run backwards. They count from the Unix epoch as it stood at the program's start,
    so the start time of a node maps onto them by one fixed sum: the module takes a changed start for a restart."""
    return time.monotonic_ns() // 1000 + _OFFSET


def _nothing() -> None: ...


class Timer:
    """One wait's own timer. gevent counts a timer from the time its loop last looked at the clock, which may be
    long past, so a ring that comes too early waits again for what is left."""

    __slots__ = ("due", "ring", "timer")

    def __init__(self, due: int, ring: Callable[[], None]) -> None:
        self.due = due
        self.ring = ring
        self._set()

    def _set(self) -> None:
        self.timer = gevent.get_hub().loop.timer(max(0, self.due - clock()) / 1e6)
        self.timer.start(self._fire, update=True)

    def _fire(self) -> None:
        self.timer.close()
        if clock() < self.due:
            self._set()
        else:
            ring, self.ring = self.ring, _nothing
            ring()

    def cancel(self) -> None:
        self.timer.stop()
        self.timer.close()
        self.ring = _nothing  # who was to be rung most often holds this alarm: a ring of references otherwise
