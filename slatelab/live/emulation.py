"""The emulating processes of a run, seen from the lab: the load generator, the nodes, discovery. It owns
their start, the lines to them and the proof that each has handed over what it saw. It must never carry out a
fault of the schedule, and never let a run go on when one of them has gone."""

from __future__ import annotations

import asyncio
import os
import pickle
import sys
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

from slatelab.engine import InvalidRunError

from .control_channel import Job, JobContext, Message, Near, pair
from .discovery import DiscoveryJob
from .load import LoadJob
from .nodes import NodesJob
from .plan import Plan
from .supervisor import Child, ProcessSupervisor

ROOT = Path(__file__).resolve().parents[2]
STALLED_US = 50_000  # from here on a stall is told to the reader


class Helper:
    """One emulating process. `done` is what it said at its end, `tick` what it said last of its state."""

    def __init__(self, name: str, near: Near, child: Child, facts: Path) -> None:
        self.name, self.near, self.child, self.facts = name, near, child, facts
        self.ready = asyncio.Event()
        self.handed_over = asyncio.Event()
        self.done: Message | None = None
        self.tick: Message = {}

    def tell(self, do: str, **more: Any) -> None:
        with suppress(OSError):  # its end is told by its process descriptor
            self.near.tell(do, **more)


class Emulation:
    """`said(helper, say, message)` hears of what the day must know; `fail` of what makes it invalid."""

    def __init__(
        self,
        scratch: Path,
        keeper: ProcessSupervisor,
        said: Callable[[Helper, str, Message], None],
        fail: Callable[[Exception], None],
    ) -> None:
        self.scratch, self.supervisor, self.said, self.fail = scratch, keeper, said, fail
        self.loop = asyncio.get_running_loop()
        self.helpers: list[Helper] = []

    def start(
        self, plan: Plan, seed: int, folder: Path, base: int, unix_us: int, stall: tuple[int, int] | None
    ) -> None:
        """`base`: where the run's own time begins, of CLOCK_MONOTONIC; `unix_us`: the same as Unix time."""
        scenario, changes = plan.scenario, plan.changes
        stand = [(site.spec, f"{site.host}:{site.port}") for site in plan.sites]
        desks = [*plan.desks.values(), *plan.asides]
        doors = [plan.doors[proxy.name] for proxy in plan.proxies if not proxy.tier]
        common = partial(self._common, base)
        self.discovery = self._start(
            DiscoveryJob(common("discovery"), scenario, desks, stand, unix_us, changes)
        )
        self.nodes = [
            self._start(NodesJob(common(f"nodes-{i}"), scenario, seed, sites, changes))
            for i, sites in enumerate(plan.shares())
        ]
        self.load = self._start(LoadJob(common("load"), scenario, seed, folder, doors, stall))

    def _common(self, base: int, name: str) -> JobContext:
        return JobContext(name, base, self.scratch / f"{name}.jsonl")

    def _start(self, job: Job) -> Helper:
        name, path = job.context.name, self.scratch / f"{job.context.name}.job"
        path.write_bytes(pickle.dumps(job))
        ours, theirs = pair()
        command = [sys.executable, "-m", "slatelab.live.helper", str(theirs.fileno()), str(path)]
        env = {**os.environ, "PYTHONPATH": str(ROOT)}  # slatelab as the lab itself has it
        with theirs, (self.scratch / f"{name}.log").open("wb") as log:
            child = self.supervisor.start(
                name, command, cwd=ROOT, env=env, stderr=log, pass_fds=(theirs.fileno(),)
            )
        helper = Helper(name, Near(ours), child, job.context.facts)
        self.helpers.append(helper)
        self.loop.add_reader(ours, self._guarded, self._hear, helper)
        self.loop.add_reader(child.pidfd, self._guarded, self._ended, helper)
        return helper

    def tell_all(self, do: str, **more: Any) -> None:
        for helper in self.helpers:
            helper.tell(do, **more)

    def tell_nodes(self, do: str, **more: Any) -> None:
        for helper in self.nodes:
            helper.tell(do, **more)

    async def ready(self) -> None:
        await asyncio.gather(*(helper.ready.wait() for helper in self.helpers))

    async def hand_over(self) -> None:
        self.tell_all("stop")
        await asyncio.gather(*(helper.handed_over.wait() for helper in self.helpers))

    @property
    def open(self) -> int:
        """Calls of nodes that were under way at the last tick."""
        return sum(helper.tick.get("open", 0) for helper in self.nodes)

    def stalls(self) -> list[str]:
        """Lines for the reader of the result."""
        worst = {helper.name: (helper.done or {}).get("worst_us", 0) for helper in self.helpers}
        return [
            f"{name} stood still for up to {us / 1000:.0f} ms"
            for name, us in worst.items()
            if us > STALLED_US
        ]

    # ------------------------------------------------------------ what they say

    def _guarded(self, call: Callable[[Helper], None], helper: Helper) -> None:
        try:
            call(helper)
        except Exception as problem:
            self.fail(problem)

    def _hear(self, helper: Helper) -> None:
        messages = helper.near.hear()
        if messages is None:
            self.loop.remove_reader(helper.near.sock)
        for message in messages or ():
            self._take(helper, message)

    def _take(self, helper: Helper, message: Message) -> None:
        say = message.pop("say")
        if say == "ready":
            helper.ready.set()
        elif say == "done":
            helper.done = message
            helper.handed_over.set()
        elif say == "invalid":
            self.fail(InvalidRunError(message["text"]))
        else:
            if say == "tick":
                helper.tick = message
            self.said(helper, say, message)

    def _ended(self, helper: Helper) -> None:
        self.loop.remove_reader(helper.child.pidfd)
        self.loop.remove_reader(helper.near.sock)
        while (messages := helper.near.hear()) is not None:  # its last words come first
            for message in messages:
                self._take(helper, message)
        code = self.supervisor.reap(helper.child)
        if helper.done is None:
            lines = (self.scratch / f"{helper.name}.log").read_text(errors="replace").splitlines()
            said = f": {lines[-1]}" if lines else ""
            raise InvalidRunError(
                f"{helper.name}, a process of the lab, ended by itself with code {code}{said}"
            )
