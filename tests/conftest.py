"""Shared by all tests: the import path, the list of tests that are expected to fail (known_red.py), and a check that no
test leaves threads behind that would keep the run from ending."""

import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parents[1])]

import known_red  # noqa: E402


@pytest.fixture(scope="session", autouse=True)
def private_tmpdir(tmp_path_factory: pytest.TempPathFactory) -> Iterator[None]:
    """Separates this run from other runs on the same machine, whose proxies have the same names: a proxy with a
    management address looks in $TMPDIR for a process to take over from."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("TMPDIR", str(tmp_path_factory.getbasetemp()))
        yield


@pytest.fixture(autouse=True)
def no_leftover_threads() -> Iterator[None]:
    """Guards against a test run that never ends: the interpreter waits for non-daemon threads, and a failed test may
    have left some that send requests forever."""
    before = set(threading.enumerate())
    yield
    leftover = [x for x in threading.enumerate() if x not in before and not x.daemon]
    assert not leftover, f"still at work after the test: {leftover}"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items, known_red.read(known_red.LIST))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    known_red.tell(terminalreporter, known_red.read(known_red.LIST))
