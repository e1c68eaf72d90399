"""The write-ahead log: truncation at every byte, a disk that loses unsynced data, damage versus incomplete writes."""

from __future__ import annotations

import errno
import shutil
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatehub.copies.driver import CopiesDriver
from slatehub.settings.operator import CopiesConfig
from slatehub.store import write_ahead_log
from slatehub.store.files import AppendFile, DiskFolder, FolderLockedError
from slatehub.store.frames import HEADER, encode_frame, scan_frames
from slatehub.store.write_ahead_log import RecoveryResult, StoreError, WriteAheadLog, iter_records


class PowerLoss(Exception):
    """The simulated power loss."""


class MemoryFolder:
    """A simulated folder that tracks which names and contents are durable. `calls_left`: calls until the power loss,
    negative: none."""

    def __init__(self, identity: str = "here") -> None:
        self.data: dict[str, bytearray] = {}  # contents as the process sees them
        self.synced: dict[str, bytes] = {}  # durable contents, by file number
        self.numbers: dict[str, int] = {}
        self.durable_names: dict[str, int] = {}  # durable names
        self.count, self.calls_left, self.folder_identity = 0, -1, identity
        self.failing_calls: set[str] = set()

    def step(self, call: str) -> None:
        if call in self.failing_calls:
            raise OSError(errno.ENOSPC if call == "write" else errno.EIO, "it failed")
        if self.calls_left == 0:
            raise PowerLoss
        self.calls_left -= 1

    def list_names(self) -> list[str]:
        return sorted(self.data)

    def read(self, name: str) -> bytes:
        return bytes(self.data[name])

    def append(self, name: str) -> AppendFile:
        self.step("append")
        if name not in self.data:
            self.data[name] = bytearray()
            self.count += 1
            self.numbers[name] = self.count
        return MemoryFile(self, name)

    def truncate(self, name: str, size: int) -> None:
        self.step("cut")
        del self.data[name][size:]
        self.synced[str(self.numbers[name])] = bytes(self.data[name])

    def replace(self, old: str, new: str) -> None:
        self.step("replace")
        self.data[new] = self.data.pop(old)
        self.numbers[new] = self.numbers.pop(old)

    def remove(self, name: str) -> None:
        self.step("remove")
        del self.data[name], self.numbers[name]

    def sync_directory(self) -> None:
        self.step("names")
        self.durable_names = dict(self.numbers)

    def identity(self) -> str:
        return self.folder_identity

    def close(self) -> None: ...

    def after_power_loss(self, rng: Random) -> MemoryFolder:
        """The folder after a power loss: durable names and contents, and a random part of the rest: the old or the
        current names, and a prefix of the unsynced bytes, possibly with a hole of zeros."""
        found = MemoryFolder(self.folder_identity)
        names = self.durable_names if rng.random() < 0.5 else self.numbers
        contents = {number: bytes(self.data[name]) for name, number in self.numbers.items()}
        for name, number in names.items():
            kept = self.synced.get(str(number), b"")
            rest = bytearray(contents.get(number, kept)[len(kept) :])
            del rest[rng.randrange(len(rest) + 1) :]
            if rest and rng.random() < 0.3:
                hole = rng.randrange(len(rest))
                rest[hole : hole + 64] = bytes(len(rest[hole : hole + 64]))
            found.data[name] = bytearray(kept + rest)
            found.count += 1
            found.numbers[name] = found.count
            found.synced[str(found.count)] = bytes(found.data[name])
        found.durable_names = dict(found.numbers)
        return found


