"""What goes wrong in a day, and when. This file owns the way from the fault schedule of a scenario to single
changes, each at a moment and for named targets, and the sum of the conditions that lie on one node. It must
never know what is alive or carry anything out; the engines do.

The kinds of FaultEvent, to be carried out by every engine. Node targets name places: the id of the node that
stood there at the beginning, whichever holds the place now. "begins" is True for all; those marked * last,
and end with a FaultEvent whose `is_start` is False (none where `for` is 0: until the run is over).

    kill            the process dies: connections reset, new ones refused; discovery: gone. Nothing if down
    drain           discovery: DRAINING; the node is told. Nothing if down
    stop            the planned end of a node: as kill, but "stopped". Nothing if down
    start           the same node in a new life, cold; discovery: SERVING, started now. Nothing if up
    renew           a new node with a new id (`replacement`) at the address of the old, cold
    freeze*         no work and no answers; connections stay and new ones come up
    black-hole*     cut off: silent, new connections never come up; at the end its old connections are reset
    reset           each open connection breaks with chance spec.part (0: all); with `for`, once a second
    slow*           spec.factor times slower
    errors*         a share spec.part of the requests fails at once
    heavy-tail*     a share spec.part of the requests (of spec.cls, if given) costs spec.factor times the work
    strip-headers*  its calls to the next tier carry the class's whole deadline for the time left, and no marks
    discovery-down* no targets: discovery answers nothing
    discovery-lies* discovery tells the targets, all of one tier, as gone; a FaultEvent for each tier
    proxy-kill      SIGKILL to the proxies named
    proxy-stop      SIGTERM; it may finish what it has
    proxy-end       SIGKILL, if it still runs after a proxy-stop
    proxy-freeze*   SIGSTOP, and SIGCONT at the end; its machine goes on taking connections and bytes for it
    proxy-start     started again, same name and address; if the old one still runs, as soon as that has ended
    peer-cut*       the targets and the other proxies of their tier no longer hear each other
    peer-mute*      the other proxies of the tier no longer hear the targets
    peer-lossy*     a share spec.part of the datagrams between proxies is lost
    proxy-reload    its configuration is written anew with the nodes as discovery shows them now, then SIGHUP

Compound entries of the schedule come apart: restart is drain, stop after `grace` and start after `for`; drain
is drain and, after `for`, stop; replace is kill and renew; kill, proxy-kill and proxy-stop are followed by a
start where `for` is given."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from slatelab.scenario import Fault, Scenario, ScenarioError

from .fleet import NodeSpec, ProxySpec
from .random_streams import RandomStreams

ON_A_NODE = frozenset(("freeze", "black-hole", "slow", "errors", "heavy-tail", "strip-headers"))
PEER_FAULTS = frozenset(("peer-cut", "peer-mute", "peer-lossy"))
DURABLE_FAULTS = ON_A_NODE | PEER_FAULTS | {"discovery-down", "discovery-lies", "proxy-freeze"}
MOST = 100_000  # changes in a day
RESET_EVERY = 1_000_000
STOP_MOST_US, STOP_MORE_US = 3_000_000, 700_000


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One thing to carry out. `fault` is the name of the entry, "<kind>-<n>" where it has none; `spec` is the
    entry."""

    at: int
    fault: str
    kind: str
    is_start: bool
    targets: tuple[str, ...]
    spec: Fault


def build_fault_schedule(
    scenario: Scenario, draw: RandomStreams, fleet: list[NodeSpec], proxies: list[ProxySpec]
) -> list[FaultEvent]:
    """All changes by time; those of one moment in the order of the schedule. Some may lie after the last
    arrival. Raises ScenarioError for targets that do not exist, and for `after` a fault that never ends; all
    of them at once."""
    resolved = _Schedule(scenario, draw, fleet, proxies)
    for i in range(len(scenario.faults)):
        resolved.add(i)
    if resolved.wrong:
        raise ScenarioError(resolved.wrong)
    return sorted(resolved.changes, key=lambda change: change.at)


