"""The listening socket of a node, and the emulation of an unreachable machine by keeping the accept queue
full. The content of connections is not examined here."""

from __future__ import annotations

import socket
from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterator
from contextlib import suppress

from .addresses import listener
from .server_connection import LINGER_0, ServerConnection

MAX_ACCEPTS_PER_TURN = 64  # connections accepted before the loop handles other events
BACKLOG = 4096


class NodeListener:
    """Listens from the start; `make_connection` creates the protocol of each connection. Raises OSError if it
    cannot listen."""

    def __init__(
        self, loop: AbstractEventLoop, host: str, port: int, make_connection: Callable[[], ServerConnection]
    ) -> None:
        self._loop, self._address, self._make_connection = loop, (host, port), make_connection
        self._fillers: list[socket.socket] = []
        self._socket = listener(host, port, BACKLOG)
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Closes the listener: new connections are refused."""
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._close_fillers()

    def isolate(self) -> None:
        """Prevents new connections. The kernel drops SYNs to a listener whose accept queue is full, so the
        queue is filled with connections of our own."""
        self._loop.remove_reader(self._socket)
        self._socket.listen(0)
        for _ in range(2):  # Linux queues one connection more than the backlog
            sock = socket.socket()
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(self._address)
            self._fillers.append(sock)

    def end_isolation(self) -> None:
        """Accepts connections again. Those that entered the queue in the meantime are reset."""
        self._close_fillers()
        for sock in self._queued_sockets():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
            sock.close()
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket, self._accept)

    def _close_fillers(self) -> None:
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()

    def _accept(self) -> None:
        for sock, _ in zip(self._queued_sockets(), range(MAX_ACCEPTS_PER_TURN), strict=False):
            self._loop.create_task(self._start_connection(sock))

    async def _start_connection(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_connection, sock)
        except OSError:
            sock.close()  # the peer has already disconnected

    def _queued_sockets(self) -> Iterator[socket.socket]:
        with suppress(OSError):
            while True:
                yield self._socket.accept()[0]
