"""A proxy's side of its client connections: the HTTP/1 server of the proxy without sockets. The constants below
mirror `slatehub.fronts.http1.server`. This module admits connections, closes idle ones to make room, and runs the
planned shutdown. It doesn't build answers, and no client waits for another one."""

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

KEEP_ALIVE_US = 10_000_000  # how long a connection may stay idle between two requests


class ClientListener:
    """`connections`: the admitted connections, the longest idle first; `accept_queue`: connections that wait in the
    kernel's accept queue."""

    def __init__(self, proxy: Proxy, max_connections: int) -> None:
        self.proxy, self.clock, self.max_connections = proxy, proxy.context.clock, max_connections
        self.connections: dict[ClientConnection, None] = {}
        self.accept_queue: deque[ClientConnection] = deque()
        self.listening = True
        self.shutdown: ShutdownSchedule | None = None

    @property
    def suspension(self) -> Suspension:
        return self.proxy.suspension

    @property
    def stopping(self) -> bool:
        return self.shutdown is not None

    @property
    def disconnecting(self) -> bool:
        return self.shutdown is not None and self.shutdown.disconnecting(self.clock.now)

    # ------------------------------------------------------------ accepting connections and requests

    def connection_requested(self, connection: ClientConnection) -> None:
        """A connection is established, whether or not there is room: the kernel does that without the process."""
        connection.open_at_proxy = True
        self.accept_queue.append(connection)
        self._admit_when_running()

    @deferred_while_suspended
    def _admit_when_running(self) -> None:
        self._admit()

    def _admit(self) -> None:
        while self.accept_queue:
            if len(self.connections) >= self.max_connections:
                if not self._make_room():
                    return
                continue  # the removal has admitted a connection by itself
            connection = self.accept_queue.popleft()
            if connection.open_at_proxy:
                self.connections[connection] = None
                self._read(connection)

    def _make_room(self) -> bool:
        idle_connection = next((connection for connection in self.connections if connection.idle), None)
        if idle_connection:
            self._close(idle_connection)
        return idle_connection is not None

    @deferred_while_suspended
    def read(self, connection: ClientConnection) -> None:
        """A whole request has arrived."""
        if connection in self.connections:
            self._read(connection)

    def _read(self, connection: ClientConnection) -> None:
        if connection.unread_request:
            (client_request, sent_at), connection.unread_request = connection.unread_request, None
            if status := self.proxy.receive_request(client_request, sent_at, connection):
                self._send_response(connection, status, "", 0)

    # ------------------------------------------------------------ responses and closing

    def answer(self, connection: ClientConnection, answer: Answer) -> None:
        self._send_response(connection, *http_response(answer))

    def _send_response(
        self, connection: ClientConnection, status: int, token: str, retry_after_us: int
    ) -> None:
        connection.job = None
        closing = self.disconnecting
        connection.to_client.send(connection.response_received, status, token, retry_after_us, closing)
        if closing:
            return self._remove(connection)
        del self.connections[connection]
        self.connections[connection] = None
        connection.idle_since = self.clock.now
        self._schedule_expiry(connection)
        self._admit()

    @deferred_while_suspended
    def client_disconnected(self, connection: ClientConnection) -> None:
        """The client has closed the connection."""
        if connection.open_at_proxy:
            job, connection.job = connection.job, None
            self._remove(connection)
            if job:
                self.proxy.caller_disconnected(job)

    def _close(self, connection: ClientConnection) -> None:
        connection.to_client.send(connection.closed_by_proxy, "closed")
        self._remove(connection)

    def _remove(self, connection: ClientConnection) -> None:
        connection.open_at_proxy = False
        self.connections.pop(connection, None)
        self._admit()
        self.check_finished()

    def _schedule_expiry(self, connection: ClientConnection) -> None:
        if not connection.expiry_scheduled:
            connection.expiry_scheduled = True
            self.clock.call_at(connection.idle_since + KEEP_ALIVE_US, self._expire, connection)

    @deferred_while_suspended
    def _expire(self, connection: ClientConnection) -> None:
        connection.expiry_scheduled = False
        if connection.open_at_proxy and connection.idle:
            if self.clock.now >= connection.idle_since + KEEP_ALIVE_US:
                self._close(connection)
            else:
                self._schedule_expiry(connection)

    # ------------------------------------------------------------ shutdown

    def stop(self, shutdown: ShutdownSchedule) -> None:
        """Starts a planned shutdown: new requests are served until `disconnect_at`, then idle connections are closed.
        It is finished when every open job has been answered."""
        self.shutdown = shutdown
        self.clock.call_at(shutdown.disconnect_at, self._disconnect_idle)
        self.clock.call_at(shutdown.answer_by, self.check_finished)

    @deferred_while_suspended
    def _disconnect_idle(self) -> None:
        self.listening = False
        for connection in [connection for connection in self.connections if connection.idle]:
            self._close(connection)

    @deferred_while_suspended
    def check_finished(self) -> None:
        """Ends the process if the planned shutdown is complete."""
        if (
            self.shutdown
            and self.shutdown.finished(self.clock.now)
            and not (self.connections or self.accept_queue or self.proxy.downstream_exchanges)
        ):
            self.proxy.exited()

    def reset_all(self) -> None:
        """The process has ended: every open connection is reset."""
        self.listening = False
        for connection in [*self.connections, *self.accept_queue]:
            if connection.open_at_proxy:
                connection.open_at_proxy = False
                connection.to_client.send(connection.closed_by_proxy, "reset")
        self.connections.clear()
        self.accept_queue.clear()
