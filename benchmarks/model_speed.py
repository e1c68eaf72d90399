"""Benchmark of the model engine: simulated events and requests per second of wall time, and memory, for plants of 10 to
2,000 nodes with a proxy for every ten nodes. The sizes run one at a time.

    python benchmarks/model_speed.py [NODES ...]

Every size runs in a process of its own, so that its memory does not include another's. `module` is the share of the
time spent in the decision module, which is the same code as in production; the rest is the engine and the records."""

from __future__ import annotations

import resource
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from paddlestep.balance import Balancer  # noqa: E402
from slatelab.model import run  # noqa: E402
from slatelab.scenario import parse  # noqa: E402

SIZES = (10, 100, 1000, 2000)
ORDERS, MIN_DURATION_S = 30_000, 15
ORDERS_PER_NODE_S = 2.0  # orders per second; with 200 ms of work each, a load of 0.4


def scenario(nodes: int) -> Any:
    seconds = max(MIN_DURATION_S, ORDERS / (ORDERS_PER_NODE_S * nodes))
    work = {"mean": "200 ms", "dist": "lognormal", "cv": 0.8}
    kind = {"name": "std", "nodes": nodes}
    return parse({
        "scenario": {"name": "speed", "duration": f"{seconds} s"},
        "class": [
            {"name": "look", "share": 2, "effect": "safe", "work": work},
            {"name": "order", "share": 1, "work": work},
        ],
        "tier": [{"name": "front", "proxies": max(1, nodes // 10), "kind": [kind]}],
        "arrivals": [{"kind": "poisson", "rate": f"{ORDERS_PER_NODE_S * nodes} / s"}],
    })  # fmt: skip


def measure(nodes: int) -> str:
    """Runs one size. Returns its line of the table."""
    module_s = 0.0
    handle = Balancer.handle

    def timed_handle(self: Balancer, now_us: int, events: list[Any]) -> list[Any]:
        nonlocal module_s
        started = time.perf_counter()
        try:
            return handle(self, now_us, events)
        finally:
            module_s += time.perf_counter() - started

    Balancer.handle = timed_handle  # type: ignore[method-assign]
    sized_scenario = scenario(nodes)
    started = time.perf_counter()
    recording = run(sized_scenario, 1, Path("."), None)
    wall = time.perf_counter() - started
    requests = sum(type(fact).__name__ == "Asked" for fact in recording.records)
    megabytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    size = (
        f"{nodes:>6} {max(1, nodes // 10):>8} {sized_scenario.scenario.duration / 1e6:>9.0f} {requests:>9,}"
    )
    rates = f"{wall:>7.1f} {recording.events / wall:>10,.0f} {requests / wall:>10,.0f}"
    return f"{size} {rates} {module_s / wall:>7.0%} {megabytes:>8,.0f}"


def main() -> None:
    print(" nodes  proxies     day s  requests  wall s   events/s requests/s  module       MB")
    for nodes in [int(word) for word in sys.argv[1:]] or SIZES:
        with ProcessPoolExecutor(1) as pool:
            print(pool.submit(measure, nodes).result(), flush=True)


if __name__ == "__main__":
    main()
