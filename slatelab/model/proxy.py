"""One life of a proxy: the real desk with its stages and the real decision module, driven on virtual time as
`slatehub.drivers.dispatcher` drives it on the machine's. It owns the desk's alarm and its turns. It must never act
on its own: what it does, the desk wanted."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Protocol

from paddlestep.interface import Entry, ListKind, Peers, Status
from slatehub.core.commands import CancelAttempt, Command, DeliverAnswer, LogLine, StartAttempt, WatchNodes
from slatehub.core.dispatcher import Dispatcher
from slatehub.core.jobs import Attempt, Job, Responder
from slatehub.core.recovery import RecoveryConfig
from slatehub.decisions.resource_budget import split_budget
from slatehub.decisions.stall import StallDetector
from slatehub.fronts.validation import LocalResponse, ReceivedRequest, validate_request
from slatelab.records import Logged, order_id
from slatelab.scenario import Scenario

from .client_listener import ClientListener
from .direct import NO_LIMIT, DirectDispatcher
from .discovery_client import DiscoveryClient
from .node_connections import NodeConnectionPool
from .peer_network import PeerEndpoint
from .suspension import Suspension, deferred_while_suspended
from .virtual_clock import ScheduledCall
from .world import EPOCH_UNIX_US, ClientRequest, SimulationContext

if TYPE_CHECKING:
    from .downstream_calls import DownstreamExchange
    from .proxy_supervisor import ProxySupervisor

DEADLINE_MARGIN_US = (
    5_000  # an answer must have reached the caller by its time (slatehub.fronts.http1.server)
)
MOST_NOTES = 20


def recovery(scenario: Scenario) -> RecoveryConfig:
    """What the operator's file would say."""
    storms = scenario.proxy.storms
    return RecoveryConfig(storms.watch, storms.advice)


class Caller(Responder, Protocol):
    """Where a job came from, and the job while it is in hand."""

    job: Job | None


