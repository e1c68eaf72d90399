"""Virtual time: SimPy's environment with plain calls instead of SimPy processes, which cost ten times as much. It
orders the calls of one instant: they run in the order in which they were scheduled, and those of
`call_at_end_of_instant` after all others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from simpy import Environment
from simpy.events import NORMAL, Event, EventPriority

AFTER_OTHERS = EventPriority(NORMAL + 1)


def _invoke(scheduled: Any) -> None:
    scheduled.clock.events += 1
    call = scheduled.call
    scheduled.call = None  # the called object usually holds this one: drops the reference to avoid a cycle
    call(*scheduled.args)


_INVOKE = [_invoke]  # one shared list, as SimPy only reads it
_NO_CALLBACKS: list[Any] = []


class ScheduledCall(Event):
    """A scheduled call, `due` at a time in microseconds. After `cancel` it stays in the queue until its time, and
    then does nothing."""

    __slots__ = ("args", "call", "callbacks", "clock", "due")
    _ok = True  # read by SimPy from an event that has happened
    _value = None

    def __init__(
        self, clock: VirtualClock, due: int, call: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        self.callbacks: Any = _INVOKE
        self.clock, self.due, self.args = clock, due, args
        self.call: Callable[..., None] | None = call

    def cancel(self) -> None:
        self.callbacks = _NO_CALLBACKS
        self.call, self.args = None, ()


class VirtualClock(Environment):
    """`now` is whole microseconds since the start of the run; `events` counts the calls made."""

    def __init__(self) -> None:
        super().__init__(0)
        self.events = 0

    @property
    def now(self) -> int:
        return self._now  # type: ignore[return-value]  # all delays are whole numbers

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> ScheduledCall:
        """Makes the call at `due`, or at the present instant (after this call returns) if that is past."""
        scheduled = ScheduledCall(self, due, call, args)
        wait = due - self._now
        self.schedule(scheduled, NORMAL, wait if wait > 0 else 0)
        return scheduled

    def call_at_end_of_instant(self, call: Callable[..., None], *args: Any) -> None:
        """Makes the call after all others that are scheduled for this instant."""
        self.schedule(ScheduledCall(self, self.now, call, args), AFTER_OTHERS)
