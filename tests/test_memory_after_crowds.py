"""Private memory where crowds of different kinds follow each other at one process."""

from __future__ import annotations

import pytest
from soak_process import play_in_own_process

from slatehub.decisions.resource_budget import PROGRAM_MB, process_memory_mb

WAVES_SECONDS = 8.0


def play_waves(memory_mb: int, *crowds: str, pictures: tuple[str, ...] = ("waves",)) -> None:
    play_in_own_process(
        *(f"--picture={picture}" for picture in pictures),
        f"--memory-mb={memory_mb}",
        "--sockets=1024",
        *(f"--crowd={crowd}" for crowd in crowds),
        f"--seconds={WAVES_SECONDS}",
    )


@pytest.mark.parametrize("memory_mb", [64, 96])
def test_memory_that_one_crowd_leaves_behind_does_not_add_to_that_of_the_next(memory_mb: int) -> None:
    play_waves(memory_mb, "slow_bodies:580:64000", "unfinished_bodies:580:261120")


def test_a_process_that_is_replaced_beside_a_crowd_leaves_room_for_its_successor() -> None:
    play_waves(64, "slow_bodies:580:64000", "slow_bodies:580:30000", pictures=("upgrades", "waves"))


@pytest.mark.parametrize(
    "memory_mb, replaceable, shared, own_mb",
    [
        (64, False, False, 64),
        (64, True, False, 64 - PROGRAM_MB),
        (64, True, True, 32),
        (32, True, False, 32),
        (192, True, True, 96),
    ],
)
def test_the_memory_of_one_process_leaves_room_for_the_program_of_another(
    memory_mb: int, replaceable: bool, shared: bool, own_mb: int
) -> None:
    assert process_memory_mb(memory_mb, replaceable, shared) == own_mb
