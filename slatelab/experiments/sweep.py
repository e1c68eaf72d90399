"""A parameter grid, each cell with the same seeds. This module defines the order of the cells, which is that of the
command line, and the resulting table. It runs nothing itself."""

from __future__ import annotations

import csv
import io
import itertools
from collections.abc import Sequence
from typing import Any

import msgspec

from .batch import FailedRun, Outcome
from .run import Job, Summary
from .statistics import FIGURES, Interval, confidence_interval

Setting = tuple[str, Any]


class Row(msgspec.Struct, frozen=True):
    """One cell: its settings, the number of seeds with a result, and mean and interval of each figure over these seeds.
    `spoiled`: "seed: reason" of the others."""

    settings: dict[str, Any]
    seeds: int
    violations: int
    broken: list[str]  # "seed: first violation", for the seeds that had any
    spoiled: list[str]
    figures: dict[str, Interval]


class Table(msgspec.Struct, frozen=True):
    """A whole sweep; `runs` holds the summary of each run by cell and seed."""

    scenario: str
    engine: str
    seeds: list[int]
    vary: dict[str, list[Any]]
    rows: list[Row]
    runs: list[list[Summary | None]]


def cells(vary: Sequence[tuple[str, Sequence[Any]]]) -> list[tuple[Setting, ...]]:
    """Returns all combinations, the last parameter changing fastest; one empty cell if nothing varies."""
    return list(itertools.product(*([(key, value) for value in values] for key, values in vary)))


def jobs(base: Job, vary: Sequence[tuple[str, Sequence[Any]]], seeds: Sequence[int]) -> list[Job]:
    """Returns the jobs cell by cell, with the seeds of each cell in order."""
    from dataclasses import replace

    return [
        replace(base, seed=seed, overrides=(*base.overrides, *cell)) for cell in cells(vary) for seed in seeds
    ]


def table(
    base: Job, vary: Sequence[tuple[str, Sequence[Any]]], seeds: Sequence[int], outcomes: Sequence[Outcome]
) -> Table:
    """Builds the table from the outcomes of `jobs`, given in that order."""
    by_cell = [outcomes[i : i + len(seeds)] for i in range(0, len(outcomes), len(seeds))]
    rows = [
        _row(cell, seeds, cell_outcomes) for cell, cell_outcomes in zip(cells(vary), by_cell, strict=True)
    ]
    runs = [[one if isinstance(one, Summary) else None for one in cell_outcomes] for cell_outcomes in by_cell]
    name = next((one.scenario for cell_outcomes in runs for one in cell_outcomes if one), base.file.stem)
    return Table(name, base.engine, list(seeds), {key: list(values) for key, values in vary}, rows, runs)


def _row(cell: Sequence[Setting], seeds: Sequence[int], cell_outcomes: Sequence[Outcome]) -> Row:
    completed = [
        (seed, one) for seed, one in zip(seeds, cell_outcomes, strict=True) if isinstance(one, Summary)
    ]
    spoiled = [
        f"{seed}: {one.reason}"
        for seed, one in zip(seeds, cell_outcomes, strict=True)
        if isinstance(one, FailedRun)
    ]
    broken = [
        f"{seed}: {one.first[0] if one.first else 'a rule was broken'}"
        for seed, one in completed
        if one.violations
    ]
    figures = {}
    for figure in FIGURES:
        values = [one.scalar(figure.key) for _, one in completed]
        figures[figure.key] = confidence_interval([value for value in values if value is not None])
    return Row(
        dict(cell), len(completed), sum(one.violations for _, one in completed), broken, spoiled, figures
    )


def as_csv(whole: Table) -> str:
    """Returns one line per cell: the parameters, then mean and interval ends of each figure, empty if there are
    none."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    ends = [f"{figure.key}{end}" for figure in FIGURES for end in ("", "_low", "_high")]
    writer.writerow([*whole.vary, "seeds", "violations", *ends])
    for row in whole.rows:
        numbers = [x for figure in FIGURES for x in _interval_columns(row.figures[figure.key])]
        writer.writerow([*row.settings.values(), row.seeds, row.violations, *numbers])
    return out.getvalue()


def _interval_columns(of: Interval) -> list[str]:
    return [f"{x:.6g}" for x in (of.mean, of.low, of.high)] if of.n else ["", "", ""]
