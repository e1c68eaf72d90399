"""Whether a scenario that reads well can also be played: its faults find their targets, its traces can be
read, its nodes carry what is offered. This file owns the list of such checks. It must never play anything."""

from __future__ import annotations

from pathlib import Path

from slatelab.scenario import Scenario, ScenarioError

from .capacity import expected_orders, overload_errors
from .faults import build_fault_schedule
from .fleet import build_nodes, build_proxies
from .random_streams import RandomStreams
from .workload import MOST


def find_errors(scenario: Scenario, folder: Path) -> list[str]:
    """A line for each fault, `key: reason`; none if all is well. `folder` is where trace files are looked
    for."""
    try:
        draw = RandomStreams(scenario.scenario.seed)
        nodes = build_nodes(scenario, draw)
        build_fault_schedule(scenario, draw, nodes, build_proxies(scenario, nodes))
        carried = overload_errors(scenario, folder)
    except ScenarioError as problem:
        return [line.removeprefix(f"{scenario.scenario.name}: ") for line in problem.lines]
    orders = expected_orders(scenario, folder)
    return carried + (
        [f"arrivals: some {orders:.0f} orders, at most {MOST} can be played"] if orders > MOST else []
    )
