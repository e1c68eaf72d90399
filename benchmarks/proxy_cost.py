"""Benchmark of one live proxy against a relay in the same language that makes no decisions: requests per second, CPU
per request and latency, both in one run on one core, with the same eight nodes that answer at once. Needs four idle
cores.

    python benchmarks/proxy_cost.py [--connections 1,64,512] [--seconds 5] [--json FILE]"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from harness import closed_loop_load, cores, nodes, proxy, started_process


@click.command()
@click.option("--connections", default="1,64,512")
@click.option("--seconds", default=5.0)
@click.option("--json", "out", type=click.Path(path_type=Path))
def main(connections: str, seconds: float, out: Path | None) -> None:
    free_cores = cores()
    if len(free_cores) < 4:
        raise click.ClickException("needs four cores")
    rows: list[dict[str, Any]] = []
    with nodes(8, free_cores[0]) as (members, discovery):
        for n in [int(x) for x in connections.split(",")]:
            with started_process([sys.executable, "benchmarks/relay.py", *members], free_cores[1]) as (
                address,
                process,
            ):
                relay_figures = closed_loop_load(address, n, seconds, free_cores[2:4], process)
            with proxy(members, discovery, free_cores[1]) as (address, process):
                proxy_figures = closed_loop_load(address, n, seconds, free_cores[2:4], process)
            row = {
                "connections": n, "proxy": proxy_figures, "relay": relay_figures,
                "rate_ratio": round(proxy_figures["rate_per_s"] / relay_figures["rate_per_s"], 3),
                "cpu_ratio": round(proxy_figures["cpu_us"] / relay_figures["cpu_us"], 2),
            }  # fmt: skip
            rows.append(row)
            click.echo(json.dumps(row))
    if out:
        out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
