"""Lag of the load generator behind its schedule, and the two limits beyond which a run is invalid. Pure:
times are passed in."""

from __future__ import annotations

from array import array

MAX_P99_US = 10_000
MAX_MEAN_US = 50_000  # mean lag in any one second
SECOND_US = 1_000_000


class ScheduleLag:
    """Records, for each attempt, its scheduled time and how late it was sent."""

    def __init__(self) -> None:
        self._lags_us = array("q")
        self._by_second: dict[int, tuple[int, int]] = {}  # by second: count and sum

    def record(self, intended: int, lag_us: int) -> None:
        self._lags_us.append(lag_us)
        count, total_us = self._by_second.get(intended // SECOND_US, (0, 0))
        self._by_second[intended // SECOND_US] = (count + 1, total_us + lag_us)

    @property
    def p99_us(self) -> int:
        """The lag that one attempt in a hundred exceeds; 0 if nothing was sent."""
        ordered = sorted(self._lags_us)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] if ordered else 0

    def invalid_reason(self) -> str:
        """Why the run is invalid, in one line; "" if it is valid."""
        if (p99 := self.p99_us) > MAX_P99_US:
            return (
                f"the load ran late by {p99 / 1000:.1f} ms at p99: this machine is too busy for this scenario"
            )
        second, mean = max(((s, total_us / count) for s, (count, total_us) in self._by_second.items()),
                           key=lambda pair: pair[1], default=(0, 0.0))  # fmt: skip
        if mean > MAX_MEAN_US:
            return (
                f"the load ran late by {mean / 1000:.1f} ms on average in second {second}: "
                "this machine is too busy for this scenario"
            )
        return ""
