"""The configuration of retry advice and the interface of all advisers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol

AdvicePolicy = Literal["none", "fixed", "exponential", "appointments"]
ArrivalKind = Literal["newcomer", "kept", "early", "late"]

MAX_DURATION_US = 60_000_000
MAX_SLOTS = 1_024  # slots of the ring, which is scanned at most once per slot length


@dataclass(frozen=True, slots=True)
class RetryAdviceConfig:
    """Parameters of retry advice. Times in microseconds. Raises ValueError, naming the field, outside of
    these ranges:

    way: which adviser. most_us: the longest advice, 0 to 60 s and never above what callers honour; 0: no
    advice is given. slot_us: length of a reservation slot, 10 ms to 1 s and at least most_us / 1,024. fill:
    share of the estimated service rate that is reserved, above 0, at most 1. spread: a caller without a
    reservation is advised a random time in this last part of most_us, above 0, at most 1 (with a quarter, the
    crowd that comes back is half as large again as with a half). least_us: the shortest advice, early_us to
    60 s. early_us, late_us: a caller that arrives at most so long before or after its reserved time has kept
    its reservation; up to 60 s, late_us not below early_us.
    """

    way: AdvicePolicy = "appointments"
    most_us: int = 2_000_000
    slot_us: int = 100_000
    fill: float = 0.95
    spread: float = 0.5
    least_us: int = 100_000
    early_us: int = 50_000
    late_us: int = 400_000

    def __post_init__(self) -> None:
        valid = {
            "way": self.way in ("none", "fixed", "exponential", "appointments"),
            "most_us": 0 <= self.most_us <= MAX_DURATION_US,
            "slot_us": 10_000 <= self.slot_us <= 1_000_000 and self.most_us <= MAX_SLOTS * self.slot_us,
            "fill": 0 < self.fill <= 1,
            "spread": 0 < self.spread <= 1,
            "early_us": 0 <= self.early_us <= MAX_DURATION_US,
            "least_us": self.early_us <= self.least_us <= MAX_DURATION_US,
            "late_us": self.early_us <= self.late_us <= MAX_DURATION_US,
        }
        for name, good in valid.items():
            if not good:
                raise ValueError(f"{name}: {getattr(self, name)!r} is out of range")


class Adviser(Protocol):
    """Advises refused callers when to retry. `now`: microseconds that never go backwards. `key`: a hash of
    the request, the same for every try of it, and in some deployments for all requests of a class."""

    def arrived(self, now: int, key: int) -> ArrivalKind:
        """A caller has arrived. "kept": within the time of its reservation, which is thereby used up;
        "early": its reservation is still to come and stands; "late": its reservation has passed; "newcomer":
        it has none."""

    def refused(self, now: int, key: int) -> int:
        """Advice for a caller that is refused now: microseconds, at most most_us; 0: none is given."""

    def served(self, now: int, jobs: int) -> None:
        """So many jobs have been served since the last call."""

    def update_backlog(self, now: int, waiting: int, slots: float) -> None:
        """Sets the number of queued jobs and the number of slots at the nodes (0: no node)."""

    def reserved_slots(self, now: int) -> int:
        """Slots to keep free for reservations that are due now."""
