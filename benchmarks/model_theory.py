"""Holds the engine `model` against queueing theory: mean waits of M/M/1, M/M/c and M/G/1 at one node, callers
going straight to it. It owns the formulas and the statistics. It must never look into the engine: a wait is
what the facts say, from Came to Began.

    flock -s /tmp/cores.lock python benchmarks/model_theory.py --for 170 --runs /tmp/theory.jsonl

plays runs for so many seconds, keeps their means in the file, and prints the table of all that the file
holds; called again it goes on. Full accuracy takes some 80 million orders, an hour and a half of one core.

Three columns stand beside each mean wait. Theory: the formula, and by how much the mean differs, with the
half-width of its 95 % confidence interval (Student's t over independent runs, the batch means method with
batches that share nothing). Sample: the same against the formula with the rate and the moments of work as
they were drawn in each run, which takes most of the chance out. Recursion: the waits of the very same
arrivals and work by exact recursion, which leaves no chance at all."""

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

MEAN_SERVICE_S = 0.1  # of the work
ORDERS = 100_000  # a run
WARM = 5_000  # of them left out
BOUND = 0.03


@dataclass(frozen=True)
class Cell:
    """One queue: `servers`, their load, the work's distribution, and how many runs give a standard error of 1
    %."""

    name: str
    servers: int
    load: float
    dist: str
    cv: float
    runs: int

    @property
    def rate(self) -> float:
        """Arrivals a second."""
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
    """The chance that one has to wait, in M/M/c at this load of each server (A. K. Erlang 1917; L. Kleinrock,
    Queueing Systems 1, 1975, section 3.5), from Erlang B by its recursion B(k) = a B(k-1) / (k + a
    B(k-1))."""
    offered, blocked = servers * load, 1.0
    for k in range(1, servers + 1):
        blocked = offered * blocked / (k + offered * blocked)
    return blocked / (1 - load * (1 - blocked))


def mean_wait(servers: int, rate: float, first: float, second: float) -> float:
    """Seconds in the queue: servers 1, M/G/1 by Pollaczek and Khinchine, W = rate E[S^2] / (2 (1 - rho))
    (Kleinrock, section 5.6); more, M/M/c by Erlang C, W = C / (c / E[S] - rate), where the work must be
    exponential. `first` and `second` are the moments of the work S."""
    if servers == 1:
        return rate * second / (2 * (1 - rate * first))
    return erlang_c(servers, rate * first / servers) / (servers / first - rate)


def exact(arrivals: Iterable[tuple[float, float]], servers: int) -> Iterator[float]:
    """The wait of each (time, work), first come first served, by recursion on when each server is free (D. V.
    Lindley 1952 for one; J. Kiefer and J. Wolfowitz 1955 for several)."""
    free = [0.0] * servers
    for t, work in arrivals:
        begins = max(t, free[0])
        heapreplace(free, begins + work)
        yield begins - t


# ---------------------------------------------------------------- one run


def scenario(cell: Cell, orders: int) -> Scenario:
    """Callers go straight to one node that works on as many at once as it has cores; nobody is turned away or
    gives up, and nothing is on its way for long."""
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
    """When each attempt came and its work, and how long it waited, all in microseconds and in the order of
    coming."""
    came: dict[str, tuple[int, int]] = {}
    began: dict[str, int] = {}
    for fact in records:
        if isinstance(fact, Came):
            came[fact.request] = fact.t, fact.work_us
        elif isinstance(fact, Began):
            began[fact.request] = fact.t
    return list(came.values()), [began[request] - t for request, (t, _) in came.items()]


