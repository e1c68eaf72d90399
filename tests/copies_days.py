"""Drawn days of a group of real proxies: orders by key without end, and beneath them kills, lost disks, frozen
processes, cuts both ways and one way, lost and late datagrams. A command, not a test: some ten seconds a day.

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
from test_copies import Orders, executions, whole

KINDS = ("kill", "lose", "freeze", "cut", "mute", "lossy", "halt")


def befall(rig: FleetRig, rng: Random, kind: str) -> None:
    """One fault, its span and its end."""
    name, span = rng.choice(rig.names), rng.choice((0.1, 0.5, 1.5))
    others = [one for one in rig.names if one != name]
    if kind in ("kill", "lose"):
        (rig.kill if kind == "kill" else rig.kill_and_wipe)(name)
        time.sleep(span)
        rig.start(name)
    elif kind == "halt":
        for one in rig.names:
            rig.kill(one)
        for one in rng.sample(rig.names, len(rig.names)):
            rig.start(one)
    elif kind == "freeze":
        process = rig.programs[name].process
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(span * 2)
        os.kill(process.pid, signal.SIGCONT)
    elif kind == "lossy":
        weather: dict[str, Any] = {
            "loss": 0.3,
            "duplication": 0.2,
            "reordering": 0.2,
            "reordering_delay": 200_000,
        }
        rig.set_faults(lambda net: [setattr(net.faults, key, value) for key, value in weather.items()])
        time.sleep(span)
        rig.set_faults(lambda net: [setattr(net.faults, key, 0) for key in weather])
    else:
        rig.set_faults(lambda net: net.partition("cut", [name], others, both=kind == "cut"))
        time.sleep(span)
        rig.set_faults(lambda net: net.heal("cut"))


@contextmanager
def own_folder() -> Iterator[Path]:
    """Proxies of one name find each other there: two days at once must not share it."""
    usual = tempfile.gettempdir()
    with tempfile.TemporaryDirectory(dir=usual) as folder:
        os.environ["TMPDIR"] = folder
        yield Path(folder)


def day(seed: int) -> tuple[int, list[str], Counter[str]]:
    rng, found, counts = Random(seed), list[str](), Counter[str]()
    with own_folder() as folder, running_fleet(folder, 3, voters=3) as rig:
        whole(rig)
        orders = Orders(rig)
        wait_until(lambda: orders.statuses()[200] > 20)
        for kind in rng.choices(KINDS, k=4):
            counts[kind] += 1
            befall(rig, rng, kind)
            if kind in ("lose", "halt") or rng.random() < 0.5:
                whole(rig)  # never a second one lost before the first is replaced
        whole(rig)
        served = orders.statuses()[200]
        wait_until(lambda: orders.statuses()[200] > served + 20)
        orders.stop()
        ran = executions(rig)
        found += [f"{key} ran {count} times" for key, count in ran.items() if count > 1]
        for key, tries in orders.told.items():
            bodies = {body for status, body in tries if status == 200}
            if bodies - {key.encode()} or (bodies and ran[key] != 1):
                found.append(f"{key}: told {bodies}, ran {ran[key]} times")
        counts.update({f"told {status}": count for status, count in orders.statuses().items()})
        counts["orders"] += len(ran)
    return seed, found, counts


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    counts, broken, failed = Counter[str](), 0, 0
    with ProcessPoolExecutor(args.jobs) as pool:
        for seed, job in [(seed, pool.submit(day, seed)) for seed in seeds]:
            try:
                _, found, told = job.result()
            except Exception as problem:
                failed += 1
                print(f"seed {seed} did not end: {type(problem).__name__}: {str(problem)[:300]}", flush=True)
                continue
            broken += bool(found)
            counts.update(told)
            if found:
                print(f"seed {seed}: {found[:3]}", flush=True)
    print(f"{len(seeds)} days, {broken} broken, {failed} did not end; {dict(sorted(counts.items()))}")


if __name__ == "__main__":
    main()
