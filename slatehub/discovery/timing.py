"""The times of the list's watch, and what they add up to. Pure figures; the watch (`node_list`) and the pause between
two calls (the module's) go by them. Nobody may change one without the sum: a test holds it under what the platform
allows.

The platform: whatever a failed, refused or given-up call to discovery, a change counts as told PROPAGATION_LIMIT_US
after discovery had it and could be reached. From that moment on, at the worst:

    a call is out that will never be answered      WATCH_DEADLINE_US, or CONNECT_TIMEOUT_US
                                                   where it is still connecting
    then the module pauses before the next         PAUSE_MOST_US
    and that one is connected, answered and read   RESPONSE_TIMEOUT_US"""

from paddlestep.balance import WATCH_PAUSE_US

PROPAGATION_LIMIT_US = 6_000_000
WATCH_TIMEOUT_MS = (
    1_500  # a watch with nothing to tell: short, as one that has fallen silent shows only when it is over
)
WATCH_GRACE_US = (
    1_500_000  # beyond that wait, for a discovery with a queue: then it, or the way to it, is dead
)
WATCH_DEADLINE_US = WATCH_TIMEOUT_MS * 1000 + WATCH_GRACE_US
CONNECT_TIMEOUT_US = (
    1_000_000  # discovery may be slow, but its machine takes a connection at once or not at all
)
PAUSE_MOST_US = WATCH_PAUSE_US * 3 // 2  # its jitter at the most
RESPONSE_TIMEOUT_US = 1_500_000  # a discovery that can be reached, asked for what it has


def worst_propagation_us(tick_us: int) -> int:
    """From when discovery has a change and can be reached until it is told here, at the latest."""
    return max(WATCH_DEADLINE_US, CONNECT_TIMEOUT_US) + PAUSE_MOST_US + tick_us + RESPONSE_TIMEOUT_US
