"""By how much the load ran late. It owns the two limits beyond which a run is no result. Pure: times are
given."""

from __future__ import annotations

from array import array

MAX_P99_US = 10_000
MAX_MEAN_US = 50_000  # in any one second
SECOND_US = 1_000_000


class ScheduleLag:
    """Takes, for each try, when it was to be sent and how late it was taken up."""

    def __init__(self) -> None:
        self._lags_us = array("q")
        self._by_second: dict[int, tuple[int, int]] = {}  # count and sum

    def record(self, intended: int, lag_us: int) -> None:
        self._lags_us.append(lag_us)
        count, total_us = self._by_second.get(intended // SECOND_US, (0, 0))
        self._by_second[intended // SECOND_US] = (count + 1, total_us + lag_us)

    @property
    def p99_us(self) -> int:
        """The lateness that one in a hundred exceeds; 0 where nothing was sent."""
        ordered = sorted(self._lags_us)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] if ordered else 0

    def invalid_reason(self) -> str:
        """Why the run is no result, in one line; "" where it may be one."""
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
