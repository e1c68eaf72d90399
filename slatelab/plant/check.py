"""Checks whether a syntactically valid scenario can be run: the targets of its faults exist, its traces are
readable and its nodes can serve the offered load. Nothing is run."""

from __future__ import annotations

from pathlib import Path

from slatelab.scenario import Scenario, ScenarioError

from .capacity import expected_orders, overload_errors
from .faults import build_fault_schedule
from .fleet import build_nodes, build_proxies
from .random_streams import RandomStreams
from .workload import MAX_ORDERS


def find_errors(scenario: Scenario, folder: Path) -> list[str]:
    """One line, `key: reason`, for each error found; empty if there is none. `folder` contains the trace
    files."""
    try:
        random_streams = RandomStreams(scenario.scenario.seed)
        nodes = build_nodes(scenario, random_streams)
        build_fault_schedule(scenario, random_streams, nodes, build_proxies(scenario, nodes))
        overloaded = overload_errors(scenario, folder)
    except ScenarioError as error:
        return [line.removeprefix(f"{scenario.scenario.name}: ") for line in error.lines]
    orders = expected_orders(scenario, folder)
    return overloaded + (
        [f"arrivals: some {orders:.0f} orders, at most {MAX_ORDERS} can be played"]
        if orders > MAX_ORDERS
        else []
    )
