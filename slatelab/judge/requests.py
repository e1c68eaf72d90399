"""The rules on single requests. Each method implements one rule: it takes a case and yields the violations that it
proves, from the facts of the request, the scenario and the timeline only.

Comparisons between facts of two parties, or of a time with its limit, allow a tolerance of `Timeline.slack`."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from slatelab.records import Answered, Asked, BrokenOff, GaveUp, Record, Replied, Told
from slatelab.scenario import Scenario

from .case import REFUSALS, Attempt, Case
from .report import Violation, history, ms
from .timeline import MAX_STOP_GRACE_US, NEVER, STOP_MARGIN_US, Timeline

HISTORY_US = 10_000_000  # starts and ends of the proxy within this time of a request are part of its history
ReplyFinder = Callable[[str], Replied | None]


class Requests:
    """Judges requests one by one against a scenario's rules and a run's timeline."""

    def __init__(self, scenario: Scenario, timeline: Timeline, find_reply: ReplyFinder) -> None:
        """`find_reply` finds the reply with a token, of any request."""
        self.rules, self.proxy, self.timeline = scenario.rules, scenario.proxy, timeline
        self._find_reply = find_reply
        longest = max(cls.deadline for cls in scenario.classes)
        # SIGKILL is sent at least this long after SIGTERM.
        self._stop_time_us = min(MAX_STOP_GRACE_US, longest) + STOP_MARGIN_US
        self._unsafe = {cls.name for cls in scenario.classes if cls.effect == "unsafe"}
        # A cancelled attempt must not count as a second copy: it reaches the node one or two one-way delays
        # later.
        self._cancel_delay = 2 * scenario.network.delay + scenario.rules.answer_slack

    def judge(self, case: Case) -> Iterator[Violation]:
        """All violations of one request."""
        yield from self.answered_once(case)
        yield from self.answered_in_time(case)
        if case.attempts:
            yield from self.attempt_rules(case)
        if any(answer.status == 200 for answer in case.answers()):
            yield from self.answer_is_genuine(case)

    def attempt_rules(self, case: Case) -> Iterator[Violation]:
        """Applies the rules on the attempts of a request."""
        if self.is_unsafe(case):
            yield from self.ran_twice(case)
            yield from self.refused_after_run(case)
        yield from self.sent_again(case)
        yield from self.too_many_attempts(case)
        yield from self.sent_to_drained(case)

    def is_unsafe(self, case: Case) -> bool:
        """Whether the request is unsafe. One that was never written whole has no known class and counts as safe."""
        return case.asked is not None and case.asked.cls in self._unsafe

    # ------------------------------------------------------------ the answer

    def answered_once(self, case: Case) -> Iterator[Violation]:
        """At most one final answer: no second one, and none after the connection ended (unless the caller sent the
        request again in between)."""
        if len(case.ends) < 2:
            return
        earlier: Answered | BrokenOff | None = None
        for fact in case.facts:
            if isinstance(fact, Asked) and isinstance(earlier, BrokenOff):
                earlier = None
            elif isinstance(fact, Answered) and earlier:
                what = "broken off" if isinstance(earlier, BrokenOff) else f"answered {earlier.status}"
                yield _violation("answered-once", case, fact.t, f"answered {fact.status} after it was {what}")
            if isinstance(fact, Answered | BrokenOff):
                earlier = earlier if isinstance(earlier, Answered) else fact

    def answered_in_time(self, case: Case) -> Iterator[Violation]:
        """An accepted request is answered whole by `until` + answer_slack. Exceptions: the caller gave up before
        `until`; the request was not written whole; `_excused`."""
        asked, end = case.asked, case.end
        if not asked or self._is_answered_in_time(asked, end):
            return
        limit = asked.until + self.rules.answer_slack
        at = end.t if end else min(limit, max(self.timeline.end, asked.t))
        if self._excused(asked, at):
            return
        if isinstance(end, Answered):
            text = f"answered {ms(end.t - asked.until)} ms after the caller's time was over"
            yield _violation("late-answer", case, at, text)
        else:
            yield self._unanswered(case, asked, at)

    def _is_answered_in_time(self, asked: Asked, end: Answered | BrokenOff | GaveUp | None) -> bool:
        limit = asked.until + self.rules.answer_slack
        if isinstance(end, Answered):
            return end.t <= limit + self.timeline.lag(end.t, asked.until)
        if isinstance(end, BrokenOff):
            return not end.sent
        if isinstance(end, GaveUp):
            # A late lab may give up before it has read an answer that has already arrived.
            lag = self.timeline.lag(end.t, asked.until)
            return end.t < asked.until or (lag > 0 and end.t < limit + lag)
        return False

    def _excused(self, asked: Asked, at: int) -> bool:
        """Whether an answer could not be sent or observed up to `at`: the caller (a node) went down or was
        unresponsive; or the proxy was frozen for some time, killed, or had ended before the request arrived. A kill
        that follows a planned stop by `_stop_time_us` or more excuses only requests that arrived at most
        STOP_MARGIN_US after that stop: the proxy knew how much time it had and could have refused later ones."""
        timeline = self.timeline
        slack = timeline.slack(asked.t, at)
        if timeline.unresponsive(asked.caller, asked.t, at + slack) or timeline.unresponsive(
            asked.proxy, asked.t, at + slack
        ):
            return True
        if any(asked.t - slack <= down.t <= at + slack for down in timeline.downs.get(asked.caller, ())):
            return True
        # The lab records a kill once it is done; a caller may have noticed it well before.
        ended = timeline.ended(asked.proxy, asked.t, at + slack + self.rules.answer_slack)
        if not ended:
            return False
        if ended.t <= asked.t + slack:
            return True
        told = timeline.planned_stop(asked.proxy, ended.t)
        if ended.why != "killed":
            return False
        return (
            told is None
            or ended.t < told.t + self._stop_time_us
            or asked.t <= told.t + STOP_MARGIN_US + slack
        )

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
        nearby = (fact for fact in lives if asked.t - HISTORY_US <= fact.t <= at + HISTORY_US)
        return _violation("unanswered", case, at, text, *nearby)

    def answer_is_genuine(self, case: Case) -> Iterator[Violation]:
        """An answer 200 has the body of an earlier 200 that a node wrote for the same request."""
        for answer in case.answers():
            slack = self.timeline.slack(answer.t)
            written = [r for r in case.replied if r.status == 200 and r.token == answer.token]
            if answer.status == 200 and not any(reply.t <= answer.t + slack for reply in written):
                yield self._wrong_answer(case, answer)

    def _wrong_answer(self, case: Case, answer: Answered) -> Violation:
        other = self._find_reply(answer.token)
        if not other:
            text = "no node made"
        elif other.request == case.request:
            text = f"{other.node} made only {ms(other.t - answer.t)} ms later"
        else:
            text = f"{other.node} made for {other.request}"
        text = f"served with what {text}: {answer.token[:100]!r}"
        return _violation("wrong-answer", case, answer.t, text, *([other] if other else []))

    # ------------------------------------------------------------ the attempts

    def ran_twice(self, case: Case) -> Iterator[Violation]:
        """An unsafe request may begin at most once at the nodes."""
        for began in case.began[1:2]:
            nodes = ", ".join(fact.node for fact in case.began[:10])
            text = f"unsafe, and it began {len(case.began)} times: at {nodes}"
            yield _violation("ran-twice", case, began.t, text)

    def sent_again(self, case: Case) -> Iterator[Violation]:
        """Unsafe classes: no attempt may have its first byte at a node before every earlier attempt was proved not to
        have run. Any class, if second copies are not allowed: no attempt while an earlier one is open. An attempt is
        proved to be open by a reply that its node writes later; a cancelled attempt gets none, but the cancellation
        reaches the node with a delay, for which answer_slack and two one-way delays are allowed. An attempt at an
        unresponsive node proves nothing: its data may be much older than its timestamp."""
        if len(case.attempts) > 1:
            found = self._sent_before_resolved(case) if self.is_unsafe(case) else None
            if not found and not self.proxy.second_copies:
                found = self._second_copy(case)
            if found:
                yield found

    def _sent_before_resolved(self, case: Case) -> Violation | None:
        earlier = case.attempts[0]
        for attempt in case.attempts[1:]:
            resolved_at, first = earlier.known_not_run_from(), attempt.came.first
            if resolved_at > first + self.timeline.slack(first, min(resolved_at, first)):
                return self._sent_again(case, attempt, f"what came to {earlier.came.node} may have run")
            earlier = max(earlier, attempt, key=Attempt.known_not_run_from)
        return None

    def _second_copy(self, case: Case) -> Violation | None:
        last: Attempt | None = None
        for attempt in case.attempts:
            first = attempt.came.first
            if (
                last
                and last.replied
                and last.replied.t > first + self._cancel_delay + self.timeline.slack(first)
            ):
                if not self.timeline.unresponsive(attempt.came.node, last.came.first, attempt.came.t):
                    return self._sent_again(case, attempt, f"a copy was out at {last.came.node}")
            last = attempt if not last or _replied(attempt) >= _replied(last) else last
        return None

    def _sent_again(self, case: Case, attempt: Attempt, why: str) -> Violation:
        came = attempt.came
        downs = self.timeline.downs
        lost = [d for a in case.attempts for d in downs.get(a.came.node, ()) if a.came.t <= d.t <= came.t]
        return _violation(
            "sent-again", case, came.t, f"sent to {came.node} by {came.proxy} while {why}", *lost
        )

    def refused_after_run(self, case: Case) -> Iterator[Violation]:
        """A refusal states that nothing has run, so every attempt that arrived whole must have been rejected before."""
        for answer in case.answers():
            if answer.status in REFUSALS:
                slack = self.timeline.slack(answer.t)
                unresolved = [a for a in case.attempts if a.known_not_run_from() > answer.t + slack]
                if unresolved:
                    node = unresolved[0].came.node
                    text = f"unsafe, and refused with {answer.status} though what came to {node} may have run"
                    yield _violation("refused-after-run", case, answer.t, text)
                    return

    def too_many_attempts(self, case: Case) -> Iterator[Violation]:
        """At most proxy.attempts attempts of a request may reach nodes."""
        limit = self.proxy.attempts
        if len(case.attempts) > limit:
            text = f"{len(case.attempts)} attempts came to nodes, {limit} are allowed"
            yield _violation("too-many-attempts", case, case.attempts[limit].came.t, text)

    def sent_to_drained(self, case: Case) -> Iterator[Violation]:
        """No first byte may arrive at a node later than drain_grace + answer_slack after the proxy was informed, or
        counts as informed, that the node drains or is gone (`Timeline.told_gone`). An attempt proves nothing if the
        node was unresponsive in the meantime."""
        grace = self.rules.drain_grace + self.rules.answer_slack
        for attempt in case.attempts:
            came = attempt.came
            told = self.timeline.told_gone(came.proxy, came.node, came.first)
            since = max(told.start, self.timeline.resumed_at(came.proxy, came.first)) if told else 0
            if not told or came.first <= since + grace + self.timeline.lag(came.first, told.start):
                continue
            if not self.timeline.unresponsive(came.node, told.start, came.first):
                assert isinstance(told.fact, Told)
                how = "was told" if told.fact.proxy == came.proxy else "counts as told"
                delay = ms(came.first - told.start)
                text = f"{came.proxy} sent to {came.node} {delay} ms after it {how} of {told.fact.phase}"
                yield _violation("sent-to-drained", case, came.first, text, told.fact)
                return


def _replied(attempt: Attempt) -> int:
    return attempt.replied.t if attempt.replied else -NEVER


def _violation(rule: str, case: Case, t: int, text: str, *more_facts: Record) -> Violation:
    return Violation(rule, case.request, t, text, history(case.facts, more_facts))
