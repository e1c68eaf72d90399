"""Rate limits for new connections: `AcceptLimiter` for connections from callers, `ConnectLimiter` for the proxy's own
connections to nodes. Both only count: they read no clock, use no socket and keep no queue. Which connection waits, and
in what order, is decided by the code that calls them. Times are microseconds."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

SECOND = 1_000_000
# One token in millionths: a rate per second is then an integer per microsecond, without rounding.
TOKEN = SECOND
# About 300 KB. With more nodes the least recently used one is forgotten and starts afresh.
MAX_TRACKED_NODES = 512
MIN_RETRY_US = 1_000  # shortest wait before asking again while a node's window is full


# ---------------------------------------------------------------- callers


@dataclass(frozen=True, slots=True)
class AcceptLimiterConfig:
    """Raises ValueError if a value is out of range.

    per_s       connections accepted per second, 1 to 1,000,000; half of that while more than `busy` jobs are
                open. Accepting one takes about 45 us and may bring a job, which costs far more
    burst       connections accepted at once after an idle period, 1 to 1,000,000
    busy        number of open jobs, 0 or more
    slowest_us  at least one connection is accepted per this time, whatever the rate, 1 or more"""

    per_s: int = 2_000
    burst: int = 128
    busy: int = 256
    slowest_us: int = 50_000

    def __post_init__(self) -> None:
        rates = 1 <= self.per_s <= SECOND and 1 <= self.burst <= SECOND
        if not (rates and self.busy >= 0 and self.slowest_us >= 1):
            raise ValueError(f"out of bounds: {self}")


class AcceptLimiter:
    """Limits how many new connections are accepted, so that callers already connected get their answers: a token
    bucket (RFC 3290, appendix A) in exact integers. Over any time t it admits at most rate * t + burst, even if the
    clock jumps; the rate is per_s, or one per slowest_us if that is more. O(1)."""

    def __init__(self, config: AcceptLimiterConfig) -> None:
        self.config = config
        min_rate = -(-SECOND // config.slowest_us)
        self._rates = max(config.per_s, min_rate), max(config.per_s // 2, min_rate)
        self._rate = self._rates[0]
        self._capacity = self._level = config.burst * TOKEN
        self._updated_at = 0

    def acquire(self, now: int, jobs_in_hand: int, want: int = 1) -> int:
        """Returns how many of the `want` waiting connections may be accepted now, 0 or more, and takes their
        tokens."""
        self._rate = self._rates[jobs_in_hand > self.config.busy]
        self._level = min(self._capacity, self._level + self._rate * max(0, now - self._updated_at))
        self._updated_at = max(now, self._updated_at)
        granted = max(0, min(want, self._level // TOKEN))
        self._level -= granted * TOKEN
        return granted

    def due(self) -> int | None:
        """When the next connection may be accepted, at the rate of the last `acquire`; None: now."""
        missing = TOKEN - self._level
        return self._updated_at - (-missing // self._rate) if missing > 0 else None


# ---------------------------------------------------------------- nodes


@dataclass(frozen=True, slots=True)
class ConnectLimiterConfig:
    """Raises ValueError if a value is out of range.

    first      concurrent handshakes with a node seen for the first time, 1 to most
    again      concurrent handshakes with a node that has come back, 1 to first
    most       upper bound of concurrent handshakes with one node, 1 to 1,024
    spread_us  the first handshake with a node that has come back waits a random time up to this, 0 or more
    lost_us    a handshake that has not ended after this time counts as failed, 1 or more; longer than any
               connect takes"""

    first: int = 8
    again: int = 2
    most: int = 64
    spread_us: int = 100_000
    lost_us: int = SECOND

    def __post_init__(self) -> None:
        windows = 1 <= self.again <= self.first <= self.most <= 1024
        if not (windows and self.spread_us >= 0 and self.lost_us >= 1):
            raise ValueError(f"out of bounds: {self}")


class _NodeWindow:
    """The handshake window of one node."""

    __slots__ = (
        "handshake_us",
        "in_flight",
        "just_returned",
        "not_before",
        "returned_at",
        "size",
        "successes",
    )

    def __init__(self, size: int) -> None:
        self.size = size
        self.successes = 0  # since the size last changed
        self.in_flight: list[int] = []  # start time of each handshake in progress, at most `most` of them
        self.not_before = 0  # no handshake starts before this time
        self.returned_at = -1  # handshakes started up to then are no evidence of its present state
        self.just_returned = False  # the node has come back and no handshake has started since
        self.handshake_us = 0  # moving average of the duration of a handshake


class ConnectLimiter:
    """Allows at most a window of concurrent handshakes with each node, so that a node that comes back does not get
    the connections of all callers of all proxies at once. The window doubles after as many successes as its size and
    halves at each failure, like TCP slow start (RFC 5681, section 3.1). O(1); at most `most` start times per node."""

    def __init__(self, config: ConnectLimiterConfig, rng: Random) -> None:
        self.config = config
        self.rng = rng
        self._windows: OrderedDict[int, _NodeWindow] = OrderedDict()  # least recently used first

    def acquire(self, now: int, endpoint: int) -> int:
        """0: start a handshake now and report its end by `release`; otherwise the microseconds, 1 or more, until
        it is worth asking again: with a full window, the usual duration of a handshake."""
        window = self._window(endpoint)
        self._expire_lost(now, window)
        if now < window.not_before:
            return window.not_before - now
        if len(window.in_flight) >= window.size:
            return min(
                max(MIN_RETRY_US, window.handshake_us), window.in_flight[0] + self.config.lost_us - now
            )
        window.in_flight.append(now)
        window.just_returned = False
        return 0

    def release(self, now: int, endpoint: int, ok: bool, started_at: int) -> None:
        """Reports the end of the handshake for which `acquire` returned 0 at `started_at`. A handshake that already
        counted as lost changes nothing."""
        window = self._windows.get(endpoint)
        if window is None or started_at not in window.in_flight:
            return
        window.in_flight.remove(started_at)
        if not ok:
            return self._shrink(window, started_at)
        if started_at <= window.returned_at:
            return
        window.handshake_us += (now - started_at - window.handshake_us) // 8
        window.successes += 1
        if window.successes >= window.size:
            window.size, window.successes = min(2 * window.size, self.config.most), 0

    def node_returned(self, now: int, endpoint: int) -> None:
        """The node has started or come back. A repeated call before a handshake has started changes nothing: a node
        that is announced over and over must not be delayed without end."""
        window = self._window(endpoint)
        if not window.just_returned:
            window.size, window.successes, window.just_returned, window.returned_at = (
                self.config.again,
                0,
                True,
                now,
            )
            window.not_before = now + self.rng.randint(0, self.config.spread_us)

    def node_removed(self, endpoint: int) -> None:
        """The node has left the list: its state is dropped."""
        self._windows.pop(endpoint, None)

    def _window(self, endpoint: int) -> _NodeWindow:
        if window := self._windows.get(endpoint):
            self._windows.move_to_end(endpoint)
            return window
        if len(self._windows) >= MAX_TRACKED_NODES:
            self._windows.popitem(last=False)
        window = self._windows[endpoint] = _NodeWindow(self.config.first)
        return window

    def _expire_lost(self, now: int, window: _NodeWindow) -> None:
        # Handshakes whose end is never reported would otherwise fill the window permanently.
        while window.in_flight and window.in_flight[0] + self.config.lost_us <= now:
            self._shrink(window, window.in_flight.pop(0))

    def _shrink(self, window: _NodeWindow, started_at: int) -> None:
        if started_at > window.returned_at:  # an earlier handshake was with the node before it came back
            window.size, window.successes = max(1, window.size // 2), 0
