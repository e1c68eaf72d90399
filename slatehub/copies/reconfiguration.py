"""Who votes, and what is a majority. Pure. It owns how one group becomes the next, a step at a time. It must never let
two groups decide at the same time without a voter that both need."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from msgspec.structs import replace

from .messages import VOTERS_MOST, GroupConfig, MessageError, Voter, decode_config, pack


class ReconfigurationError(ValueError):
    """One line that says why."""


def all_voters(group: GroupConfig) -> tuple[Voter, ...]:
    return tuple(sorted({*group.voters, *group.old_voters}))


def is_quorum(group: GroupConfig, some: Collection[Voter]) -> bool:
    """Whether these are a majority: of the voters and, while the group changes, of those before too."""
    sides = [side for side in (group.voters, group.old_voters) if side]
    return bool(sides) and all(2 * sum(v in some for v in side) > len(side) for side in sides)


def enough_old(group: GroupConfig, some: Collection[Voter]) -> bool:
    return 2 * sum(v in some for v in group.old_voters) > len(group.old_voters)


def joining_voters(group: GroupConfig) -> tuple[Voter, ...]:
    """Who is to vote and did not before."""
    return tuple(v for v in group.voters if v not in group.old_voters) if group.old_voters else ()


def voter_names(group: GroupConfig) -> tuple[str, ...]:
    return tuple(sorted({voter.name for voter in all_voters(group)}))


def with_voter_replaced(group: GroupConfig, name: str, new: Voter) -> GroupConfig:
    """`new` in the place of the voter of this name. While a change is under way it takes the place of that one's
    newcomer only."""
    if new in group.voters:
        raise ReconfigurationError(f"{new.name} votes already")
    if name not in [v.name for v in group.voters]:
        raise ReconfigurationError(f"{name} is no voter")
    if name != new.name and new.name in voter_names(group):
        raise ReconfigurationError(f"{new.name} is one already")
    if group.old_voters and name not in [v.name for v in joining_voters(group)]:
        raise ReconfigurationError("another change is under way")
    voters = tuple(sorted(new if v.name == name else v for v in group.voters))
    return GroupConfig(group.epoch + 1, voters, group.old_voters or group.voters)


def with_voter_added(group: GroupConfig, new: Voter) -> GroupConfig:
    if group.old_voters:
        raise ReconfigurationError("another change is under way")
    if new.name in voter_names(group):
        raise ReconfigurationError(f"{new.name} is one already")
    if len(group.voters) >= VOTERS_MOST:
        raise ReconfigurationError(f"{VOTERS_MOST} vote already")
    return GroupConfig(group.epoch + 1, tuple(sorted((*group.voters, new))), group.voters)


def with_voter_removed(group: GroupConfig, name: str) -> GroupConfig:
    if group.old_voters:
        raise ReconfigurationError("another change is under way")
    rest = tuple(v for v in group.voters if v.name != name)
    if len(rest) == len(group.voters):
        raise ReconfigurationError(f"{name} is no voter")
    if not rest:
        raise ReconfigurationError(f"{name} is the last one")
    return GroupConfig(group.epoch + 1, rest, group.voters)


def finalized(group: GroupConfig) -> GroupConfig:
    """The change is over."""
    if not group.old_voters:
        raise ReconfigurationError("no change is under way")
    return replace(group, epoch=group.epoch + 1, old_voters=())


Step = Callable[[GroupConfig], GroupConfig]


@dataclass(slots=True)
class ConfigChange:
    """A change of the register that holds who votes. `known`: what stands in it where nobody has ever written it."""

    step: Step
    known: GroupConfig
    found: GroupConfig | None = None  # what stood there
    why: str = ""  # nothing was changed

    def __call__(self, value: bytes) -> bytes | None:
        try:
            self.found = decode_config(value) if value else self.known
            if self.found.epoch > self.known.epoch:  # perhaps decided, perhaps only begun: now it is decided
                self.why = "it had changed meanwhile"
                return value
            return pack(self.step(self.found))
        except (ReconfigurationError, MessageError) as problem:
            self.why = str(problem)
            return None
