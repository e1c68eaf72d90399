"""State machine of discovery, without I/O: one list of nodes per tier, as specified in PROTOCOL-slatehub.md.
Handles what is published and when, revisions, watches, the queue of calls and discovery's own faults. The
engine reports changes of nodes with `set_node`; they are published `discovery.delay` later.

`now` is in whole microseconds and never decreases. Nodes that are set at the time of construction are published
at once.

A call first waits in a queue (served at discovery.capacity calls per second; 503 after discovery.timeout), is
then processed for discovery.answer, and gets the list as it is at that moment. A watch without changes waits
on: it is answered discovery.answer after the list changes, or with no entries once its wait time, counted from
its arrival, is over."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass
from itertools import takewhile
from math import ceil, inf

from slatelab.scenario import Scenario

MAX_OPEN_CALLS = 10_000  # open calls; further ones get 503
HISTORY = 1_000  # revisions; a caller that is further behind gets the complete list
MAX_WAIT_US = 60_000_000
PHASE_DELETED = "DELETED"
SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A node as published; `phase` is SERVING, DRAINING or, only in lists of changes, DELETED."""

    node: str
    phase: str
    host_port: str
    started_at_us: int  # last start of the node; 0: long ago


@dataclass(frozen=True, slots=True)
class RegistryResponse:
    """The answer to a call. `status` is 200, or 503 (queued too long, too many calls, or discovery is down), which
    leaves the other fields empty. `complete`: `entries` are all nodes; otherwise they are the current states of the
    nodes that changed after the requested revision."""

    call_id: int
    proxy: str
    status: int
    revision: int = 0
    complete: bool = False
    entries: tuple[RegistryEntry, ...] = ()


@dataclass(slots=True)
class _Call:
    call_id: int
    proxy: str
    tier: int
    since: int | None
    arrived_at: int
    until: int  # end of a watch
    due: int = 0  # end of its processing


class _TierList:
    """The node list of one tier."""

    def __init__(self) -> None:
        self.revision = 1  # 0 is the revision of a proxy that has not called yet
        # Actual states; deleted nodes remain while they are in the history.
        self.current: dict[str, RegistryEntry] = {}
        self.false_deletions: frozenset[str] = frozenset()  # nodes falsely published as deleted
        # By node: the revision of its last change and its entry, ordered by that revision.
        self.published: OrderedDict[str, tuple[int, RegistryEntry]] = OrderedDict()
        self.deletions: deque[tuple[int, str]] = deque()  # (revision, node)

    def update(self, new: RegistryEntry) -> bool:
        """Sets the state of a node. Returns whether the published list changes."""
        self.current[new.node] = new
        return self._publish(new.node)

    def set_false_deletions(self, deletions: tuple[str, ...]) -> bool:
        affected_nodes = {**dict.fromkeys(self.false_deletions), **dict.fromkeys(deletions)}
        self.false_deletions = frozenset(deletions)
        return any([self._publish(node) for node in sorted(affected_nodes) if node in self.current])

    def _publish(self, node: str) -> bool:
        new = self.current[node]
        if node in self.false_deletions:
            new = RegistryEntry(node, PHASE_DELETED, new.host_port, new.started_at_us)
        old = self.published[node][1] if node in self.published else None
        if new == old or (new.phase == PHASE_DELETED and (old is None or old.phase == PHASE_DELETED)):
            return False
        self.revision += 1
        self.published[node] = self.revision, new
        self.published.move_to_end(node)
        if new.phase == PHASE_DELETED:
            self.deletions.append((self.revision, node))
        self._drop_history()
        return True

    def _drop_history(self) -> None:
        """Drops deleted nodes that are older than the history: callers that far behind get the complete list,
        which has no deleted nodes."""
        while self.deletions and self.deletions[0][0] <= self.revision - HISTORY:
            revision, node = self.deletions.popleft()
            if node in self.published and self.published[node][0] == revision:
                del self.published[node]
                if self.current[node].phase == PHASE_DELETED:
                    del self.current[node]

    def has_changes(self, since: int | None) -> bool:
        return since is None or since != self.revision

    def entries(self, since: int | None) -> tuple[bool, tuple[RegistryEntry, ...]]:
        """Whether the answer is the complete list, and its entries; changes in the order in which they occurred."""
        if since is None or not max(1, self.revision - HISTORY) <= since <= self.revision:
            return True, tuple(shown for _, shown in self.published.values() if shown.phase != PHASE_DELETED)
        newer = takewhile(lambda entry: entry[0] > since, reversed(self.published.values()))
        return False, tuple(shown for _, shown in newer)[::-1]


