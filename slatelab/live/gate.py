"""The listener of a node. It owns the door and what makes a machine vanish behind it: a queue that is kept
full. It must never look at what comes through."""

from __future__ import annotations

import socket
from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterator
from contextlib import suppress

from .addresses import listener
from .server_connection import LINGER_0, ServerConnection

TURN = 64  # connections accepted before others get their turn
BACKLOG = 4096


class Gate:
    """Open from the start; `visit` makes the protocol of each connection. Raises OSError where it cannot
    listen."""

    def __init__(
        self, loop: AbstractEventLoop, host: str, port: int, visit: Callable[[], ServerConnection]
    ) -> None:
        self._loop, self._address, self._visit = loop, (host, port), visit
        self._fillers: list[socket.socket] = []
        self._door = listener(host, port, BACKLOG)
        self._loop.add_reader(self._door, self._accept)

    def shut(self) -> None:
        """From now on connections are refused."""
        self._loop.remove_reader(self._door)
        self._door.close()
        self._unfill()

    def isolate(self) -> None:
        """No connection comes up: the kernel drops who knocks at a listener whose queue is full, and it is
        filled here with connections of our own."""
        self._loop.remove_reader(self._door)
        self._door.listen(0)
        for _ in range(2):  # Linux queues one more than the backlog says
            sock = socket.socket()
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(self._address)
            self._fillers.append(sock)

    def end_isolation(self) -> None:
        """Who got into the queue meanwhile is reset."""
        self._unfill()
        for sock in self._knocking():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
            sock.close()
        self._door.listen(BACKLOG)
        self._loop.add_reader(self._door, self._accept)

    def _unfill(self) -> None:
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()

    def _accept(self) -> None:
        for sock, _ in zip(self._knocking(), range(TURN), strict=False):
            self._loop.create_task(self._admit(sock))

    async def _admit(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._visit, sock)
        except OSError:
            sock.close()  # it has left already

    def _knocking(self) -> Iterator[socket.socket]:
        with suppress(OSError):
            while True:
                yield self._door.accept()[0]
