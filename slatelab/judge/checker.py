"""The way of a run through the judge: facts are sorted to the requests and the timeline they belong to, then
each request, each order and each cold start is judged by itself. This file owns that order and what is held
meanwhile: references to all facts, and one case at a time. It must never hold a rule on a single request."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from functools import cache
from operator import attrgetter

from slatelab.records import Began, Came, Logged, ProxyDown, Record, Replied, Up, order_id
from slatelab.scenario import Scenario

from .case import REQUEST_FACTS, Case, RequestFact
from .cold import fallible, pushed_over
from .fleet_rules import judge as judge_whole
from .report import Docket, JudgeReport, Violation, history
from .requests import Maker, Requests
from .timeline import Timeline

Groups = dict[str, list[RequestFact]]
Life = tuple[str, int]  # of a node


def judge(scenario: Scenario, records: Iterable[Record]) -> JudgeReport:
    """Proves or refutes each rule for each request, order, node and proxy of a run. The recording's end is
    its last record: what was open then counts as unanswered. A scenario without proxies (proxy.kind "direct")
    has nobody to judge. Needs a reference to every record at once; a million take some seconds."""
    if scenario.proxy.kind == "direct":
        return JudgeReport()
    records = list(records)
    groups, rest, end = _sort_out(records)
    timeline = Timeline(scenario.rules, rest, end)
    docket, requests, orders = Docket(), Requests(scenario, timeline, _maker(groups)), Orders(scenario)
    colds = {(up.node, up.life): up for up in timeline.ups if fallible(scenario, up)}
    came: dict[Life, list[Came]] = defaultdict(list)
    for request, facts in groups.items():
        case = Case(request, facts)
        docket.enter(requests.judge(case))
        orders.take(case, requests.is_unsafe(case))
        for attempt in case.attempts if colds else ():
            if (where := (attempt.came.node, attempt.came.life)) in colds:
                came[where].append(attempt.came)
    docket.enter(orders.ran_twice(groups))
    docket.enter(_colds(scenario, timeline, colds, came))
    docket.enter(_crashes(timeline, rest))
    docket.enter(judge_whole(scenario, records))
    return docket.close(len(groups), orders.count)


def _sort_out(records: Iterable[Record]) -> tuple[Groups, list[Record], int]:
    """Facts by request, all others, and the time of the last. A request is a key of the result from its first
    fact on, so the order of cases is that of the run."""
    groups: Groups = defaultdict(list)
    rest: list[Record] = []
    inorder = sorted(records, key=attrgetter("t"))
    for fact in inorder:
        if isinstance(fact, REQUEST_FACTS):
            groups[fact.request].append(fact)
        else:
            rest.append(fact)
    return groups, rest, inorder[-1].t if inorder else 0


def _maker(groups: Groups) -> Maker:
    """Made only once somebody asks: a clean run never needs it."""

    @cache
    def makers() -> dict[str, Replied]:
        replies = (fact for facts in groups.values() for fact in facts if isinstance(fact, Replied))
        return {fact.token: fact for fact in replies if fact.status == 200}

    return lambda token: makers().get(token)


class Orders:
    """Which tries of each unsafe order have begun at a node of the first tier. Calls of nodes are not tries:
    they are judged by their own request."""

    def __init__(self, scenario: Scenario) -> None:
        self._judged = not scenario.clients.reckless
        self._began: dict[str, list[Began]] = defaultdict(list)
        self._tries: dict[str, list[str]] = defaultdict(list)
        self._unsafe: set[str] = set()

    @property
    def count(self) -> int:
        return len(self._tries)

    def take(self, case: Case, unsafe: bool) -> None:
        if "/" in case.request:
            return
        order = order_id(case.request)
        self._tries[order].append(case.request)
        self._began[order] += case.began
        if unsafe:
            self._unsafe.add(order)

    def ran_twice(self, groups: Groups) -> Iterator[Violation]:
        """Two tries of an unsafe order both began, though its client comes back only where nothing can have
        run."""
        for order in self._tries if self._judged else ():
            began = sorted(self._began[order], key=attrgetter("t"))
            tries = list(dict.fromkeys(fact.request for fact in began))
            if order in self._unsafe and len(tries) > 1:
                at = next(fact.t for fact in began if fact.request != tries[0])
                facts = history(*(groups[request] for request in self._tries[order]))
                text = f"unsafe, and {len(tries)} of its tries began: {', '.join(tries[:10])}"
                yield Violation("order-ran-twice", order, at, text, facts)


def _colds(
    scenario: Scenario, timeline: Timeline, colds: dict[Life, Up], came: dict[Life, list[Came]]
) -> Iterator[Violation]:
    for where, up in colds.items():
        if found := pushed_over(scenario, timeline, up, sorted(came[where], key=attrgetter("t"))):
            yield found


def _crashes(timeline: Timeline, rest: list[Record]) -> Iterator[Violation]:
    """Every end of a proxy that the lab did not bring about, with the last of its log."""
    lines = [fact for fact in rest if isinstance(fact, Logged)]
    for proxy, lives in timeline.proxies.items():
        for fact in lives:
            if isinstance(fact, ProxyDown) and fact.why == "crashed":
                log = [
                    line
                    for line in lines
                    if line.proxy == proxy and line.t <= fact.t + timeline.slack(fact.t)
                ]
                yield Violation("proxy-crashed", "", fact.t, f"{proxy} crashed", history(lives, log[-20:]))
