"""The listener of a node. It owns the door and what makes a machine vanish behind it: a queue that is kept
full. It must never look at what comes through."""

from __future__ import annotations

import socket
from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterator
from contextlib import suppress

from .addresses import listener
from .server_connection import LINGER_0, ServerConnection

MAX_ACCEPTS_PER_TURN = 64  # connections accepted before others get their turn
BACKLOG = 4096


class NodeListener:
    """Open from the start; `visit` makes the protocol of each connection. Raises OSError where it cannot
    listen."""

    def __init__(
        self, loop: AbstractEventLoop, host: str, port: int, make_connection: Callable[[], ServerConnection]
    ) -> None:
        self._loop, self._address, self._make_connection = loop, (host, port), make_connection
        self._fillers: list[socket.socket] = []
        self._socket = listener(host, port, BACKLOG)
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """From now on connections are refused."""
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._close_fillers()

    def isolate(self) -> None:
        """No connection comes up: the kernel drops who knocks at a listener whose queue is full, and it is
        filled here with connections of our own."""
        self._loop.remove_reader(self._socket)
        self._socket.listen(0)
        for _ in range(2):  # Linux queues one more than the backlog says
            sock = socket.socket()
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(self._address)
            self._fillers.append(sock)

    def end_isolation(self) -> None:
        """Who got into the queue meanwhile is reset."""
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
            sock.close()  # it has left already

    def _queued_sockets(self) -> Iterator[socket.socket]:
        with suppress(OSError):
            while True:
                yield self._socket.accept()[0]
