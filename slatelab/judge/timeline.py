"""Index of all facts that do not belong to a request: when each proxy was running, which node states discovery had sent
it, which nodes were unresponsive, and when the lab itself was late.

Tolerance between timestamps: a fact is stamped after the event it describes, by one of several parties. So facts of
different parties are compared with a tolerance of SKEW_US, plus the largest `Lagged.by_us` recorded within NEAR_US of
either of the two times, where a Lagged at `t` applies to the time from `t - by_us` to `t`."""

from __future__ import annotations

import re
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from slatelab.records import Down, FaultBegan, FaultEnded, Lagged, ProxyDown, ProxyUp, Record, Told, Up
from slatelab.scenario.types import Rules

SKEW_US = 2_000
NEAR_US = 100_000
# A proxy must answer the requests that it accepts later than this after the start of a planned stop.
STOP_MARGIN_US = 700_000
MAX_STOP_GRACE_US = 3_000_000  # a longer longest deadline does not extend the time of a planned stop
NEVER = 2**62
REPLACEMENT_SUFFIX = re.compile(r"-r\d+$")
# Faults during which a node or a proxy neither receives nor sends.
UNRESPONSIVE_FAULTS = (
    "freeze",
    "black-hole",
    "proxy-freeze",
)


class Span(NamedTuple):
    """A time span from `start` (included) until `end` (excluded); `fact` is the fact that started it."""

    start: int
    end: int
    fact: Record


