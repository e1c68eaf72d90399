"""Converts the fault schedule of a scenario into single events, each with a time and named targets, and
combines the faults that are active on one node. The engines track which processes are alive and carry out
the events.

The kinds of FaultEvent, which every engine implements. Node targets are the ids of the original nodes: they
also stand for a later replacement at the same address. `is_start` is True for all events; kinds marked * last
and end with a FaultEvent whose `is_start` is False (none if `for` is 0: they last until the end of the run).

    kill            the process dies: connections are reset and new ones refused; discovery lists it as gone.
                    No effect if the node is down
    drain           discovery lists the node as DRAINING; the node is notified. No effect if the node is down
    stop            planned end of a node: like kill, but recorded as "stopped". No effect if the node is down
    start           starts the same node again, cold; discovery lists it as SERVING, started now. No effect if
                    the node is up
    renew           starts a new node with a new id (`replacement`) at the address of the old one, cold
    freeze*         no work and no answers; connections stay open and new ones are accepted
    black-hole*     network cut: no data, new connections are never established; when it ends, the old
                    connections are reset
    reset           each open connection breaks with probability spec.part (0: all); with `for`, once a second
    slow*           the node is spec.factor times slower
    errors*         a share spec.part of the requests fails at once
    heavy-tail*     a share spec.part of the requests (of spec.cls, if given) costs spec.factor times the work
    strip-headers*  calls of the node to the next tier carry the class's whole deadline instead of the time
                    left, and no marks
    discovery-down* no targets: discovery does not answer
    discovery-lies* discovery lists the targets, all of one tier, as gone; one FaultEvent for each tier
    proxy-kill      SIGKILL to the named proxies
    proxy-stop      SIGTERM; the proxy may finish its open requests
    proxy-end       SIGKILL if the proxy still runs after a proxy-stop
    proxy-freeze*   SIGSTOP, and SIGCONT at the end; its kernel still accepts connections and data for it
    proxy-start     starts the proxy again, same name and address; if the old process still runs, after it ends
    peer-cut*       no datagrams between the targets and the other proxies of their tier
    peer-mute*      the other proxies of the tier receive no datagrams from the targets
    peer-lossy*     a share spec.part of the datagrams between proxies is lost
    proxy-reload    its configuration is rewritten with the nodes that discovery lists now, then SIGHUP

Compound entries of the schedule are split: restart is drain, stop after `grace` and start after `for`; drain
is drain and, after `for`, stop; replace is kill and renew; kill, proxy-kill and proxy-stop are followed by a
start if `for` is given."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from slatelab.scenario import Fault, Scenario, ScenarioError

from .fleet import NodeSpec, ProxySpec
from .random_streams import RandomStreams

NODE_FAULTS = frozenset(("freeze", "black-hole", "slow", "errors", "heavy-tail", "strip-headers"))
PEER_FAULTS = frozenset(("peer-cut", "peer-mute", "peer-lossy"))
DURABLE_FAULTS = NODE_FAULTS | PEER_FAULTS | {"discovery-down", "discovery-lies", "proxy-freeze"}
MAX_EVENTS = 100_000  # fault events of a run
RESET_INTERVAL_US = 1_000_000
MAX_STOP_GRACE_US, KILL_DELAY_US = 3_000_000, 700_000


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One event to carry out. `at` is in microseconds since the run's epoch; `fault` is the name of the schedule
    entry, "<kind>-<n>" if it has none; `spec` is the entry."""

    at: int
    fault: str
    kind: str
    is_start: bool
    targets: tuple[str, ...]
    spec: Fault


def build_fault_schedule(
    scenario: Scenario, random_streams: RandomStreams, fleet: list[NodeSpec], proxies: list[ProxySpec]
) -> list[FaultEvent]:
    """All events sorted by time; events at the same time in the order of the schedule. Some may be later than
    the last arrival. Raises one ScenarioError that lists all targets that do not exist and each `after` that
    names a fault without an end."""
    resolved = _Schedule(scenario, random_streams, fleet, proxies)
    for i in range(len(scenario.faults)):
        resolved.add(i)
    if resolved.errors:
        raise ScenarioError(resolved.errors)
    return sorted(resolved.events, key=lambda event: event.at)


