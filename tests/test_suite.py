"""The test suite itself: a run ends even when a test hangs or leaves threads behind."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from fleet_rig import LoadClients, running_fleet
from test_copies import Orders

HERE = Path(__file__).parent
LEAVES_THREAD = """
import threading, time
def test_that_leaves_a_thread():
    threading.Thread(target=lambda: time.sleep(5)).start()
"""
HANGS = """
import time
def test_that_hangs():
    time.sleep(600)
"""


def run_pytest(tmp: Path, test: str, *more: str) -> subprocess.CompletedProcess[str]:
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


def test_a_test_that_leaves_a_thread_running_fails(tmp_path: Path) -> None:
    done = run_pytest(tmp_path, LEAVES_THREAD)
    assert done.returncode == 1 and "still at work after the test" in done.stdout


def test_a_test_that_hangs_ends_the_run_and_shows_where(tmp_path: Path) -> None:
    timeout_options = ["-o", "faulthandler_timeout=1", "-o", "faulthandler_exit_on_timeout=true"]
    done = run_pytest(tmp_path, HANGS, *timeout_options)
    assert done.returncode not in (0, 5) and "test_that_hangs" in done.stderr


@pytest.mark.parametrize("kind", [LoadClients, Orders])
def test_load_threads_end_when_a_test_fails(tmp_path: Path, kind: type[LoadClients] | type[Orders]) -> None:
    callers = None
    with pytest.raises(ZeroDivisionError), running_fleet(tmp_path, 1) as rig:
        callers = kind(rig)
        assert 1 / 0
    assert callers and not any(thread.is_alive() for thread in callers.threads)
