"""A planned stop that goes on serving: until when callers are let in, kept and answered, and when they are told to come
back. Pure; the front and the desk ask it. It must never promise an answer for later than the process may live.

The platform (PROTOCOL, planned restarts): SIGKILL comes no sooner than the longest deadline (3 s where that is longer)
and 0.7 s after SIGTERM, and the next start a second or more after that. New connections keep coming for 0.2 to 0.4 s;
callers use those that they have for as long as these stay open. What comes later than 0.7 s after SIGTERM must be
answered before SIGKILL. So a proxy that closes early leaves its callers with nobody for the rest of the time, and one
that takes what it cannot finish loses it."""

from __future__ import annotations

from copy import copy

MAX_DEADLINE_US = 3_000_000  # the longest deadline counts as no longer
MORE_US = 700_000
MARGIN_US = 150_000  # before SIGKILL, for the last answers and the end of the process
PART_US = 800_000  # before the last answer, where siblings may take the callers over: some services' length
BACK_US = 1_000_000  # from SIGKILL until the next start, where nobody has said


class ShutdownSchedule:
    """`told`: when the process was told to end. `longest_us`: the longest deadline of a class. `siblings`: proxies that
    callers could go to, this one included. `served_us`: how long a request usually takes (0: not known)."""

    __slots__ = ("answer_by", "back_at", "disconnect_at", "told")

    def __init__(self, told: int, longest_us: int, siblings: int = 1, served_us: float = 0) -> None:
        kill_at = told + min(longest_us, MAX_DEADLINE_US) + MORE_US
        self.told = told
        self.answer_by = max(told, kill_at - MARGIN_US)
        self.back_at = kill_at + BACK_US
        # Siblings may be stopping too, and share nothing with us: callers are kept for as long as it does them good.
        part_us = min(PART_US, max(PART_US / 4, 1.5 * served_us)) if siblings > 1 else 0
        self.disconnect_at = max(told, int(self.answer_by - part_us))

    def shifted(self, by: int) -> ShutdownSchedule:
        """The same on a clock that is so far ahead of this one."""
        other = copy(self)
        for name in self.__slots__:
            setattr(other, name, getattr(self, name) + by)
        return other

    def clamp_deadline(self, deadline: int) -> int:
        """Until when a request with this deadline is to be answered."""
        return min(deadline, self.answer_by)

    def disconnecting(self, now: int) -> bool:
        """Whether callers should go: those that rest are closed, answers end their connection, no new ones come in."""
        return now >= self.disconnect_at

    def finished(self, now: int) -> bool:
        """Whether every answer has been given."""
        return now >= self.answer_by

    def back_us(self, now: int) -> int:
        """When a caller who is refused now should come back: once the next process can be there. A parting proxy's
        callers need not wait where siblings take them."""
        return max(0, self.back_at - now)
