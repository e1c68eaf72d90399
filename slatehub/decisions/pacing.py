"""How fast connections are made: `AcceptLimiter` for callers who come in, `ConnectLimiter` for our own to nodes. This
file owns the counts that this takes. It must never read a clock, touch a socket or keep a queue: who has to wait,
and in what order, is the caller's."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

SECOND = 1_000_000
TOKEN = SECOND  # in millionths: a rate per second is then whole millionths a microsecond, and nothing rounds
MAX_TRACKED_NODES = 512  # gates at once, some 300 KB; of more nodes, those not used for longest begin anew
LOOK_US = 1_000  # the shortest between two asks at a full gate


# ---------------------------------------------------------------- callers


@dataclass(frozen=True, slots=True)
class AcceptLimiterConfig:
    """ValueError where a value is out of its bounds.

    per_s       connections let in a second, 1 to 1,000,000; half of them while more than `busy` jobs are in
                hand. One costs some 45 us to let in, and may bring a job, which costs far more
    burst       connections let in at once after a quiet time, 1 to 1,000,000
    busy        jobs in hand, 0 or more
    slowest_us  one is let in at least this often, whatever the rate, 1 or more"""

    per_s: int = 2_000
    burst: int = 128
    busy: int = 256
    slowest_us: int = 50_000

    def __post_init__(self) -> None:
        rates = 1 <= self.per_s <= SECOND and 1 <= self.burst <= SECOND
        if not (rates and self.busy >= 0 and self.slowest_us >= 1):
            raise ValueError(f"out of bounds: {self}")


class AcceptLimiter:
    """How many new connections may be taken in now, so that those inside are answered: a token bucket (RFC
    3290, appendix A), exact in whole numbers. Over any time t it lets in at most rate x t + burst, a step of
    the clock included; the rate is per_s, or one per slowest_us if that is more. O(1)."""

    def __init__(self, terms: AcceptLimiterConfig) -> None:
        self.terms = terms
        least = -(-SECOND // terms.slowest_us)
        self._speeds = max(terms.per_s, least), max(terms.per_s // 2, least)
        self._speed = self._speeds[0]
        self._full = self._level = terms.burst * TOKEN
        self._at = 0

    def acquire(self, now: int, inside_busy: int, want: int = 1) -> int:
        """How many of the `want` at the door may come in now, 0 or more; they count as in. `inside_busy`:
        jobs in hand."""
        self._speed = self._speeds[inside_busy > self.terms.busy]
        self._level = min(self._full, self._level + self._speed * max(0, now - self._at))
        self._at = max(now, self._at)
        taken = max(0, min(want, self._level // TOKEN))
        self._level -= taken * TOKEN
        return taken

    def due(self) -> int | None:
        """When the next one may come in, should the desk stay as busy as it is; None: now."""
        missing = TOKEN - self._level
        return self._at - (-missing // self._speed) if missing > 0 else None


# ---------------------------------------------------------------- nodes


@dataclass(frozen=True, slots=True)
class ConnectLimiterConfig:
    """ValueError where a value is out of its bounds.

    first      handshakes at once with a node not met before, 1 to most
    again      the same with one that has come back, 1 to first
    most       handshakes at once, 1 to 1,024
    spread_us  the first with a node that has come back waits for up to this, 0 or more, by chance
    lost_us    a handshake not heard of for so long has failed, 1 or more; longer than any connect takes"""

    first: int = 8
    again: int = 2
    most: int = 64
    spread_us: int = 100_000
    lost_us: int = SECOND

    def __post_init__(self) -> None:
        windows = 1 <= self.again <= self.first <= self.most <= 1024
        if not (windows and self.spread_us >= 0 and self.lost_us >= 1):
            raise ValueError(f"out of bounds: {self}")


class _Gate:
    """One node's."""

    __slots__ = ("good", "hold", "out", "returning", "since", "took", "window")

    def __init__(self, window: int) -> None:
        self.window = window
        self.good = 0  # successes since the window last changed
        self.out: list[int] = []  # when each handshake under way was let go, at most `most` of them
        self.hold = 0  # none before
        self.since = -1  # when it last came back: what was let go before tells nothing of it
        self.returning = False  # has come back, and none was let go since
        self.took = 0  # how long a handshake usually takes


class ConnectLimiter:
    """At most a window of handshakes at once with each node, so that one that comes back is not met by all
    callers' calls, of all proxies, in the same moment. The window doubles after as many successes and halves
    at each failure, as TCP's in its slow start (RFC 5681, section 3.1). O(1); at most `most` marks a node."""

    def __init__(self, terms: ConnectLimiterConfig, rng: Random) -> None:
        self.terms = terms
        self.rng = rng
        self._gates: OrderedDict[int, _Gate] = OrderedDict()  # the one not used for longest first

    def acquire(self, now: int, endpoint: int) -> int:
        """0: begin a handshake now, and say by `release` how it ended; else microseconds, 1 or more, until it
        is worth asking again: at a full window, as long as a handshake usually takes."""
        gate = self._gate(endpoint)
        self._lose(now, gate)
        if now < gate.hold:
            return gate.hold - now
        if len(gate.out) >= gate.window:
            return min(max(LOOK_US, gate.took), gate.out[0] + self.terms.lost_us - now)
        gate.out.append(now)
        gate.returning = False
        return 0

    def release(self, now: int, endpoint: int, ok: bool, asked: int) -> None:
        """How the handshake ended for which `acquire` said 0 at `asked`. One given up for lost changes
        nothing."""
        gate = self._gates.get(endpoint)
        if gate is None or asked not in gate.out:
            return
        gate.out.remove(asked)
        if not ok:
            return self._failed(gate, asked)
        if asked <= gate.since:
            return
        gate.took += (now - asked - gate.took) // 8
        gate.good += 1
        if gate.good >= gate.window:
            gate.window, gate.good = min(2 * gate.window, self.terms.most), 0

    def node_returned(self, now: int, endpoint: int) -> None:
        """It has started, or come back. Said again before a handshake has begun it changes nothing: a node
        that is announced over and over must not be put off for ever."""
        gate = self._gate(endpoint)
        if not gate.returning:
            gate.window, gate.good, gate.returning, gate.since = self.terms.again, 0, True, now
            gate.hold = now + self.rng.randint(0, self.terms.spread_us)

    def node_removed(self, endpoint: int) -> None:
        """Off the list: nothing of it is kept."""
        self._gates.pop(endpoint, None)

    def _gate(self, endpoint: int) -> _Gate:
        if gate := self._gates.get(endpoint):
            self._gates.move_to_end(endpoint)
            return gate
        if len(self._gates) >= MAX_TRACKED_NODES:
            self._gates.popitem(last=False)
        gate = self._gates[endpoint] = _Gate(self.terms.first)
        return gate

    def _lose(self, now: int, gate: _Gate) -> None:
        # Guards against a window that fills up with handshakes whose end nobody told.
        while gate.out and gate.out[0] + self.terms.lost_us <= now:
            self._failed(gate, gate.out.pop(0))

    def _failed(self, gate: _Gate, asked: int) -> None:
        if asked > gate.since:  # else it was with the node as it was before
            gate.window, gate.good = max(1, gate.window // 2), 0
