"""Cores shared equally by all items that run on them: how much service each item gets and which one ends next,
independent of time and of what the items are.

Egalitarian processor sharing by virtual time (L. Kleinrock, Queueing Systems 2, 1976, section 4.4): all running
items get the same service, so `attained` is the service of an item that has been there from the start. An item
that needs work w and arrives at attained a ends at a + w, whatever other items run, so a heap of these sums is
sufficient."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")


class Cores(Generic[T]):
    """Processor sharing of `width` cores. Work is in microseconds at speed 1; `share` is the part of a core's work
    that each item gets; `set_efficiency` scales it."""

    __slots__ = ("_efficiency", "_serial", "_width", "attained", "heap", "share")

    def __init__(self, width: int) -> None:
        self._width, self._efficiency = width, 1.0
        # Entries are (attained at the item's end, serial number, item); of equal ends the first added comes first.
        self.heap: list[tuple[float, int, T]] = []
        self.attained = self.share = 0.0
        self._serial = 0

    def add(self, work: float, item: T) -> None:
        """Adds an item that needs `work` (above 0). O(log n)."""
        self._serial += 1
        heappush(self.heap, (self.attained + work, self._serial, item))
        self._update_share()

    def need(self) -> float:
        """How much work a whole core must do until the first item ends; there must be an item."""
        return (self.heap[0][0] - self.attained) / self.share

    def advance(self, work: float) -> None:
        """Each core has done `work`, during which no item has ended."""
        self.attained += work * self.share

    def pop(self) -> T:
        """Removes the first item, which ends exactly now. O(log n)."""
        self.attained, _, item = heappop(self.heap)
        if not self.heap:
            self.attained = 0.0  # keeps the sums small, so that rounding errors stay far below a nanosecond
        self._update_share()
        return item

    def clear(self) -> None:
        """Removes all items."""
        self.heap.clear()
        self._update_share()

    def busy(self) -> int:
        """Number of busy cores."""
        return min(len(self.heap), self._width)

    def set_efficiency(self, share: float) -> None:
        """Each core does only this share (above 0, at most 1) of its work for the items."""
        self._efficiency = share
        self._update_share()

    def _update_share(self) -> None:
        count = len(self.heap)
        self.share = self._efficiency if count <= self._width else self._efficiency * self._width / count
