"""When a refused caller should come back: the way in to the three advisers. This file owns the choice among
them by the terms; it must never advise by itself."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from .backoff import ExponentialBackoff, FixedJitter
from .retry_scheduler import RetryScheduler
from .terms import Adviser, Coming, RetryAdviceConfig, Way

__all__ = [
    "Adviser",
    "RetryAdviceConfig",
    "RetryScheduler",
    "Coming",
    "ExponentialBackoff",
    "FixedJitter",
    "Way",
    "make_retry_adviser",
]


def make_retry_adviser(terms: RetryAdviceConfig, rng: Random) -> Adviser:
    """The adviser of `terms.way`. `rng`: a stream of its own, another one in each proxy."""
    if terms.way == "appointments":
        return RetryScheduler(terms, rng)
    if terms.way == "exponential":
        return ExponentialBackoff(terms, rng)
    return FixedJitter(terms if terms.way == "fixed" else replace(terms, most_us=0), rng)
