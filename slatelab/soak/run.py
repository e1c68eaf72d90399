"""One run: starts nodes, discovery and the program under the limits that its seed draws, has its pictures played beside
usual traffic, and judges what was seen."""

from __future__ import annotations

import asyncio
import signal
import subprocess
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from ..reserved_address import ReservedAddress
from .checks import Violation, check_requests
from .clients import usual_traffic
from .crowd import CrowdSpec
from .peers import Discovery, Node
from .pictures import DRAWN_PICTURES, PICTURES, CrowdChoice
from .proxy_process import ROOT, Limits, ProcessEndedError, ProxyProcess, Workplace, private_bytes, settings
from .records import Record, now

LIMITS = (
    Limits(32, 256),
    Limits(32, 1024),
    Limits(64, 512),
    Limits(96, 1024),
    Limits(192, 256),
    Limits(192, 1024),
)
# Two processes of one proxy share its limits, so a proxy that is replaced needs room for both.
UPGRADE_MIN_MEMORY_MB = 64
NODE_COUNT = 6
USUAL_REQUESTS_PER_S = 40
UPGRADE_TIMEOUT_S = 6.0  # until the second process has to be ready
SAMPLE_INTERVAL_S = 0.02
MEGABYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run consists of. Chosen by `draw_plan`, or by hand."""

    seed: int
    pictures: tuple[str, ...]
    limits: Limits
    seconds: float
    deadline_s: float = 6.0
    allowed: dict[str, Any] = field(default_factory=dict)
    crowds: tuple[CrowdChoice, ...] = ()  # of the picture `crowd`; empty: the seed chooses them


@dataclass(frozen=True, slots=True)
class Result:
    """What a run has shown. `highest_mb`: private memory of all processes of the proxy together."""

    plan: Plan
    violations: list[Violation]
    highest_mb: float
    highest_descriptors: int
    statuses: dict[int, int]
    longest_answer_s: float

    def line(self) -> str:
        """The result in one line."""
        limits = self.plan.limits
        return (
            f"seed {self.plan.seed} {'+'.join(self.plan.pictures)} {limits.memory_mb} MB {limits.sockets} descriptors: "
            f"highest {self.highest_mb:.1f} MB, {self.highest_descriptors} descriptors, answers {self.statuses}, "
            f"longest {self.longest_answer_s:.2f} s: {'BROKEN' if self.violations else 'held'}"
        )


def draw_plan(seed: int, seconds: float, pictures: Iterable[str] = (), limits: Limits | None = None) -> Plan:
    """The plan of a seed. `pictures` and `limits` replace what the seed would choose."""
    random = Random(seed)
    chosen = tuple(pictures) or tuple(random.sample(sorted(DRAWN_PICTURES), random.choice((1, 2, 2))))
    if set(chosen) == {"signals", "upgrades"}:
        chosen = chosen[:1]  # both would replace the same process
    drawn = random.choice(LIMITS)
    if "upgrades" in chosen and drawn.memory_mb < UPGRADE_MIN_MEMORY_MB:
        drawn = Limits(UPGRADE_MIN_MEMORY_MB, drawn.sockets)
    allowed = {"may_cancel": random.random() < 0.7, "may_duplicate": random.random() < 0.3}
    return Plan(seed, chosen, limits or drawn, seconds, random.choice((1.0, 3.0, 6.0)), allowed)


class Run:
    """A run under way, as its pictures see it."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.limits = plan.limits
        self.deadline_s = plan.deadline_s
        self.random = Random(f"{plan.seed} pictures")
        self.folder = folder
        self.record = Record()
        self.nodes = [Node(f"s-{i}", self.record) for i in range(NODE_COUNT)]
        self.discovery = Discovery()
        self.listen = ReservedAddress()
        self.management: list[ReservedAddress] = []
        self.until = 0.0
        self.processes: list[ProxyProcess] = []
        self.crowds: list[subprocess.Popen[bytes]] = []
        self.highest_bytes = 0
        self.violations: list[Violation] = []

    @property
    def proxy(self) -> ProxyProcess:
        """The process that was started last."""
        return self.processes[-1]

    @property
    def is_over(self) -> bool:
        """Whether the pictures have to end."""
        return now() >= self.until

    def address(self) -> str:
        """Where clients connect."""
        return str(self.listen)

    def management_address(self) -> str:
        """A new address for the operators of a process."""
        self.management.append(ReservedAddress())
        return str(self.management[-1])

    async def wait_until_end(self) -> None:
        """Returns when the pictures have to end."""
        await asyncio.sleep(max(0.0, self.until - now()))

    def start_crowd(self, crowd: CrowdChoice, seconds: float | None = None) -> None:
        """Starts a crowd that lasts so long, or until the end of the run."""
        spec = CrowdSpec(
            crowd.behaviour,
            self.address(),
            crowd.count,
            crowd.size,
            self.until - now() if seconds is None else seconds,
            self.random.getrandbits(32),
        )
        self.crowds.append(subprocess.Popen(spec.command(), cwd=ROOT, stderr=subprocess.DEVNULL))

    def start_proxy(self) -> ProxyProcess:
        """Starts a process of the proxy."""
        config = {
            "name": "n0", "listen": self.address(), "discovery": self.discovery.address,
            "mgmt": self.management_address(),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.limits.memory_mb, "sockets": self.limits.sockets},
            "known": {"revision": 1, "complete": True, "members": self.discovery.members},
            "settings": settings(self.plan.allowed, self.deadline_s),
        }  # fmt: skip
        self.processes.append(ProxyProcess(config, self.folder, f"n0-{len(self.processes)}"))
        return self.proxy

    async def restart_proxy(self) -> None:
        """Kills the process and starts another one at the same address."""
        self.proxy.end()
        self.record.deaths.append(self.proxy.ended_at)
        await self.start_proxy().wait_ready()

    async def upgrade_proxy(self) -> None:
        """Starts a second process beside the first, and ends the first once the second is ready."""
        old = self.proxy
        new = self.start_proxy()
        try:
            await asyncio.wait_for(new.wait_ready("/healthcheck", new.management), UPGRADE_TIMEOUT_S)
        except TimeoutError:
            self.violations.append(Violation("upgrade", "the second process was not ready in time"))
        except ProcessEndedError as error:
            self.violations.append(Violation("upgrade", str(error)))
        kill_at = now() + min(self.deadline_s, 3.0) + 0.7
        old.signal(signal.SIGTERM)
        while now() < kill_at and old.process.poll() is None:
            await asyncio.sleep(0.02)
        old.end()
        self.record.deaths.append(old.ended_at)

    async def watch_memory(self) -> None:
        """Samples the memory of all processes of the proxy together."""
        while True:
            total = 0
            for process in self.processes:
                try:
                    total += private_bytes(process.process.pid) if process.process.poll() is None else 0
                except OSError:
                    continue  # it has just ended
            self.highest_bytes = max(self.highest_bytes, total)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def play(self) -> None:
        """Plays the whole run."""
        await self.discovery.start()
        for node in self.nodes:
            await node.start()
            self.discovery.set_node(node)
        await self.start_proxy().wait_ready()
        self.until = now() + self.plan.seconds
        watching = asyncio.ensure_future(self.watch_memory())
        traffic = usual_traffic("u", self.record, self.address, USUAL_REQUESTS_PER_S, self.until, self.random)
        await asyncio.gather(traffic, *(PICTURES[name](self) for name in self.plan.pictures))
        await asyncio.sleep(0.3)  # attempts that were begun too late arrive
        watching.cancel()
        self.check_processes()
        await self._end()

    def check_processes(self) -> None:
        """Adds violations of the processes."""
        for process in self.processes:
            highest = max(process.highest_bytes, self.highest_bytes)
            if not process.expected_end and process.process.poll() is not None:
                text = f"a process has ended by itself with {process.process.returncode}"
                self.violations.append(Violation("crash", text))
            if highest > self.limits.memory_mb * MEGABYTE:
                self.violations.append(Violation("memory", f"{highest / MEGABYTE:.1f} MB"))
            if process.highest_descriptors > self.limits.sockets:
                self.violations.append(Violation("descriptors", str(process.highest_descriptors)))
            self.violations += [Violation("fault", line) for line in process.faults()]

    async def _end(self) -> None:
        """Ends all that runs, in the order in which nothing is left without its peer."""
        self.end_processes()
        for node in self.nodes:
            node.kill()
        self.discovery.kill()
        await asyncio.sleep(0.05)  # connections that were reset are closed

    def close_addresses(self) -> None:
        """Gives back the addresses of the run."""
        for address in (self.listen, *self.management):
            address.close()

    def end_processes(self) -> None:
        """Ends all processes that the run has started."""
        for crowd in self.crowds:
            crowd.kill()
            crowd.wait()
        for process in self.processes:
            if process.process.poll() is None:
                process.end()


def play(plan: Plan, logs: Path | None = None) -> Result:
    """Plays a run to its end. `logs`: a folder that gets the logs of its processes."""
    with Workplace() as folder:
        run = Run(plan, folder)
        try:
            asyncio.run(run.play())
        finally:
            run.end_processes()
            run.close_addresses()
            if logs:
                for process in run.processes:
                    (logs / f"{plan.seed}-{process.log_path.name}").write_bytes(process.log_path.read_bytes())
    requests = run.record.requests
    return Result(
        plan,
        run.violations + check_requests(run.record),
        max([run.highest_bytes, *(p.highest_bytes for p in run.processes)]) / MEGABYTE,
        max(p.highest_descriptors for p in run.processes),
        dict(sorted(Counter(r.status for r in requests if not r.closed_at).items())),
        max((r.answered_at - r.sent_at for r in requests if r.answered_at), default=0.0),
    )
