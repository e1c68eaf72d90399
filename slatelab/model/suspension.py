"""A process that is stopped by SIGSTOP: events for it are queued in order until it continues. No event is lost or
reordered, except that the end of the process discards the queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial, wraps
from typing import Any, TypeVar, cast


class Suspension:
    """`active`: the process is stopped. `waiting`: the queued calls."""

    def __init__(self) -> None:
        self.active = False
        self.waiting: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()

    def suspend(self) -> None:
        self.active = True

    def resume(self) -> None:
        """Makes the queued calls in order of arrival; one of them may suspend the process again."""
        self.active = False
        while self.waiting and not self.active:
            call, args = self.waiting.popleft()
            call(*args)

    def clear(self) -> None:
        self.active = False
        self.waiting.clear()


Call = TypeVar("Call", bound=Callable[..., None])


def deferred_while_suspended(call: Call) -> Call:
    """Decorates a method that handles an event from outside the process (a timer, bytes, a signal), in a class with an
    attribute `suspension`: while the process is suspended, the call is queued."""

    @wraps(call)
    def wrapper(self: Any, *args: Any, **kwargs: Any) -> None:
        suspension = self.suspension
        if suspension.active:
            suspension.waiting.append((partial(call, **kwargs), (self, *args)))
        else:
            call(self, *args, **kwargs)

    return cast(Call, wrapper)
