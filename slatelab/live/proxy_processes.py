"""The proxies of a run as processes: started, asked whether they are ready, told to end, killed, and their
logs read. It owns these processes' lives and the facts about them. It must never decide when one is to end,
nor look at a request."""

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

READY_WITHIN_S = 30.0
LOOK_EVERY_S = 0.05
NOTICED_S = 1.0  # until the front notices that a proxy has died
WITHDRAWN_S = 0.3  # after SIGTERM, until the front sends no new connection
MOST_LINES = 200_000  # of all logs of a run, as facts
MOST_BYTES = 64 * 1024 * 1024  # of one log file
KEPT = 5  # last lines, for messages


class Proxy:
    """One proxy over all its lives. `state`: down, starting, up, stopping. `ends_as`: how the process now
    running is to end ("": not at all), so that any other end is a crash."""

    def __init__(self, crew: Crew, spec: ProxySpec) -> None:
        self.crew, self.spec, self.name = crew, spec, spec.name
        self.config = crew.folder / f"{spec.name}.json"
        self.state = "down"
        self.ends_as = ""
        self.life = 0
        self.child: Child | None = None
        self.ready = asyncio.Event()
        self.gone = asyncio.Event()
        self.gone.set()
        self.wanted_again = False
        self.last: deque[str] = deque(maxlen=KEPT)
        self._rest = b""

    # ------------------------------------------------------------ lives

    async def start(self) -> None:
        """Starts it with the nodes that discovery shows now; one that still runs is started again once it has
        ended."""
        if self.child:
            self.wanted_again = self.state == "stopping"
            return
        self.wanted_again = False
        self.state, self.ends_as = "starting", ""
        self.ready.clear()
        self.gone.clear()
        life = self.life = self.life + 1
        members = await self.crew.members(self.spec.tier) if life > 1 else self.crew.known[self.spec.tier]
        if self.life == life and self.state == "starting":
            self._launch(members)

    def _launch(self, members: list[dict[str, Any]]) -> None:
        crew, door, desk = self.crew, self.crew.plan.doors[self.name], self.crew.plan.desks[self.name]
        crew.plan.write_config(self.config, self.spec, members, self.life)
        env = {
            key: value
            for key, value in os.environ.items()
            if key not in ("PYTHONPATH", "SLATEHUB_OPERATOR") and not key.startswith("EDGE_")
        }
        env |= {
            "EDGE_CONFIG": str(self.config),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{door.host}:{door.port}",
            "EDGE_DISCOVERY": f"{desk.host}:{desk.port}",
        }
        if own := crew.plan.operator(
            self.spec
        ):  # an older tree does not know the variable, and goes on without
            env["SLATEHUB_OPERATOR"] = str(self.config.with_suffix(".toml"))
            self.config.with_suffix(".toml").write_text(own)
        reading, writing = os.pipe()
        command = [sys.executable, "-B", "-m", "slatehub", "serve"]
        try:
            self.child = crew.supervisor.start(self.name, command, cwd=crew.tree, env=env, stderr=writing)
        finally:
            os.close(writing)
        log = (crew.folder / f"{self.name}.log").open("ab")
        os.set_blocking(reading, False)
        crew.loop.add_reader(reading, self._read, reading, log)
        crew.loop.add_reader(self.child.pidfd, crew.guarded, self._ended, self.child)
        crew.spawn(self._look(self.life))

    async def _look(self, life: int) -> None:
        """Asks until it is ready."""
        door = self.crew.plan.doors[self.name]
        while self.life == life and self.state == "starting":
            status, _ = await fetch(door.host, door.port, "/ready")
            if status == 200 and self.life == life and self.state == "starting":
                self.state = "up"
                self.crew.add(ProxyUp(self.crew.now(), self.name, self.spec.tier))
                self.crew.front(self.spec, True)
                self.ready.set()
            await asyncio.sleep(LOOK_EVERY_S)

    def kill(self) -> None:
        """SIGKILL; nothing if it is down."""
        if self.child is None:
            self.life += 1  # one that is about to be launched is not
            self.state = "down"
            self.gone.set()
            return
        self._down("killed")
        self.state = "stopping"
        self.ready.clear()
        self.crew.supervisor.signal(self.child, signal.SIGKILL)
        self._leave_front(NOTICED_S)

    def freeze(self, begins: bool) -> None:
        """SIGSTOP or SIGCONT; nothing if it is down."""
        if self.child:
            self.crew.supervisor.signal(self.child, signal.SIGSTOP if begins else signal.SIGCONT)

    def stop(self) -> None:
        """SIGTERM; nothing if it is down or stopping."""
        if self.child is None or self.state == "stopping":
            return
        self._down("planned")
        self.state = "stopping"
        self.ready.clear()
        self.crew.supervisor.signal(self.child, signal.SIGTERM)
        self._leave_front(WITHDRAWN_S)

    def stop_now(self) -> None:
        """SIGKILL to one that has been told to stop and has not."""
        if self.child and self.state == "stopping":
            self.kill()

    async def reload(self) -> None:
        """Its file written anew with the nodes that discovery shows now, then SIGHUP."""
        members = await self.crew.members(self.spec.tier)
        if self.child and self.state == "up":
            self.crew.plan.write_config(self.config, self.spec, members, self.life)
            self.crew.supervisor.signal(self.child, signal.SIGHUP)

    def _down(self, why: str) -> None:
        if self.ends_as != why:
            self.ends_as = why
            self.crew.add(ProxyDown(self.crew.now(), self.name, why))

    def _leave_front(self, after_s: float) -> None:
        life = self.life

        def leave() -> None:
            if self.life == life:
                self.crew.front(self.spec, False)

        self.crew.loop.call_later(after_s, leave)

    def _ended(self, child: Child) -> None:
        self.crew.loop.remove_reader(child.pidfd)
        code = self.crew.supervisor.reap(child)
        self.child = None
        if self.ends_as == "planned":
            self._down("exited")
        elif not self.ends_as:
            self._crashed(code)
        self.state = "down"
        self.gone.set()
        if self.wanted_again:
            self.crew.spawn(self.start())

    def _crashed(self, code: int) -> None:
        self._down("crashed")
        said = f", its last words: {' | '.join(self.last)}" if self.last else ""
        text = f"{self.name} ended by itself with code {code}{said}"
        if not self.crew.stands:
            raise InvalidRunError(f"{text}; it was never ready")
        self.crew.notes.append(text)
        self._leave_front(NOTICED_S)

    # ------------------------------------------------------------ its log

    def _read(self, fd: int, log: IO[bytes]) -> None:
        try:
            data = os.read(fd, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            self.crew.loop.remove_reader(fd)
            os.close(fd)
            log.close()
            return
        if log.tell() < MOST_BYTES:
            log.write(data)
        *lines, self._rest = (self._rest + data)[-MOST_BYTES:].split(b"\n")
        for line in lines:
            self._logged(line.decode("utf-8", "replace"))

    def _logged(self, text: str) -> None:
        self.last.append(text[:300])
        self.crew.lines += 1
        if self.crew.lines <= MOST_LINES:
            level, topic, said, fields = parse(text)
            self.crew.add(Logged(self.crew.now(), self.name, level, topic, said, fields))


class Crew:
    """All proxies. `front` is told which of the first tier are in use; `add` takes facts in the run's own
    time."""

    def __init__(
        self,
        plan: Plan,
        keeper: ProcessSupervisor,
        tree: Path,
        folder: Path,
        now: Callable[[], int],
        add: Callable[[Fact], None],
        front: Callable[[ProxySpec, bool], None],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        guarded: Callable[..., None],
    ) -> None:
        self.plan, self.supervisor, self.tree, self.folder = plan, keeper, tree, folder
        self.now, self.add, self.front, self.spawn, self.guarded = now, add, front, spawn, guarded
        self.loop: AbstractEventLoop = asyncio.get_running_loop()
        self.notes: list[str] = []
        self.lines = 0
        self.proxies = {spec.name: Proxy(self, spec) for spec in plan.proxies}
        self.owned = {spec.owner_node: self.proxies[spec.name] for spec in plan.proxies if spec.owner_node}
        self.stands = False  # all have been ready once
        self.known = {tier: plan.members(tier) for tier in range(len(plan.scenario.tiers))}

    async def members(self, tier: int) -> list[dict[str, Any]]:
        """The nodes of a tier as discovery shows them now, or as it did when it last answered."""
        desk = self.plan.asides[tier]
        status, body = await fetch(desk.host, desk.port, "/v1/endpoints")
        if status == 200:
            self.known[tier] = [m for m in json.loads(body)["members"] if m["phase"] != "DELETED"]
        return self.known[tier]

    async def start_all(self) -> None:
        """Tier by tier from the last, so that nobody calls whoever is not there yet."""
        for tier in reversed(range(len(self.plan.scenario.tiers))):
            proxies = [proxy for proxy in self.proxies.values() if proxy.spec.tier == tier]
            for proxy in proxies:
                await proxy.start()
            for proxy in proxies:
                await proxy.ready.wait()
        self.stands = True

    def last_words(self) -> str:
        """What those say that are not ready."""
        late = [proxy for proxy in self.proxies.values() if proxy.state == "starting"]
        return "".join(f"; {p.name}: {p.last[-1] if p.last else 'says nothing'}" for p in late[:3])

    async def stop_all(self, patience_s: float) -> None:
        """SIGTERM to all, and SIGKILL to those that take longer than they may."""
        for proxy in self.proxies.values():
            proxy.wanted_again = False
            proxy.stop()
        waits = [asyncio.ensure_future(proxy.gone.wait()) for proxy in self.proxies.values()]
        _, late = await asyncio.wait(waits, timeout=patience_s)
        for proxy in self.proxies.values() if late else ():
            proxy.stop_now()
        await asyncio.gather(*waits)


async def fetch(host: str, port: int, path: str, within_s: float = 1.0) -> tuple[int, bytes]:
    """One GET; status 0 where no whole answer came in time."""
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
