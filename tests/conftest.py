"""What all tests share: where the code is found, and the list of tests that may fail (known_red.py)."""

import sys
from pathlib import Path
from typing import Any

import pytest

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parents[1])]

import known_red  # noqa: E402


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items, known_red.read(known_red.LIST))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    known_red.tell(terminalreporter, known_red.read(known_red.LIST))
