"""The connection balancer in front of the first tier, and the clients' connections: it spreads connections over the
proxies in rotation. It keeps track of which proxies are in use, notices with a delay that one has gone, and limits the
number of connections. It never ends an attempt on its own, and makes one wait only while no connection is available."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from slatehub.core.jobs import Answer, Job
from slatelab.plant.fleet import weighted_round_robin

from .network import OrderedChannel
from .world import ClientRequest, SimulationContext

if TYPE_CHECKING:
    from .clients import ClientAttempt
    from .proxy import Proxy
    from .proxy_supervisor import ProxySupervisor

DEATH_NOTICED_US = 1_000_000  # a dead proxy still gets new connections for this long
STOP_NOTICED_US = 300_000  # a stopping proxy still gets new connections for this long


class ClientConnection:
    """One connection of an outside client, and the responder of the job on it. `open` is the state of the client's
    side, `open_at_proxy` that of the proxy's; `unread_request`: a request that has arrived and has not been read, with
    the time at which it was written."""

    __slots__ = (
        "to_client", "to_proxy", "balancer", "open_at_proxy", "job", "unread_request", "attempt", "open", "supervisor",
        "proxy", "served", "idle_since", "expiry_scheduled",
    )  # fmt: skip

    def __init__(
        self, balancer: ConnectionBalancer, supervisor: ProxySupervisor, attempt: ClientAttempt
    ) -> None:
        self.balancer, self.supervisor = balancer, supervisor
        self.attempt: ClientAttempt | None = attempt
        self.proxy: Proxy | None = None
        client_delay = balancer.context.network.client_delay
        self.to_proxy, self.to_client = (
            OrderedChannel(balancer.context.clock, client_delay),
            OrderedChannel(balancer.context.clock, client_delay),
        )
        self.open, self.open_at_proxy, self.served, self.expiry_scheduled = True, False, False, False
        self.job: Job | None = None
        self.unread_request: tuple[ClientRequest, int] | None = None
        self.idle_since = 0

    # ------------------------------------------------------------ the proxy's side

    @property
    def idle(self) -> bool:
        """Whether the proxy may close it between two requests."""
        return self.served and self.job is None and self.unread_request is None

    def answer(self, job: Job, answer: Answer) -> None:
        assert self.proxy
        self.served = True
        self.proxy.client_listener.answer(self, answer)

    def may_begin(self, job: Job) -> bool:
        return True

    def connection_requested(self) -> None:
        proxy = self.supervisor.proxy
        if proxy is None or not proxy.client_listener.listening:
            return self.to_client.send(self.refused)
        self.proxy = proxy
        proxy.client_listener.connection_requested(self)
        self.to_client.send(self.established)

    def deliver(self, client_request: ClientRequest, sent_at: int) -> None:
        # If the proxy has already closed the connection, its close is still on the way to the client.
        if self.open_at_proxy and self.proxy:
            self.unread_request = client_request, sent_at
            self.proxy.client_listener.read(self)

    def client_disconnected(self) -> None:
        if self.proxy:
            self.proxy.client_listener.client_disconnected(self)

    # ------------------------------------------------------------ the client's side

    def established(self) -> None:
        if self.open and self.attempt:
            self._send_request(self.attempt)

    def _send_request(self, attempt: ClientAttempt) -> None:
        self.attempt = attempt
        attempt.request_written(self.supervisor.spec.name)
        self.to_proxy.send(self.deliver, attempt.client_request, self.balancer.context.clock.now)

    def reuse(self, attempt: ClientAttempt) -> None:
        """Sends a further request on this idle connection."""
        attempt.connection = self
        self._send_request(attempt)

    def refused(self) -> None:
        attempt = self.attempt
        if self.open:
            self.close()
            if attempt:
                self.balancer.connection_refused(attempt, self.supervisor)

    def response_received(self, status: int, token: str, retry_after_us: int, closing: bool) -> None:
        attempt, self.attempt = self.attempt, None
        if not self.open or attempt is None:
            return
        attempt.connection = None
        if closing:
            self.close()
        else:
            self.balancer.release(self)
        attempt.answered(status, token, retry_after_us)
        self.balancer.send_waiting()

    def closed_by_proxy(self, reason: str) -> None:
        """The proxy has closed the connection, or died."""
        attempt, served = self.attempt, self.served
        if not self.open:
            return
        self.close()
        if attempt is None:
            return self.balancer.send_waiting()
        if reason == "closed" and served and not attempt.resent:
            # The proxy closed the connection before it read the request, so the request is sent once more.
            attempt.resent = True
            self.balancer.open(attempt, self.supervisor)
        else:
            attempt.broken(reason)
            self.balancer.send_waiting()

    def close(self) -> None:
        """Closes the client's side without notice to the proxy or the attempt."""
        self.open = False
        self.attempt = None
        self.balancer.connection_closed(self)

    def give_up(self) -> None:
        if self.open:
            self.close()
            self.to_proxy.send(self.client_disconnected)


