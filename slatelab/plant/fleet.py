"""The initial topology of the plant: nodes with their speeds and addresses, and the proxies in front of each
tier. Assigns names and addresses; the engines track which processes are alive."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, replace

from slatelab.scenario import Kind, Scenario, ScenarioError

from .random_streams import RandomStreams

MAX_HOSTS = 20_000  # for nodes and for proxies of the first tier, each
NODE_NET, PROXY_NET = 16, 128  # second byte of the first address: 127.16.0.1 and 127.128.0.1
REPLACEMENT_SUFFIX = re.compile(r"-r\d+$")


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """One node. `address` is used by this node alone and has no port: the engine picks it."""

    id: str
    tier: int
    kind: Kind
    speed: float
    address: str

    @property
    def original_id(self) -> str:
        """The id of the node that was at this place at the start of the run; faults name nodes by it."""
        return REPLACEMENT_SUFFIX.sub("", self.id)


@dataclass(frozen=True, slots=True)
class ProxySpec:
    """One proxy. `tier` is the one it sends to, `index` its number among the `sibling_count` proxies of that
    tier; `owner_node` is the id of the node that calls through it, "" if its callers are the clients."""

    name: str
    tier: int
    index: int
    sibling_count: int
    owner_node: str
    address: str


def build_nodes(scenario: Scenario, random_streams: RandomStreams) -> list[NodeSpec]:
    """All nodes, tier by tier, numbered from 1 in each. Raises ScenarioError if there are more than
    MAX_HOSTS."""
    if (count := sum(kind.nodes for tier in scenario.tiers for kind in tier.kind)) > MAX_HOSTS:
        raise ScenarioError([f"{scenario.scenario.name}: tier: {count} nodes, the plant holds {MAX_HOSTS}"])
    nodes: list[NodeSpec] = []
    for t, tier in enumerate(scenario.tiers):
        kinds = [kind for kind in tier.kind for _ in range(kind.nodes)]
        for n, kind in enumerate(kinds, 1):
            name = f"s-{tier.name}-{n}"
            nodes.append(
                NodeSpec(name, t, kind, _speed(kind, random_streams, name), _address(NODE_NET, len(nodes)))
            )
    return nodes


def build_proxies(scenario: Scenario, fleet: list[NodeSpec]) -> list[ProxySpec]:
    """All proxies: in the first tier as many as the scenario sets; in a later tier one for each node of the
    tier before. Raises ScenarioError if the first tier has more than MAX_HOSTS."""
    if (count := scenario.tiers[0].proxies) > MAX_HOSTS:
        raise ScenarioError(
            [f"{scenario.scenario.name}: tier.0.proxies: {count}, the plant holds {MAX_HOSTS}"]
        )
    return list(_proxies(scenario, fleet))


def weighted_round_robin(count: int, skew: int) -> list[int]:
    """One cycle of the order in which a load balancer assigns connections to `count` proxies: the first gets
    `skew` turns for each turn of another, spread evenly."""
    others = list(range(1, count))
    bounds = [len(others) * turn // skew for turn in range(skew + 1)]
    return [place for turn in range(skew) for place in (0, *others[bounds[turn] : bounds[turn + 1]])]


def _proxies(scenario: Scenario, fleet: list[NodeSpec]) -> Iterator[ProxySpec]:
    n = 0
    for t, tier in enumerate(scenario.tiers):
        owners = [node.id for node in fleet if node.tier == t - 1] if t else [""] * tier.proxies
        for index, owner in enumerate(owners):
            yield ProxySpec(
                f"p-{tier.name}-{index + 1}", t, index, len(owners), owner, _address(PROXY_NET, n)
            )
            n += 1


def replacement(old: NodeSpec, life: int) -> NodeSpec:
    """The node that replaces another at the same address, with a new id. `life` (1 or more) counts the starts at
    this place, so that ids are unique."""
    return replace(old, id=f"{old.original_id}-r{life}")


def _speed(kind: Kind, random_streams: RandomStreams, name: str) -> float:
    return (
        random_streams.stream("speed", name).uniform(*kind.speed)
        if isinstance(kind.speed, tuple)
        else kind.speed
    )


def _address(block: int, n: int) -> str:
    """The n-th address of a block, without hosts .0 and .255, which some systems treat as network or broadcast
    addresses."""
    subnet, host = divmod(n, 254)
    return f"127.{block + subnet // 256}.{subnet % 256}.{host + 1}"
