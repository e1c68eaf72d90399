"""What the judge hands out: violations with their whole history, and how many there were of each rule. This
file owns their form, their wording as text, and the bound on how many are kept. It must never decide whether
a rule was broken."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from slatelab.records import Record

RULES = (
    "answered-once", "unanswered", "late-answer", "ran-twice", "order-ran-twice", "sent-again",
    "refused-after-run", "too-many-attempts", "sent-to-drained", "cold-pushed-over", "wrong-answer",
    "proxy-crashed", "fleet-attempts", "worth-inverted",
)  # fmt: skip
MOST = 100  # violations kept in full
LONGEST = 1000  # facts kept of one history


class Violation(msgspec.Struct, frozen=True):
    """One broken rule. `request` is "" where the rule is about a node or a proxy, an order's name where it is
    about an order; `t` is when it was broken, microseconds since the run's epoch; `history` is in order of
    time."""

    rule: str
    request: str
    t: int
    text: str
    history: tuple[Record, ...] = ()

    def explain(self) -> str:
        """The sentence, and each fact of the history in a line, times in milliseconds."""
        about = f" {self.request}" if self.request else ""
        lines = [f"{self.rule}{about} at {ms(self.t)} ms: {self.text}"]
        for fact in self.history:
            lines.append(
                f"  {ms(fact.t):>14}  {type(fact).__name__:<10} {_fields(fact, self.request)}".rstrip()
            )
        return "\n".join(lines)


class JudgeReport(msgspec.Struct):
    """The verdict on a run: at most MOST violations in order of time, each rule that was broken among them,
    and in `counts` how often each was broken in all. `requests` and `orders` are how many were judged."""

    violations: list[Violation] = []
    counts: dict[str, int] = {}
    requests: int = 0
    orders: int = 0

    @property
    def passed(self) -> bool:
        return not self.counts


class Docket:
    """Takes violations as they are found. The earliest found of each rule are kept, so a flood of one kind
    cannot push the only one of another out."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(RULES, 0)
        self._kept: dict[str, list[Violation]] = {rule: [] for rule in RULES}

    def enter(self, found: Iterable[Violation]) -> None:
        for violation in found:
            self.counts[violation.rule] += 1
            if len(self._kept[violation.rule]) < MOST:
                self._kept[violation.rule].append(violation)

    def close(self, requests: int, orders: int) -> JudgeReport:
        broken = {rule: count for rule, count in self.counts.items() if count}
        kept = sorted(self._choose(), key=lambda violation: violation.t)
        return JudgeReport(kept, broken, requests, orders)

    def _choose(self) -> list[Violation]:
        """In turns from each rule until there are MOST."""
        turns = (row[i] for i in range(MOST) for row in self._kept.values() if i < len(row))
        return [violation for violation, _ in zip(turns, range(MOST), strict=False)]


def history(*parts: Iterable[Record]) -> tuple[Record, ...]:
    """Facts from several places in order of time, each once; of more than LONGEST the first and the last
    halves."""
    each = {id(fact): fact for part in parts for fact in part}
    facts = sorted(each.values(), key=lambda fact: fact.t)
    if len(facts) > LONGEST:
        facts = facts[: LONGEST // 2] + facts[-LONGEST // 2 :]
    return tuple(facts)


def ms(t: int) -> str:
    """Microseconds as milliseconds with all three decimals."""
    sign = "-" if t < 0 else ""
    return f"{sign}{abs(t) // 1000}.{abs(t) % 1000:03}"


def _fields(fact: Record, request: str) -> str:
    return " ".join(f"{name}={value}" for name, value in _told(fact) if (name, value) != ("request", request))


def _told(fact: Record) -> Iterator[tuple[str, object]]:
    """Names and values, without the time and what was left at its default."""
    for field in msgspec.structs.fields(fact):
        value = getattr(fact, field.name)
        if field.name != "t" and (field.required or value != field.default):
            yield field.name, ms(value) if field.name in ("first", "intended", "until") else value
