"""The soak: plans follow from their seed, each check can fail, and short runs of a few seeds hold."""

from __future__ import annotations

import pytest
from soak_process import play_in_own_process

from slatelab.soak.checks import ATTEMPT_AFTER_CLOSE_S, LATE_ANSWER_S, check_requests, summarize
from slatelab.soak.records import ClientRequest, Execution, Record
from slatelab.soak.run import draw_plan

SHORT_RUN_S = 4.0


def answered(
    request_id: str = "a", safe: bool = True, after_s: float = 1.0, status: int = 200
) -> ClientRequest:
    return ClientRequest(request_id, safe, 4.0, sent_at=10.0, answered_at=10.0 + after_s, status=status)


def rules(record: Record) -> list[str]:
    return [violation.rule for violation in check_requests(record)]


def test_requests_that_are_answered_in_time_break_no_rule() -> None:
    late_but_long = answered("b", after_s=60.0)
    late_but_long.long_answer = True
    left = ClientRequest("c", True, 4.0, sent_at=10.0, closed_at=11.0)
    record = Record([answered(), late_but_long, left, answered("d", status=503)])
    record.arrivals = [(11.0 + ATTEMPT_AFTER_CLOSE_S, "c")]
    assert rules(record) == []


@pytest.mark.parametrize(
    "request_",
    [
        ClientRequest("a", True, 4.0, sent_at=10.0),
        answered(after_s=4.0 + LATE_ANSWER_S + 0.01),
        ClientRequest("a", True, 4.0, sent_at=10.0, read_and_closed=True, unanswered_close_at=11.0),
        ClientRequest("a", True, 4.0, sent_at=10.0, cut_off_at=11.0),
    ],
)
def test_a_request_without_an_answer_in_time_is_lost(request_: ClientRequest) -> None:
    assert rules(Record([request_])) == ["lost"]


def test_an_answer_that_belongs_to_another_request_loses_this_one() -> None:
    request = answered()
    request.foreign = True
    assert rules(Record([request])) == ["lost"]


def test_a_request_that_was_sent_on_and_closed_is_lost_though_it_was_answered_later() -> None:
    request = answered()
    request.unanswered_close_at = 10.5
    assert rules(Record([request], arrivals=[(10.2, "a")])) == ["lost"]
    assert rules(Record([request], arrivals=[(10.7, "a")])) == []


def test_an_earlier_request_of_the_same_id_was_not_the_one_that_was_closed() -> None:
    request = answered()
    request.began_at, request.unanswered_close_at = 9.9, 10.5
    assert rules(Record([request], arrivals=[(9.8, "a")])) == []
    assert rules(Record([request], arrivals=[(9.95, "a")])) == ["lost"]


@pytest.mark.parametrize("safe, broken", [(True, []), (False, ["duplicate"])])
def test_an_unsafe_request_that_ran_twice_is_a_duplicate(safe: bool, broken: list[str]) -> None:
    runs = [Execution("a", node, 10.1, 10.2) for node in ("s-0", "s-1")]
    assert rules(Record([answered(safe=safe)], executions=runs)) == broken


def test_an_attempt_that_begins_long_after_its_client_has_left_loses_the_request() -> None:
    left = ClientRequest("a", True, 4.0, sent_at=10.0, closed_at=11.0)
    record = Record([left], arrivals=[(11.0 + ATTEMPT_AFTER_CLOSE_S + 0.2, "a")])
    assert rules(record) == ["lost"]
    assert "after its client had gone" in summarize(check_requests(record))[0]


def test_what_a_node_could_not_finish_may_be_cut_off_once_it_has_died() -> None:
    request = ClientRequest("a", True, 4.0, sent_at=10.0, cut_off_at=11.0, long_answer=True)
    assert rules(Record([request], deaths=[10.9])) == []
    assert rules(Record([request], deaths=[11.1])) == ["lost"]


def test_a_plan_follows_from_its_seed() -> None:
    plans = [draw_plan(seed, 8.0) for seed in range(200)]
    assert plans == [draw_plan(seed, 8.0) for seed in range(200)]
    assert {plan.limits.memory_mb for plan in plans} == {32, 64, 96, 192}
    assert {plan.limits.sockets for plan in plans} == {256, 512, 1024}
    assert len({picture for plan in plans for picture in plan.pictures}) == 9


@pytest.mark.parametrize(
    "seed, pictures",
    [(1, ("crowd", "floods")), (2, ("leaving", "repeated_ids")), (3, ("signals", "crowd")), (4, ("slow_answers",)),
     (5, ("upgrades", "reused_addresses"))],
)  # fmt: skip
def test_a_short_soak_holds(seed: int, pictures: tuple[str, ...]) -> None:
    chosen = [f"--picture={picture}" for picture in pictures]
    play_in_own_process(f"--seeds={seed}", f"--seconds={SHORT_RUN_S}", *chosen)
