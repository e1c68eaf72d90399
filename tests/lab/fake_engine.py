"""An engine that simulates nothing: it returns made-up records, the same for the same seed. It serves the tests of what
follows a run, and is not imported by the package."""

from __future__ import annotations

import random
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from slatelab.engine import ProgressCallback, ProgressSnapshot, Recording
from slatelab.records import (
    Answered,
    Asked,
    Began,
    Came,
    FaultBegan,
    FaultEnded,
    Logged,
    ProxyUp,
    Record,
    Replied,
    Told,
    Up,
)  # fmt: skip
from slatelab.scenario import Scenario

SCENARIO = """
[scenario]
name = "made-up"
duration = "10 s"
warmup = "1 s"

[[class]]
name = "look"
effect = "safe"
work = { mean = "20 ms" }

[[tenant]]
name = "etna"

[[tier]]
name = "front"

[[tier.kind]]
name = "std"
nodes = 2

[[arrivals]]
kind = "steady"
rate = "10/s"
"""


def write_scenario(folder: Path, text: str = SCENARIO) -> Path:
    path = folder / "day.toml"
    path.write_text(text)
    return path


def run(scenario: Scenario, seed: int, folder: Path, watch: ProgressCallback | None) -> Recording:
    """Returns records of a hundred orders at two nodes. `proxy.attempts` = 1 makes all slower by 30 ms; 2 breaks a
    rule: one order is answered twice."""
    rng = random.Random(seed)
    extra_us = 30_000 if scenario.proxy.attempts == 1 else 0
    records: list[Record] = [ProxyUp(0, "p-front-0", 0)]
    for node in (0, 1):
        records += [Up(0, f"s-front-{node}", 0, 0, 1.0), Told(1, "p-front-0", f"s-front-{node}", "SERVING")]
    for n in range(100):
        records += order_records(n, n * 100_000, rng.randrange(20_000, 60_000) + extra_us)
        if watch:
            watch(
                ProgressSnapshot(n * 100_000, 10_000_000, n, n, 0, 0, (40_000,), (("s-front-0", "warm", 1),))
            )
    fault = ("mud", "slow", ("s-front-1",))
    records += [FaultBegan(3_000_000, *fault), FaultEnded(5_000_000, *fault)]
    line = ("p-front-0", "warning", "nodes", "<script>alert(1)</script>")
    records.append(Logged(3_100_000, *line, {"node": "s-front-1"}))
    if scenario.proxy.attempts == 2:
        records.append(Answered(9_500_000, "o7.0", 200, "t7"))
    records.sort(key=lambda fact: fact.t)
    return Recording("model", seed, records, events=len(records))


def order_records(n: int, at: int, duration: int) -> list[Record]:
    """Returns the records of one order, from its sending to its answer. Every tenth order is refused."""
    name, node = f"o{n}.0", f"s-front-{n % 2}"
    sent = Asked(at, name, 0, "c1", "p-front-0", 0, "look", "etna", at, at + 6_000_000)
    if n % 10 == 9:
        return [sent, Answered(at + 1_000, name, 503)]
    arrived = Came(at + 1_000, node, 0, name, "p-front-0", 20_000, at + 900)
    replied = Replied(at + duration - 1_000, node, 0, name, "p-front-0", 200, token=f"t{n}")
    return [
        sent,
        arrived,
        Began(at + 1_000, node, 0, name),
        replied,
        Answered(at + duration, name, 200, f"t{n}"),
    ]


def install(monkeypatch: Any, engine: Any = run) -> None:
    """Replaces the model engine in this process."""
    monkeypatch.setitem(sys.modules, "slatelab.model", SimpleNamespace(run=engine))
