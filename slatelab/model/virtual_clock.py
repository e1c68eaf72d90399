"""Virtual time: SimPy's environment with bare calls in place of processes, which cost ten times as much. It
owns the order of what happens at one instant: as it was asked for, and what waits for the others
(`call_at_end_of_instant`) after them. It must never know what it calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from simpy import Environment
from simpy.events import NORMAL, Event, EventPriority

THEN = EventPriority(NORMAL + 1)


def _ring(wake: Any) -> None:
    wake.clock.events += 1
    call = wake.call
    wake.call = None  # whoever is called most often holds the wake: a ring of references otherwise
    call(*wake.args)


_RING = [_ring]  # one list for all: SimPy only reads it
_SILENCE: list[Any] = []


class ScheduledCall(Event):
    """One call to come, `due` at a microsecond of the day. `cancel` takes it back; it then leaves the queue when
    met."""

    __slots__ = ("args", "call", "callbacks", "clock", "due")
    _ok = True  # what SimPy asks an event that has happened
    _value = None

    def __init__(self, day: VirtualClock, due: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callbacks: Any = _RING
        self.clock, self.due, self.args = day, due, args
        self.call: Callable[..., None] | None = call

    def cancel(self) -> None:
        self.callbacks = _SILENCE
        self.call, self.args = None, ()


class VirtualClock(Environment):
    """`now` is whole microseconds since the run's epoch; `events` counts the calls made."""

    def __init__(self) -> None:
        super().__init__(0)
        self.events = 0

    @property
    def now(self) -> int:
        return self._now  # type: ignore[return-value]  # nothing here asks for a fraction

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> ScheduledCall:
        """Calls at `due`, or at once (after this call) where that is past."""
        wake = ScheduledCall(self, due, call, args)
        wait = due - self._now
        self.schedule(wake, NORMAL, wait if wait > 0 else 0)
        return wake

    def call_at_end_of_instant(self, call: Callable[..., None], *args: Any) -> None:
        """Calls when all that was asked for at this instant is done."""
        self.schedule(ScheduledCall(self, self.now, call, args), THEN)
