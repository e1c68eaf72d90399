"""A listening socket, for every front. It must never accept on it."""

from __future__ import annotations

from typing import Any

from gevent import socket

from ..settings.reader import Address

BACKLOG = 1024


def listen(address: Address, shared: bool = False) -> Any:
    """Bound and listening. `shared`: a second process may listen there too. OSError where it cannot be had."""
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
