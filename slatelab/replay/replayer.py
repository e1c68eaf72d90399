"""Replays the batches of a recording through a decision module and compares the returned actions with the recorded
ones. The replay stops at the first difference, because the two states differ from there on."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from typing import Any

from slatehub.observe.flight import Batch, EncodedItem, FlightRecording, RecordingError

Named = tuple[str, dict[str, Any]]  # an event or action: its kind and its fields


@dataclass(frozen=True, slots=True)
class Step:
    """One replayed batch. `wanted` or `got` is None if the module failed in the recording or in the replay; `problem`
    is the error of the replay."""

    index: int
    batch: Batch
    events: list[Any]
    wanted: list[Named] | None
    got: list[Named] | None
    problem: str = ""
    matches: bool = True

    def first_difference(self) -> tuple[Named | None, Named | None]:
        """Returns the first pair of actions that differ, with None for a side that has no action at that place."""
        wanted, got = self.wanted or [], self.got or []
        for i in range(max(len(wanted), len(got))):
            pair = (wanted[i] if i < len(wanted) else None, got[i] if i < len(got) else None)
            if pair[0] != pair[1]:
                return pair
        return None, None


def to_named(one: Any) -> Named:
    return type(one).__name__, {f.name: getattr(one, f.name) for f in fields(one)}


def from_recorded(recording: FlightRecording, one: EncodedItem) -> Named:
    place, values = one
    if not 0 <= place < len(recording.header.kinds):
        raise RecordingError("an action cannot be read: unknown kind")
    kind, names = recording.header.kinds[place]
    return kind, dict(zip(names, values, strict=False))


def replay_batches(
    recording: FlightRecording, package: str, prepare: Callable[[Any], None] | None = None
) -> Iterator[Step]:
    """Yields a step for each batch in order, up to the first difference. `prepare` is called with the Balancer before
    the first batch. Raises RecordingError if this module cannot load the recorded state or events."""
    balancer = recording.load_balancer(package)
    if prepare:
        prepare(balancer)
    for index, batch in enumerate(recording.batches):
        step = _step(recording, package, balancer, index, batch)
        yield step
        if not step.matches:
            return


def _step(recording: FlightRecording, package: str, balancer: Any, index: int, batch: Batch) -> Step:
    events = [recording.decode_item(one, package) for one in batch.events]
    wanted = None if batch.actions is None else [from_recorded(recording, one) for one in batch.actions]
    got: list[Named] | None = None
    problem = ""
    try:
        got = [to_named(action) for action in balancer.handle(batch.now, events)]
    except Exception as error:
        problem = f"{type(error).__name__}: {error}"[:400]
    matches = wanted == got and (got is not None or problem == recording.header.problem)
    return Step(index, batch, events, wanted, got, problem, matches)
