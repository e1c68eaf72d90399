"""A proxy's side of its callers' connections: the program's order screens without sockets
(`slatehub.fronts.http1.server`, of which the constants below are). It owns who is let in, who makes room,
and the planned stop. It must never word an answer, nor hold up one caller for another."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from slatehub.core.jobs import Answer
from slatehub.decisions.shutdown import ShutdownSchedule

from .http_response import http_response
from .suspension import Suspension, deferred_while_suspended

if TYPE_CHECKING:
    from .connection_balancer import ClientConnection
    from .proxy import Proxy

KEEP_ALIVE_US = 10_000_000  # between requests


class ClientListener:
    """`connections`: who has been let in, the one that rested longest first; `accept_queue`: who waits in the kernel's
    queue."""

    def __init__(self, proxy: Proxy, most: int) -> None:
        self.proxy, self.clock, self.max_connections = proxy, proxy.context.clock, most
        self.connections: dict[ClientConnection, None] = {}
        self.accept_queue: deque[ClientConnection] = deque()
        self.listening = True
        self.shutdown: ShutdownSchedule | None = None

    @property
    def still(self) -> Suspension:
        return self.proxy.still

    @property
    def stopping(self) -> bool:
        return self.shutdown is not None

    @property
    def parting(self) -> bool:
        return self.shutdown is not None and self.shutdown.disconnecting(self.clock.now)

    # ------------------------------------------------------------ in

    def knock(self, line: ClientConnection) -> None:
        """A connection has come up, whether or not there is room for it: that is the kernel's, and asks no process."""
        line.here = True
        self.accept_queue.append(line)
        self._look_out()

    @deferred_while_suspended
    def _look_out(self) -> None:
        self._admit()

    def _admit(self) -> None:
        while self.accept_queue and (len(self.connections) < self.max_connections or self._make_room()):
            line = self.accept_queue.popleft()
            if line.here:
                self.connections[line] = None
                self._read(line)

    def _make_room(self) -> bool:
        spare = next((line for line in self.connections if line.idle), None)
        if spare:
            self._shut(spare)
        return spare is not None

    @deferred_while_suspended
    def read(self, line: ClientConnection) -> None:
        """A whole request has come."""
        if line in self.connections:
            self._read(line)

    def _read(self, line: ClientConnection) -> None:
        if line.letter:
            (ask, sent), line.letter = line.letter, None
            if status := self.proxy.take(ask, sent, line):
                self._say(line, status, "", 0)

    # ------------------------------------------------------------ out

    def answer(self, line: ClientConnection, answer: Answer) -> None:
        self._say(line, *http_response(answer))

    def _say(self, line: ClientConnection, status: int, token: str, retry_after_us: int) -> None:
        line.job = None
        last = self.parting
        line.back.send(line.heard, status, token, retry_after_us, last)
        if last:
            return self._leave(line)
        del self.connections[line]
        self.connections[line] = None
        line.since = self.clock.now
        self._watch(line)
        self._admit()

    @deferred_while_suspended
    def left(self, line: ClientConnection) -> None:
        """The caller has closed it."""
        if line.here:
            job, line.job = line.job, None
            self._leave(line)
            if job:
                self.proxy.caller_disconnected(job)

    def _shut(self, line: ClientConnection) -> None:
        line.back.send(line.ended, "closed")
        self._leave(line)

    def _leave(self, line: ClientConnection) -> None:
        line.here = False
        self.connections.pop(line, None)
        self._admit()
        self.look()

    def _watch(self, line: ClientConnection) -> None:
        if not line.waking:
            line.waking = True
            self.clock.call_at(line.since + KEEP_ALIVE_US, self._expire, line)

    @deferred_while_suspended
    def _expire(self, line: ClientConnection) -> None:
        line.waking = False
        if line.here and line.idle:
            if self.clock.now >= line.since + KEEP_ALIVE_US:
                self._shut(line)
            else:
                self._watch(line)

    # ------------------------------------------------------------ the end

    def stop(self, end: ShutdownSchedule) -> None:
        """A planned end: goes on serving whoever comes, then closes who is idle, and is over when every job in hand
        has been answered."""
        self.shutdown = end
        self.clock.call_at(end.disconnect_at, self._part)
        self.clock.call_at(end.answer_by, self.look)

    @deferred_while_suspended
    def _part(self) -> None:
        self.listening = False
        for line in [line for line in self.connections if line.idle]:
            self._shut(line)

    @deferred_while_suspended
    def look(self) -> None:
        """Whether the planned end has come."""
        if (
            self.shutdown
            and self.shutdown.finished(self.clock.now)
            and not (self.connections or self.accept_queue or self.proxy.outs)
        ):
            self.proxy.exited()

    def die(self) -> None:
        """The process has ended: whoever is connected hears a reset."""
        self.listening = False
        for line in [*self.connections, *self.accept_queue]:
            if line.here:
                line.here = False
                line.back.send(line.ended, "reset")
        self.connections.clear()
        self.accept_queue.clear()
