"""The emulating processes of a run, as the lab sees them: the load generator, the nodes and discovery. This
module starts them, holds the channels to them and checks that each has handed over its facts. It applies
no faults. If one of the processes ends early, the run fails."""

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

from .control_channel import Job, JobContext, LabChannel, Message, socket_pair
from .discovery import DiscoveryJob
from .load import LoadJob
from .nodes import NodesJob
from .plan import Plan
from .supervisor import Child, ProcessSupervisor

ROOT = Path(__file__).resolve().parents[2]
REPORTED_STALL_US = 50_000  # longer stalls are mentioned in the notes of the result


class Helper:
    """One emulating process. `final_message` is its `done` message, `last_tick` its most recent tick."""

    def __init__(self, name: str, near: LabChannel, child: Child, facts: Path) -> None:
        self.name, self.channel, self.child, self.facts = name, near, child, facts
        self.ready = asyncio.Event()
        self.handed_over = asyncio.Event()
        self.final_message: Message | None = None
        self.last_tick: Message = {}

    def send(self, command: str, **fields: Any) -> None:
        with suppress(OSError):  # its end is reported through the process descriptor
            self.channel.send(command, **fields)


class Emulation:
    """`on_message(helper, kind, message)` receives the messages that concern the run; `on_failure` receives
    errors that make it invalid."""

    def __init__(
        self,
        scratch: Path,
        supervisor: ProcessSupervisor,
        on_message: Callable[[Helper, str, Message], None],
        on_failure: Callable[[Exception], None],
    ) -> None:
        self.scratch, self.supervisor, self.on_message, self.on_failure = (
            scratch,
            supervisor,
            on_message,
            on_failure,
        )
        self.loop = asyncio.get_running_loop()
        self.helpers: list[Helper] = []

    def start(
        self, plan: Plan, seed: int, folder: Path, base: int, unix_us: int, stall: tuple[int, int] | None
    ) -> None:
        """`base`: CLOCK_MONOTONIC time at which the run's own time begins; `unix_us`: the same moment as Unix
        time."""
        scenario, changes = plan.scenario, plan.changes
        nodes_at_start = [(site.spec, f"{site.host}:{site.port}") for site in plan.locations]
        endpoints = [*plan.discovery_endpoints.values(), *plan.lab_endpoints]
        proxy_addresses = [plan.proxy_addresses[proxy.name] for proxy in plan.proxies if not proxy.tier]
        common = partial(self._common, base)
        self.discovery = self._start(
            DiscoveryJob(common("discovery"), scenario, endpoints, nodes_at_start, unix_us, changes)
        )
        self.nodes = [
            self._start(NodesJob(common(f"nodes-{i}"), scenario, seed, sites, changes))
            for i, sites in enumerate(plan.locations_by_process())
        ]
        self.load = self._start(LoadJob(common("load"), scenario, seed, folder, proxy_addresses, stall))

    def _common(self, base: int, name: str) -> JobContext:
        return JobContext(name, base, self.scratch / f"{name}.jsonl")

    def _start(self, job: Job) -> Helper:
        name, path = job.context.name, self.scratch / f"{job.context.name}.job"
        path.write_bytes(pickle.dumps(job))
        lab_end, process_end = socket_pair()
        command = [sys.executable, "-m", "slatelab.live.helper", str(process_end.fileno()), str(path)]
        env = {**os.environ, "PYTHONPATH": str(ROOT)}  # the same slatelab as the lab's own
        with process_end, (self.scratch / f"{name}.log").open("wb") as log:
            child = self.supervisor.start(
                name, command, cwd=ROOT, env=env, stderr=log, pass_fds=(process_end.fileno(),)
            )
        helper = Helper(name, LabChannel(lab_end), child, job.context.facts)
        self.helpers.append(helper)
        self.loop.add_reader(lab_end, self._guarded, self._receive, helper)
        self.loop.add_reader(child.pidfd, self._guarded, self._process_exited, helper)
        return helper

    def send_to_all(self, command: str, **fields: Any) -> None:
        for helper in self.helpers:
            helper.send(command, **fields)

    def send_to_nodes(self, command: str, **fields: Any) -> None:
        for helper in self.nodes:
            helper.send(command, **fields)

    async def ready(self) -> None:
        await asyncio.gather(*(helper.ready.wait() for helper in self.helpers))

    async def hand_over(self) -> None:
        self.send_to_all("stop")
        await asyncio.gather(*(helper.handed_over.wait() for helper in self.helpers))

    @property
    def open_calls(self) -> int:
        """Downstream calls of nodes that were in progress at the last tick."""
        return sum(helper.last_tick.get("open", 0) for helper in self.nodes)

    def stalls(self) -> list[str]:
        """Notes on stalls for the reader of the result."""
        worst = {helper.name: (helper.final_message or {}).get("worst_us", 0) for helper in self.helpers}
        return [
            f"{name} stalled for up to {us / 1000:.0f} ms"
            for name, us in worst.items()
            if us > REPORTED_STALL_US
        ]

    # ------------------------------------------------------------ messages from the processes

    def _guarded(self, call: Callable[[Helper], None], helper: Helper) -> None:
        try:
            call(helper)
        except Exception as problem:
            self.on_failure(problem)

    def _receive(self, helper: Helper) -> None:
        messages = helper.channel.receive()
        if messages is None:
            self.loop.remove_reader(helper.channel.sock)
        for message in messages or ():
            self._handle_message(helper, message)

    def _handle_message(self, helper: Helper, message: Message) -> None:
        kind = message.pop("say")
        if kind == "ready":
            helper.ready.set()
        elif kind == "done":
            helper.final_message = message
            helper.handed_over.set()
        elif kind == "invalid":
            self.on_failure(InvalidRunError(message["text"]))
        else:
            if kind == "tick":
                helper.last_tick = message
            self.on_message(helper, kind, message)

    def _process_exited(self, helper: Helper) -> None:
        self.loop.remove_reader(helper.child.pidfd)
        self.loop.remove_reader(helper.channel.sock)
        while (messages := helper.channel.receive()) is not None:  # messages still buffered are handled first
            for message in messages:
                self._handle_message(helper, message)
        code = self.supervisor.reap(helper.child)
        if helper.final_message is None:
            lines = (self.scratch / f"{helper.name}.log").read_text(errors="replace").splitlines()
            last_line = f": {lines[-1]}" if lines else ""
            raise InvalidRunError(
                f"{helper.name}, a process of the lab, ended by itself with code {code}{last_line}"
            )