class MemoryFile:
    def __init__(self, folder: MemoryFolder, name: str) -> None:
        self.folder, self.content, self.number = folder, folder.data[name], str(folder.numbers[name])

    def write(self, data: bytes) -> None:
        try:
            self.folder.step("write")
        except PowerLoss:
            self.content += data[: len(data) // 2]
            raise
        self.content += data

    def sync(self) -> None:
        self.folder.step("sync")
        self.folder.synced[self.number] = bytes(self.content)

    def close(self) -> None: ...


def make_record(number: int) -> bytes:
    return b"record %d " % number + b"x" * (number % 40)


def open_log(folder: MemoryFolder) -> tuple[WriteAheadLog, RecoveryResult]:
    log = WriteAheadLog(folder)
    return log, log.open()


@pytest.fixture(autouse=True)
def _small_segments(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_ahead_log, "SEGMENT_BYTES", 400)


def run_commits(folder: MemoryFolder, rounds: int = 12) -> list[bytes]:
    """Commits batches and two checkpoints until the power loss; returns the records that were reported as durable."""
    durable: list[bytes] = []
    try:
        log, _ = open_log(folder)
        for number in range(rounds):
            batch = [make_record(10 * number + i) for i in range(3)]
            log.commit(batch)
            durable += batch
            if number % 5 == 4:
                checkpoint = log.checkpoint()
                checkpoint.append(list(durable))
                log.commit([make_record(1000 + number)])
                durable.append(make_record(1000 + number))
                checkpoint.finish()
    except PowerLoss:
        pass
    return durable


def test_a_power_loss_at_any_call_loses_nothing_durable() -> None:
    complete = MemoryFolder()
    run_commits(complete)
    steps = -complete.calls_left - 1
    assert steps > 100
    for at in range(steps):
        for seed in range(4):
            folder = MemoryFolder()
            folder.calls_left = at
            durable = run_commits(folder)
            _, found = open_log(folder.after_power_loss(Random(1000 * at + seed)))
            assert not found.damage or not durable, (at, seed, found.damage)
            assert set(durable) <= set(found.records), (at, seed)
            assert all(one.startswith(b"record ") for one in found.records)


def test_a_log_truncated_at_any_byte_opens_with_all_records_before_it(tmp_path: Path) -> None:
    log, _ = open_log(DiskFolder(str(tmp_path / "a")))  # type: ignore[arg-type]
    for number in range(4):
        log.commit([make_record(number)])
    log.files.close()
    name = sorted(x.name for x in (tmp_path / "a").iterdir() if x.name.startswith("log-"))[-1]
    data = (tmp_path / "a" / name).read_bytes()
    ends = [frame.end for frame in scan_frames(data).frames if frame.body[0]]
    for at in range(len(data) + 1):
        folder = MemoryFolder()
        for file in (tmp_path / "a").iterdir():
            folder.data[file.name] = bytearray(file.read_bytes())
            folder.numbers[file.name] = len(folder.numbers)
        folder.data[name] = bytearray(data[:at])
        _, found = open_log(folder)
        assert found.records == [make_record(i) for i in range(sum(end <= at for end in ends))]
        assert not found.damage


def test_a_flipped_bit_before_the_last_sync_marker_is_reported_as_damage() -> None:
    folder = MemoryFolder()
    durable = run_commits(folder, rounds=3)
    names = [name for name in folder.list_names() if name.startswith("log-")]
    data = {name: bytes(folder.data[name]) for name in names}
    for name in names:
        frames = scan_frames(data[name]).frames
        last = max(
            (frame.start for frame in frames if frame.body.startswith(write_ahead_log.SYNC_MARKER)),
            default=len(data[name]),
        )
        for at in range(0, len(data[name]), 3):
            damaged = MemoryFolder()
            for other in folder.list_names():
                damaged.data[other] = bytearray(folder.data[other])
                damaged.numbers[other] = len(damaged.numbers)
            damaged.data[name][at] ^= 0x10
            _, found = open_log(damaged)
            assert set(found.records) <= set(durable)
            inside = at < last or name != names[-1]
            assert found.damage or not inside or found.records == durable, (name, at)


def test_damage_is_not_reported_again_at_the_next_start() -> None:
    folder = MemoryFolder()
    durable = run_commits(folder, rounds=3)
    name = next(name for name in folder.list_names() if name.startswith("log-"))
    folder.data[name][len(folder.data[name]) // 2] ^= 1
    log, found = open_log(folder)
    assert found.damage and set(found.records) < set(durable)
    number = log.store_id
    log.assign_new_store_id(found.records)
    again, after = open_log(folder)
    assert not after.damage and after.records == found.records and again.store_id == log.store_id != number


def test_no_commit_succeeds_after_a_failed_sync() -> None:
    folder = MemoryFolder()
    log, _ = open_log(folder)
    log.commit([make_record(1)])
    folder.failing_calls = {"sync"}
    with pytest.raises(StoreError, match="it failed"):
        log.commit([make_record(2)])
    folder.failing_calls = set()
    for _ in range(2):
        with pytest.raises(StoreError, match="it failed"):
            log.commit([make_record(3)])
    with pytest.raises(StoreError):
        log.checkpoint()


def test_a_full_disk_is_reported_and_earlier_records_stay() -> None:
    folder = MemoryFolder()
    log, _ = open_log(folder)
    log.commit([make_record(1)])
    folder.failing_calls = {"write"}
    with pytest.raises(StoreError):
        log.commit([make_record(2)])
    folder.failing_calls = set()
    assert open_log(folder.after_power_loss(Random(1)))[1].records == [make_record(1)]


def test_a_copied_folder_is_detected_and_a_second_process_is_locked_out(tmp_path: Path) -> None:
    log, found = open_log(DiskFolder(str(tmp_path / "a")))  # type: ignore[arg-type]
    assert found.is_new
    log.commit([make_record(1)])
    with pytest.raises(FolderLockedError):
        DiskFolder(str(tmp_path / "a"))
    number = log.store_id
    log.close()
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    log, found = open_log(DiskFolder(str(tmp_path / "b")))  # type: ignore[arg-type]
    assert found.is_copy and found.records == [make_record(1)]
    log.assign_new_store_id(found.records)
    assert log.store_id != number
    log.close()
    log, found = open_log(DiskFolder(str(tmp_path / "b")))  # type: ignore[arg-type]
    assert not found.is_copy
    log.close()
    assert not open_log(DiskFolder(str(tmp_path / "a")))[1].is_copy  # type: ignore[arg-type]


def test_a_manifest_of_another_format_is_left_alone_and_an_unreadable_one_is_damage() -> None:
    folder = MemoryFolder()
    run_commits(folder, rounds=2)
    raw = bytes(folder.data["manifest"])
    later = scan_frames(raw).frames[0].body.replace(b"\x95\x01", b"\x95\x02", 1)
    folder.data["manifest"] = bytearray(encode_frame(later))
    with pytest.raises(StoreError, match="format 2"):
        open_log(folder)
    folder.data["manifest"] = bytearray(raw)
    folder.data["manifest"][HEADER.size] ^= 1
    assert "manifest cannot be read" in open_log(folder)[1].damage[0]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=60), max_size=12), st.binary(max_size=30), st.integers(0, 10_000)
)
def test_valid_frames_are_found_whatever_bytes_are_between_them(
    bodies: list[bytes], noise: bytes, at: int
) -> None:
    parts = [encode_frame(one) for one in bodies]
    place = at % (len(parts) + 1)
    data = b"".join([*parts[:place], noise, *parts[place:]])
    result = scan_frames(data)
    assert [frame.body for frame in result.frames] == bodies
    assert sum(b - a for a, b in result.gaps) == len(noise)


def test_the_records_of_a_folder_are_listed_for_tools() -> None:
    folder = MemoryFolder()
    durable = run_commits(folder, rounds=3)
    assert [one for _, _, one in iter_records(folder)] == durable


def test_no_message_is_handled_before_the_folder_has_been_read(tmp_path: Path) -> None:
    """Guards against a fault in which records of the empty replica, received before the store was read, counted as
    durable for the restored replica that replaced it."""
    fleet: Any = SimpleNamespace(
        peer=SimpleNamespace(handlers={}), raise_receive_limit=lambda: None, send_payload=lambda *_: None
    )
    held = DiskFolder(str(tmp_path))  # as the old process does during an upgrade
    driver = CopiesDriver("p0", CopiesConfig(folder=str(tmp_path), voters=("p0", "p1", "p2")), fleet, 1)
    driver.open()
    gevent.sleep(0.1)
    assert not fleet.peer.handlers and not driver.has_quorum() and not driver.pending_records
    held.close()
    for _ in range(400):
        gevent.sleep(0.01 if not fleet.peer.handlers else 0)
    assert fleet.peer.handlers and driver.replica.self_voter.store_id and not driver.failure
    driver.close()
    assert not fleet.peer.handlers
