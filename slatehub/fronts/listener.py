"""Creates the listening socket of a front. Accepting connections is the front's job."""

from __future__ import annotations

from typing import Any

from gevent import socket

from ..settings.reader import Address

BACKLOG = 1024  # connections


def listen(address: Address, shared: bool = False) -> Any:
    """Returns a bound, listening socket. `shared`: other processes may listen on the same address (SO_REUSEPORT).
    Raises OSError if the address cannot be bound."""
    host, port = address
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
