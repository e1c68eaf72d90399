"""The rules on all proxies together: attempts an order at the nodes, and orders refused while others that are worth
less were taken elsewhere. This file owns both counts. It must never blame a single proxy: each may have done what it
could by what it knew.

Both are held to a limit only where the scenario sets one (`rules.fleet_attempts`, `rules.inversions`)."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator

from slatelab.records import Answered, Asked, Came, Record, order_id
from slatelab.scenario import Scenario

from .case import REFUSALS
from .report import Violation

WINDOW_US = 5_000_000
ENOUGH = 20  # tries of a class at a proxy in a window, before their share says anything
REST = ""  # the proxies that have fewer, together

Tally = dict[tuple[str, str], list[int]]  # by proxy and class: tries, and how many were let in


def judge(scenario: Scenario, records: Collection[Record]) -> Iterator[Violation]:
    rules = scenario.rules
    if not (rules.fleet_attempts or rules.inversions):
        return
    end = max((fact.t for fact in records), default=0)
    found = attempts(scenario, records) if rules.fleet_attempts else None
    if found and found > rules.fleet_attempts:
        text = f"{found:.3f} attempts an order at the first tier, {rules.fleet_attempts:g} are allowed"
        yield Violation("fleet-attempts", "", end, text)
    share = priority_inversions(scenario, records) if rules.inversions else None
    if share and share > rules.inversions:
        most = f"{rules.inversions:.2%} allowed"
        text = f"{share:.2%} of the tries were refused where worth less was taken elsewhere, {most}"
        yield Violation("worth-inverted", "", end, text)


def attempts(scenario: Scenario, records: Iterable[Record]) -> float | None:
    """At nodes of the first tier for each order that a proxy took after the warm-up."""
    orders: set[str] = set()
    came: Counter[str] = Counter()
    for fact in records:
        if isinstance(fact, Asked) and "/" not in fact.request and fact.intended >= scenario.scenario.warmup:
            orders.add(order_id(fact.request))
        elif isinstance(fact, Came) and "/" not in fact.request:
            came[order_id(fact.request)] += 1
    return sum(came[order] for order in orders) / len(orders) if orders else None


def priority_inversions(scenario: Scenario, records: Iterable[Record]) -> float | None:
    """Of the tries in windows in which any was refused, the share that was refused although a class that is worth less
    for its work was let in more often at the other proxies together: for each proxy and class the gap between the two
    shares, times its tries. Proxies with too few tries of a class to say count as one, and are held against all, also
    themselves. Tries that nothing can be held against are left out; None where that is all of them."""
    value = {cls.name: cls.worth / max(1, cls.work.mean) for cls in scenario.classes}
    inverted, counted = 0.0, 0
    for tally in _windows(scenario, records).values():
        if all(tries == let_in for tries, let_in in tally.values()):
            continue
        for (proxy, cls), (tries, let_in) in _grouped(tally).items():
            less = [_elsewhere(tally, proxy, low) for low in value if value[low] < value[cls]]
            shares = [share for share in less if share is not None]
            if tries >= ENOUGH and (shares or not less):
                counted += tries
                inverted += max(0.0, max(shares, default=0.0) - let_in / tries) * tries
    return inverted / counted if counted else None


def _grouped(tally: Tally) -> Tally:
    groups: Tally = {}
    for (proxy, cls), (tries, let_in) in tally.items():
        row = groups.setdefault((proxy if tries >= ENOUGH else REST, cls), [0, 0])
        row[0] += tries
        row[1] += let_in
    return groups


def _elsewhere(tally: Tally, proxy: str, cls: str) -> float | None:
    """The share of a class that the other proxies let in; None where there were too few to say."""
    rows = [row for (other, name), row in tally.items() if name == cls and other != proxy]
    tries = sum(row[0] for row in rows)
    return sum(row[1] for row in rows) / tries if tries >= ENOUGH else None


def _windows(scenario: Scenario, records: Iterable[Record]) -> dict[int, Tally]:
    asked: dict[str, Asked] = {}
    refused: set[str] = set()
    for fact in records:
        if isinstance(fact, Asked) and fact.tier == 0 and fact.intended >= scenario.scenario.warmup:
            asked[fact.request] = fact
        elif isinstance(fact, Answered) and fact.status in REFUSALS:
            refused.add(fact.request)
    windows: dict[int, Tally] = defaultdict(dict)
    for request, fact in asked.items():
        row = windows[fact.intended // WINDOW_US].setdefault((fact.proxy, fact.cls), [0, 0])
        row[0] += 1
        row[1] += request not in refused
    return windows
