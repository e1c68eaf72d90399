"""Puts the figures of a run together. This file owns which orders each figure is about. It must never change
what a fact says, and needs nothing but the scenario and the records."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from slatelab.records import FaultBegan, FaultEnded, Record, order_id
from slatelab.scenario import Scenario

from .facts import Facts, facts
from .load import attempts_of, histogram, loads, wasted
from .orders import Curve, Order, goodput, orders
from .types import Figures, Group, Latency, Return, Series, Window, Worst

LONGEST_US = 120_000_000  # of the histograms
WINDOW_S = 10
BACK = 0.95
LASTING = (
    "freeze", "black-hole", "slow", "errors", "heavy-tail", "strip-headers", "discovery-down",
    "discovery-lies", "proxy-freeze", "peer-cut", "peer-mute", "peer-lossy",
)  # fmt: skip
Rate = Callable[[list[Order]], float | None]


def measure(scenario: Scenario, records: Iterable[Record]) -> Figures:
    """All figures of a run. `records` in any order; a million takes some seconds. Raises KeyError where the
    records name a class that the scenario does not have."""
    found = facts(records)
    everything = orders(scenario, found)
    last = max([found.last, scenario.scenario.duration - 1, *(order.due for order in everything[-1:])])
    return _figures(scenario, found, everything, last // 1_000_000 + 1)


def _figures(scenario: Scenario, facts: Facts, everything: list[Order], seconds: int) -> Figures:
    counted = [order for order in everything if order.due >= scenario.scenario.warmup]
    classes = _groups([cls.name for cls in scenario.classes], counted, lambda order: order.cls, goodput)
    tenants = _groups([t.name for t in scenario.tenants], counted, lambda order: order.tenant, _within)
    tries = _tries(facts, {order.name for order in counted})
    attempts = attempts_of(facts, tries)
    step, nodes = loads(facts, seconds)
    return Figures(
        goodput=goodput(counted),
        worth=sum(order.worth for order in counted),
        requests=len(counted),
        served=_count(counted, lambda order: order.end == "served"),
        in_time=_count(counted, lambda order: order.in_time),
        late=_count(counted, lambda order: order.late),
        refused=_count(counted, lambda order: order.end == "refused"),
        failed=_count(counted, lambda order: order.end == "failed"),
        unheard=_count(counted, lambda order: not order.cls),
        over_share=_count(counted, lambda order: order.over),
        attempts=_mean(sum(n * count for n, count in enumerate(attempts)), len(counted)),
        tries=_mean(sum(order.tries for order in counted), len(counted)),
        attempts_histogram=attempts,
        tries_histogram=histogram(order.tries for order in counted),
        wasted=wasted(facts, {order.name for order in counted}),
        latency=_latency(counted),
        classes=classes,
        tenants=tenants,
        worst_class=_worst(classes),
        worst_tenant=_worst(tenants),
        worst_window=_worst_window(scenario, counted),
        returns=_returns(scenario, facts, everything),
        series=_series(facts, everything, seconds),
        load_step=step,
        nodes=nodes,
    )


def _tries(facts: Facts, counted: set[str]) -> list[str]:
    """Requests of clients, each once, that were taken for these orders."""
    asked = (fact.request for fact in facts.asked)
    return list(dict.fromkeys(r for r in asked if "/" not in r and order_id(r) in counted))


def _count(some: list[Order], which: Callable[[Order], bool]) -> int:
    return sum(map(which, some))


def _mean(total: float, count: int) -> float | None:
    return total / count if count else None


def _within(some: list[Order]) -> float | None:
    return goodput(order for order in some if not order.over)


def _groups(names: list[str], counted: list[Order], of: Callable[[Order], str], rate: Rate) -> list[Group]:
    members: dict[str, list[Order]] = {name: [] for name in names}
    for order in counted:
        if of(order) in members:
            members[of(order)].append(order)
    return [_group(name, some, rate(some)) for name, some in members.items()]


def _group(name: str, some: list[Order], rate: float | None) -> Group:
    return Group(
        name=name,
        requests=len(some),
        in_time=_count(some, lambda order: order.in_time),
        late=_count(some, lambda order: order.late),
        refused=_count(some, lambda order: order.end == "refused"),
        failed=_count(some, lambda order: order.end == "failed"),
        over=_count(some, lambda order: order.over),
        goodput=rate,
        latency=_latency(some),
    )


def _latency(some: list[Order]) -> Latency:
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped, unused-ignore]

    hist = HdrHistogram(1, LONGEST_US, 3)
    taken = [max(0, order.latency) for order in some if order.end == "served"]
    for us in taken:
        hist.record_value(min(us, LONGEST_US))
    hdr = hist.encode().decode()
    if not taken:
        return Latency(hdr=hdr)
    most = max(taken)
    p50, p90, p99, p999 = (min(hist.get_value_at_percentile(p), most) / 1000 for p in (50, 90, 99, 99.9))
    mean = round(sum(taken) / len(taken) / 1000, 3)
    return Latency(len(taken), mean, p50, p90, p99, p999, most / 1000, hdr)


def _worst(groups: list[Group]) -> Worst | None:
    rated = [Worst(group.name, group.goodput) for group in groups if group.goodput is not None]
    return min(rated, key=lambda worst: worst.goodput, default=None)


def _worst_window(scenario: Scenario, counted: list[Order]) -> Window | None:
    """Windows begin at whole seconds, from the warm-up's end to the arrivals'."""
    curve = Curve(counted)
    first = -(-scenario.scenario.warmup // 1_000_000)
    end = -(-scenario.scenario.duration // 1_000_000)
    wide = max(1, min(WINDOW_S, end - first))
    found = []
    for start in range(first, max(first, end - wide) + 1):
        rate = curve.goodput(start * 1_000_000, (start + wide) * 1_000_000)
        if rate is not None:
            found.append(Window(start, wide, rate))
    return min(found, key=lambda window: window.goodput, default=None)


def _returns(scenario: Scenario, facts: Facts, everything: list[Order]) -> list[Return]:
    """One for each fault that is over; none where nothing was due between the warm-up and the first fault."""
    curve = Curve(everything)
    first = min((fact.t for fact in facts.began), default=0)
    before = curve.goodput(scenario.scenario.warmup, first)
    if before is None:
        return []
    until = scenario.scenario.duration
    return [
        Return(name, kind, ended, _back(curve, ended, until, BACK * before))
        for name, kind, ended in _over(facts)
    ]


def _over(facts: Facts) -> list[tuple[str, str, int]]:
    """Faults by name, with the kind of their first fact and when they were over: with their last fact, be it
    the end of what lasts, the start of what was killed or the one moment that was all. What lasts and has not
    ended is not over."""
    found: dict[str, tuple[str, int]] = {}
    under_way: Counter[str] = Counter()
    carried_out: list[FaultBegan | FaultEnded] = [*facts.began, *facts.ended]
    for fact in sorted(carried_out, key=lambda fact: fact.t):
        if fact.kind in LASTING:
            under_way[fact.name] += 1 if isinstance(fact, FaultBegan) else -1
        if fact.kind != "proxy-end":  # the lab's own look after a planned stop, whether or not there was need
            found[fact.name] = (found.get(fact.name, (fact.kind, 0))[0], fact.t)
    return [(name, kind, ended) for name, (kind, ended) in found.items() if under_way[name] <= 0]


def _back(curve: Curve, ended: int, until: int, enough: float) -> int | None:
    """Whole seconds from `ended` to the first second with enough goodput; seconds with no orders tell
    nothing."""
    for seconds, start in enumerate(range(ended, until, 1_000_000)):
        rate = curve.goodput(start, start + 1_000_000)
        if rate is not None and rate >= enough - 1e-9:
            return seconds
    return None


def _series(facts: Facts, everything: list[Order], seconds: int) -> Series:
    offered, in_time, late, refused, failed, attempts = ([0] * seconds for _ in range(6))
    worth, won = [0.0] * seconds, [0.0] * seconds
    for order in everything:
        at = order.due // 1_000_000
        offered[at] += 1
        worth[at] += order.worth
        won[at] += order.worth if order.in_time else 0
        served = in_time if order.in_time else late
        row = {"served": served, "refused": refused, "failed": failed}[order.end]
        row[at] += 1
    for came in facts.came:
        attempts[came.t // 1_000_000] += 0 if "/" in came.request else 1
    rates = [w / asked if asked else None for w, asked in zip(won, worth, strict=True)]
    return Series(offered, in_time, late, refused, failed, attempts, worth, rates)
