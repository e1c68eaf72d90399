"""Two sides on the same days: for each seed the same orders go to both, and what counts is the difference
within each pair. It owns the pairing and the table of differences. It must never run anything itself, nor
call a side better while it hides that it broke a rule."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from .batch import FailedRun, Outcome
from .run import Job, Summary
from .statistics import FIGURES, Interval, difference


class Line(msgspec.Struct, frozen=True):
    """One figure: means of both sides, b minus a with its interval, and the verdict on b."""

    figure: str
    a: float
    b: float
    difference: Interval
    verdict: str


class Comparison(msgspec.Struct, frozen=True):
    """`violations`: "side seed: rule", of either side. `spoiled`: the same of runs without a result; their
    whole pair counts nowhere. `same`: how many pairs were equal to the last byte."""

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
    """Two for each seed. Which side goes first changes from seed to seed, so that a machine that grows slower
    in the course of the hour wrongs neither."""
    order: list[Job] = []
    for i, seed in enumerate(seeds):
        pair = [replace(a, seed=seed), replace(b, seed=seed)]
        order += reversed(pair) if i % 2 else pair
    return order


def compare(a: str, b: str, base: Job, seeds: Sequence[int], outcomes: Sequence[Outcome]) -> Comparison:
    """Of the outcomes of `jobs`, in that order; `a` and `b` are the names to show."""
    pairs = [_pair(i, outcomes) for i in range(len(seeds))]
    names = (a, b)
    good = [(x, y) for x, y in pairs if isinstance(x, Summary) and isinstance(y, Summary)]
    lines = [_line(figure, good) for figure in FIGURES]
    return Comparison(
        scenario=good[0][0].scenario if good else base.file.stem,
        engine=base.engine,
        a=a,
        b=b,
        seeds=list(seeds),
        lines=lines,
        verdict=next(line.verdict for line in lines if line.figure == "goodput"),
        violations=[
            f"{name} seed {seed}: {one.violations}: {'; '.join(one.first) or _counts(one.rules)}"
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
        same=sum(x.trace_sha256 == y.trace_sha256 for x, y in good),
        runs=[(_kept(x), _kept(y)) for x, y in pairs],
    )


def _pair(i: int, outcomes: Sequence[Outcome]) -> tuple[Outcome, Outcome]:
    first, second = outcomes[2 * i], outcomes[2 * i + 1]
    return (second, first) if i % 2 else (first, second)


def _line(figure: Any, good: Sequence[tuple[Summary, Summary]]) -> Line:
    of = difference(figure, [x.scalar(figure.key) for x, _ in good], [y.scalar(figure.key) for _, y in good])
    return Line(figure.key, of.a, of.b, of.interval, of.verdict)


def _counts(rules: dict[str, int]) -> str:
    return ", ".join(f"{rule} {count}" for rule, count in rules.items())


def _kept(one: Outcome) -> Summary | None:
    return one if isinstance(one, Summary) else None
