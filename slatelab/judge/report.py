"""The report of the judge: violations with their history, and the number of violations of each rule. Defines their
types, their text form and the limits on how many are kept."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from slatelab.records import Record

RULES = (
    "answered-once", "unanswered", "late-answer", "ran-twice", "order-ran-twice", "sent-again",
    "refused-after-run", "too-many-attempts", "sent-to-drained", "cold-pushed-over", "wrong-answer",
    "proxy-crashed", "fleet-attempts", "worth-inverted",
)  # fmt: skip
MAX_VIOLATIONS = 100  # violations kept with their history
MAX_HISTORY = 1000  # facts kept of one history


class Violation(msgspec.Struct, frozen=True):
    """One broken rule. `request` is "" if the rule is about a node or a proxy, and the order's name if it is about an
    order; `t` is when it was broken, in microseconds since the run's epoch; `history` is in order of time."""

    rule: str
    request: str
    t: int
    text: str
    history: tuple[Record, ...] = ()

    def explain(self) -> str:
        """The violation as text, with one line for each fact of the history and times in milliseconds."""
        about = f" {self.request}" if self.request else ""
        lines = [f"{self.rule}{about} at {ms(self.t)} ms: {self.text}"]
        for fact in self.history:
            lines.append(
                f"  {ms(fact.t):>14}  {type(fact).__name__:<10} {_fields(fact, self.request)}".rstrip()
            )
        return "\n".join(lines)


class JudgeReport(msgspec.Struct):
    """The verdict on a run: at most MAX_VIOLATIONS violations in order of time, which include each broken rule, and in
    `counts` the total number of violations by rule. `requests` and `orders` are how many were judged."""

    violations: list[Violation] = []
    counts: dict[str, int] = {}
    requests: int = 0
    orders: int = 0

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.counts


class ViolationCollector:
    """Collects violations as they are found. The first ones of each rule are kept, so many violations of one rule
    cannot displace the only one of another."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(RULES, 0)
        self._kept: dict[str, list[Violation]] = {rule: [] for rule in RULES}

    def add(self, violations: Iterable[Violation]) -> None:
        """Counts violations and keeps the first ones of each rule."""
        for violation in violations:
            self.counts[violation.rule] += 1
            if len(self._kept[violation.rule]) < MAX_VIOLATIONS:
                self._kept[violation.rule].append(violation)

    def report(self, requests: int, orders: int) -> JudgeReport:
        """The report on everything added; `requests` and `orders` are how many were judged."""
        broken = {rule: count for rule, count in self.counts.items() if count}
        kept = sorted(self._select(), key=lambda violation: violation.t)
        return JudgeReport(kept, broken, requests, orders)

    def _select(self) -> list[Violation]:
        """Takes violations from each rule in turn, up to MAX_VIOLATIONS."""
        interleaved = (row[i] for i in range(MAX_VIOLATIONS) for row in self._kept.values() if i < len(row))
        return [violation for violation, _ in zip(interleaved, range(MAX_VIOLATIONS), strict=False)]


def history(*parts: Iterable[Record]) -> tuple[Record, ...]:
    """Facts from several sources in order of time, each once. Of more than MAX_HISTORY facts, the first and the last
    MAX_HISTORY / 2 are kept."""
    unique = {id(fact): fact for part in parts for fact in part}
    facts = sorted(unique.values(), key=lambda fact: fact.t)
    if len(facts) > MAX_HISTORY:
        facts = facts[: MAX_HISTORY // 2] + facts[-MAX_HISTORY // 2 :]
    return tuple(facts)


def ms(t: int) -> str:
    """Formats microseconds as milliseconds with three decimals."""
    sign = "-" if t < 0 else ""
    return f"{sign}{abs(t) // 1000}.{abs(t) % 1000:03}"


def _fields(fact: Record, request: str) -> str:
    return " ".join(
        f"{name}={value}" for name, value in _set_fields(fact) if (name, value) != ("request", request)
    )


def _set_fields(fact: Record) -> Iterator[tuple[str, object]]:
    """Names and values of the fields, without the time and fields that have their default."""
    for field in msgspec.structs.fields(fact):
        value = getattr(fact, field.name)
        if field.name != "t" and (field.required or value != field.default):
            yield field.name, ms(value) if field.name in ("first", "intended", "until") else value