class ConnectionBalancer:
    """A proxy that is taken out of use keeps its connections until they close, as real clients keep theirs."""

    def __init__(self, context: SimulationContext, supervisors: list[ProxySupervisor]) -> None:
        self.context, self.supervisors = context, supervisors
        self.max_connections = context.scenario.clients.connections
        self.open_connections = 0
        self.in_use: dict[str, bool] = {supervisor.spec.name: False for supervisor in supervisors}
        self.idle: dict[str, list[ClientConnection]] = {
            supervisor.spec.name: [] for supervisor in supervisors
        }
        self.waiting: deque[ClientAttempt] = deque()
        self._next_position = 0
        self._rotation = [
            supervisors[index]
            for index in weighted_round_robin(len(supervisors), context.scenario.tiers[0].skew)
        ]

    # ------------------------------------------------------------ which proxies are in use

    def proxy_changed(self, supervisor: ProxySupervisor) -> None:
        """A proxy has become ready, has begun to stop, or has ended."""
        if supervisor.spec.tier:
            return
        clock, proxy = self.context.clock, supervisor.proxy
        if proxy is None:
            clock.call_at(clock.now + DEATH_NOTICED_US, self._update_in_use, supervisor)
        elif proxy.client_listener.stopping:
            clock.call_at(clock.now + STOP_NOTICED_US, self._update_in_use, supervisor)
        else:
            self.in_use[supervisor.spec.name] = True

    def _update_in_use(self, supervisor: ProxySupervisor) -> None:
        self.in_use[supervisor.spec.name] = bool(
            supervisor.proxy and not supervisor.proxy.client_listener.stopping
        )

    # ------------------------------------------------------------ attempts

    def send(self, attempt: ClientAttempt) -> None:
        """Sends an attempt to the next proxy in rotation, on an idle connection or a new one."""
        supervisor = self._choose(attempt)
        if supervisor is None:
            return attempt.no_proxy_available()
        idle = self.idle[supervisor.spec.name]
        if not idle and self.open_connections >= self.max_connections:
            idle = next((connections for connections in self.idle.values() if connections), [])
            if not idle:
                return self.waiting.append(attempt)
        if idle:
            idle.pop().reuse(attempt)
        else:
            self.open(attempt, supervisor)

    def _choose(self, attempt: ClientAttempt) -> ProxySupervisor | None:
        for i in range(len(self._rotation)):
            supervisor = self._rotation[(self._next_position + i) % len(self._rotation)]
            name = supervisor.spec.name
            if name not in attempt.refused_by and (self.in_use[name] or self.idle[name]):
                self._next_position += i + 1
                return supervisor
        return None

    def open(self, attempt: ClientAttempt, supervisor: ProxySupervisor) -> None:
        connection = attempt.connection = ClientConnection(self, supervisor, attempt)
        self.open_connections += 1
        connection.to_proxy.send(connection.connection_requested)

    def connection_refused(self, attempt: ClientAttempt, supervisor: ProxySupervisor) -> None:
        """The connection was refused: the other proxies are tried at once, so a dead proxy costs no
        more than the refused connection."""
        attempt.connection = None
        attempt.refused_by.append(supervisor.spec.name)
        self.send(attempt)

    def release(self, connection: ClientConnection) -> None:
        self.idle[connection.supervisor.spec.name].append(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        self.open_connections -= 1
        connections = self.idle[connection.supervisor.spec.name]
        if connection in connections:
            connections.remove(connection)

    def send_waiting(self) -> None:
        """A connection is available: sends the attempt that has waited longest."""
        while self.waiting:
            attempt = self.waiting.popleft()
            if not attempt.finished:
                return self.send(attempt)
