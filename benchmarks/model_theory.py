"""Compares the model engine with queueing theory: mean waits of M/M/1, M/M/c and M/G/1 at one node, to which callers
connect directly. This module has the formulas and the statistics. A wait is taken from the records, from Came to Began,
not from the engine's state.

    python benchmarks/model_theory.py --for 170 --runs /tmp/theory.jsonl

simulates for the given number of seconds, appends the means of each run to the file, and prints the table of all runs
in the file; another call continues. Full accuracy takes some 80 million orders, an hour and a half of one core.

Each mean wait is compared with three values. Theory: the formula, with the difference of the mean and the half-width of
its 95 % confidence interval (Student's t over independent runs, the batch means method with independent batches).
Sample: the difference from the formula with the rate and the moments of work as drawn in each run, which removes most
of the random error. Recursion: the difference from the waits computed by exact recursion from the same arrivals and
work, which has no random error."""

from __future__ import annotations

import argparse
import json
import math
import os
import sys
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import asdict, dataclass
from heapq import heapreplace
from pathlib import Path
from statistics import fmean

sys.path.insert(0, str(Path(__file__).parents[1]))

from slatelab.model import run  # noqa: E402
from slatelab.records import Began, Came, Record  # noqa: E402
from slatelab.scenario import Scenario, parse  # noqa: E402

MEAN_SERVICE_S = 0.1
ORDERS = 100_000  # per run
WARM = 5_000  # first orders of a run, which are left out
MAX_DIFFERENCE = 0.03  # of the mean from theory, relative


@dataclass(frozen=True)
class Cell:
    """One queue: `servers`, their load, the work's distribution, and the number of runs that give a standard error of
    1 %."""

    name: str
    servers: int
    load: float
    dist: str
    cv: float
    runs: int

    @property
    def rate(self) -> float:
        """Arrivals per second."""
        return self.load * self.servers / MEAN_SERVICE_S


LOADS = (0.5, 0.8, 0.9)
KINDS = [
    ("M/M/1", 1, "exponential", 1.0, (6, 18, 50)),
    ("M/M/2", 2, "exponential", 1.0, (8, 22, 56)),
    ("M/M/4", 4, "exponential", 1.0, (18, 28, 64)),
    ("M/M/8", 8, "exponential", 1.0, (58, 44, 80)),
    ("M/D/1", 1, "fixed", 0.0, (4, 8, 18)),
    ("M/LN/1 cv 0.5", 1, "lognormal", 0.5, (4, 12, 26)),
    ("M/LN/1 cv 2", 1, "lognormal", 2.0, (66, 122, 200)),
]
CELLS = [
    Cell(name, servers, load, dist, cv, runs)
    for name, servers, dist, cv, all_runs in KINDS
    for load, runs in zip(LOADS, all_runs, strict=True)
]

# ---------------------------------------------------------------- theory


def erlang_c(servers: int, load: float) -> float:
    """Returns the probability of waiting in M/M/c at this load of each server (A. K. Erlang 1917; L. Kleinrock,
    Queueing Systems 1, 1975, section 3.5), from Erlang B by its recursion B(k) = a B(k-1) / (k + a
    B(k-1))."""
    offered, blocked = servers * load, 1.0
    for k in range(1, servers + 1):
        blocked = offered * blocked / (k + offered * blocked)
    return blocked / (1 - load * (1 - blocked))


def mean_wait(servers: int, rate: float, first: float, second: float) -> float:
    """Returns the mean wait in seconds. One server: M/G/1 by Pollaczek and Khinchine, W = rate E[S^2] / (2 (1 - rho))
    (Kleinrock, section 5.6). Several: M/M/c by Erlang C, W = C / (c / E[S] - rate), where the work must be
    exponential. `first` and `second` are the moments of the work S."""
    if servers == 1:
        return rate * second / (2 * (1 - rate * first))
    return erlang_c(servers, rate * first / servers) / (servers / first - rate)


def exact_waits(arrivals: Iterable[tuple[float, float]], servers: int) -> Iterator[float]:
    """Yields the wait of each (time, work), first come first served, by recursion on the times at which the servers
    become free (D. V. Lindley 1952 for one; J. Kiefer and J. Wolfowitz 1955 for several)."""
    free = [0.0] * servers
    for t, work in arrivals:
        begins = max(t, free[0])
        heapreplace(free, begins + work)
        yield begins - t


# ---------------------------------------------------------------- one run


def scenario(cell: Cell, orders: int) -> Scenario:
    """Returns a scenario in which callers connect directly to one node that serves as many requests at once as it has
    cores. No request is refused or given up, and the network has no delay."""
    work = {"mean": f"{MEAN_SERVICE_S} s", "dist": cell.dist, "cv": cell.cv}
    kind = {
        "name": "node", "nodes": 1, "cores": cell.servers, "slots": cell.servers, "waiting": 100_000,
        "connections": 100_000,
    }  # fmt: skip
    return parse({
        "scenario": {"name": "queue", "duration": f"{orders / cell.rate} s"},
        "proxy": {"kind": "direct"},
        "network": {"delay": "0 s", "client_delay": "0 s", "handshake_trips": 0},
        "clients": {"connections": 100_000},
        "class": [{"name": "job", "aim": "24 h", "deadline": "24 h", "work": work}],
        "tier": [{"name": "queue", "kind": [kind]}],
        "arrivals": [{"kind": "poisson", "rate": f"{cell.rate} / s"}],
    })  # fmt: skip


