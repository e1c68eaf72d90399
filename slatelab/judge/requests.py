"""The rules on one request. Each function takes a case and yields what it proves; it owns the reading of one
rule and must never look beyond the request, the scenario and the timeline.

Where facts of two parties are compared, or a time with its limit, `Timeline.slack` is granted (see there)."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from slatelab.records import Answered, Asked, BrokenOff, GaveUp, Record, Replied, Told
from slatelab.scenario import Scenario

from .case import REFUSALS, Attempt, Case
from .report import Violation, history, ms
from .timeline import NEVER, STOP_GRACE_US, STOP_MOST_US, Timeline

ABOUT_US = 10_000_000  # how near a request's time a proxy's start or end belongs to its history
Maker = Callable[[str], Replied | None]


class Requests:
    """Judges requests one by one against a scenario's rules and a run's timeline."""

    def __init__(self, scenario: Scenario, timeline: Timeline, maker: Maker) -> None:
        """`maker` finds who wrote an answer with a token, for which request whatever."""
        self.rules, self.proxy, self.timeline = scenario.rules, scenario.proxy, timeline
        self._maker = maker
        longest = max(cls.deadline for cls in scenario.classes)
        self._stop_span = min(STOP_MOST_US, longest) + STOP_GRACE_US  # SIGKILL comes no sooner after SIGTERM
        self._unsafe = {cls.name for cls in scenario.classes if cls.effect == "unsafe"}
        # Guards against taking for a copy what was withdrawn: a node hears of that one way later, or two.
        self._closing = 2 * scenario.network.delay + scenario.rules.answer_slack

    def judge(self, case: Case) -> Iterator[Violation]:
        yield from self.answered_once(case)
        yield from self.answered(case)
        if case.attempts:
            yield from self.attempts(case)
        if any(answer.status == 200 for answer in case.answers()):
            yield from self.right(case)

    def attempts(self, case: Case) -> Iterator[Violation]:
        if self.is_unsafe(case):
            yield from self.ran_twice(case)
            yield from self.refused_after_run(case)
        yield from self.sent_again(case)
        yield from self.too_many(case)
        yield from self.drained(case)

    def is_unsafe(self, case: Case) -> bool:
        """A request that was never written whole has no known class, and counts as safe."""
        return case.asked is not None and case.asked.cls in self._unsafe

    # ------------------------------------------------------------ the answer

    def answered_once(self, case: Case) -> Iterator[Violation]:
        """One final answer at most: no second one, and none after the connection was ended (unless the caller
        asked anew in between)."""
        if len(case.ends) < 2:
            return
        earlier: Answered | BrokenOff | None = None
        for fact in case.facts:
            if isinstance(fact, Asked) and isinstance(earlier, BrokenOff):
                earlier = None
            elif isinstance(fact, Answered) and earlier:
                what = "broken off" if isinstance(earlier, BrokenOff) else f"answered {earlier.status}"
                yield _found("answered-once", case, fact.t, f"answered {fact.status} after it was {what}")
            if isinstance(fact, Answered | BrokenOff):
                earlier = earlier if isinstance(earlier, Answered) else fact

    def answered(self, case: Case) -> Iterator[Violation]:
        """What was taken is answered whole by `until` + answer_slack. Excused: the caller gave up before
        `until`; the request was not written whole; `_excused`."""
        asked, end = case.asked, case.end
        if not asked or self._kept(asked, end):
            return
        limit = asked.until + self.rules.answer_slack
        at = end.t if end else min(limit, max(self.timeline.end, asked.t))
        if self._excused(asked, at):
            return
        if isinstance(end, Answered):
            text = f"answered {ms(end.t - asked.until)} ms after the caller's time was over"
            yield _found("late-answer", case, at, text)
        else:
            yield self._unanswered(case, asked, at)

    def _kept(self, asked: Asked, end: Answered | BrokenOff | GaveUp | None) -> bool:
        limit = asked.until + self.rules.answer_slack
        if isinstance(end, Answered):
            return end.t <= limit + self.timeline.lag(end.t, asked.until)
        if isinstance(end, BrokenOff):
            return not end.sent
        if isinstance(end, GaveUp):
            # A late lab gives up without having looked for an answer that is there.
            lag = self.timeline.lag(end.t, asked.until)
            return end.t < asked.until or (lag > 0 and end.t < limit + lag)
        return False

    def _excused(self, asked: Asked, at: int) -> bool:
        """Whether no answer could come or be seen up to `at`: the caller, a node, went down or was kept from
        reading; or the proxy was stopped for a while, killed, or had ended by when the request came. A kill that
        followed a planned stop by `stop_span` or more excuses only what came STOP_GRACE_US after that at the latest:
        the proxy knew how long it had, and need not have taken the rest."""
        line = self.timeline
        slack = line.slack(asked.t, at)
        if line.deaf(asked.caller, asked.t, at + slack) or line.deaf(asked.proxy, asked.t, at + slack):
            return True
        if any(asked.t - slack <= down.t <= at + slack for down in line.downs.get(asked.caller, ())):
            return True
        # The lab says of a kill once it is done, by when a caller may long have seen it.
        ended = line.ended(asked.proxy, asked.t, at + slack + self.rules.answer_slack)
        if not ended:
            return False
        if ended.t <= asked.t + slack:
            return True
        told = line.planned(asked.proxy, ended.t)
        if ended.why != "killed":
            return False
        return told is None or ended.t < told.t + self._stop_span or asked.t <= told.t + STOP_GRACE_US + slack

    def _unanswered(self, case: Case, asked: Asked, at: int) -> Violation:
        proxy, end = asked.proxy, case.end
        ended = self.timeline.ended(proxy, asked.t, at + self.timeline.slack(at))
        if ended and ended.why == "crashed":
            text = f"lost when {proxy} crashed"
        elif isinstance(end, BrokenOff):
            text = f"{proxy} ended the connection without a whole answer: {end.why or 'no reason seen'}"
        elif end:
            text = (
                f"no answer from {proxy} until its caller left, {ms(end.t - asked.until)} ms after its time"
            )
        elif at < asked.until + self.rules.answer_slack:
            text = f"no answer from {proxy} by the end of the recording, and its time was not over"
        else:
            text = f"no answer from {proxy}, and its caller's time was over at {ms(asked.until)} ms"
        lives = self.timeline.proxies.get(proxy, ())
        near = (fact for fact in lives if asked.t - ABOUT_US <= fact.t <= at + ABOUT_US)
        return _found("unanswered", case, at, text, *near)

    def right(self, case: Case) -> Iterator[Violation]:
        """A 200 hands on a body that a node wrote as 200 for this very request, and earlier."""
        for answer in case.answers():
            slack = self.timeline.slack(answer.t)
            made = [r for r in case.replied if r.status == 200 and r.token == answer.token]
            if answer.status == 200 and not any(reply.t <= answer.t + slack for reply in made):
                yield self._wrong(case, answer)

    def _wrong(self, case: Case, answer: Answered) -> Violation:
        other = self._maker(answer.token)
        if not other:
            text = "no node made"
        elif other.request == case.request:
            text = f"{other.node} made only {ms(other.t - answer.t)} ms later"
        else:
            text = f"{other.node} made for {other.request}"
        text = f"served with what {text}: {answer.token[:100]!r}"
        return _found("wrong-answer", case, answer.t, text, *([other] if other else []))

    # ------------------------------------------------------------ the attempts

    def ran_twice(self, case: Case) -> Iterator[Violation]:
        for began in case.began[1:2]:
            nodes = ", ".join(fact.node for fact in case.began[:10])
            text = f"unsafe, and it began {len(case.began)} times: at {nodes}"
            yield _found("ran-twice", case, began.t, text)

    def sent_again(self, case: Case) -> Iterator[Violation]:
        """Unsafe: no attempt whose first byte came before every earlier one was proved not to have run. Any
        class, where second copies are not allowed: no attempt while an earlier one is out. That one is out is
        proved by the answer that its node wrote later; what the proxy has withdrawn gets none, but a node
        learns of that after the time that a closing takes, for which answer_slack and twice the way are
        granted. Nothing is proved of an attempt at a node that a fault kept from reading: its bytes may be
        much older than they look."""
        if len(case.attempts) > 1:
            found = self._ran_before(case) if self.is_unsafe(case) else None
            if not found and not self.proxy.second_copies:
                found = self._two_out(case)
            if found:
                yield found

    def _ran_before(self, case: Case) -> Violation | None:
        earlier = case.attempts[0]
        for attempt in case.attempts[1:]:
            free, first = earlier.harmless_from(), attempt.came.first
            if free > first + self.timeline.slack(first, min(free, first)):
                return self._again(case, attempt, f"what came to {earlier.came.node} may have run")
            earlier = max(earlier, attempt, key=Attempt.harmless_from)
        return None

    def _two_out(self, case: Case) -> Violation | None:
        last: Attempt | None = None
        for attempt in case.attempts:
            first = attempt.came.first
            if last and last.replied and last.replied.t > first + self._closing + self.timeline.slack(first):
                if not self.timeline.deaf(attempt.came.node, last.came.first, attempt.came.t):
                    return self._again(case, attempt, f"a copy was out at {last.came.node}")
            last = attempt if not last or _replied(attempt) >= _replied(last) else last
        return None

    def _again(self, case: Case, attempt: Attempt, why: str) -> Violation:
        came = attempt.came
        downs = self.timeline.downs
        lost = [d for a in case.attempts for d in downs.get(a.came.node, ()) if a.came.t <= d.t <= came.t]
        return _found("sent-again", case, came.t, f"sent to {came.node} by {came.proxy} while {why}", *lost)

    def refused_after_run(self, case: Case) -> Iterator[Violation]:
        """A refusal tells the caller that nothing has run; so every attempt that ever came whole must have
        been turned away before."""
        for answer in case.answers():
            if answer.status in REFUSALS:
                slack = self.timeline.slack(answer.t)
                loose = [a for a in case.attempts if a.harmless_from() > answer.t + slack]
                if loose:
                    node = loose[0].came.node
                    text = f"unsafe, and refused with {answer.status} though what came to {node} may have run"
                    yield _found("refused-after-run", case, answer.t, text)
                    return

    def too_many(self, case: Case) -> Iterator[Violation]:
        most = self.proxy.attempts
        if len(case.attempts) > most:
            text = f"{len(case.attempts)} attempts came to nodes, {most} are allowed"
            yield _found("too-many-attempts", case, case.attempts[most].came.t, text)

    def drained(self, case: Case) -> Iterator[Violation]:
        """No first byte at a node later than drain_grace + answer_slack after the proxy was told, or counts
        as told, that the node drains or is gone; `Timeline.gone` says when that is. Nothing is proved where a
        fault kept the node from reading in the meantime."""
        grace = self.rules.drain_grace + self.rules.answer_slack
        for attempt in case.attempts:
            came = attempt.came
            told = self.timeline.gone(came.proxy, came.node, came.first)
            since = max(told.start, self.timeline.woke(came.proxy, came.first)) if told else 0
            if not told or came.first <= since + grace + self.timeline.lag(came.first, told.start):
                continue
            if not self.timeline.deaf(came.node, told.start, came.first):
                assert isinstance(told.fact, Told)
                how = "was told" if told.fact.proxy == came.proxy else "counts as told"
                late = ms(came.first - told.start)
                text = f"{came.proxy} sent to {came.node} {late} ms after it {how} of {told.fact.phase}"
                yield _found("sent-to-drained", case, came.first, text, told.fact)
                return


def _replied(attempt: Attempt) -> int:
    return attempt.replied.t if attempt.replied else -NEVER


def _found(rule: str, case: Case, t: int, text: str, *also: Record) -> Violation:
    return Violation(rule, case.request, t, text, history(case.facts, also))
