"""Voters, quorums and changes of the group configuration, one step at a time. Pure. Two configurations that may both
be in force always need a common voter for their decisions."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from msgspec.structs import replace

from .messages import MAX_VOTERS, GroupConfig, MessageError, Voter, decode_config, pack


class ReconfigurationError(ValueError):
    """The change is not possible; the message is one line with the reason."""


def all_voters(group: GroupConfig) -> tuple[Voter, ...]:
    """The current and the old voters, sorted."""
    return tuple(sorted({*group.voters, *group.old_voters}))


def is_quorum(group: GroupConfig, voters: Collection[Voter]) -> bool:
    """Whether `voters` include a majority of the voters and, during a change, also a majority of the old voters."""
    sides = [side for side in (group.voters, group.old_voters) if side]
    return bool(sides) and all(2 * sum(v in voters for v in side) > len(side) for side in sides)


def is_old_majority(group: GroupConfig, voters: Collection[Voter]) -> bool:
    """Whether `voters` include a majority of the old voters."""
    return 2 * sum(v in voters for v in group.old_voters) > len(group.old_voters)


def joining_voters(group: GroupConfig) -> tuple[Voter, ...]:
    """Voters of the new configuration that were not in the old one; empty when no change is under way."""
    return tuple(v for v in group.voters if v not in group.old_voters) if group.old_voters else ()


def voter_names(group: GroupConfig) -> tuple[str, ...]:
    """The names of the current and the old voters, sorted."""
    return tuple(sorted({voter.name for voter in all_voters(group)}))


def with_voter_replaced(group: GroupConfig, name: str, new: Voter) -> GroupConfig:
    """Replaces the voter with this name by `new`. While a change is under way only its joining voter can be
    replaced."""
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
    """Adds a voter. Raises ReconfigurationError."""
    if group.old_voters:
        raise ReconfigurationError("another change is under way")
    if new.name in voter_names(group):
        raise ReconfigurationError(f"{new.name} is one already")
    if len(group.voters) >= MAX_VOTERS:
        raise ReconfigurationError(f"{MAX_VOTERS} vote already")
    return GroupConfig(group.epoch + 1, tuple(sorted((*group.voters, new))), group.voters)


def with_voter_removed(group: GroupConfig, name: str) -> GroupConfig:
    """Removes the voter with this name. Raises ReconfigurationError."""
    if group.old_voters:
        raise ReconfigurationError("another change is under way")
    remaining = tuple(v for v in group.voters if v.name != name)
    if len(remaining) == len(group.voters):
        raise ReconfigurationError(f"{name} is no voter")
    if not remaining:
        raise ReconfigurationError(f"{name} is the last one")
    return GroupConfig(group.epoch + 1, remaining, group.voters)


def finalized(group: GroupConfig) -> GroupConfig:
    """Ends the joint configuration: only the new voters remain."""
    if not group.old_voters:
        raise ReconfigurationError("no change is under way")
    return replace(group, epoch=group.epoch + 1, old_voters=())


Step = Callable[[GroupConfig], GroupConfig]


@dataclass(slots=True)
class ConfigChange:
    """Change function for the register that holds the group configuration. `known`: the configuration that counts
    while the register has never been written. After the call `found` is the configuration that was stored, and
    `failure` the reason why the step was not applied."""

    step: Step
    known: GroupConfig
    found: GroupConfig | None = None
    failure: str = ""

    def __call__(self, value: bytes) -> bytes | None:
        try:
            self.found = decode_config(value) if value else self.known
            if self.found.epoch > self.known.epoch:
                # Perhaps accepted by a minority only: writing it again decides it.
                self.failure = "it had changed meanwhile"
                return value
            return pack(self.step(self.found))
        except (ReconfigurationError, MessageError) as error:
            self.failure = str(error)
            return None
