"""The desk with the real module under hostile orders of events, on a clock that the test makes up. A model says of each
job what is owed, and of each attempt that its end is told once."""

from __future__ import annotations

from dataclasses import replace

from audit import Audit, at_rest
from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from paddlestep.interface import Effect, Entry, ListKind, ServiceClass, Settings, State, Status
from slatehub.core.actions import Deliver, Start, Withdraw
from slatehub.core.desk import SalesDesk
from slatehub.core.jobs import Answer, Attempt, Job, Verdict
from slatehub.core.recovery import RecoveryTerms
from slatehub.decisions.stop import PlannedStop

KINDS = (
    ServiceClass("look", Effect.SAFE, aim_us=300_000, deadline_us=900_000),
    ServiceClass("buy", aim_us=300_000),
)
TERMS = Settings(
    KINDS, tick_us=5_000, max_attempts=3, may_cancel=True, may_duplicate=True, answer_slack_us=8_000,
    retry_after=True, max_retry_after_us=1_000_000, cold_from=0.3, warm_after_us=2_000_000,
    report_columns=("qps", "util"),
)  # fmt: skip
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500, Verdict.OVERDUE: 504}
ENDS = [Status.OK, Status.ERROR, Status.FULL, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED]


class Nobody:
    def answer(self, job: Job, answer: Answer) -> None:
        raise AssertionError("the desk itself delivers nothing")


class DeskModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 10_000_000
        self.desk = SalesDesk(TERMS, seed=7, most=12, terms=RecoveryTerms())
        self.jobs: dict[str, Job] = {}
        self.answers: dict[str, list[Answer]] = {}
        self.out: list[Attempt] = []
        self.sent: dict[str, int] = {}
        self.left: set[str] = set()
        self.serial = 0
        self.end: PlannedStop | None = None
        self.terms = TERMS
        self.audit = Audit(("look",), ("buy",), slack="1 ms", attempts=3, second_copies=True)
        self.desk.listed(self.now, ListKind.FULL, 1, tuple(Entry(n) for n in range(1, 5)))
        self.settle()

    def settle(self) -> None:
        """What a driver does after each event."""
        while self.desk.waiting or self.desk.acts:
            self.carry_out()
            if self.desk.waiting:
                self.desk.turn(self.now)
        for name, job in self.jobs.items():
            assert job.answered == bool(self.answers[name] or name in self.left)

    def carry_out(self) -> None:
        for act in self.desk.take_acts():
            if isinstance(act, Deliver):
                self.answers[act.job.name].append(act.answer)
                self.audit.answered(
                    self.now, act.job.name, STATUS[act.answer.verdict], act.answer.printed or ""
                )
            elif isinstance(act, Start):
                job = act.attempt.job
                assert not job.answered and self.now < act.attempt.deadline <= job.deadline
                self.sent[job.name] += 1
                self.out.append(act.attempt)
            elif isinstance(act, Withdraw) and not act.attempt.over:
                self.out.remove(act.attempt)
                self.floor_ended(act.attempt, Status.CANCELLED)

    def floor_ended(self, attempt: Attempt, status: Status, report: tuple[float, ...] = ()) -> None:
        token = f"{attempt.job.name}/{attempt.number}"
        self.audit.ended(self.now, attempt, status, token)
        self.desk.ended(self.now, attempt, status, report, token)

    @rule(cls=st.integers(0, 1), left=st.integers(0, 1_200_000), again=st.booleans())
    def order(self, cls: int, left: int, again: bool) -> None:
        open_names = [n for n, job in self.jobs.items() if not job.answered]
        if again and open_names:
            twin = Job(open_names[0], cls, 0, self.now + left, None, Nobody())
            assert not self.desk.order(self.now, twin), "two jobs in hand under one name"
            return
        self.serial += 1
        name = f"o{self.serial}"
        deadline = self.end.limit(self.now + left) if self.end else self.now + left
        self.jobs[name] = job = Job(name, cls, 0, deadline, None, Nobody(), again, key=left % 7)
        self.answers[name], self.sent[name] = [], 0
        self.audit.asked(self.now, name, KINDS[cls].name, job.deadline)
        assert self.desk.order(self.now, job)
        assert (due := self.desk.due()) is None or due >= self.now, "a driver's alarm would ring without end"
        self.settle()

    @precondition(lambda self: self.out)
    @rule(pick=st.integers(0, 99), status=st.sampled_from(ENDS), twice=st.booleans())
    def ended(self, pick: int, status: Status, twice: bool) -> None:
        attempt = self.out.pop(pick % len(self.out))
        self.floor_ended(attempt, status, (30.0, pick / 99) if pick % 3 else ())
        if twice:  # a floor that tells it again must not be believed
            self.desk.ended(self.now, attempt, Status.RESET)
        self.settle()

    @rule(pick=st.integers(0, 99))
    def gone(self, pick: int) -> None:
        names = [n for n, job in self.jobs.items() if not job.answered]
        if names:
            name = names[pick % len(names)]
            self.left.add(name)
            self.audit.left(self.now, name)
            self.desk.gone(self.now, self.jobs[name])
            self.settle()

    @rule(node=st.integers(1, 5), state=st.sampled_from(State), again=st.booleans())
    def listed(self, node: int, state: State, again: bool) -> None:
        since = self.now if again else 0
        self.desk.listed(self.now, ListKind.DELTA, 2, (Entry(node, state, since_us=since),))
        self.settle()

    @rule(
        nodes=st.sets(st.integers(1, 6)),
        kind=st.sampled_from([ListKind.FULL, ListKind.CACHED, ListKind.FAILED]),
    )
    def listed_whole(self, nodes: set[int], kind: ListKind) -> None:
        """Empty and filled again, a whole one between changes, an old one, or none to be had."""
        self.desk.listed(
            self.now, kind, 3, tuple(Entry(n) for n in nodes) if kind is not ListKind.FAILED else ()
        )
        assert len(self.desk.long_gone(2)) <= 6 and len(self.desk.left) <= 6
        self.settle()

    @rule(attempts=st.integers(1, 3), siblings=st.integers(1, 3), classes=st.integers(2, 4))
    def resettled(self, attempts: int, siblings: int, classes: int) -> None:
        """Settings read anew: classes are added, the number of siblings and so the order among them changes."""
        kinds = (
            *self.terms.classes,
            *(ServiceClass(f"c{n}") for n in range(classes - len(self.terms.classes))),
        )
        self.terms = replace(
            self.terms, classes=kinds, max_attempts=attempts, siblings=siblings, me=siblings - 1
        )
        self.desk.resettle(self.terms, 12, RecoveryTerms())
        self.settle()

    @rule()
    def module_fails(self) -> None:
        """All in hand are answered at once, and a new module goes on."""
        self.desk.recover(self.now, ValueError("planted"))
        self.settle()

    @precondition(lambda self: self.end is None)
    @rule()
    def stop(self) -> None:
        """Told to end: whoever is in hand, and whoever still comes, has an answer before SIGKILL can come."""
        self.end = self.desk.stop(self.now)
        assert self.now <= self.end.part_at <= self.end.answer_by < self.now + 1_700_000
        self.settle()

    @rule(us=st.integers(1, 400_000))
    def wait(self, us: int) -> None:
        """Time passes, and the desk is rung whenever it asked to be; what runs out of time on the floor ends there."""
        until = self.now + us
        while (due := min([a.deadline for a in self.out] + [self.desk.due() or until + 1])) <= until:
            self.now = max(self.now, due)
            for attempt in [a for a in self.out if a.deadline <= self.now]:
                self.out.remove(attempt)
                self.floor_ended(attempt, Status.TIMEOUT)
            self.desk.ring(self.now)
            self.settle()
        self.now = until

    @invariant()
    def owed(self) -> None:
        for name, job in self.jobs.items():
            answers = self.answers[name]
            assert len(answers) <= 1, "answered twice"
            assert answers or name in self.left or self.now <= job.deadline, "no answer in time"
            assert self.sent[name] <= TERMS.max_attempts
            assert not (self.end and self.end.over(self.now - 1)) or answers or name in self.left
            for answer in answers:
                assert 0 <= answer.retry_after_us <= TERMS.max_retry_after_us
                assert not answer.retry_after_us or answer.verdict is Verdict.REFUSED
            if answers and answers[0].verdict is Verdict.SERVED:
                assert answers[0].printed.startswith(f"{name}/") and self.sent[name]
        assert all(not a.over for a in self.out)
        servers = self.desk.balancer.servers.values()
        assert all(s.in_flight >= 0 for s in servers) and self.desk.balancer.in_flight >= 0
        assert self.desk.balancer.waiting >= 0 and self.desk.balancer.ejected_count >= 0

    def teardown(self) -> None:
        self.wait(5_000_000)
        at_rest(self.desk)
        self.audit.check()


