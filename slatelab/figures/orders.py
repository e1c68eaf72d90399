"""Orders as their tries tell of them: how each ended, when, and what it was worth. This file owns the way
from tries to an order, and the allowance of tenants. It must never look at a node.

Worth: an order beyond its tenant's allowance is worth `proxy.over_share_worth` of its class. The allowance is
a token bucket (as in RFC 2697, one rate): it holds one second's worth, at least 1, is full at first, and each
order takes 1 at the time its first try was due."""

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
    """`cls` and `tenant` are "" where no try was ever taken. `end` is "served", "refused" or "failed"."""

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
        return self.end == "served" and self.latency <= self.aim

    @property
    def late(self) -> bool:
        return self.end == "served" and self.latency > self.aim


def orders(scenario: Scenario, facts: Facts) -> list[Order]:
    """All orders by the time at which they were due. Where no first try was taken, an order counts as due
    when it was first heard of."""
    found = _tried(facts)
    _ended(found, facts)
    _rate(scenario, found.values())
    inorder = sorted(found.values(), key=lambda order: (order.due, order.name))
    _share(scenario, inorder)
    return inorder


def _tried(facts: Facts) -> dict[str, Order]:
    found: dict[str, Order] = {}
    seen: set[str] = set()
    heard: list[Asked | BrokenOff | GaveUp] = [*facts.asked, *facts.broken, *facts.gave_up]
    for fact in sorted(heard, key=lambda fact: fact.t):
        if "/" in fact.request:
            continue
        name = order_id(fact.request)
        due = fact.intended if isinstance(fact, Asked) else fact.t
        order = found.get(name) or found.setdefault(name, Order(name, due))
        if isinstance(fact, Asked):
            order.due, order.cls, order.tenant = min(order.due, due), fact.cls, fact.tenant
        if fact.request not in seen:
            seen.add(fact.request)
            order.tries += 1
    return found


def _ended(found: dict[str, Order], facts: Facts) -> None:
    """The first answer 200 counts; without one, the last end of a try."""
    for fact in facts.ends:
        order = found.get(order_id(fact.request)) if "/" not in fact.request else None
        if order and order.end != "served":
            order.end = _end(fact)
            order.answered = fact.t


def _end(fact: Answered | BrokenOff | GaveUp) -> str:
    if not isinstance(fact, Answered):
        return "failed"
    return "served" if fact.status == 200 else "refused" if fact.status in REFUSALS else "failed"


def _rate(scenario: Scenario, found: Iterable[Order]) -> None:
    classes = {cls.name: cls for cls in scenario.classes}
    mean = sum(c.worth * c.share for c in scenario.classes) / sum(c.share for c in scenario.classes)
    for order in found:
        order.latency = order.answered - order.due
        order.worth = mean
        if order.cls:
            order.aim, order.worth = classes[order.cls].aim, classes[order.cls].worth


def _share(scenario: Scenario, inorder: list[Order]) -> None:
    rates = {tenant.name: tenant.allowance for tenant in scenario.tenants if tenant.allowance > 0}
    full = {name: max(1.0, rate) for name, rate in rates.items()}
    buckets = {name: (0, depth) for name, depth in full.items()}  # when looked at last, tokens then
    for order in inorder:
        if order.tenant in buckets:
            then, tokens = buckets[order.tenant]
            grown = max(0, order.due - then) / 1e6 * rates[order.tenant]
            tokens = min(full[order.tenant], tokens + grown)
            order.over = tokens < 1
            buckets[order.tenant] = order.due, tokens - (0 if order.over else 1)
            order.worth *= scenario.proxy.over_share_worth if order.over else 1


def goodput(some: Iterable[Order]) -> float | None:
    """Worth answered in time over worth asked for; None where nothing was."""
    asked = won = 0.0
    for order in some:
        asked += order.worth
        won += order.worth if order.in_time else 0.0
    return won / asked if asked else None


class Curve:
    """Goodput between any two times, over orders by the time they were due."""

    def __init__(self, inorder: list[Order]) -> None:
        self._due = [order.due for order in inorder]
        self._asked = [0.0, *accumulate(order.worth for order in inorder)]
        self._won = [0.0, *accumulate(order.worth if order.in_time else 0.0 for order in inorder)]

    def goodput(self, start: int, end: int) -> float | None:
        """Of what was due from `start` and before `end`; None where nothing was."""
        a, b = bisect_left(self._due, start), bisect_left(self._due, end)
        asked = self._asked[b] - self._asked[a]
        return (self._won[b] - self._won[a]) / asked if a < b and asked > 0 else None
