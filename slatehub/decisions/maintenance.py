"""Nodes taken out by hand: a set laid over discovery's list before the desk sees it. Pure; the node list asks it. It
must never let discovery bring back a node that an operator took out, and never take out one that nobody has."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import replace

from paddlestep.interface import Entry, State

MOST_OUT = 4096  # ids out at once: of known nodes only, but those that left the list stay out
MAX_ENDED_REMEMBERED = (
    1024  # returns remembered; a node is warm again long before so many others have come back
)
MAX_NODE_ID_LENGTH = 256


class TooManyInMaintenance(Exception):
    """No room for another node out."""


class Maintenance:
    """`out`: ids of nodes that are not to be used, each with when it was taken out. `back`: when a node was put back.
    Both in microseconds of the clock that discovery's starts are told by. Operators restart a node while it is out: the
    start that discovery tells of that time is the true one, and where it has told of none the node counts as cold from
    the call back on."""

    def __init__(self) -> None:
        self.started_at: dict[str, int] = {}
        self.ended_at: OrderedDict[str, int] = OrderedDict()

    def start_maintenance(self, ident: str, known: bool, now: int) -> bool:
        """Whether there is such a node. A second call changes nothing: a set, no counter. TooManyInMaintenance."""
        if ident in self.started_at:
            return True
        if not known:
            return False
        if len(self.started_at) >= MOST_OUT:
            raise TooManyInMaintenance(f"{MOST_OUT} nodes are out already")
        self.started_at[ident] = now
        return True

    def end_maintenance(self, ident: str, entry: Entry | None, now: int) -> bool:
        """Whether there is such a node, in use or out; `entry` is what discovery says of it. One that is not out stays
        as warm as it is."""
        if ident not in self.started_at:
            return entry is not None
        taken = self.started_at.pop(ident)
        if entry is None or entry.since_us <= taken:
            self._returned(ident, now)
        return True

    def apply_to(self, ident: str, entry: Entry) -> Entry:
        """What the desk is shown for what discovery tells."""
        since = max(entry.since_us, self.ended_at.get(ident, 0))
        state = State.DRAINING if ident in self.started_at and entry.state is State.READY else entry.state
        if state is entry.state and since == entry.since_us:
            return entry
        return replace(entry, state=state, since_us=since)

    def _returned(self, ident: str, when: int) -> None:
        self.ended_at[ident] = max(when, self.ended_at.pop(ident, 0))
        while len(self.ended_at) > MAX_ENDED_REMEMBERED:
            self.ended_at.popitem(last=False)

    def restore(self, out: Mapping[object, object], back: Mapping[object, object]) -> None:
        """Takes over what another process held; what is no id or no time is left out, and so is what is too much."""
        for ident, when in _sane(out):
            if len(self.started_at) < MOST_OUT:
                self.started_at[ident] = when
        for ident, when in _sane(back):
            self._returned(ident, when)


def _sane(times: Mapping[object, object]) -> Iterator[tuple[str, int]]:
    for ident, when in times.items():
        if (
            isinstance(ident, str)
            and 0 < len(ident) <= MAX_NODE_ID_LENGTH
            and isinstance(when, int)
            and when > 0
        ):
            yield ident, when
