"""The way back from storms and outages, as the desk goes through it: what arrives and how it ends is told to the pure
modules of `decisions`, and what they say is handed to the stages, to the module as events, and to the log. This file
owns who is asked what, and when. It must never refuse, choose or hold anything itself."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from paddlestep.interface import Outcome, Settings

from ..decisions.advice import AdvicePolicy, Adviser, RetryAdviceConfig, RetryScheduler, make_retry_adviser
from ..decisions.shutdown import ShutdownSchedule
from ..decisions.storm import Phase, StormDetector, StormDetectorConfig
from .commands import LogLine
from .jobs import Answer, AnswerStatus, Job

ADVICE_MOST_US = 60_000_000
AIM_PART = (
    4  # a caller is sent away for this part of the shortest aim at the most: later it is served for nothing
)
EVERY_PLACE = 2**31
MOST_SIBLINGS = 8  # of more, so few repeats are recognised that chance would tell of storms


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """What of it is on. `advice`: the way in which refused callers are told when to come back."""

    watch: bool = True
    advice: AdvicePolicy = "appointments"


OFF = RecoveryConfig(False, "none")


class Recovery:
    """One desk's. `seed`: of this proxy, so that proxies which share nothing do not promise the same instants."""

    def __init__(self, terms: RecoveryConfig, settings: Settings, seed: int) -> None:
        self.terms = terms
        self.seed = seed
        self.stop: ShutdownSchedule | None = None
        self.storm: StormDetector | None = None
        self.seen = (0, 0)
        self.flooded = False
        self.crowded = False  # the module holds jobs
        self.advice_terms: RetryAdviceConfig | None = None
        self.apply_settings(terms, settings)

    def apply_settings(self, terms: RecoveryConfig, settings: Settings) -> None:
        """New terms or settings. Appointments that were given are forgotten where the way changes."""
        self.terms, self.settings = terms, settings
        seen = (len(settings.tenants), settings.siblings)
        if not terms.watch:
            self.storm = None
        elif self.storm is None or self.seen != seen:
            self.storm = StormDetector(_storm(settings), len(settings.tenants))
        self.seen = seen
        advice = _advice(terms, settings)
        if self.advice_terms != advice:
            self.advice_terms = advice
            self.adviser: Adviser = make_retry_adviser(advice, Random(self.seed))

    def share(self, siblings: int) -> None:
        """So many proxies that know each other tell callers when to come; 0: none that is known."""
        if isinstance(self.adviser, RetryScheduler):
            self.adviser.set_sibling_count(siblings)

    # ------------------------------------------------------------ jobs

    def job_arrived(self, now: int, job: Job) -> None:
        """A job has come in whole."""
        coming = self.adviser.arrived(now, job.fingerprint)
        job.came_on_time, job.early = coming == "kept", coming == "early"
        if self.storm:
            self.storm.arrival(now, job.fingerprint, job.cls, job.tenant, job.is_retry)

    def reserve(self, now: int, job: Job) -> int:
        """Places that this one must leave free: none for who keeps an appointment; all of them for who does not wait
        for it, while others do wait: it is refused at once, without work, and pushes nobody back."""
        if job.early and self.crowded:
            return EVERY_PLACE
        return 0 if job.came_on_time else self.adviser.reserved_slots(now)

    def left(self, now: int, job: Job) -> None:
        """Its caller has gone without an answer, and may be back."""
        if self.storm:
            self.storm.request_ended(now, job.fingerprint, "failed")

    def advise(self, now: int, job: Job, answer: Answer) -> int:
        """When a refused caller should come back: microseconds, 0: say nothing."""
        if answer.retry_after_us or not self.settings.retry_after:
            return answer.retry_after_us  # the module's own word
        wait = self.stop.back_us(now) if self.stop else 0
        wait = wait or self.adviser.refused(now, job.fingerprint)
        return min(wait, self.settings.max_retry_after_us)

    def answered(self, now: int, job: Job, verdict: AnswerStatus) -> None:
        served = verdict is AnswerStatus.SERVED
        if served:
            self.adviser.served(now, 1)
        if self.storm:
            how = "refused" if verdict is AnswerStatus.REFUSED else "failed"
            self.storm.request_ended(now, job.fingerprint, "served" if served else how)  # type: ignore[arg-type]

    def connection_opened(self, now: int) -> None:
        """A caller's new connection."""
        if self.storm:
            self.storm.connection_opened(now)

    # ------------------------------------------------------------ nodes

    def booked(self, now: int, outcome: Outcome) -> None:
        """The module has heard of an outcome; its report says how busy the node is."""
        util = dict(zip(self.settings.report_columns, outcome.report, strict=False)).get("util")
        if self.storm and util is not None:
            self.storm.node_reported(now, outcome.endpoint, util)

    # ------------------------------------------------------------ time

    def turned(self, now: int, waiting: int, slots: float) -> list[LogLine]:
        """After a turn of the module, with the jobs that it holds and its slots: lines for the log."""
        self.adviser.update_backlog(now, waiting, slots)
        self.crowded = waiting > 0
        return self._told(now) if self.storm else []

    def _told(self, now: int) -> list[LogLine]:
        """A change of phase, and a flood of one account, which changes none."""
        assert self.storm
        lines = []
        if changed := self.storm.advance(now):
            level = "warning" if changed.phase in (Phase.STORM, Phase.RISING) else "info"
            lines.append(LogLine("storm", changed.text, level))
        now_seen = self.storm.metrics()
        if now_seen.flood and not self.flooded:
            who = f"account {now_seen.top_tenant_index} floods: {now_seen.top_tenant:.0%} of what arrives"
            rates = f"{now_seen.arrivals_per_s:.0f}/s in all, usually {now_seen.usual_per_s:.0f}"
            lines.append(LogLine("storm", f"{who}, {rates}"))
        self.flooded = now_seen.flood
        return lines

    def due(self) -> int | None:
        """When the desk should take a turn for this alone."""
        return self.storm.due() if self.storm else None


def _storm(settings: Settings) -> StormDetectorConfig:
    """Callers who come back are dealt out anew: of their repeats one proxy recognises its part only."""
    usual, n = StormDetectorConfig(), min(settings.siblings, MOST_SIBLINGS) if settings.tier == 0 else 1
    return StormDetectorConfig(
        repeats_on=usual.repeats_on / n, repeats_hard=usual.repeats_hard / n, repeats_off=usual.repeats_off / n,
        repeats_quiet=usual.repeats_quiet / n,
    )  # fmt: skip


def _advice(terms: RecoveryConfig, settings: Settings) -> RetryAdviceConfig:
    """Callers of later tiers are nodes, which never come back: nothing is said to them."""
    allowed = settings.retry_after and settings.tier == 0
    aim = min(kind.aim_us for kind in settings.classes) // AIM_PART
    most = min(settings.max_retry_after_us, aim, ADVICE_MOST_US) if allowed else 0
    return RetryAdviceConfig(way=terms.advice if most else "none", most_us=most)
