"""Benchmark of durable writes: the store's write-ahead log, SQLite in WAL mode and LMDB, with one sync per batch, on
the same disk in the same run. Prints a Markdown table: microseconds per record, median of the batches.

    .lab/bin/python benchmarks/store_cost.py [--folder DIR] [--rounds 200]      # LMDB only if it is installed
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

RECORD_BYTES = 220  # the size of an order's record in the ledger
Commit = Callable[[list[bytes]], None]


def write_ahead_log(folder: str) -> Commit:
    log = WriteAheadLog(DiskFolder(folder))
    log.open()
    return log.commit


def sqlite(folder: str) -> Commit:
    database = sqlite3.connect(os.path.join(folder, "base"), isolation_level=None)
    database.execute("pragma journal_mode = wal")
    database.execute("pragma synchronous = full")
    database.execute("create table kept (key blob primary key, value blob)")

    def commit(bodies: list[bytes]) -> None:
        database.execute("begin")
        database.executemany(
            "insert or replace into kept values (?, ?)", [(body[:16], body) for body in bodies]
        )
        database.execute("commit")

    return commit


def lmdb(folder: str) -> Commit:
    module: Any = importlib.import_module("lmdb")
    env = module.open(folder, map_size=1 << 30)

    def commit(bodies: list[bytes]) -> None:
        with env.begin(write=True) as transaction:
            for body in bodies:
                transaction.put(body[:16], body)

    return commit


def measure(make: Callable[[str], Commit], folder: str, batch: int, rounds: int) -> tuple[float, float]:
    """Returns microseconds per record: the median and the 99th percentile of the batches."""
    store_folder = tempfile.mkdtemp(dir=folder)
    try:
        commit, times = make(store_folder), []
        for _ in range(rounds):
            bodies = [b"\x01" + os.urandom(RECORD_BYTES) for _ in range(batch)]
            started = time.perf_counter()
            commit(bodies)
            times.append((time.perf_counter() - started) * 1e6 / batch)
        return median(times), sorted(times)[len(times) * 99 // 100]
    finally:
        shutil.rmtree(store_folder, ignore_errors=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", default=tempfile.gettempdir())
    parser.add_argument("--rounds", type=int, default=200)
    args = parser.parse_args()
    stores = {"own log": write_ahead_log, "SQLite, WAL, full": sqlite}
    if importlib.util.find_spec("lmdb"):
        stores["LMDB"] = lmdb
    print("| records a sync | " + " | ".join(stores) + " |\n|" + " --- |" * (len(stores) + 1))
    for batch in (1, 8, 64):
        cells = [measure(make, args.folder, batch, args.rounds) for make in stores.values()]
        print(
            f"| {batch} | "
            + " | ".join(f"{median_us:.1f} (p99 {p99_us:.0f})" for median_us, p99_us in cells)
            + " |",
            flush=True,
        )


if __name__ == "__main__":
    main()
