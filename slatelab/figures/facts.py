"""Groups the facts of a run by type, each type in order of time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from slatelab.records import (
    Answered,
    Asked,
    BrokenOff,
    Came,
    Down,
    FaultBegan,
    FaultEnded,
    GaveUp,
    Record,
    Replied,
    Up,
)  # fmt: skip


@dataclass(slots=True)
class Facts:
    """The types of facts that the figures need. `last` is the time of the last fact of any type, 0 if there is none."""

    asked: list[Asked] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    broken: list[BrokenOff] = field(default_factory=list)
    gave_up: list[GaveUp] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    replied: list[Replied] = field(default_factory=list)
    ups: list[Up] = field(default_factory=list)
    downs: list[Down] = field(default_factory=list)
    began: list[FaultBegan] = field(default_factory=list)
    ended: list[FaultEnded] = field(default_factory=list)
    last: int = 0

    @property
    def ends(self) -> list[Answered | BrokenOff | GaveUp]:
        """The ends of requests as seen by their callers, in order of time."""
        return sorted([*self.answered, *self.broken, *self.gave_up], key=lambda fact: fact.t)


def facts(records: Iterable[Record]) -> Facts:
    """Groups the records of a run, given in any order."""
    result = Facts()
    targets = {
        Asked: result.asked, Answered: result.answered, BrokenOff: result.broken, GaveUp: result.gave_up,
        Came: result.came, Replied: result.replied, Up: result.ups, Down: result.downs,
        FaultBegan: result.began, FaultEnded: result.ended,
    }  # fmt: skip
    for fact in sorted(records, key=lambda fact: fact.t):
        target = targets.get(type(fact))
        if target is not None:
            target.append(fact)  # type: ignore[attr-defined]
        result.last = fact.t
    return result
