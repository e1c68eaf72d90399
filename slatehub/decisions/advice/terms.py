"""What an adviser may say and what it is asked. This file owns the terms and the one interface of all
advisers; it must never decide anything."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol

Way = Literal["none", "fixed", "exponential", "appointments"]
Coming = Literal["newcomer", "kept", "early", "late"]

LONGEST_US = 60_000_000
MOST_SLOTS = 1_024  # of a ring, looked through at most once in the time of a slot


@dataclass(frozen=True, slots=True)
class RetryAdviceConfig:
    """What callers may be told. Times in microseconds. ValueError, naming the field, outside of these ranges:

    way: which adviser. most_us: the longest advice, 0 to 60 s and never above what callers honour; 0: callers
    are told nothing. slot_us: length of a slot of appointments, 10 ms to 1 s and at least most_us / 1,024.
    fill: share of the measured drain rate that is promised, above 0, at most 1. spread: who gets no
    appointment comes back by chance in this last part of most_us, above 0, at most 1 (by a quarter they come
    back in a crowd half as large again as by a half). least_us: the shortest advice, early_us to 60 s.
    early_us, late_us: who comes so long before or after the appointment has kept it; up to 60 s, late_us not
    below early_us."""

    way: Way = "appointments"
    most_us: int = 2_000_000
    slot_us: int = 100_000
    fill: float = 0.95
    spread: float = 0.5
    least_us: int = 100_000
    early_us: int = 50_000
    late_us: int = 400_000

    def __post_init__(self) -> None:
        sound = {
            "way": self.way in ("none", "fixed", "exponential", "appointments"),
            "most_us": 0 <= self.most_us <= LONGEST_US,
            "slot_us": 10_000 <= self.slot_us <= 1_000_000 and self.most_us <= MOST_SLOTS * self.slot_us,
            "fill": 0 < self.fill <= 1,
            "spread": 0 < self.spread <= 1,
            "early_us": 0 <= self.early_us <= LONGEST_US,
            "least_us": self.early_us <= self.least_us <= LONGEST_US,
            "late_us": self.early_us <= self.late_us <= LONGEST_US,
        }
        for name, good in sound.items():
            if not good:
                raise ValueError(f"{name}: {getattr(self, name)!r} is out of range")


class Adviser(Protocol):
    """Says to refused callers when to come back. `now`: microseconds that never run backwards. `key`: a hash
    of what is asked for, alike for every try of an order, and on some plants for all orders of a class."""

    def arrived(self, now: int, key: int) -> Coming:
        """A caller has come. "kept": within its appointment, which is thereby over; "early": its appointment
        stands and is still to come; "late": it had one that has passed."""

    def refused(self, now: int, key: int) -> int:
        """The advice for a caller who is refused now: microseconds, at most most_us; 0: say nothing."""

    def served(self, now: int, served: int) -> None:
        """So many jobs have been served since this was last called."""

    def update_backlog(self, now: int, waiting: int, slots: float) -> None:
        """Jobs that are held and wait for a place, and the places there are at the nodes (0: no node)."""

    def reserved_slots(self, now: int) -> int:
        """Places to keep free for appointments that fall due now."""
