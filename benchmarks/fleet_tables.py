"""Benchmark of a fleet against proxies that share nothing, by the number of proxies: Markdown tables from the model
engine, paired by seed, with 95 % intervals (Student's t). FOLDER holds an earlier version with its own lab. Takes long.

    .lab/bin/python benchmarks/fleet_tables.py [--before FOLDER] [--only NAME,..] [--sizes 1,4,16,64,200]
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from pathlib import Path
from statistics import mean, stdev
from typing import Any

from scipy.stats import t as student

from slatelab import records as r
from slatelab.figures.measure import measure
from slatelab.judge import judge
from slatelab.judge.fleet_rules import priority_inversions
from slatelab.model import run
from slatelab.scenario import load

FOLDER = Path(__file__).parents[1] / "scenarios"
Key = tuple[str, str, int, int]  # scenario, variant, proxies, seed
VARIANTS: dict[str, dict[str, Any]] = {
    "alone": {"fleet.peers": False}, "peers": {"fleet.peers": True}, "cut": {"fleet.peers": True, "fleet.lost": 1.0},
}  # fmt: skip


def run_scenario(job: tuple[Key, str]) -> tuple[Key, dict[str, float]]:
    """Runs one scenario. Returns the key and the figures by name."""
    (name, variant, proxies, seed), before = job
    if variant == "before":
        return job[0], _run_earlier_version(name, proxies, seed, before)
    scenario = load(FOLDER / f"{name}.toml", {"tier.0.proxies": proxies, **VARIANTS[variant]})
    records = run(scenario, seed, FOLDER, None).records
    figures = measure(scenario, records)
    bad = {f.targets[0] for f in records if isinstance(f, r.FaultBegan) and f.targets}
    came = [f for f in records if isinstance(f, r.Came)]
    found = {
        "goodput": 100 * (figures.goodput or 0), "p50": figures.latency.p50 or 0, "attempts": figures.attempts or 0,
        "violations": float(len(judge(scenario, records).violations)),
        "at_bad": float(sum(f.node in bad and 10e6 <= f.first < 26e6 for f in came)),
        "inverted": 100 * (priority_inversions(scenario, records) or 0.0),
    }  # fmt: skip
    return job[0], found


def _run_earlier_version(name: str, proxies: int, seed: int, folder: str) -> dict[str, float]:
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        command = [
            sys.executable, "-m", "slatelab", "run", str(FOLDER / f"{name}.toml"), "--set", f"tier.0.proxies={proxies}",
            "--seed", str(seed), "--quiet", "--drop", "--json", file.name,
        ]  # fmt: skip
        env = {**os.environ, "PYTHONPATH": folder}
        subprocess.run(command, cwd=folder, env=env, check=True, capture_output=True)
        summary = json.loads(Path(file.name).read_text())
    return {
        "goodput": 100 * summary["goodput"],
        "p50": summary["latency_ms"]["p50"],
        "violations": summary["violations"],
    }


def interval(values: list[float]) -> str:
    """Returns the mean and half the width of its 95 % interval (Student's t) as text."""
    if len(values) < 2:
        return f"{mean(values):.2f}"
    half = float(student.ppf(0.975, len(values) - 1)) * stdev(values) / sqrt(len(values))
    return f"{mean(values):.2f} ± {half:.2f}"


class Table:
    def __init__(self, found: dict[Key, dict[str, float]], seeds: range) -> None:
        self.figures, self.seeds = found, seeds

    def of(self, name: str, variant: str, size: int, figure: str) -> list[float]:
        return [self.figures[name, variant, size, seed][figure] for seed in self.seeds]

    def difference(self, name: str, a: str, b: str, size: int, figure: str) -> str:
        pairs = zip(self.of(name, a, size, figure), self.of(name, b, size, figure), strict=True)
        return interval([y - x for x, y in pairs])


def goodput_table(table: Table, name: str, variants: list[str], sizes: list[int]) -> Iterator[str]:
    headers = " | ".join(f"{v}: goodput %, median ms" for v in variants)
    yield f"\n{name}\n\n| proxies | {headers} | peers - alone |"
    yield "|" + " --- |" * (len(variants) + 2)
    for size in sizes:
        cells = []
        for variant in variants:
            good, p50 = table.of(name, variant, size, "goodput"), table.of(name, variant, size, "p50")
            cells.append(f"{interval(good)}, {mean(p50):.0f}")
        yield (
            f"| {size} | "
            + " | ".join(cells)
            + f" | {table.difference(name, 'alone', 'peers', size, 'goodput')} |"
        )


def figure_table(
    table: Table, name: str, figure: str, variants: list[str], sizes: list[int]
) -> Iterator[str]:
    yield (
        f"\n{name}, {figure}\n\n| proxies | "
        + " | ".join(variants)
        + " |\n|"
        + " --- |" * (len(variants) + 1)
    )
    for size in sizes:
        yield f"| {size} | " + " | ".join(interval(table.of(name, v, size, figure)) for v in variants) + " |"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--before", default="")
    parser.add_argument("--sizes", default="1,4,16,64,200")
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    sizes, seeds = [int(x) for x in args.sizes.split(",")], range(1, args.seeds + 1)
    two, few = ["alone", "peers"], sizes[:4]
    three = [*(["before"] if args.before else []), "alone", "peers"]
    tables: dict[str, tuple[list[str], list[int], Callable[[Table, str], Iterator[str]]]] = {
        "storm-outage": (three, sizes, lambda t, n: goodput_table(t, n, three, sizes)),
        "many-proxies": (three, sizes, lambda t, n: goodput_table(t, n, three, sizes)),
        "one-ejected": (two, few, lambda t, n: figure_table(t, n, "at_bad", two, few)),
        "all-half-fail": (two, few, lambda t, n: figure_table(t, n, "attempts", two, few)),
        "one-loud": (two, few[1:], lambda t, n: figure_table(t, n, "inverted", two, few[1:])),
    }  # fmt: skip
    for name, (variants, counts, table_lines) in tables.items():
        if args.only and name not in args.only.split(","):
            continue
        keys = [(name, v, n, s) for n in reversed(counts) for v in variants for s in seeds]
        if name == "storm-outage":
            keys += [(name, "cut", 16, s) for s in seeds]
        with ProcessPoolExecutor(args.jobs) as pool:
            found = dict(pool.map(run_scenario, [(key, args.before) for key in keys]))
        table = Table(found, seeds)
        print("\n".join(table_lines(table, name)), flush=True)
        if name == "storm-outage":
            print(
                f"\nall links cut, 16 proxies, against alone: {table.difference(name, 'alone', 'cut', 16, 'goodput')}"
            )
        broken = sum(figures["violations"] for figures in found.values())
        print(f"\n{len(found)} days, {broken:.0f} breaches of rules", flush=True)


if __name__ == "__main__":
    main()
