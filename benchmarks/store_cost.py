"""What it costs to make records durable: our log, SQLite in WAL mode and LMDB, one sync for each batch, on the same
disk in the same run. Prints a Markdown table: microseconds a record, median of batches.

    .lab/bin/python benchmarks/store_cost.py [--folder DIR] [--rounds 200]      # LMDB only where it is installed
"""

from __future__ import annotations

import argparse
import importlib.util
import os
import shutil
import sqlite3
import tempfile
import time
from collections.abc import Callable
from statistics import median
from typing import Any

from slatehub.store.files import DiskFolder
from slatehub.store.write_ahead_log import WriteAheadLog

SIZE = 220  # bytes of an order's record, as the ledger writes it
Commit = Callable[[list[bytes]], None]


def ours(folder: str) -> Commit:
    log = WriteAheadLog(DiskFolder(folder))
    log.open()
    return log.commit


def sqlite(folder: str) -> Commit:
    base = sqlite3.connect(os.path.join(folder, "base"), isolation_level=None)
    base.execute("pragma journal_mode = wal")
    base.execute("pragma synchronous = full")
    base.execute("create table kept (key blob primary key, value blob)")

    def commit(bodies: list[bytes]) -> None:
        base.execute("begin")
        base.executemany("insert or replace into kept values (?, ?)", [(body[:16], body) for body in bodies])
        base.execute("commit")

    return commit


def lmdb(folder: str) -> Commit:
    module: Any = importlib.import_module("lmdb")
    env = module.open(folder, map_size=1 << 30)

    def commit(bodies: list[bytes]) -> None:
        with env.begin(write=True) as turn:
            for body in bodies:
                turn.put(body[:16], body)

    return commit


def cost(make: Callable[[str], Commit], folder: str, batch: int, rounds: int) -> tuple[float, float]:
    """Microseconds a record: the median and the 99th percentile of batches."""
    place = tempfile.mkdtemp(dir=folder)
    try:
        commit, times = make(place), []
        for _ in range(rounds):
            bodies = [b"\x01" + os.urandom(SIZE) for _ in range(batch)]
            began = time.perf_counter()
            commit(bodies)
            times.append((time.perf_counter() - began) * 1e6 / batch)
        return median(times), sorted(times)[len(times) * 99 // 100]
    finally:
        shutil.rmtree(place, ignore_errors=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", default=tempfile.gettempdir())
    parser.add_argument("--rounds", type=int, default=200)
    args = parser.parse_args()
    ways = {"own log": ours, "SQLite, WAL, full": sqlite}
    if importlib.util.find_spec("lmdb"):
        ways["LMDB"] = lmdb
    print("| records a sync | " + " | ".join(ways) + " |\n|" + " --- |" * (len(ways) + 1))
    for batch in (1, 8, 64):
        cells = [cost(make, args.folder, batch, args.rounds) for make in ways.values()]
        print(
            f"| {batch} | " + " | ".join(f"{mid:.1f} (p99 {most:.0f})" for mid, most in cells) + " |",
            flush=True,
        )


if __name__ == "__main__":
    main()
