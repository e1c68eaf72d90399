"""Control channel between the lab and each emulating process: one JSON object per line in both directions,
over a socket pair. Also holds what all parts of an emulating process share: the event loop, the clock, the
fact writer and the stall sampler. Requests of the scenario never travel over this channel.

Messages from the lab carry `do`: go (at), change (n), start (place), set, front, stop. Messages from a
process carry `say`: ready, up, down, drains, tick, over, invalid (text), done."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import pickle
import resource
import socket
import sys
from asyncio import AbstractEventLoop, BaseTransport, Transport
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol, cast

from slatelab.records import Lagged

from .clock import Clock
from .facts import FactWriter

STALL_SAMPLE_US = 20_000
MIN_STALL_US = 5_000  # shorter stalls are not reported
MAX_UNSENT_BYTES = 1024 * 1024  # unread by the lab; above this limit ticks are skipped
SEND_TIMEOUT_S = 10.0  # time for the other side to accept a message

Message = dict[str, Any]


class LineDecoder:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Message]:
        *whole, self._rest = (self._rest + data).split(b"\n")
        return [json.loads(line) for line in whole]


class LabChannel:
    """The lab's end of the channel."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(SEND_TIMEOUT_S)
        self.sock = sock
        self._lines = LineDecoder()

    def send(self, command: str, **fields: Any) -> None:
        """Sends a message. Raises OSError if the process has ended or does not read."""
        self.sock.sendall(json.dumps({"do": command, **fields}).encode() + b"\n")

    def receive(self) -> list[Message] | None:
        """Returns the messages that have arrived; None at the end of the stream."""
        data = self.sock.recv(1 << 16)
        return self._lines.feed(data) if data else None

    def close(self) -> None:
        self.sock.close()


@dataclass(frozen=True, slots=True)
class JobContext:
    """Settings common to all parts: the name, `base` (the CLOCK_MONOTONIC time at which the run's own time
    begins) and the path of the facts file."""

    name: str
    base: int
    facts: Path


class Part(Protocol):
    """The part of the emulation that a process runs."""

    async def open(self) -> None: ...

    def handle_message(self, message: Message) -> None: ...

    def tick(self) -> Message | None: ...

    def close(self) -> Message: ...


class Job(Protocol):
    """What an emulating process is started with: its settings, and how to build its part."""

    @property
    def context(self) -> JobContext: ...

    def part(self, channel: HelperChannel) -> Part: ...


class HelperChannel(asyncio.Protocol):
    """The emulating process's end of the channel, with the services that its part uses. Facts carry `clock`
    times; a part whose clock already counts from the start of the scenario sets `uses_day_time`."""

    def __init__(self, loop: AbstractEventLoop, context: JobContext) -> None:
        self.loop = loop
        self.name = context.name
        self.clock = Clock(loop, context.base)
        self.facts = FactWriter(context.facts)
        self.uses_day_time = False
        self.part: Part | None = None
        self.max_stall_us = 0  # longest stall observed
        self.ended: asyncio.Future[int] = loop.create_future()
        self._lines = LineDecoder()
        self._transport: Transport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        self._transport = cast(Transport, transport)

    def data_received(self, data: bytes) -> None:
        for message in self._lines.feed(data):
            self._handle_message(message)

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish(1)  # the lab has ended

    def send(self, kind: str, **fields: Any) -> None:
        assert self._transport
        self._transport.write(json.dumps({"say": kind, **fields}).encode() + b"\n")

    def report_invalid(self, text: str) -> None:
        """Reports that the results of the run are no longer valid."""
        self.send("invalid", text=text)

    def _handle_message(self, message: Message) -> None:
        assert self.part
        if message["do"] == "stop":
            done = self.part.close()
            self.facts.close()
            self.send("done", worst_us=self.max_stall_us, **done)
            return
        if message["do"] == "go":
            self._start_day(message["at"])
        self.part.handle_message(message)

    def _start_day(self, at: int) -> None:
        if self.uses_day_time:
            self.clock.rebase(at)
        self.facts.begin(0 if self.uses_day_time else at)
        self._sample(self.clock.now() + STALL_SAMPLE_US)
        self.loop.call_later(0.25, self._tick)

    def _sample(self, due: int) -> None:
        """Records a Lagged fact when the loop was stalled, so that times distorted by a busy machine are not
        taken as valid."""

        def check() -> None:
            now = self.clock.now()
            if now - due > MIN_STALL_US:
                self.facts.add(Lagged(now, self.name, now - due))
                self.max_stall_us = max(self.max_stall_us, now - due)
            self._sample(now + STALL_SAMPLE_US)

        if not self.ended.done():
            self.clock.call_at(due, check)

    def _tick(self) -> None:
        assert self.part and self._transport
        if self._transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            if tick := self.part.tick():
                self.send("tick", **tick)
        self.loop.call_later(0.25, self._tick)

    def _finish(self, code: int) -> None:
        if not self.ended.done():
            self.ended.set_result(code)

    def handle_exception(self, loop: AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handles an uncaught exception by ending the process, which must not continue with its work partly
        done."""
        problem = context.get("exception")
        loop.default_exception_handler(context)
        if not self.ended.done():
            self.report_invalid(
                f"{self.name}: {type(problem).__name__}: {problem}" if problem else context["message"]
            )
            self._finish(1)


async def _run_job(job: Job, fd: int) -> int:
    loop = asyncio.get_running_loop()
    channel = HelperChannel(loop, job.context)
    loop.set_exception_handler(channel.handle_exception)
    sock = socket.socket(fileno=fd)
    await loop.create_connection(lambda: channel, sock=sock)
    channel.part = job.part(channel)
    await channel.part.open()
    gc.collect()
    gc.freeze()  # objects loaded so far are permanent; scanning them in each collection would only cause pauses
    channel.send("ready")
    return await channel.ended


def main(fd: int, path: Path) -> None:
    """Runs an emulating process. It ends when the lab closes the channel."""
    import uvloop

    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    job: Job = pickle.loads(path.read_bytes())  # written by the lab that started this process
    code = uvloop.run(_run_job(job, fd))
    sys.stdout.flush()
    os._exit(code)


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """Returns the two connected sockets of a channel."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
