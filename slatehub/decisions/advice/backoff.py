"""Advice that looks at nothing but the caller: chance alone, and chance over a span that doubles. This file
owns these two advisers and the count of refusals of a key. They must never promise a place."""

from __future__ import annotations

from random import Random

from .crowd import Alike
from .terms import Coming, RetryAdviceConfig

FIRST_US = 200_000  # span of the first refusal
DOUBLINGS = 10
MAX_KEYS = 4_096  # counted at once: those refused in 4 s at 1,000 refusals a second


class FixedJitter:
    """Evenly between the shortest and the longest advice, for everybody."""

    def __init__(self, terms: RetryAdviceConfig, rng: Random) -> None:
        self.most = terms.most_us
        self.least = min(terms.least_us, self.most)
        self.rng = rng

    def arrived(self, now: int, key: int) -> Coming:
        return "newcomer"

    def refused(self, now: int, key: int) -> int:
        return self.within(self.most)

    def within(self, span: int) -> int:
        """By chance, up to `span`."""
        return self.least + int(self.rng.random() * max(0, min(span, self.most) - self.least))

    def served(self, now: int, served: int) -> None:
        return None

    def update_backlog(self, now: int, waiting: int, slots: float) -> None:
        return None

    def reserved_slots(self, now: int) -> int:
        return 0


class ExponentialBackoff(FixedJitter):
    """By chance within a span that doubles with each refusal of a key (full jitter: M. Brooker, Exponential
    Backoff And Jitter, AWS Architecture Blog 2015). A key that is forgotten, because it was not refused for
    two of the longest advices or because too many were, starts anew. Keys that many orders share are not
    counted."""

    def __init__(self, terms: RetryAdviceConfig, rng: Random) -> None:
        super().__init__(terms, rng)
        self.shared_keys = Alike()
        self.counts: dict[int, tuple[int, int]] = {}  # key -> (refusals, the last), by the last

    def arrived(self, now: int, key: int) -> Coming:
        self.shared_keys.arrived(now, key, calm=key not in self.counts)
        return "newcomer"

    def refused(self, now: int, key: int) -> int:
        self.shared_keys.refused(key)
        before = 0 if self.shared_keys.shared(key) else self._counted(now, key)
        return self.within(FIRST_US << min(before, DOUBLINGS))

    def _counted(self, now: int, key: int) -> int:
        """Refusals of this key before this one."""
        for old in self._stale(now):
            del self.counts[old]
        before, _ = self.counts.pop(key, (0, 0))
        self.counts[key] = (before + 1, now)
        return before

    def _stale(self, now: int) -> list[int]:
        """At most two of the oldest keys that need not be known any more: as many as can come in by one
        call."""
        stale: list[int] = []
        for key, (_, last) in self.counts.items():
            if len(stale) == 2 or (now - last <= 2 * self.most and len(self.counts) - len(stale) < MAX_KEYS):
                break
            stale.append(key)
        return stale
