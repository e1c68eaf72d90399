"""The load of one proxy or of a part of the fleet: the figures that proxies exchange and add up. This module defines
their order on the wire and the bounds of what one proxy may report, so that no proxy can outweigh the rest by its
report alone."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

# In wire order: rates per second, except used, slots and waiting, which are numbers of calls.
TOTAL_NAMES = (
    "arrivals",
    "sends",
    "further",
    "refused",
    "used",
    "slots",
    "waiting",
    "served",
)
MAX_PER_PROXY = {  # upper bounds for the report of one proxy, above what a proxy can handle
    "arrivals": 20_000, "sends": 40_000, "further": 20_000, "refused": 20_000, "used": 50_000, "slots": 10_000,
    "waiting": 50_000, "served": 20_000,
}  # fmt: skip
MAX_CALLS_PER_NODE = 8.0  # failed calls, and served calls, of one proxy that count for one node
MAX_CLASSES = 16
WIRE_SCALE = 1000  # figures are sent as integer thousandths


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Load of one node: calls in flight, the number of proxies that use it, and how many of the calls that ended there
    recently failed and were served."""

    in_flight: float = 0.0
    proxies: float = 0.0
    failed: float = 0.0
    served: float = 0.0


@dataclass(frozen=True, slots=True)
class Load:
    """`members`: the number of proxies that this is the sum of. `totals`: in the order of TOTAL_NAMES, each also
    readable as an attribute of that name. `classes`: arrivals and refusals per second of each class. `nodes`: by
    endpoint."""

    members: int = 1
    totals: tuple[float, ...] = (0.0,) * len(TOTAL_NAMES)
    classes: tuple[tuple[float, float], ...] = ()
    nodes: Mapping[int, NodeLoad] = field(default_factory=dict)

    def __getattr__(self, name: str) -> float:
        try:
            return self.totals[TOTAL_NAMES.index(name)]
        except ValueError:
            raise AttributeError(name) from None

    @property
    def retry_ratio(self) -> float:
        """Retries for each first attempt."""
        return self.further / max(1e-9, self.sends)


def sum_loads(loads: Sequence[Load]) -> Load:
    """The sum of the loads, figure by figure."""
    totals = tuple(sum(load.totals[i] for load in loads) for i in range(len(TOTAL_NAMES)))
    width = max((len(load.classes) for load in loads), default=0)
    classes = tuple(
        (
            sum(x.classes[c][0] for x in loads if c < len(x.classes)),
            sum(x.classes[c][1] for x in loads if c < len(x.classes)),
        )
        for c in range(width)
    )
    nodes: dict[int, NodeLoad] = {}
    for load in loads:
        for endpoint, node in load.nodes.items():
            so_far = nodes.get(endpoint, NodeLoad())
            nodes[endpoint] = NodeLoad(
                so_far.in_flight + node.in_flight,
                so_far.proxies + node.proxies,
                so_far.failed + node.failed,
                so_far.served + node.served,
            )
    return Load(sum(load.members for load in loads), totals, classes, nodes)


def _column(loads: Sequence[Load], cls: int, which: int) -> float:
    return sum(load.classes[cls][which] for load in loads if cls < len(load.classes))


def clamp(load: Load, members: int) -> Load:
    """The load bounded to what that many proxies may report, as a single proxy may claim a million slots. A load of
    more than `members` proxies is bounded as one of `members`."""
    count = max(1, min(load.members, members))
    totals = tuple(
        min(value, MAX_PER_PROXY[name] * count) for name, value in zip(TOTAL_NAMES, load.totals, strict=True)
    )
    max_rate = MAX_PER_PROXY["arrivals"] * count
    classes = tuple((min(a, max_rate), min(r, max_rate)) for a, r in load.classes[:MAX_CLASSES])
    nodes = {
        endpoint: NodeLoad(
            min(node.in_flight, MAX_PER_PROXY["used"] * count),
            min(node.proxies, count),
            min(node.failed, MAX_CALLS_PER_NODE * count),
            min(node.served, MAX_CALLS_PER_NODE * count),
        )
        for endpoint, node in load.nodes.items()
    }
    return Load(count, totals, classes, nodes)


def encode(load: Load, max_nodes: int) -> tuple[list[int], list[int], list[tuple[int, int, int, int, int]]]:
    """The load in wire form: totals, classes, nodes. If there are more than `max_nodes` nodes, those with the most
    failed calls are sent first (a proxy may have ejected them), then those with the most calls in flight."""
    totals = [_to_wire(value) for value in load.totals]
    classes = [_to_wire(value) for pair in load.classes[:MAX_CLASSES] for value in pair]
    ranked = sorted(load.nodes.items(), key=lambda item: (-item[1].failed, -item[1].in_flight, item[0]))[
        :max_nodes
    ]
    nodes = [
        (n, _to_wire(x.in_flight), _to_wire(x.proxies), _to_wire(x.failed), _to_wire(x.served))
        for n, x in ranked
    ]
    return totals, classes, nodes


def decode(
    members: int,
    totals: Sequence[int],
    classes: Sequence[int],
    nodes: Iterable[tuple[int, int, int, int, int]],
) -> Load | None:
    """The load of the wire form; None if it comes from a version with another set of figures."""
    if len(totals) < len(TOTAL_NAMES) or len(classes) % 2:
        return None
    pairs = tuple((classes[i] / WIRE_SCALE, classes[i + 1] / WIRE_SCALE) for i in range(0, len(classes), 2))
    node_loads = {
        n: NodeLoad(in_flight / WIRE_SCALE, proxies / WIRE_SCALE, failed / WIRE_SCALE, served / WIRE_SCALE)
        for n, in_flight, proxies, failed, served in nodes
    }
    return Load(members, tuple(value / WIRE_SCALE for value in totals[: len(TOTAL_NAMES)]), pairs, node_loads)


def _to_wire(value: float) -> int:
    return max(0, min(10**12, int(value * WIRE_SCALE)))
