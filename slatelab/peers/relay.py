"""The network between real proxies: one UDP socket per proxy at the address that it advertises, and a thread
that forwards datagrams to the proxy's listening address as PeerNetwork decides. Datagrams are changed only
as PeerNetwork does, and sent only to the given loopback addresses."""

from __future__ import annotations

import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Sequence
from heapq import heappop, heappush

from .network import PeerNetwork

Address = tuple[str, int]


def _bound_socket() -> socket.socket:
    """A UDP socket bound to a free loopback address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    return sock


def free_udp_addresses(names: Sequence[str]) -> dict[str, Address]:
    """Finds a free UDP loopback address for each name. All are held until the last is drawn, so that no two
    are the same."""
    drawn = {name: _bound_socket() for name in names}
    found: dict[str, Address] = {name: sock.getsockname() for name, sock in drawn.items()}
    for sock in drawn.values():
        sock.close()
    return found


class Relay:
    """`net` may be changed while the relay runs, under `lock`. `carried`: datagrams by sender and receiver."""

    def __init__(self, net: PeerNetwork, names: list[str]) -> None:
        self.net, self.lock = net, threading.Lock()
        self.carried: Counter[tuple[str, str]] = Counter()
        self.socks = {name: _bound_socket() for name in names}
        self.listen_addresses = free_udp_addresses(names)
        self.name_by_source = {address: name for name, address in self.listen_addresses.items()}
        self._delayed: list[tuple[float, int, str, str, bytes]] = []
        self._sequence = 0
        self._running = True
        self._selector = selectors.DefaultSelector()
        for name, sock in self.socks.items():
            sock.setblocking(False)
            self._selector.register(sock, selectors.EVENT_READ, name)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def advertised_address(self, name: str) -> Address:
        host, port = self.socks[name].getsockname()
        return host, port

    def _run(self) -> None:
        while self._running:
            wait = max(0.0, self._delayed[0][0] - time.monotonic()) if self._delayed else 0.05
            for key, _ in self._selector.select(min(wait, 0.05)):
                self._receive(key.data)
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, sender, receiver, data = heappop(self._delayed)
                self._forward(sender, receiver, data)

    def _receive(self, receiver: str) -> None:
        try:
            data, source = self.socks[receiver].recvfrom(65536)
        except OSError:
            return
        sender = self.name_by_source.get(source)
        if sender is None:
            return
        with self.lock:
            copies = self.net.deliveries(sender, receiver, data)
        for wait, copy in copies:
            self._sequence += 1
            heappush(self._delayed, (time.monotonic() + wait / 1e6, self._sequence, sender, receiver, copy))

    def _forward(self, sender: str, receiver: str, data: bytes) -> None:
        self.carried[sender, receiver] += 1
        try:
            self.socks[sender].sendto(data, self.listen_addresses[receiver])
        except OSError:
            pass  # no process listens there at the moment

    def close(self) -> None:
        self._running = False
        self._thread.join()
        for sock in self.socks.values():
            sock.close()
        self._selector.close()
