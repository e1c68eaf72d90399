"""The rule on nodes that have just started: all proxies together must not send one so much that it falls
over. This file owns the count of what came and the part of it that was sent knowingly. It must never ask the
node what it thinks.

The budget, stated once more here so that a mistake of the node's own count would show: in any window of
rules.fall_window, up to and with an attempt that came while the node was cold, there may come

    fall_multiple x cores x (integral over the window of the share of its capacity)
        + 2 x (heaviest attempt in the window)

work at speed 1. The share is `cold_from` up to the start, so a window that reaches back before it is whole,
and rises evenly to 1 over `warm_us`. The last term is the slack for chance, as sizes are random: one attempt
alone never pushes a node over. Stamps being what they are, the window counted is shorter by `Timeline.slack`
than the one budgeted for."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from slatelab.records import Came, Down, Record, Up
from slatelab.scenario import Scenario

from .report import Violation, history, ms
from .timeline import Timeline

KNOWING = 2 / 3  # the part of the work from proxies told of the start from which on it is their doing
SLACK = 2  # heaviest attempts


def fallible(scenario: Scenario, up: Up) -> bool:
    """Whether this start is cold, and of a kind that falls over; kinds that cannot be told apart by it count
    as such."""
    colds = [kind.cold for kind in scenario.tiers[up.tier].kind]
    alike = [cold for cold in colds if (cold.share, cold.span) == (up.cold_from, up.warm_us)]
    return up.warm_us > 0 and up.cold_from < 1 and any(cold.falls for cold in alike or colds)


def pushed_over(scenario: Scenario, timeline: Timeline, up: Up, came: Sequence[Came]) -> Violation | None:
    """What came to one cold life, in order of time. It is a violation where the node says that it fell, or
    where by the count above it must have, if KNOWING of the work in the window before came from proxies that
    were told of the start by the time they sent it, or count as told (`Timeline.informed`)."""
    fell = next((d for d in timeline.downs.get(up.node, ()) if d.life == up.life and d.why == "fell"), None)
    found = _fallen(timeline, up, came, fell, scenario.rules.fall_window) if fell else None
    return found or _counted(scenario, timeline, up, came)


def _fallen(timeline: Timeline, up: Up, came: Sequence[Came], fell: Down, length: int) -> Violation | None:
    window = _Window(timeline, up)
    for fact in came:
        if fell.t - length <= fact.t <= fell.t + timeline.slack(fell.t):
            window.add(fact)
    return window.blame(fell.t, "fell over while cold", fell) if window.knowingly() else None


def _counted(scenario: Scenario, timeline: Timeline, up: Up, came: Sequence[Came]) -> Violation | None:
    length, full = scenario.rules.fall_window, scenario.rules.fall_multiple * up.cores
    window = _Window(timeline, up)
    for fact in came:
        if fact.t >= up.t + up.warm_us:
            return None
        window.forget(fact.t - length + timeline.slack(fact.t))
        window.add(fact)
        budget = full * (_present(up, fact.t) - _present(up, fact.t - length))
        if window.work > budget and window.knowingly() and window.work > budget + window.slack() + 1:
            most = ms(round(budget + window.slack()))
            text = f"got {ms(window.work)} ms of work within {ms(length)} ms while cold, {most} at most"
            return window.blame(fact.t, text)
    return None


class _Window:
    """What came to a node in some time, and how much of it was sent by proxies that knew of its start."""

    def __init__(self, timeline: Timeline, up: Up) -> None:
        self.work = self.knowing = 0
        self._timeline, self._up = timeline, up
        self._came: deque[tuple[Came, int]] = deque()  # with the work that counts as sent knowingly

    def add(self, fact: Came) -> None:
        knowing = fact.work_us if self._timeline.informed(fact.proxy, self._up, fact.first) else 0
        self._came.append((fact, knowing))
        self.work += fact.work_us
        self.knowing += knowing

    def forget(self, until: int) -> None:
        while self._came and self._came[0][0].t <= until:
            fact, knowing = self._came.popleft()
            self.work -= fact.work_us
            self.knowing -= knowing

    def slack(self) -> int:
        return SLACK * max(fact.work_us for fact, _ in self._came)

    def knowingly(self) -> bool:
        return self.work > 0 and self.knowing >= KNOWING * self.work

    def blame(self, t: int, what: str, *also: Record) -> Violation:
        up = self._up
        share = f"{self.knowing / self.work:.0%} of the work came from proxies that were told of its start"
        facts = history([up], also, (fact for fact, _ in self._came), self._timeline.told_of(up))
        return Violation("cold-pushed-over", "", t, f"{up.node} (life {up.life}) {what}; {share}", facts)


def _present(up: Up, t: int) -> float:
    """Integral of the share of the capacity from the start to `t`, in microseconds; below 0 before the
    start."""
    past = t - up.t
    if past <= 0:
        return past * up.cold_from
    rising = min(past, up.warm_us)
    return rising * up.cold_from + (1 - up.cold_from) * rising * rising / (2 * up.warm_us) + past - rising
