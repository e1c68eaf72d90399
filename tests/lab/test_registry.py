"""Registry: the node list that a calling and watching proxy ends up with, under any sequence of events."""

from __future__ import annotations

from itertools import count
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatelab.plant import registry as registry_module
from slatelab.plant.registry import Registry, RegistryEntry, RegistryResponse
from slatelab.scenario import parse

MS, S = 1_000, 1_000_000


def registry(**discovery: Any) -> Registry:
    """A registry with two nodes in the first of its two tiers."""
    tiers = [{"name": name, "kind": [{"name": name, "nodes": 1}]} for name in ("front", "back")]
    result = Registry(parse({
        "scenario": {"name": "x", "duration": "60 s"}, "arrivals": [{"kind": "steady", "rate": "1/s"}],
        "class": [{"name": "a", "work": {"mean": "10 ms"}}], "discovery": discovery, "tier": tiers,
    }), 0)  # fmt: skip
    for n in range(2):
        result.set_node(0, f"s-{n}", "SERVING", 0, "127.16.0.9:80", 0)
    return result


def advance_to(reg: Registry, until: int) -> list[tuple[int, RegistryResponse]]:
    responses = []
    while (due := reg.next_event_time()) is not None and due <= until:
        responses += [(due, answer) for answer in reg.advance(due)]
    return responses


def test_a_watch_covers_its_tier_ends_empty_and_gets_the_complete_list_for_an_unknown_revision() -> None:
    reg = registry()
    reg.receive_call(0, "p", 0, None, 0, 1)
    [(at, first_list)] = advance_to(reg, S)
    assert at == MS and first_list.complete and [shown.node for shown in first_list.entries] == ["s-0", "s-1"]
    reg.receive_call(S, "p", 0, first_list.revision, 90 * S, 2)
    reg.set_node(2 * S, "b-0", "SERVING", 1, "127.16.1.0:80", 0)
    assert advance_to(reg, 100 * S) == [
        (61 * S, RegistryResponse(2, "p", 200, first_list.revision, False, ()))
    ]
    for ticket, since in enumerate((first_list.revision + 1, 0), 3):
        reg.receive_call(100 * S, "p", 0, since, 20 * S, ticket)
    assert [(all_.complete, all_.entries) for _, all_ in advance_to(reg, 101 * S)] == [
        (True, first_list.entries)
    ] * 2


def test_calls_queue_in_order_and_fail_after_the_timeout_or_beyond_the_limit() -> None:
    reg = registry(capacity="3/s")
    for ticket in range(registry_module.MAX_OPEN_CALLS + 1):
        reg.receive_call(0, "p", 0, None, 0, ticket)
    assert [(answer.call_id, answer.status) for answer in reg.advance(0)] == [
        (registry_module.MAX_OPEN_CALLS, 503)
    ]
    with pytest.raises(ValueError, match="ticket 5 is in use"):
        reg.receive_call(0, "p", 0, None, 0, 5)
    for ticket in (1, *range(6, registry_module.MAX_OPEN_CALLS)):
        reg.cancel_call(ticket)
    responses = [(at, answer.call_id, answer.status) for at, answer in advance_to(reg, 9 * S)]
    assert responses == [(MS, 0, 200), (334_334, 2, 200), (667_667, 3, 200), (S, 5, 503), (S + MS, 4, 200)]


NODES, PHASES = [f"s-{n}" for n in range(4)], ["SERVING", "DRAINING", "DELETED"]
STEP = st.one_of(
    st.tuples(st.just("put"), st.sampled_from(NODES), st.sampled_from(PHASES)),
    st.tuples(st.just("wait"), st.sampled_from([0, 1, 300, 2 * MS, 900 * MS, 25 * S])),
    st.tuples(st.just("down"), st.booleans()),
    st.tuples(st.just("outage"), st.lists(st.tuples(*map(st.sampled_from, (NODES, PHASES))), max_size=4)),
    st.tuples(st.just("lie"), st.lists(st.sampled_from(NODES), max_size=2).map(tuple)),
    st.just(("hang_up",)),
)


class WatchingProxy:
    """The registry, the states that were set, and one proxy that calls again as soon as it has an answer."""

    def __init__(self, crowded: bool) -> None:
        self.reg = registry(delay="1 ms", **({"capacity": "400/s", "timeout": "4 ms"} if crowded else {}))
        self.changes = [(0, RegistryEntry(node, "SERVING", "127.16.0.9:80", 0)) for node in NODES[:2]]
        self.now, self.revision, self.tickets, self.open_call, self.is_down = 0, 0, count(), -1, False
        self.false_deletions: tuple[str, ...] = ()
        self.known_nodes: dict[str, RegistryEntry] = {}

    def truth(self) -> dict[str, RegistryEntry]:
        """The nodes that should be published now."""
        shown = {new.node: new for at, new in self.changes if at <= self.now}
        return {
            n: new for n, new in shown.items() if new.phase != "DELETED" and n not in self.false_deletions
        }

    def ask(self) -> None:
        self.open_call = next(self.tickets)
        self.reg.receive_call(self.now, "p", 0, self.revision or None, 20 * S, self.open_call)

    def wait(self, span: int) -> None:
        end = self.now + span
        while (due := self.reg.next_event_time()) is not None and due <= end:
            self.now = due
            for answer in self.reg.advance(due):
                self.handle_response(answer)
        self.now = end
        assert span < 900 * MS or self.is_down or self.known_nodes == self.truth()

    def handle_response(self, answer: RegistryResponse) -> None:
        assert answer.call_id == self.open_call and (answer.status == 503 or answer.revision >= self.revision)
        self.open_call = -1
        if answer.status == 200:
            assert not self.is_down
            told = {shown.node: shown for shown in answer.entries}
            assert len(told) == len(answer.entries)
            known = told if answer.complete else {**self.known_nodes, **told}
            self.known_nodes = {n: shown for n, shown in known.items() if shown.phase != "DELETED"}
            assert self.known_nodes == self.truth()
            self.revision = answer.revision
        if not self.is_down:
            self.ask()

    def put(self, node: str, phase: str) -> None:
        new = RegistryEntry(node, phase, "127.16.0.9:80", self.now)
        self.reg.set_node(self.now, node, phase, 0, new.host_port, self.now)
        self.changes.append((self.now + MS * (self.now > 0), new))

    def outage(self, puts: list[tuple[str, str]]) -> None:
        self.down(True)
        for put in puts:
            self.put(*put)
        self.wait(2 * MS)
        self.down(False)

    def down(self, yes: bool) -> None:
        self.is_down = yes
        if broken := self.reg.set_down(self.now, yes):
            assert yes and broken == [self.open_call]
            self.open_call = -1
        # No call is open except one that gets a 503.
        assert not yes or self.open_call < 0 or self.reg.next_event_time() == self.now

    def lie(self, gone: tuple[str, ...]) -> None:
        self.reg.set_false_deletions(self.now, 0, gone)
        self.false_deletions = gone

    def hang_up(self) -> None:
        self.reg.cancel_call(self.open_call)
        self.open_call = -1


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.lists(STEP, max_size=40), st.booleans(), st.sampled_from([1, 4, 1000]))
def test_a_proxy_that_always_watches_has_the_published_list(
    steps: list[Any], crowded: bool, history: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(registry_module, "HISTORY", history)
        proxy = WatchingProxy(crowded)
        for name, *how in [*steps, ("down", False), ("wait", S)]:
            if proxy.open_call < 0:
                proxy.ask()
            getattr(proxy, name)(*how)