def waits(records: Iterable[Record]) -> tuple[list[tuple[int, int]], list[int]]:
    """Returns arrival time and work of each attempt, and its wait, all in microseconds and in order of arrival."""
    came: dict[str, tuple[int, int]] = {}
    began: dict[str, int] = {}
    for fact in records:
        if isinstance(fact, Came):
            came[fact.request] = fact.t, fact.work_us
        elif isinstance(fact, Began):
            began[fact.request] = fact.t
    return list(came.values()), [began[request] - t for request, (t, _) in came.items()]


def simulate(cell: Cell, seed: int, orders: int = ORDERS, warm: int = WARM) -> dict[str, float]:
    """Returns the means of one run in seconds: the wait, the wait by theory from the moments as drawn, and the exact
    wait; and the largest difference of a wait from the exact one, in microseconds."""
    arrivals, waited = waits(run(scenario(cell, orders), seed, Path("."), None).records)
    exact = list(exact_waits(arrivals, cell.servers))
    kept = [work / 1e6 for _, work in arrivals[warm:]]
    duration_s = (arrivals[-1][0] - arrivals[warm][0]) / 1e6
    first, second = fmean(kept), fmean(work * work for work in kept)
    return {
        "wait": fmean(waited[warm:]) / 1e6,
        "sample": mean_wait(cell.servers, (len(kept) - 1) / duration_s, first, second),
        "recursion": fmean(exact[warm:]) / 1e6,
        "furthest_us": max(abs(a - b) for a, b in zip(waited, exact, strict=True)),
    }


# ---------------------------------------------------------------- the table


def interval(values: list[float]) -> tuple[float, float]:
    """Returns mean and half-width of the 95 % confidence interval, by Student's t."""
    from scipy import stats

    mean = fmean(values)
    if len(values) < 2:
        return mean, math.inf
    return mean, float(stats.t.ppf(0.975, len(values) - 1) * stats.sem(values))


def line(cell: Cell, runs: list[dict[str, float]]) -> str:
    theory = mean_wait(cell.servers, cell.rate, MEAN_SERVICE_S, MEAN_SERVICE_S**2 * (1 + cell.cv**2))
    mean, half_width = interval([run["wait"] for run in runs])
    sample = fmean(run["wait"] for run in runs) / fmean(run["sample"] for run in runs) - 1
    recursion = mean / fmean(run["recursion"] for run in runs) - 1
    max_difference_us = max(run["furthest_us"] for run in runs)
    verdict = "ok" if abs(mean / theory - 1) <= MAX_DIFFERENCE else "OUT"
    millions = len(runs) * (ORDERS - WARM) / 1e6
    return (
        f"{cell.name:<14} {cell.load:.1f} {millions:>6.2f}M {theory * 1e3:>9.2f} {mean * 1e3:>9.2f}"
        f" {mean / theory - 1:>+7.2%} ±{half_width / theory:>6.2%} {verdict:<4}{sample:>+7.2%} {recursion:>+9.4%}"
        f" {max_difference_us:>6.1f}"
    )


def table(done: dict[str, list[dict[str, float]]]) -> Iterator[str]:
    yield "queue         load  orders theory ms  model ms    diff     95 %    sample  recursion max µs"
    for cell in CELLS:
        if runs := done.get(key(cell)):
            yield line(cell, runs)


def key(cell: Cell) -> str:
    return json.dumps(asdict(cell) | {"runs": 0})


def completed_runs(
    pending: list[tuple[Cell, int]], processes: int, end: float
) -> Iterator[tuple[Cell, int, dict[str, float]]]:
    """Starts runs from the list until it is empty or the time is up, and yields the results of all started runs."""
    with ProcessPoolExecutor(processes) as pool:
        running: dict[Future[dict[str, float]], tuple[Cell, int]] = {}
        while running or (pending and time.monotonic() < end):
            while pending and len(running) < processes and time.monotonic() < end:
                cell, seed = pending.pop(0)
                running[pool.submit(simulate, cell, seed)] = cell, seed
            for future in wait(running, return_when=FIRST_COMPLETED).done:
                yield *running.pop(future), future.result()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument(
        "--for", dest="seconds", type=float, default=170.0, help="play runs for so many seconds"
    )
    parser.add_argument(
        "--runs", type=Path, default=Path("theory.jsonl"), help="where finished runs are kept"
    )
    parser.add_argument("--processes", type=int, default=os.cpu_count() or 1)
    arguments = parser.parse_args()
    texts = arguments.runs.read_text().splitlines() if arguments.runs.exists() else []
    kept = [json.loads(text) for text in texts]
    finished = {(one["cell"], one["seed"]) for one in kept}
    # In turns, so that the number of runs grows evenly in all cells.
    pending = [
        (cell, seed)
        for turn in range(20)
        for cell in CELLS
        for seed in range(cell.runs * turn // 20, cell.runs * (turn + 1) // 20)
        if (key(cell), seed) not in finished
    ]
    for cell, seed, means in completed_runs(
        pending, arguments.processes, time.monotonic() + arguments.seconds
    ):
        kept.append({"cell": key(cell), "seed": seed, "means": means})
        with arguments.runs.open("a") as file:
            file.write(json.dumps(kept[-1]) + "\n")
    done: dict[str, list[dict[str, float]]] = {}
    for one in kept:
        done.setdefault(one["cell"], []).append(one["means"])
    print("\n".join(table(done)))
    print(f"{len(pending)} runs to go" if pending else "complete")


if __name__ == "__main__":
    main()