DeskModel.TestCase.settings = hypo(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=40
)
TestDesk = DeskModel.TestCase


def test_a_stage_that_fails_leaves_nobody_without_an_answer() -> None:
    desk = SalesDesk(TERMS, 1, 100)
    desk.listed(1, ListKind.FULL, 1, (Entry(1),))
    desk.turn(1)
    for wrong in ("admit", "route"):
        sound, job = getattr(desk, wrong), Job(wrong, 0, 0, 900_000, None, Nobody())
        setattr(desk, wrong, None)
        assert desk.order(2, job)
        desk.turn(2)
        (told,) = [a.answer.verdict for a in desk.take_acts() if isinstance(a, Deliver)]
        assert told is Verdict.FAILED and not desk.ledger.jobs
        setattr(desk, wrong, sound)
        desk.turn(3)
    at_rest(desk)


def test_timers_for_one_far_moment_do_not_pile_up() -> None:
    desk = SalesDesk(replace(TERMS, may_cancel=False), 1, 100)
    desk.listed(0, ListKind.FULL, 1, (Entry(1),))
    now, hour = 1_000_000, 3_600_000_000
    desk.order(now, Job("long", 1, 0, hour, None, Nobody()))  # a node that never answers it
    desk.turn(now)
    for n in range(200):
        desk.order(now, Job(f"a{n}", 1, 0, now + 300_000, None, Nobody()))
        desk.turn(now)
        until = now + 1_000_000
        while (due := desk.due()) is not None and due <= until:
            now = max(now, due)
            desk.ring(now)
            if desk.waiting:
                desk.turn(now)
        now = until
    assert len(desk.timers) <= 4 and set(desk.ledger.names) == {"long"}


def test_settings_with_a_tick_of_nothing_do_not_make_it_ring_without_a_pause() -> None:
    desk = SalesDesk(replace(TERMS, tick_us=1), 1, 100)
    now = 1_000_000
    for n in range(5):
        desk.order(now, Job(f"a{n}", 1, 0, now + 400_000, None, Nobody()))  # there is no node: they are held
    desk.turn(now)
    rings = 0
    while (due := desk.due()) is not None and due < 1_200_000:
        now, rings = max(now + 1, due), rings + 1
        desk.ring(now)
        if desk.waiting:
            desk.turn(now)
    assert rings <= 420


def test_nodes_long_gone_are_forgotten_and_those_that_drain_are_not() -> None:
    desk = SalesDesk(TERMS, 1, 100)
    desk.listed(1, ListKind.FULL, 1, (Entry(1, State.DRAINING), Entry(2)))
    for n in range(10, 40):
        desk.listed(n, ListKind.DELTA, n, (Entry(n),))
        desk.listed(n, ListKind.DELTA, n, (Entry(n, State.GONE),))
    assert desk.long_gone(5) == list(range(10, 35)) and list(desk.left) == [1, *range(35, 40)]
    assert set(desk.nodes) == {1, 2} and desk.long_gone(5) == []


