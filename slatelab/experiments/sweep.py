"""A grid of parameters, each cell with the same seeds. It owns the order of the cells, which is that of the
command line, and the table that comes out. It must never run anything itself."""

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
    """One cell: what was set, how many seeds gave a result, and mean and interval of each figure over these.
    `spoiled`: "seed: reason" of the others."""

    settings: dict[str, Any]
    seeds: int
    violations: int
    broken: list[str]  # "seed: first violation", for the seeds that had any
    spoiled: list[str]
    figures: dict[str, Interval]


class Table(msgspec.Struct, frozen=True):
    """A whole sweep; `runs` holds each run's summary, cell by cell and seed by seed."""

    scenario: str
    engine: str
    seeds: list[int]
    vary: dict[str, list[Any]]
    rows: list[Row]
    runs: list[list[Summary | None]]


def cells(vary: Sequence[tuple[str, Sequence[Any]]]) -> list[tuple[Setting, ...]]:
    """All combinations, the last parameter changing fastest; one empty cell where nothing varies."""
    return list(itertools.product(*([(key, value) for value in values] for key, values in vary)))


def jobs(base: Job, vary: Sequence[tuple[str, Sequence[Any]]], seeds: Sequence[int]) -> list[Job]:
    """Cell by cell, in each the seeds in order."""
    from dataclasses import replace

    return [
        replace(base, seed=seed, overrides=(*base.overrides, *cell)) for cell in cells(vary) for seed in seeds
    ]


def table(
    base: Job, vary: Sequence[tuple[str, Sequence[Any]]], seeds: Sequence[int], outcomes: Sequence[Outcome]
) -> Table:
    """Of the outcomes of `jobs`, in that order."""
    each = [outcomes[i : i + len(seeds)] for i in range(0, len(outcomes), len(seeds))]
    rows = [_row(cell, seeds, ended) for cell, ended in zip(cells(vary), each, strict=True)]
    runs = [[one if isinstance(one, Summary) else None for one in ended] for ended in each]
    name = next((one.scenario for ended in runs for one in ended if one), base.file.stem)
    return Table(name, base.engine, list(seeds), {key: list(values) for key, values in vary}, rows, runs)


def _row(cell: Sequence[Setting], seeds: Sequence[int], ended: Sequence[Outcome]) -> Row:
    good = [(seed, one) for seed, one in zip(seeds, ended, strict=True) if isinstance(one, Summary)]
    spoiled = [
        f"{seed}: {one.reason}" for seed, one in zip(seeds, ended, strict=True) if isinstance(one, FailedRun)
    ]
    broken = [
        f"{seed}: {one.first[0] if one.first else 'a rule was broken'}"
        for seed, one in good
        if one.violations
    ]
    figures = {}
    for figure in FIGURES:
        values = [one.scalar(figure.key) for _, one in good]
        figures[figure.key] = confidence_interval([value for value in values if value is not None])
    return Row(dict(cell), len(good), sum(one.violations for _, one in good), broken, spoiled, figures)


def as_csv(whole: Table) -> str:
    """One line a cell: the parameters, then each figure's mean and the ends of its interval; empty where
    there is none."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    ends = [f"{figure.key}{end}" for figure in FIGURES for end in ("", "_low", "_high")]
    writer.writerow([*whole.vary, "seeds", "violations", *ends])
    for row in whole.rows:
        numbers = [x for figure in FIGURES for x in _three(row.figures[figure.key])]
        writer.writerow([*row.settings.values(), row.seeds, row.violations, *numbers])
    return out.getvalue()


def _three(of: Interval) -> list[str]:
    return [f"{x:.6g}" for x in (of.mean, of.low, of.high)] if of.n else ["", "", ""]
