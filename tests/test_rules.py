"""The rules of the decision module, checked from the outside on random legal event sequences. There is no model of
servers or traffic."""

from __future__ import annotations

from dataclasses import dataclass, field

from helpers import MS, S, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from paddlestep import (
    Action,
    Arrival,
    Balancer,
    Cancel,
    ClientGone,
    Effect,
    Entry,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    Scope,
    Send,
    ServiceClass,
    SetTimer,
    State,
    Status,
    TimerFired,
)

KINDS = (
    ServiceClass("safe", Effect.SAFE, aim_us=200 * MS, deadline_us=500 * MS),
    ServiceClass("unsafe", Effect.UNSAFE, Scope.ALL, 150 * MS, aim_us=200 * MS, deadline_us=500 * MS),
    ServiceClass("cell", Effect.KEYED, Scope.CELL, 150 * MS, aim_us=200 * MS, deadline_us=500 * MS),
    ServiceClass("zone", Effect.KEYED, Scope.ZONE, 150 * MS, aim_us=200 * MS, deadline_us=500 * MS),
    ServiceClass("all", Effect.KEYED, Scope.ALL, 150 * MS, aim_us=200 * MS, deadline_us=500 * MS),
)
NEVER_RAN = {11, 111, 114}
GROUP = {e: (e % 2, e % 3) for e in range(1, 9)}  # cell, zone


@dataclass
class History:
    """The observed history of one request."""

    kind: ServiceClass
    due: int
    sent: list[tuple[int, int]] = field(default_factory=list)  # endpoint, when
    ended: list[int | None] = field(default_factory=list)
    over: bool = False

    def ran(self) -> list[int]:
        return [i for i, status in enumerate(self.ended) if status not in NEVER_RAN]


class World:
    def __init__(self, duplicate: bool, seed: int, tier: int) -> None:
        self.duplicate = duplicate
        config = settings(*KINDS, may_duplicate=duplicate, tiers=2, tier=tier, siblings=2, tick_us=1 * MS)
        self.balancer, self.now = Balancer(config, seed), 100 * S
        self.histories: dict[int, History] = {}
        self.timers: list[tuple[int, int]] = []
        self.barred: set[int] = set()
        self.give([ListUpdate(ListKind.CACHED, 1, self.entries(range(1, 9), State.READY))])

    def entries(self, which: range | set[int], state: State) -> tuple[Entry, ...]:
        return tuple(Entry(e, state, cell=GROUP[e][0], zone=GROUP[e][1]) for e in sorted(which))

    def give(self, events: list[Event]) -> None:
        for action in self.balancer.handle(self.now, events):
            self.check(action)

    def check(self, a: Action) -> None:
        if isinstance(a, SetTimer):
            self.timers.append((self.now + a.delay_us, a.token))
        elif isinstance(a, Send):
            book = self.histories[a.request]
            assert not book.over, "sent for a request that is over"
            assert a.endpoint not in self.barred, "sent to a draining or gone endpoint"
            assert len(book.sent) < 3
            if not self.duplicate:
                assert None not in book.ended, "two attempts at once"
            if book.ran() and book.kind.effect is not Effect.SAFE:
                assert book.kind.effect is Effect.KEYED, "unsafe request repeated"
                for i in book.ran():
                    before, when = book.sent[i]
                    assert self.now <= when + book.kind.memory_us, "sent after the memory span"
                    if book.kind.scope is not Scope.ALL:
                        part = 0 if book.kind.scope is Scope.CELL else 1
                        assert GROUP[before][part] == GROUP[a.endpoint][part], "sent outside the group"
            book.sent.append((a.endpoint, self.now))
            book.ended.append(None)
        elif isinstance(a, Refuse | Fail):
            book = self.histories[a.request]
            assert not book.over, "two final answers"
            if isinstance(a, Refuse) and book.ran():
                safe = book.kind.effect is Effect.SAFE
                keyed = book.kind.effect is Effect.KEYED and book.kind.scope is Scope.ALL
                assert safe or keyed, "unsafe refusal"
            book.over = True
        elif isinstance(a, Cancel):
            assert a.attempt < len(self.histories[a.request].sent)

    def end(self, pick: int, status: int) -> None:
        out = [(r, i) for r, b in self.histories.items() for i, s in enumerate(b.ended) if s is None]
        if not out:
            return
        request, attempt = out[pick % len(out)]
        book = self.histories[request]
        book.ended[attempt] = status
        book.over = book.over or status == 0
        endpoint, when = book.sent[attempt]
        self.give([Outcome(request, attempt, endpoint, Status(status), self.now - when, book.over)])

    def wait(self, us: int) -> None:
        until = self.now + us
        while True:
            due = [(t, 0, token) for t, token in self.timers]
            due += [(b.due, 1, r) for r, b in self.histories.items() if None in b.ended]
            first = min((d for d in due if d[0] <= until), default=None)
            if first is None:
                break
            self.now = max(self.now, first[0])
            if first[1] == 0:
                self.timers.remove((first[0], first[2]))
                self.give([TimerFired(first[2])])
            else:  # the client's deadline has passed: the attempt in flight times out
                book = self.histories[first[2]]
                i = book.ended.index(None)
                book.ended[i] = 110
                endpoint, when = book.sent[i]
                event = Outcome(first[2], i, endpoint, Status.TIMEOUT, self.now - when, book.over)
                self.give([event])
        self.now = until
        for b in self.histories.values():
            assert b.over or self.now <= b.due + 8 * MS, "no final answer in time"


STEP = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 4), st.integers(0, 400)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from([0, 0, 0, 5, 11, 104, 110, 111, 125])),
    st.tuples(st.just("wait"), st.integers(0, 120), st.just(0)),
    st.tuples(st.just("leave"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 255), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(1, 8), st.just(0)),
)


@hypothesis_settings(max_examples=250, derandomize=True, deadline=None, database=None)
@given(st.booleans(), st.integers(0, 3), st.integers(0, 1), st.lists(STEP, min_size=5, max_size=80))
def test_rules_hold_whatever_happens(duplicate, seed, tier, steps):
    w = World(duplicate, seed, tier)
    for number, (what, x, y) in enumerate(steps):
        if what == "ask":
            w.histories[number] = History(KINDS[x], w.now + y * MS)
            w.give([Arrival(number, x, left_us=y * MS)])
        elif what == "end":
            w.end(x, y)
        elif what == "wait":
            w.wait(x * MS)
        elif what == "leave":
            open_histories = [r for r, b in w.histories.items() if not b.over]
            if open_histories:
                w.histories[open_histories[x % len(open_histories)]].over = True
                w.give([ClientGone(open_histories[x % len(open_histories)])])
        elif what == "restart":
            w.barred.discard(x)
            entry = Entry(x, State.READY, w.now, cell=GROUP[x][0], zone=GROUP[x][1])
            w.give([ListUpdate(ListKind.DELTA, number, (entry,))])
        else:
            named = {e for e in range(1, 9) if x >> (e - 1) & 1}
            if y == 0:  # a full list: endpoints that it lacks are gone
                w.barred = set(range(1, 9)) - named
                w.give([ListUpdate(ListKind.FULL, number, w.entries(named, State.READY))])
            else:
                w.barred |= named
                state = State.DRAINING if y == 1 else State.GONE
                w.give([ListUpdate(ListKind.DELTA, number, w.entries(named, state))])
    w.wait(2 * S)
    assert all(b.over for b in w.histories.values())
    assert not w.balancer.requests and not w.balancer.queue
