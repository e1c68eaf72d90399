"""Retry advice for refused callers: selects one of the three advisers by the configuration."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from .backoff import ExponentialBackoff, FixedJitter
from .config import AdvicePolicy, Adviser, ArrivalKind, RetryAdviceConfig
from .retry_scheduler import RetryScheduler

__all__ = [
    "Adviser",
    "RetryAdviceConfig",
    "RetryScheduler",
    "ArrivalKind",
    "ExponentialBackoff",
    "FixedJitter",
    "AdvicePolicy",
    "make_retry_adviser",
]


def make_retry_adviser(config: RetryAdviceConfig, rng: Random) -> Adviser:
    """Returns the adviser for `config.way`. `rng`: its own random stream, different in each proxy."""
    if config.way == "appointments":
        return RetryScheduler(config, rng)
    if config.way == "exponential":
        return ExponentialBackoff(config, rng)
    return FixedJitter(config if config.way == "fixed" else replace(config, most_us=0), rng)
