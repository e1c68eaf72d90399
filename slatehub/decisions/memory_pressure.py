"""Compares the memory that a process takes with its limit: how much of it nobody has counted or planned for, and when
memory that is free has to be given back to the system. What is counted says what is in use; it does not say what a
connection, a copy or the allocator's free memory take beside it. Pure."""

from __future__ import annotations

from dataclasses import dataclass

# One part in so many of the limit is kept free, for what comes between two measurements; at least the minimum.
MARGIN_DIVISOR = 32
MIN_MARGIN_BYTES = 1024 * 1024
# Free memory is given back one part in so many of the limit before memory would be withheld from requests.
RELEASE_LEAD_DIVISOR = 16
MIN_RELEASE_INTERVAL_US = 100_000
MAX_RELEASE_INTERVAL_US = 1_000_000
# A release that has brought less than one part in so many of the limit is not worth its time again soon.
MIN_RELEASED_DIVISOR = 64


@dataclass(frozen=True, slots=True)
class MemoryReading:
    """A measurement, in bytes. `private`: memory of the process. `counted`: what requests and answers hold of it.
    `unreceived`: what is counted beforehand for bodies that have not been received yet, and takes no memory."""

    private: int
    counted: int
    unreceived: int

    @property
    def overhead(self) -> int:
        """What the process takes beside all that is counted, in bytes."""
        return self.private - (self.counted - self.unreceived)


class MemoryPressure:
    """`limit`: of the process. `reserved`: what may be counted at the most. Both in bytes."""

    def __init__(self, limit: int, reserved: int) -> None:
        self.set_limits(limit, reserved)
        self.release_interval_us = MIN_RELEASE_INTERVAL_US
        self._last_release_at = -MAX_RELEASE_INTERVAL_US

    def set_limits(self, limit: int, reserved: int) -> None:
        """Sets the limits, as in the constructor."""
        self.limit = limit
        self.margin = max(MIN_MARGIN_BYTES, limit // MARGIN_DIVISOR)
        self.planned_overhead = limit - self.margin - reserved

    def is_near(self, private: int) -> bool:
        """Whether so many bytes of private memory may be too much, whatever is counted of them."""
        return private > self.planned_overhead - self.limit // RELEASE_LEAD_DIVISOR

    def is_critical(self, private: int) -> bool:
        """Whether only the margin is left beside so many bytes of private memory."""
        return private > self.limit - self.margin

    def excess(self, reading: MemoryReading) -> int:
        """The bytes of the overhead that were not planned for: requests have to do with so much less."""
        return max(0, reading.overhead - self.planned_overhead)

    def release_due(self, now: int, reading: MemoryReading) -> bool:
        """Whether free memory should be given back to the system at this time (microseconds)."""
        return self.is_near(reading.overhead) and now - self._last_release_at >= self.release_interval_us

    def released(self, now: int, size: int) -> None:
        """Notes that so many bytes were given back at this time (microseconds). While that brings little, the next time
        comes later and later."""
        self._last_release_at = now
        if size >= self.limit // MIN_RELEASED_DIVISOR:
            self.release_interval_us = MIN_RELEASE_INTERVAL_US
        else:
            self.release_interval_us = min(2 * self.release_interval_us, MAX_RELEASE_INTERVAL_US)
