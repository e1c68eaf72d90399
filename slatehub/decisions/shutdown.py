"""The schedule of a planned shutdown during which the proxy continues to serve: until when callers are accepted, kept
and answered, and when refused callers are advised to come back. Pure; used by the front and the dispatcher. No answer
is planned for a time when the process may have been killed.

The platform (PROTOCOL, planned restarts): SIGKILL follows SIGTERM after the longest deadline, counted as 3 s at most,
plus 0.7 s at the earliest, and the next start comes a second or more after that. New connections keep coming for 0.2 to
0.4 s; callers reuse their connections for as long as these stay open. What comes later than 0.7 s after SIGTERM must be
answered before SIGKILL. So a proxy that closes early leaves its callers without service for the rest of the time, and a
proxy that accepts what it cannot finish loses it."""

from __future__ import annotations

from copy import copy

MAX_DEADLINE_US = 3_000_000  # a longer deadline counts as this long
KILL_DELAY_US = 700_000  # from the longest deadline until SIGKILL
KILL_MARGIN_US = 150_000  # before SIGKILL, for the last answers and the end of the process
# Callers are sent to siblings at most this long before the last answer: some service times.
MAX_DISCONNECT_LEAD_US = 800_000
RESTART_DELAY_US = 1_000_000  # from SIGKILL until the next start, if nothing else is known


class ShutdownSchedule:
    """`started_at`: when the process got SIGTERM. `longest_us`: the longest deadline of a class. `siblings`: number of
    proxies that callers can use, this one included. `served_us`: how long a request usually takes (0: not known)."""

    __slots__ = ("answer_by", "back_at", "disconnect_at", "started_at")

    def __init__(self, started_at: int, longest_us: int, siblings: int = 1, served_us: float = 0) -> None:
        kill_at = started_at + min(longest_us, MAX_DEADLINE_US) + KILL_DELAY_US
        self.started_at = started_at
        self.answer_by = max(started_at, kill_at - KILL_MARGIN_US)
        self.back_at = kill_at + RESTART_DELAY_US
        # Siblings may be stopping, too, and share no state with this proxy: callers are kept as long as it helps them.
        lead_us = (
            min(MAX_DISCONNECT_LEAD_US, max(MAX_DISCONNECT_LEAD_US / 4, 1.5 * served_us))
            if siblings > 1
            else 0
        )
        self.disconnect_at = max(started_at, int(self.answer_by - lead_us))

    def shifted(self, by: int) -> ShutdownSchedule:
        """The same schedule on a clock that is ahead of this one by `by` microseconds."""
        other = copy(self)
        for name in self.__slots__:
            setattr(other, name, getattr(self, name) + by)
        return other

    def clamp_deadline(self, deadline: int) -> int:
        """Until when a request with this deadline is to be answered."""
        return min(deadline, self.answer_by)

    def disconnecting(self, now: int) -> bool:
        """Whether callers should leave: idle connections are closed, answers close their connection, and no new
        connections are accepted."""
        return now >= self.disconnect_at

    def finished(self, now: int) -> bool:
        """Whether every answer has been given."""
        return now >= self.answer_by

    def back_us(self, now: int) -> int:
        """Microseconds after which a caller refused now should come back: when the next process can be there. Callers
        that are disconnected while siblings can serve them need not wait."""
        return max(0, self.back_at - now)
