"""How fast a core of a node works from moment to moment: speed, cold start, slowness, pauses, choking,
frozen. This file owns the pieces of time in which that is even or rises evenly. It must never know what is
worked on.

Times are microseconds, with fractions: a node's work ends between two of the engine's whole ones."""

from __future__ import annotations

import random
from math import inf, sqrt

from slatelab.scenario.types import Choke, Pause

from .node_cold import WarmupRamp


class Overdrive:
    """Whether a node chokes: on when it has held more than `at` a core for `over`, off again when it has held
    fewer than `below` a core for `rest`, or after `most`."""

    __slots__ = ("_begun", "_cores", "_rule", "_since", "due", "on")

    def __init__(self, rule: Choke, cores: int) -> None:
        self._rule, self._cores = rule, cores
        self._begun = self._since = self.due = inf  # _since: when that which turns it began
        self.on = False

    @property
    def slower(self) -> float:
        return self._rule.slower if self.on else 1.0

    def tell(self, t: float, held: int) -> None:
        """So many are held from t on."""
        rule, a_core = self._rule, held / self._cores
        if not (a_core < rule.below if self.on else a_core > rule.at):
            self._since = inf
        elif self._since == inf:
            self._since = t
        self.due = self._since + (rule.rest if self.on else rule.over)
        if self.on:
            self.due = min(self.due, self._begun + rule.most)

    def turn(self, t: float, held: int) -> None:
        """Goes on or off at t if that is due."""
        if t >= self.due:
            self.on, self._begun, self._since = not self.on, t, inf
            self.tell(t, held)


class Pauses:
    """Pauses of one length; from the end of one to the next (and from the start to the first) it is `every`
    on average, exponentially distributed."""

    __slots__ = ("_rng", "_rule", "due", "on")

    def __init__(self, rule: Pause, rng: random.Random, now: int) -> None:
        self._rule, self._rng = rule, rng
        self.on = False
        self.due = now + self._gap()

    def turn(self, t: float) -> None:
        """Begins or ends one at t if that is due."""
        if t >= self.due:
            self.on = not self.on
            self.due += self._rule.length if self.on else self._gap()

    def _gap(self) -> int:
        return max(1, round(self._rng.expovariate(1 / self._rule.every)))


class Pace:
    """The work that one core does each microsecond (at speed 1: 1): from `begun` until `until` it is `level`
    and rises by `slope` each microsecond."""

    __slots__ = ("begun", "choke", "frozen", "level", "pauses", "ramp", "slope", "slow", "speed", "until")

    def __init__(
        self, now: int, speed: float, ramp: WarmupRamp, choke: Overdrive | None, pauses: Pauses | None
    ) -> None:
        self.speed, self.ramp, self.choke, self.pauses = speed, ramp, choke, pauses
        self.slow, self.frozen = 1.0, False
        self.refresh(now)

    def refresh(self, t: float) -> None:
        """Begins a new piece at t, by all that holds now."""
        stands = self.frozen or (self.pauses is not None and self.pauses.on)
        whole = 0.0 if stands else self.speed / self.slow / (self.choke.slower if self.choke else 1.0)
        self.begun = t
        self.level = whole * self.ramp.share(t)
        self.slope = whole * self.ramp.slope(t)
        self._look_ahead(t)

    def held(self, t: float, count: int) -> None:
        """So many requests are held from t on."""
        if self.choke:
            self.choke.tell(t, count)
            self._look_ahead(self.begun)

    def turn(self, held: int) -> None:
        """At `until`: goes on to the next piece, which ends later."""
        t = self.until
        if self.choke:
            self.choke.turn(t, held)
        if self.pauses:
            self.pauses.turn(t)
        self.refresh(t)

    def _look_ahead(self, t: float) -> None:
        self.until = self.ramp.until(t)
        if self.choke and self.choke.due < self.until:
            self.until = self.choke.due
        if self.pauses and self.pauses.due < self.until:
            self.until = self.pauses.due

    def work(self, t: float, span: float) -> float:
        """What a core does in `span` from t on, within the piece; exact."""
        if not self.slope:
            return self.level * span
        return span * (self.level + self.slope * (t - self.begun + span / 2))

    def time(self, t: float, work: float) -> float:
        """How long a core takes from t on for so much work (over 0) if the piece goes on; inf where it stands
        still. With a slope the root of work = level x + slope x^2 / 2, in the form that does not cancel."""
        if not self.slope:
            return work / self.level if self.level else inf
        level = self.level + self.slope * (t - self.begun)
        return 2 * work / (level + sqrt(level * level + 2 * self.slope * work))
