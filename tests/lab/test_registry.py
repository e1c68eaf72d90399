"""Registry: what a proxy that asks and watches ends up knowing, whatever happens meanwhile."""

from __future__ import annotations

from itertools import count
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatelab.plant import registry as machine
from slatelab.plant.registry import Registry, RegistryEntry, RegistryResponse
from slatelab.scenario import parse

MS, S = 1_000, 1_000_000


def registry(**discovery: Any) -> Registry:
    """With two nodes in the first of its two tiers."""
    tiers = [{"name": name, "kind": [{"name": name, "nodes": 1}]} for name in ("front", "back")]
    made = Registry(parse({
        "scenario": {"name": "x", "duration": "60 s"}, "arrivals": [{"kind": "steady", "rate": "1/s"}],
        "class": [{"name": "a", "work": {"mean": "10 ms"}}], "discovery": discovery, "tier": tiers,
    }), 0)  # fmt: skip
    for n in range(2):
        made.set_node(0, f"s-{n}", "SERVING", 0, "127.16.0.9:80", 0)
    return made


def play(reg: Registry, until: int) -> list[tuple[int, RegistryResponse]]:
    heard = []
    while (due := reg.next_event_time()) is not None and due <= until:
        heard += [(due, answer) for answer in reg.advance(due)]
    return heard


def test_a_watch_hears_of_its_tier_ends_empty_and_gets_all_where_it_knows_another_history() -> None:
    reg = registry()
    reg.receive_call(0, "p", 0, None, 0, 1)
    [(at, whole)] = play(reg, S)
    assert at == MS and whole.complete and [shown.node for shown in whole.entries] == ["s-0", "s-1"]
    reg.receive_call(S, "p", 0, whole.revision, 90 * S, 2)
    reg.set_node(2 * S, "b-0", "SERVING", 1, "127.16.1.0:80", 0)
    assert play(reg, 100 * S) == [(61 * S, RegistryResponse(2, "p", 200, whole.revision, False, ()))]
    for ticket, since in enumerate((whole.revision + 1, 0), 3):
        reg.receive_call(100 * S, "p", 0, since, 20 * S, ticket)
    assert [(all_.complete, all_.entries) for _, all_ in play(reg, 101 * S)] == [(True, whole.entries)] * 2


def test_calls_wait_in_turn_and_fail_when_that_takes_too_long_or_too_many_wait() -> None:
    reg = registry(capacity="3/s")
    for ticket in range(machine.MAX_OPEN_CALLS + 1):
        reg.receive_call(0, "p", 0, None, 0, ticket)
    assert [(answer.call_id, answer.status) for answer in reg.advance(0)] == [(machine.MAX_OPEN_CALLS, 503)]
    with pytest.raises(ValueError, match="ticket 5 is in use"):
        reg.receive_call(0, "p", 0, None, 0, 5)
    for ticket in (1, *range(6, machine.MAX_OPEN_CALLS)):
        reg.cancel_call(ticket)
    heard = [(at, answer.call_id, answer.status) for at, answer in play(reg, 9 * S)]
    assert heard == [(MS, 0, 200), (334_334, 2, 200), (667_667, 3, 200), (S, 5, 503), (S + MS, 4, 200)]


NODES, PHASES = [f"s-{n}" for n in range(4)], ["SERVING", "DRAINING", "DELETED"]
STEP = st.one_of(
    st.tuples(st.just("put"), st.sampled_from(NODES), st.sampled_from(PHASES)),
    st.tuples(st.just("wait"), st.sampled_from([0, 1, 300, 2 * MS, 900 * MS, 25 * S])),
    st.tuples(st.just("down"), st.booleans()),
    st.tuples(st.just("outage"), st.lists(st.tuples(*map(st.sampled_from, (NODES, PHASES))), max_size=4)),
    st.tuples(st.just("lie"), st.lists(st.sampled_from(NODES), max_size=2).map(tuple)),
    st.just(("hang_up",)),
)


class Watched:
    """The registry, what has truly been set, and one proxy that asks again as soon as it has an answer."""

    def __init__(self, crowded: bool) -> None:
        self.reg = registry(delay="1 ms", **({"capacity": "400/s", "timeout": "4 ms"} if crowded else {}))
        self.sets = [(0, RegistryEntry(node, "SERVING", "127.16.0.9:80", 0)) for node in NODES[:2]]
        self.now, self.revision, self.tickets, self.out, self.is_down = 0, 0, count(), -1, False
        self.lied: tuple[str, ...] = ()
        self.knows: dict[str, RegistryEntry] = {}

    def truth(self) -> dict[str, RegistryEntry]:
        """What is to be shown now."""
        shown = {new.node: new for at, new in self.sets if at <= self.now}
        return {n: new for n, new in shown.items() if new.phase != "DELETED" and n not in self.lied}

    def ask(self) -> None:
        self.out = next(self.tickets)
        self.reg.receive_call(self.now, "p", 0, self.revision or None, 20 * S, self.out)

    def wait(self, span: int) -> None:
        end = self.now + span
        while (due := self.reg.next_event_time()) is not None and due <= end:
            self.now = due
            for answer in self.reg.advance(due):
                self.hear(answer)
        self.now = end
        assert span < 900 * MS or self.is_down or self.knows == self.truth()

    def hear(self, answer: RegistryResponse) -> None:
        assert answer.call_id == self.out and (answer.status == 503 or answer.revision >= self.revision)
        self.out = -1
        if answer.status == 200:
            assert not self.is_down
            told = {shown.node: shown for shown in answer.entries}
            assert len(told) == len(answer.entries)
            known = told if answer.complete else {**self.knows, **told}
            self.knows = {n: shown for n, shown in known.items() if shown.phase != "DELETED"}
            assert self.knows == self.truth()
            self.revision = answer.revision
        if not self.is_down:
            self.ask()

    def put(self, node: str, phase: str) -> None:
        new = RegistryEntry(node, phase, "127.16.0.9:80", self.now)
        self.reg.set_node(self.now, node, phase, 0, new.host_port, self.now)
        self.sets.append((self.now + MS * (self.now > 0), new))

    def outage(self, puts: list[tuple[str, str]]) -> None:
        self.down(True)
        for put in puts:
            self.put(*put)
        self.wait(2 * MS)
        self.down(False)

    def down(self, yes: bool) -> None:
        self.is_down = yes
        if broken := self.reg.set_down(self.now, yes):
            assert yes and broken == [self.out]
            self.out = -1
        assert (
            not yes or self.out < 0 or self.reg.next_event_time() == self.now
        )  # nothing is left open but a 503

    def lie(self, gone: tuple[str, ...]) -> None:
        self.reg.set_false_deletions(self.now, 0, gone)
        self.lied = gone

    def hang_up(self) -> None:
        self.reg.cancel_call(self.out)
        self.out = -1


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.lists(STEP, max_size=40), st.booleans(), st.sampled_from([1, 4, 1000]))
def test_who_always_watches_knows_what_is_shown(steps: list[Any], crowded: bool, history: int) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(machine, "HISTORY", history)
        watched = Watched(crowded)
        for name, *how in [*steps, ("down", False), ("wait", S)]:
            if watched.out < 0:
                watched.ask()
            getattr(watched, name)(*how)