def stop_span(scenario: Scenario) -> int:
    """How long a proxy may take to end once told, in microseconds: the longest deadline, 3 s where that is longer, and
    0.7 s more. SIGKILL comes no sooner."""
    return min(STOP_MOST_US, max(cls.deadline for cls in scenario.classes)) + STOP_MORE_US


class _Schedule:
    """Takes the entries in their order; `ends` holds, by name, when an entry is over (None: never)."""

    def __init__(
        self, scenario: Scenario, draw: RandomStreams, fleet: list[NodeSpec], proxies: list[ProxySpec]
    ) -> None:
        self.scenario, self.random_streams = scenario, draw
        self.tiers = {tier.name: t for t, tier in enumerate(scenario.tiers)}
        self.nodes = [[node.id for node in fleet if node.tier == t] for t in range(len(scenario.tiers))]
        self.proxies = [
            [proxy.name for proxy in proxies if proxy.tier == t] for t in range(len(scenario.tiers))
        ]
        self.changes: list[FaultEvent] = []
        self.ends: dict[str, int | None] = {}
        self.wrong: list[str] = []

    def add(self, i: int) -> None:
        fault = self.scenario.faults[i]
        begins = fault.at + self._after(i, fault)
        several = (
            FaultEvent(begins + n * fault.stagger + offset, _label(i, fault), kind, start, targets, fault)
            for n, targets in enumerate(self._groups(i, fault))
            for offset, kind, start in _parts(fault, stop_span(self.scenario))
        )
        made = list(islice(several, MOST + 1))
        self.changes += made
        if len(self.changes) > MOST:
            raise ScenarioError([f"{self.scenario.scenario.name}: fault.{i}: makes more than {MOST} changes"])
        last = max((change.at for change in made if change.kind != "proxy-end"), default=begins)
        self.ends[fault.name] = None if fault.kind in DURABLE_FAULTS and not fault.span else last

    def _after(self, i: int, fault: Fault) -> int:
        if not fault.after:
            return 0
        end = self.ends[fault.after]
        if end is None:
            self._say(i, "after", f"{fault.after!r} never ends; give it a time with `for`")
        return end or 0

    def _groups(self, i: int, fault: Fault) -> list[tuple[str, ...]]:
        """The targets that are befallen together: each alone with `stagger`, all at once without."""
        if fault.kind == "discovery-down":
            return [()]
        if fault.kind == "discovery-lies":
            return self._told_gone(i, fault)
        targets = self._targets(i, fault)
        return [(target,) for target in targets] if fault.stagger else [targets]

    def _told_gone(self, i: int, fault: Fault) -> list[tuple[str, ...]]:
        """A share `part` of the tier (without one, of each), or the nodes chosen."""
        if fault.names or fault.nodes or fault.share:
            return [self._targets(i, fault)]
        tiers = [self.tiers[fault.tier]] if fault.tier else list(self.tiers.values())
        return [self._some(i, self.nodes[t], _part(fault.part, self.nodes[t]), t) for t in tiers]

    def _targets(self, i: int, fault: Fault) -> tuple[str, ...]:
        if not fault.tier:
            self._say(i, "tier", "missing, the targets are chosen from it")
            return ()
        t = self.tiers[fault.tier]
        what = "proxy" if fault.kind.startswith(("proxy", "peer")) else "node"
        known = self.proxies[t] if what == "proxy" else self.nodes[t]
        if fault.names:
            return self._named(i, fault, known, what)
        if fault.nodes > len(known):
            self._say(i, "nodes", f"{fault.nodes}, but tier {fault.tier!r} has {len(known)} to choose from")
            return ()
        wanted = fault.nodes or (_part(fault.share, known) if fault.share else len(known))
        return self._some(i, known, wanted, t)

    def _named(self, i: int, fault: Fault, known: list[str], what: str) -> tuple[str, ...]:
        for name in fault.names:
            if name not in known:
                reason = f"no {what} of tier {fault.tier!r} is named {name[:60]!r}"
                self._say(i, "names", f"{reason}; they are {known[0]} to {known[-1]}")
        return tuple(dict.fromkeys(fault.names))

    def _some(self, i: int, known: list[str], wanted: int, tier: int) -> tuple[str, ...]:
        """So many of them by the seed, in the order in which they stand."""
        chosen = self.random_streams.stream("fault", i, tier).sample(range(len(known)), wanted)
        return tuple(known[place] for place in sorted(chosen))

    def _say(self, i: int, key: str, reason: str) -> None:
        self.wrong.append(f"{self.scenario.scenario.name}: fault.{i}.{key}: {reason}")


