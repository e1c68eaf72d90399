"""The story of one request: when it came, what the module knew at each moment that concerned it, what it did, and how
each attempt ended. It owns the telling from a recording's batches and a witness. It must never guess: what the
recording does not hold is left open."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from slatehub.observe.flight import Flight

from .play import Step, play
from .witness import Moment, Witness

MOST_MOMENTS = 200  # of one request
MOST_STORIES = 20  # requests under one id


@dataclass(slots=True)
class Try:
    """One attempt. `ended` 0: the recording ends before it does."""

    endpoint: int
    sent: int
    timeout_us: int
    withdrawn: int = 0
    ended: int = 0
    status: str = ""
    latency_us: int = 0


@dataclass(slots=True)
class Story:
    """`end`: refused, failed, served, left, or "" where the recording ends first."""

    number: int
    index: int  # of the batch it came in
    now: int
    cls: str
    effect: str
    tenant: str
    left_us: int
    repeat: bool
    tries: list[Try] = field(default_factory=list)
    moments: list[Moment] = field(default_factory=list)
    passed: int = 0
    end: str = ""
    end_at: int = 0
    dropped: int = 0  # moments beyond the most

    def note(self, moment: Moment) -> None:
        if len(self.moments) == MOST_MOMENTS:  # the last ones matter, as they tell how it ended
            del self.moments[MOST_MOMENTS // 2]
            self.dropped += 1
        self.moments.append(moment)


def found(flight: Flight, name: str) -> list[tuple[int, int]]:
    """Batch and number of each arrival under this id: a caller may use it again once it has its answer."""
    places = {place for place, (kind, _) in enumerate(flight.head.kinds) if kind == "Arrival"}
    out = []
    for index, batch in enumerate(flight.batches):
        if name in batch.names:
            arrivals = [values[0] for place, values in batch.events if place in places and values]
            pairs = zip(arrivals, batch.names, strict=False)
            out += [(index, number) for number, one in pairs if one == name and isinstance(number, int)]
    return out[:MOST_STORIES]


def arrivals(flight: Flight) -> Iterator[str]:
    for batch in flight.batches:
        yield from batch.names


class Explainer:
    """Plays a recording with a witness beside the module. Iterate over `steps` to its end, then read `stories`."""

    def __init__(self, flight: Flight, package: str, name: str) -> None:
        self.flight = flight
        self.package = package
        self.places = {number: index for index, number in found(flight, name)}  # the batch each came in
        self.stories: dict[int, Story] = {}
        self.early: list[Moment] = []
        self.balancer: Any = None

    def steps(self) -> Iterator[Step]:
        for step in play(self.flight, self.package, self._prepare):
            self._follow(step)
            if step.got is not None:
                self.witness.batch_over()
            yield step
        for number, count in self.witness.passed.items():
            if number in self.stories:
                self.stories[number].passed = count

    def _prepare(self, balancer: Any) -> None:
        self.balancer = balancer
        self.witness = Witness(balancer, self.places, self._note)

    def _note(self, moment: Moment) -> None:
        """What is seen while its batch is played comes before the batch itself is told."""
        if moment.number in self.stories:
            self.stories[moment.number].note(moment)
        else:
            self.early.append(moment)

    # ------------------------------------------------------------ a batch

    def _follow(self, step: Step) -> None:
        for event in step.events:
            if getattr(event, "request", None) in self.places:
                self._event(step, event)
        for kind, fields in step.got or []:
            if fields.get("request") in self.stories:
                self._action(step, kind, self.stories[fields["request"]], fields)

    def _event(self, step: Step, event: Any) -> None:
        kind, now = type(event).__name__, step.batch.now
        if kind == "Arrival" and self.places[event.request] == step.index:
            self._begin(step, event)
            return
        story = self.stories.get(event.request)
        if story and kind == "Outcome":
            self._ended(story, event, now)
        elif story and kind == "ClientGone" and not story.end:
            story.end, story.end_at = "given up by its caller, or out of time", now

    def _begin(self, step: Step, event: Any) -> None:
        terms = getattr(self.balancer, "settings", None)
        cls = _at(getattr(terms, "classes", ()), event.cls)
        tenant = _at(getattr(terms, "tenants", ()), event.tenant)
        story = Story(
            event.request, step.index, step.batch.now, getattr(cls, "name", str(event.cls)),
            getattr(getattr(cls, "effect", None), "value", "unknown"), getattr(tenant, "name", str(event.tenant)),
            event.left_us, event.repeat,
        )  # fmt: skip
        self.stories[event.request] = story
        for moment in [m for m in self.early if m.number == event.request]:
            story.note(moment)
        self.early = [m for m in self.early if m.number != event.request]

    def _ended(self, story: Story, event: Any, now: int) -> None:
        if event.attempt < len(story.tries):
            one = story.tries[event.attempt]
            one.ended, one.status, one.latency_us = now, event.status.name, event.latency_us
        if event.closed and not story.end:
            story.end = "served" if event.status.name == "OK" else "closed by its proxy"
            story.end_at = now

    def _action(self, step: Step, kind: str, story: Story, fields: dict[str, Any]) -> None:
        now = step.batch.now
        if kind == "Send":
            story.tries.append(Try(fields["endpoint"], now, fields["timeout_us"]))
        elif kind == "Cancel" and fields["attempt"] < len(story.tries):
            story.tries[fields["attempt"]].withdrawn = now
        elif kind in ("Refuse", "Fail") and not story.end:
            story.end, story.end_at = "refused" if kind == "Refuse" else "failed", now


def _at(items: Any, place: int) -> Any:
    return items[place] if 0 <= place < len(items) else None