class Timeline:
    """Built once from all facts that do not belong to a request. Times are microseconds since the run's epoch."""

    def __init__(self, rules: Rules, facts: Iterable[Record], end: int) -> None:
        self.end = end  # of the recording
        self.ups: list[Up] = []
        self.downs: dict[str, list[Down]] = defaultdict(list)
        self.proxies: dict[str, list[ProxyUp | ProxyDown]] = defaultdict(list)
        self._rules = rules
        self._max_lag: dict[int, int] = {}
        self._starts: dict[str, list[Told]] = defaultdict(list)
        # By original node id or proxy; spans may overlap.
        self._unresponsive: dict[str, list[Span]] = defaultdict(list)
        self._told_spans = _SpanTable()  # by proxy and node: informed that the node drains or is gone
        self._first_told_spans = _SpanTable()  # by node: the same, from the first proxy that was informed
        for fact in facts:
            self._add(fact)

    # ------------------------------------------------------------ the lab

    def lag(self, *times: int) -> int:
        """By how many microseconds the lab was late near any of these times; 0 if it was not."""
        return max(self._max_lag.get(t // NEAR_US, 0) for t in times) if self._max_lag else 0

    def slack(self, *times: int) -> int:
        """Tolerance in microseconds between timestamps near these times."""
        return SKEW_US + self.lag(*times)

    def unresponsive(self, node: str, start: int, end: int) -> bool:
        """Whether a fault made the node or proxy unresponsive at some time in between. Faults name a node by the id of
        the original node at its place."""
        spans = self._unresponsive.get(REPLACEMENT_SUFFIX.sub("", node), ())
        return any(span.start <= end and start < span.end for span in spans)

    # ------------------------------------------------------------ proxies

    def resumed_at(self, proxy: str, t: int) -> int:
        """The last time up to `t` at which the proxy resumed after a fault; before the run if there was none."""
        return max((span.end for span in self._unresponsive.get(proxy, ()) if span.end <= t), default=-NEVER)

    def ended(self, proxy: str, start: int, end: int) -> ProxyDown | None:
        """The first end of the proxy's process between the two times, both included; or an earlier end after which it
        had not become ready again by `start`."""
        found = None
        for fact in self.proxies.get(proxy, ()):
            if fact.t > end:
                break
            if fact.t <= start and isinstance(fact, ProxyUp):
                found = None
            elif found is None and isinstance(fact, ProxyDown) and fact.why != "planned":
                found = fact
        return found

    def planned_stop(self, proxy: str, t: int) -> ProxyDown | None:
        """The planned stop of the proxy's current process, if it had begun by `t`."""
        found = None
        for fact in self.proxies.get(proxy, ()):
            if fact.t > t:
                break
            if isinstance(fact, ProxyUp):
                found = None
            elif fact.why == "planned":
                found = fact
        return found

    # ------------------------------------------------------------ what discovery sent to a proxy

    def told_gone(self, proxy: str, node: str, t: int) -> Span | None:
        """Since when the proxy counts as informed, at `t`, that the node drains or is gone. It is informed if
        discovery sent this to its current process and has not sent it SERVING since. It is assumed to be informed
        `ask_every` after discovery first sent this to any proxy (or after the proxy's own start, if that was later),
        until discovery sends SERVING to any proxy again. Changes that discovery sent to no proxy are not considered."""
        if not self._first_told_spans.has_spans(node):
            return None
        own = self._told_spans.at(f"{proxy} {node}", t)
        first_told = self._first_told_spans.at(node, t)
        assumed = None
        if first_told:
            since = max(first_told.start, self._started(proxy, t)) + self._rules.ask_every
            assumed = Span(since, first_told.end, first_told.fact) if since <= t else None
        return min((span for span in (own, assumed) if span), default=None, key=lambda span: span.start)

    def informed(self, proxy: str, up: Up, t: int) -> bool:
        """Whether the proxy counts as informed, at `t`, of this start of a node: discovery has sent it SERVING with a
        `since` later than the node's last end before the start; or has sent this to any proxy at least `ask_every`
        earlier, and the proxy has been running for that long."""
        tellings = [told for told in self._starts[up.node] if told.t <= t and self._refers_to(told, up)]
        assumed = bool(tellings) and max(tellings[0].t, self._started(proxy, t)) + self._rules.ask_every <= t
        return assumed or any(told.proxy == proxy for told in tellings)

    def starts_told(self, up: Up) -> list[Told]:
        """The facts in which discovery informed any proxy of this start."""
        return [told for told in self._starts[up.node] if self._refers_to(told, up)]

    # ------------------------------------------------------------ construction

    def _refers_to(self, told: Told, up: Up) -> bool:
        earlier_ends = [down.t for down in self.downs.get(up.node, ()) if down.life < up.life]
        return told.since > max(earlier_ends, default=0)

    def _started(self, proxy: str, t: int) -> int:
        lives = [f.t for f in self.proxies.get(proxy, ()) if isinstance(f, ProxyUp) and f.t <= t]
        return lives[-1] if lives else -NEVER

    def _add(self, fact: Record) -> None:
        if isinstance(fact, Told):
            self._add_told(fact)
        elif isinstance(fact, Up):
            self.ups.append(fact)
        elif isinstance(fact, Down):
            self.downs[fact.node].append(fact)
        elif isinstance(fact, ProxyUp | ProxyDown):
            self._add_proxy_event(fact)
        elif isinstance(fact, FaultBegan | FaultEnded):
            self._add_fault_event(fact)
        elif isinstance(fact, Lagged):
            for bucket in range((fact.t - fact.by_us) // NEAR_US - 1, fact.t // NEAR_US + 2):
                self._max_lag[bucket] = max(fact.by_us, self._max_lag.get(bucket, 0))

    def _add_told(self, told: Told) -> None:
        for spans, name in (
            (self._told_spans, f"{told.proxy} {told.node}"),
            (self._first_told_spans, told.node),
        ):
            if told.phase == "SERVING":
                spans.close(name, told.t)
            else:
                spans.open(name, told)
        if told.phase == "SERVING" and told.since:
            self._starts[told.node].append(told)

    def _add_proxy_event(self, fact: ProxyUp | ProxyDown) -> None:
        self.proxies[fact.proxy].append(fact)
        if isinstance(fact, ProxyDown) and fact.why != "planned":
            # The next process has not received anything from discovery yet.
            self._told_spans.close_all(f"{fact.proxy} ", fact.t)

    def _add_fault_event(self, fact: FaultBegan | FaultEnded) -> None:
        for target in fact.targets if fact.kind in UNRESPONSIVE_FAULTS else ():
            spans = self._unresponsive[target]
            if isinstance(fact, FaultBegan):
                spans.append(Span(fact.t, NEVER, fact))
            for i, span in enumerate(spans):
                began = span.fact
                if isinstance(fact, FaultEnded) and isinstance(began, FaultBegan) and began.name == fact.name:
                    spans[i] = span._replace(end=min(span.end, fact.t))


class _SpanTable:
    """Time spans by name, in order of time. The last one of a name may still be open."""

    def __init__(self) -> None:
        self._spans_by_name: dict[str, list[Span]] = {}

    def has_spans(self, name: str) -> bool:
        return name in self._spans_by_name

    def open(self, name: str, fact: Record) -> None:
        spans = self._spans_by_name.setdefault(name, [])
        if not spans or spans[-1].end != NEVER:
            spans.append(Span(fact.t, NEVER, fact))

    def close(self, name: str, t: int) -> None:
        spans = self._spans_by_name.get(name)
        if spans and spans[-1].end == NEVER:
            spans[-1] = spans[-1]._replace(end=t)

    def close_all(self, prefix: str, t: int) -> None:
        for name in self._spans_by_name:
            if name.startswith(prefix):
                self.close(name, t)

    def at(self, name: str, t: int) -> Span | None:
        spans = self._spans_by_name.get(name, ())
        i = bisect_right(spans, t, key=lambda span: span.start) - 1
        return spans[i] if i >= 0 and t < spans[i].end else None
