"""Until when a caller may take its time with an answer. Pure.

A write to a caller says little about what the caller takes: once the send buffer is full, the system reports room only
when a third of it is free, and the caller's system asks for more only when a part of its receive buffer is free. What
counts is what the caller's system has acknowledged."""

MIN_ANSWER_BYTES_PER_S = 48_000  # average rate at which a caller takes an answer


def write_deadline(watched_since: int, acknowledged_bytes: int, pause_us: int) -> int:
    """When a write that has not ended is given up, of which so many bytes have been acknowledged since `watched_since`,
    or of what was written before it. `pause_us`: how long a caller that takes enough may go without acknowledging
    anything. Times are microseconds."""
    return watched_since + pause_us + acknowledged_bytes * 1_000_000 // MIN_ANSWER_BYTES_PER_S
