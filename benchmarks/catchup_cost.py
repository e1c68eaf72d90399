"""What it costs to bring an empty voter up to date: three machines of the group on virtual time, one of them new, the
others with so many registers. Prints a Markdown table: how long it takes at the pace of a walk, datagrams, bytes, and
the processor time of all three together.

    .lab/bin/python benchmarks/catchup_cost.py [--sizes 1000,10000,100000]      # a million wants 3 GB
"""

from __future__ import annotations

import argparse
import time
from hashlib import blake2b

from slatehub.copies.messages import Ballot, RegisterState
from slatelab.peers.replica_simulation import SECOND, ReplicaSimulation

VALUE = b"v" * 150  # as the ledger writes it


def filled(size: int) -> ReplicaSimulation:
    votes = ReplicaSimulation(1, ["p0", "p1", "p2"])
    votes.start("p0", "p1", "p2")
    votes.run(2 * SECOND)
    for number in range(size):
        row = RegisterState(blake2b(b"%d" % number, digest_size=16).digest(), Ballot(5, 9), 0, VALUE)
        for name in ("p0", "p1"):
            votes.running[name].acceptor._put(row, 0)
    return votes


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="1000,10000,100000")
    args = parser.parse_args()
    print("| registers | seconds | datagrams | MB | processor, s | us of it a register |\n|" + " --- |" * 6)
    for size in [int(x) for x in args.sizes.split(",")]:
        votes = filled(size)
        sent = [0]
        usual = votes._send

        def send(name: str, to: str, data: bytes, usual: object = usual, sent: list[int] = sent) -> None:
            sent[0] += len(data)
            usual(name, to, data)  # type: ignore[operator]

        votes._send = send  # type: ignore[method-assign]
        votes.crash("p2", wipe=True)
        votes.start("p2")
        began, cpu, carried = votes.now, time.process_time(), votes.messages_sent
        while votes.running["p2"].config.epoch < 3:
            votes.run(SECOND)
        cpu = time.process_time() - cpu
        took, count = (votes.now - began) / SECOND, votes.messages_sent - carried
        cells = (size, f"{took:.0f}", count, f"{sent[0] / 1e6:.1f}", f"{cpu:.1f}", f"{cpu / size * 1e6:.0f}")
        print("| " + " | ".join(map(str, cells)) + " |", flush=True)


if __name__ == "__main__":
    main()
