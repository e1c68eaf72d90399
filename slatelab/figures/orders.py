"""Derives orders from the facts about their attempts: how and when each order ended and what it was worth. Facts of
nodes are not used.

Worth: an order beyond its tenant's allowance has the share `proxy.over_share_worth` of the worth of its class. The
allowance is a token bucket (as in RFC 2697, one rate): it holds the tokens of one second, at least 1, starts full, and
each order takes 1 at the time its first attempt was due."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from slatelab.records import Answered, Asked, BrokenOff, GaveUp, order_id
from slatelab.scenario import Scenario

from .facts import Facts

REFUSALS = (429, 503)


@dataclass(slots=True)
class Order:
    """One order. Times are in microseconds; `cls` and `tenant` are "" if no attempt was ever accepted; `end` is
    "served", "refused" or "failed"; `over`: beyond the tenant's allowance."""

    name: str
    due: int
    cls: str = ""
    tenant: str = ""
    tries: int = 0
    end: str = "failed"
    answered: int = 0
    latency: int = 0
    aim: int = 0
    worth: float = 0.0
    over: bool = False

    @property
    def in_time(self) -> bool:
        """Whether the order was served within its class's aim."""
        return self.end == "served" and self.latency <= self.aim

    @property
    def late(self) -> bool:
        """Whether the order was served after its class's aim."""
        return self.end == "served" and self.latency > self.aim


def orders(scenario: Scenario, facts: Facts) -> list[Order]:
    """All orders sorted by the time at which they were due. An order whose first attempt was not accepted counts as due
    at the first fact about it."""
    by_name = _collect_attempts(facts)
    _set_outcomes(by_name, facts)
    _set_worth(scenario, by_name.values())
    sorted_orders = sorted(by_name.values(), key=lambda order: (order.due, order.name))
    _apply_allowances(scenario, sorted_orders)
    return sorted_orders


def _collect_attempts(facts: Facts) -> dict[str, Order]:
    by_name: dict[str, Order] = {}
    seen: set[str] = set()
    observed: list[Asked | BrokenOff | GaveUp] = [*facts.asked, *facts.broken, *facts.gave_up]
    for fact in sorted(observed, key=lambda fact: fact.t):
        if "/" in fact.request:
            continue
        name = order_id(fact.request)
        due = fact.intended if isinstance(fact, Asked) else fact.t
        order = by_name.get(name) or by_name.setdefault(name, Order(name, due))
        if isinstance(fact, Asked):
            order.due, order.cls, order.tenant = min(order.due, due), fact.cls, fact.tenant
        if fact.request not in seen:
            seen.add(fact.request)
            order.tries += 1
    return by_name


def _set_outcomes(by_name: dict[str, Order], facts: Facts) -> None:
    """Sets how each order ended: by its first answer 200, or else by the last end of an attempt."""
    for fact in facts.ends:
        order = by_name.get(order_id(fact.request)) if "/" not in fact.request else None
        if order and order.end != "served":
            order.end = _outcome(fact)
            order.answered = fact.t


def _outcome(fact: Answered | BrokenOff | GaveUp) -> str:
    if not isinstance(fact, Answered):
        return "failed"
    return "served" if fact.status == 200 else "refused" if fact.status in REFUSALS else "failed"


def _set_worth(scenario: Scenario, by_name: Iterable[Order]) -> None:
    classes = {cls.name: cls for cls in scenario.classes}
    mean = sum(c.worth * c.share for c in scenario.classes) / sum(c.share for c in scenario.classes)
    for order in by_name:
        order.latency = order.answered - order.due
        order.worth = mean
        if order.cls:
            order.aim, order.worth = classes[order.cls].aim, classes[order.cls].worth


def _apply_allowances(scenario: Scenario, sorted_orders: list[Order]) -> None:
    rates = {tenant.name: tenant.allowance for tenant in scenario.tenants if tenant.allowance > 0}
    full = {name: max(1.0, rate) for name, rate in rates.items()}
    # By tenant: time of the last update, tokens at that time.
    buckets = {name: (0, depth) for name, depth in full.items()}
    for order in sorted_orders:
        if order.tenant in buckets:
            then, tokens = buckets[order.tenant]
            grown = max(0, order.due - then) / 1e6 * rates[order.tenant]
            tokens = min(full[order.tenant], tokens + grown)
            order.over = tokens < 1
            buckets[order.tenant] = order.due, tokens - (0 if order.over else 1)
            order.worth *= scenario.proxy.over_share_worth if order.over else 1


def goodput(group: Iterable[Order]) -> float | None:
    """Worth answered in time divided by the worth requested; None if there was none."""
    asked = earned = 0.0
    for order in group:
        asked += order.worth
        earned += order.worth if order.in_time else 0.0
    return earned / asked if asked else None


class Curve:
    """Goodput between any two times, for orders sorted by the time they were due."""

    def __init__(self, sorted_orders: list[Order]) -> None:
        self._due = [order.due for order in sorted_orders]
        self._asked = [0.0, *accumulate(order.worth for order in sorted_orders)]
        self._earned = [0.0, *accumulate(order.worth if order.in_time else 0.0 for order in sorted_orders)]

    def goodput(self, start: int, end: int) -> float | None:
        """Goodput of the orders due from `start` (included) until `end` (excluded); None if there are none."""
        a, b = bisect_left(self._due, start), bisect_left(self._due, end)
        asked = self._asked[b] - self._asked[a]
        return (self._earned[b] - self._earned[a]) / asked if a < b and asked > 0 else None
