"""The decision module of paddlestep. Settings, events and actions are defined in paddlestep/interface.py.

The ordinary path follows Ould Deye's queue and slots. A request that finds the number of queued and in-flight calls
at or above the sum of N_i is refused immediately. Otherwise it waits first-come, first-served until a server holds
fewer than K_i of this sidecar's calls. Every answer updates the estimates and frees a slot. All other code here handles
an exception to that path; its comment says when it applies, which failure it prevents and when it may do harm.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from heapq import heapify, heappop, heappush
from math import exp, gcd, sqrt
from random import Random

from .interface import (
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Effect,
    Entry,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    NewSettings,
    Outcome,
    Peers,
    Refuse,
    Send,
    ServiceClass,
    SetTimer,
    Settings,
    State,
    Status,
    TimerFired,
    Watch,
)

US_PER_S = 1_000_000
# Fixed one-way network delay of the design (TP in the paper). Only its ratio to service times of many ms matters.
ONE_WAY_DELAY_US = 500
# A latency sample counts for at most this multiple of the expected time, because service times have heavy tails.
SAMPLE_CLIP_FACTOR = 3.0
# Time constant with which a server's slowness and error score decay unless new samples confirm them.
ESTIMATE_FADE_US = 5 * US_PER_S
EJECTION_ERROR_SCORE = 0.5  # a server whose error score exceeds this may be ejected
# Length of the first ejection. It doubles with each further one, up to this multiple.
FIRST_EJECTION_US, MAX_EJECTION_FACTOR = US_PER_S, 8
OVERDUE_FACTOR = 4.0  # a call older than this multiple of its expected time is overdue
RETRIES_PER_REQUEST = 0.1  # retry budget gained with each request
# Retry budget gained by a class with each of its requests, and by a server with each call sent to it.
RETRY_SHARES = 0.3, 0.5
BURST_FACTOR = 8.0  # extra concurrent calls for each slot that was unused on average
MIN_PREFERRED_SERVERS = 4  # size of the preferred subset unless the sidecar is assigned more servers
# A class counts as fairly served from this multiple of the average admission rate on. A class that is fairly served
# but worth less for its work than usual may use this part of the admission limit during a shortage.
FAIR_ADMISSION_FACTOR, LOW_WORTH_ROOM_FACTOR = 0.7, 0.75
# The estimated concurrency of a server grows while answers take hardly longer than uncrowded ones, and shrinks from
# this multiple of the uncrowded time on. The second value is its upper limit.
CONCURRENCY_SHRINK_INFLATION, MAX_SERVER_CONCURRENCY = 1.4, 4.0
FULL_SCAN_SERVERS = 64  # up to this many candidates are all examined for a call; of more, only a sample
WATCH_PAUSE_US = 600_000  # longest pause before discovery is asked again, before a random factor of up to 1.5


class Attempt:
    """One Send and its outcome. `status` is None while the call is in flight."""

    def __init__(self, server: Server, sent: int) -> None:
        self.server = server
        self.sent = sent
        self.status: Status | None = None


class Request:
    """A request from its arrival until its final answer and its last outcome."""

    def __init__(self, a: Arrival, kind: ServiceClass, now: int) -> None:
        self.id = a.request
        self.cls = a.cls
        self.service_class = kind
        self.deadline = now + a.left_us
        self.target = now + min(a.left_us, kind.aim_us)
        self.attempts: list[Attempt] = []
        self.open = True
        self.queued = False
        self.cancelled_attempts: set[int] = set()
        # When an answer would come too late to be worth waiting for, and when the call in flight is overdue.
        self.queue_deadline = self.overdue_at = 0
        self.timer_at = 0  # the earliest timer of this request

    def pending_attempts(self) -> int:
        """The number of attempts in flight."""
        return sum(a.status is None for a in self.attempts)


class Server:
    """The state and estimates that this sidecar keeps for one endpoint."""

    def __init__(self, entry: Entry, credit: float, now: int) -> None:
        self.entry = entry
        self.in_flight = 0
        self.slowness_estimate = 1.0  # service time as a multiple of the pool mean
        self.slowness_at = now
        self.error_score = 0.0  # 0 to 1, from failures of any kind
        self.class_error_scores: dict[int, float] = {}  # the same per class
        self.error_score_at = now
        self.ejected_until = 0  # no calls until then; half-open afterwards while the error score is high
        self.ejection_count = 0
        self.paused_until = 0
        self.consecutive_rejections = 0
        self.abandoned_calls: list[int] = []  # heap of the times when abandoned calls should have ended
        # Time of its last start. A start announced for the future would leave the server cold until then.
        self.started_at = min(entry.since_us, now)
        self.slow_start_credit = credit  # calls that slow start allows now
        self.slow_start_credit_at = now
        self.retry_budget = 3.0  # retries that may still follow failures of this server
        self.assigned = False  # assigned to this sidecar by the division among siblings
        self.preferred = False  # in the subset that receives calls first
        self.idle_connections = 0  # estimate
        self.last_reset_at = 0  # time of the last reset call; 0: it has answered since
        self.presumed_dead_at = 0  # when the server last appeared to have died
        # The amounts of this server that are included in the sums of the Balancer.
        self.slots = self.free_slots = self.service_rate = self.counted_error_score = 0.0
        self.counted_ejected = False  # included in `ejected_count`
        self.ejected_by_peers = False  # ejected because siblings reported it as bad

    def occupancy(self, now: int) -> int:
        """The number of calls that occupy the server: those in flight, and those that timed out or were cancelled
        recently. Most servers continue such work after the client has gone, so refilling the slot at once would
        overload a slow server. Where the work does stop, the slot stays unused for one service time."""
        while self.abandoned_calls and self.abandoned_calls[0] <= now:
            heappop(self.abandoned_calls)
        return self.in_flight + len(self.abandoned_calls)

    def slowness(self, now: int) -> float:
        """The slowness estimate, which decays towards the pool mean so that an avoided slow server is tried again."""
        return 1.0 + (self.slowness_estimate - 1.0) * exp((self.slowness_at - now) / ESTIMATE_FADE_US)


class Balancer:
    """Makes the load-balancing decisions of one sidecar: `handle` takes events and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # ordered by endpoint
        self.preferred: list[Server] = []  # the subset that receives calls while it has capacity
        self.recent_responders: deque[Server] = deque(maxlen=2 * MIN_PREFERRED_SERVERS)
        # Sums over the ready servers, updated with each change.
        self.slots = self.free_slots = self.service_rate = self.error_score_sum = 0.0
        self.ejected_count = 0
        self.refresh_turn = 0
        self.requests: dict[int, Request] = {}
        self.queue: deque[Request] = deque()
        self.waiting = 0  # open requests in the queue; requests that ended are removed from it lazily
        self.in_flight = 0
        # Occupied slots after the last event, and their moving average.
        self.occupied_slots = self.mean_occupied_slots = 0.0
        self.owners_per_server = self.sidecars_per_server = 1
        self.peers = Peers()  # the latest summary of the siblings, empty if they send none
        # Fractions of calls that ended as FULL and as CONNECT_FAILED.
        self.rejection_rate = self.connect_failure_rate = 0.0
        # Heap of (due, sequence number, request id or negated endpoint).
        self.timers: list[tuple[int, int, int]] = []
        self.timer_sequence = 0
        self.next_dispatch_at = 0
        self.watch_at = 0
        self.armed_timer_at = 0
        self.actions: list[Action] = []
        self.now = 0
        # Mean service time of each class over all servers, and the same without crowding or slow servers.
        self.class_service_us: list[float] = [0.0] * len(settings.classes)
        self.class_baseline_us: list[float] = [0.0] * len(settings.classes)
        self.class_samples: list[int] = [0] * len(settings.classes)
        self.service_us = 0.0  # mean service time of the current mix of classes
        self.samples = 0
        self.send_interval_us = self.last_send_at = 0  # mean time between sends; time of the last one
        self.error_memory_us: float = ESTIMATE_FADE_US  # time constant with which error scores decay
        self.server_concurrency = 1.0  # estimated number of calls that a server processes in parallel
        self.latency_inflation = 1.0  # answer time as a multiple of the uncrowded time of the class
        self.retry_budget = 1.0
        self.class_retry_budgets = [3.0] * len(settings.classes)
        self.class_admission_rates = [1.0] * len(settings.classes)
        self.worth_per_us = 0.0  # mean worth of a request per microsecond of service time
        # Token bucket of each tenant: tokens, time of the last update.
        self.tenant_buckets = [(t.allowance_per_s / settings.siblings + 3, 0) for t in settings.tenants]
        self.discovery_failures = 0

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Processes all events of one moment and returns the resulting actions in order."""
        self.mean_occupied_slots += (self.occupied_slots - self.mean_occupied_slots) * (
            1 - exp((self.now - max(now_us, self.now)) / self.averaging_span_us())
        )
        self.now = max(now_us, self.now)
        self.actions = []
        for e in events:
            if isinstance(e, Arrival):
                self.on_arrival(e)
            elif isinstance(e, Outcome):
                self.on_outcome(e)
            elif isinstance(e, ListUpdate):
                self.on_list_update(e)
            elif isinstance(e, ClientGone):
                if (request := self.requests.get(e.request)) and request.open:
                    self.close(request)
            elif isinstance(e, TimerFired):
                self.armed_timer_at = 0
            elif isinstance(e, NewSettings):
                self.apply_settings(e.settings)
            elif isinstance(e, Peers):
                self.on_peers(e)
        self.run_due_timers()
        self.dispatch()
        self.occupied_slots = self.slots - self.free_slots
        while self.timers and self.is_stale_timer(self.timers[0]):
            heappop(self.timers)
        due_times = (self.timers[0][0] if self.timers else 0, self.watch_at, self.next_dispatch_at)
        due = min((t for t in due_times if t), default=0)
        if due and (not self.armed_timer_at or due < self.armed_timer_at):
            self.armed_timer_at = max(due, self.now + 1)
            self.actions.append(
                SetTimer(min(self.armed_timer_at - self.now, 3600 * US_PER_S), self.armed_timer_at)
            )
        return self.actions

    def apply_settings(self, settings: Settings) -> None:
        """Applies new settings at run time. Estimates and queued requests are kept; requests that have already
        arrived keep the settings of their class."""
        more = len(settings.classes) - len(self.class_service_us)
        self.class_service_us += [0.0] * more
        self.class_baseline_us += [0.0] * more
        self.class_samples += [0] * more
        self.class_retry_budgets += [3.0] * more
        self.class_admission_rates += [1.0] * more
        for t in settings.tenants[len(self.tenant_buckets) :]:
            self.tenant_buckets.append((t.allowance_per_s / settings.siblings + 3, self.now))
        self.settings = settings
        self.assign_subsets(self.ready)

    @property
    def sidecar_share(self) -> float:
        """This sidecar's fraction of what all siblings may send: by need if siblings report it, else an equal share."""
        return self.peers.part or 1 / self.settings.siblings

    def on_peers(self, e: Peers) -> None:
        """Applies a summary of the siblings; its values were clamped by its sender. A server that siblings report as
        bad counts as ejected here until they stop reporting it, and one sibling keeps testing it. Never more than
        half of the servers are ejected."""
        self.peers = e
        for s in self.ready:
            barred = s.entry.endpoint in e.barred and (
                s.counted_ejected or 2 * (self.ejected_count + 1) <= len(self.ready)
            )
            if barred or s.ejected_by_peers:
                s.ejected_until = max(s.ejected_until, self.now + 2 * US_PER_S) if barred else 0
                self.ejected_count += barred - s.counted_ejected
                s.ejected_by_peers = s.counted_ejected = barred
            self.refresh_sums(s)

    def schedule_timer(self, due: int, ident: int) -> None:
        """Adds a timer for a request, or for a server by its negated endpoint. Stale entries are removed when they
        outnumber the live ones."""
        self.timer_sequence += 1
        heappush(self.timers, (due, self.timer_sequence, ident))
        if len(self.timers) > 4 * len(self.requests) + 64 + len(self.servers):
            self.timers = [entry for entry in self.timers if not self.is_stale_timer(entry)]
            heapify(self.timers)

    def is_stale_timer(self, entry: tuple[int, int, int]) -> bool:
        """Whether the server or request of a timer is gone, or the request has since been given another timer."""
        due, _, ident = entry
        if ident < 0:
            return -ident not in self.servers
        request = self.requests.get(ident)
        return request is None or not request.open or request.timer_at != due

    def schedule_request_timer(self, request: Request) -> None:
        """Keeps one timer per request, for the earliest of its overdue time, queue deadline and deadline."""
        due = min(
            [request.deadline - self.settings.tick_us]
            + [t for t in (request.queue_deadline, request.overdue_at) if t]
        )
        if due != request.timer_at:
            request.timer_at = due
            self.schedule_timer(due, request.id)

    def run_due_timers(self) -> None:
        """Handles all timers that are due now."""
        if self.watch_at and self.watch_at <= self.now:
            self.watch_at = 0
            self.actions.append(Watch(True))
        if self.next_dispatch_at <= self.now:
            self.next_dispatch_at = 0
        while self.timers and self.timers[0][0] <= self.now:
            entry = heappop(self.timers)
            if self.is_stale_timer(entry):
                continue
            if entry[2] < 0:
                self.refresh_sums(self.servers[-entry[2]])
                continue
            request = self.requests[entry[2]]
            if self.now >= min(
                request.deadline - self.settings.tick_us, request.queue_deadline or request.deadline
            ):
                self.finish_unserved(request)
            else:
                request.overdue_at = 0
                self.on_overdue(request)
                self.schedule_request_timer(request)

    def expected_service_us(self, cls: int) -> float:
        """Mean service time of a class over all servers, also used for servers without samples. In microseconds."""
        if self.class_samples[cls]:
            return self.class_service_us[cls]
        return self.service_us if self.samples else self.settings.classes[cls].aim_us / 4

    def expected_service_us_at(self, server: Server, cls: int) -> float:
        """`expected_service_us` at one server: longer if the server is slow, never shorter."""
        return self.expected_service_us(cls) * max(1.0, server.slowness(self.now))

    def record_latency(self, server: Server, cls: int, latency: int) -> None:
        """Updates the estimates from the latency of a served answer. It is compared with the mean of its class, so
        that the mix of classes does not matter."""
        sample = max(1.0, float(latency - 2 * ONE_WAY_DELAY_US))
        if self.class_samples[cls]:
            sample = min(
                sample, SAMPLE_CLIP_FACTOR * self.class_service_us[cls] * max(1.0, server.slowness_estimate)
            )
        self.class_samples[cls] += 1
        self.samples += 1
        self.class_service_us[cls] += (sample - self.class_service_us[cls]) * max(
            0.03, 1 / self.class_samples[cls]
        )
        self.service_us = self.service_us or sample
        mean, base = self.class_service_us[cls], self.class_baseline_us[cls]
        # The baseline rises more slowly under load, where longer answers come from crowding.
        rise_rate = 0.002 if self.mean_occupied_slots < 0.5 * self.slots else 0.0003
        base = (
            mean
            if self.class_samples[cls] <= 8
            else base + (mean - base) * (rise_rate if mean > base else 0.1)
        )
        self.class_baseline_us[cls] = base
        self.latency_inflation += (mean / base - self.latency_inflation) * 0.05
        growth = CONCURRENCY_SHRINK_INFLATION / self.latency_inflation
        if (
            growth < 1
            or growth > 1.2
            and self.class_samples[cls] > 8
            and (self.waiting or self.mean_occupied_slots > 0.8 * self.slots)
        ):
            self.server_concurrency = min(
                MAX_SERVER_CONCURRENCY,
                max(1.0, self.server_concurrency * growth ** (0.05 if growth > 1 else 0.3)),
            )
        slow = server.slowness(self.now)
        server.slowness_estimate = max(0.1, slow + (sample / self.class_service_us[cls] - slow) * 0.2)
        server.slowness_at = self.now

    def concurrency_share(self, server: Server) -> float:
        """This sidecar's share of the calls that a server should hold; K_i is this value as a whole number.

        In the paper, calls in transit keep a server busy while an answer travels. A server that waits for the tiers
        below idles in the same way, so each tier below is assumed to need as long as the server itself, including its
        queue. The paper's servers have one core. Servers that process several calls in parallel answer hardly more
        slowly while all slots are in use; they get more calls (`server_concurrency`) until answers become slower.
        More calls than that overload a server once another one has gone, and it recovers only when few are left.
        Siblings cannot take turns, so with several of them one more call may wait at a server, and two where many
        sidecars own it. All siblings share that call, as they share the server's slots."""
        below = self.settings.tiers - 1 - self.settings.tier
        if not self.samples:
            return (1 + 2 * below) * self.sidecar_share
        slowness = server.slowness(self.now)
        trip = max(1.0, self.service_us * slowness)
        # Not extended at a slow server, so that it recovers.
        wait = min(1.0, 2 / max(0.1, self.latency_inflation * slowness)) * 2 * below
        spare = (
            (self.settings.siblings > 1) / (1 + 20 * self.rejection_rate) * (2 - 1 / self.owners_per_server)
        )
        # Siblings that exchange summaries must use the same number of slots, so none uses an estimate of its own.
        concurrency = 1.0 if self.peers.alive else self.server_concurrency
        return (
            2 * ONE_WAY_DELAY_US * (1 + below) / trip + concurrency * (1 + wait) + spare
        ) * self.sidecar_share

    def concurrency_limit(self, server: Server) -> int:
        """K_i: the share, or at an assigned server the share of one owner, rounded down but at least 1."""
        share = self.concurrency_share(server)
        return max(1, int(share / self.sidecar_share / self.owners_per_server if server.assigned else share))

    def refresh_sums(self, s: Server) -> None:
        """Updates the sums with the current values of one server: slots, free slots, N_i per unit of allowed time and
        error score."""
        if self.servers.get(s.entry.endpoint) is not s:
            return
        if s.counted_ejected and s.ejected_until <= self.now:
            s.counted_ejected = False
            self.ejected_count -= 1
        slots = free_slots = service_rate = error_score = 0.0
        if s.entry.state is State.READY:
            error_score = s.error_score
            if s.ejected_until <= self.now:
                share = self.concurrency_share(s)
                service_rate = share / (
                    2 * ONE_WAY_DELAY_US + max(1.0, self.service_us) * s.slowness(self.now)
                )
                if s.paused_until <= self.now:
                    slots, free_slots = share, share - s.occupancy(self.now)
        self.slots += slots - s.slots
        self.free_slots += free_slots - s.free_slots
        self.service_rate += service_rate - s.service_rate
        self.error_score_sum += error_score - s.counted_error_score
        s.slots, s.free_slots, s.service_rate, s.counted_error_score = (
            slots,
            free_slots,
            service_rate,
            error_score,
        )

    def assign_subsets(self, changed: list[Server]) -> None:
        """Divides the servers among the siblings in order of their endpoints (deterministic subsetting). Siblings
        cannot see each other's calls; if each prefers servers that the others use last, it knows the load of its own.
        The preferred subset holds the assigned servers and a few more, which saves connections and gives enough samples
        per server. Positions on the list are divided in proportion, so that a change of the list moves each sidecar
        by one or two positions and most estimates stay useful. The subset is only a preference: while its servers
        are full or bad, all others are used too. May do harm while siblings hold very different lists."""
        for s in self.preferred:
            s.preferred = False
        self.ready = [s for _, s in sorted(self.servers.items()) if s.entry.state is State.READY]
        if 2 * sum(s.ejected_until > self.now for s in self.ready) > len(self.ready):
            # The healthy servers have gone; prevents a list without any usable server.
            changed = changed + self.ready
            for s in changed:
                s.ejected_until = 0
        n, total = len(self.ready), self.settings.siblings
        # Siblings with consecutive numbers get distant positions on the list. Front proxies receive callers in turn, so
        # siblings assigned the same server would send to it one after the other, in bursts that move round the servers.
        position = (
            self.settings.me
            * next(x for x in range(total * 5 // 8 + 1, 3 * total) if gcd(x, total) == 1)
            % total
        )
        first = position * n // total
        assigned = max(first + 1, (position + 1) * n // total) - first
        previous_owners, self.owners_per_server = self.owners_per_server, -(-total // max(1, n))
        if n <= FULL_SCAN_SERVERS or previous_owners != self.owners_per_server:
            # Of many servers only the changed ones are counted again: counting all of them takes tens of milliseconds.
            changed = self.ready
            self.slots = self.free_slots = self.service_rate = self.error_score_sum = 0.0
            self.ejected_count = 0
            # Includes draining servers: their last outcomes would subtract their amounts a second time.
            for s in self.servers.values():
                s.slots = s.free_slots = s.service_rate = s.counted_error_score = 0.0
                s.counted_ejected = False
        for i, s in enumerate(self.ready):
            s.assigned = first <= i < first + assigned
        for s in changed:
            ejected = s.entry.state is State.READY and s.ejected_until > self.now
            self.ejected_count += ejected - s.counted_ejected
            s.counted_ejected = ejected
            self.refresh_sums(s)
        self.preferred = [
            self.ready[(first + i) % n] for i in range(min(n, max(MIN_PREFERRED_SERVERS, 2 * assigned)))
        ]
        for s in self.preferred:
            s.preferred = True
        # The number of sidecars that prefer each server.
        self.sidecars_per_server = -(-total * len(self.preferred) // max(1, n))

    def uncrowded_work_us(self) -> float:
        """Service time of a call at one server, without waiting behind other calls. In microseconds; 0: unknown."""
        return self.service_us / max(1.0, self.latency_inflation) / (self.settings.tiers - self.settings.tier)

    def capacity(self, server: Server) -> float:
        """The fraction of its full capacity that a server is expected to have, below 1 while it is cold."""
        # A server that reset calls, or repeatedly accepted no connection while it held no call of this sidecar, may
        # come back cold under the same id before discovery reports it. May do harm if it was merely unreachable.
        since = max(server.started_at, server.presumed_dead_at)
        if not since or not self.settings.warm_after_us:
            return 1.0
        age = max(0, self.now - since) / self.settings.warm_after_us
        return max(0.01, min(1.0, self.settings.cold_from + (1 - self.settings.cold_from) * age))

    def on_arrival(self, a: Arrival) -> None:
        """Admits a new request to the queue or refuses it."""
        if a.request in self.requests:
            return
        kind = self.settings.classes[a.cls]
        request = Request(a, kind, self.now)
        self.requests[a.request] = request
        if self.peers.further:
            self.retry_budget = min(
                max(1.0, 10 * (self.peers.part or 1)), self.retry_budget + RETRIES_PER_REQUEST
            )
        self.class_retry_budgets[a.cls] = min(10.0, self.class_retry_budgets[a.cls] + RETRY_SHARES[0])
        # The mean follows the classes of arriving requests, so that a lasting change of the mix takes effect within
        # seconds and is not mistaken for crowding.
        if self.samples:
            self.service_us += (self.expected_service_us(a.cls) - self.service_us) * 0.05
        front = self.settings.tier == 0
        wanted = min(a.left_us, kind.aim_us) if front else a.left_us
        if self.ready:  # keeps the sums close to the changing estimates at a constant cost
            self.refresh_turn += 1
            self.refresh_sums(self.ready[self.refresh_turn % len(self.ready)])
        over = self.over_allowance(a.tenant)
        # Without a usable server there is no N_i, and requests wait for a server until their deadline. Requests that
        # return at the time they were advised may use the reserved places; new requests may not.
        limit = self.admission_limit(wanted) * (self.admission_factor(a.cls) if front else 1.0) - a.reserve
        admitted = not (len(self.ready) > self.ejected_count and self.waiting + self.in_flight >= limit)
        self.class_admission_rates[a.cls] += (admitted - self.class_admission_rates[a.cls]) * 0.05
        if not admitted:
            self.finish_unserved(request)
        elif front and over and not a.kept and (self.waiting or self.mean_occupied_slots > 0.8 * self.slots):
            # A tenant above its allowance leaves the last fifth of the slots to others and is never queued. This
            # protects against floods and endless retries. May harm a tenant whose whole traffic uses one sidecar.
            self.finish_unserved(request)
        else:
            self.enqueue(request, first=False)
            if front:
                request.queue_deadline = max(
                    int(self.now + wanted - self.expected_service_us(a.cls)), self.now + 1
                )
            self.schedule_request_timer(request)

    def admission_factor(self, cls: int) -> float:
        """The fraction of the admission limit that a class may use: below 1 for a class with a worth per service time
        below the mean, during a shortage here or at all siblings together. A class that is admitted less often than
        FAIR_ADMISSION_FACTOR times the average of the classes is exempt, so that it does not starve."""
        worth_per_us = self.settings.classes[cls].worth / max(1.0, self.expected_service_us(cls))
        self.worth_per_us += (worth_per_us - self.worth_per_us) * 0.02
        overloaded = self.peers.worth or self.waiting > 0 or self.mean_occupied_slots > 0.8 * self.slots
        fair = self.class_admission_rates[cls] >= FAIR_ADMISSION_FACTOR * sum(
            self.class_admission_rates
        ) / len(self.class_admission_rates)
        return (
            LOW_WORTH_ROOM_FACTOR
            if overloaded and fair and worth_per_us < (self.peers.worth or self.worth_per_us)
            else 1.0
        )

    def admission_limit(self, wanted: int) -> float:
        """The sum of N_i, each at least 1, for an allowed time in microseconds. The paper's N_i assumes one call at a
        time and one balancer. A server that processes several calls in parallel answers as many in one round trip,
        and siblings share them."""
        # Half of the paper's T, because a client may need the rest for a retry of its own; never below the slots.
        slots = self.slots + self.burst_allowance()
        return max(1.0, slots, wanted / 2 * self.service_rate if self.samples else 2 * slots)

    def burst_allowance(self) -> float:
        """The number of calls that may be in flight beyond the shares for a short time. Among many siblings a share is
        one call or less, and enforcing it at every moment would refuse calls while servers idle, because the bursts
        of siblings cancel out. This departs from the paper: the share limits the average over some seconds, and the
        less of it was used, the larger a burst may be. It adds little where the share is several calls, and nothing
        for a single sidecar. May do harm when all siblings burst together, until the average has risen."""
        unused = BURST_FACTOR * (self.occupancy_limit() - self.mean_occupied_slots)
        return (1 - 1 / self.settings.siblings) * min(unused, self.latency_headroom() * 3 / (1 + self.slots))

    def latency_headroom(self) -> float:
        """1 while answers take as long as uncrowded ones, falling to 0 when they take twice as long or more."""
        return min(1.0, max(0.0, 2 - self.latency_inflation))

    def occupancy_limit(self) -> float:
        """The upper limit of the average number of occupied slots: the slots, and twice the standard deviation of a
        share this small. A sidecar among hundreds has one or two calls in the averaging span, and one long answer
        would block it for seconds; over all siblings the deviations cancel out. Adds little where there are several
        slots."""
        slots = max(0.0, self.slots)  # rounding may leave this sum of floats slightly below 0
        deviation = sqrt(slots * self.service_us / self.averaging_span_us())
        return (
            slots * (1 + self.peers.idle)
            + 2 * (1 - 1 / self.settings.siblings) * self.latency_headroom() * deviation
        )

    def averaging_span_us(self) -> float:
        """Time constant of the average of occupied slots: about twenty service times, so that one long call does not
        dominate it."""
        return min(ESTIMATE_FADE_US, max(US_PER_S, 20 * self.service_us))

    def over_allowance(self, tenant: int) -> bool:
        """Takes a token from the bucket of a tenant; True if there was none."""
        if tenant >= len(self.tenant_buckets) or not self.settings.tenants[tenant].allowance_per_s:
            return False
        rate = self.settings.tenants[tenant].allowance_per_s / self.settings.siblings
        tokens, at = self.tenant_buckets[tenant]
        # The bucket holds one second and three requests, because a sidecar among hundreds gets its share in bursts.
        tokens = min(rate + 3, tokens + rate * (self.now - at) / US_PER_S)
        over = tokens < 1
        self.tenant_buckets[tenant] = (tokens if over else tokens - 1, self.now)
        return over

    def enqueue(self, request: Request, first: bool) -> None:
        """Puts a request into the queue, at its head if `first`."""
        request.queued = True
        self.waiting += 1
        (self.queue.appendleft if first else self.queue.append)(request)

    def dispatch(self) -> None:
        """Sends queued requests to servers below K_i in order of arrival. A retry, which only certain servers may
        take, is skipped while these are full."""
        while self.queue and not self.queue[0].queued:
            self.queue.popleft()
        if len(self.queue) > 2 * self.waiting + 16:
            self.queue = deque(r for r in self.queue if r.queued)
        # With many siblings a share is less than one call, and a K_i of at least 1 at each would overload a server.
        # This departs from the paper: calls also wait while all calls in flight reach the sum of the shares and the
        # burst allowance.
        skipped = []
        while self.queue and (
            self.free_slots + self.burst_allowance() >= 0.5
            or (not self.in_flight and self.mean_occupied_slots <= self.occupancy_limit())
        ):
            request = self.queue.popleft()
            if not request.queued:
                continue
            server = self.pick_server(request)
            if server:
                self.send(request, server)
                continue
            skipped.append(request)
            if not request.attempts:
                break
        self.queue.extendleft(reversed(skipped))
        # Slow-start credit grows and averages fall without an event, so this must run again.
        if self.waiting and not self.next_dispatch_at:
            self.next_dispatch_at = self.now + 5 * self.settings.tick_us

    def pick_server(self, request: Request) -> Server | None:
        """The server expected to answer soonest among the preferred ones. Other servers are sampled only when none of
        these can take the call. None if no server can."""
        pool = self.allowed_servers(request)
        candidates = self.preferred if pool is self.ready else pool
        if len(candidates) > FULL_SCAN_SERVERS:
            # Of many servers only the latest responders, which have a free slot and a connection, and a random sample
            # are examined, so that the cost does not grow with the servers. May delay a call when only a few of them
            # can take it.
            responders = [s for s in self.recent_responders if s.preferred] if pool is self.ready else []
            candidates = list(
                dict.fromkeys(responders + self.rng.sample(candidates, 2 * MIN_PREFERRED_SERVERS))
            )
        tried = [a.server for a in request.attempts]
        candidates = [s for s in candidates if s not in tried and self.usable(s)]
        if not candidates:
            sample = (
                pool if len(pool) <= FULL_SCAN_SERVERS else self.rng.sample(pool, 2 * MIN_PREFERRED_SERVERS)
            )
            candidates = [s for s in sample if s not in tried and self.usable(s)] or [
                s for s in sample if self.usable(s)
            ]
        if not candidates:
            return None
        # Servers with a high error score, overall or for this class, get only first attempts of safe requests.
        if request.service_class.effect is not Effect.SAFE or len(request.attempts) > 0:
            candidates = [s for s in candidates if self.class_error_score(s, request.cls) < 0.2] or candidates
        # Expected calls of siblings at a server: few at an assigned one, the average elsewhere, fewer at a cold one.
        others = self.mean_occupied_slots * (self.settings.siblings - 1) / max(1, len(self.ready))
        if self.settings.siblings > 1:
            others = max(1.0, others)  # also before there are estimates
        others_at_assigned = others * (self.owners_per_server - 1) / self.owners_per_server

        def cost(s: Server) -> tuple[float, float]:
            capacity = self.capacity(s)
            ahead = s.occupancy(self.now) + capacity * (others_at_assigned if s.assigned else others)
            # A new connection costs time and work; where many fail, servers may have reached their connection limit.
            penalty = (
                1
                + 4 * self.class_error_score(s, request.cls)
                + (0 if s.idle_connections else 0.1 + 5 * self.connect_failure_rate)
            )
            return penalty * s.slowness(self.now) * (ahead + 1) / capacity, self.rng.random()

        return min(candidates, key=cost)

    def usable(self, s: Server) -> bool:
        """Whether a server can take one more call now. Half-open servers get one call at a time."""
        if s.entry.state is not State.READY or max(s.ejected_until, s.paused_until) > self.now:
            return False
        occupied = s.occupancy(self.now)
        if occupied and occupied >= (
            1 if s.error_score > EJECTION_ERROR_SCORE / 2 and s.ejection_count else self.concurrency_limit(s)
        ):
            return False
        return self.capacity(s) >= 1.0 or self.accrue_slow_start_credit(s) >= 1.0

    def accrue_slow_start_credit(self, s: Server) -> float:
        """Adds the slow-start credit that a cold server has gained and returns the total. The credit is half of what
        all sidecars may send to a cold server, divided among those that prefer it, with a random phase; others send it
        nothing. Unused credit lapses, because saved credit of many sidecars spent together would overload the server;
        so all together send at most what it may get, and one call more. The service time used is the server's part
        of an uncrowded trip through the tiers from here on, which is an underestimate. May do harm where the tiers
        below do no work, or with few callers."""
        work = max(1.0, self.peers.work or self.uncrowded_work_us() or self.settings.tip_after_us / 4)
        rate = (
            s.preferred
            * 0.5
            * self.settings.fall_multiple
            * self.capacity(s)
            / (work * self.sidecars_per_server)
        )
        s.slow_start_credit += rate * (self.now - s.slow_start_credit_at)
        s.slow_start_credit -= max(
            0,
            int(s.slow_start_credit - 0.5 * rate * self.settings.tip_after_us - 1 / self.sidecars_per_server),
        )
        s.slow_start_credit_at = self.now
        return s.preferred * s.slow_start_credit

    def send(self, request: Request, server: Server) -> None:
        """Starts an attempt and schedules when it is overdue."""
        self.waiting -= request.queued
        request.queued = False
        request.attempts.append(Attempt(server, self.now))
        # Error scores decay over ten sends if these take longer than the default, so that a sidecar that rarely sends
        # does not lose them between two sends.
        if self.last_send_at:
            self.send_interval_us += (
                min(self.now - self.last_send_at, 10 * US_PER_S) - self.send_interval_us
            ) // 8
        self.last_send_at = self.now
        self.error_memory_us = max(ESTIMATE_FADE_US, 10 * self.send_interval_us)
        server.idle_connections = max(0, server.idle_connections - 1)
        server.in_flight += 1
        # Never negative: a deficit from when the server was warm would block it for seconds once it comes back cold.
        server.slow_start_credit, server.slow_start_credit_at = (
            max(0.0, server.slow_start_credit - 1),
            self.now,
        )
        server.retry_budget = min(5.0, server.retry_budget + RETRY_SHARES[1])
        self.in_flight += 1
        self.refresh_sums(server)
        self.actions.append(Send(request.id, server.entry.endpoint))
        request.queue_deadline = 0
        # Overdue when it takes far longer than expected, or earlier, at the last moment for a retry to be in time.
        expected = self.expected_service_us_at(server, request.cls)
        last = request.target - self.now - 1.5 * expected
        request.overdue_at = self.now + int(
            max(OVERDUE_FACTOR / 2 * expected, min(OVERDUE_FACTOR * expected, last))
        )
        self.schedule_request_timer(request)

    def allowed_servers(self, request: Request) -> list[Server]:
        """The ready servers to which the rules allow one more attempt of this request now."""
        if not request.attempts:
            return self.ready
        if len(request.attempts) >= self.settings.max_attempts:
            return []
        if not self.settings.may_duplicate and request.pending_attempts():
            return []
        return self.ready if self.retry_is_safe(request) else []

    def retry_is_safe(self, request: Request) -> bool:
        """Whether another attempt cannot execute the request twice. Keyed classes count as unsafe."""
        return request.service_class.effect is Effect.SAFE or all(
            a.status and a.status.never_ran for a in request.attempts
        )

    def finish_unserved(self, request: Request) -> None:
        """Gives the final answer to a request that was not served: a refusal if a retry is safe, else a failure."""
        if self.retry_is_safe(request):
            self.actions.append(Refuse(request.id))
        else:
            self.actions.append(Fail(request.id))
        self.close(request)

    def close(self, request: Request) -> None:
        """Ends a request, and cancels its attempts in flight where the settings allow it."""
        self.waiting -= request.queued
        request.queued = request.open = False
        if not request.pending_attempts():
            self.requests.pop(request.id, None)
        elif self.settings.may_cancel:
            for i, a in enumerate(request.attempts):
                if a.status is None and i not in request.cancelled_attempts:
                    request.cancelled_attempts.add(i)
                    self.actions.append(Cancel(request.id, i))

    def on_outcome(self, e: Outcome) -> None:
        """Records the end of an attempt, then closes or retries its request. Unknown attempts are ignored."""
        request = self.requests.get(e.request)
        if request is None or e.attempt >= len(request.attempts):
            return
        attempt = request.attempts[e.attempt]
        if attempt.status is not None:
            return
        attempt.status = e.status
        server = attempt.server
        server.in_flight -= 1
        self.in_flight -= 1
        self.record_outcome(server, request, e)
        self.refresh_sums(server)
        if e.closed or not request.open:
            self.close(request)
        elif not request.pending_attempts() and not request.queued:
            self.retry_or_finish(request, e.status)

    def retry_or_finish(self, request: Request, status: Status) -> None:
        """Queues another attempt after a failed one if the rules, the remaining time and the retry budget allow it.
        Attempts that never ran did no work and are not charged to the budget."""
        left = request.deadline - self.now
        allowed = bool(self.allowed_servers(request)) and left > self.expected_service_us(request.cls) / 2
        if allowed and (
            status.never_ran or self.spend_retry_budget(request.cls, request.attempts[-1].server)
        ):
            self.enqueue(request, first=True)
            self.schedule_request_timer(request)
        else:
            self.finish_unserved(request)

    def spend_retry_budget(self, cls: int, failed: Server) -> bool:
        """Charges one retry to the budgets of the sidecar, the class and the failed server. False, and no charge, if
        one of them is exhausted. Prevents a bad server or class from using the retries that others may need."""
        if min(self.retry_budget, self.class_retry_budgets[cls], failed.retry_budget) < 1:
            return False
        self.retry_budget -= 1
        self.class_retry_budgets[cls] -= 1
        failed.retry_budget -= 1
        return True

    def on_overdue(self, request: Request) -> None:
        """Handles a call that has taken far longer than expected: sends a second copy where allowed, else cancels the
        call so that it can be sent elsewhere. Protects against servers that accept calls without answering, and
        against stalls. May do harm when long answers are just heavy requests; therefore it uses the retry budget."""
        pending = [i for i, a in enumerate(request.attempts) if a.status is None]
        if not pending:
            return
        last, suspect = pending[-1], request.attempts[pending[-1]].server
        overdue_at = request.attempts[last].sent + int(
            OVERDUE_FACTOR * self.expected_service_us_at(suspect, request.cls)
        )
        # Under crowding the server is not at fault, and a copy would add to the load.
        uncrowded = self.latency_inflation < 2 and self.mean_occupied_slots <= self.slots / 2
        if self.now < overdue_at:
            request.overdue_at = overdue_at
        elif uncrowded:
            self.raise_error_score(suspect, request.cls, 0.15)
            self.refresh_sums(suspect)
        if request.queued or request.service_class.effect is Effect.UNSAFE or self.retry_budget < 1:
            return
        if request.deadline - self.now < 2 * self.expected_service_us(request.cls):
            return
        if self.settings.may_duplicate:
            may_copy = not self.waiting and len(pending) == 1 and (uncrowded or self.now >= overdue_at)
            if (
                may_copy
                and (server := self.pick_server(request))
                and self.spend_retry_budget(request.cls, suspect)
            ):
                self.send(request, server)
        elif (
            request.service_class.effect is Effect.SAFE
            and self.settings.may_cancel
            and self.now >= overdue_at
        ):
            if suspect.error_score > 0.2 and last not in request.cancelled_attempts:
                request.cancelled_attempts.add(last)
                self.actions.append(Cancel(request.id, last))

    def class_error_score(self, s: Server, cls: int) -> float:
        """The current error score of a server for one class: that of the class if it has one, else that of all classes.
        Protects against servers that fail or never answer some requests and serve others, so that their total score
        stays low. May do harm when a server fails that each class has yet to discover by itself."""
        score = s.class_error_scores.get(cls, s.error_score)
        return score * exp((s.error_score_at - self.now) / self.error_memory_us) if score else 0.0

    def raise_error_score(self, s: Server, cls: int, fraction: float) -> None:
        """Moves the error scores of a server, in total and for one class, towards 1 by a fraction."""
        s.error_score += (1 - s.error_score) * fraction
        score = s.class_error_scores.get(cls, 0.0)
        s.class_error_scores[cls] = score + (1 - score) * fraction

    def record_outcome(self, s: Server, request: Request, e: Outcome) -> None:
        """Updates the estimates of a server after an attempt. One error score covers all symptoms: errors, resets,
        failed connects and calls that timed out."""
        if s.ejected_until <= self.now:
            fade = exp((s.error_score_at - self.now) / self.error_memory_us)
            s.error_score *= fade
            s.class_error_scores = {c: x * fade for c, x in s.class_error_scores.items()}
        s.error_score_at = self.now
        self.rejection_rate += ((e.status is Status.FULL) - self.rejection_rate) * 0.01
        self.connect_failure_rate += ((e.status is Status.CONNECT_FAILED) - self.connect_failure_rate) * 0.03
        if e.status in (Status.OK, Status.ERROR, Status.FULL):
            s.idle_connections += 1
            if s in self.recent_responders:
                self.recent_responders.remove(s)
            self.recent_responders.append(s)
        # One connection may break while the server is up. The server is presumed dead only if it answers nothing before
        # the next call is reset or cannot connect. Otherwise connections that break one by one would limit every server
        # to slow start. May harm a server that restarts immediately and held only one call of this sidecar: it gets the
        # following calls without slow start.
        suspected = s.last_reset_at or s.ejection_count
        if (e.status is Status.RESET and s.last_reset_at) or (
            e.status is Status.CONNECT_FAILED and suspected and not s.in_flight
        ):
            s.presumed_dead_at = self.now
        if e.status is Status.RESET:
            s.last_reset_at = self.now
        elif e.status in (Status.OK, Status.ERROR, Status.FULL):
            s.last_reset_at = 0
            if e.status is Status.OK and self.now - e.latency_us < s.presumed_dead_at:
                s.presumed_dead_at = 0  # the call was sent before, so the server has been up all along
        if e.status is Status.OK:
            self.record_latency(s, request.cls, e.latency_us)
            s.consecutive_rejections = 0
            s.error_score *= 0.5
            s.class_error_scores[request.cls] = s.class_error_scores.get(request.cls, 0.0) * 0.5
            if s.error_score < EJECTION_ERROR_SCORE / 4:
                if s.ejection_count:
                    self.actions.append(Log(f"server {s.entry.endpoint:012x} restored"))
                s.ejection_count = 0
            return
        if e.status is Status.FULL:
            # The server rejected the call because it is crowded by calls of others. Exponential backoff, because asking
            # again immediately costs it work. May avoid a server that was full only briefly for a few service times.
            s.consecutive_rejections += 1
            wait = (
                self.expected_service_us(request.cls)
                * 2 ** min(s.consecutive_rejections, 6)
                * self.rng.uniform(0.25, 0.5)
            )
            s.paused_until = self.now + int(min(wait, US_PER_S))
            self.schedule_timer(s.paused_until, -s.entry.endpoint)
            return
        if e.status is Status.MOOT:
            return
        if e.status in (Status.TIMEOUT, Status.CANCELLED):
            expected = self.expected_service_us_at(s, request.cls)
            heappush(s.abandoned_calls, self.now + int(expected))
            self.schedule_timer(self.now + int(expected), -s.entry.endpoint)
            # Only an age out of proportion counts against the server; a short remaining time does not.
            age = e.latency_us / max(1.0, expected)
            penalty = 0.3 * min(1.0, max(0.0, age / OVERDUE_FACTOR - 0.5) * 2) if request.open else 0.0
        else:  # a connect that timed out is weak evidence, as other connections to the same server succeed
            penalty = 0.1 if e.status is Status.CONNECT_FAILED else 0.3
        self.raise_error_score(s, request.cls, penalty)
        ready = len(self.ready)
        mean_score = max(0.0, self.error_score_sum - s.counted_error_score) / max(1, ready - 1)
        may_eject = s.entry.state is State.READY and 2 * (self.ejected_count - s.counted_ejected + 1) <= ready
        if s.error_score > EJECTION_ERROR_SCORE and s.error_score > 2 * mean_score and may_eject and penalty:
            # Outlier ejection, then half-open. Never when all servers fail alike, and never more than half of them.
            length = (
                FIRST_EJECTION_US
                * min(MAX_EJECTION_FACTOR, 1 << min(s.ejection_count, 10))
                * self.rng.uniform(0.75, 1.25)
            )
            s.ejection_count += 1
            s.ejected_until = self.now + int(length)
            self.ejected_count += not s.counted_ejected
            s.counted_ejected = True
            self.schedule_timer(s.ejected_until, -s.entry.endpoint)
            name = f"server {s.entry.endpoint:012x}"
            self.actions.append(Log(f"{name} ejected after {e.status.name}, badness {s.error_score:.2f}"))

    def on_list_update(self, e: ListUpdate) -> None:
        """Applies a list from discovery, or schedules the next call to discovery after a failed one."""
        if e.kind is ListKind.FAILED:
            self.discovery_failures += 1
            wait = min(
                self.settings.ask_every_us / 20 * 2 ** min(self.discovery_failures - 1, 3), WATCH_PAUSE_US
            )
            self.watch_at = self.now + int(wait * self.rng.uniform(0.5, 1.5))
            return
        if e.kind is not ListKind.CACHED:
            self.discovery_failures = 0
        elif not self.settings.pushed_discovery:
            self.watch_at = self.now + int(
                self.rng.uniform(0, min(self.settings.ask_every_us / 10, US_PER_S))
            )
        changed = []
        for entry in e.entries:
            server = self.servers.get(entry.endpoint)
            if server and (entry.state is State.GONE or server.entry.since_us != entry.since_us):
                self.remove_server(server)
            if entry.state is State.GONE:
                continue
            if entry.endpoint in self.servers and server:
                server.entry = entry
            else:
                server = self.servers[entry.endpoint] = Server(entry, self.rng.random(), self.now)
            changed.append(server)
        if e.kind is not ListKind.DELTA:
            named = {entry.endpoint for entry in e.entries}
            for s in [s for x, s in self.servers.items() if x not in named]:
                self.remove_server(s)
        # Skipped when a watch on a long list answers without a change.
        if e.kind is not ListKind.DELTA or e.entries or len(self.ready) <= FULL_SCAN_SERVERS:
            self.assign_subsets(changed)
        # The burst allowance starts at 0, because there is no sign of free capacity yet.
        if not self.samples:
            self.mean_occupied_slots = self.slots

    def remove_server(self, s: Server) -> None:
        """Removes a server that is gone or was restarted, and subtracts its amounts from the sums."""
        s.entry = replace(s.entry, state=State.GONE)
        self.ejected_count -= s.counted_ejected
        s.counted_ejected = False
        self.refresh_sums(s)
        del self.servers[s.entry.endpoint]