def simulate(cell: Cell, seed: int, orders: int = ORDERS, warm: int = WARM) -> dict[str, float]:
    """The means of one run, in seconds: the wait, what theory makes of the moments as drawn, and the exact
    one."""
    arrivals, waited = waits(run(scenario(cell, orders), seed, Path("."), None).records)
    precise = list(exact(arrivals, cell.servers))
    kept = [work / 1e6 for _, work in arrivals[warm:]]
    span = (arrivals[-1][0] - arrivals[warm][0]) / 1e6
    first, second = fmean(kept), fmean(work * work for work in kept)
    return {
        "wait": fmean(waited[warm:]) / 1e6,
        "sample": mean_wait(cell.servers, (len(kept) - 1) / span, first, second),
        "recursion": fmean(precise[warm:]) / 1e6,
        "furthest_us": max(abs(a - b) for a, b in zip(waited, precise, strict=True)),
    }


# ---------------------------------------------------------------- the table


def interval(values: list[float]) -> tuple[float, float]:
    """Mean and half-width of the 95 % confidence interval, by Student's t."""
    from scipy import stats

    mean = fmean(values)
    if len(values) < 2:
        return mean, math.inf
    return mean, float(stats.t.ppf(0.975, len(values) - 1) * stats.sem(values))


def line(cell: Cell, runs: list[dict[str, float]]) -> str:
    theory = mean_wait(cell.servers, cell.rate, MEAN_SERVICE_S, MEAN_SERVICE_S**2 * (1 + cell.cv**2))
    mean, wide = interval([run["wait"] for run in runs])
    sample = fmean(run["wait"] for run in runs) / fmean(run["sample"] for run in runs) - 1
    recursion = mean / fmean(run["recursion"] for run in runs) - 1
    furthest = max(run["furthest_us"] for run in runs)
    verdict = "ok" if abs(mean / theory - 1) <= BOUND else "OUT"
    millions = len(runs) * (ORDERS - WARM) / 1e6
    return (
        f"{cell.name:<14} {cell.load:.1f} {millions:>6.2f}M {theory * 1e3:>9.2f} {mean * 1e3:>9.2f}"
        f" {mean / theory - 1:>+7.2%} ±{wide / theory:>6.2%} {verdict:<4}{sample:>+7.2%} {recursion:>+9.4%}"
        f" {furthest:>6.1f}"
    )


def table(done: dict[str, list[dict[str, float]]]) -> Iterator[str]:
    yield "queue         load  orders theory ms  model ms    diff     95 %    sample  recursion max µs"
    for cell in CELLS:
        if runs := done.get(key(cell)):
            yield line(cell, runs)


def key(cell: Cell) -> str:
    return json.dumps(asdict(cell) | {"runs": 0})


def played(
    todo: list[tuple[Cell, int]], processes: int, end: float
) -> Iterator[tuple[Cell, int, dict[str, float]]]:
    """Takes runs off the list until it is empty or the time is up, and sees those begun to their end."""
    with ProcessPoolExecutor(processes) as pool:
        under_way: dict[Future[dict[str, float]], tuple[Cell, int]] = {}
        while under_way or (todo and time.monotonic() < end):
            while todo and len(under_way) < processes and time.monotonic() < end:
                cell, seed = todo.pop(0)
                under_way[pool.submit(simulate, cell, seed)] = cell, seed
            for future in wait(under_way, return_when=FIRST_COMPLETED).done:
                yield *under_way.pop(future), future.result()


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
    have = {(one["cell"], one["seed"]) for one in kept}
    # Turn by turn, so that all cells grow alike.
    todo = [
        (cell, seed)
        for turn in range(20)
        for cell in CELLS
        for seed in range(cell.runs * turn // 20, cell.runs * (turn + 1) // 20)
        if (key(cell), seed) not in have
    ]
    for cell, seed, means in played(todo, arguments.processes, time.monotonic() + arguments.seconds):
        kept.append({"cell": key(cell), "seed": seed, "means": means})
        with arguments.runs.open("a") as file:
            file.write(json.dumps(kept[-1]) + "\n")
    done: dict[str, list[dict[str, float]]] = {}
    for one in kept:
        done.setdefault(one["cell"], []).append(one["means"])
    print("\n".join(table(done)))
    print(f"{len(todo)} runs to go" if todo else "complete")


if __name__ == "__main__":
    main()
