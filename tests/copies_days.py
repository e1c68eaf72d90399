"""Randomized runs of a group of real proxies: a steady load of idempotent requests during kills, lost disks, frozen
processes, symmetric and asymmetric partitions, and lost and late datagrams. A command, not a test: a run takes about
ten seconds.

    .dev/bin/python tests/copies_days.py --seeds 1-100 [--jobs 2]
"""

from __future__ import annotations

import argparse
import os
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any

from fleet_rig import FleetRig, running_fleet
from proxy_rig import wait_until
from test_copies import Orders, executions, wait_for_group

KINDS = ("kill", "lose", "freeze", "cut", "mute", "lossy", "halt")


def inject_fault(rig: FleetRig, rng: Random, kind: str) -> None:
    """Injects one fault, waits, and removes it."""
    name, span = rng.choice(rig.names), rng.choice((0.1, 0.5, 1.5))
    others = [other for other in rig.names if other != name]
    if kind in ("kill", "lose"):
        (rig.kill if kind == "kill" else rig.kill_and_wipe)(name)
        time.sleep(span)
        rig.start(name)
    elif kind == "halt":
        for each in rig.names:
            rig.kill(each)
        for each in rng.sample(rig.names, len(rig.names)):
            rig.start(each)
    elif kind == "freeze":
        process = rig.programs[name].process
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(span * 2)
        os.kill(process.pid, signal.SIGCONT)
    elif kind == "lossy":
        faults: dict[str, Any] = {
            "loss": 0.3,
            "duplication": 0.2,
            "reordering": 0.2,
            "reordering_delay": 200_000,
        }
        rig.set_faults(lambda net: [setattr(net.faults, key, value) for key, value in faults.items()])
        time.sleep(span)
        rig.set_faults(lambda net: [setattr(net.faults, key, 0) for key in faults])
    else:
        rig.set_faults(lambda net: net.partition("cut", [name], others, both=kind == "cut"))
        time.sleep(span)
        rig.set_faults(lambda net: net.heal("cut"))


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Sets a temporary folder of its own: processes of one proxy name find each other there, so two runs at the same
    time must not share it."""
    usual = tempfile.gettempdir()
    with tempfile.TemporaryDirectory(dir=usual) as folder:
        os.environ["TMPDIR"] = folder
        yield Path(folder)


def run(seed: int) -> tuple[int, list[str], Counter[str]]:
    rng, found, counts = Random(seed), list[str](), Counter[str]()
    with temporary_folder() as folder, running_fleet(folder, 3, voters=3) as rig:
        wait_for_group(rig)
        orders = Orders(rig)
        wait_until(lambda: orders.statuses()[200] > 20)
        for kind in rng.choices(KINDS, k=4):
            counts[kind] += 1
            inject_fault(rig, rng, kind)
            if kind in ("lose", "halt") or rng.random() < 0.5:
                wait_for_group(rig)  # a second store must not be lost before the first is replaced
        wait_for_group(rig)
        served = orders.statuses()[200]
        wait_until(lambda: orders.statuses()[200] > served + 20)
        orders.stop()
        ran = executions(rig)
        found += [f"{key} ran {count} times" for key, count in ran.items() if count > 1]
        for key, answers in orders.answers.items():
            bodies = {body for status, body in answers if status == 200}
            if bodies - {key.encode()} or (bodies and ran[key] != 1):
                found.append(f"{key}: answers {bodies}, ran {ran[key]} times")
        counts.update({f"answers {status}": count for status, count in orders.statuses().items()})
        counts["orders"] += len(ran)
    return seed, found, counts


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    counts, violating, failed = Counter[str](), 0, 0
    with ProcessPoolExecutor(args.jobs) as pool:
        for seed, future in [(seed, pool.submit(run, seed)) for seed in seeds]:
            try:
                _, found, run_counts = future.result()
            except Exception as error:
                failed += 1
                print(f"seed {seed} did not finish: {type(error).__name__}: {str(error)[:300]}", flush=True)
                continue
            violating += bool(found)
            counts.update(run_counts)
            if found:
                print(f"seed {seed}: {found[:3]}", flush=True)
    print(
        f"{len(seeds)} runs, {violating} with violations, {failed} did not finish; {dict(sorted(counts.items()))}"
    )


if __name__ == "__main__":
    main()
