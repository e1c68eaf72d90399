"""How long what is read now may have waited unread: a process that stood still (stopped, starved of the processor, or
only just started) finds in the kernel's queues what callers wrote meanwhile, and the time that they give counts from
when they wrote it. Pure; whoever reads asks it. It must never take a pause that is nobody's for one: a late answer
would be the worse mistake, and a short time the lesser."""

from __future__ import annotations

HEARTBEAT_INTERVAL_US = 100_000  # between two signs of life
STALL_THRESHOLD_US = 250_000  # a longer silence is a stall
STALL_READ_GRACE_US = 100_000  # what is read so soon after it may have come during it


class StallDetector:
    """`began`: when the process began, microseconds. It is alive from its first beat on."""

    def __init__(self, began: int) -> None:
        self.last = began
        self.start = self.until = began  # of the last stall

    def heartbeat(self, now: int) -> None:
        if now - self.last > STALL_THRESHOLD_US:
            self.start, self.until = self.last, now
        self.last = max(self.last, now)

    def max_unread_us(self, read_at: int) -> int:
        """For how long, at the most, what was read then may have waited."""
        if read_at - self.last > STALL_THRESHOLD_US:
            return read_at - self.last
        return (
            read_at - self.start
            if self.start < self.until and self.start <= read_at <= self.until + STALL_READ_GRACE_US
            else 0
        )
