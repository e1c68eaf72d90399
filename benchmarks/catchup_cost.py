"""Benchmark of bringing an empty voter up to date: three replicas on virtual time, one of them new, the others with a
given number of registers. Prints a Markdown table: the duration at the rate of the catch-up, datagrams, bytes, and the
processor time of all three replicas together.

    .lab/bin/python benchmarks/catchup_cost.py [--sizes 1000,10000,100000]      # a million needs 3 GB
"""

from __future__ import annotations

import argparse
import time
from hashlib import blake2b

from slatehub.copies.messages import Ballot, RegisterState
from slatelab.peers.replica_simulation import SECOND, ReplicaSimulation

VALUE = b"v" * 150  # the size of a value that the ledger writes


def simulation_with_registers(size: int) -> ReplicaSimulation:
    simulation = ReplicaSimulation(1, ["p0", "p1", "p2"])
    simulation.start("p0", "p1", "p2")
    simulation.run(2 * SECOND)
    for number in range(size):
        row = RegisterState(blake2b(b"%d" % number, digest_size=16).digest(), Ballot(5, 9), 0, VALUE)
        for name in ("p0", "p1"):
            simulation.running[name].acceptor._put(row, 0)
    return simulation


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="1000,10000,100000")
    args = parser.parse_args()
    print("| registers | seconds | datagrams | MB | processor, s | us of it a register |\n|" + " --- |" * 6)
    for size in [int(x) for x in args.sizes.split(",")]:
        simulation = simulation_with_registers(size)
        sent = [0]
        original_send = simulation._send

        def send(
            name: str, to: str, data: bytes, original_send: object = original_send, sent: list[int] = sent
        ) -> None:
            sent[0] += len(data)
            original_send(name, to, data)  # type: ignore[operator]

        simulation._send = send  # type: ignore[method-assign]
        simulation.crash("p2", wipe=True)
        simulation.start("p2")
        started, cpu, messages_before = simulation.now, time.process_time(), simulation.messages_sent
        while simulation.running["p2"].config.epoch < 3:
            simulation.run(SECOND)
        cpu = time.process_time() - cpu
        duration_s, count = (simulation.now - started) / SECOND, simulation.messages_sent - messages_before
        cells = (
            size,
            f"{duration_s:.0f}",
            count,
            f"{sent[0] / 1e6:.1f}",
            f"{cpu:.1f}",
            f"{cpu / size * 1e6:.0f}",
        )
        print("| " + " | ".join(map(str, cells)) + " |", flush=True)


if __name__ == "__main__":
    main()
