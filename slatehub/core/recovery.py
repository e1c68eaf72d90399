"""Retry storm detection and retry advice, as the dispatcher uses them. Arrivals and answers are passed to the
pure modules of `decisions`; their results go to the stages, to the decision module as events, and to the log.
This module only connects them: it refuses, chooses and delays nothing itself."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from paddlestep.interface import Outcome, Settings

from ..decisions.advice import AdvicePolicy, Adviser, RetryAdviceConfig, RetryScheduler, make_retry_adviser
from ..decisions.shutdown import ShutdownSchedule
from ..decisions.storm import Phase, StormDetector, StormDetectorConfig
from .commands import LogLine
from .jobs import Answer, AnswerStatus, Job

MAX_ADVICE_US = 60_000_000
# Advice is at most this fraction of the shortest aim: a caller that retries later is served too late to be
# useful.
AIM_DIVISOR = 4
ALL_SLOTS = 2**31  # more slots than there can be
# With more, a proxy recognises so few retries that chance alone would look like a storm.
MAX_SIBLINGS_FOR_SCALING = 8


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """What of it is enabled. `advice`: the policy by which refused callers are advised when to retry."""

    watch: bool = True
    advice: AdvicePolicy = "appointments"


OFF = RecoveryConfig(False, "none")


class Recovery:
    """State of one dispatcher. `seed`: of this proxy, so that proxies without a connection to each other do
    not advise the same instants."""

    def __init__(self, config: RecoveryConfig, settings: Settings, seed: int) -> None:
        self.config = config
        self.seed = seed
        self.shutdown: ShutdownSchedule | None = None
        self.storm: StormDetector | None = None
        self.storm_settings = (0, 0)
        self.flood_reported = False
        self.jobs_queued = False  # the decision module has queued jobs
        self.advice_config: RetryAdviceConfig | None = None
        self.apply_settings(config, settings)

    def apply_settings(self, config: RecoveryConfig, settings: Settings) -> None:
        """Applies a new configuration or new settings. Reservations are lost if the advice configuration
        changes."""
        self.config, self.settings = config, settings
        storm_settings = (len(settings.tenants), settings.siblings)
        if not config.watch:
            self.storm = None
        elif self.storm is None or self.storm_settings != storm_settings:
            self.storm = StormDetector(_storm_config(settings), len(settings.tenants))
        self.storm_settings = storm_settings
        advice = _advice_config(config, settings)
        if self.advice_config != advice:
            self.advice_config = advice
            self.adviser: Adviser = make_retry_adviser(advice, Random(self.seed))

    def set_proxy_count(self, proxies: int) -> None:
        """Sets how many connected proxies give retry advice; 0: no other is known."""
        if isinstance(self.adviser, RetryScheduler):
            self.adviser.set_sibling_count(proxies)

    # ------------------------------------------------------------ jobs

    def job_arrived(self, now: int, job: Job) -> None:
        """A complete request has arrived."""
        arrival = self.adviser.arrived(now, job.fingerprint)
        job.came_on_time, job.came_early = arrival == "kept", arrival == "early"
        if self.storm:
            self.storm.arrival(now, job.fingerprint, job.cls, job.tenant, job.is_retry)

    def reserved_slots(self, now: int, job: Job) -> int:
        """Slots that this job must leave free. None if it came at its advised time. All of them if it came
        early while other jobs are queued: it is refused immediately, without work, and delays no other job."""
        if job.came_early and self.jobs_queued:
            return ALL_SLOTS
        return 0 if job.came_on_time else self.adviser.reserved_slots(now)

    def caller_left(self, now: int, job: Job) -> None:
        """Its caller has disconnected without an answer, and may retry."""
        if self.storm:
            self.storm.request_ended(now, job.fingerprint, "failed")

    def advise(self, now: int, job: Job, answer: Answer) -> int:
        """When a refused caller should retry, in microseconds; 0: no advice."""
        if answer.retry_after_us or not self.settings.retry_after:
            return answer.retry_after_us  # the decision module's own advice
        wait_us = self.shutdown.back_us(now) if self.shutdown else 0
        wait_us = wait_us or self.adviser.refused(now, job.fingerprint)
        return min(wait_us, self.settings.max_retry_after_us)

    def job_answered(self, now: int, job: Job, status: AnswerStatus) -> None:
        """A job has had its final answer."""
        served = status is AnswerStatus.SERVED
        if served:
            self.adviser.served(now, 1)
        if self.storm:
            verdict = "refused" if status is AnswerStatus.REFUSED else "failed"
            self.storm.request_ended(now, job.fingerprint, "served" if served else verdict)  # type: ignore[arg-type]

    def connection_opened(self, now: int) -> None:
        """A caller has opened a new connection."""
        if self.storm:
            self.storm.connection_opened(now)

    # ------------------------------------------------------------ nodes

    def outcome_recorded(self, now: int, outcome: Outcome) -> None:
        """The decision module has processed an outcome; its report contains the utilisation of the node."""
        util = dict(zip(self.settings.report_columns, outcome.report, strict=False)).get("util")
        if self.storm and util is not None:
            self.storm.node_reported(now, outcome.endpoint, util)

    # ------------------------------------------------------------ time

    def batch_processed(self, now: int, waiting: int, slots: float) -> list[LogLine]:
        """Call after each batch of the decision module, with its number of queued jobs and of slots. Returns
        log lines."""
        self.adviser.update_backlog(now, waiting, slots)
        self.jobs_queued = waiting > 0
        return self._log_lines(now) if self.storm else []

    def _log_lines(self, now: int) -> list[LogLine]:
        """Log lines for a change of phase, and for a flood by one tenant, which does not change the phase."""
        assert self.storm
        lines = []
        if change := self.storm.advance(now):
            level = "warning" if change.phase in (Phase.STORM, Phase.RISING) else "info"
            lines.append(LogLine("storm", change.text, level))
        metrics = self.storm.metrics()
        if metrics.flood and not self.flood_reported:
            who = f"account {metrics.top_tenant_index} floods: {metrics.top_tenant:.0%} of what arrives"
            rates = f"{metrics.arrivals_per_s:.0f}/s in all, usually {metrics.usual_per_s:.0f}"
            lines.append(LogLine("storm", f"{who}, {rates}"))
        self.flood_reported = metrics.flood
        return lines

    def due(self) -> int | None:
        """When the dispatcher should call for the storm detector alone."""
        return self.storm.due() if self.storm else None


def _storm_config(settings: Settings) -> StormDetectorConfig:
    """Retrying callers are distributed over all proxies anew, so each proxy recognises only its part of the
    retries."""
    defaults, n = (
        StormDetectorConfig(),
        min(settings.siblings, MAX_SIBLINGS_FOR_SCALING) if settings.tier == 0 else 1,
    )
    return StormDetectorConfig(
        repeats_on=defaults.repeats_on / n, repeats_hard=defaults.repeats_hard / n,
        repeats_off=defaults.repeats_off / n, repeats_quiet=defaults.repeats_quiet / n,
    )  # fmt: skip


def _advice_config(config: RecoveryConfig, settings: Settings) -> RetryAdviceConfig:
    """Callers of later tiers are nodes, which never retry: they get no advice."""
    advice_allowed = settings.retry_after and settings.tier == 0
    aim_limit_us = min(kind.aim_us for kind in settings.classes) // AIM_DIVISOR
    max_advice_us = min(settings.max_retry_after_us, aim_limit_us, MAX_ADVICE_US) if advice_allowed else 0
    return RetryAdviceConfig(way=config.advice if max_advice_us else "none", most_us=max_advice_us)
