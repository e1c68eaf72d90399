"""Groups the facts of one request into a case: what its caller observed, and its attempts with their outcomes. Matches
facts with each other and applies no rules."""

from __future__ import annotations

from slatelab.records import Answered, Asked, Began, BrokenOff, Came, GaveUp, Replied

from .timeline import NEVER

End = Answered | BrokenOff | GaveUp
RequestFact = Asked | Answered | BrokenOff | GaveUp | Came | Began | Replied
REQUEST_FACTS = (Came, Began, Replied, Asked, Answered, BrokenOff, GaveUp)
REFUSALS = (429, 503)


class Attempt:
    """One Came and the reply of its node. If several attempts of a request at one node are unanswered, a reply belongs
    to the last of them, because earlier ones may have been dropped without a reply."""

    __slots__ = ("came", "replied")

    def __init__(self, came: Came) -> None:
        self.came = came
        self.replied: Replied | None = None

    def known_not_run_from(self) -> int:
        """From when it was proved that the attempt has not run and never will; NEVER if it may have run."""
        return self.replied.t if self.replied and self.replied.turned else NEVER


class Case:
    """Built from the facts of one request in order of time. `asked` is the last Asked: a caller whose connection was
    closed before the proxy had read the request may write it once more (RFC 9112, 9.3.1), so ends before that do not
    end the request. `end` is the first end after it; `ends` are all of them."""

    __slots__ = ("asked", "attempts", "began", "end", "ends", "facts", "replied", "request")

    def __init__(self, request: str, facts: list[RequestFact]) -> None:
        self.request, self.facts = request, facts
        self.asked: Asked | None = None
        self.end: End | None = None
        self.ends: list[End] = []
        self.attempts: list[Attempt] = []
        self.began: list[Began] = []
        self.replied: list[Replied] = []
        for fact in facts:
            self._add(fact)

    def _add(self, fact: RequestFact) -> None:
        if isinstance(fact, Came):
            self.attempts.append(Attempt(fact))
        elif isinstance(fact, Began):
            self.began.append(fact)
        elif isinstance(fact, Replied):
            self._add_reply(fact)
        elif isinstance(fact, Asked):
            self.asked = fact
            if isinstance(self.end, BrokenOff):
                self.end = None
        else:
            self.ends.append(fact)
            self.end = self.end or fact

    def _add_reply(self, fact: Replied) -> None:
        self.replied.append(fact)
        for attempt in reversed(self.attempts):
            if not attempt.replied and (attempt.came.node, attempt.came.life) == (fact.node, fact.life):
                attempt.replied = fact
                return

    def answers(self) -> list[Answered]:
        """All answers to the request, in order of time."""
        return [end for end in self.ends if isinstance(end, Answered)]
