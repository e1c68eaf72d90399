"""Randomized runs of a group that replicates registers: client operations and faults are drawn from a seed,
run and checked, and a run that breaks a rule is shrunk to a minimal one. Faults are drawn so that they can
be survived: at no time have more nodes lost their storage than a group of that size tolerates.

    python -m slatelab.peers.randomized_faults --seeds 1-2000 [--jobs 8] [--size 3]"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from random import Random

from slatehub.copies.reconfiguration import voter_names as voting
from slatehub.copies.replica import WRITTEN

from .replica_simulation import MS, SECOND, ReplicaFactory, ReplicaSimulation, linearizability_violations

KINDS = ("ask", "crash", "wipe", "freeze", "cut", "mute", "lossy", "full", "slow", "clock", "halt", "trap")
KIND_WEIGHTS = (0, 4, 3, 4, 3, 3, 3, 1, 2, 2, 1, 2)
RUN_US = 12 * SECOND


@dataclass(frozen=True, slots=True)
class Event:
    """`node_index`: index of the node; `duration`: how long it lasts, microseconds; `magnitude`: further
    parameter of the kind, 0 to 1 for faults."""

    at: int
    kind: str
    node_index: int
    duration: int = 0
    magnitude: float = 0.0


@dataclass(slots=True)
class RunResult:
    """The outcome of a run: broken rules, and counts of what happened."""

    violations: list[str]
    counts: Counter[str] = field(default_factory=Counter)
    longest: int = 0  # longest operation, microseconds


def draw_events(seed: int, size: int = 3, asks: int = 120, faults: int = 10) -> list[Event]:
    """Draws `asks` client operations and 1 to `faults` faults for a group of `size` nodes, sorted by time."""
    rng = Random(seed)
    events = [
        Event(rng.randrange(RUN_US), "ask", rng.randrange(size), 0, float(rng.randrange(3)))
        for _ in range(asks)
    ]
    for _ in range(rng.randrange(1, faults + 1)):
        kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
        span = int(rng.choice((50 * MS, 300 * MS, SECOND, 3 * SECOND)) * (0.5 + rng.random()))
        events.append(Event(rng.randrange(RUN_US), kind, rng.randrange(size), span, rng.random()))
    return sorted(events, key=lambda event: event.at)


class RandomizedRun:
    """Runs the events of one seed against a simulated group. `same_number`: `reuse_store_id` of `run_seed`."""

    def __init__(self, seed: int, size: int, build: ReplicaFactory | None, same_number: bool = False) -> None:
        self.names = [f"p{i}" for i in range(size)]
        self.simulation = ReplicaSimulation(seed, self.names, build=build)
        self.simulation.reuse_store_id = same_number
        self.rng = Random(seed + 7)
        self.counts: Counter[str] = Counter()
        self.partition_count = 0

    def play(self, events: Sequence[Event]) -> RunResult:
        simulation = self.simulation
        simulation.start(*self.names)
        simulation.run(2 * SECOND)
        for event in events:
            simulation.call_after(event.at, lambda event=event: self._do(event))  # type: ignore[misc]
        simulation.run(RUN_US)
        self._end_all_faults()
        keys = sorted({asked.key for asked in simulation.history})
        unread = [key for key in keys if simulation.read(key) is None]
        found = linearizability_violations(simulation.history) + [
            f"{key.hex()[:6]}: cannot be read after all faults have ended" for key in unread
        ]
        late = max((a.ended - a.began for a in simulation.history if a.ended), default=0)
        self.counts.update(asked.outcome for asked in simulation.history)
        return RunResult(found, self.counts, late)

    def _end_all_faults(self) -> None:
        """Ends all faults and lets the group recover."""
        simulation = self.simulation
        simulation.net.partitions.clear()
        self._clear_datagram_faults()
        for name in list(simulation.frozen):
            simulation.unfreeze(name)
        for name in self.names:
            if name in simulation.running and simulation.running[name].store_failure:
                simulation.crash(name)
            if name not in simulation.running:
                simulation.start(name)
            simulation.disks[name].delay = 200
        simulation.run(10 * SECOND)

    def _clear_datagram_faults(self) -> None:
        faults = self.simulation.net.faults
        faults.loss = faults.duplication = faults.reordering = 0.0

    def _do(self, event: Event) -> None:
        name, simulation = self.names[event.node_index], self.simulation
        if event.kind == "ask":
            simulation.append_token(name, bytes([int(event.magnitude) + 1]) * 16)
            return
        self.counts[f"fault {event.kind}"] += 1
        getattr(self, f"_{event.kind}")(name, event)

    def _start_later(self, name: str, span: int) -> None:
        self.simulation.call_after(
            span, lambda: None if name in self.simulation.running else self.simulation.start(name)
        )

    def _crash(self, name: str, event: Event) -> None:
        self.simulation.crash(name)
        self._start_later(name, event.duration)

    def _wipe(self, name: str, event: Event) -> None:
        """Wipes a node's storage, but only while the group tolerates it: all other voters still have their
        storage."""
        simulation = self.simulation
        newest = max((m.config for m in simulation.running.values()), key=lambda c: c.epoch, default=None)
        whole = newest is not None and newest.epoch and not newest.old_voters
        held = newest is not None and all(
            (disk := simulation.disks.get(v.name)) is not None and disk.store == v.store_id
            for v in newest.voters
        )
        if whole and held and newest and name in voting(newest):
            self.counts["wiped"] += 1
            simulation.crash(name, wipe=True)
            self._start_later(name, event.duration)

    def _trap(self, name: str, event: Event) -> None:
        """Provokes the loss of a write if a wiped voter still counts: the first node writes together with the
        second while the third is cut off; then the second loses its storage and is left with the third, so
        that a majority would no longer hold the write."""
        second, third = (self.names[(event.node_index + i) % len(self.names)] for i in (1, 2))
        self._cut(third, replace(event, magnitude=0.0))
        self.simulation.call_after(
            event.duration, lambda: self._wipe(second, replace(event, duration=10 * MS))
        )
        self.simulation.call_after(
            event.duration + 5 * MS, lambda: self._cut(name, replace(event, magnitude=0.0))
        )

    def _freeze(self, name: str, event: Event) -> None:
        self.simulation.freeze(name)
        self.simulation.call_after(event.duration, lambda: self.simulation.unfreeze(name))

    def _cut(self, name: str, event: Event, both: bool = True) -> None:
        self.partition_count += 1
        fault = f"cut-{self.partition_count}"
        side = (
            [name] if event.magnitude < 0.5 else [name, self.names[(event.node_index + 1) % len(self.names)]]
        )
        self.simulation.net.partition(fault, side, [n for n in self.names if n not in side], both)
        self.simulation.call_after(event.duration, lambda: self.simulation.net.heal(fault))

    def _mute(self, name: str, event: Event) -> None:
        self._cut(name, event, both=False)

    def _lossy(self, name: str, event: Event) -> None:
        faults = self.simulation.net.faults
        faults.loss, faults.duplication, faults.reordering, faults.reordering_delay = (
            event.magnitude * 0.6,
            0.2,
            0.3,
            300 * MS,
        )
        self.simulation.call_after(event.duration, lambda: self._clear_datagram_faults())

    def _full(self, name: str, event: Event) -> None:
        """Fills the disk until the node is restarted with free space."""
        self.simulation.fill_disk(name)
        self.simulation.call_after(event.duration, lambda: self.simulation.crash(name))
        self._start_later(name, event.duration + 10 * MS)

    def _slow(self, name: str, event: Event) -> None:
        if disk := self.simulation.disks.get(name):
            disk.delay = int(200 * MS * event.magnitude)
            self.simulation.call_after(event.duration, lambda: setattr(disk, "delay", 200))

    def _clock(self, name: str, event: Event) -> None:
        """Sets a wrong clock from the next start on: the clock of a running process does not jump (it is
        monotonic)."""
        self.simulation.crash(name)
        self.simulation.clocks[name] = int((event.magnitude - 0.5) * 600 * SECOND)
        self._start_later(name, event.duration)

    def _halt(self, name: str, event: Event) -> None:
        """Crashes all nodes at once."""
        for node in self.names:
            self.simulation.crash(node)
            self._start_later(node, int(event.duration * self.rng.random()))


def run_seed(
    seed: int,
    size: int = 3,
    build: ReplicaFactory | None = None,
    events: Sequence[Event] | None = None,
    reuse_store_id: bool = False,
) -> RunResult:
    """Runs one seed. `reuse_store_id`: deliberate fault, see ReplicaSimulation."""
    return RandomizedRun(seed, size, build, reuse_store_id).play(
        draw_events(seed, size) if events is None else events
    )


def shrink(seed: int, size: int, build: ReplicaFactory | None = None) -> tuple[list[Event], RunResult]:
    """Shrinks a failing run to fewer events, leaving out blocks and then single events, as long as a rule is
    still broken."""
    events = draw_events(seed, size)
    result = run_seed(seed, size, build, events)
    step = max(1, len(events) // 2)
    while step and result.violations:
        at = 0
        while at < len(events):
            less = events[:at] + events[at + step :]
            tried = run_seed(seed, size, build, less)
            if tried.violations:
                events, result = less, tried
            else:
                at += step
        step //= 2
    return events, result


def _run_job(job: tuple[int, int]) -> tuple[int, RunResult]:
    return job[0], run_seed(*job)


def main() -> None:
    """Entry point of the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-200")
    parser.add_argument("--size", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--shrink", action="store_true")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    began, counts, bad, longest = time.perf_counter(), Counter[str](), list[int](), 0
    with ProcessPoolExecutor(args.jobs) as pool:
        for seed, result in pool.map(_run_job, [(seed, args.size) for seed in seeds], chunksize=4):
            counts.update(result.counts)
            longest = max(longest, result.longest)
            if result.violations:
                bad.append(seed)
                print(f"seed {seed}: {result.violations[0]}", flush=True)
    print(f"{len(seeds)} runs of {args.size} nodes in {time.perf_counter() - began:.0f} s, {len(bad)} broken")
    print(f"longest operation {longest / MS:.0f} ms, written {counts[WRITTEN]}")
    print(", ".join(f"{key} {count}" for key, count in sorted(counts.items())))
    for seed in bad[:1] if args.shrink else []:
        events, result = shrink(seed, args.size)
        print(f"shortest failing run of seed {seed}:", *events, *result.violations[:3], sep="\n  ")


if __name__ == "__main__":
    main()
