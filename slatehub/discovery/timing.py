"""The time limits of the node list's watch, and the longest time in which a change is known.

`node_list` uses the limits, and the balancer sets the pause between two calls. A test keeps their sum within what the
platform allows, so do not change one of them alone.

The platform requires that, after any failed, refused or abandoned calls to discovery, a change is known at most
PROPAGATION_LIMIT_US after discovery has it and can be reached. In the worst case, from that moment on:

    a call is under way that never gets a response    WATCH_DEADLINE_US, or CONNECT_TIMEOUT_US
                                                      while it is still connecting
    the balancer pauses before the next call          MAX_WATCH_PAUSE_US
    that call is connected, answered and parsed       RESPONSE_TIMEOUT_US"""

from paddlestep.balance import WATCH_PAUSE_US

PROPAGATION_LIMIT_US = 6_000_000
# How long discovery waits before it answers a watch without a change. Short, because a connection that has gone silent
# is only noticed after this time.
WATCH_TIMEOUT_MS = 1_500
# Added to that wait for a discovery that has requests queued. After it discovery, or the path to it, counts as down.
WATCH_GRACE_US = 1_500_000
WATCH_DEADLINE_US = WATCH_TIMEOUT_MS * 1000 + WATCH_GRACE_US
# Discovery may be slow to respond, but its host accepts a connection quickly or not at all.
CONNECT_TIMEOUT_US = 1_000_000
MAX_WATCH_PAUSE_US = WATCH_PAUSE_US * 3 // 2  # with the largest jitter
RESPONSE_TIMEOUT_US = 1_500_000  # for a reachable discovery to answer with what it has


def worst_propagation_us(tick_us: int) -> int:
    """Returns the longest time, in microseconds, from when discovery has a change and can be reached until it is known
    here."""
    return max(WATCH_DEADLINE_US, CONNECT_TIMEOUT_US) + MAX_WATCH_PAUSE_US + tick_us + RESPONSE_TIMEOUT_US
