"""The audit detects a violation of each rule and of each count."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from audit import Audit, assert_idle
from helpers import UNSAFE, settings

from paddlestep.interface import Entry, ListKind
from slatehub.core.dispatcher import Dispatcher
from slatelab.judge import RULES

S = 1_000_000


def served(a: Audit) -> None:
    a.came(10, "n", "r")
    a.replied(20, "n", "r", 200, token="x")
    a.answered(30, "r", 200, "x")


def sent(a: Audit, *nodes: str, turned: bool = False) -> None:
    for i, node in enumerate(nodes):
        a.came(10 + 20_000 * i, node, "r")
        a.replied(10_000 + 20_000 * i, node, "r", 503 if turned else 500, turned)


def cold(a: Audit) -> None:
    a.starts(5, "n", 1, True)
    for i in range(400):
        a.came(S + i, "n", f"q{i}", 20_000, 1)
    a.answered(3 * S, "r", 503)


VIOLATIONS: dict[str, Callable[[Audit], None]] = {
    "answered-once": lambda a: (served(a), a.answered(40, "r", 500)),
    "unanswered": lambda a: a.left(9 * S, "r"),
    "late-answer": lambda a: a.answered(6 * S + 51_000, "r", 503),
    "ran-twice": lambda a: (sent(a, "n", "m"), a.answered(S, "r", 500)),
    "order-ran-twice": lambda a: (
        served(a), a.asked(S, "r.1", "buy", 7 * S), a.came(S, "n", "r.1"), a.replied(S, "n", "r.1", 500),
        a.answered(S, "r.1", 500),
    ),
    "sent-again": lambda a: (a.came(10, "n", "r"), sent(a, "m"), a.answered(S, "r", 500)),
    "refused-after-run": lambda a: (sent(a, "n"), a.answered(S, "r", 503)),
    "too-many-attempts": lambda a: (sent(a, *"abcde", turned=True), a.answered(S, "r", 503)),
    "sent-to-drained": lambda a: (
        a.told(5, "n", "DRAINING"), a.asked(4 * S, "q", "look", 9 * S), a.came(5 * S, "n", "q"),
        a.replied(5 * S, "n", "q", 500), a.answered(5 * S, "q", 500), a.answered(S, "r", 503),
    ),
    "cold-pushed-over": cold,
    "wrong-answer": lambda a: a.answered(S, "r", 200, "made up"),
    "proxy-crashed": lambda a: (served(a), a.crashed(S)),
}  # fmt: skip


SCENARIO_RULES = (
    "fleet-attempts",
    "worth-inverted",
)  # checked against a limit of a scenario in tests/lab/test_peers_of_scenarios.py


@pytest.mark.parametrize("rule", [rule for rule in RULES if rule not in SCENARIO_RULES])
def test_the_audit_names_the_rule_that_is_broken(rule: str) -> None:
    clean, broken = (Audit(("look",), ("buy",)) for _ in range(2))
    for one in (clean, broken):
        one.asked(1, "r", "buy", 6 * S)
    served(clean)
    clean.check()
    VIOLATIONS[rule](broken)
    with pytest.raises(AssertionError, match=rule):
        broken.check()


def idle_dispatcher() -> Dispatcher:
    dispatcher = Dispatcher(settings(UNSAFE), 1, 10)
    dispatcher.update_nodes(S, ListKind.FULL, 1, (Entry(1), Entry(2)))
    dispatcher.process_batch(S)
    return dispatcher


@pytest.mark.parametrize(
    "wrong",
    [
        lambda d: setattr(d.balancer, "in_flight", 1),
        lambda d: setattr(d.balancer.servers[1], "in_flight", -1),
        lambda d: setattr(d.balancer, "ejected_count", 1),
        lambda d: setattr(d.balancer, "slots", d.balancer.slots + 1),
        lambda d: d.job_table.by_request_id.update(a=None),
        lambda d: d.timers.extend([(9, n) for n in range(9)]),
    ],
)
def test_a_count_that_does_not_return_is_seen(wrong: Callable[[Dispatcher], None]) -> None:
    assert_idle(idle_dispatcher())
    dispatcher = idle_dispatcher()
    wrong(dispatcher)
    with pytest.raises((AssertionError, AttributeError)):
        assert_idle(dispatcher)
