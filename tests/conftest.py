"""What all tests share: where the code is found, the list of tests that may fail (known_red.py), and that no test
leaves anything behind that would keep the run from ending."""

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
    """Guards against programs of another run beside this one, which bear the same names: one that has an operators'
    address looks in $TMPDIR for a process to take over from."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("TMPDIR", str(tmp_path_factory.getbasetemp()))
        yield


@pytest.fixture(autouse=True)
def nobody_stays() -> Iterator[None]:
    """Guards against a run that is over and never ends: the interpreter waits for threads that are no daemons, and a
    test that fails may have left some that ask without end."""
    before = set(threading.enumerate())
    yield
    left = [x for x in threading.enumerate() if x not in before and not x.daemon]
    assert not left, f"still at work after the test: {left}"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items, known_red.read(known_red.LIST))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    known_red.tell(terminalreporter, known_red.read(known_red.LIST))
