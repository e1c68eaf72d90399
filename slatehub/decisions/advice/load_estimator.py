"""Estimates that advice is based on: how fast jobs are served, the usual rate of new requests, and which keys
many requests share."""

from __future__ import annotations

from math import exp

UPDATE_INTERVAL_US = 5_000  # averages are updated no more often than this
MAX_STEP_US = 500_000  # a longer silence or clock step counts as this much time
IDLE_WEIGHT = 1 / 32  # weight of time without queued jobs in the service rate under pressure
PRESSURE_AFTER_REFUSAL_US = 100_000  # how long a refusal indicates pressure
CALM_REFUSED_SHARE = 0.05  # share of refusals among arrivals up to which traffic counts as usual


class Rate:
    """Events per second, averaged with exponential decay over `time_constant_s` seconds. It is unbiased from
    the start, because the observed time is weighted like the events. `seen_s`: time counted as observed
    without an event, which reduces the noise of the first events."""

    __slots__ = ("count", "span_s", "time_constant_s")

    def __init__(self, time_constant_s: float, seen_s: float = 0.0) -> None:
        self.time_constant_s = time_constant_s
        self.count = 0.0
        self.span_s = seen_s

    def decay(self, seconds: float) -> None:
        """Lets this much time pass without an event."""
        remaining = exp(-seconds / self.time_constant_s)
        self.count *= remaining
        self.span_s = self.span_s * remaining + self.time_constant_s * (1 - remaining)

    def per_s(self) -> float:
        """The events per second; 0 while no time has been observed."""
        return self.count / self.span_s if self.span_s else 0.0


class LoadEstimator:
    """Rates of one proxy, estimated from its events.

    The service rate is that of jobs served while others wait or are refused: at low load the jobs served show
    how many arrived, not how many can be served. Time without pressure counts a little, so that there is an
    estimate before the first pressure and an old one fades within a minute. The rate of all jobs served is
    the lower bound. Under pressure the estimate follows an outage within about `time_constant_s` seconds,
    neither immediately nor with a much longer delay."""

    def __init__(self, time_constant_s: float = 1.0) -> None:
        self.served_under_pressure = Rate(time_constant_s, seen_s=time_constant_s / 50)
        # Seconds under pressure, of those weighted for `served_under_pressure`.
        self.pressure_seconds = Rate(time_constant_s, seen_s=time_constant_s / 50)
        self.served_total = Rate(time_constant_s, seen_s=time_constant_s / 4)
        self.arrivals = Rate(1.0, seen_s=0.25)
        self.refusals = Rate(1.0, seen_s=0.25)
        self.baseline = Rate(10.0)  # new requests, while traffic is usual
        self.waiting = 0
        self.time_weight = IDLE_WEIGHT  # of the last interval
        self.last_update: int | None = None
        self.refused_at = -PRESSURE_AFTER_REFUSAL_US

    def advance(self, now: int) -> None:
        """Advances the averages to `now`."""
        if self.last_update is None:
            self.last_update = now
        if now - self.last_update < UPDATE_INTERVAL_US:
            return
        seconds = min(now - self.last_update, MAX_STEP_US) / 1e6
        self.time_weight = (
            1.0
            if self.waiting or self.last_update - self.refused_at < PRESSURE_AFTER_REFUSAL_US
            else IDLE_WEIGHT
        )
        self.served_under_pressure.decay(seconds * self.time_weight)
        self.pressure_seconds.decay(seconds * self.time_weight)
        self.pressure_seconds.count += seconds * (self.time_weight == 1.0)
        for rate in (self.served_total, self.arrivals, self.refusals):
            rate.decay(seconds)
        if self.is_calm():
            self.baseline.decay(seconds)
        self.last_update = now

    def is_calm(self) -> bool:
        """Whether hardly any caller is refused."""
        return self.refusals.count <= CALM_REFUSED_SHARE * self.arrivals.count

    def arrival(self, now: int, is_newcomer: bool) -> None:
        """A caller has arrived. `is_newcomer`: it has no reservation."""
        self.advance(now)
        self.arrivals.count += 1
        if is_newcomer and self.is_calm():
            self.baseline.count += 1

    def refused(self, now: int) -> None:
        """A caller was refused."""
        self.advance(now)
        self.refusals.count += 1
        self.refused_at = now

    def served(self, now: int, jobs: int) -> None:
        """So many jobs have been served."""
        self.advance(now)
        self.served_total.count += jobs
        self.served_under_pressure.count += jobs * self.time_weight

    def set_waiting(self, now: int, waiting: int) -> None:
        """Sets the number of queued jobs."""
        self.advance(now)
        self.waiting = waiting

    def service_rate(self) -> float:
        """Jobs per second that can be served now."""
        return max(self.served_under_pressure.per_s(), self.served_total.per_s())

    def is_reliable(self) -> bool:
        """Whether most of the service rate comes from times of pressure."""
        return self.pressure_seconds.per_s() >= 0.5

    def baseline_arrival_rate(self) -> float | None:
        """Usual rate of new requests per second; None: no usual traffic has been observed."""
        return self.baseline.per_s() if self.baseline.span_s >= 0.5 else None


class SharedKeyDetector:
    """Detects keys that many requests share (in some deployments all requests of a class have the same key),
    in 8 KB and O(1). A key is shared if it arrives, while traffic is usual, more often than one request with
    its retries can; or if it arrives again within a millisecond while the arrival before has not been
    refused, which one caller does not do. Counts are kept per lower bits of the key, for one to two windows
    of arrivals. A key may be wrongly taken for shared if its request fails at once and is retried at once; it
    then gets a reservation for each refusal."""

    CELLS = 4_096
    WINDOW_ARRIVALS = 512  # arrivals; two such windows leave most cells empty
    SHARED_COUNT = 4  # one request with its two retries counts three
    CONCURRENT_US = 1_000
    RECENT_ARRIVALS = 64  # recent arrivals that are remembered

    def __init__(self) -> None:
        self.previous_counts = bytearray(self.CELLS)
        self.current_counts = bytearray(self.CELLS)
        self.counted = 0
        # (key, time of its arrival), until it is refused.
        self.recent = [(0, -self.CONCURRENT_US - 1)] * self.RECENT_ARRIVALS

    def arrived(self, now: int, key: int, calm: bool) -> None:
        """This key has arrived. `calm`: traffic is usual, so that the arrival is counted."""
        previous_key, at = self.recent[key % self.RECENT_ARRIVALS]
        self.recent[key % self.RECENT_ARRIVALS] = (key, now)
        if previous_key == key and now - at <= self.CONCURRENT_US:
            self._count(key % self.CELLS, self.SHARED_COUNT)
        elif calm:
            self._count(key % self.CELLS, 1)

    def refused(self, key: int) -> None:
        """The latest arrival of this key has been refused, so the caller may soon come again."""
        if self.recent[key % self.RECENT_ARRIVALS][0] == key:
            self.recent[key % self.RECENT_ARRIVALS] = (0, -self.CONCURRENT_US - 1)

    def shared(self, key: int) -> bool:
        """Whether many requests seem to share this key."""
        cell = key % self.CELLS
        return self.previous_counts[cell] + self.current_counts[cell] >= self.SHARED_COUNT

    def _count(self, cell: int, times: int) -> None:
        self.current_counts[cell] = min(255, self.current_counts[cell] + times)
        self.counted += 1
        if self.counted >= self.WINDOW_ARRIVALS:
            self.previous_counts, self.current_counts, self.counted = (
                self.current_counts,
                bytearray(self.CELLS),
                0,
            )