def _label(i: int, fault: Fault) -> str:
    return fault.name if fault.name != "fault" else f"{fault.kind}-{i + 1}"


def _part(share: float, known: list[str]) -> int:
    return max(1, round(share * len(known)))


def _parts(fault: Fault, patience: int) -> Iterator[tuple[int, str, bool]]:
    """The changes that an entry makes for one target: so long after its beginning, kind, begins."""
    kind, span = fault.kind, fault.span
    if kind == "restart":
        yield from ((0, "drain", True), (fault.grace, "stop", True), (fault.grace + span, "start", True))
    elif kind == "drain":
        yield from ((0, "drain", True), (span, "stop", True))
    elif kind == "replace":
        yield from ((0, "kill", True), (span, "renew", True))
    elif kind == "reset":
        yield from ((offset, "reset", True) for offset in range(0, max(span, 1), RESET_EVERY))
    else:
        yield 0, kind, True
        yield from _later(kind, span, patience)


def _later(kind: str, span: int, patience: int) -> Iterator[tuple[int, str, bool]]:
    if kind == "proxy-stop":
        yield patience, "proxy-end", True
    if span and kind in ("kill", "proxy-kill", "proxy-stop"):
        yield span, "start" if kind == "kill" else "proxy-start", True
    if span and kind in DURABLE_FAULTS:
        yield span, kind, False


# ---------------------------------------------------------------- what lies on a node


class ActiveFaults:
    """The faults that lie on each place now, and what they come to together. A node that starts or is renewed
    finds them still there, as they are the machine's."""

    def __init__(self, scenario: Scenario) -> None:
        self._classes = [cls.name for cls in scenario.classes]
        self._open: dict[str, dict[tuple[str, str], Fault]] = {}

    def apply(self, change: FaultEvent) -> list[tuple[str, dict[str, Any]]]:
        """Takes a change in; gives, for each place it touches, the arguments of NodeSimulator.set_conditions that
        hold from now on. Nothing for kinds that set no condition."""
        if change.kind not in ON_A_NODE:
            return []
        for place in change.targets:
            held = self._open.setdefault(place, {})
            held.pop((change.fault, change.kind), None)
            if change.is_start:
                held[change.fault, change.kind] = change.spec
        return [
            (place, self.conditions_for(place)) for place in change.targets if change.kind != "black-hole"
        ]

    def conditions_for(self, place: str) -> dict[str, Any]:
        """`slow` multiplies; `errors` adds up as chances of independent causes do; `frozen` and `strip` hold
        while any does; of several heavy tails the latest begun holds."""
        held = self._open.get(place, {})
        slow, errors = 1.0, 0.0
        tail: tuple[float, float, int | None] = (0.0, 1.0, None)
        for (_, kind), fault in held.items():
            slow *= fault.factor if kind == "slow" else 1.0
            errors += (1 - errors) * fault.part if kind == "errors" else 0.0
            tail = self._tail(fault) if kind == "heavy-tail" else tail
        kinds = {kind for _, kind in held}
        return {"slow": slow, "errors": errors, "tail": tail} | {
            "frozen": "freeze" in kinds,
            "strip": "strip-headers" in kinds,
        }

    def is_black_holed(self, place: str) -> bool:
        """Whether a black hole holds the place now."""
        return any(kind == "black-hole" for _, kind in self._open.get(place, {}))

    def _tail(self, fault: Fault) -> tuple[float, float, int | None]:
        return fault.part, fault.factor, self._classes.index(fault.cls) if fault.cls else None
