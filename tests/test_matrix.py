"""The table of faults against stages in docs/review-of-parts.md: every cell names an existing test, or the reason why
the fault cannot occur at that stage."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
STAGES = ["start", "take in", "admit", "route", "send", "relay", "book", "reload", "handover", "stop"]
FAULTS = [
    "bad input", "peer slow", "peer silent", "peer reset", "peer spoilt", "peer refuses", "peer cold", "caller gone",
    "caller slow", "list changed", "list late", "list wrong", "settings swapped", "descriptors short", "memory short",
    "time short", "stop", "kill", "handover", "operator's call",
]  # fmt: skip


def table_errors(text: str) -> list[str]:
    """Returns the errors of the table."""
    section = text.partition("## Faults against stages")[2].partition("\n## ")[0]
    rows = [
        [c.strip() for c in line.strip("|\n ").split("|")]
        for line in section.splitlines()
        if line.startswith("|")
    ]
    errors = [] if rows and rows[0] == ["fault", *STAGES] else ["the columns are not the stages of the proxy"]
    errors += [] if [row[0] for row in rows[2:]] == FAULTS else ["the rows are not the expected faults"]
    meanings = dict(re.findall(r"^- ([TN]\d+) (.+)$", section, re.M))
    for row in rows[2:]:
        for stage, cell in zip(STAGES, row[1:], strict=True):
            codes = cell.replace(",", " ").split()
            if not codes or any(code not in meanings for code in codes):
                errors.append(f"{row[0]} at {stage}: {cell!r} names no test and no reason")
    for code, meaning in meanings.items():
        if code[0] == "T":
            file, _, name = meaning.split(" ")[0].strip("`").partition("::")
            source = (ROOT / file).read_text() if (ROOT / file).is_file() else ""
            if not name or not re.search(rf"^(def {re.escape(name)}\(|{re.escape(name)} = )", source, re.M):
                errors.append(f"{code}: {file}::{name} does not exist")
    return errors


def test_every_cell_of_the_table_names_a_test_or_a_reason() -> None:
    assert table_errors((ROOT / "docs" / "review-of-parts.md").read_text()) == []


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("::test_", "::test_no_such_"), ("| bad input | T1 T2 |", "| bad input | T9999 |"),
        ("| peer slow |", "| peer quick |"), ("- N1 ", "- M1 "),
    ],
)  # fmt: skip
def test_an_error_in_the_table_is_reported(old: str, new: str) -> None:
    text = (ROOT / "docs" / "review-of-parts.md").read_text()
    assert old in text and table_errors(text.replace(old, new, 1))
