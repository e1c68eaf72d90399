"""The speed of a node's cores over time: base speed, cold start, slowdown, pauses, choking and freezes. Time is
divided into pieces in which the speed is constant or rises linearly.

Times are in microseconds with fractions: work on a node ends between the whole microseconds of the engine."""

from __future__ import annotations

import random
from math import inf, sqrt

from slatelab.scenario.types import Choke, Pause

from .node_cold import WarmupRamp


class ChokeState:
    """Whether a node is choked: `on` after it has held more than `at` requests per core for `over`, off again
    after it has held fewer than `below` per core for `rest`, or `most` after it was choked."""

    __slots__ = ("_condition_since", "_cores", "_on_since", "_settings", "due", "on")

    def __init__(self, settings: Choke, cores: int) -> None:
        self._settings, self._cores = settings, cores
        # `_condition_since`: when the condition for the next change began to hold; inf if it does not hold.
        self._on_since = self._condition_since = self.due = inf
        self.on = False

    @property
    def slowdown(self) -> float:
        """The current slowdown factor; 1 if the node is not choked."""
        return self._settings.slower if self.on else 1.0

    def set_held(self, t: float, held: int) -> None:
        """The node holds `held` requests from t on."""
        settings, per_core = self._settings, held / self._cores
        if not (per_core < settings.below if self.on else per_core > settings.at):
            self._condition_since = inf
        elif self._condition_since == inf:
            self._condition_since = t
        self.due = self._condition_since + (settings.rest if self.on else settings.over)
        if self.on:
            self.due = min(self.due, self._on_since + settings.most)

    def toggle_if_due(self, t: float, held: int) -> None:
        """Turns on or off at t if that is due."""
        if t >= self.due:
            self.on, self._on_since, self._condition_since = not self.on, t, inf
            self.set_held(t, held)


class Pauses:
    """Pauses of a fixed length. The gap between the end of a pause and the next one (and before the first) is
    exponentially distributed with mean `every`."""

    __slots__ = ("_rng", "_settings", "due", "on")

    def __init__(self, settings: Pause, rng: random.Random, now: int) -> None:
        self._settings, self._rng = settings, rng
        self.on = False
        self.due = now + self._draw_gap()

    def toggle_if_due(self, t: float) -> None:
        """Starts or ends a pause at t if that is due."""
        if t >= self.due:
            self.on = not self.on
            self.due += self._settings.length if self.on else self._draw_gap()

    def _draw_gap(self) -> int:
        return max(1, round(self._rng.expovariate(1 / self._settings.every)))


class CorePace:
    """The work that one core does per microsecond (at speed 1: 1). In the current piece, from `start` to `until`,
    it begins at `level` and rises by `slope` per microsecond."""

    __slots__ = ("choke", "frozen", "level", "pauses", "ramp", "slope", "slow", "speed", "start", "until")

    def __init__(
        self, now: int, speed: float, ramp: WarmupRamp, choke: ChokeState | None, pauses: Pauses | None
    ) -> None:
        self.speed, self.ramp, self.choke, self.pauses = speed, ramp, choke, pauses
        self.slow, self.frozen = 1.0, False
        self.refresh(now)

    def refresh(self, t: float) -> None:
        """Starts a new piece at t from the current conditions."""
        stopped = self.frozen or (self.pauses is not None and self.pauses.on)
        full_level = 0.0 if stopped else self.speed / self.slow / (self.choke.slowdown if self.choke else 1.0)
        self.start = t
        self.level = full_level * self.ramp.share(t)
        self.slope = full_level * self.ramp.slope(t)
        self._set_end(t)

    def set_held(self, t: float, count: int) -> None:
        """The node holds `count` requests from t on."""
        if self.choke:
            self.choke.set_held(t, count)
            self._set_end(self.start)

    def next_piece(self, held: int) -> None:
        """To be called at `until`: starts the next piece, which ends later."""
        t = self.until
        if self.choke:
            self.choke.toggle_if_due(t, held)
        if self.pauses:
            self.pauses.toggle_if_due(t)
        self.refresh(t)

    def _set_end(self, t: float) -> None:
        self.until = self.ramp.until(t)
        if self.choke and self.choke.due < self.until:
            self.until = self.choke.due
        if self.pauses and self.pauses.due < self.until:
            self.until = self.pauses.due

    def work(self, t: float, span: float) -> float:
        """The work that a core does in the `span` microseconds from t on, within the piece; exact."""
        if not self.slope:
            return self.level * span
        return span * (self.level + self.slope * (t - self.start + span / 2))

    def time(self, t: float, work: float) -> float:
        """How long a core takes from t on for `work` (above 0) if the piece does not end; inf if its speed is 0.
        With a slope this is the root of work = level x + slope x^2 / 2, in the form without cancellation."""
        if not self.slope:
            return work / self.level if self.level else inf
        level = self.level + self.slope * (t - self.start)
        return 2 * work / (level + sqrt(level * level + 2 * self.slope * work))
