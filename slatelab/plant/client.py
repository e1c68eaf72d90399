"""Retry behaviour of external clients: whether and when an attempt is repeated, and how long the client waits
for each attempt. Depends only on the scenario, the order and the outcome of the attempt."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Literal

from slatelab.scenario import Scenario

from .workload import Order

AttemptOutcome = Literal["served", "refused", "failed", "gone", "unheard", "gave-up"]
"""How an attempt ended: "served": status 200; "refused": 429 or 503; "failed": any other answer; "gone": the
connection broke after the whole request was written; "unheard": it broke before that or was never
established; "gave-up": the client's timeout expired."""


@dataclass(frozen=True, slots=True)
class Retry:
    """A retry of an order by its client."""

    at: int  # microseconds since the run's epoch


def attempt_timeout_at(scenario: Scenario, order: Order, sent: int) -> int:
    """When the client gives up the attempt that it sends at `sent`, in microseconds: after its timeout per
    attempt, and no later than the class's deadline, which counts from the arrival of the order."""
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
    """The retry after attempt number `attempt` (0 is the first) has ended at `now`; None if there is none. An
    unsafe order is retried only if the attempt cannot have run (unless the clients are reckless). A client that
    honours Retry-After waits as long as it says, at most proxy.max_retry_after; any other waits for its
    backoff. There is no retry after the class's deadline."""
    if end == "served" or attempt >= scenario.clients.retries:
        return None
    if not (
        _cannot_have_run(end) or scenario.classes[order.cls].effect == "safe" or scenario.clients.reckless
    ):
        return None
    requested_wait = (
        min(retry_after_us, scenario.proxy.max_retry_after)
        if end == "refused" and order.honours_retry_after
        else 0
    )
    wait = requested_wait if requested_wait > 0 else backoff(scenario, attempt, rng)
    deadline = order.at + scenario.classes[order.cls].deadline
    return Retry(now + wait) if now + wait < deadline else None


def _cannot_have_run(end: AttemptOutcome) -> bool:
    return end in ("refused", "unheard")


def backoff(scenario: Scenario, attempt: int, rng: random.Random) -> int:
    """Microseconds to wait after attempt number `attempt`. "none": 0. "fixed": `base`. "exponential":
    uniformly distributed between 0 and `base` x 2^attempt, which is full jitter (M. Brooker, Exponential
    Backoff And Jitter, AWS Architecture Blog 2015)."""
    clients = scenario.clients
    if clients.backoff == "none":
        return 0
    if clients.backoff == "fixed":
        return clients.base
    return round(rng.uniform(0, clients.base * 2**attempt))
