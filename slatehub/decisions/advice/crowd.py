"""What an adviser knows of the crowd: how fast jobs are served, how fast newcomers come on a usual day, and
which keys stand for many orders. This file owns these estimates; it must never give advice."""

from __future__ import annotations

from math import exp

TURN_US = 5_000  # averages are moved on no more often than this
STEP_US = 500_000  # what a silence or a step of the clock counts for at most
IDLE = 1 / 32  # weight of time in which nobody waits, for the rate of work under pressure
PRESSED_US = 100_000  # a refusal shows pressure for so long
CALM = 0.05  # share of refusals among arrivals up to which the day is a usual one


class Rate:
    """Events a second, exponentially forgotten over `tau_s` seconds; true from the start (the time seen is
    weighed like the events). `seen_s`: so long is taken as seen without an event, against the noise of the
    first ones."""

    __slots__ = ("count", "span", "tau")

    def __init__(self, tau_s: float, seen_s: float = 0.0) -> None:
        self.tau = tau_s
        self.count = 0.0
        self.span = seen_s

    def passed(self, seconds: float) -> None:
        kept = exp(-seconds / self.tau)
        self.count *= kept
        self.span = self.span * kept + self.tau * (1 - kept)

    def per_s(self) -> float:
        return self.count / self.span if self.span else 0.0


class Crowd:
    """Rates of one proxy, measured.

    The drain rate is that of jobs served while others wait or are refused: on an idle day the jobs served say
    how many came, not how many can be served. Time without pressure counts a little, so that there is an
    estimate before the first pressure and an old one fades in a minute. What is served at all is its lower
    bound. Under pressure it follows an outage within about `tau_s` seconds, neither at once nor long
    after."""

    def __init__(self, tau_s: float = 1.0) -> None:
        self.pressed = Rate(tau_s, seen_s=tau_s / 50)
        self.pressure = Rate(tau_s, seen_s=tau_s / 50)  # seconds under it, of those weighed for `pressed`
        self.all = Rate(tau_s, seen_s=tau_s / 4)
        self.arrivals = Rate(1.0, seen_s=0.25)
        self.refusals = Rate(1.0, seen_s=0.25)
        self.usual = Rate(10.0)  # newcomers, on calm days
        self.waiting = 0
        self.weight = IDLE  # of the time that has passed last
        self.last: int | None = None
        self.refused_at = -PRESSED_US

    def advance(self, now: int) -> None:
        """Time has passed."""
        if self.last is None:
            self.last = now
        if now - self.last < TURN_US:
            return
        seconds = min(now - self.last, STEP_US) / 1e6
        self.weight = 1.0 if self.waiting or self.last - self.refused_at < PRESSED_US else IDLE
        self.pressed.passed(seconds * self.weight)
        self.pressure.passed(seconds * self.weight)
        self.pressure.count += seconds * (self.weight == 1.0)
        for rate in (self.all, self.arrivals, self.refusals):
            rate.passed(seconds)
        if self.calm():
            self.usual.passed(seconds)
        self.last = now

    def calm(self) -> bool:
        """Whether hardly anybody is refused."""
        return self.refusals.count <= CALM * self.arrivals.count

    def came(self, now: int, new: bool) -> None:
        self.advance(now)
        self.arrivals.count += 1
        if new and self.calm():
            self.usual.count += 1

    def refused(self, now: int) -> None:
        self.advance(now)
        self.refusals.count += 1
        self.refused_at = now

    def served(self, now: int, jobs: int) -> None:
        self.advance(now)
        self.all.count += jobs
        self.pressed.count += jobs * self.weight

    def held(self, now: int, waiting: int) -> None:
        self.advance(now)
        self.waiting = waiting

    def service_rate(self) -> float:
        """Jobs a second that can be served now."""
        return max(self.pressed.per_s(), self.all.per_s())

    def is_reliable(self) -> bool:
        """Whether the drain rate comes from times of pressure, for the most part."""
        return self.pressure.per_s() >= 0.5

    def baseline_arrival_rate(self) -> float | None:
        """Newcomers a second on a usual day; None: no such time has been seen."""
        return self.usual.per_s() if self.usual.span >= 0.5 else None


class Alike:
    """Which keys stand for many orders (all of a class look alike on some plants), in 8 KB and O(1). Either a
    key keeps coming on calm days, more often than one order can with its further tries, or it comes again
    within a millisecond while the one before has not been refused, which one caller does not do. Counts are
    by the lower bits of a key; they last for one to two windows of arrivals. May take a key for shared whose
    order fails at once and is tried again at once; it then gets an appointment for each refusal."""

    CELLS = 4_096
    WINDOW = 512  # arrivals; two such windows leave most cells empty
    MANY = 4  # one order with its two further tries is three
    SOON_US = 1_000
    OPEN = 64  # arrivals of late that are remembered

    def __init__(self) -> None:
        self.old = bytearray(self.CELLS)
        self.new = bytearray(self.CELLS)
        self.counted = 0
        self.open = [(0, -self.SOON_US - 1)] * self.OPEN  # (key, when it came), until it is refused

    def arrived(self, now: int, key: int, calm: bool) -> None:
        before, at = self.open[key % self.OPEN]
        self.open[key % self.OPEN] = (key, now)
        if before == key and now - at <= self.SOON_US:
            self._count(key % self.CELLS, self.MANY)
        elif calm:
            self._count(key % self.CELLS, 1)

    def refused(self, key: int) -> None:
        if self.open[key % self.OPEN][0] == key:
            self.open[key % self.OPEN] = (0, -self.SOON_US - 1)

    def shared(self, key: int) -> bool:
        cell = key % self.CELLS
        return self.old[cell] + self.new[cell] >= self.MANY

    def _count(self, cell: int, times: int) -> None:
        self.new[cell] = min(255, self.new[cell] + times)
        self.counted += 1
        if self.counted >= self.WINDOW:
            self.old, self.new, self.counted = self.new, bytearray(self.CELLS), 0
