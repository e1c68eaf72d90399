"""Decides when a connection to a node may carry another request, and which idle connection does.

HTTP/1.1 matches responses to requests by their order alone. A node may send more than its response, such as a second
copy of it, some milliseconds late, while no further request has come on the connection. Such data must arrive before
the next request is written whole; later it cannot be told from the response to it.

In the proxy's own zone the last byte of a request, which is held back on a reused connection (`drivers.upstream`), is
later than a round trip: by then the node has seen the request begin, and what it sent before has come. To another
zone a round trip takes longer than that. There a connection rests after each response, so that such data comes while
no request is out, and the connection is closed instead of reused. Pure; times are microseconds."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

# Covers data sent some milliseconds late whose way takes tens of milliseconds longer than that of the response.
REMOTE_REUSE_DELAY_US = 50_000


class IdleConnection(Protocol):
    """An idle connection. `reusable_at`: when it may carry another request."""

    @property
    def reusable_at(self) -> int: ...


def reusable_at(responded_at: int, own_zone: bool) -> int:
    """Returns when a connection may carry another request whose last response was complete at this time. `own_zone`:
    the node is in the proxy's zone."""
    return responded_at if own_zone else responded_at + REMOTE_REUSE_DELAY_US


def newest_reusable(idle: Sequence[IdleConnection], now: int) -> int | None:
    """Returns the index of the connection to use next, or None. `idle` is in the order of the last responses; the
    newest connection that has rested is used, so that those that are not needed reach their idle timeout."""
    for index in range(len(idle) - 1, -1, -1):
        if idle[index].reusable_at <= now:
            return index
    return None


def reuse_wait_us(idle: Sequence[IdleConnection], now: int, at_limit: bool) -> int:
    """Returns how long to wait for a connection that still rests, 0 for not at all. `at_limit`: a new connection would
    exceed the limit, or cost an idle connection to another node."""
    if not (at_limit and idle):
        return 0
    return max(0, idle[0].reusable_at - now)
