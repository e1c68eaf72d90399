"""The discovery process: HTTP over the Registry, with one address per proxy so that the asking proxy is
known. This module holds the sockets and what each proxy was last sent; the content and timing of responses
are decided by the Registry."""

from __future__ import annotations

import asyncio
import json
import socket
from asyncio import BaseTransport, Transport
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from slatelab.plant.faults import FaultEvent
from slatelab.plant.fleet import NodeSpec
from slatelab.plant.registry import PHASE_DELETED, Registry, RegistryResponse
from slatelab.plant.settings import member_entry
from slatelab.records import Polled, Told
from slatelab.scenario import Scenario

from .addresses import listener
from .clock import ScheduledCall
from .control_channel import HelperChannel, JobContext, Message, Part
from .server_connection import LINGER_0

MAX_WAIT_MS = 60_000
PATH = "/v1/endpoints"


@dataclass(frozen=True, slots=True)
class DiscoveryEndpoint:
    """The address at which one proxy calls discovery."""

    proxy: str
    tier: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DiscoveryJob:
    """What the discovery process is started with."""

    context: JobContext
    scenario: Scenario
    endpoints: list[DiscoveryEndpoint]
    nodes: list[tuple[NodeSpec, str]]  # nodes present at the start, with their host:port
    unix_us: int  # Unix time at which the run's own time begins
    changes: list[FaultEvent]

    def part(self, channel: HelperChannel) -> Part:
        return Discovery(self, channel)


