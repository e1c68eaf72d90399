"""What an order of a kept class costs more than one of any other: real proxies on loopback, each on a core of its own,
and a closed loop of callers at one of them. Prints a Markdown table of all ways in one run. Needs eight cores.

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

WAYS = {
    "no ledger": (0, True), "1 copy": (1, True), "3 copies": (3, True), "3, no sync": (3, False), "5 copies": (5, True),
}  # fmt: skip


@contextmanager
def group(
    count: int, sync: bool, members: list[str], discovery: str, folder: Path, on: list[int]
) -> Iterator[Any]:
    """So many proxies, of which the first is asked; none of them keeps anything where `count` is 0."""
    names = [f"p{i}" for i in range(max(1, count))]
    places = free_udp_addresses(names)
    key = folder / "key"
    key_file.add(str(key), True)
    with ExitStack() as stack:
        found = []
        for i, name in enumerate(names):
            tree = {
                "name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": str(i + 1),
                "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
                "known": {"revision": 0, "complete": True, "members": [member(p) for p in members]},
                "settings": settings(),
            }  # fmt: skip
            (folder / f"{name}.json").write_text(json.dumps(tree))
            (folder / f"{name}.toml").write_text(_own(places, name, folder, key, sync) if count else "")
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
            place = started_process(argv, on[i % len(on)], EDGE_CONFIG=str(folder / f"{name}.json"))
            found.append(stack.enter_context(place))
        yield found[0]


def _own(places: dict[str, tuple[str, int]], name: str, folder: Path, key: Path, sync: bool) -> str:
    words = {one: f"{host}:{port}" for one, (host, port) in places.items()}
    return (
        f'[fleet]\nlisten = "{words[name]}"\nseeds = {list(words.values())[:2]}\n'
        f'name = "bench"\nkey_file = "{key}"\n[copies]\nfolder = "{folder / name}"\nvoters = {list(places)}\n'
        f'sync = {str(sync).lower()}\n[ledger]\nclasses = ["job-status"]\n'
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", default="1,16")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--folder", default=tempfile.gettempdir())
    args = parser.parse_args()
    free = cores()
    print("| callers | way | orders a second | p50 ms | p99 ms | CPU us an order | bad |\n|" + " --- |" * 7)
    with nodes(8, free[0]) as (members, discovery):
        for connections in [int(x) for x in args.connections.split(",")]:
            for way, (count, sync) in WAYS.items():
                folder = Path(tempfile.mkdtemp(dir=args.folder))
                try:
                    with group(count, sync, members, discovery, folder, free[2:]) as (place, process):
                        _row(
                            connections,
                            way,
                            closed_loop_load(place, connections, args.seconds, free[1:2], process),
                        )
                finally:
                    shutil.rmtree(folder, ignore_errors=True)


def _row(connections: int, way: str, told: dict[str, float]) -> None:
    cells = (told["rate_per_s"], told["p50_ms"], told["p99_ms"], told["cpu_us"], told["bad"])
    print(f"| {connections} | {way} | " + " | ".join(map(str, cells)) + " |", flush=True)


if __name__ == "__main__":
    main()
