"""The daemon's clock and timers, the time source of every part that is not pure. The clock never runs backwards, and a
timer never fires early."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

_OFFSET = time.time_ns() // 1000 - time.monotonic_ns() // 1000

# Estimated start time of the process: now minus the processor time used so far, which is close because a process that
# does not serve yet is almost always busy.
PROCESS_STARTED_US = time.monotonic_ns() // 1000 + _OFFSET - time.process_time_ns() // 1000


def clock() -> int:
    """Returns the time in microseconds; it never runs backwards. It counts from the Unix epoch as the system clock had
    it when the process started, so a node's start time maps to it by one fixed offset. This matters because the
    balancer takes a changed start time for a restart of the node."""
    return time.monotonic_ns() // 1000 + _OFFSET


def _nothing() -> None: ...


class Timer:
    """Calls `callback` once when the clock reaches `due` (microseconds).

    gevent measures a timer from the time at which its loop last read the clock, which may be long ago. A timer that
    fires too early is therefore started again for the remaining time."""

    __slots__ = ("due", "callback", "timer")

    def __init__(self, due: int, callback: Callable[[], None]) -> None:
        self.due = due
        self.callback = callback
        self._start()

    def _start(self) -> None:
        self.timer = gevent.get_hub().loop.timer(max(0, self.due - clock()) / 1e6)
        self.timer.start(self._fire, update=True)

    def _fire(self) -> None:
        self.timer.close()
        if clock() < self.due:
            self._start()
        else:
            callback, self.callback = self.callback, _nothing
            callback()

    def cancel(self) -> None:
        """Stops the timer; `callback` will not be called."""
        self.timer.stop()
        self.timer.close()
        self.callback = _nothing  # breaks a reference cycle: the callback's owner usually holds this timer
