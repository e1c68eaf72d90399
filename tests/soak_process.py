"""Starts soak runs (slatelab.soak) as a process of their own. Decides nothing about them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
SOAK_TIMEOUT_S = 180


def play_in_own_process(*options: str) -> None:
    """Plays soak runs with these options of `python -m slatelab.soak`. Fails, with what it printed, if a rule was
    broken or it could not be played."""
    command = [sys.executable, "-B", "-m", "slatelab.soak", *options]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=SOAK_TIMEOUT_S)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
