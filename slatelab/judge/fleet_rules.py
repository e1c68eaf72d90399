"""The rules on all proxies together: attempts per order at the nodes, and orders refused while orders of lower worth
were accepted by other proxies. Violations name no single proxy: each may have decided correctly from what it knew.

Both are checked only if the scenario sets a limit (`rules.fleet_attempts`, `rules.inversions`)."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator

from slatelab.records import Answered, Asked, Came, Record, order_id
from slatelab.scenario import Scenario

from .case import REFUSALS
from .report import Violation

WINDOW_US = 5_000_000
MIN_ATTEMPTS = 20  # attempts of a class at a proxy in a window; with fewer their share is not significant
OTHER_PROXIES = ""  # stands for all proxies with fewer attempts, taken together

AttemptCounts = dict[tuple[str, str], list[int]]  # by proxy and class: attempts, and how many were accepted


def judge(scenario: Scenario, records: Collection[Record]) -> Iterator[Violation]:
    """Checks the limits on attempts per order and on priority inversions, if the scenario sets them."""
    rules = scenario.rules
    if not (rules.fleet_attempts or rules.inversions):
        return
    end = max((fact.t for fact in records), default=0)
    per_order = attempts_per_order(scenario, records) if rules.fleet_attempts else None
    if per_order and per_order > rules.fleet_attempts:
        text = f"{per_order:.3f} attempts an order at the first tier, {rules.fleet_attempts:g} are allowed"
        yield Violation("fleet-attempts", "", end, text)
    inverted_share = priority_inversions(scenario, records) if rules.inversions else None
    if inverted_share and inverted_share > rules.inversions:
        limit = f"{rules.inversions:.2%} allowed"
        text = f"{inverted_share:.2%} of the tries were refused where worth less was taken elsewhere, {limit}"
        yield Violation("worth-inverted", "", end, text)


def attempts_per_order(scenario: Scenario, records: Iterable[Record]) -> float | None:
    """Attempts at nodes of the first tier per order that a proxy accepted after the warm-up; None without orders."""
    orders: set[str] = set()
    arrivals: Counter[str] = Counter()
    for fact in records:
        if isinstance(fact, Asked) and "/" not in fact.request and fact.intended >= scenario.scenario.warmup:
            orders.add(order_id(fact.request))
        elif isinstance(fact, Came) and "/" not in fact.request:
            arrivals[order_id(fact.request)] += 1
    return sum(arrivals[order] for order in orders) / len(orders) if orders else None


def priority_inversions(scenario: Scenario, records: Iterable[Record]) -> float | None:
    """The share of attempts that were refused although a class with less worth per work was accepted more often by
    the other proxies together. Counts windows in which any attempt was refused: for each proxy and class, the gap
    between the two accepted shares times its attempts. Proxies with too few attempts of a class are taken together
    and compared with all proxies, including themselves. Attempts without a comparison are left out; None if that is
    all of them."""
    worth_per_work = {cls.name: cls.worth / max(1, cls.work.mean) for cls in scenario.classes}
    inverted, total = 0.0, 0
    for counts in _windows(scenario, records).values():
        if all(attempts == accepted for attempts, accepted in counts.values()):
            continue
        for (proxy, cls), (attempts, accepted) in _grouped(counts).items():
            elsewhere = [
                _elsewhere(counts, proxy, cheaper)
                for cheaper in worth_per_work
                if worth_per_work[cheaper] < worth_per_work[cls]
            ]
            accepted_shares = [share for share in elsewhere if share is not None]
            if attempts >= MIN_ATTEMPTS and (accepted_shares or not elsewhere):
                total += attempts
                inverted += max(0.0, max(accepted_shares, default=0.0) - accepted / attempts) * attempts
    return inverted / total if total else None


def _grouped(counts: AttemptCounts) -> AttemptCounts:
    groups: AttemptCounts = {}
    for (proxy, cls), (attempts, accepted) in counts.items():
        row = groups.setdefault((proxy if attempts >= MIN_ATTEMPTS else OTHER_PROXIES, cls), [0, 0])
        row[0] += attempts
        row[1] += accepted
    return groups


def _elsewhere(counts: AttemptCounts, proxy: str, cls: str) -> float | None:
    """The accepted share of a class at the other proxies; None if they had too few attempts."""
    rows = [row for (other, name), row in counts.items() if name == cls and other != proxy]
    attempts = sum(row[0] for row in rows)
    return sum(row[1] for row in rows) / attempts if attempts >= MIN_ATTEMPTS else None


def _windows(scenario: Scenario, records: Iterable[Record]) -> dict[int, AttemptCounts]:
    asked: dict[str, Asked] = {}
    refused: set[str] = set()
    for fact in records:
        if isinstance(fact, Asked) and fact.tier == 0 and fact.intended >= scenario.scenario.warmup:
            asked[fact.request] = fact
        elif isinstance(fact, Answered) and fact.status in REFUSALS:
            refused.add(fact.request)
    windows: dict[int, AttemptCounts] = defaultdict(dict)
    for request, fact in asked.items():
        row = windows[fact.intended // WINDOW_US].setdefault((fact.proxy, fact.cls), [0, 0])
        row[0] += 1
        row[1] += request not in refused
    return windows
