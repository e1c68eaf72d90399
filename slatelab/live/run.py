"""Runs a scenario live: starts the parts in order, applies the fault schedule and collects the facts. This
module decides whether a run is valid; the parts do their own work.

All processes read one clock, CLOCK_MONOTONIC: the lab's own time begins when the lab does, the scenario's at
`go`, once every proxy is ready. Facts of the lab and of the nodes are converted to the scenario's time when
they are written."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from slatelab import records
from slatelab.engine import InvalidRunError, ProgressCallback, ProgressSnapshot, Recording
from slatelab.plant.faults import FaultEvent
from slatelab.plant.fleet import ProxySpec
from slatelab.records import Asked, FaultBegan, FaultEnded, Record
from slatelab.scenario import Scenario

from .addresses import Addresses
from .clock import monotonic_us
from .control_channel import Message
from .emulation import Emulation, Helper
from .facts import FactWriter
from .peer_network import LivePeerNetwork
from .plan import Plan, make_plan
from .proxy_processes import READY_TIMEOUT_S, ProxyFleet
from .supervisor import ProcessSupervisor, ended_by_sigterm, leftover_processes

PREPARE_TIMEOUT_S = 120.0  # generating the load of a large scenario takes long
OWN_PROXY_LEAD_US = 800_000  # a node's own proxy is started this long before the node
START_LEAD_US = 50_000
HAND_OVER_TIMEOUT_S = 60.0
END_SLACK_S = 15.0  # after the last order's deadline, for a slow machine
# A planned stop may take as long as the longest deadline, plus the slack.
MIN_STOP_US, STOP_SLACK_US = 3_000_000, 700_000
QUIET_POLL_S = 0.6  # longer than two ticks of the node processes


def run(
    scenario: Scenario,
    seed: int,
    folder: Path,
    watch: ProgressCallback | None,
    tree: Path,
    scratch: Path,
    *,
    stall: tuple[int, int] | None = None,
) -> Recording:
    """Runs the scenario against real proxies of the source tree `tree`. Trace files are looked up in
    `folder`; `scratch` takes configurations, logs and facts, and the list of processes that an earlier run
    left. `stall` holds up the load generator (start in the scenario and duration; microseconds), for
    tests. Raises InvalidRunError, ScenarioError, OSError. All processes have ended when it returns,
    however it returns."""
    scratch.mkdir(parents=True, exist_ok=True)
    leftovers = leftover_processes(scratch)
    with ended_by_sigterm():
        addresses, supervisor = Addresses(), ProcessSupervisor(scratch)
        peer_network: LivePeerNetwork | None = None
        try:
            layout = make_plan(scenario, seed, addresses)
            if scenario.fleet.peers:
                peer_network = LivePeerNetwork(
                    scenario, layout.proxies, layout.random_streams.stream("peers"), scratch
                )
                layout.operator_tables = {
                    proxy.name: peer_network.fleet_table(proxy) for proxy in layout.proxies
                }
            live_run = LiveRun(layout, seed, watch, scratch, peer_network)
            recording = asyncio.run(live_run.play(folder, tree, supervisor, stall))
        finally:
            supervisor.close()
            addresses.close()
            if peer_network:
                peer_network.close()
    recording.notes += [f"still running from an earlier run: {name}" for name in leftovers]
    return recording


class LiveRun:
    """One run. Times are microseconds of the lab's own clock, which begins with the run."""

    def __init__(
        self,
        layout: Plan,
        seed: int,
        watch: ProgressCallback | None,
        scratch: Path,
        peer_network: LivePeerNetwork | None = None,
    ) -> None:
        self.peer_network = peer_network
        self.plan, self.scenario = layout, layout.scenario
        self.seed, self.on_progress, self.scratch = seed, watch, scratch
        self.base = monotonic_us()
        self.start = 0  # start of the scenario
        self.max_deadline = max(cls.deadline for cls in self.scenario.classes)
        self.down_nodes: set[str] = set()  # node locations where no node runs
        self.tasks: set[asyncio.Task[None]] = set()

    def now(self) -> int:
        return monotonic_us() - self.base

    # ------------------------------------------------------------ sequence of a run

    async def play(
        self, folder: Path, tree: Path, supervisor: ProcessSupervisor, stall: tuple[int, int] | None
    ) -> Recording:
        self._open(tree, supervisor)
        unix_us = time.time_ns() // 1000 - self.now()
        self.emulation.start(self.plan, self.seed, folder, self.base, unix_us, stall)
        await self._wait_unless_failed(
            self.emulation.ready(), PREPARE_TIMEOUT_S, "the emulation did not get ready"
        )
        within_s = READY_TIMEOUT_S + len(self.plan.proxies)
        await self._wait_unless_failed(
            self.proxy_fleet.start_all(), within_s, "not all proxies answered ready"
        )
        self._start_day()
        within_s = (self.scenario.scenario.duration + self.max_deadline) / 1e6 + END_SLACK_S
        await self._wait_unless_failed(self.over.wait(), within_s, "the load did not come to its end")
        await self._wait_unless_failed(
            self._until_calls_end(), 2 * self.max_deadline / 1e6 + END_SLACK_S, "calls did not end"
        )
        for task in list(self.tasks):  # faults still scheduled would come after the end of the scenario
            task.cancel()
        within_s = (max(self.max_deadline, MIN_STOP_US) + STOP_SLACK_US) / 1e6
        await self._wait_unless_failed(
            self.proxy_fleet.stop_all(within_s), within_s + END_SLACK_S, "proxies cannot be ended"
        )
        await self._wait_unless_failed(
            self.emulation.hand_over(), HAND_OVER_TIMEOUT_S, "the emulation did not hand over what it saw"
        )
        return self._recording()

    def _open(self, tree: Path, supervisor: ProcessSupervisor) -> None:
        """Creates the parts that need the event loop."""
        self.loop = asyncio.get_running_loop()
        self.failure: asyncio.Future[None] = self.loop.create_future()
        self.over = asyncio.Event()  # the last order has ended
        self.facts = FactWriter(self.scratch / "lab.jsonl")
        self.emulation = Emulation(self.scratch, supervisor, self._handle_message, self._fail)
        add, guarded = self.facts.add, self._guarded
        self.proxy_fleet = ProxyFleet(
            self.plan, supervisor, tree, self.scratch, self.now, add, self._set_in_front, self._spawn, guarded
        )

    def _start_day(self) -> None:
        self.start = self.now() + START_LEAD_US
        self.facts.begin(self.start)
        self.emulation.send_to_all("go", at=self.start)
        for n, change in enumerate(self.plan.changes):
            self._at(change.at, self._carry_out, n, change)
            if change.kind in ("start", "renew"):
                self._at(change.at - OWN_PROXY_LEAD_US, self._prestart_own_proxies, change)

    async def _until_calls_end(self) -> None:
        """Waits until no node makes calls for orders that have ended. The calls' own timeouts bound this
        wait."""
        await asyncio.sleep(QUIET_POLL_S)
        while self.emulation.open_calls:
            await asyncio.sleep(QUIET_POLL_S)

    def _recording(self) -> Recording:
        load = self.emulation.load.final_message or {}
        if load["complaint"]:
            raise InvalidRunError(load["complaint"])
        self.facts.close()
        files = [self.scratch / "lab.jsonl", *(helper.facts for helper in self.emulation.helpers)]
        merged: list[Record] = [record for path in files for record in records.read(path)]
        merged.sort(key=lambda record: record.t)
        asked = sum(isinstance(record, Asked) for record in merged)
        notes = [*self.proxy_fleet.notes, *self.emulation.stalls()]
        return Recording("live", self.seed, merged, asked, load["late_p99_us"], notes)

    # ------------------------------------------------------------ error handling

    async def _wait_unless_failed(self, what: Coroutine[Any, Any, object], within_s: float, why: str) -> None:
        """Waits for `what` unless an error occurs meanwhile. Raises that error, or InvalidRunError on a
        timeout."""
        task = asyncio.ensure_future(what)
        await asyncio.wait((task, self.failure), timeout=within_s, return_when=asyncio.FIRST_COMPLETED)
        if self.failure.done() or not task.done():
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        if self.failure.done():
            self.failure.result()
        if task.cancelled():
            raise InvalidRunError(f"{why} within {within_s:.0f} s{self.proxy_fleet.not_ready_summary()}")
        task.result()

    def _fail(self, problem: Exception) -> None:
        if not self.failure.done():
            self.failure.set_exception(problem)

    def _at(self, due: int, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call at `due`, in the scenario's time."""
        delay_s = max(0, due + self.start - self.now()) / 1e6
        self.loop.call_later(delay_s, self._guarded, call, *args)

    def _guarded(self, call: Callable[..., None], *args: Any) -> None:
        try:
            call(*args)
        except Exception as problem:
            self._fail(problem)

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self._task_over)

    def _task_over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and isinstance(problem := task.exception(), Exception):
            self._fail(problem)

    # ------------------------------------------------------------ messages from the emulation

    def _handle_message(self, helper: Helper, kind: str, message: Message) -> None:
        if kind == "over":
            self.over.set()
        elif kind == "tick" and helper is self.emulation.load:
            self._report_progress(message)
        elif kind == "up":
            self.down_nodes.discard(message["place"])
            if message["since"]:  # the others are present from the start
                self._register_node(message, "SERVING", message["since"])
        elif kind == "down":
            self.down_nodes.add(message["place"])
            self._register_node(message, "DELETED", 0)
            if proxy := self.proxy_fleet.owned.get(message["place"]):
                proxy.kill()
        elif kind == "drains":
            self._register_node(message, "DRAINING", 0)

    def _register_node(self, message: Message, phase: str, since: int) -> None:
        location, node = message["place"], message["node"]
        where = self.plan.node_address(location)
        self.emulation.discovery.send("set", place=location, node=node, phase=phase, where=where, since=since)

    def _report_progress(self, tick: Message) -> None:
        if self.on_progress:
            nodes = sorted(tuple(node) for h in self.emulation.nodes for node in h.last_tick.get("nodes", ()))
            counts = {key: tick[key] for key in ("t", "asked", "served", "refused", "failed")}
            latencies, until = tuple(tick["latencies"]), self.scenario.scenario.duration
            self.on_progress(
                ProgressSnapshot(last_arrival_at=until, latencies_us=latencies, nodes=tuple(nodes), **counts)
            )

    def _set_in_front(self, proxy: ProxySpec, used: bool) -> None:
        if not proxy.tier:
            self.emulation.load.send("front", proxy=proxy.name, used=used)

    # ------------------------------------------------------------ the fault schedule

    def _carry_out(self, n: int, change: FaultEvent) -> None:
        kind = FaultBegan if change.is_start else FaultEnded
        self.facts.add(kind(self.now(), change.fault, change.kind, change.targets))
        if change.kind.startswith("peer-"):
            if self.peer_network:
                self.peer_network.apply_fault(change)
        elif change.kind.startswith("proxy-"):
            for name in change.targets:
                self._apply_proxy_fault(name, change.kind, change.is_start)
        elif change.kind in ("start", "renew"):
            for location in change.targets:
                self._spawn(self._start_node(location, change.kind == "renew"))
        elif change.kind.startswith("discovery-"):
            self.emulation.discovery.send("change", n=n)
        else:
            self.emulation.send_to_nodes("change", n=n)

    def _apply_proxy_fault(self, name: str, kind: str, begins: bool) -> None:
        proxy = self.proxy_fleet.proxies[name]
        if kind == "proxy-start":
            self._spawn(proxy.start())
        elif kind == "proxy-freeze":
            proxy.freeze(begins)
        elif kind == "proxy-reload":
            self._spawn(proxy.reload())
        else:
            {"proxy-kill": proxy.kill, "proxy-stop": proxy.stop, "proxy-end": proxy.stop_now}[kind]()

    def _prestart_own_proxies(self, change: FaultEvent) -> None:
        """Starts the nodes' own proxies early. Such a proxy stops and starts with its node, and needs time to
        become ready so that the node is not late."""
        for location in change.targets:
            if location in self.down_nodes and (proxy := self.proxy_fleet.owned.get(location)):
                self._spawn(proxy.start())

    async def _start_node(self, location: str, renewed: bool) -> None:
        if location not in self.down_nodes:
            return
        if proxy := self.proxy_fleet.owned.get(location):
            await proxy.start()
            with suppress(TimeoutError):
                await asyncio.wait_for(proxy.ready.wait(), READY_TIMEOUT_S)
        self.emulation.send_to_nodes("start", place=location, renewed=renewed)
