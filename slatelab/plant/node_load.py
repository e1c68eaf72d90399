"""The load report of a node: requests answered per second and how busy its cores are, as moving averages. It
does not affect the behaviour of the node."""

from __future__ import annotations

from math import exp

SECOND_US = 1_000_000
# Time constant; this exponential average has the same mean age as a plain average over 1 s.
DECAY_US = 500_000


class LoadAverage:
    """Exponential moving averages of a node's load. The node adds to `busy`, in core-microseconds, and to
    `answered`; `due` is when the next refresh is due."""

    __slots__ = ("_cores", "_every", "_refreshed_at", "answered", "busy", "due", "qps", "util")

    def __init__(self, cores: int, every: int, now: int) -> None:
        self._cores, self._every, self._refreshed_at = cores, every, now
        self.due = now + every
        self.answered, self.busy = 0, 0.0
        self.qps = self.util = 0.0

    def refresh(self, now: int, unreported: float = 0.0) -> None:
        """Updates the averages; to be called from `due` on. `unreported`: busy time up to `now` that is not yet in
        `busy`."""
        span = now - self._refreshed_at
        decay = exp(-span / DECAY_US)
        self.util = decay * self.util + (1 - decay) * (self.busy + unreported) / (span * self._cores)
        self.qps = decay * self.qps + (1 - decay) * self.answered * SECOND_US / span
        self.answered, self.busy = 0, -unreported
        self._refreshed_at, self.due = now, now + self._every
