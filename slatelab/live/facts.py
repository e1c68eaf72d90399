"""Writes the facts of an emulating process to a file in the scratch folder, in batches, and converts their
times from the process's own time to that of the scenario. No fact is dropped silently."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec.structs import replace

from slatelab.records import Asked, Came, Fact, Told

BATCH_FACTS = 256  # small enough that writing a batch never takes a millisecond
MAX_FACTS = 5_000_000  # in one process; each takes about 150 bytes
OTHER_TIME_FIELDS: dict[type[Fact], tuple[str, ...]] = {
    Asked: ("intended", "until"),
    Came: ("first",),
    Told: ("since",),
}


class TooManyFacts(Exception):
    """The run produces more facts than the lab holds."""


class FactWriter:
    """Buffers facts until the start of the scenario is known; from then on times count from it."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb", buffering=0)
        self._encoder = msgspec.json.Encoder()
        self._held: list[Fact] = []
        self._day_start: int | None = None
        self.count = 0

    def add(self, fact: Fact) -> None:
        """Adds a fact. Raises TooManyFacts."""
        self._held.append(fact)
        self.count += 1
        if self.count > MAX_FACTS:
            raise TooManyFacts(f"more than {MAX_FACTS} facts from one process: shorten the run")
        if len(self._held) >= BATCH_FACTS and self._day_start is not None:
            self.flush()

    def begin(self, day_start: int) -> None:
        """Sets the start of the scenario, in the facts' own time. Earlier times are recorded as 0."""
        self._day_start = day_start

    def flush(self) -> None:
        buffered, self._held = self._held, []
        if self._day_start:
            buffered = [_shifted(fact, self._day_start) for fact in buffered]
        self._file.write(self._encoder.encode_lines(buffered))

    def close(self) -> None:
        self.flush()
        self._file.close()


def _shifted(fact: Fact, offset: int) -> Fact:
    times = {
        key: _shifted_time(getattr(fact, key), offset)
        for key in ("t", *OTHER_TIME_FIELDS.get(type(fact), ()))
    }
    return replace(fact, **times)


def _shifted_time(t: int, offset: int) -> int:
    return max(0, t - offset)