def stop_span(scenario: Scenario) -> int:
    """How long a proxy may take to exit after SIGTERM, in microseconds: the longest deadline, at most 3 s, plus
    0.7 s. SIGKILL is sent no earlier."""
    return min(MAX_STOP_GRACE_US, max(cls.deadline for cls in scenario.classes)) + KILL_DELAY_US


class _Schedule:
    """Resolves the entries in their order; `ends` has, by name, the time at which an entry ends (None: never)."""

    def __init__(
        self,
        scenario: Scenario,
        random_streams: RandomStreams,
        fleet: list[NodeSpec],
        proxies: list[ProxySpec],
    ) -> None:
        self.scenario, self.random_streams = scenario, random_streams
        self.tiers = {tier.name: t for t, tier in enumerate(scenario.tiers)}
        self.nodes = [[node.id for node in fleet if node.tier == t] for t in range(len(scenario.tiers))]
        self.proxies = [
            [proxy.name for proxy in proxies if proxy.tier == t] for t in range(len(scenario.tiers))
        ]
        self.events: list[FaultEvent] = []
        self.ends: dict[str, int | None] = {}
        self.errors: list[str] = []

    def add(self, i: int) -> None:
        fault = self.scenario.faults[i]
        start_at = fault.at + self._after(i, fault)
        events = (
            FaultEvent(
                start_at + n * fault.stagger + offset, _label(i, fault), kind, is_start, targets, fault
            )
            for n, targets in enumerate(self._groups(i, fault))
            for offset, kind, is_start in _offsets_and_kinds(fault, stop_span(self.scenario))
        )
        new_events = list(islice(events, MAX_EVENTS + 1))
        self.events += new_events
        if len(self.events) > MAX_EVENTS:
            raise ScenarioError(
                [f"{self.scenario.scenario.name}: fault.{i}: makes more than {MAX_EVENTS} changes"]
            )
        end = max((event.at for event in new_events if event.kind != "proxy-end"), default=start_at)
        self.ends[fault.name] = None if fault.kind in DURABLE_FAULTS and not fault.span else end

    def _after(self, i: int, fault: Fault) -> int:
        if not fault.after:
            return 0
        end = self.ends[fault.after]
        if end is None:
            self._add_error(i, "after", f"{fault.after!r} never ends; give it a time with `for`")
        return end or 0

    def _groups(self, i: int, fault: Fault) -> list[tuple[str, ...]]:
        """The groups of targets that are hit at the same time: each target alone with `stagger`, else all together."""
        if fault.kind == "discovery-down":
            return [()]
        if fault.kind == "discovery-lies":
            return self._false_deletions(i, fault)
        targets = self._targets(i, fault)
        return [(target,) for target in targets] if fault.stagger else [targets]

    def _false_deletions(self, i: int, fault: Fault) -> list[tuple[str, ...]]:
        """The chosen nodes, or else a share `part` of the tier (of each tier if none is given)."""
        if fault.names or fault.nodes or fault.share:
            return [self._targets(i, fault)]
        tiers = [self.tiers[fault.tier]] if fault.tier else list(self.tiers.values())
        return [self._choose(i, self.nodes[t], _share_count(fault.part, self.nodes[t]), t) for t in tiers]

    def _targets(self, i: int, fault: Fault) -> tuple[str, ...]:
        if not fault.tier:
            self._add_error(i, "tier", "missing, the targets are chosen from it")
            return ()
        t = self.tiers[fault.tier]
        role = "proxy" if fault.kind.startswith(("proxy", "peer")) else "node"
        candidates = self.proxies[t] if role == "proxy" else self.nodes[t]
        if fault.names:
            return self._named(i, fault, candidates, role)
        if fault.nodes > len(candidates):
            self._add_error(
                i, "nodes", f"{fault.nodes}, but tier {fault.tier!r} has {len(candidates)} to choose from"
            )
            return ()
        count = fault.nodes or (_share_count(fault.share, candidates) if fault.share else len(candidates))
        return self._choose(i, candidates, count, t)

    def _named(self, i: int, fault: Fault, candidates: list[str], role: str) -> tuple[str, ...]:
        for name in fault.names:
            if name not in candidates:
                reason = f"no {role} of tier {fault.tier!r} is named {name[:60]!r}"
                self._add_error(i, "names", f"{reason}; they are {candidates[0]} to {candidates[-1]}")
        return tuple(dict.fromkeys(fault.names))

    def _choose(self, i: int, candidates: list[str], count: int, tier: int) -> tuple[str, ...]:
        """`count` of the candidates, chosen by the seed, in their original order."""
        chosen = self.random_streams.stream("fault", i, tier).sample(range(len(candidates)), count)
        return tuple(candidates[index] for index in sorted(chosen))

    def _add_error(self, i: int, key: str, reason: str) -> None:
        self.errors.append(f"{self.scenario.scenario.name}: fault.{i}.{key}: {reason}")


