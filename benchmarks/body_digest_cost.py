"""Benchmark of hashing a request's body while it is received, as the ledger needs it: the parser alone, no sockets.
Prints a Markdown table: the time of a body, the longest single call (during which no other connection is served), and
the memory held at the most, with and without the hash.

    .lab/bin/python benchmarks/body_digest_cost.py [--megabytes 32] [--repeats 5]
"""

from __future__ import annotations

import argparse
import time
import tracemalloc
from dataclasses import dataclass

from slatehub.core.limits import READ_CHUNK_BYTES
from slatehub.fronts.http1.request_parser import RequestParser

MEGABYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one body: seconds in all, seconds of the longest call, bytes held at the most."""

    total_s: float
    longest_s: float
    peak_bytes: int


def measure(size: int, hashed: bool, traced: bool) -> Cost:
    """Feeds a request with a body of this size (bytes) in pieces as they are read from a socket. `traced`: measures the
    memory, which makes the times meaningless."""
    held_bytes = [0]  # by the mapping of the body, which tracemalloc does not see

    def count_bytes(change: int) -> None:
        held_bytes.append(held_bytes[-1] + change)

    parser = RequestParser(needs_digest=lambda headers: hashed, count_bytes=count_bytes)
    piece = bytes(READ_CHUNK_BYTES)
    if traced:
        tracemalloc.start()
    parser.feed(b"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size)
    total_s = longest_s = 0.0
    for start in range(0, size, READ_CHUNK_BYTES):
        began = time.perf_counter()
        parser.feed(piece[: size - start])
        elapsed = time.perf_counter() - began
        total_s += elapsed
        longest_s = max(longest_s, elapsed)
    assert len(parser.parsed) == 1
    peak = tracemalloc.get_traced_memory()[1] + max(held_bytes) if traced else 0
    tracemalloc.stop()
    return Cost(total_s, longest_s, peak)


def main() -> None:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--megabytes", type=int, default=32)
    options.add_argument("--repeats", type=int, default=5)
    chosen = options.parse_args()
    size = chosen.megabytes * MEGABYTE
    print(f"body of {chosen.megabytes} MB, median of {chosen.repeats}\n")
    print("| | time | longest call | most memory |\n| --- | --- | --- | --- |")
    for label, hashed in (("without the hash", False), ("with it", True)):
        runs = sorted(
            (measure(size, hashed, False) for _ in range(chosen.repeats)), key=lambda cost: cost.total_s
        )
        median = runs[len(runs) // 2]
        peak = measure(size, hashed, True).peak_bytes / MEGABYTE
        longest_us = median.longest_s * 1e6
        print(f"| {label} | {median.total_s * 1000:.1f} ms | {longest_us:.0f} µs | {peak:.1f} MB |")


if __name__ == "__main__":
    main()
