"""Tests the dispatcher with the real decision module under arbitrary orders of events, on a simulated clock.
A model checks that each job gets its one answer and that the end of each attempt is reported once."""

from __future__ import annotations

from dataclasses import replace

from audit import Audit, assert_idle
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from paddlestep.interface import Effect, Entry, ListKind, ServiceClass, Settings, State, Status
from slatehub.core.commands import CancelAttempt, DeliverAnswer, StartAttempt
from slatehub.core.dispatcher import Dispatcher
from slatehub.core.jobs import Answer, AnswerStatus, Attempt, Job
from slatehub.core.recovery import RecoveryConfig
from slatehub.decisions.shutdown import ShutdownSchedule

CLASSES = (
    ServiceClass("look", Effect.SAFE, aim_us=300_000, deadline_us=900_000),
    ServiceClass("buy", aim_us=300_000),
)
SETTINGS = Settings(
    CLASSES, tick_us=5_000, max_attempts=3, may_cancel=True, may_duplicate=True, answer_slack_us=8_000,
    retry_after=True, max_retry_after_us=1_000_000, cold_from=0.3, warm_after_us=2_000_000,
    report_columns=("qps", "util"),
)  # fmt: skip
HTTP_STATUS = {
    AnswerStatus.SERVED: 200,
    AnswerStatus.REFUSED: 503,
    AnswerStatus.FAILED: 500,
    AnswerStatus.DEADLINE_EXCEEDED: 504,
}
END_STATUSES = [Status.OK, Status.ERROR, Status.FULL, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED]


class NoResponder:
    def answer(self, job: Job, answer: Answer) -> None:
        raise AssertionError("the dispatcher itself delivers nothing")

    def may_begin(self, job: Job) -> bool:
        return True


class DispatcherModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 10_000_000
        self.dispatcher = Dispatcher(SETTINGS, seed=7, max_jobs=12, recovery_config=RecoveryConfig())
        self.jobs: dict[str, Job] = {}
        self.answers: dict[str, list[Answer]] = {}
        self.in_flight: list[Attempt] = []
        self.send_counts: dict[str, int] = {}
        self.disconnected: set[str] = set()
        self.last_number = 0
        self.shutdown: ShutdownSchedule | None = None
        self.current_settings = SETTINGS
        self.audit = Audit(("look",), ("buy",), slack="1 ms", attempts=3, second_copies=True)
        self.dispatcher.update_nodes(self.now, ListKind.FULL, 1, tuple(Entry(n) for n in range(1, 5)))
        self.run_pending()

    def run_pending(self) -> None:
        """Does what a driver does after each event."""
        while self.dispatcher.pending_events or self.dispatcher.commands:
            self.execute_commands()
            if self.dispatcher.pending_events:
                self.dispatcher.process_batch(self.now)
        for name, job in self.jobs.items():
            assert job.answered == bool(self.answers[name] or name in self.disconnected)

    def execute_commands(self) -> None:
        for command in self.dispatcher.take_commands():
            if isinstance(command, DeliverAnswer):
                self.answers[command.job.request_id].append(command.answer)
                self.audit.answered(
                    self.now,
                    command.job.request_id,
                    HTTP_STATUS[command.answer.status],
                    command.answer.response or "",
                )
            elif isinstance(command, StartAttempt):
                job = command.attempt.job
                assert not job.answered and self.now < command.attempt.deadline <= job.deadline
                self.send_counts[job.request_id] += 1
                self.in_flight.append(command.attempt)
            elif isinstance(command, CancelAttempt) and not command.attempt.finished:
                self.in_flight.remove(command.attempt)
                self.end_attempt(command.attempt, Status.CANCELLED)

    def end_attempt(self, attempt: Attempt, status: Status, report: tuple[float, ...] = ()) -> None:
        token = f"{attempt.job.request_id}/{attempt.number}"
        self.audit.ended(self.now, attempt, status, token)
        self.dispatcher.attempt_ended(self.now, attempt, status, report, token)

    @rule(cls=st.integers(0, 1), time_left_us=st.integers(0, 1_200_000), again=st.booleans())
    def submit_request(self, cls: int, time_left_us: int, again: bool) -> None:
        open_ids = [n for n, job in self.jobs.items() if not job.answered]
        if again and open_ids:
            duplicate = Job(open_ids[0], cls, 0, self.now + time_left_us, None, NoResponder())
            assert not self.dispatcher.submit(self.now, duplicate), "two open jobs with one request id"
            return
        self.last_number += 1
        name = f"o{self.last_number}"
        deadline = (
            self.shutdown.clamp_deadline(self.now + time_left_us)
            if self.shutdown
            else self.now + time_left_us
        )
        self.jobs[name] = job = Job(
            name, cls, 0, deadline, None, NoResponder(), again, fingerprint=time_left_us % 7
        )
        self.answers[name], self.send_counts[name] = [], 0
        self.audit.asked(self.now, name, CLASSES[cls].name, job.deadline)
        assert self.dispatcher.submit(self.now, job)
        assert (due := self.dispatcher.due()) is None or due >= self.now, (
            "the driver would be woken without end"
        )
        self.run_pending()

    @precondition(lambda self: self.in_flight)
    @rule(pick=st.integers(0, 99), status=st.sampled_from(END_STATUSES), twice=st.booleans())
    def attempt_ends(self, pick: int, status: Status, twice: bool) -> None:
        attempt = self.in_flight.pop(pick % len(self.in_flight))
        self.end_attempt(attempt, status, (30.0, pick / 99) if pick % 3 else ())
        if twice:  # a transport that reports it twice must be ignored the second time
            self.dispatcher.attempt_ended(self.now, attempt, Status.RESET)
        self.run_pending()

    @rule(pick=st.integers(0, 99))
    def caller_disconnects(self, pick: int) -> None:
        names = [n for n, job in self.jobs.items() if not job.answered]
        if names:
            name = names[pick % len(names)]
            self.disconnected.add(name)
            self.audit.left(self.now, name)
            self.dispatcher.caller_disconnected(self.now, self.jobs[name])
            self.run_pending()

    @rule(node=st.integers(1, 5), state=st.sampled_from(State), restarted=st.booleans())
    def node_changes(self, node: int, state: State, restarted: bool) -> None:
        since = self.now if restarted else 0
        self.dispatcher.update_nodes(self.now, ListKind.DELTA, 2, (Entry(node, state, since_us=since),))
        self.run_pending()

    @rule(
        nodes=st.sets(st.integers(1, 6)),
        kind=st.sampled_from([ListKind.FULL, ListKind.CACHED, ListKind.FAILED]),
    )
    def full_list(self, nodes: set[int], kind: ListKind) -> None:
        """The list is emptied and filled again, replaced as a whole between changes, taken from a cache, or
        unavailable."""
        self.dispatcher.update_nodes(
            self.now, kind, 3, tuple(Entry(n) for n in nodes) if kind is not ListKind.FAILED else ()
        )
        assert (
            len(self.dispatcher.forget_removed_nodes(2)) <= 6 and len(self.dispatcher.unavailable_since) <= 6
        )
        self.run_pending()

    @rule(attempts=st.integers(1, 3), siblings=st.integers(1, 3), classes=st.integers(2, 4))
    def settings_change(self, attempts: int, siblings: int, classes: int) -> None:
        """Settings are reloaded: classes are added, and the number of siblings and so the order among them
        changes."""
        service_classes = (
            *self.current_settings.classes,
            *(ServiceClass(f"c{n}") for n in range(classes - len(self.current_settings.classes))),
        )
        self.current_settings = replace(
            self.current_settings,
            classes=service_classes,
            max_attempts=attempts,
            siblings=siblings,
            me=siblings - 1,
        )
        self.dispatcher.apply_settings(self.current_settings, 12, RecoveryConfig())
        self.run_pending()

    @rule()
    def module_fails(self) -> None:
        """All open jobs are answered at once, and a new decision module continues."""
        self.dispatcher.reset_after_fault(self.now, ValueError("planted"))
        self.run_pending()

    @precondition(lambda self: self.shutdown is None)
    @rule()
    def stop(self) -> None:
        """Shutdown begins: every open job, and every job that still arrives, is answered before SIGKILL can
        come."""
        self.shutdown = self.dispatcher.stop(self.now)
        assert self.now <= self.shutdown.disconnect_at <= self.shutdown.answer_by < self.now + 1_700_000
        self.run_pending()

    @rule(us=st.integers(1, 400_000))
    def wait(self, us: int) -> None:
        """Time passes, and the dispatcher is woken whenever it asked to be. Attempts whose deadline passes
        time out."""
        until = self.now + us
        while (
            due := min([a.deadline for a in self.in_flight] + [self.dispatcher.due() or until + 1])
        ) <= until:
            self.now = max(self.now, due)
            for attempt in [a for a in self.in_flight if a.deadline <= self.now]:
                self.in_flight.remove(attempt)
                self.end_attempt(attempt, Status.TIMEOUT)
            self.dispatcher.run_due_timers(self.now)
            self.run_pending()
        self.now = until

    @invariant()
    def check_obligations(self) -> None:
        for name, job in self.jobs.items():
            answers = self.answers[name]
            assert len(answers) <= 1, "answered twice"
            assert answers or name in self.disconnected or self.now <= job.deadline, "no answer in time"
            assert self.send_counts[name] <= SETTINGS.max_attempts
            assert (
                not (self.shutdown and self.shutdown.finished(self.now - 1))
                or answers
                or name in self.disconnected
            )
            for answer in answers:
                assert 0 <= answer.retry_after_us <= SETTINGS.max_retry_after_us
                assert not answer.retry_after_us or answer.status is AnswerStatus.REFUSED
            if answers and answers[0].status is AnswerStatus.SERVED:
                assert answers[0].response.startswith(f"{name}/") and self.send_counts[name]
        assert all(not a.finished for a in self.in_flight)
        servers = self.dispatcher.balancer.servers.values()
        assert all(s.in_flight >= 0 for s in servers) and self.dispatcher.balancer.in_flight >= 0
        assert self.dispatcher.balancer.waiting >= 0 and self.dispatcher.balancer.ejected_count >= 0

    def teardown(self) -> None:
        self.wait(5_000_000)
        assert_idle(self.dispatcher)
        self.audit.check()


