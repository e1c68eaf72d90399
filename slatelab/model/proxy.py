"""One life of a proxy: the real dispatcher with its stages and the real decision module, driven on virtual time as
`slatehub.drivers.dispatcher` drives it on the machine's clock. This module schedules the dispatcher's timers and
batches, and carries out the dispatcher's commands. It takes no action of its own."""

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

# Time for an answer to reach the client before its deadline; mirrors slatehub.fronts.http1.caller_connection.
DEADLINE_MARGIN_US = 5_000
MAX_NOTES = 20


def recovery(scenario: Scenario) -> RecoveryConfig:
    """The recovery settings as the operator's configuration file would give them."""
    storms = scenario.proxy.storms
    return RecoveryConfig(storms.watch, storms.advice)


class Caller(Responder, Protocol):
    """The source of a job, and the job itself while it is open."""

    job: Job | None


class Proxy:
    """`has_ended`: the process has ended, and whatever still arrives is ignored. `downstream_exchanges`: the open calls
    of its node."""

    def __init__(self, context: SimulationContext, supervisor: ProxySupervisor, seed: int) -> None:
        self.context, self.clock, self.supervisor, self.spec, self.name = (
            context,
            context.clock,
            supervisor,
            supervisor.spec,
            supervisor.spec.name,
        )
        self.config, self.suspension = supervisor.config, Suspension()
        self.stall_detector = StallDetector(context.clock.now + EPOCH_UNIX_US)
        callers, nodes, _ = split_budget(self.config.sockets, self.config.memory_mb)
        direct = context.scenario.proxy.kind == "direct"
        self.dispatcher: Dispatcher | DirectDispatcher = (
            DirectDispatcher(seed)
            if direct
            else Dispatcher(self.config.settings, seed, self.config.max_open, recovery(context.scenario))
        )
        self.node_pool = NodeConnectionPool(self, NO_LIMIT if direct else nodes)
        self.client_listener = ClientListener(self, NO_LIMIT if direct else callers)
        self.discovery_client = DiscoveryClient(self, supervisor.entries)
        self.downstream_exchanges: dict[DownstreamExchange, None] = {}
        self.peer_endpoint: PeerEndpoint | None = None
        self.has_ended = False
        self._timer: ScheduledCall | None = None
        self._batch_scheduled = False

    def join_peers(self, rng: Random) -> None:
        """Joins the peer network of the tier, if the scenario has one."""
        if self.context.scenario.fleet.peers and isinstance(self.dispatcher, Dispatcher):
            dispatcher = self.dispatcher
            self.peer_endpoint = PeerEndpoint(
                self.context.peer_network, self.spec, rng, EPOCH_UNIX_US, self.suspension
            )
            dispatcher.batch_observer = self.peer_endpoint.open(
                lambda: dispatcher.balancer, self._update_peers
            )

    def _update_peers(self, now: int, peers: Peers, until: int) -> None:
        if not self.has_ended and isinstance(self.dispatcher, Dispatcher):
            self.dispatcher.update_peers(now, peers, until)
            self._execute_commands()

    # ------------------------------------------------------------ incoming events

    def receive_request(self, client_request: ClientRequest, sent_at: int, responder: Caller) -> int:
        """Accepts a whole request, written at `sent_at`. Returns 0 if it has become a job, else the HTTP status of
        the rejection."""
        now = self.clock.now + EPOCH_UNIX_US
        validated = validate_request(self._received_request(client_request, sent_at, now), self.config)
        if isinstance(validated, LocalResponse):
            return validated.status
        cls, account, deadline = validated
        self.stall_detector.last_heartbeat_at = now  # on virtual time a running process never stalls
        deadline -= self.stall_detector.max_unread_us(now)
        if self.client_listener.shutdown:
            deadline = self.client_listener.shutdown.clamp_deadline(deadline - EPOCH_UNIX_US) + EPOCH_UNIX_US
        job = Job(
            client_request.request,
            cls,
            account,
            deadline - DEADLINE_MARGIN_US,
            client_request,
            responder,
            client_request.retried,
            self._request_key(client_request),
        )
        responder.job = job  # set first, as the dispatcher may answer the job at once
        if not self.dispatcher.submit(now, job):
            return 409
        self._execute_commands()
        return 0

    def _request_key(self, client_request: ClientRequest) -> int:
        """The request key as the HTTP front would hash it: by class, account and content."""
        alike = self.context.scenario.clients.alike
        return (
            1
            + client_request.cls
            + 1000
            * (client_request.tenant + 1000 * (0 if alike else 1 + int(order_id(client_request.request)[1:])))
        )

    def _received_request(self, client_request: ClientRequest, sent_at: int, now: int) -> ReceivedRequest:
        name = self.context.classes[client_request.cls]
        headers = {
            "x-priority-class": name,
            "x-request-id": client_request.request,
            "x-tenant-id": self.context.tenants[client_request.tenant],
        }
        headers["x-timeout"] = f"{max(1, client_request.until - sent_at)}u"
        return ReceivedRequest(
            self.supervisor.methods[client_request.cls], "/" + name, headers, b"", now, True
        )

    @deferred_while_suspended
    def caller_disconnected(self, job: Job) -> None:
        if not self.has_ended:
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
        """SIGHUP: the settings are loaded again, unchanged."""
        self.dispatcher.apply_settings(
            self.config.settings, self.config.max_open, recovery(self.context.scenario)
        )
        self._execute_commands()

    # ------------------------------------------------------------ the module's batches, and the dispatcher's commands

    @deferred_while_suspended
    def _process_batch(self) -> None:
        self._batch_scheduled = False
        if not self.has_ended:
            self.dispatcher.process_batch(self.clock.now + EPOCH_UNIX_US)
            self._execute_commands()

    @deferred_while_suspended
    def _run_due_timers(self) -> None:
        self._timer = None
        self.dispatcher.run_due_timers(self.clock.now + EPOCH_UNIX_US)
        self._execute_commands()

    def _execute_commands(self) -> None:
        """Carries out all commands, then schedules the next batch and the timer. A command may call this again."""
        dispatcher = self.dispatcher
        while commands := dispatcher.take_commands():
            for command in commands:
                if not self.has_ended:  # else the previous answer was the last one of the planned shutdown
                    self._execute(command)
        if dispatcher.pending_events and not self._batch_scheduled:
            self._batch_scheduled = True
            self.clock.call_at_end_of_instant(self._process_batch)
        due = dispatcher.due()
        if (
            due is not None
            and (self._timer is None or due - EPOCH_UNIX_US < self._timer.due)
            and not self.has_ended
        ):
            if self._timer:
                self._timer.cancel()
            self._timer = self.clock.call_at(due - EPOCH_UNIX_US, self._run_due_timers)

    def _execute(self, command: Command) -> None:
        if isinstance(command, DeliverAnswer):
            command.job.responder.answer(command.job, command.answer)
        elif isinstance(command, StartAttempt):
            self.node_pool.send(command.attempt)
        elif isinstance(command, CancelAttempt):
            self.node_pool.cancel(command.attempt)
        elif isinstance(command, WatchNodes):
            self.discovery_client.watch(command.enabled)
        elif isinstance(command, LogLine):
            self._log(command)

    def _log(self, command: LogLine) -> None:
        node = self.supervisor.entries.numbers.node_ids.get(command.endpoint, "")
        fields = {"node": node} if node else {}
        self.context.add_record(
            Logged(self.clock.now, self.name, command.level, command.topic, command.text, fields)
        )
        if command.level == "error" and len(self.context.notes) < MAX_NOTES:
            self.context.notes.append(f"{self.name}: {command.text}")

    # ------------------------------------------------------------ suspension and shutdown

    def freeze(self, frozen: bool) -> None:
        """SIGSTOP or SIGCONT."""
        now = self.clock.now + EPOCH_UNIX_US
        if frozen:
            self.stall_detector.last_heartbeat_at = now
            self.suspension.suspend()
        else:
            self.stall_detector.heartbeat(now)
            self.suspension.resume()

    @deferred_while_suspended
    def stop(self) -> None:
        """SIGTERM. The dispatcher uses Unix time, the listener virtual time."""
        schedule = self.dispatcher.stop(self.clock.now + EPOCH_UNIX_US)
        self._execute_commands()
        self.client_listener.stop(schedule.shifted(-EPOCH_UNIX_US))

    def exited(self) -> None:
        """The planned shutdown is complete."""
        if not self.has_ended:
            if self.peer_endpoint:
                self.peer_endpoint.close(leave=True)
            self.end()
            self.supervisor.process_ended("exited")

    def end(self) -> None:
        """The process has ended, and its connections, jobs and timers with it."""
        self.has_ended = True
        self.suspension.clear()
        if self.peer_endpoint:
            self.peer_endpoint.close(leave=False)
        if self._timer:
            self._timer.cancel()
        self.client_listener.reset_all()
        for exchange in list(self.downstream_exchanges):
            exchange.broken()
        self.downstream_exchanges.clear()
        self.node_pool.close()
        self.discovery_client.close()