class Proxy:
    """`over`: the process has ended; whatever still comes is for nobody. `outs`: calls of its node in
    hand."""

    def __init__(self, world: SimulationContext, post: ProxySupervisor, seed: int) -> None:
        self.context, self.clock, self.supervisor, self.spec, self.name = (
            world,
            world.clock,
            post,
            post.spec,
            post.spec.name,
        )
        self.config, self.still = post.config, Suspension()
        self.stall_detector = StallDetector(world.clock.now + EPOCH_UNIX_US)
        callers, nodes, _ = split_budget(self.config.sockets, self.config.memory_mb)
        direct = world.scenario.proxy.kind == "direct"
        self.dispatcher: Dispatcher | DirectDispatcher = (
            DirectDispatcher(seed)
            if direct
            else Dispatcher(self.config.settings, seed, self.config.max_open, recovery(world.scenario))
        )
        self.node_pool = NodeConnectionPool(self, NO_LIMIT if direct else nodes)
        self.client_listener = ClientListener(self, NO_LIMIT if direct else callers)
        self.discovery_client = DiscoveryClient(self, post.entries)
        self.outs: dict[DownstreamExchange, None] = {}
        self.end_of_link: PeerEndpoint | None = None
        self.over = False
        self._alarm: ScheduledCall | None = None
        self._rung = False

    def join(self, rng: Random) -> None:
        """From now on it knows the other proxies of its tier, where the scenario has them do so."""
        if self.context.scenario.fleet.peers and isinstance(self.dispatcher, Dispatcher):
            desk = self.dispatcher
            self.end_of_link = PeerEndpoint(
                self.context.peer_network, self.spec, rng, EPOCH_UNIX_US, self.still
            )
            desk.batch_observer = self.end_of_link.open(lambda: desk.balancer, self._peers)

    def _peers(self, now: int, news: Peers, until: int) -> None:
        if not self.over and isinstance(self.dispatcher, Dispatcher):
            self.dispatcher.update_peers(now, news, until)
            self._execute_commands()

    # ------------------------------------------------------------ events in

    def take(self, ask: ClientRequest, sent: int, screen: Caller) -> int:
        """A whole request, written at `sent`. 0: it has become a job; else the HTTP status of what is wrong
        with it."""
        now = self.clock.now + EPOCH_UNIX_US
        found = validate_request(self._request(ask, sent, now), self.config)
        if isinstance(found, LocalResponse):
            return found.status
        cls, account, deadline = found
        self.stall_detector.last_heartbeat_at = now  # on virtual time a process that runs is never late
        deadline -= self.stall_detector.max_unread_us(now)
        if self.client_listener.shutdown:
            deadline = self.client_listener.shutdown.clamp_deadline(deadline - EPOCH_UNIX_US) + EPOCH_UNIX_US
        job = Job(
            ask.request, cls, account, deadline - DEADLINE_MARGIN_US, ask, screen, ask.retried, self._key(ask)
        )
        screen.job = job  # before the desk, which may answer it at once
        if not self.dispatcher.submit(now, job):
            return 409
        self._execute_commands()
        return 0

    def _key(self, ask: ClientRequest) -> int:
        """As the front would hash it: by class, account and what is asked for."""
        alike = self.context.scenario.clients.alike
        return 1 + ask.cls + 1000 * (ask.tenant + 1000 * (0 if alike else 1 + int(order_id(ask.request)[1:])))

    def _request(self, ask: ClientRequest, sent: int, now: int) -> ReceivedRequest:
        name = self.context.classes[ask.cls]
        headers = {
            "x-priority-class": name,
            "x-request-id": ask.request,
            "x-tenant-id": self.context.tenants[ask.tenant],
        }
        headers["x-timeout"] = f"{max(1, ask.until - sent)}u"
        return ReceivedRequest(self.supervisor.methods[ask.cls], "/" + name, headers, b"", now, True)

    @deferred_while_suspended
    def caller_disconnected(self, job: Job) -> None:
        if not self.over:
            self.dispatcher.caller_disconnected(self.clock.now + EPOCH_UNIX_US, job)
            self._execute_commands()

    @deferred_while_suspended
    def attempt_ended(self, attempt: Attempt, status: Status, report: tuple[float, ...], token: str) -> None:
        self.dispatcher.attempt_ended(self.clock.now + EPOCH_UNIX_US, attempt, status, report, token)
        self._execute_commands()

    @deferred_while_suspended
    def update_nodes(self, kind: ListKind, revision: int, entries: tuple[Entry, ...]) -> None:
        self.dispatcher.update_nodes(self.clock.now + EPOCH_UNIX_US, kind, revision, entries)
        self._execute_commands()

    @deferred_while_suspended
    def apply_settings(self) -> None:
        """SIGHUP: the settings are read anew, and are the same."""
        self.dispatcher.apply_settings(
            self.config.settings, self.config.max_open, recovery(self.context.scenario)
        )
        self._execute_commands()

    # ------------------------------------------------------------ the module's turns, and what the desk wants

    @deferred_while_suspended
    def _turn(self) -> None:
        self._rung = False
        if not self.over:
            self.dispatcher.process_batch(self.clock.now + EPOCH_UNIX_US)
            self._execute_commands()

    @deferred_while_suspended
    def _ring(self) -> None:
        self._alarm = None
        self.dispatcher.run_due_timers(self.clock.now + EPOCH_UNIX_US)
        self._execute_commands()

    def _execute_commands(self) -> None:
        """Everything that is wanted done; then the next turn and the alarm. Acts may call back in here."""
        desk = self.dispatcher
        while acts := desk.take_commands():
            for act in acts:
                if not self.over:  # else the answer before was the last one owed after SIGTERM
                    self._do(act)
        if desk.pending_events and not self._rung:
            self._rung = True
            self.clock.call_at_end_of_instant(self._turn)
        due = desk.due()
        if (
            due is not None
            and (self._alarm is None or due - EPOCH_UNIX_US < self._alarm.due)
            and not self.over
        ):
            if self._alarm:
                self._alarm.cancel()
            self._alarm = self.clock.call_at(due - EPOCH_UNIX_US, self._ring)

    def _do(self, act: Command) -> None:
        if isinstance(act, DeliverAnswer):
            act.job.responder.answer(act.job, act.answer)
        elif isinstance(act, StartAttempt):
            self.node_pool.send(act.attempt)
        elif isinstance(act, CancelAttempt):
            self.node_pool.cancel(act.attempt)
        elif isinstance(act, WatchNodes):
            self.discovery_client.watch(act.enabled)
        elif isinstance(act, LogLine):
            self._say(act)

    def _say(self, act: LogLine) -> None:
        node = self.supervisor.entries.numbers.node_ids.get(act.endpoint, "")
        fields = {"node": node} if node else {}
        self.context.say(Logged(self.clock.now, self.name, act.level, act.topic, act.text, fields))
        if act.level == "error" and len(self.context.notes) < MOST_NOTES:
            self.context.notes.append(f"{self.name}: {act.text}")

    # ------------------------------------------------------------ the end

    def freeze(self, begins: bool) -> None:
        """SIGSTOP or SIGCONT."""
        now = self.clock.now + EPOCH_UNIX_US
        if begins:
            self.stall_detector.last_heartbeat_at = now
            self.still.stop()
        else:
            self.stall_detector.heartbeat(now)
            self.still.go_on()

    @deferred_while_suspended
    def stop(self) -> None:
        """SIGTERM. The desk's clock is not the day's."""
        told = self.dispatcher.stop(self.clock.now + EPOCH_UNIX_US)
        self._execute_commands()
        self.client_listener.stop(told.shifted(-EPOCH_UNIX_US))

    def exited(self) -> None:
        """The planned end is over."""
        if not self.over:
            if self.end_of_link:
                self.end_of_link.close(leave=True)
            self.end()
            self.supervisor.ended("exited")

    def end(self) -> None:
        """The process is gone, with all that it held."""
        self.over = True
        self.still.over()
        if self.end_of_link:
            self.end_of_link.close(leave=False)
        if self._alarm:
            self._alarm.cancel()
        self.client_listener.die()
        for out in list(self.outs):
            out.broken()
        self.outs.clear()
        self.node_pool.close()
        self.discovery_client.close()
