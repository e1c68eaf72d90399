"""Private memory where crowds of different kinds follow each other at one process."""

from __future__ import annotations

import pytest
from soak_process import play_in_own_process

WAVES_SECONDS = 8.0


@pytest.mark.parametrize("memory_mb", [64, 96])
def test_memory_that_one_crowd_leaves_behind_does_not_add_to_that_of_the_next(memory_mb: int) -> None:
    play_in_own_process(
        "--picture=waves",
        f"--memory-mb={memory_mb}",
        "--sockets=1024",
        "--crowd=slow_bodies:580:64000",
        "--crowd=unended_bodies:580:261120",
        f"--seconds={WAVES_SECONDS}",
    )
