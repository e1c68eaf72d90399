"""What one live proxy costs against a relay of the same language that decides nothing: requests a second, CPU for each
and latency, both in one run on one core, against the same eight instant nodes. Needs four cores that nothing else uses.

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
    free = cores()
    if len(free) < 4:
        raise click.ClickException("needs four cores")
    rows: list[dict[str, Any]] = []
    with nodes(8, free[0]) as (members, discovery):
        for n in [int(x) for x in connections.split(",")]:
            with started_process([sys.executable, "benchmarks/relay.py", *members], free[1]) as (
                place,
                process,
            ):
                relay = closed_loop_load(place, n, seconds, free[2:4], process)
            with proxy(members, discovery, free[1]) as (place, process):
                ours = closed_loop_load(place, n, seconds, free[2:4], process)
            row = {
                "connections": n, "proxy": ours, "relay": relay,
                "rate_ratio": round(ours["rate_per_s"] / relay["rate_per_s"], 3),
                "cpu_ratio": round(ours["cpu_us"] / relay["cpu_us"], 2),
            }  # fmt: skip
            rows.append(row)
            click.echo(json.dumps(row))
    if out:
        out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
