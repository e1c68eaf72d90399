"""The rule on nodes that have just started: all proxies together must not overload a cold node so that it crashes.
Sums the work that arrived, and the part of it sent by proxies that were informed of the start, independently of the
node's own count.

The budget is defined again here, so that an error in the node's own count is detected. In any window of
rules.fall_window that ends with an attempt that arrived while the node was cold, the work at speed 1 may be at most

    fall_multiple x cores x (integral over the window of the share of its capacity)
        + 2 x (heaviest attempt in the window)

The share is `cold_from` up to the start, so a window that reaches back before the start has its full budget, and rises
linearly to 1 over `warm_us`. The last term allows for random sizes: a single attempt never overloads a node. Because
timestamps are inexact, the window that is summed is shorter by `Timeline.slack` than the one budgeted for."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from slatelab.records import Came, Down, Record, Up
from slatelab.scenario import Scenario

from .report import Violation, history, ms
from .timeline import Timeline

INFORMED_SHARE = 2 / 3  # violation if informed proxies sent at least this share of the work
SLACK_REQUESTS = 2  # times the heaviest attempt


def can_crash_cold(scenario: Scenario, start: Up) -> bool:
    """Whether this start is cold and of a kind that can crash. If the cold start does not identify one kind, one such
    kind is enough."""
    colds = [kind.cold for kind in scenario.tiers[start.tier].kind]
    matching = [cold for cold in colds if (cold.share, cold.span) == (start.cold_from, start.warm_us)]
    return start.warm_us > 0 and start.cold_from < 1 and any(cold.falls for cold in matching or colds)


def cold_overload(
    scenario: Scenario, timeline: Timeline, start: Up, came: Sequence[Came]
) -> Violation | None:
    """Judges the attempts that arrived in one cold life, given in order of time. It is a violation if the node
    reports a crash, or must have crashed by the budget above, and at least INFORMED_SHARE of the work in the window
    before came from proxies that had been informed of the start when they sent it, or count as
    informed (`Timeline.informed`)."""
    crash = next(
        (d for d in timeline.downs.get(start.node, ()) if d.life == start.life and d.why == "fell"), None
    )
    violation = _crash_violation(timeline, start, came, crash, scenario.rules.fall_window) if crash else None
    return violation or _budget_violation(scenario, timeline, start, came)


def _crash_violation(
    timeline: Timeline, start: Up, came: Sequence[Came], crash: Down, window_us: int
) -> Violation | None:
    window = _Window(timeline, start)
    for fact in came:
        if crash.t - window_us <= fact.t <= crash.t + timeline.slack(crash.t):
            window.add(fact)
    return window.violation(crash.t, "fell over while cold", crash) if window.mostly_informed() else None


def _budget_violation(
    scenario: Scenario, timeline: Timeline, start: Up, came: Sequence[Came]
) -> Violation | None:
    window_us, budget_rate = scenario.rules.fall_window, scenario.rules.fall_multiple * start.cores
    window = _Window(timeline, start)
    for fact in came:
        if fact.t >= start.t + start.warm_us:
            return None
        window.drop_until(fact.t - window_us + timeline.slack(fact.t))
        window.add(fact)
        budget = budget_rate * (_share_integral(start, fact.t) - _share_integral(start, fact.t - window_us))
        if window.work > budget and window.mostly_informed() and window.work > budget + window.slack() + 1:
            limit = ms(round(budget + window.slack()))
            text = f"got {ms(window.work)} ms of work within {ms(window_us)} ms while cold, {limit} at most"
            return window.violation(fact.t, text)
    return None


class _Window:
    """The work that arrived at a node in a time window, and the part of it sent by proxies informed of its start."""

    def __init__(self, timeline: Timeline, start: Up) -> None:
        self.work = self.informed_work = 0
        self._timeline, self._start = timeline, start
        # Entries are (attempt, its work if an informed proxy sent it, else 0).
        self._arrivals: deque[tuple[Came, int]] = deque()

    def add(self, fact: Came) -> None:
        informed_work = fact.work_us if self._timeline.informed(fact.proxy, self._start, fact.first) else 0
        self._arrivals.append((fact, informed_work))
        self.work += fact.work_us
        self.informed_work += informed_work

    def drop_until(self, until: int) -> None:
        while self._arrivals and self._arrivals[0][0].t <= until:
            fact, informed_work = self._arrivals.popleft()
            self.work -= fact.work_us
            self.informed_work -= informed_work

    def slack(self) -> int:
        return SLACK_REQUESTS * max(fact.work_us for fact, _ in self._arrivals)

    def mostly_informed(self) -> bool:
        return self.work > 0 and self.informed_work >= INFORMED_SHARE * self.work

    def violation(self, t: int, event: str, *more_facts: Record) -> Violation:
        start = self._start
        share = (
            f"{self.informed_work / self.work:.0%} of the work came from proxies that were told of its start"
        )
        facts = history(
            [start], more_facts, (fact for fact, _ in self._arrivals), self._timeline.starts_told(start)
        )
        return Violation(
            "cold-pushed-over", "", t, f"{start.node} (life {start.life}) {event}; {share}", facts
        )


def _share_integral(start: Up, t: int) -> float:
    """Integral of the share of the capacity from the start of the node to `t`, in microseconds; negative before the
    start."""
    elapsed = t - start.t
    if elapsed <= 0:
        return elapsed * start.cold_from
    rising = min(elapsed, start.warm_us)
    return (
        rising * start.cold_from
        + (1 - start.cold_from) * rising * rising / (2 * start.warm_us)
        + elapsed
        - rising
    )