def test_a_clock_that_jumps_far_ahead_answers_everybody_once_and_leaves_nothing() -> None:
    desk = SalesDesk(TERMS, 1, 100)
    for n in range(50):
        assert desk.order(0, Job(f"a{n}", n % 2, 0, 3_600_000_000, None, Nobody()))
    desk.turn(0)
    desk.ring(2**52)
    desk.turn(2**52)
    delivered = [a.job.name for a in desk.take_acts() if isinstance(a, Deliver)]
    assert sorted(delivered) == sorted(f"a{n}" for n in range(50)) and not desk.ledger.jobs


def test_deadlines_of_jobs_long_answered_do_not_pile_up() -> None:
    desk = SalesDesk(TERMS, 1, 100)
    for n in range(1000):
        job = Job(f"a{n}", 0, 0, 3_600_000_000, None, Nobody())
        desk.order(n, job)
        desk.gone(n, job)
        desk.turn(n)
    assert len(desk.ledger.ends) <= 64


def test_who_is_refused_at_the_end_is_told_when_the_next_process_can_be_there() -> None:
    desk = SalesDesk(TERMS, 1, 0)  # nobody may be in hand: all are refused
    desk.stop(1_000_000)
    for now, wait in ((1_000_000, 1_000_000), (3_100_000, 600_000), (3_699_000, 1_000), (9_000_000, 0)):
        assert desk.order(now, Job(f"a{now}", 0, 0, now + 1, None, Nobody()))
        (told,) = [a.answer for a in desk.take_acts() if isinstance(a, Deliver)]
        assert (told.verdict, told.retry_after_us) == (Verdict.REFUSED, wait)


def test_siblings_get_the_callers_a_while_before_the_end_and_one_alone_keeps_them() -> None:
    alone, one_of_two = PlannedStop(0, 9_000_000), PlannedStop(0, 9_000_000, siblings=2, served_us=400_000)
    assert alone.part_at == alone.answer_by == 3_550_000 and one_of_two.part_at == 3_550_000 - 600_000
    assert not alone.parting(3_549_999) and alone.parting(3_550_000) and alone.limit(99) == 99


def test_who_does_not_wait_for_its_appointment_is_refused_at_once_and_keeps_it() -> None:
    kinds = tuple(replace(kind, aim_us=4_000_000, deadline_us=6_000_000) for kind in KINDS)
    terms = Settings(kinds, max_attempts=3, retry_after=True, max_retry_after_us=1_000_000, tick_us=5_000)
    desk = SalesDesk(terms, 1, 1_000, RecoveryTerms())
    desk.listed(0, ListKind.FULL, 1, (Entry(1),))
    told: dict[str, Answer] = {}

    def ask(now: int, name: str, key: int) -> None:
        assert desk.order(now, Job(name, 1, 0, now + 1_000_000, None, Nobody(), key=key))
        while desk.waiting:
            desk.turn(now)
            told.update({a.job.name: a.answer for a in desk.take_acts() if isinstance(a, Deliver)})

    for n in range(40):  # one node takes one at a time: the others wait, or are refused
        ask(1_000_000 + n, f"a{n}", 1_000 + n)
    assert desk.balancer.waiting
    name, first = next((name, answer) for name, answer in told.items() if answer.retry_after_us)
    key, at = 1_000 + int(name[1:]), 1_000_000 + int(name[1:]) + first.retry_after_us
    ask(1_010_000, "early", key)
    assert told["early"].verdict is Verdict.REFUSED and 1_010_000 + told["early"].retry_after_us == at
    assert desk.order(at, job := Job("kept", 1, 0, at + 1_000_000, None, Nobody(), key=key))
    assert job.kept and desk.admit(job, at).reserve == 0
