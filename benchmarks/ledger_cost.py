"""Benchmark of the extra cost of an order whose class is recorded in the ledger: real proxies on loopback, each on a
core of its own, and a closed loop of callers at one of them. Prints a Markdown table of all variants in one run. Needs
eight cores.

    .lab/bin/python benchmarks/ledger_cost.py [--connections 1,16] [--seconds 4] [--folder DIR]
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from harness import closed_loop_load, cores, member, nodes, settings, started_process

from slatehub.settings import key_file
from slatelab.peers.relay import free_udp_addresses

VARIANTS = {
    "no ledger": (0, True), "1 copy": (1, True), "3 copies": (3, True), "3, no sync": (3, False), "5 copies": (5, True),
}  # fmt: skip


@contextmanager
def group(
    count: int, sync: bool, members: list[str], discovery: str, folder: Path, proxy_cores: list[int]
) -> Iterator[Any]:
    """Starts `count` proxies and yields the first, which gets the requests. If `count` is 0, starts one proxy without a
    ledger."""
    names = [f"p{i}" for i in range(max(1, count))]
    addresses = free_udp_addresses(names)
    key = folder / "key"
    key_file.add(str(key), True)
    with ExitStack() as stack:
        started = []
        for i, name in enumerate(names):
            config = {
                "name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": str(i + 1),
                "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
                "known": {"revision": 0, "complete": True, "members": [member(p) for p in members]},
                "settings": settings(),
            }  # fmt: skip
            (folder / f"{name}.json").write_text(json.dumps(config))
            (folder / f"{name}.toml").write_text(
                _operator_config(addresses, name, folder, key, sync) if count else ""
            )
            (folder / name).mkdir()
            argv = [
                sys.executable,
                "-B",
                "-m",
                "slatehub",
                "serve",
                "--operator",
                str(folder / f"{name}.toml"),
            ]
            proxy_process = started_process(
                argv, proxy_cores[i % len(proxy_cores)], EDGE_CONFIG=str(folder / f"{name}.json")
            )
            started.append(stack.enter_context(proxy_process))
        yield started[0]


def _operator_config(
    addresses: dict[str, tuple[str, int]], name: str, folder: Path, key: Path, sync: bool
) -> str:
    endpoints = {one: f"{host}:{port}" for one, (host, port) in addresses.items()}
    return (
        f'[fleet]\nlisten = "{endpoints[name]}"\nseeds = {list(endpoints.values())[:2]}\n'
        f'name = "bench"\nkey_file = "{key}"\n[copies]\nfolder = "{folder / name}"\nvoters = {list(addresses)}\n'
        f'sync = {str(sync).lower()}\n[ledger]\nclasses = ["job-status"]\n'
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", default="1,16")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--folder", default=tempfile.gettempdir())
    args = parser.parse_args()
    free_cores = cores()
    print("| callers | way | orders a second | p50 ms | p99 ms | CPU us an order | bad |\n|" + " --- |" * 7)
    with nodes(8, free_cores[0]) as (members, discovery):
        for connections in [int(x) for x in args.connections.split(",")]:
            for variant, (count, sync) in VARIANTS.items():
                folder = Path(tempfile.mkdtemp(dir=args.folder))
                try:
                    with group(count, sync, members, discovery, folder, free_cores[2:]) as (address, process):
                        _row(
                            connections,
                            variant,
                            closed_loop_load(address, connections, args.seconds, free_cores[1:2], process),
                        )
                finally:
                    shutil.rmtree(folder, ignore_errors=True)


def _row(connections: int, variant: str, figures: dict[str, float]) -> None:
    cells = (figures["rate_per_s"], figures["p50_ms"], figures["p99_ms"], figures["cpu_us"], figures["bad"])
    print(f"| {connections} | {variant} | " + " | ".join(map(str, cells)) + " |", flush=True)


if __name__ == "__main__":
    main()
