"""Benchmark of the membership protocol's cost and accuracy, on virtual time: the proxies' own membership code and a
modelled network, nothing else. Prints Markdown tables: the time until all members know of a death, false deaths per
hour, datagrams, bytes and CPU of one proxy.

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


def converged_simulation(size: int, seed: int) -> MembershipSimulation:
    simulation = MembershipSimulation(seed)
    simulation.start(*(f"p{i}" for i in range(size)))
    simulation.run(10 * SECOND)
    assert simulation.has_converged(), f"{size} members have not found each other in 10 s"
    return simulation


def death_detection_s(size: int, seed: int) -> float:
    """Returns the seconds until the last member knows of a death."""
    simulation = converged_simulation(size, seed)
    simulation.stop("p1")
    started = simulation.now
    simulation.run(40 * SECOND)
    lost = {who: t for t, who, change in simulation.log if change.state == "lost" and change.name == "p1"}
    assert len(lost) == size - 1, f"{len(lost)} of {size - 1} know"
    return (max(lost.values()) - started) / SECOND


def measure_without_deaths(
    size: int, loss: float, minutes: int, frozen: bool, seed: int
) -> tuple[float, float, float, float, float]:
    """Returns the false deaths per hour in the whole fleet (a false death is a live member that any member declares
    lost); then, per second and proxy, datagrams sent, bytes sent and received, and CPU in ms; then the suspicions per
    hour of the whole fleet."""
    simulation = converged_simulation(size, seed)
    simulation.log.clear()
    simulation.net.faults = DatagramFaults(loss=loss)
    before = [dict(peer.counts) for peer in simulation.peers.values()]
    cpu = time.process_time()
    for _ in range(minutes * 6):
        if frozen:  # one in ten is suspended for 1 s of each 10 s
            suspended = simulation.rng.sample(sorted(simulation.peers), max(1, size // 10))
            for name in suspended:
                simulation.freeze(name)
            simulation.run(SECOND)
            for name in suspended:
                simulation.unfreeze(name)
            simulation.run(9 * SECOND)
        else:
            simulation.run(10 * SECOND)
    cpu = time.process_time() - cpu
    after = [dict(peer.counts) for peer in simulation.peers.values()]
    duration_s = minutes * 60.0

    def rate(*keys: str) -> float:
        return mean(sum(b[k] - a[k] for k in keys) for a, b in zip(before, after, strict=True)) / duration_s

    false_deaths = {
        (change.name, t // (30 * SECOND)) for t, _, change in simulation.log if change.state == "lost"
    }
    suspicions = {
        (change.name, t // (5 * SECOND)) for t, _, change in simulation.log if change.state == "suspect"
    }
    hours = minutes / 60
    cost = cpu * 1000 / duration_s / size
    return (
        len(false_deaths) / hours,
        rate("out"),
        rate("bytes_out", "bytes_in"),
        cost,
        len(suspicions) / hours,
    )


class StubBalancer:
    """The part of a decision module that load sharing reads."""

    mean_occupied_slots, slots, waiting, ejected_count = 1.0, 2.0, 0, 0
    ready: tuple[Any, ...] = ()
    settings = SimpleNamespace(classes=())

    def __init__(self) -> None:
        self.servers: dict[int, Any] = {}

    def uncrowded_work_us(self) -> float:
        return 0.0

    def expected_service_us(self, cls: int) -> float:
        return 0.0


def measure_load_sharing(size: int, nodes: int) -> tuple[float, float, float, float, float]:
    """Measures with load sharing: the loads of all proxies are summed over `nodes` nodes. Returns, per second and
    proxy, the mean and maximum of bytes sent and received, datagrams sent, and CPU in ms; then the maximum age of a
    sum in seconds."""
    load = Load(
        1,
        (3.0,) * len(TOTAL_NAMES),
        ((1.0, 0.1),) * 3,
        {2**40 + n: NodeLoad(1, 1, 0.5, 3) for n in range(nodes)},
    )

    def make(place: PeerIdentity, now: int, rng: Random) -> Peer:
        peer, module = Peer(place, (KEY,), now, rng), StubBalancer()
        share = peer.start_load_sharing(now, lambda: module, lambda _now, _news, _until: None)
        share.meter.read = lambda now, balancer: load  # type: ignore[method-assign]
        return peer

    simulation = MembershipSimulation(1, make_peer=make)
    simulation.start(*(f"p{i}" for i in range(size)))
    simulation.run(10 * SECOND)
    before = [dict(peer.counts) for peer in simulation.peers.values()]
    cpu, oldest = time.process_time(), 0
    for _ in range(80):
        simulation.run(SECOND // 4)
        oldest = max(
            oldest,
            *(
                p.load_sharing.aggregation.age(simulation.now)
                for p in simulation.peers.values()
                if p.load_sharing
            ),
        )
    cpu = time.process_time() - cpu
    after = [dict(peer.counts) for peer in simulation.peers.values()]
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
        durations = [death_detection_s(size, seed) for seed in range(1, 6)]
        print(f"| {size} | {min(durations):.1f}, {mean(durations):.1f}, {max(durations):.1f} |", flush=True)
    head = "members | loss | frozen | false deaths an hour | suspicions an hour | datagrams/s | bytes/s | CPU ms/s"
    print(f"\n| {head} |\n|{' --- |' * 8}")
    for size in sizes:
        for loss, frozen in ((0.0, False), (0.05, False), (0.2, False), (0.0, True)):
            false, out, size_s, cpu, suspects = measure_without_deaths(size, loss, args.minutes, frozen, 1)
            part = "1 in 10" if frozen else "-"
            row = f"{size} | {loss:.0%} | {part} | {false:.1f} | {suspects:.0f} | {out:.1f} | {size_s:.0f} | {cpu:.2f}"
            print(f"| {row} |", flush=True)

    print(
        "\n| members | bytes/s, mean | most of one | datagrams/s | CPU ms/s | oldest sum, s |\n|"
        + " --- |" * 6
    )
    for size in sizes:
        mean_bytes, max_bytes, out, cpu, age = measure_load_sharing(size, 24)
        print(
            f"| {size} | {mean_bytes:.0f} | {max_bytes:.0f} | {out:.1f} | {cpu:.2f} | {age:.2f} |", flush=True
        )


if __name__ == "__main__":
    main()