class Registry:
    """Calls are identified by ids chosen by the engine. Each call passed to `receive_call` gets exactly one
    RegistryResponse from a later `advance`, unless `set_down` breaks it or it is cancelled. Each method first
    processes all events up to its `now`."""

    def __init__(self, scenario: Scenario, now: int) -> None:
        settings = scenario.discovery
        self._delay, self._answer, self._timeout = settings.delay, settings.answer, settings.timeout
        self._slot_interval = SECOND_US / settings.capacity if settings.capacity else 0.0
        self._start = self._now = now
        self._next_slot = float(now)  # earliest time at which the next queued call is processed
        self._down = False
        self._tier_lists = [_TierList() for _ in scenario.tiers]
        # Entries are (publication time, tier, entry).
        self._pending_changes: deque[tuple[int, int, RegistryEntry]] = deque()
        self._queue: OrderedDict[int, _Call] = OrderedDict()  # calls waiting to be processed
        self._in_progress: OrderedDict[int, _Call] = OrderedDict()  # calls being processed, in order of `due`
        self._watches: dict[int, _Call] = {}
        # Heap of (until, call id), also of watches already answered.
        self._watch_ends: list[tuple[int, int]] = []
        self._responses: list[RegistryResponse] = []

    def set_node(self, now: int, node: str, phase: str, tier: int, host_port: str, up_since_us: int) -> None:
        """The state of the node from `now` on; it is published discovery.delay later."""
        self._advance_to(now)
        shown = RegistryEntry(node, phase, host_port, up_since_us)
        if now == self._start:
            self._publish_change(now, tier, shown)
        else:
            self._pending_changes.append((now + self._delay, tier, shown))
            self._advance_to(now)

    def receive_call(
        self, now: int, proxy: str, tier: int, since: int | None, wait_us: int, call_id: int
    ) -> None:
        """A call has arrived: with `since` None for the complete list, else a watch that waits up to `wait_us` (at
        most a minute). Raises ValueError if the id is in use."""
        self._advance_to(now)
        if any(call_id in calls for calls in (self._queue, self._in_progress, self._watches)):
            raise ValueError(f"ticket {call_id} is in use")
        call = _Call(call_id, proxy, tier, since, now, now + min(wait_us, MAX_WAIT_US))
        if self._down or len(self._queue) + len(self._in_progress) + len(self._watches) >= MAX_OPEN_CALLS:
            self._responses.append(RegistryResponse(call_id, proxy, 503))
            return
        self._queue[call_id] = call
        self._advance_to(now)

    def next_event_time(self) -> int | None:
        """When `advance` next has something to do, never before the last `now`; None if there is no event without
        new input."""
        if self._responses:
            return self._now
        at = self._next()
        return None if at == inf else int(at)

    def advance(self, now: int) -> list[RegistryResponse]:
        """The responses made up to `now`, in order."""
        self._advance_to(now)
        responses, self._responses = self._responses, []
        return responses

    def set_down(self, now: int, down: bool) -> list[int]:
        """Discovery goes down or comes back up. Returns the sorted ids of all open calls, which break now. While it
        is down new calls get 503; changes of nodes are visible once it is back."""
        self._advance_to(now)
        self._down = down
        broken_calls = sorted([*self._queue, *self._in_progress, *self._watches]) if down else []
        for call_id in broken_calls:
            self.cancel_call(call_id)
        return broken_calls

    def set_false_deletions(self, now: int, tier: int, deletions: tuple[str, ...]) -> None:
        """From now on exactly these nodes of the tier are falsely published as deleted; () ends the fault."""
        self._advance_to(now)
        if self._tier_lists[tier].set_false_deletions(deletions):
            self._wake_watches(now, tier)

    def cancel_call(self, call_id: int) -> None:
        """The caller has closed the connection: the call gets no RegistryResponse and leaves the queue."""
        for calls in (self._queue, self._in_progress, self._watches):
            calls.pop(call_id, None)
        if self._responses:
            self._responses = [response for response in self._responses if response.call_id != call_id]

    # ---------------------------------------------------------------- time

    def _next(self) -> float:
        """The time of the next event; inf if there is none."""
        while self._watch_ends and self._watch_ends[0][1] not in self._watches:
            heapq.heappop(self._watch_ends)
        return min(
            self._pending_changes[0][0] if self._pending_changes else inf,
            self._queue_end(next(iter(self._queue.values()))) if self._queue else inf,
            next(iter(self._in_progress.values())).due if self._in_progress else inf,
            self._watch_ends[0][0] if self._watch_ends else inf,
        )

    def _queue_end(self, first: _Call) -> int:
        """When the first call in the queue is processed or times out."""
        return min(max(first.arrived_at, ceil(self._next_slot)), first.arrived_at + self._timeout)

    def _advance_to(self, now: int) -> None:
        while (at := self._next()) <= now:
            self._process_event(int(at))
        self._now = now

    def _process_event(self, at: int) -> None:
        """Processes one event of this time. Changes come first, so that a response at the same time includes
        them."""
        if self._pending_changes and self._pending_changes[0][0] == at:
            self._publish_change(*self._pending_changes.popleft())
        elif self._queue and self._queue_end(next(iter(self._queue.values()))) == at:
            self._start_call(at, self._queue.popitem(last=False)[1])
        elif self._in_progress and next(iter(self._in_progress.values())).due == at:
            self._finish_call(at, self._in_progress.popitem(last=False)[1])
        else:
            self._respond(self._watches.pop(heapq.heappop(self._watch_ends)[1]))

    def _publish_change(self, at: int, tier: int, shown: RegistryEntry) -> None:
        if self._tier_lists[tier].update(shown):
            self._wake_watches(at, tier)

    def _wake_watches(self, at: int, tier: int) -> None:
        """Starts to process the watches of the tier."""
        affected = [call for call in self._watches.values() if call.tier == tier]
        for call in affected:
            call.due = at + self._answer
            self._in_progress[call.call_id] = self._watches.pop(call.call_id)

    def _start_call(self, at: int, call: _Call) -> None:
        if ceil(self._next_slot) > at:  # it has timed out
            self._responses.append(RegistryResponse(call.call_id, call.proxy, 503))
            return
        # Counted from the exact end of the slot before: rounding to microseconds would lower the rate.
        self._next_slot = max(self._next_slot, call.arrived_at) + self._slot_interval
        call.due = at + self._answer
        self._in_progress[call.call_id] = call

    def _finish_call(self, at: int, call: _Call) -> None:
        if self._tier_lists[call.tier].has_changes(call.since) or call.until <= at:
            self._respond(call)
            return
        self._watches[call.call_id] = call
        heapq.heappush(self._watch_ends, (call.until, call.call_id))
        # Rebuilds the heap if many watches were cancelled or answered early.
        if len(self._watch_ends) > 2 * len(self._watches) + 64:
            self._watch_ends = sorted((call.until, call.call_id) for call in self._watches.values())

    def _respond(self, call: _Call) -> None:
        current = self._tier_lists[call.tier]
        complete, entries = current.entries(call.since)
        self._responses.append(
            RegistryResponse(call.call_id, call.proxy, 200, current.revision, complete, entries)
        )
