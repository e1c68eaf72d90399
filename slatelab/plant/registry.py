"""Discovery, without I/O: the lists of nodes, one for each tier, as PROTOCOL-slatehub.md's section on it
words them. This file owns what is shown and when, revisions, watches, the turn of each call, and discovery's
own troubles. It must never know which node lives: it is told by `set_node`, and shows it `discovery.delay` later.

`now` is whole microseconds and never runs backwards. What was set at the very moment of construction stands
from the beginning and is shown at once.

The way of a call: it waits for its turn (discovery.capacity turns a second; 503 once it has waited
discovery.timeout), is worked on for discovery.answer, and is answered, as the list stands at that moment. A
watch without news then waits; it is answered discovery.answer after the list changes, or empty once its time
is over, counted from when it came."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass
from itertools import takewhile
from math import ceil, inf

from slatelab.scenario import Scenario

MAX_OPEN_CALLS = 10_000  # calls at a time; beyond these: 503
HISTORY = 1_000  # revisions; whoever is further behind gets the whole list
LONGEST_WAIT = 60_000_000
PHASE_DELETED = "DELETED"
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A node as the list shows it; `phase` is SERVING, DRAINING or, only among changes, DELETED."""

    node: str
    phase: str
    host_port: str
    started_at_us: int  # when the node last started; 0: long ago


@dataclass(frozen=True, slots=True)
class RegistryResponse:
    """`status` 200, or 503: not answered in time, too many calls, or down; then the rest is empty.
    `complete`: these are all the nodes there are, else those that changed after the revision that was asked
    about, as they are now."""

    call_id: int
    proxy: str
    status: int
    revision: int = 0
    complete: bool = False
    entries: tuple[RegistryEntry, ...] = ()


@dataclass(slots=True)
class _Ask:
    call_id: int
    proxy: str
    tier: int
    since: int | None
    came: int
    until: int  # when a watch ends
    due: int = 0  # when the work on it is done


class _List:
    """The list of one tier."""

    def __init__(self) -> None:
        self.revision = 1  # 0 is that of a proxy which has not asked yet
        self.known: dict[str, RegistryEntry] = {}  # without lies, gone ones too until they are forgotten
        self.lies: frozenset[str] = frozenset()  # nodes told as gone
        self.told: OrderedDict[str, tuple[int, RegistryEntry]] = (
            OrderedDict()
        )  # by the revision of the last change
        self.gone: deque[tuple[int, str]] = deque()

    def put(self, new: RegistryEntry) -> bool:
        """Whether what is shown changes."""
        self.known[new.node] = new
        return self._tell(new.node)

    def lie(self, gone: tuple[str, ...]) -> bool:
        lied = {**dict.fromkeys(self.lies), **dict.fromkeys(gone)}
        self.lies = frozenset(gone)
        return any([self._tell(node) for node in sorted(lied) if node in self.known])

    def _tell(self, node: str) -> bool:
        new = self.known[node]
        if node in self.lies:
            new = RegistryEntry(node, PHASE_DELETED, new.host_port, new.started_at_us)
        old = self.told[node][1] if node in self.told else None
        if new == old or (new.phase == PHASE_DELETED and (old is None or old.phase == PHASE_DELETED)):
            return False
        self.revision += 1
        self.told[node] = self.revision, new
        self.told.move_to_end(node)
        if new.phase == PHASE_DELETED:
            self.gone.append((self.revision, node))
        self._forget()
        return True

    def _forget(self) -> None:
        """Gone nodes that only the whole list, which leaves them out, could still be asked about."""
        while self.gone and self.gone[0][0] <= self.revision - HISTORY:
            revision, node = self.gone.popleft()
            if node in self.told and self.told[node][0] == revision:
                del self.told[node]
                if self.known[node].phase == PHASE_DELETED:
                    del self.known[node]

    def news(self, since: int | None) -> bool:
        return since is None or since != self.revision

    def entries(self, since: int | None) -> tuple[bool, tuple[RegistryEntry, ...]]:
        """Whether it is the whole list, and what it holds; changes in the order in which they came."""
        if since is None or not max(1, self.revision - HISTORY) <= since <= self.revision:
            return True, tuple(shown for _, shown in self.told.values() if shown.phase != PHASE_DELETED)
        newer = takewhile(lambda entry: entry[0] > since, reversed(self.told.values()))
        return False, tuple(shown for _, shown in newer)[::-1]


