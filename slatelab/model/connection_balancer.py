"""The front layer before the first tier and the outside callers' connections: hands out connections to the
proxies in turn. It owns which proxies are in use, when it notices that one has gone, and how many connections
there are. It must never end a try of its own accord, and never hold one back while a connection may be
had."""

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

DEATH_NOTICED_US = 1_000_000  # a proxy that has died is handed out connections for so long
STOP_NOTICED_US = 300_000  # the same of one that has been told to stop


class ClientConnection:
    """One connection of an outside caller, and the screen of the job on it. `open` is the caller's side,
    `here` the proxy's; `letter`: a request that has come and not been read, with the time it was written."""

    __slots__ = (
        "back", "forth", "front", "here", "job", "letter", "one", "open", "supervisor", "proxy", "served", "since",
        "waking",
    )  # fmt: skip

    def __init__(self, front: ConnectionBalancer, post: ProxySupervisor, one: ClientAttempt) -> None:
        self.front, self.supervisor = front, post
        self.one: ClientAttempt | None = one
        self.proxy: Proxy | None = None
        far = front.context.network.far
        self.forth, self.back = (
            OrderedChannel(front.context.clock, far),
            OrderedChannel(front.context.clock, far),
        )
        self.open, self.here, self.served, self.waking = True, False, False, False
        self.job: Job | None = None
        self.letter: tuple[ClientRequest, int] | None = None
        self.since = 0

    # ------------------------------------------------------------ the proxy's side

    @property
    def idle(self) -> bool:
        """Whether the proxy may close it between two requests."""
        return self.served and self.job is None and self.letter is None

    def answer(self, job: Job, answer: Answer) -> None:
        assert self.proxy
        self.served = True
        self.proxy.client_listener.answer(self, answer)

    def knock(self) -> None:
        proxy = self.supervisor.proxy
        if proxy is None or not proxy.client_listener.listening:
            return self.back.send(self.refused)
        self.proxy = proxy
        proxy.client_listener.knock(self)
        self.back.send(self.up)

    def deliver(self, ask: ClientRequest, sent: int) -> None:
        if self.here and self.proxy:  # else its end is on the way back
            self.letter = ask, sent
            self.proxy.client_listener.read(self)

    def left(self) -> None:
        if self.proxy:
            self.proxy.client_listener.left(self)

    # ------------------------------------------------------------ the caller's side

    def up(self) -> None:
        if self.open and self.one:
            self._carry(self.one)

    def _carry(self, one: ClientAttempt) -> None:
        self.one = one
        one.asked(self.supervisor.spec.name)
        self.forth.send(self.deliver, one.ask, self.front.context.clock.now)

    def use(self, one: ClientAttempt) -> None:
        """For a further request, on an idle connection."""
        one.connection = self
        self._carry(one)

    def refused(self) -> None:
        one = self.one
        if self.open:
            self.shut()
            if one:
                self.front.unheard(one, self.supervisor)

    def heard(self, status: int, token: str, retry_after_us: int, last: bool) -> None:
        one, self.one = self.one, None
        if not self.open or one is None:
            return
        one.connection = None
        if last:
            self.shut()
        else:
            self.front.rest(self)
        one.answered(status, token, retry_after_us)
        self.front.freed()

    def ended(self, why: str) -> None:
        """The proxy has closed it, or died."""
        one, served = self.one, self.served
        if not self.open:
            return
        self.shut()
        if one is None:
            return self.front.freed()
        if why == "closed" and served and not one.resent:
            # The closing crossed a request that the proxy has not read: it goes out once more.
            one.resent = True
            self.front.open(one, self.supervisor)
        else:
            one.broken(why)
            self.front.freed()

    def shut(self) -> None:
        """The caller's side is closed; nobody is told."""
        self.open = False
        self.one = None
        self.front.gone(self)

    def give_up(self) -> None:
        if self.open:
            self.shut()
            self.forth.send(self.left)


class ConnectionBalancer:
    """A proxy that is taken out of use keeps the connections it has until they close, as clients do."""

    def __init__(self, world: SimulationContext, posts: list[ProxySupervisor]) -> None:
        self.context, self.supervisors = world, posts
        self.most = world.scenario.clients.connections
        self.count = 0
        self.used: dict[str, bool] = {post.spec.name: False for post in posts}
        self.idle: dict[str, list[ClientConnection]] = {post.spec.name: [] for post in posts}
        self.waiting: deque[ClientAttempt] = deque()
        self._turn = 0
        self._turns = [
            posts[place] for place in weighted_round_robin(len(posts), world.scenario.tiers[0].skew)
        ]

    # ------------------------------------------------------------ which proxies are in use

    def changes(self, post: ProxySupervisor) -> None:
        """A proxy has answered ready, has been told to stop, or has ended."""
        if post.spec.tier:
            return
        day, proxy = self.context.clock, post.proxy
        if proxy is None:
            day.call_at(day.now + DEATH_NOTICED_US, self._look, post)
        elif proxy.client_listener.stopping:
            day.call_at(day.now + STOP_NOTICED_US, self._look, post)
        else:
            self.used[post.spec.name] = True

    def _look(self, post: ProxySupervisor) -> None:
        self.used[post.spec.name] = bool(post.proxy and not post.proxy.client_listener.stopping)

    # ------------------------------------------------------------ tries

    def send(self, one: ClientAttempt) -> None:
        """To the next proxy in turn, over an idle connection or a new one."""
        post = self._choose(one)
        if post is None:
            return one.nobody()
        idle = self.idle[post.spec.name]
        if not idle and self.count >= self.most:
            idle = next((lines for lines in self.idle.values() if lines), [])
            if not idle:
                return self.waiting.append(one)
        if idle:
            idle.pop().use(one)
        else:
            self.open(one, post)

    def _choose(self, one: ClientAttempt) -> ProxySupervisor | None:
        for i in range(len(self._turns)):
            post = self._turns[(self._turn + i) % len(self._turns)]
            name = post.spec.name
            if name not in one.unheard_by and (self.used[name] or self.idle[name]):
                self._turn += i + 1
                return post
        return None

    def open(self, one: ClientAttempt, post: ProxySupervisor) -> None:
        line = one.connection = ClientConnection(self, post, one)
        self.count += 1
        line.forth.send(line.knock)

    def unheard(self, one: ClientAttempt, post: ProxySupervisor) -> None:
        """Nobody took the connection: the front tries the others at once, so a dead proxy costs no more than
        that."""
        one.connection = None
        one.unheard_by.append(post.spec.name)
        self.send(one)

    def rest(self, line: ClientConnection) -> None:
        self.idle[line.supervisor.spec.name].append(line)

    def gone(self, line: ClientConnection) -> None:
        self.count -= 1
        lines = self.idle[line.supervisor.spec.name]
        if line in lines:
            lines.remove(line)

    def freed(self) -> None:
        """A connection is free: the try that has waited longest goes on."""
        while self.waiting:
            one = self.waiting.popleft()
            if not one.over:
                return self.send(one)