def _label(i: int, fault: Fault) -> str:
    return fault.name if fault.name != "fault" else f"{fault.kind}-{i + 1}"


def _share_count(share: float, candidates: list[str]) -> int:
    return max(1, round(share * len(candidates)))


def _offsets_and_kinds(fault: Fault, stop_grace: int) -> Iterator[tuple[int, str, bool]]:
    """The events of an entry for one target: offset from its start in microseconds, kind, is_start."""
    kind, span = fault.kind, fault.span
    if kind == "restart":
        yield from ((0, "drain", True), (fault.grace, "stop", True), (fault.grace + span, "start", True))
    elif kind == "drain":
        yield from ((0, "drain", True), (span, "stop", True))
    elif kind == "replace":
        yield from ((0, "kill", True), (span, "renew", True))
    elif kind == "reset":
        yield from ((offset, "reset", True) for offset in range(0, max(span, 1), RESET_INTERVAL_US))
    else:
        yield 0, kind, True
        yield from _follow_ups(kind, span, stop_grace)


def _follow_ups(kind: str, span: int, stop_grace: int) -> Iterator[tuple[int, str, bool]]:
    if kind == "proxy-stop":
        yield stop_grace, "proxy-end", True
    if span and kind in ("kill", "proxy-kill", "proxy-stop"):
        yield span, "start" if kind == "kill" else "proxy-start", True
    if span and kind in DURABLE_FAULTS:
        yield span, kind, False


# ---------------------------------------------------------------- active faults of a node


class ActiveFaults:
    """The faults that are active at each place, and their combined conditions. They belong to the place (the
    host), so they also apply to a node that is restarted or replaced there."""

    def __init__(self, scenario: Scenario) -> None:
        self._classes = [cls.name for cls in scenario.classes]
        self._active: dict[str, dict[tuple[str, str], Fault]] = {}

    def apply(self, event: FaultEvent) -> list[tuple[str, dict[str, Any]]]:
        """Records an event. Returns, for each affected place, the arguments of NodeSimulator.set_conditions that
        apply from now on; empty for kinds that set no condition."""
        if event.kind not in NODE_FAULTS:
            return []
        for place in event.targets:
            active = self._active.setdefault(place, {})
            active.pop((event.fault, event.kind), None)
            if event.is_start:
                active[event.fault, event.kind] = event.spec
        return [(place, self.conditions_for(place)) for place in event.targets if event.kind != "black-hole"]

    def conditions_for(self, place: str) -> dict[str, Any]:
        """The combined conditions of a place: `slow` factors are multiplied; `errors` are combined as
        probabilities of independent causes; `frozen` and `strip` apply while any such fault is active; of
        several heavy tails the one that started last applies."""
        active = self._active.get(place, {})
        slow, errors = 1.0, 0.0
        tail: tuple[float, float, int | None] = (0.0, 1.0, None)
        for (_, kind), fault in active.items():
            slow *= fault.factor if kind == "slow" else 1.0
            errors += (1 - errors) * fault.part if kind == "errors" else 0.0
            tail = self._tail(fault) if kind == "heavy-tail" else tail
        kinds = {kind for _, kind in active}
        return {"slow": slow, "errors": errors, "tail": tail} | {
            "frozen": "freeze" in kinds,
            "strip": "strip-headers" in kinds,
        }

    def is_black_holed(self, place: str) -> bool:
        """Whether a black-hole fault is active at the place."""
        return any(kind == "black-hole" for _, kind in self._active.get(place, {}))

    def _tail(self, fault: Fault) -> tuple[float, float, int | None]:
        return fault.part, fault.factor, self._classes.index(fault.cls) if fault.cls else None