DispatcherModel.TestCase.settings = hypothesis_settings(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=40
)
TestDispatcher = DispatcherModel.TestCase


def test_every_job_is_answered_when_a_stage_fails() -> None:
    dispatcher = Dispatcher(SETTINGS, 1, 100)
    dispatcher.update_nodes(1, ListKind.FULL, 1, (Entry(1),))
    dispatcher.process_batch(1)
    for stage_name in ("admit", "route"):
        original, job = getattr(dispatcher, stage_name), Job(stage_name, 0, 0, 900_000, None, NoResponder())
        setattr(dispatcher, stage_name, None)
        assert dispatcher.submit(2, job)
        dispatcher.process_batch(2)
        (answer,) = [a.answer.status for a in dispatcher.take_commands() if isinstance(a, DeliverAnswer)]
        assert answer is AnswerStatus.FAILED and not dispatcher.job_table.jobs
        setattr(dispatcher, stage_name, original)
        dispatcher.process_batch(3)
    assert_idle(dispatcher)


def test_timers_for_one_distant_moment_do_not_pile_up() -> None:
    dispatcher = Dispatcher(replace(SETTINGS, may_cancel=False), 1, 100)
    dispatcher.update_nodes(0, ListKind.FULL, 1, (Entry(1),))
    now, hour = 1_000_000, 3_600_000_000
    dispatcher.submit(now, Job("long", 1, 0, hour, None, NoResponder()))  # its node never answers
    dispatcher.process_batch(now)
    for n in range(200):
        dispatcher.submit(now, Job(f"a{n}", 1, 0, now + 300_000, None, NoResponder()))
        dispatcher.process_batch(now)
        until = now + 1_000_000
        while (due := dispatcher.due()) is not None and due <= until:
            now = max(now, due)
            dispatcher.run_due_timers(now)
            if dispatcher.pending_events:
                dispatcher.process_batch(now)
        now = until
    assert len(dispatcher.timers) <= 4 and set(dispatcher.job_table.by_request_id) == {"long"}


def test_a_tiny_tick_does_not_wake_the_driver_without_pause() -> None:
    dispatcher = Dispatcher(replace(SETTINGS, tick_us=1), 1, 100)
    now = 1_000_000
    for n in range(5):
        # Without a node they are queued.
        dispatcher.submit(now, Job(f"a{n}", 1, 0, now + 400_000, None, NoResponder()))
    dispatcher.process_batch(now)
    wakeups = 0
    while (due := dispatcher.due()) is not None and due < 1_200_000:
        now, wakeups = max(now + 1, due), wakeups + 1
        dispatcher.run_due_timers(now)
        if dispatcher.pending_events:
            dispatcher.process_batch(now)
    assert wakeups <= 420


def test_removed_nodes_are_forgotten_and_draining_ones_are_not() -> None:
    dispatcher = Dispatcher(SETTINGS, 1, 100)
    dispatcher.update_nodes(1, ListKind.FULL, 1, (Entry(1, State.DRAINING), Entry(2)))
    for n in range(10, 40):
        dispatcher.update_nodes(n, ListKind.DELTA, n, (Entry(n),))
        dispatcher.update_nodes(n, ListKind.DELTA, n, (Entry(n, State.GONE),))
    assert dispatcher.forget_removed_nodes(5) == list(range(10, 35)) and list(
        dispatcher.unavailable_since
    ) == [
        1,
        *range(35, 40),
    ]
    assert set(dispatcher.nodes) == {1, 2} and dispatcher.forget_removed_nodes(5) == []


