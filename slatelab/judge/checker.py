"""Runs the judge over the records of a run: facts are grouped by request or added to the timeline, then each request,
each order and each cold start is judged separately. Keeps references to all facts, and one case at a time. The rules on
single requests are in `requests`."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from functools import cache
from operator import attrgetter

from slatelab.records import Began, Came, Logged, ProxyDown, Record, Replied, Up, order_id
from slatelab.scenario import Scenario

from .case import REQUEST_FACTS, Case, RequestFact
from .cold import can_crash_cold, cold_overload
from .fleet_rules import judge as judge_fleet
from .report import JudgeReport, Violation, ViolationCollector, history
from .requests import ReplyFinder, Requests
from .timeline import Timeline

Groups = dict[str, list[RequestFact]]
Life = tuple[str, int]  # node and its number of earlier starts


def judge(scenario: Scenario, records: Iterable[Record]) -> JudgeReport:
    """Checks each rule for each request, order, node and proxy of a run. The recording ends with its last record:
    requests that are open then count as unanswered. A scenario without proxies (proxy.kind "direct") has no violations.
    Keeps a reference to every record; a million records take some seconds."""
    if scenario.proxy.kind == "direct":
        return JudgeReport()
    records = list(records)
    groups, other_facts, end = _group_facts(records)
    timeline = Timeline(scenario.rules, other_facts, end)
    violations, requests, orders = (
        ViolationCollector(),
        Requests(scenario, timeline, _reply_finder(groups)),
        OrderChecks(scenario),
    )
    cold_starts = {(up.node, up.life): up for up in timeline.ups if can_crash_cold(scenario, up)}
    came: dict[Life, list[Came]] = defaultdict(list)
    for request, facts in groups.items():
        case = Case(request, facts)
        violations.add(requests.judge(case))
        orders.add(case, requests.is_unsafe(case))
        for attempt in case.attempts if cold_starts else ():
            if (life := (attempt.came.node, attempt.came.life)) in cold_starts:
                came[life].append(attempt.came)
    violations.add(orders.ran_twice(groups))
    violations.add(_cold_violations(scenario, timeline, cold_starts, came))
    violations.add(_crash_violations(timeline, other_facts))
    violations.add(judge_fleet(scenario, records))
    return violations.report(len(groups), orders.count)


def _group_facts(records: Iterable[Record]) -> tuple[Groups, list[Record], int]:
    """Facts by request, all other facts, and the time of the last fact. Requests are in the order of their first fact,
    so cases are in the order of the run."""
    groups: Groups = defaultdict(list)
    other_facts: list[Record] = []
    sorted_facts = sorted(records, key=attrgetter("t"))
    for fact in sorted_facts:
        if isinstance(fact, REQUEST_FACTS):
            groups[fact.request].append(fact)
        else:
            other_facts.append(fact)
    return groups, other_facts, sorted_facts[-1].t if sorted_facts else 0


def _reply_finder(groups: Groups) -> ReplyFinder:
    """Finds replies by token. The index is built at the first call: a run without violations never needs it."""

    @cache
    def replies_by_token() -> dict[str, Replied]:
        replies = (fact for facts in groups.values() for fact in facts if isinstance(fact, Replied))
        return {fact.token: fact for fact in replies if fact.status == 200}

    return lambda token: replies_by_token().get(token)


class OrderChecks:
    """Which attempts of each unsafe order have begun at a node of the first tier. Calls made by nodes are no attempts
    of the client: they are judged as requests of their own."""

    def __init__(self, scenario: Scenario) -> None:
        self._judged = not scenario.clients.reckless
        self._began: dict[str, list[Began]] = defaultdict(list)
        self._tries: dict[str, list[str]] = defaultdict(list)
        self._unsafe: set[str] = set()

    @property
    def count(self) -> int:
        """Number of orders seen."""
        return len(self._tries)

    def add(self, case: Case, unsafe: bool) -> None:
        """Adds the case of one request of a client; calls of nodes are ignored."""
        if "/" in case.request:
            return
        order = order_id(case.request)
        self._tries[order].append(case.request)
        self._began[order] += case.began
        if unsafe:
            self._unsafe.add(order)

    def ran_twice(self, groups: Groups) -> Iterator[Violation]:
        """Orders of which two attempts began although they are unsafe: the client retries only if nothing can have
        run."""
        for order in self._tries if self._judged else ():
            began = sorted(self._began[order], key=attrgetter("t"))
            tries = list(dict.fromkeys(fact.request for fact in began))
            if order in self._unsafe and len(tries) > 1:
                at = next(fact.t for fact in began if fact.request != tries[0])
                facts = history(*(groups[request] for request in self._tries[order]))
                text = f"unsafe, and {len(tries)} of its tries began: {', '.join(tries[:10])}"
                yield Violation("order-ran-twice", order, at, text, facts)


def _cold_violations(
    scenario: Scenario, timeline: Timeline, cold_starts: dict[Life, Up], came: dict[Life, list[Came]]
) -> Iterator[Violation]:
    for life, up in cold_starts.items():
        if found := cold_overload(scenario, timeline, up, sorted(came[life], key=attrgetter("t"))):
            yield found


def _crash_violations(timeline: Timeline, other_facts: list[Record]) -> Iterator[Violation]:
    """Every end of a proxy that the lab did not cause, with the last lines of its log."""
    lines = [fact for fact in other_facts if isinstance(fact, Logged)]
    for proxy, events in timeline.proxies.items():
        for fact in events:
            if isinstance(fact, ProxyDown) and fact.why == "crashed":
                log = [
                    line
                    for line in lines
                    if line.proxy == proxy and line.t <= fact.t + timeline.slack(fact.t)
                ]
                yield Violation("proxy-crashed", "", fact.t, f"{proxy} crashed", history(events, log[-20:]))
