"""What an outside caller does when a try has ended. This file owns the retry habits of clients: whether,
when, and how long a try is waited for. It must never look at anything but the scenario, the order and the end
it was given."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Literal

from slatelab.scenario import Scenario

from .workload import Order

AttemptOutcome = Literal["served", "refused", "failed", "gone", "unheard", "gave-up"]
"""How a try ended: "served" 200; "refused" 429 or 503; "failed" any other answer; "gone" the connection broke
after the whole request was written; "unheard" before that, or it never came up; "gave-up" the caller's patience
was over."""


@dataclass(frozen=True, slots=True)
class Retry:
    at: int  # microseconds since the run's epoch


def attempt_timeout_at(scenario: Scenario, order: Order, sent: int) -> int:
    """When the client gives up the try that it sends at `sent`: its patience of one try, and never later than
    the class's deadline counted from the order itself, over all tries."""
    return min(sent + order.patience_us, order.at + scenario.classes[order.cls].deadline)


def next_retry(
    scenario: Scenario,
    order: Order,
    attempt: int,
    now: int,
    end: AttemptOutcome,
    retry_after_us: int,
    rng: random.Random,
) -> Retry | None:
    """The next try after number `attempt` (0 the first) has ended at `now`; None where there is none. An
    unsafe order comes back only if nothing can have run, a client that honours Retry-After when it says (at
    most proxy.max_retry_after later), any other after its backoff, and nobody after the class's deadline."""
    if end == "served" or attempt >= scenario.clients.retries:
        return None
    if not (_harmless(end) or scenario.classes[order.cls].effect == "safe" or scenario.clients.reckless):
        return None
    told = (
        min(retry_after_us, scenario.proxy.max_retry_after)
        if end == "refused" and order.honours_retry_after
        else 0
    )
    wait = told if told > 0 else backoff(scenario, attempt, rng)
    last = order.at + scenario.classes[order.cls].deadline
    return Retry(now + wait) if now + wait < last else None


def _harmless(end: AttemptOutcome) -> bool:
    return end in ("refused", "unheard")


def backoff(scenario: Scenario, attempt: int, rng: random.Random) -> int:
    """Microseconds to wait after try number `attempt`. "none": 0. "fixed": `base`. "exponential": evenly
    between 0 and `base` x 2^attempt, which is full jitter (M. Brooker, Exponential Backoff And Jitter, AWS
    Architecture Blog 2015)."""
    habits = scenario.clients
    if habits.backoff == "none":
        return 0
    if habits.backoff == "fixed":
        return habits.base
    return round(rng.uniform(0, habits.base * 2**attempt))
