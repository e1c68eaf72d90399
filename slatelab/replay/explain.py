"""The history of one request: when it arrived, the module's figures at each decision about it, the module's actions,
and how each attempt ended. The history is built from the recording's batches and a DecisionObserver; what the recording
does not hold is left empty."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from slatehub.observe.flight import FlightRecording

from .decision_observer import DecisionObserver, Moment
from .replayer import Step, replay_batches

MAX_MOMENTS = 200  # kept for one request
MAX_HISTORIES = 20  # requests explained for one request ID


@dataclass(slots=True)
class AttemptHistory:
    """One attempt. `ended` is 0 if the recording ends before the attempt does."""

    endpoint: int
    sent: int
    timeout_us: int
    cancelled: int = 0
    ended: int = 0
    status: str = ""
    latency_us: int = 0


@dataclass(slots=True)
class RequestHistory:
    """What happened to one request. `end` says how it ended (refused, failed, served, closed, given up); it is "" if
    the recording ends first."""

    number: int
    index: int  # of the batch in which it arrived
    now: int
    cls: str
    effect: str
    tenant: str
    left_us: int
    repeat: bool
    attempts: list[AttemptHistory] = field(default_factory=list)
    moments: list[Moment] = field(default_factory=list)
    times_passed_over: int = 0
    end: str = ""
    ended_at: int = 0
    dropped_moments: int = 0  # moments beyond MAX_MOMENTS

    def add_moment(self, moment: Moment) -> None:
        if len(self.moments) == MAX_MOMENTS:  # keeps the last ones, which show how the request ended
            del self.moments[MAX_MOMENTS // 2]
            self.dropped_moments += 1
        self.moments.append(moment)


def find_arrivals(recording: FlightRecording, name: str) -> list[tuple[int, int]]:
    """Returns batch index and request number of each arrival with this request ID: a caller may use an ID again after
    it was answered."""
    places = {place for place, (kind, _) in enumerate(recording.header.kinds) if kind == "Arrival"}
    out = []
    for index, batch in enumerate(recording.batches):
        if name in batch.names:
            arrivals = [values[0] for place, values in batch.events if place in places and values]
            pairs = zip(arrivals, batch.names, strict=False)
            out += [(index, number) for number, one in pairs if one == name and isinstance(number, int)]
    return out[:MAX_HISTORIES]


def arrival_names(recording: FlightRecording) -> Iterator[str]:
    for batch in recording.batches:
        yield from batch.names


class Explainer:
    """Replays a recording while a DecisionObserver watches the module. Iterate over `steps` to its end, then read
    `histories`."""

    def __init__(self, recording: FlightRecording, package: str, name: str) -> None:
        self.recording = recording
        self.package = package
        self.arrival_batches = {
            number: index for index, number in find_arrivals(recording, name)
        }  # request number: batch of its arrival
        self.histories: dict[int, RequestHistory] = {}
        self.early_moments: list[Moment] = []
        self.balancer: Any = None

    def steps(self) -> Iterator[Step]:
        for step in replay_batches(self.recording, self.package, self._prepare):
            self._process_step(step)
            if step.got is not None:
                self.observer.batch_over()
            yield step
        for number, count in self.observer.pass_counts.items():
            if number in self.histories:
                self.histories[number].times_passed_over = count

    def _prepare(self, balancer: Any) -> None:
        self.balancer = balancer
        self.observer = DecisionObserver(balancer, self.arrival_batches, self._keep_moment)

    def _keep_moment(self, moment: Moment) -> None:
        """Keeps a moment. Those of the arrival's own batch are observed before the request's history exists."""
        if moment.number in self.histories:
            self.histories[moment.number].add_moment(moment)
        else:
            self.early_moments.append(moment)

    # ------------------------------------------------------------ events and actions of a batch

    def _process_step(self, step: Step) -> None:
        for event in step.events:
            if getattr(event, "request", None) in self.arrival_batches:
                self._process_event(step, event)
        for kind, fields in step.got or []:
            if fields.get("request") in self.histories:
                self._process_action(step, kind, self.histories[fields["request"]], fields)

    def _process_event(self, step: Step, event: Any) -> None:
        kind, now = type(event).__name__, step.batch.now
        if kind == "Arrival" and self.arrival_batches[event.request] == step.index:
            self._start_history(step, event)
            return
        history = self.histories.get(event.request)
        if history and kind == "Outcome":
            self._end_attempt(history, event, now)
        elif history and kind == "ClientGone" and not history.end:
            history.end, history.ended_at = "given up by its caller, or out of time", now

    def _start_history(self, step: Step, event: Any) -> None:
        settings = getattr(self.balancer, "settings", None)
        cls = _item_or_none(getattr(settings, "classes", ()), event.cls)
        tenant = _item_or_none(getattr(settings, "tenants", ()), event.tenant)
        history = RequestHistory(
            event.request, step.index, step.batch.now, getattr(cls, "name", str(event.cls)),
            getattr(getattr(cls, "effect", None), "value", "unknown"), getattr(tenant, "name", str(event.tenant)),
            event.left_us, event.repeat,
        )  # fmt: skip
        self.histories[event.request] = history
        for moment in [m for m in self.early_moments if m.number == event.request]:
            history.add_moment(moment)
        self.early_moments = [m for m in self.early_moments if m.number != event.request]

    def _end_attempt(self, history: RequestHistory, event: Any, now: int) -> None:
        if event.attempt < len(history.attempts):
            one = history.attempts[event.attempt]
            one.ended, one.status, one.latency_us = now, event.status.name, event.latency_us
        if event.closed and not history.end:
            history.end = "served" if event.status.name == "OK" else "closed by its proxy"
            history.ended_at = now

    def _process_action(self, step: Step, kind: str, history: RequestHistory, fields: dict[str, Any]) -> None:
        now = step.batch.now
        if kind == "Send":
            history.attempts.append(AttemptHistory(fields["endpoint"], now, fields["timeout_us"]))
        elif kind == "Cancel" and fields["attempt"] < len(history.attempts):
            history.attempts[fields["attempt"]].cancelled = now
        elif kind in ("Refuse", "Fail") and not history.end:
            history.end, history.ended_at = "refused" if kind == "Refuse" else "failed", now


def _item_or_none(items: Any, place: int) -> Any:
    return items[place] if 0 <= place < len(items) else None
