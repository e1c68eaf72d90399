"""The load of the nodes: attempts and work by node and time, the number of attempts per request, and the share of
wasted work. The worth of orders is not considered."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import accumulate

from slatelab.records import order_id

from .facts import Facts
from .types import NodeLoad

MAX_VALUES = 1_000_000  # limit of nodes times steps


def step(nodes: int, seconds: int) -> int:
    """The length of a load step in seconds: 1, or as many as needed to keep a run of any size within MAX_VALUES."""
    return max(1, -(-nodes * seconds // MAX_VALUES))


def loads(facts: Facts, seconds: int) -> tuple[int, list[NodeLoad]]:
    """The step in seconds, and the load of each node that started or got an attempt, sorted by tier and name."""
    tiers = {fact.node: fact.request.count("/") // 2 for fact in facts.came}
    tiers |= {fact.node: fact.tier for fact in facts.ups}
    step_s = step(len(tiers), seconds)
    count = -(-seconds // step_s)
    tables = {node: ([0] * count, [0] * count, [0] * (count + 1)) for node in tiers}
    for fact, end in zip(facts.came, _ends(facts), strict=True):
        work, requests, held = tables[fact.node]
        index = fact.t // 1_000_000 // step_s
        work[index] += fact.work_us
        requests[index] += 1
        held[index] += 1
        held[min(count, end // 1_000_000 // step_s)] -= 1
    nodes = sorted(tables, key=lambda node: (tiers[node], len(node), node))
    return step_s, [_load(node, tiers[node], *tables[node]) for node in nodes]


def _load(node: str, tier: int, work: list[int], requests: list[int], held: list[int]) -> NodeLoad:
    return NodeLoad(node, tier, work, requests, list(accumulate(held[:-1])))


def _ends(facts: Facts) -> list[int]:
    """When each attempt ended: when its node answered or went down, or when the request ended for its caller."""
    ended_for_caller = {fact.request: fact.t for fact in reversed(facts.ends)}
    replied: dict[tuple[str, int, str], list[int]] = defaultdict(list)
    for answer in reversed(facts.replied):
        replied[answer.node, answer.life, answer.request].append(answer.t)
    downs = {(down.node, down.life): down.t for down in facts.downs}
    never = 2**62
    ends = []
    for fact in facts.came:
        answers = replied.get((fact.node, fact.life, fact.request))
        first = answers.pop() if answers else never
        end = min(first, downs.get((fact.node, fact.life), never), ended_for_caller.get(fact.request, never))
        ends.append(max(fact.t, end))
    return ends


def attempts_of(facts: Facts, requests: Iterable[str]) -> list[int]:
    """How many of the given requests had 0, 1, 2 ... attempts."""
    count = Counter(fact.request for fact in facts.came)
    return histogram(count[request] for request in requests)


def histogram(numbers: Iterable[int]) -> list[int]:
    """How often 0, 1, 2 ... occurs among the numbers."""
    count = Counter(numbers)
    return [count[n] for n in range(max(count, default=-1) + 1)]


def wasted(facts: Facts, orders: set[str]) -> float | None:
    """The share of wasted work among the work that arrived for these orders in all tiers: that of attempts which did
    not produce the answer 200 received by the request's caller (a client or a node). None if there was no work."""
    accepted_tokens = {fact.request: fact.token for fact in reversed(facts.answered) if fact.status == 200}
    makers = {
        (fact.request, fact.node, fact.life)
        for fact in facts.replied
        if fact.status == 200 and accepted_tokens.get(fact.request) == fact.token
    }
    total = useful = 0
    for came in facts.came:
        if order_id(came.request) in orders:
            total += came.work_us
            maker = (came.request, came.node, came.life)
            useful += came.work_us if maker in makers else 0
            makers.discard(maker)
    return 1 - useful / total if total else None