class DiscoveryConnection(asyncio.Protocol):
    """A proxy's connection. `call_id` identifies the pending call; 0: none."""

    def __init__(
        self,
        on_request: Callable[[DiscoveryConnection, str], None],
        on_disconnect: Callable[[DiscoveryConnection], None],
        endpoint: DiscoveryEndpoint,
    ) -> None:
        self.on_request, self.on_disconnect, self.endpoint = on_request, on_disconnect, endpoint
        self.transport: Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.call_id = 0
        self.url = b""

    def connection_made(self, transport: BaseTransport) -> None:
        self.transport = cast(Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        url, self.url = self.url, b""
        self.on_request(self, url.decode("latin-1"))

    def eof_received(self) -> None:
        self.on_disconnect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_disconnect(self)

    def answer(self, status: str, body: bytes) -> None:
        assert self.transport
        self.transport.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def reset(self) -> None:
        assert self.transport
        sock = self.transport.get_extra_info("socket")
        if not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        self.transport.abort()


class Discovery:
    """Serves the Registry at one address per proxy, and records the calls and the responses."""

    def __init__(self, job: DiscoveryJob, channel: HelperChannel) -> None:
        self.job, self.channel = job, channel
        self.registry: Registry
        self.specs = {spec.id: spec for spec, _ in job.nodes}
        self.calls: dict[int, DiscoveryConnection] = {}  # by call id
        self.last_listed: dict[str, set[str]] = {}  # by proxy: the nodes listed in its last response
        self.call_ids = count(1)
        self._timer: ScheduledCall | None = None

    async def open(self) -> None:
        now = self.channel.clock.now()  # one time for all nodes, so that all count as present from the start
        self.registry = Registry(self.job.scenario, now)
        for spec, where in self.job.nodes:
            self.registry.set_node(now, spec.id, "SERVING", spec.tier, where, 0)
        for endpoint in self.job.endpoints:
            sock = listener(endpoint.host, endpoint.port)
            await self.channel.loop.create_server(
                partial(DiscoveryConnection, self._handle_request, self._handle_disconnect, endpoint),
                sock=sock,
            )

    def handle_message(self, message: Message) -> None:
        if message["do"] == "change":
            self._apply_fault(self.job.changes[message["n"]])
        elif message["do"] == "set":
            self._set_node(message)
        self._advance()

    def _set_node(self, message: Message) -> None:
        spec = self.specs[message["place"]]
        node, since = message["node"], message["since"]
        if node not in self.specs:  # a replacement for another node
            self.specs[node] = NodeSpec(node, spec.tier, spec.kind, spec.speed, spec.address)
        now = self.channel.clock.now()
        self.registry.set_node(now, node, message["phase"], spec.tier, message["where"], since)

    def _apply_fault(self, change: FaultEvent) -> None:
        now = self.channel.clock.now()
        if change.kind == "discovery-down":
            for call_id in self.registry.set_down(now, change.is_start):
                if connection := self.calls.pop(call_id, None):
                    connection.reset()
        elif change.kind == "discovery-lies":
            self.registry.set_false_deletions(
                now, self.specs[change.targets[0]].tier, change.targets if change.is_start else ()
            )

    # ------------------------------------------------------------ discovery calls

    def _handle_request(self, connection: DiscoveryConnection, url: str) -> None:
        parts = urlsplit(url)
        if parts.path != PATH:
            return connection.answer("404 Not Found", b"")
        now, query = self.channel.clock.now(), parse_qs(parts.query)
        since = _number(query, "since")
        wait_ms = min(_number(query, "timeout_ms") or 0, MAX_WAIT_MS)
        connection.call_id = next(self.call_ids)
        self.calls[connection.call_id] = connection
        if connection.endpoint.proxy:  # the lab's own calls are not recorded
            self.channel.facts.add(Polled(now, connection.endpoint.proxy))
        self.registry.receive_call(
            now,
            connection.endpoint.proxy,
            connection.endpoint.tier,
            since,
            wait_ms * 1000,
            connection.call_id,
        )
        self._advance()

    def _handle_disconnect(self, connection: DiscoveryConnection) -> None:
        if self.calls.pop(connection.call_id, None):
            self.registry.cancel_call(connection.call_id)
        connection.call_id = 0

    def _advance(self) -> None:
        """Writes the responses that are ready and schedules the next call."""
        for answer in self.registry.advance(self.channel.clock.now()):
            if connection := self.calls.pop(answer.call_id, None):
                connection.call_id = 0
                self._write(connection, answer)
        if self._timer:
            self._timer.cancel()
        due = self.registry.next_event_time()
        self._timer = None if due is None else self.channel.clock.call_at(due, self._advance)

    def _write(self, connection: DiscoveryConnection, answer: RegistryResponse) -> None:
        if answer.status != 200:
            return connection.answer(f"{answer.status} Service Unavailable", b"")
        members = [
            member_entry(
                self.specs[entry.node], entry.host_port, entry.phase, self._unix_ms(entry.started_at_us)
            )
            for entry in answer.entries
        ]
        tree = {"revision": answer.revision, "complete": answer.complete, "members": members}
        connection.answer("200 OK", json.dumps(tree).encode())
        if connection.endpoint.proxy:
            self._record(connection.endpoint.proxy, answer)

    def _record(self, proxy: str, answer: RegistryResponse) -> None:
        """Records what was sent to the proxy. A node that a complete list leaves out counts as reported deleted."""
        now, listed = self.channel.clock.now(), self.last_listed.setdefault(proxy, set())
        for entry in answer.entries:
            self.channel.facts.add(Told(now, proxy, entry.node, entry.phase, entry.started_at_us))
        here = {entry.node for entry in answer.entries if entry.phase != PHASE_DELETED}
        for node in sorted(listed - here) if answer.complete else ():
            self.channel.facts.add(Told(now, proxy, node, PHASE_DELETED))
        gone = {entry.node for entry in answer.entries if entry.phase == PHASE_DELETED}
        self.last_listed[proxy] = here if answer.complete else (listed | here) - gone

    def _unix_ms(self, since_us: int) -> int:
        return (self.job.unix_us + since_us) // 1000 if since_us else 0

    # ------------------------------------------------------------ requests from the lab

    def tick(self) -> None:
        return None

    def close(self) -> Message:
        return {}


def _number(query: dict[str, list[str]], name: str) -> int | None:
    text = query.get(name, [""])[0]
    return int(text) if text.isascii() and text.isdigit() else None
