"""Comparison of two sides with the same seeds: for each seed both sides get the same orders, and the difference within
each pair is evaluated. This module defines the pairing and the table of differences; it runs nothing itself. The table
lists the rules that a side broke beside its verdict."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from .batch import FailedRun, Outcome
from .run import Job, Summary
from .statistics import FIGURES, Interval, difference


class Line(msgspec.Struct, frozen=True):
    """One figure: the means of both sides, b minus a with its interval, and the verdict on b."""

    figure: str
    a: float
    b: float
    difference: Interval
    verdict: str


class Comparison(msgspec.Struct, frozen=True):
    """`violations`: "side seed: rule" of both sides. `spoiled`: the same of runs without a result; their whole pair is
    left out. `same`: the number of pairs whose records are byte-identical."""

    scenario: str
    engine: str
    a: str
    b: str
    seeds: list[int]
    lines: list[Line]
    verdict: str  # of goodput
    violations: list[str]
    spoiled: list[str]
    same: int
    runs: list[tuple[Summary | None, Summary | None]]


def jobs(a: Job, b: Job, seeds: Sequence[int]) -> list[Job]:
    """Returns two jobs for each seed. The side that runs first alternates from seed to seed, so that a machine that
    slows down during the comparison favours neither."""
    ordered: list[Job] = []
    for i, seed in enumerate(seeds):
        pair = [replace(a, seed=seed), replace(b, seed=seed)]
        ordered += reversed(pair) if i % 2 else pair
    return ordered


def compare(a: str, b: str, base: Job, seeds: Sequence[int], outcomes: Sequence[Outcome]) -> Comparison:
    """Compares the outcomes of `jobs`, given in that order; `a` and `b` are the names to show."""
    pairs = [_pair(i, outcomes) for i in range(len(seeds))]
    names = (a, b)
    complete = [(x, y) for x, y in pairs if isinstance(x, Summary) and isinstance(y, Summary)]
    lines = [_compare_figure(figure, complete) for figure in FIGURES]
    return Comparison(
        scenario=complete[0][0].scenario if complete else base.file.stem,
        engine=base.engine,
        a=a,
        b=b,
        seeds=list(seeds),
        lines=lines,
        verdict=next(line.verdict for line in lines if line.figure == "goodput"),
        violations=[
            f"{name} seed {seed}: {one.violations}: {'; '.join(one.first) or _format_counts(one.rules)}"
            for seed, pair in zip(seeds, pairs, strict=True)
            for name, one in zip(names, pair, strict=True)
            if isinstance(one, Summary) and one.violations
        ],
        spoiled=[
            f"{name} seed {seed}: {one.reason}"
            for seed, pair in zip(seeds, pairs, strict=True)
            for name, one in zip(names, pair, strict=True)
            if isinstance(one, FailedRun)
        ],
        same=sum(x.trace_sha256 == y.trace_sha256 for x, y in complete),
        runs=[(_summary_or_none(x), _summary_or_none(y)) for x, y in pairs],
    )


def _pair(i: int, outcomes: Sequence[Outcome]) -> tuple[Outcome, Outcome]:
    first, second = outcomes[2 * i], outcomes[2 * i + 1]
    return (second, first) if i % 2 else (first, second)


def _compare_figure(figure: Any, complete: Sequence[tuple[Summary, Summary]]) -> Line:
    result = difference(
        figure, [x.scalar(figure.key) for x, _ in complete], [y.scalar(figure.key) for _, y in complete]
    )
    return Line(figure.key, result.a, result.b, result.interval, result.verdict)


def _format_counts(rules: dict[str, int]) -> str:
    return ", ".join(f"{rule} {count}" for rule, count in rules.items())


def _summary_or_none(one: Outcome) -> Summary | None:
    return one if isinstance(one, Summary) else None
