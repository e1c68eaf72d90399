"""Benchmark of the memory that an idle caller's connection takes: the proxy's private memory (from smaps) and the
kernel's socket memory, at growing numbers of connections from several loopback addresses.

    python benchmarks/idle_memory.py [--counts 0,1000,4000] [--json FILE]"""

from __future__ import annotations

import json
import resource
import socket
import time
from pathlib import Path
from typing import Any

import click
import psutil
from harness import cores, nodes, proxy

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


def private_kb(process: psutil.Process) -> int:
    info = process.memory_full_info()
    return int(info.uss) // 1024


def kernel_kb() -> int:
    """Returns the memory of all TCP sockets of this machine in KB, counted by the kernel in pages of 4 KB."""
    line = next(x for x in Path("/proc/net/sockstat").read_text().splitlines() if x.startswith("TCP:"))
    return int(line.split()[line.split().index("mem") + 1]) * 4


def connect(address: tuple[str, int], number: int) -> socket.socket:
    sock = socket.socket()
    sock.bind((f"127.0.2.{1 + number // 20_000}", 0))
    sock.connect(address)
    return sock


@click.command()
@click.option("--counts", default="0,1000,4000")
@click.option("--json", "out", type=click.Path(path_type=Path))
def main(counts: str, out: Path | None) -> None:
    connection_counts = [int(x) for x in counts.split(",")]
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    rows: list[dict[str, Any]] = []
    connections: list[socket.socket] = []
    with nodes(1, cores()[0]) as (members, discovery):
        with proxy(
            members, discovery, cores()[1], sockets=min(hard_limit, 3 * max(connection_counts) + 256)
        ) as (
            text,
            process,
        ):
            host, _, port = text.rpartition(":")
            address = (host, int(port))
            for count in connection_counts:
                while len(connections) < count:
                    sock = connect(address, len(connections))
                    sock.sendall(READY)  # one request, then the connection stays idle
                    sock.recv(4096)
                    connections.append(sock)
                time.sleep(0.3)
                rows.append({"connections": count, "own_kb": private_kb(process), "kernel_kb": kernel_kb()})
                kb_per_connection = (rows[-1]["own_kb"] - rows[0]["own_kb"]) / max(
                    1, count - rows[0]["connections"]
                )
                rows[-1]["own_kb_each"] = round(kb_per_connection, 2)
                click.echo(json.dumps(rows[-1]))
    if out:
        out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