def test_a_clock_step_far_ahead_answers_every_job_once_and_leaves_nothing() -> None:
    dispatcher = Dispatcher(SETTINGS, 1, 100)
    for n in range(50):
        assert dispatcher.submit(0, Job(f"a{n}", n % 2, 0, 3_600_000_000, None, NoResponder()))
    dispatcher.process_batch(0)
    dispatcher.run_due_timers(2**52)
    dispatcher.process_batch(2**52)
    delivered = [a.job.request_id for a in dispatcher.take_commands() if isinstance(a, DeliverAnswer)]
    assert sorted(delivered) == sorted(f"a{n}" for n in range(50)) and not dispatcher.job_table.jobs


def test_deadlines_of_answered_jobs_do_not_pile_up() -> None:
    dispatcher = Dispatcher(SETTINGS, 1, 100)
    for n in range(1000):
        job = Job(f"a{n}", 0, 0, 3_600_000_000, None, NoResponder())
        dispatcher.submit(n, job)
        dispatcher.caller_disconnected(n, job)
        dispatcher.process_batch(n)
    assert len(dispatcher.job_table.deadlines) <= 64


def test_retry_advice_during_shutdown_points_to_the_next_process() -> None:
    dispatcher = Dispatcher(SETTINGS, 1, 0)  # no job may be open: all are refused
    dispatcher.stop(1_000_000)
    for now, wait in ((1_000_000, 1_000_000), (3_100_000, 600_000), (3_699_000, 1_000), (9_000_000, 0)):
        assert dispatcher.submit(now, Job(f"a{now}", 0, 0, now + 1, None, NoResponder()))
        (answer,) = [a.answer for a in dispatcher.take_commands() if isinstance(a, DeliverAnswer)]
        assert (answer.status, answer.retry_after_us) == (AnswerStatus.REFUSED, wait)


def test_callers_are_disconnected_earlier_where_there_are_siblings() -> None:
    alone, one_of_two = (
        ShutdownSchedule(0, 9_000_000),
        ShutdownSchedule(0, 9_000_000, siblings=2, served_us=400_000),
    )
    assert (
        alone.disconnect_at == alone.answer_by == 3_550_000
        and one_of_two.disconnect_at == 3_550_000 - 600_000
    )
    assert (
        not alone.disconnecting(3_549_999)
        and alone.disconnecting(3_550_000)
        and alone.clamp_deadline(99) == 99
    )


def test_an_early_caller_is_refused_at_once_and_keeps_its_reservation() -> None:
    classes = tuple(replace(cls, aim_us=4_000_000, deadline_us=6_000_000) for cls in CLASSES)
    settings = Settings(
        classes, max_attempts=3, retry_after=True, max_retry_after_us=1_000_000, tick_us=5_000
    )
    dispatcher = Dispatcher(settings, 1, 1_000, RecoveryConfig())
    dispatcher.update_nodes(0, ListKind.FULL, 1, (Entry(1),))
    answers: dict[str, Answer] = {}

    def ask(now: int, name: str, key: int) -> None:
        assert dispatcher.submit(now, Job(name, 1, 0, now + 1_000_000, None, NoResponder(), fingerprint=key))
        while dispatcher.pending_events:
            dispatcher.process_batch(now)
            answers.update(
                {
                    a.job.request_id: a.answer
                    for a in dispatcher.take_commands()
                    if isinstance(a, DeliverAnswer)
                }
            )

    for n in range(40):  # the node takes one at a time: the others are queued or refused
        ask(1_000_000 + n, f"a{n}", 1_000 + n)
    assert dispatcher.balancer.waiting
    name, first = next((name, answer) for name, answer in answers.items() if answer.retry_after_us)
    key, at = 1_000 + int(name[1:]), 1_000_000 + int(name[1:]) + first.retry_after_us
    ask(1_010_000, "early", key)
    assert (
        answers["early"].status is AnswerStatus.REFUSED and 1_010_000 + answers["early"].retry_after_us == at
    )
    assert dispatcher.submit(
        at, job := Job("kept", 1, 0, at + 1_000_000, None, NoResponder(), fingerprint=key)
    )
    assert job.came_on_time and dispatcher.admit(job, at).reserve == 0
