"""What membership costs and how well it tells, on virtual time: the proxies' own machines and a modelled net, nothing
else. Prints Markdown tables: until all know of a death, false deaths an hour, datagrams, bytes and CPU of one proxy.

    .lab/bin/python benchmarks/fleet_members.py [--minutes 10] [--sizes 5,50,200]
"""

from __future__ import annotations

import argparse
import time
from random import Random
from statistics import mean
from types import SimpleNamespace
from typing import Any

from slatehub.decisions.fleet.load import TOTAL_NAMES, Load, NodeLoad
from slatehub.fleet.peer import Peer, PeerIdentity
from slatelab.peers.membership_simulation import KEY, MembershipSimulation
from slatelab.peers.network import DatagramFaults

SECOND = 1_000_000


def met(size: int, seed: int) -> MembershipSimulation:
    ring = MembershipSimulation(seed)
    ring.start(*(f"p{i}" for i in range(size)))
    ring.run(10 * SECOND)
    assert ring.has_converged(), f"{size} members have not found each other in 10 s"
    return ring


def death(size: int, seed: int) -> float:
    """Seconds until the last one knows."""
    ring = met(size, seed)
    ring.stop("p1")
    began = ring.now
    ring.run(40 * SECOND)
    lost = {who: t for t, who, change in ring.log if change.state == "lost" and change.name == "p1"}
    assert len(lost) == size - 1, f"{len(lost)} of {size - 1} know"
    return (max(lost.values()) - began) / SECOND


def quiet(
    size: int, loss: float, minutes: int, frozen: bool, seed: int
) -> tuple[float, float, float, float, float]:
    """False deaths an hour in the whole fleet (one false death is one member that anybody called lost); then of one
    proxy a second: datagrams sent, bytes sent and received, CPU in ms, and the suspicions an hour of all."""
    ring = met(size, seed)
    ring.log.clear()
    ring.net.faults = DatagramFaults(loss=loss)
    before = [dict(peer.counts) for peer in ring.peers.values()]
    cpu = time.process_time()
    for _ in range(minutes * 6):
        if frozen:  # one in ten, 1 s of each 10: starved, not dead
            some = ring.rng.sample(sorted(ring.peers), max(1, size // 10))
            for name in some:
                ring.freeze(name)
            ring.run(SECOND)
            for name in some:
                ring.unfreeze(name)
            ring.run(9 * SECOND)
        else:
            ring.run(10 * SECOND)
    cpu = time.process_time() - cpu
    after = [dict(peer.counts) for peer in ring.peers.values()]
    span = minutes * 60.0

    def rate(*keys: str) -> float:
        return mean(sum(b[k] - a[k] for k in keys) for a, b in zip(before, after, strict=True)) / span

    falsely = {(change.name, t // (30 * SECOND)) for t, _, change in ring.log if change.state == "lost"}
    doubts = {(change.name, t // (5 * SECOND)) for t, _, change in ring.log if change.state == "suspect"}
    hours = minutes / 60
    cost = cpu * 1000 / span / size
    return len(falsely) / hours, rate("out"), rate("bytes_out", "bytes_in"), cost, len(doubts) / hours


class Busy:
    """As much of a decision module as is read of it."""

    mean_occupied_slots, slots, waiting, ejected_count = 1.0, 2.0, 0, 0
    ready: tuple[Any, ...] = ()
    settings = SimpleNamespace(classes=())

    def __init__(self) -> None:
        self.servers: dict[int, Any] = {}

    def uncrowded_work_us(self) -> float:
        return 0.0

    def expected_service_us(self, cls: int) -> float:
        return 0.0


def shared(size: int, nodes: int) -> tuple[float, float, float, float, float]:
    """With the load of all summed over so many nodes. Of one proxy a second: bytes sent and received, mean and most;
    datagrams sent; CPU in ms. Then how old a sum is at the most, in seconds."""
    load = Load(
        1,
        (3.0,) * len(TOTAL_NAMES),
        ((1.0, 0.1),) * 3,
        {2**40 + n: NodeLoad(1, 1, 0.5, 3) for n in range(nodes)},
    )

    def make(place: PeerIdentity, now: int, rng: Random) -> Peer:
        peer, module = Peer(place, (KEY,), now, rng), Busy()
        share = peer.start_load_sharing(now, lambda: module, lambda _now, _news, _until: None)
        share.meter.read = lambda now, balancer: load  # type: ignore[method-assign]
        return peer

    ring = MembershipSimulation(1, make_peer=make)
    ring.start(*(f"p{i}" for i in range(size)))
    ring.run(10 * SECOND)
    before = [dict(peer.counts) for peer in ring.peers.values()]
    cpu, oldest = time.process_time(), 0
    for _ in range(80):
        ring.run(SECOND // 4)
        oldest = max(
            oldest, *(p.load_sharing.aggregation.age(ring.now) for p in ring.peers.values() if p.load_sharing)
        )
    cpu = time.process_time() - cpu
    after = [dict(peer.counts) for peer in ring.peers.values()]
    keys = ("bytes_out", "bytes_in")
    sizes = [sum(b[k] - a[k] for k in keys) / 20 for a, b in zip(before, after, strict=True)]
    out = mean(b["out"] - a["out"] for a, b in zip(before, after, strict=True)) / 20
    return mean(sizes), max(sizes), out, cpu * 1000 / 20 / size, oldest / SECOND


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=int, default=10)
    parser.add_argument("--sizes", default="5,50,200")
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(",")]
    print("| members | all know of a death, s (5 seeds: least, mean, most) |\n| --- | --- |")
    for size in sizes:
        found = [death(size, seed) for seed in range(1, 6)]
        print(f"| {size} | {min(found):.1f}, {mean(found):.1f}, {max(found):.1f} |", flush=True)
    head = "members | loss | frozen | false deaths an hour | suspicions an hour | datagrams/s | bytes/s | CPU ms/s"
    print(f"\n| {head} |\n|{' --- |' * 8}")
    for size in sizes:
        for loss, frozen in ((0.0, False), (0.05, False), (0.2, False), (0.0, True)):
            false, out, size_s, cpu, doubts = quiet(size, loss, args.minutes, frozen, 1)
            ill = "1 in 10" if frozen else "-"
            row = f"{size} | {loss:.0%} | {ill} | {false:.1f} | {doubts:.0f} | {out:.1f} | {size_s:.0f} | {cpu:.2f}"
            print(f"| {row} |", flush=True)

    print(
        "\n| members | bytes/s, mean | most of one | datagrams/s | CPU ms/s | oldest sum, s |\n|"
        + " --- |" * 6
    )
    for size in sizes:
        usual, most, out, cpu, age = shared(size, 24)
        print(f"| {size} | {usual:.0f} | {most:.0f} | {out:.1f} | {cpu:.2f} | {age:.2f} |", flush=True)


if __name__ == "__main__":
    main()
