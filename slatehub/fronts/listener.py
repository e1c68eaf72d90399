"""Creates the listening socket of a front, and says how long what came on an accepted one has waited. Accepting
connections is the front's job."""

from __future__ import annotations

import select
import sys
from typing import Any

from gevent import socket

from ..settings.reader import Address

BACKLOG = 1024  # connections
LAST_DATA_RECEIVED_OFFSET = (
    52  # of tcpi_last_data_recv in struct tcp_info (linux/tcp.h): milliseconds, 4 bytes
)


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


def since_last_data_us(sock: Any) -> int:
    """How long ago the system received the last data of a TCP connection, or the connection itself if there was none,
    in microseconds; 0 if that is not known, as of a connection that is broken."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED_OFFSET + 4)
    except OSError:
        return 0
    return 1000 * int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:], sys.byteorder)


def has_input(sock: Any) -> bool:
    """Whether a socket has data or an end of file to receive; of a listener, whether a connection can be accepted."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
