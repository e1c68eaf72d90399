"""Benchmark of one decision: `Balancer.handle` in steady state at 10 to 10,000 nodes with 1, 10 and 100 requests in
progress, and the cost of a change of the node list. Run it on an idle core:

    python benchmarks/decision_cost.py [--nodes 10,100,1000,10000] [--hand 1,10,100] [--json FILE]

Each figure is the median of several rounds, in microseconds for one request: its Arrival and its Outcome, each in a
batch of its own, as in the daemon under low load."""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

import click

sys.path.insert(0, str(Path(__file__).parents[1]))

from paddlestep import (  # noqa: E402
    Action,
    Arrival,
    Balancer,
    Effect,
    Entry,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    Send,
    ServiceClass,
    Settings,
    State,
    Status,
)

MS = 1_000
CLASSES = (
    ServiceClass("job-status", Effect.SAFE, aim_us=2_500 * MS, deadline_us=6_000 * MS, worth=3),
    ServiceClass("order-place", Effect.UNSAFE, aim_us=2_500 * MS, deadline_us=6_000 * MS, worth=10),
)
SETTINGS = Settings(
    CLASSES, siblings=2, tiers=3, max_attempts=4, may_cancel=True, may_duplicate=True, tick_us=5 * MS, cold_from=0.32,
    warm_after_us=9_000 * MS, fall_multiple=3.0, tip_after_us=1_500 * MS, drain_grace_us=2_500 * MS,
)  # fmt: skip


class SteadyLoad:
    """A Balancer with `nodes` nodes and `in_progress` requests; `step` ends the oldest request and begins a new one."""

    def __init__(self, nodes: int, in_progress: int, service_us: int) -> None:
        self.balancer = Balancer(SETTINGS, 1)
        self.now = 1_000_000 * MS
        self.serial = 0
        self.in_progress = in_progress
        self.service_us = service_us
        self.out: deque[tuple[int, int, int, int]] = deque()  # request, attempt, endpoint, sent
        self.attempts: dict[int, int] = {}
        self.refused = 0
        entries = tuple(Entry(n * 7919 % 1_000_003 + 1, cell=n % 9) for n in range(nodes))
        self.handle([ListUpdate(ListKind.FULL, 1, entries)])

    def handle(self, events: list[Event]) -> float:
        started = time.perf_counter_ns()
        actions = self.balancer.handle(self.now, events)
        elapsed_ns = time.perf_counter_ns() - started
        self.record_actions(actions)
        return elapsed_ns / 1000

    def record_actions(self, actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, Send):
                attempt = self.attempts.get(a.request, -1) + 1
                self.attempts[a.request] = attempt
                self.out.append((a.request, attempt, a.endpoint, self.now))
            elif isinstance(a, Refuse | Fail):
                self.refused += 1

    def step(self) -> tuple[float, float]:
        """Returns the cost of one request's arrival and of an outcome, in microseconds. Time advances so that calls
        take `service_us`."""
        self.now += max(1, self.service_us // self.in_progress)
        self.serial += 1
        arrival = self.handle([Arrival(self.serial, self.serial % 2, left_us=6_000 * MS)])
        outcome = 0.0
        while len(self.out) >= self.in_progress:
            request, attempt, endpoint, sent = self.out.popleft()
            self.attempts.pop(request, None)
            outcome += self.handle(
                [Outcome(request, attempt, endpoint, Status.OK, max(1, self.now - sent), True)]
            )
        return arrival, outcome

    def delta(self) -> float:
        """Returns the cost of a list change in which one node begins to drain; undoes the change afterwards."""
        entry = self.balancer.ready[0].entry
        cost = self.handle(
            [ListUpdate(ListKind.DELTA, 2, (Entry(entry.endpoint, State.DRAINING, cell=entry.cell),))]
        )
        self.handle([ListUpdate(ListKind.DELTA, 3, (entry,))])
        return cost


def measure_steady_state(nodes: int, in_progress: int, rounds: int, size: int) -> dict[str, float]:
    load = SteadyLoad(nodes, in_progress, 100 * MS)
    for _ in range(300 + 3 * in_progress):
        load.step()
    load.refused = 0
    arrivals, outcomes = [], []
    for _ in range(rounds):
        costs = [load.step() for _ in range(size)]
        arrivals.append(statistics.fmean(c[0] for c in costs))
        outcomes.append(statistics.fmean(c[1] for c in costs))
    return {
        "arrival_us": round(statistics.median(arrivals), 1),
        "outcome_us": round(statistics.median(outcomes), 1),
        "refused": round(load.refused / (rounds * size), 3),
        "delta_us": round(statistics.median(load.delta() for _ in range(5)), 1),
    }


def parse_numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",")]


@click.command()
@click.option("--nodes", default="10,100,1000,10000")
@click.option("--hand", default="1,10,100")
@click.option("--rounds", default=7)
@click.option("--size", default=300)
@click.option("--json", "out", type=click.Path(path_type=Path), help="Writes the table there as well.")
def main(nodes: str, hand: str, rounds: int, size: int, out: Path | None) -> None:
    table: list[dict[str, Any]] = []
    names = (
        ("nodes", 6),
        ("hand", 5),
        ("arrival", 9),
        ("outcome", 9),
        ("request", 9),
        ("refused", 8),
        ("delta", 10),
    )
    click.echo(" ".join(f"{name:>{width}}" for name, width in names) + "   (us)")
    for n in parse_numbers(nodes):
        for h in parse_numbers(hand):
            row: dict[str, Any] = {"nodes": n, "hand": h, **measure_steady_state(n, h, rounds, size)}
            table.append(row)
            request_us = row["arrival_us"] + row["outcome_us"]
            click.echo(
                f"{n:>6} {h:>5} {row['arrival_us']:>9} {row['outcome_us']:>9} {request_us:>9.1f}"
                f" {row['refused']:>8} {row['delta_us']:>10}"
            )
    if out:
        out.write_text(json.dumps(table, indent=1) + "\n")


if __name__ == "__main__":
    main()
