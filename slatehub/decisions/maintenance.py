"""Nodes in maintenance: a set that is applied to discovery's list before the dispatcher gets it. Pure; used by the node
list. A node that an operator put into maintenance stays in it whatever discovery reports, and no other node is in
maintenance. Times are microseconds of the clock that discovery's start times use."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import replace

from paddlestep.interface import Entry, State

# Node ids in maintenance. Maintenance can start for known nodes only, but nodes that left the list stay in it.
MAX_NODES_OUT = 4096
MAX_ENDED_REMEMBERED = 1024  # a node is warm again long before so many others have come back
MAX_NODE_ID_LENGTH = 256


class TooManyInMaintenance(Exception):
    """MAX_NODES_OUT nodes are in maintenance already."""


class Maintenance:
    """`started_at`: ids of the nodes in maintenance, each with the time at which it began. `ended_at`: when the
    maintenance of a node ended. Operators restart a node during its maintenance. A start time that discovery reports
    from that time is used; if there is none, the node counts as started, and so as cold, when its maintenance ended."""

    def __init__(self) -> None:
        self.started_at: dict[str, int] = {}
        self.ended_at: OrderedDict[str, int] = OrderedDict()

    def start_maintenance(self, ident: str, known: bool, now: int) -> bool:
        """Returns whether there is such a node. A second call changes nothing: maintenance is a set, not a counter.
        Raises TooManyInMaintenance."""
        if ident in self.started_at:
            return True
        if not known:
            return False
        if len(self.started_at) >= MAX_NODES_OUT:
            raise TooManyInMaintenance(f"{MAX_NODES_OUT} nodes are out already")
        self.started_at[ident] = now
        return True

    def end_maintenance(self, ident: str, entry: Entry | None, now: int) -> bool:
        """Returns whether there is such a node, in use or in maintenance; `entry` is discovery's entry for it. A node
        that is not in maintenance stays as warm as it is."""
        if ident not in self.started_at:
            return entry is not None
        taken_out_at = self.started_at.pop(ident)
        if entry is None or entry.since_us <= taken_out_at:
            self._remember_ended(ident, now)
        return True

    def apply_to(self, ident: str, entry: Entry) -> Entry:
        """The entry that the dispatcher gets for discovery's entry: DRAINING instead of READY in maintenance, and not
        started before its maintenance ended."""
        since = max(entry.since_us, self.ended_at.get(ident, 0))
        state = State.DRAINING if ident in self.started_at and entry.state is State.READY else entry.state
        if state is entry.state and since == entry.since_us:
            return entry
        return replace(entry, state=state, since_us=since)

    def _remember_ended(self, ident: str, ended_at: int) -> None:
        self.ended_at[ident] = max(ended_at, self.ended_at.pop(ident, 0))
        while len(self.ended_at) > MAX_ENDED_REMEMBERED:
            self.ended_at.popitem(last=False)

    def restore(self, started_at: Mapping[object, object], ended_at: Mapping[object, object]) -> None:
        """Takes over the `started_at` and `ended_at` of another process. Invalid ids and times are skipped, and so is
        what exceeds the limits."""
        for ident, when in _valid_items(started_at):
            if len(self.started_at) < MAX_NODES_OUT:
                self.started_at[ident] = when
        for ident, when in _valid_items(ended_at):
            self._remember_ended(ident, when)


def _valid_items(times: Mapping[object, object]) -> Iterator[tuple[str, int]]:
    for ident, when in times.items():
        if (
            isinstance(ident, str)
            and 0 < len(ident) <= MAX_NODE_ID_LENGTH
            and isinstance(when, int)
            and when > 0
        ):
            yield ident, when
