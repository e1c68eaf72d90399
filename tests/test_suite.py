"""What holds for the tests themselves: a run of them ends, whatever a test has left behind."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from fleet_rig import LoadClients, running_fleet
from test_copies import Orders

HERE = Path(__file__).parent
LEFT = """
import threading, time
def test_that_leaves_somebody_at_work():
    threading.Thread(target=lambda: time.sleep(5)).start()
"""
HANGS = """
import time
def test_that_hangs():
    time.sleep(600)
"""


def played(tmp: Path, test: str, *more: str) -> subprocess.CompletedProcess[str]:
    for name in ("conftest.py", "known_red.py"):
        (tmp / name).write_text((HERE / name).read_text())
    (tmp / "test_x.py").write_text(test)
    argv = [
        sys.executable,
        "-B",
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        "--rootdir",
        str(tmp),
        *more,
    ]
    return subprocess.run(argv, cwd=tmp, capture_output=True, text=True, timeout=60)


def test_who_leaves_somebody_at_work_fails(tmp_path: Path) -> None:
    done = played(tmp_path, LEFT)
    assert done.returncode == 1 and "still at work after the test" in done.stdout


def test_a_test_that_hangs_ends_the_run_and_shows_where(tmp_path: Path) -> None:
    own = ["-o", "faulthandler_timeout=1", "-o", "faulthandler_exit_on_timeout=true"]
    done = played(tmp_path, HANGS, *own)
    assert done.returncode not in (0, 5) and "test_that_hangs" in done.stderr


@pytest.mark.parametrize("kind", [LoadClients, Orders])
def test_callers_end_with_a_test_that_fails(tmp_path: Path, kind: type[LoadClients] | type[Orders]) -> None:
    callers = None
    with pytest.raises(ZeroDivisionError), running_fleet(tmp_path, 1) as rig:
        callers = kind(rig)
        assert 1 / 0
    assert callers and not any(thread.is_alive() for thread in callers.threads)
