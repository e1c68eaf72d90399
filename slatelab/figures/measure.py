"""Computes the figures of a run from the scenario and the records, and selects the orders that each figure covers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from slatelab.records import FaultBegan, FaultEnded, Record, order_id
from slatelab.scenario import Scenario

from .facts import Facts, facts
from .load import attempts_of, histogram, loads, wasted
from .orders import Curve, Order, goodput, orders
from .types import Figures, Group, Latency, Return, Series, Window, Worst

MAX_LATENCY_US = 120_000_000  # of the histograms
WINDOW_S = 10
RECOVERED_SHARE = 0.95
LASTING_FAULTS = (
    "freeze", "black-hole", "slow", "errors", "heavy-tail", "strip-headers", "discovery-down",
    "discovery-lies", "proxy-freeze", "peer-cut", "peer-mute", "peer-lossy",
)  # fmt: skip
GoodputFunction = Callable[[list[Order]], float | None]


def measure(scenario: Scenario, records: Iterable[Record]) -> Figures:
    """All figures of a run. `records` may be in any order; a million takes some seconds. Raises KeyError if the records
    name a class that is not in the scenario."""
    run_facts = facts(records)
    all_orders = orders(scenario, run_facts)
    last = max([run_facts.last, scenario.scenario.duration - 1, *(order.due for order in all_orders[-1:])])
    return _figures(scenario, run_facts, all_orders, last // 1_000_000 + 1)


def _figures(scenario: Scenario, facts: Facts, all_orders: list[Order], seconds: int) -> Figures:
    orders_after_warmup = [order for order in all_orders if order.due >= scenario.scenario.warmup]
    classes = _groups(
        [cls.name for cls in scenario.classes], orders_after_warmup, lambda order: order.cls, goodput
    )
    tenants = _groups(
        [t.name for t in scenario.tenants],
        orders_after_warmup,
        lambda order: order.tenant,
        _goodput_within_allowance,
    )
    tries = _counted_requests(facts, {order.name for order in orders_after_warmup})
    attempts = attempts_of(facts, tries)
    step, nodes = loads(facts, seconds)
    return Figures(
        goodput=goodput(orders_after_warmup),
        worth=sum(order.worth for order in orders_after_warmup),
        requests=len(orders_after_warmup),
        served=_count(orders_after_warmup, lambda order: order.end == "served"),
        in_time=_count(orders_after_warmup, lambda order: order.in_time),
        late=_count(orders_after_warmup, lambda order: order.late),
        refused=_count(orders_after_warmup, lambda order: order.end == "refused"),
        failed=_count(orders_after_warmup, lambda order: order.end == "failed"),
        unheard=_count(orders_after_warmup, lambda order: not order.cls),
        over_share=_count(orders_after_warmup, lambda order: order.over),
        attempts=_mean(sum(n * count for n, count in enumerate(attempts)), len(orders_after_warmup)),
        tries=_mean(sum(order.tries for order in orders_after_warmup), len(orders_after_warmup)),
        attempts_histogram=attempts,
        tries_histogram=histogram(order.tries for order in orders_after_warmup),
        wasted=wasted(facts, {order.name for order in orders_after_warmup}),
        latency=_latency(orders_after_warmup),
        classes=classes,
        tenants=tenants,
        worst_class=_worst(classes),
        worst_tenant=_worst(tenants),
        worst_window=_worst_window(scenario, orders_after_warmup),
        returns=_recoveries(scenario, facts, all_orders),
        series=_series(facts, all_orders, seconds),
        load_step=step,
        nodes=nodes,
    )


def _counted_requests(facts: Facts, order_names: set[str]) -> list[str]:
    """Requests of clients, each once, that were taken for these orders."""
    asked = (fact.request for fact in facts.asked)
    return list(dict.fromkeys(r for r in asked if "/" not in r and order_id(r) in order_names))


def _count(group: list[Order], which: Callable[[Order], bool]) -> int:
    return sum(map(which, group))


def _mean(total: float, count: int) -> float | None:
    return total / count if count else None


def _goodput_within_allowance(group: list[Order]) -> float | None:
    return goodput(order for order in group if not order.over)


def _groups(
    names: list[str], group_orders: list[Order], of: Callable[[Order], str], rate: GoodputFunction
) -> list[Group]:
    members: dict[str, list[Order]] = {name: [] for name in names}
    for order in group_orders:
        if of(order) in members:
            members[of(order)].append(order)
    return [_group(name, group, rate(group)) for name, group in members.items()]


def _group(name: str, group: list[Order], rate: float | None) -> Group:
    return Group(
        name=name,
        requests=len(group),
        in_time=_count(group, lambda order: order.in_time),
        late=_count(group, lambda order: order.late),
        refused=_count(group, lambda order: order.end == "refused"),
        failed=_count(group, lambda order: order.end == "failed"),
        over=_count(group, lambda order: order.over),
        goodput=rate,
        latency=_latency(group),
    )


def _latency(group: list[Order]) -> Latency:
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped, unused-ignore]

    hist = HdrHistogram(1, MAX_LATENCY_US, 3)
    latencies = [max(0, order.latency) for order in group if order.end == "served"]
    for us in latencies:
        hist.record_value(min(us, MAX_LATENCY_US))
    hdr = hist.encode().decode()
    if not latencies:
        return Latency(hdr=hdr)
    longest = max(latencies)
    p50, p90, p99, p999 = (min(hist.get_value_at_percentile(p), longest) / 1000 for p in (50, 90, 99, 99.9))
    mean = round(sum(latencies) / len(latencies) / 1000, 3)
    return Latency(len(latencies), mean, p50, p90, p99, p999, longest / 1000, hdr)


def _worst(groups: list[Group]) -> Worst | None:
    rated = [Worst(group.name, group.goodput) for group in groups if group.goodput is not None]
    return min(rated, key=lambda worst: worst.goodput, default=None)


def _worst_window(scenario: Scenario, orders_after_warmup: list[Order]) -> Window | None:
    """The window with the lowest goodput. Windows start at whole seconds, from the end of the warm-up to the end of the
    arrivals."""
    curve = Curve(orders_after_warmup)
    first = -(-scenario.scenario.warmup // 1_000_000)
    end = -(-scenario.scenario.duration // 1_000_000)
    length = max(1, min(WINDOW_S, end - first))
    windows = []
    for start in range(first, max(first, end - length) + 1):
        rate = curve.goodput(start * 1_000_000, (start + length) * 1_000_000)
        if rate is not None:
            windows.append(Window(start, length, rate))
    return min(windows, key=lambda window: window.goodput, default=None)


def _recoveries(scenario: Scenario, facts: Facts, all_orders: list[Order]) -> list[Return]:
    """One entry for each fault that has ended; empty if no order was due between the warm-up and the first fault."""
    curve = Curve(all_orders)
    first = min((fact.t for fact in facts.began), default=0)
    before = curve.goodput(scenario.scenario.warmup, first)
    if before is None:
        return []
    until = scenario.scenario.duration
    return [
        Return(name, kind, ended, _recovery_seconds(curve, ended, until, RECOVERED_SHARE * before))
        for name, kind, ended in _ended_faults(facts)
    ]


def _ended_faults(facts: Facts) -> list[tuple[str, str, int]]:
    """Name, kind and end of each fault that has ended. The kind is that of its first fact; the end is its last fact:
    the end of a lasting fault, the start of a killed process, or the only event of the fault. Lasting faults that
    have not ended are left out."""
    ends_by_name: dict[str, tuple[str, int]] = {}
    active: Counter[str] = Counter()
    carried_out: list[FaultBegan | FaultEnded] = [*facts.began, *facts.ended]
    for fact in sorted(carried_out, key=lambda fact: fact.t):
        if fact.kind in LASTING_FAULTS:
            active[fact.name] += 1 if isinstance(fact, FaultBegan) else -1
        if fact.kind != "proxy-end":  # the lab's own check after a planned stop, even if the proxy had exited
            ends_by_name[fact.name] = (ends_by_name.get(fact.name, (fact.kind, 0))[0], fact.t)
    return [(name, kind, ended) for name, (kind, ended) in ends_by_name.items() if active[name] <= 0]


def _recovery_seconds(curve: Curve, ended: int, until: int, threshold: float) -> int | None:
    """Whole seconds from `ended` to the first second with enough goodput; seconds without orders are skipped. None if
    there is none before `until`."""
    for seconds, start in enumerate(range(ended, until, 1_000_000)):
        rate = curve.goodput(start, start + 1_000_000)
        if rate is not None and rate >= threshold - 1e-9:
            return seconds
    return None


def _series(facts: Facts, all_orders: list[Order], seconds: int) -> Series:
    offered, in_time, late, refused, failed, attempts = ([0] * seconds for _ in range(6))
    worth, earned = [0.0] * seconds, [0.0] * seconds
    for order in all_orders:
        at = order.due // 1_000_000
        offered[at] += 1
        worth[at] += order.worth
        earned[at] += order.worth if order.in_time else 0
        served = in_time if order.in_time else late
        row = {"served": served, "refused": refused, "failed": failed}[order.end]
        row[at] += 1
    for came in facts.came:
        attempts[came.t // 1_000_000] += 0 if "/" in came.request else 1
    rates = [w / asked if asked else None for w, asked in zip(earned, worth, strict=True)]
    return Series(offered, in_time, late, refused, failed, attempts, worth, rates)
