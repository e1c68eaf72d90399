"""Loopback addresses that a run chooses before the process that is to listen there has started."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


class ReservedAddress:
    """A free TCP address that the kernel gives to nobody else until it is closed: neither to a listener that asks for
    any port nor to an outgoing connection. A listener that names this address, with SO_REUSEADDR, gets it. Raises
    OSError if no port is free."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind((LOOPBACK, 0))
        except OSError:
            self._socket.close()
            raise
        self.port: int = self._socket.getsockname()[1]

    def __str__(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def __enter__(self) -> ReservedAddress:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Gives the address back. May be called more than once."""
        self._socket.close()