class Registry:
    """Calls are known by the engine's tickets. Each call given to `receive_call` gets exactly one RegistryResponse
    from a later `advance`, unless `set_down` names it or it is forgotten. What happens before the `now` of any
    call is played first."""

    def __init__(self, scenario: Scenario, now: int) -> None:
        what = scenario.discovery
        self._delay, self._answer, self._timeout = what.delay, what.answer, what.timeout
        self._gap = SECOND / what.capacity if what.capacity else 0.0
        self._begin = self._at = now
        self._free = float(now)  # from when the next call can have its turn
        self._down = False
        self._lists = [_List() for _ in scenario.tiers]
        self._coming: deque[tuple[int, int, RegistryEntry]] = deque()  # when it will be shown, tier, what
        self._line: OrderedDict[int, _Ask] = OrderedDict()  # wait for their turn
        self._hands: OrderedDict[int, _Ask] = OrderedDict()  # are worked on, by `due`
        self._watches: dict[int, _Ask] = {}
        self._ends: list[tuple[int, int]] = []  # of watches, some long answered: (until, ticket)
        self._done: list[RegistryResponse] = []

    def set_node(self, now: int, node: str, phase: str, tier: int, host_port: str, up_since_us: int) -> None:
        """The node is so from now on; it is shown discovery.delay later."""
        self._play(now)
        shown = RegistryEntry(node, phase, host_port, up_since_us)
        if now == self._begin:
            self._show(now, tier, shown)
        else:
            self._coming.append((now + self._delay, tier, shown))
            self._play(now)

    def receive_call(
        self, now: int, proxy: str, tier: int, since: int | None, wait_us: int, ticket: int
    ) -> None:
        """A call has come: `since` None for the whole list, else a watch that waits for up to `wait_us` (at
        most a minute). Raises ValueError if the ticket is in use."""
        self._play(now)
        if any(ticket in calls for calls in (self._line, self._hands, self._watches)):
            raise ValueError(f"ticket {ticket} is in use")
        ask = _Ask(ticket, proxy, tier, since, now, now + min(wait_us, LONGEST_WAIT))
        if self._down or len(self._line) + len(self._hands) + len(self._watches) >= MAX_OPEN_CALLS:
            self._done.append(RegistryResponse(ticket, proxy, 503))
            return
        self._line[ticket] = ask
        self._play(now)

    def next_event_time(self) -> int | None:
        """When `advance` next has something to do, never before the time last told; None: not by itself."""
        if self._done:
            return self._at
        at = self._next()
        return None if at == inf else int(at)

    def advance(self, now: int) -> list[RegistryResponse]:
        """What has been answered up to now, in order."""
        self._play(now)
        done, self._done = self._done, []
        return done

    def set_down(self, now: int, yes: bool) -> list[int]:
        """It goes down, or comes back. The tickets of all open calls, which break now, in the order of their
        numbers. While it is down new calls get 503; what happens to nodes is shown once it is back."""
        self._play(now)
        self._down = yes
        broken = sorted([*self._line, *self._hands, *self._watches]) if yes else []
        for ticket in broken:
            self.cancel_call(ticket)
        return broken

    def set_false_deletions(self, now: int, tier: int, gone: tuple[str, ...]) -> None:
        """From now on these nodes of the tier, and only these, are told as gone though they are not; () ends
        the lie."""
        self._play(now)
        if self._lists[tier].lie(gone):
            self._wake(now, tier)

    def cancel_call(self, ticket: int) -> None:
        """The caller has hung up: no RegistryResponse comes, and its place in the line is free."""
        for calls in (self._line, self._hands, self._watches):
            calls.pop(ticket, None)
        if self._done:
            self._done = [answer for answer in self._done if answer.call_id != ticket]

    # ---------------------------------------------------------------- time

    def _next(self) -> float:
        """The moment of the next thing that happens."""
        while self._ends and self._ends[0][1] not in self._watches:
            heapq.heappop(self._ends)
        return min(
            self._coming[0][0] if self._coming else inf,
            self._turn(next(iter(self._line.values()))) if self._line else inf,
            next(iter(self._hands.values())).due if self._hands else inf,
            self._ends[0][0] if self._ends else inf,
        )

    def _turn(self, first: _Ask) -> int:
        """When the first in the line gets its turn or has waited too long."""
        return min(max(first.came, ceil(self._free)), first.came + self._timeout)

    def _play(self, now: int) -> None:
        while (at := self._next()) <= now:
            self._step(int(at))
        self._at = now

    def _step(self, at: int) -> None:
        """One thing that happens at this moment. Changes come first, so that an answer of the same moment has
        them."""
        if self._coming and self._coming[0][0] == at:
            self._show(*self._coming.popleft())
        elif self._line and self._turn(next(iter(self._line.values()))) == at:
            self._take(at, self._line.popitem(last=False)[1])
        elif self._hands and next(iter(self._hands.values())).due == at:
            self._reply(at, self._hands.popitem(last=False)[1])
        else:
            self._finish(self._watches.pop(heapq.heappop(self._ends)[1]))

    def _show(self, at: int, tier: int, shown: RegistryEntry) -> None:
        if self._lists[tier].put(shown):
            self._wake(at, tier)

    def _wake(self, at: int, tier: int) -> None:
        """Work on the tier's watches begins."""
        woken = [ask for ask in self._watches.values() if ask.tier == tier]
        for ask in woken:
            ask.due = at + self._answer
            self._hands[ask.call_id] = self._watches.pop(ask.call_id)

    def _take(self, at: int, ask: _Ask) -> None:
        if ceil(self._free) > at:  # it has waited too long
            self._done.append(RegistryResponse(ask.call_id, ask.proxy, 503))
            return
        # from the exact end of the turn before: whole microseconds would add up to a slower rate
        self._free = max(self._free, ask.came) + self._gap
        ask.due = at + self._answer
        self._hands[ask.call_id] = ask

    def _reply(self, at: int, ask: _Ask) -> None:
        if self._lists[ask.tier].news(ask.since) or ask.until <= at:
            self._finish(ask)
            return
        self._watches[ask.call_id] = ask
        heapq.heappush(self._ends, (ask.until, ask.call_id))
        if len(self._ends) > 2 * len(self._watches) + 64:  # hung up or answered early, in a flood
            self._ends = sorted((ask.until, ask.call_id) for ask in self._watches.values())

    def _finish(self, ask: _Ask) -> None:
        known = self._lists[ask.tier]
        complete, entries = known.entries(ask.since)
        self._done.append(RegistryResponse(ask.call_id, ask.proxy, 200, known.revision, complete, entries))
