"""Listening addresses of a run: one second octet of 127.x.y.z that no other run on this machine uses, and one
port shared by all addresses. This module only gives out addresses within 127.0.0.0/8."""

from __future__ import annotations

import os
import socket

from slatelab.engine import InvalidRunError

SECOND_OCTETS = range(64, 192)
PORTS = range(10_240, 32_000)  # below the kernel's range of ephemeral ports
# The lowest third octet of each kind of address.
FIRST_NODE_OCTET, FIRST_PROXY_OCTET, FIRST_DISCOVERY_OCTET = 1, 128, 192
HOSTS_PER_OCTET = 250


class Addresses:
    """Reserves a second octet until it is closed, by binding an abstract socket named after it. The kernel
    releases that name when the process ends, however it ends. Raises InvalidRunError if no octet or port
    is free."""

    def __init__(self) -> None:
        self._lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.second_octet = self._reserve_second_octet()
        self.port = self._free_port()

    def _reserve_second_octet(self) -> int:
        start = os.getpid()
        for i in range(len(SECOND_OCTETS)):
            net = SECOND_OCTETS[(start + i) % len(SECOND_OCTETS)]
            try:
                self._lock.bind(f"\0slatelab-net-{net}")
                return net
            except OSError:
                continue
        raise InvalidRunError("no free net in 127.64.0.0 to 127.191.255.255: too many runs side by side")

    def _free_port(self) -> int:
        for i in range(200):
            port = PORTS[(os.getpid() * 37 + i * 101) % len(PORTS)]
            if all(
                _is_free(f"127.{self.second_octet}.{third}.1", port)
                for third in (FIRST_NODE_OCTET, FIRST_PROXY_OCTET, FIRST_DISCOVERY_OCTET)
            ):
                return port
        raise InvalidRunError(f"no free port on 127.{self.second_octet}.0.0/16")

    def close(self) -> None:
        self._lock.close()

    def node(self, n: int) -> str:
        return self._host(FIRST_NODE_OCTET, FIRST_PROXY_OCTET, n)

    def proxy(self, n: int) -> str:
        return self._host(FIRST_PROXY_OCTET, FIRST_DISCOVERY_OCTET, n)

    def discovery(self, n: int) -> str:
        """The discovery address of proxy `n`. Each proxy has its own, so that discovery can identify the
        proxy that calls it."""
        return self._host(FIRST_DISCOVERY_OCTET, 255, n)

    def _host(self, first: int, end: int, n: int) -> str:
        third = first + n // HOSTS_PER_OCTET
        if third >= end:
            raise InvalidRunError(
                f"more than {(end - first) * HOSTS_PER_OCTET} of one sort: too many for a live run"
            )
        return f"127.{self.second_octet}.{third}.{n % HOSTS_PER_OCTET + 1}"


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True


def listener(host: str, port: int, backlog: int = 4096) -> socket.socket:
    """Returns a non-blocking listening socket. Raises OSError."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock
