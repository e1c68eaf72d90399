"""The proxy processes of a run: started, polled for readiness, stopped, killed, and their logs read. This
module records the facts about them. When a proxy is to end is decided elsewhere; requests are not examined
here."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from asyncio import AbstractEventLoop
from collections import deque
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import IO, Any

from slatelab.engine import InvalidRunError
from slatelab.plant.fleet import ProxySpec
from slatelab.records import Fact, Logged, ProxyDown, ProxyUp

from .logs import parse
from .plan import Plan
from .supervisor import Child, ProcessSupervisor

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
CRASH_NOTICE_S = 1.0  # delay after which the front layer notices that a proxy has died
STOP_NOTICE_S = 0.3  # delay after SIGTERM until the front layer sends no new connection
MAX_LOG_FACTS = 200_000  # log lines of a whole run recorded as facts
MAX_LOG_BYTES = 64 * 1024 * 1024  # size of one log file
LAST_LINES = 5  # last lines kept for error messages


class ProxyProcess:
    """One proxy over all its lives. `state`: down, starting, up, stopping. `expected_end`: how the running
    process is meant to end ("": not at all); any other end is a crash."""

    def __init__(self, fleet: ProxyFleet, spec: ProxySpec) -> None:
        self.fleet, self.spec, self.name = fleet, spec, spec.name
        self.config = fleet.folder / f"{spec.name}.json"
        self.state = "down"
        self.expected_end = ""
        self.life = 0
        self.child: Child | None = None
        self.ready = asyncio.Event()
        self.exited = asyncio.Event()
        self.exited.set()
        self.restart_wanted = False
        self.last_lines: deque[str] = deque(maxlen=LAST_LINES)
        self._partial_line = b""

    # ------------------------------------------------------------ lives

    async def start(self) -> None:
        """Starts the proxy with the nodes that discovery lists now. A proxy that is still stopping is started
        again once it has ended."""
        if self.child:
            self.restart_wanted = self.state == "stopping"
            return
        self.restart_wanted = False
        self.state, self.expected_end = "starting", ""
        self.ready.clear()
        self.exited.clear()
        life = self.life = self.life + 1
        members = (
            await self.fleet.members(self.spec.tier) if life > 1 else self.fleet.known_members[self.spec.tier]
        )
        if self.life == life and self.state == "starting":
            self._launch(members)

    def _launch(self, members: list[dict[str, Any]]) -> None:
        fleet, address, endpoint = (
            self.fleet,
            self.fleet.plan.proxy_addresses[self.name],
            self.fleet.plan.discovery_endpoints[self.name],
        )
        fleet.plan.write_config(self.config, self.spec, members, self.life)
        env = {
            key: value
            for key, value in os.environ.items()
            if key not in ("PYTHONPATH", "SLATEHUB_OPERATOR") and not key.startswith("EDGE_")
        }
        env |= {
            "EDGE_CONFIG": str(self.config),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{address.host}:{address.port}",
            "EDGE_DISCOVERY": f"{endpoint.host}:{endpoint.port}",
        }
        # An older revision ignores this variable and runs without the file.
        if own := fleet.plan.operator_config(self.spec):
            env["SLATEHUB_OPERATOR"] = str(self.config.with_suffix(".toml"))
            self.config.with_suffix(".toml").write_text(own)
        reading, writing = os.pipe()
        command = [sys.executable, "-B", "-m", "slatehub", "serve"]
        try:
            self.child = fleet.supervisor.start(
                self.name, command, cwd=fleet.source_tree, env=env, stderr=writing
            )
        finally:
            os.close(writing)
        log = (fleet.folder / f"{self.name}.log").open("ab")
        os.set_blocking(reading, False)
        fleet.loop.add_reader(reading, self._read, reading, log)
        fleet.loop.add_reader(self.child.pidfd, fleet.guarded, self._ended, self.child)
        fleet.spawn(self._poll_ready(self.life))

    async def _poll_ready(self, life: int) -> None:
        """Polls until the proxy is ready."""
        address = self.fleet.plan.proxy_addresses[self.name]
        while self.life == life and self.state == "starting":
            status, _ = await fetch(address.host, address.port, "/ready")
            if status == 200 and self.life == life and self.state == "starting":
                self.state = "up"
                self.fleet.add_fact(ProxyUp(self.fleet.now(), self.name, self.spec.tier))
                self.fleet.on_front_change(self.spec, True)
                self.ready.set()
            await asyncio.sleep(READY_POLL_S)

    def kill(self) -> None:
        """Sends SIGKILL; does nothing if it is down."""
        if self.child is None:
            self.life += 1  # prevents a launch that is already pending
            self.state = "down"
            self.exited.set()
            return
        self._record_down("killed")
        self.state = "stopping"
        self.ready.clear()
        self.fleet.supervisor.signal(self.child, signal.SIGKILL)
        self._leave_front(CRASH_NOTICE_S)

    def freeze(self, begins: bool) -> None:
        """Sends SIGSTOP or SIGCONT; does nothing if it is down."""
        if self.child:
            self.fleet.supervisor.signal(self.child, signal.SIGSTOP if begins else signal.SIGCONT)

    def stop(self) -> None:
        """Sends SIGTERM; does nothing if it is down or stopping."""
        if self.child is None or self.state == "stopping":
            return
        self._record_down("planned")
        self.state = "stopping"
        self.ready.clear()
        self.fleet.supervisor.signal(self.child, signal.SIGTERM)
        self._leave_front(STOP_NOTICE_S)

    def stop_now(self) -> None:
        """Sends SIGKILL if the proxy was sent SIGTERM and still runs."""
        if self.child and self.state == "stopping":
            self.kill()

    async def reload(self) -> None:
        """Rewrites the configuration with the nodes that discovery lists now, then sends SIGHUP."""
        members = await self.fleet.members(self.spec.tier)
        if self.child and self.state == "up":
            self.fleet.plan.write_config(self.config, self.spec, members, self.life)
            self.fleet.supervisor.signal(self.child, signal.SIGHUP)

    def _record_down(self, reason: str) -> None:
        if self.expected_end != reason:
            self.expected_end = reason
            self.fleet.add_fact(ProxyDown(self.fleet.now(), self.name, reason))

    def _leave_front(self, after_s: float) -> None:
        life = self.life

        def leave() -> None:
            if self.life == life:
                self.fleet.on_front_change(self.spec, False)

        self.fleet.loop.call_later(after_s, leave)

    def _ended(self, child: Child) -> None:
        self.fleet.loop.remove_reader(child.pidfd)
        code = self.fleet.supervisor.reap(child)
        self.child = None
        if self.expected_end == "planned":
            self._record_down("exited")
        elif not self.expected_end:
            self._crashed(code)
        self.state = "down"
        self.exited.set()
        if self.restart_wanted:
            self.fleet.spawn(self.start())

    def _crashed(self, code: int) -> None:
        self._record_down("crashed")
        said = f", last log lines: {' | '.join(self.last_lines)}" if self.last_lines else ""
        text = f"{self.name} ended by itself with code {code}{said}"
        if not self.fleet.all_were_ready:
            raise InvalidRunError(f"{text}; it was never ready")
        self.fleet.notes.append(text)
        self._leave_front(CRASH_NOTICE_S)

    # ------------------------------------------------------------ log output

    def _read(self, fd: int, log: IO[bytes]) -> None:
        try:
            data = os.read(fd, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            self.fleet.loop.remove_reader(fd)
            os.close(fd)
            log.close()
            return
        if log.tell() < MAX_LOG_BYTES:
            log.write(data)
        *lines, self._partial_line = (self._partial_line + data)[-MAX_LOG_BYTES:].split(b"\n")
        for line in lines:
            self._logged(line.decode("utf-8", "replace"))

    def _logged(self, text: str) -> None:
        self.last_lines.append(text[:300])
        self.fleet.log_lines += 1
        if self.fleet.log_lines <= MAX_LOG_FACTS:
            level, topic, said, fields = parse(text)
            self.fleet.add_fact(Logged(self.fleet.now(), self.name, level, topic, said, fields))


class ProxyFleet:
    """All proxies. `front` is called when a first-tier proxy enters or leaves use; `add` takes facts in the
    run's own time."""

    def __init__(
        self,
        plan: Plan,
        supervisor: ProcessSupervisor,
        source_tree: Path,
        folder: Path,
        now: Callable[[], int],
        add: Callable[[Fact], None],
        front: Callable[[ProxySpec, bool], None],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        guarded: Callable[..., None],
    ) -> None:
        self.plan, self.supervisor, self.source_tree, self.folder = plan, supervisor, source_tree, folder
        self.now, self.add_fact, self.on_front_change, self.spawn, self.guarded = (
            now,
            add,
            front,
            spawn,
            guarded,
        )
        self.loop: AbstractEventLoop = asyncio.get_running_loop()
        self.notes: list[str] = []
        self.log_lines = 0
        self.proxies = {spec.name: ProxyProcess(self, spec) for spec in plan.proxies}
        self.owned = {spec.owner_node: self.proxies[spec.name] for spec in plan.proxies if spec.owner_node}
        self.all_were_ready = False  # every proxy has been ready once
        self.known_members = {tier: plan.members(tier) for tier in range(len(plan.scenario.tiers))}

    async def members(self, tier: int) -> list[dict[str, Any]]:
        """The nodes of a tier as discovery lists them now, or as in its last successful response."""
        endpoint = self.plan.lab_endpoints[tier]
        status, body = await fetch(endpoint.host, endpoint.port, "/v1/endpoints")
        if status == 200:
            self.known_members[tier] = [m for m in json.loads(body)["members"] if m["phase"] != "DELETED"]
        return self.known_members[tier]

    async def start_all(self) -> None:
        """Starts the proxies tier by tier from the last, so that no proxy calls one that has not started."""
        for tier in reversed(range(len(self.plan.scenario.tiers))):
            proxies = [proxy for proxy in self.proxies.values() if proxy.spec.tier == tier]
            for proxy in proxies:
                await proxy.start()
            for proxy in proxies:
                await proxy.ready.wait()
        self.all_were_ready = True

    def not_ready_summary(self) -> str:
        """The last log line of proxies that are not ready, for error messages."""
        late = [proxy for proxy in self.proxies.values() if proxy.state == "starting"]
        return "".join(f"; {p.name}: {p.last_lines[-1] if p.last_lines else 'no output'}" for p in late[:3])

    async def stop_all(self, patience_s: float) -> None:
        """Sends SIGTERM to all, and SIGKILL to those that have not ended within `patience_s`."""
        for proxy in self.proxies.values():
            proxy.restart_wanted = False
            proxy.stop()
        waits = [asyncio.ensure_future(proxy.exited.wait()) for proxy in self.proxies.values()]
        _, late = await asyncio.wait(waits, timeout=patience_s)
        for proxy in self.proxies.values() if late else ():
            proxy.stop_now()
        await asyncio.gather(*waits)


async def fetch(host: str, port: int, path: str, within_s: float = 1.0) -> tuple[int, bytes]:
    """Sends one GET. Returns status 0 if no complete response arrived in time."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                size = int(head.partition("content-length:")[2].partition("\r\n")[0])
                return int(head.split(" ")[1]), await reader.readexactly(size)
            finally:
                writer.close()
    except (OSError, EOFError, ValueError, IndexError, asyncio.LimitOverrunError):
        return 0, b""
