"""What a proxy, or a part of the fleet, carries: the figures that are told and added up. It owns their order on the
wire and the bounds within which one proxy's word counts. It must never let one proxy outweigh the rest by what it
says alone."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

TOTAL_NAMES = (
    "arrivals",
    "sends",
    "further",
    "refused",
    "used",
    "slots",
    "waiting",
    "served",
)  # rates a second, and calls
MAX_PER_PROXY = {  # of one proxy: beyond what one can do
    "arrivals": 20_000, "sends": 40_000, "further": 20_000, "refused": 20_000, "used": 50_000, "slots": 10_000,
    "waiting": 50_000, "served": 20_000,
}  # fmt: skip
CALLS_MOST = 8.0  # failed and served calls of one proxy that count for one node
CLASSES_MOST = 16
UNIT = 1000  # figures go as whole thousandths


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """Of one node: calls out there, how many proxies use it, and of the calls that ended there of late how many failed
    and how many were served."""

    out: float = 0.0
    users: float = 0.0
    failed: float = 0.0
    served: float = 0.0


@dataclass(frozen=True, slots=True)
class Load:
    """`classes`: for each class its arrivals and refusals a second. `members`: of how many proxies this is the sum."""

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
        """Further attempts for each first one."""
        return self.further / max(1e-9, self.sends)


def sum_loads(loads: Sequence[Load]) -> Load:
    plain = tuple(sum(load.totals[i] for load in loads) for i in range(len(TOTAL_NAMES)))
    width = max((len(load.classes) for load in loads), default=0)
    classes = tuple(
        (sum(x.classes[c][0] for x in loads if c < len(x.classes)), sum(x.classes[c][1] for x in loads if c <
        len(x.classes))) for c in range(width)
    )  # fmt: skip
    nodes: dict[int, NodeLoad] = {}
    for load in loads:
        for number, one in load.nodes.items():
            had = nodes.get(number, NodeLoad())
            nodes[number] = NodeLoad(
                had.out + one.out, had.users + one.users, had.failed + one.failed, had.served + one.served
            )
    return Load(sum(load.members for load in loads), plain, classes, nodes)


def _column(loads: Sequence[Load], cls: int, which: int) -> float:
    return sum(load.classes[cls][which] for load in loads if cls < len(load.classes))


def clamp(load: Load, members: int) -> Load:
    """As much of it as so many proxies may say. Guards against one that tells of a million slots."""
    count = max(1, min(load.members, members))
    plain = tuple(
        min(value, MAX_PER_PROXY[name] * count) for name, value in zip(TOTAL_NAMES, load.totals, strict=True)
    )
    most = MAX_PER_PROXY["arrivals"] * count
    classes = tuple((min(a, most), min(r, most)) for a, r in load.classes[:CLASSES_MOST])
    nodes = {
        number: NodeLoad(
            min(one.out, MAX_PER_PROXY["used"] * count),
            min(one.users, count),
            min(one.failed, CALLS_MOST * count),
            min(one.served, CALLS_MOST * count),
        )  # fmt: skip
        for number, one in load.nodes.items()
    }
    return Load(count, plain, classes, nodes)


def encode(load: Load, nodes_most: int) -> tuple[list[int], list[int], list[tuple[int, int, int, int, int]]]:
    """As the wire has it: plain figures, classes, nodes. Of more nodes than fit, those that somebody has ejected go
    first, then those that carry most."""
    plain = [_whole(value) for value in load.totals]
    classes = [_whole(value) for pair in load.classes[:CLASSES_MOST] for value in pair]
    ranked = sorted(load.nodes.items(), key=lambda item: (-item[1].failed, -item[1].out, item[0]))[
        :nodes_most
    ]
    nodes = [(n, _whole(x.out), _whole(x.users), _whole(x.failed), _whole(x.served)) for n, x in ranked]
    return plain, classes, nodes


def decode(
    members: int,
    plain: Sequence[int],
    classes: Sequence[int],
    nodes: Iterable[tuple[int, int, int, int, int]],
) -> Load | None:
    """What was worded; None where it is from a program that orders its figures in another way."""
    if len(plain) < len(TOTAL_NAMES) or len(classes) % 2:
        return None
    pairs = tuple((classes[i] / UNIT, classes[i + 1] / UNIT) for i in range(0, len(classes), 2))
    found = {
        n: NodeLoad(out / UNIT, users / UNIT, failed / UNIT, served / UNIT)
        for n, out, users, failed, served in nodes
    }
    return Load(members, tuple(value / UNIT for value in plain[: len(TOTAL_NAMES)]), pairs, found)


def _whole(value: float) -> int:
    return max(0, min(10**12, int(value * UNIT)))
