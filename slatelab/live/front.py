"""The front layer before the first tier: distributes connections over the proxies in turn. It tracks which
proxies are in use and how many connections are open. It never ends an attempt by itself, and never delays
one while a connection is available."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from slatelab.plant.fleet import weighted_round_robin

from .client_pool import ConnectionPool, Exchange


@dataclass(frozen=True, slots=True)
class ProxyAddress:
    """The listening address of a proxy."""

    proxy: str
    host: str
    port: int


@dataclass(eq=False, slots=True)
class FrontRequest:
    """An attempt on its way through the front layer. `write` returns the bytes to send to a proxy;
    `on_finished` is called with the outcome."""

    write: Callable[[str], bytes]
    on_finished: Callable[[Exchange | None], None]  # None: no proxy could be reached
    proxy: str = ""
    exchange: Exchange | None = None
    refused: list[str] = field(default_factory=list)  # proxies that could not be reached
    finished: bool = False

    def cancel(self) -> None:
        self.finished = True
        if self.exchange:
            self.exchange.cancel()


class Front:
    """All proxies are in use at the start; `set_in_use` changes it. A proxy taken out of use keeps its
    connections until they close, as with real clients. At most `max_connections` are open at once; further
    attempts wait for one."""

    def __init__(
        self,
        loop: AbstractEventLoop,
        now: Callable[[], int],
        addresses: list[ProxyAddress],
        max_connections: int,
        on_unexpected_response: Callable[[Exchange, int, bytes], None],
        skew: int = 1,
    ) -> None:
        self.pools = {
            address.proxy: ConnectionPool(loop, now, (address.host, address.port), on_unexpected_response)
            for address in addresses
        }
        self.in_use = dict.fromkeys(self.pools, True)
        self.names = [addresses[index].proxy for index in weighted_round_robin(len(addresses), skew)]
        self.max_connections = max_connections
        self.waiting: deque[FrontRequest] = deque()
        self._next_index = 0

    def set_in_use(self, proxy: str, in_use: bool) -> None:
        self.in_use[proxy] = in_use

    def send(self, request: FrontRequest) -> None:
        """Sends the request to the next proxy in turn, over an idle connection or a new one."""
        proxy = self._choose(request)
        if proxy is None:
            request.finished = True
            return request.on_finished(None)
        pool = self.pools[proxy]
        if not pool.idle and sum(p.count for p in self.pools.values()) >= self.max_connections:
            proxy = next((name for name, p in self.pools.items() if p.idle), None)
            if proxy is None:
                return self.waiting.append(request)
            pool = self.pools[proxy]
        request.proxy = proxy
        request.exchange = Exchange(request.write(proxy), lambda exchange: self._ended(request, exchange))
        pool.send(request.exchange)

    def _choose(self, request: FrontRequest) -> str | None:
        for i in range(len(self.names)):
            name = self.names[(self._next_index + i) % len(self.names)]
            if name not in request.refused and (self.in_use[name] or self.pools[name].idle):
                self._next_index += i + 1
                return name
        return None

    def _ended(self, request: FrontRequest, exchange: Exchange) -> None:
        if not exchange.status and not exchange.sent_at:
            # The request was never sent: the other proxies are tried at once, so a dead proxy causes no
            # further delay.
            request.refused.append(request.proxy)
            return self.send(request)
        request.finished = True
        request.on_finished(exchange)
        self._send_next()

    def _send_next(self) -> None:
        """A connection became available: sends the request that has waited longest."""
        while self.waiting:
            request = self.waiting.popleft()
            if not request.finished:
                return self.send(request)

    def connection_freed(self) -> None:
        """Called after an attempt was cancelled and its connection closed."""
        self._send_next()

    def close(self) -> None:
        for pool in self.pools.values():
            pool.close()
