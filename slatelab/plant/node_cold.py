"""What a start from cold costs: the capacity that is there meanwhile, and the pressure that pushes the node
over. This file owns both formulas. It must never know what a request is."""

from __future__ import annotations

from collections import deque
from math import inf


class WarmupRamp:
    """The share of its capacity that a node can do: `first` up to `start`, then evenly rising to 1 over
    `span` microseconds, then 1."""

    __slots__ = ("end", "first", "rise", "start")

    def __init__(self, start: int, first: float, span: int) -> None:
        self.start, self.end = start, start + span
        self.first = first if span else 1.0
        self.rise = (1.0 - first) / span if span else 0.0

    def share(self, t: float) -> float:
        """At the moment t, 0 to 1."""
        return 1.0 if t >= self.end else self.first + self.rise * max(0.0, t - self.start)

    def slope(self, t: float) -> float:
        """By how much the share grows each microsecond from t on."""
        return self.rise if t < self.end else 0.0

    def until(self, t: float) -> float:
        """When the slope of the moment t ends."""
        return self.end if t < self.end else inf

    def integral(self, begin: float, end: float) -> float:
        """Of the share over the time from begin to end, in microseconds of the whole capacity; exact."""
        return self._since_start(end) - self._since_start(begin)

    def _since_start(self, t: float) -> float:
        past = t - self.start
        if past <= 0:
            return past * self.first
        rising = min(past, self.end - self.start)
        return rising * (self.first + self.rise * rising / 2) + past - rising


class ColdOverloadDetector:
    """Counts the work that reaches a cold node, also that which it turns away.

    A node falls at the arrival that brings the work of the last `window` microseconds, this arrival's
    included, over

    multiple x capacity x (integral of the ramp's share over the window) + SLACK x (heaviest request in the
    window)

    Before its start the first share counts, so a burst right after it has the budget of a whole window. The
    last term is the slack for chance: no single request, however heavy, pushes a node over, and the more
    requests make up the budget the less there is of it. O(1) a request on average; it keeps those of one
    window."""

    SLACK = 2

    __slots__ = ("_came", "_heaviest", "_sum", "full", "ramp", "window")

    def __init__(self, ramp: WarmupRamp, capacity: float, multiple: float, window: int) -> None:
        """`capacity`: work in microseconds at speed 1 that the warm node does each microsecond."""
        self.ramp, self.window = ramp, window
        self.full = multiple * capacity
        self._came: deque[tuple[int, int]] = deque()
        self._heaviest: deque[tuple[int, int]] = deque()  # the heaviest, the heaviest after it, and so on
        self._sum = 0

    def add(self, now: int, work: int) -> bool:
        """Whether this work is too much."""
        self._forget(now - self.window)
        self._came.append((now, work))
        self._sum += work
        while self._heaviest and self._heaviest[-1][1] <= work:
            self._heaviest.pop()
        self._heaviest.append((now, work))
        return self._sum > self.budget(now)

    def budget(self, now: int) -> float:
        """The work in microseconds that may have come in the window that ends now, given what has."""
        slack = self.SLACK * self._heaviest[0][1] if self._heaviest else 0
        return self.full * self.ramp.integral(now - self.window, now) + slack

    def _forget(self, before: int) -> None:
        while self._came and self._came[0][0] <= before:
            self._sum -= self._came.popleft()[1]
        while self._heaviest and self._heaviest[0][0] <= before:
            self._heaviest.popleft()
