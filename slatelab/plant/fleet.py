"""What stands in the plant when the day begins: nodes with their speeds and addresses, and the proxies before
each tier. This file owns names and addresses. It must never know what is alive; that is the engines'
business."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, replace

from slatelab.scenario import Kind, Scenario, ScenarioError

from .random_streams import RandomStreams

MOST = 20_000
NODES, PROXIES = 16, 128  # second byte of the first address: 127.16.0.1 and 127.128.0.1
RENEWED = re.compile(r"-r\d+$")


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """One node. `address` is its own, without a port: the engine picks that."""

    id: str
    tier: int
    kind: Kind
    speed: float
    address: str

    @property
    def original_id(self) -> str:
        """The id of the node that stood here when the day began; faults name nodes by it."""
        return RENEWED.sub("", self.id)


@dataclass(frozen=True, slots=True)
class ProxySpec:
    """One proxy. `tier` is the one it sends to, `me` its number among the `sibling_count` that do; `owner` is the
    place whose node calls through it, "" where its callers are the clients."""

    name: str
    tier: int
    index: int
    sibling_count: int
    owner_node: str
    address: str


def build_nodes(scenario: Scenario, draw: RandomStreams) -> list[NodeSpec]:
    """All nodes, tier by tier, numbered from 1 in each. Raises ScenarioError where there are more than
    MOST."""
    if (count := sum(kind.nodes for tier in scenario.tiers for kind in tier.kind)) > MOST:
        raise ScenarioError([f"{scenario.scenario.name}: tier: {count} nodes, the plant holds {MOST}"])
    nodes: list[NodeSpec] = []
    for t, tier in enumerate(scenario.tiers):
        kinds = [kind for kind in tier.kind for _ in range(kind.nodes)]
        for n, kind in enumerate(kinds, 1):
            name = f"s-{tier.name}-{n}"
            nodes.append(NodeSpec(name, t, kind, _speed(kind, draw, name), _address(NODES, len(nodes))))
    return nodes


def build_proxies(scenario: Scenario, fleet: list[NodeSpec]) -> list[ProxySpec]:
    """The first tier has as many as it says; in a later one every node of the tier before has its own.
    Raises ScenarioError where there are more than MOST."""
    if (count := scenario.tiers[0].proxies) > MOST:
        raise ScenarioError([f"{scenario.scenario.name}: tier.0.proxies: {count}, the plant holds {MOST}"])
    return list(_proxies(scenario, fleet))


def weighted_round_robin(count: int, skew: int) -> list[int]:
    """The order in which a front hands callers out to so many proxies, over and over: the first has `skew` turns for
    each one of the others, spread evenly."""
    others = list(range(1, count))
    cuts = [len(others) * turn // skew for turn in range(skew + 1)]
    return [place for turn in range(skew) for place in (0, *others[cuts[turn] : cuts[turn + 1]])]


def _proxies(scenario: Scenario, fleet: list[NodeSpec]) -> Iterator[ProxySpec]:
    at = 0
    for t, tier in enumerate(scenario.tiers):
        owners = [node.id for node in fleet if node.tier == t - 1] if t else [""] * tier.proxies
        for me, owner in enumerate(owners):
            yield ProxySpec(f"p-{tier.name}-{me + 1}", t, me, len(owners), owner, _address(PROXIES, at))
            at += 1


def replacement(old: NodeSpec, life: int) -> NodeSpec:
    """The node that takes the place of another: a new id, the same machine. `life` (1 or more) counts the
    starts at this place, so that no id comes twice."""
    return replace(old, id=f"{old.original_id}-r{life}")


def _speed(kind: Kind, draw: RandomStreams, name: str) -> float:
    return draw.stream("speed", name).uniform(*kind.speed) if isinstance(kind.speed, tuple) else kind.speed


def _address(block: int, n: int) -> str:
    """The n-th address of a block; hosts .0 and .255 are left out, as some systems take them for a whole
    network."""
    net, host = divmod(n, 254)
    return f"127.{block + net // 256}.{net % 256}.{host + 1}"
