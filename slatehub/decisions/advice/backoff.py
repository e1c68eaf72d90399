"""Advice that depends on the caller only: a random wait, and a random wait with exponential backoff. These
advisers reserve no capacity."""

from __future__ import annotations

from random import Random

from .config import ArrivalKind, RetryAdviceConfig
from .load_estimator import SharedKeyDetector

FIRST_SPAN_US = 200_000  # span of the first refusal
MAX_DOUBLINGS = 10  # 204.8 s, more than the longest advice that can be configured
MAX_KEYS = 4_096  # counted at once: those refused in 4 s at 1,000 refusals a second


class FixedJitter:
    """A wait drawn uniformly between the shortest and the longest advice."""

    def __init__(self, config: RetryAdviceConfig, rng: Random) -> None:
        self.max_us = config.most_us
        self.min_us = min(config.least_us, self.max_us)
        self.rng = rng

    def arrived(self, now: int, key: int) -> ArrivalKind:
        return "newcomer"

    def refused(self, now: int, key: int) -> int:
        return self.jitter_up_to(self.max_us)

    def jitter_up_to(self, span_us: int) -> int:
        """A random wait up to `span_us`."""
        return self.min_us + int(self.rng.random() * max(0, min(span_us, self.max_us) - self.min_us))

    def served(self, now: int, jobs: int) -> None:
        return None

    def update_backlog(self, now: int, waiting: int, slots: float) -> None:
        return None

    def reserved_slots(self, now: int) -> int:
        return 0


class ExponentialBackoff(FixedJitter):
    """A random wait within a span that doubles with each refusal of a key (full jitter: M. Brooker,
    Exponential Backoff And Jitter, AWS Architecture Blog 2015). A key starts anew when it is forgotten,
    because it was not refused for twice the longest advice or because too many keys were. Keys that many
    requests share are not counted."""

    def __init__(self, config: RetryAdviceConfig, rng: Random) -> None:
        super().__init__(config, rng)
        self.shared_keys = SharedKeyDetector()
        # key -> (refusals, time of the last), ordered by that time.
        self.counts: dict[int, tuple[int, int]] = {}

    def arrived(self, now: int, key: int) -> ArrivalKind:
        self.shared_keys.arrived(now, key, calm=key not in self.counts)
        return "newcomer"

    def refused(self, now: int, key: int) -> int:
        self.shared_keys.refused(key)
        earlier = 0 if self.shared_keys.shared(key) else self._count_refusal(now, key)
        return self.jitter_up_to(FIRST_SPAN_US << min(earlier, MAX_DOUBLINGS))

    def _count_refusal(self, now: int, key: int) -> int:
        """Counts a refusal of this key; returns the number before it."""
        for old in self._stale_keys(now):
            del self.counts[old]
        earlier, _ = self.counts.pop(key, (0, 0))
        self.counts[key] = (earlier + 1, now)
        return earlier

    def _stale_keys(self, now: int) -> list[int]:
        """At most two of the oldest keys that can be forgotten: as many as one call can add."""
        stale: list[int] = []
        for key, (_, last) in self.counts.items():
            if len(stale) == 2 or (
                now - last <= 2 * self.max_us and len(self.counts) - len(stale) < MAX_KEYS
            ):
                break
            stale.append(key)
        return stale
