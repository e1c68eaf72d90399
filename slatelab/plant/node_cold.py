"""Cold starts of a node: the capacity it has while it warms up, and the load at which it crashes. Both depend
on amounts of work only, not on requests."""

from __future__ import annotations

from collections import deque
from math import inf


class WarmupRamp:
    """The share of its capacity that a node has: `first` up to `start`, then rising linearly to 1 over `span`
    microseconds, then 1."""

    __slots__ = ("end", "first", "rise", "start")

    def __init__(self, start: int, first: float, span: int) -> None:
        self.start, self.end = start, start + span
        self.first = first if span else 1.0
        self.rise = (1.0 - first) / span if span else 0.0

    def share(self, t: float) -> float:
        """The share at time t, 0 to 1."""
        return 1.0 if t >= self.end else self.first + self.rise * max(0.0, t - self.start)

    def slope(self, t: float) -> float:
        """By how much the share grows per microsecond at t."""
        return self.rise if t < self.end else 0.0

    def until(self, t: float) -> float:
        """When the slope at time t ends."""
        return self.end if t < self.end else inf

    def integral(self, begin: float, end: float) -> float:
        """Integral of the share from begin to end, in microseconds of the whole capacity; exact."""
        return self._since_start(end) - self._since_start(begin)

    def _since_start(self, t: float) -> float:
        elapsed = t - self.start
        if elapsed <= 0:
            return elapsed * self.first
        rising = min(elapsed, self.end - self.start)
        return rising * (self.first + self.rise * rising / 2) + elapsed - rising


class ColdOverloadDetector:
    """Sums the work that reaches a cold node, including the work it rejects.

    A node crashes at the arrival with which the work of the last `window` microseconds, this arrival included,
    exceeds

    multiple x capacity x (integral of the ramp's share over the window) + SLACK x (heaviest request in the
    window)

    Before the start of the node its first share counts, so a burst right after the start has the budget of a
    whole window. The last term allows for random request sizes: no single request, however heavy, crashes a
    node, and the term matters less the more requests make up the budget. O(1) per request on average; stores the
    requests of one window."""

    SLACK = 2

    __slots__ = ("_heaviest", "_sum", "_window_work", "budget_rate", "ramp", "window")

    def __init__(self, ramp: WarmupRamp, capacity: float, multiple: float, window: int) -> None:
        """`capacity`: work in microseconds at speed 1 that the warm node does per microsecond."""
        self.ramp, self.window = ramp, window
        self.budget_rate = multiple * capacity
        self._window_work: deque[tuple[int, int]] = deque()  # (time, work)
        # Entries are (time, work): the heaviest, the heaviest after it, and so on.
        self._heaviest: deque[tuple[int, int]] = deque()
        self._sum = 0

    def add(self, now: int, work: int) -> bool:
        """Adds the work of an arrival. Returns whether the budget is exceeded."""
        self._drop_before(now - self.window)
        self._window_work.append((now, work))
        self._sum += work
        while self._heaviest and self._heaviest[-1][1] <= work:
            self._heaviest.pop()
        self._heaviest.append((now, work))
        return self._sum > self.budget(now)

    def budget(self, now: int) -> float:
        """The work in microseconds allowed in the window that ends now, given the requests in it."""
        slack = self.SLACK * self._heaviest[0][1] if self._heaviest else 0
        return self.budget_rate * self.ramp.integral(now - self.window, now) + slack

    def _drop_before(self, before: int) -> None:
        while self._window_work and self._window_work[0][0] <= before:
            self._sum -= self._window_work.popleft()[1]
        while self._heaviest and self._heaviest[0][0] <= before:
            self._heaviest.popleft()
