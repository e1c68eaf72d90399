"""A process that is stopped (SIGSTOP): what would have woken it waits, in order, until it goes on. It owns what waits.
It must never lose or reorder any of it; only the end of the process does."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial, wraps
from typing import Any, TypeVar, cast


class Suspension:
    """`on`: the process is stopped."""

    def __init__(self) -> None:
        self.on = False
        self.waiting: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()

    def stop(self) -> None:
        self.on = True

    def go_on(self) -> None:
        """All that waited happens now, in the order in which it came; it may be stopped again meanwhile."""
        self.on = False
        while self.waiting and not self.on:
            call, args = self.waiting.popleft()
            call(*args)

    def over(self) -> None:
        self.on = False
        self.waiting.clear()


Call = TypeVar("Call", bound=Callable[..., None])


def deferred_while_suspended(call: Call) -> Call:
    """For what comes to a process from without (a timer, bytes, a signal), as a method of something that has its
    `still`: it meets it when the process runs."""

    @wraps(call)
    def meets(self: Any, *args: Any, **named: Any) -> None:
        still = self.still
        if still.on:
            still.waiting.append((partial(call, **named), (self, *args)))
        else:
            call(self, *args, **named)

    return cast(Call, meets)
