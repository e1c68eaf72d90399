"""Detects stalls of the process, to bound how long input may have waited unread: after a stall (stopped, starved of the
processor, or just started) the process finds in the kernel's queues what callers wrote meanwhile, and the time limit
that they give counts from when they wrote it. Pure; used by the code that reads requests. A pause that is not the
process's own must not count as a stall. Within a stall the longest possible wait is used: an answer after the caller's
deadline is worse than a deadline set too short."""

from __future__ import annotations

HEARTBEAT_INTERVAL_US = 100_000  # between two heartbeats
STALL_THRESHOLD_US = 250_000  # a longer time without a heartbeat is a stall
STALL_READ_GRACE_US = 100_000  # input read up to this long after a stall may have come during it


class StallDetector:
    """`started_at`: when the process started, microseconds. The time until the first heartbeat counts as a
    stall if it is longer than STALL_THRESHOLD_US."""

    def __init__(self, started_at: int) -> None:
        self.last_heartbeat_at = started_at
        self.stall_started_at = self.stall_ended_at = started_at  # of the latest stall

    def heartbeat(self, now: int) -> None:
        """Records that the process runs at this time."""
        if now - self.last_heartbeat_at > STALL_THRESHOLD_US:
            self.stall_started_at, self.stall_ended_at = self.last_heartbeat_at, now
        self.last_heartbeat_at = max(self.last_heartbeat_at, now)

    def max_unread_us(self, read_at: int) -> int:
        """The longest time, in microseconds, that input read at this time may have waited."""
        if read_at - self.last_heartbeat_at > STALL_THRESHOLD_US:
            return read_at - self.last_heartbeat_at
        return (
            read_at - self.stall_started_at
            if self.stall_started_at < self.stall_ended_at
            and self.stall_started_at <= read_at <= self.stall_ended_at + STALL_READ_GRACE_US
            else 0
        )
