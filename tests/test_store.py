"""The store: cut at every byte, a disk that forgets what was not synced, damage told from a write cut short."""

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
from slatehub.store import write_ahead_log as logs
from slatehub.store.files import AppendFile, DiskFolder, FolderLockedError
from slatehub.store.frames import HEADER, encode_frame, scan_frames
from slatehub.store.write_ahead_log import RecoveryResult, StoreError, WriteAheadLog, iter_records


class Power(Exception):
    """It has gone."""


class Paper:
    """A file system that remembers what was synced. `left`: calls until the power goes."""

    def __init__(self, identity: str = "here") -> None:
        self.data: dict[str, bytearray] = {}  # as the process sees it
        self.synced: dict[str, bytes] = {}  # contents that outlive, by the file's own number
        self.numbers: dict[str, int] = {}
        self.named: dict[str, int] = {}  # names that outlive
        self.count, self.left, self.mine = 0, -1, identity
        self.fails: set[str] = set()

    def step(self, what: str) -> None:
        if what in self.fails:
            raise OSError(errno.ENOSPC if what == "write" else errno.EIO, "it failed")
        if self.left == 0:
            raise Power
        self.left -= 1

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
        return Sheet(self, name)

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
        self.named = dict(self.numbers)

    def identity(self) -> str:
        return self.mine

    def close(self) -> None: ...

    def after_power(self, rng: Random) -> Paper:
        """What is found: names and contents that were synced, and of the rest as much as had got there: names of
        before or of now, a beginning of what was written, or that with holes in it."""
        found = Paper(self.mine)
        named = self.named if rng.random() < 0.5 else self.numbers
        contents = {number: bytes(self.data[name]) for name, number in self.numbers.items()}
        for name, number in named.items():
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
        found.named = dict(found.numbers)
        return found


class Sheet:
    def __init__(self, paper: Paper, name: str) -> None:
        self.paper, self.bytes, self.number = paper, paper.data[name], str(paper.numbers[name])

    def write(self, data: bytes) -> None:
        try:
            self.paper.step("write")
        except Power:
            self.bytes += data[: len(data) // 2]
            raise
        self.bytes += data

    def sync(self) -> None:
        self.paper.step("sync")
        self.paper.synced[self.number] = bytes(self.bytes)

    def close(self) -> None: ...


def body(number: int) -> bytes:
    return b"record %d " % number + b"x" * (number % 40)


def opened(paper: Paper) -> tuple[WriteAheadLog, RecoveryResult]:
    log = WriteAheadLog(paper)
    return log, log.open()


@pytest.fixture(autouse=True)
def _short(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logs, "SEGMENT_BYTES", 400)


def worked(paper: Paper, rounds: int = 12) -> list[bytes]:
    """Batches and two checkpoints until the power goes; the records that were said to be durable."""
    durable: list[bytes] = []
    try:
        log, _ = opened(paper)
        for number in range(rounds):
            some = [body(10 * number + i) for i in range(3)]
            log.commit(some)
            durable += some
            if number % 5 == 4:
                checkpoint = log.checkpoint()
                checkpoint.append(list(durable))
                log.commit([body(1000 + number)])
                durable.append(body(1000 + number))
                checkpoint.finish()
    except Power:
        pass
    return durable


def test_power_fails_at_every_call_and_nothing_that_was_durable_is_lost() -> None:
    whole = Paper()
    worked(whole)
    steps = -whole.left - 1
    assert steps > 100
    for at in range(steps):
        for seed in range(4):
            paper = Paper()
            paper.left = at
            durable = worked(paper)
            _, found = opened(paper.after_power(Random(1000 * at + seed)))
            assert not found.damage or not durable, (at, seed, found.damage)
            assert set(durable) <= set(found.records), (at, seed)
            assert all(one.startswith(b"record ") for one in found.records)


def test_a_log_is_cut_at_every_byte_and_opens_with_all_that_stood_before_it(tmp_path: Path) -> None:
    log, _ = opened(DiskFolder(str(tmp_path / "a")))  # type: ignore[arg-type]
    for number in range(4):
        log.commit([body(number)])
    log.files.close()
    name = sorted(x.name for x in (tmp_path / "a").iterdir() if x.name.startswith("log-"))[-1]
    data = (tmp_path / "a" / name).read_bytes()
    ends = [frame.end for frame in scan_frames(data).frames if frame.body[0]]
    for at in range(len(data) + 1):
        paper = Paper()
        for file in (tmp_path / "a").iterdir():
            paper.data[file.name] = bytearray(file.read_bytes())
            paper.numbers[file.name] = len(paper.numbers)
        paper.data[name] = bytearray(data[:at])
        _, found = opened(paper)
        assert found.records == [body(i) for i in range(sum(end <= at for end in ends))]
        assert not found.damage


def test_a_flipped_bit_before_the_last_note_is_damage_and_never_believed() -> None:
    paper = Paper()
    durable = worked(paper, rounds=3)
    names = [name for name in paper.list_names() if name.startswith("log-")]
    data = {name: bytes(paper.data[name]) for name in names}
    for name in names:
        frames = scan_frames(data[name]).frames
        last = max(
            (frame.start for frame in frames if frame.body.startswith(logs.SYNC_MARKER)),
            default=len(data[name]),
        )
        for at in range(0, len(data[name]), 3):
            found_paper = Paper()
            for other in paper.list_names():
                found_paper.data[other] = bytearray(paper.data[other])
                found_paper.numbers[other] = len(found_paper.numbers)
            found_paper.data[name][at] ^= 0x10
            _, found = opened(found_paper)
            assert set(found.records) <= set(durable)
            inside = at < last or name != names[-1]
            assert found.damage or not inside or found.records == durable, (name, at)


def test_what_was_damaged_once_is_not_found_again_at_the_next_start() -> None:
    paper = Paper()
    durable = worked(paper, rounds=3)
    name = next(name for name in paper.list_names() if name.startswith("log-"))
    paper.data[name][len(paper.data[name]) // 2] ^= 1
    log, found = opened(paper)
    assert found.damage and set(found.records) < set(durable)
    number = log.store_id
    log.assign_new_store_id(found.records)
    again, after = opened(paper)
    assert not after.damage and after.records == found.records and again.store_id == log.store_id != number


def test_a_sync_that_failed_is_never_followed_by_a_yes() -> None:
    paper = Paper()
    log, _ = opened(paper)
    log.commit([body(1)])
    paper.fails = {"sync"}
    with pytest.raises(StoreError, match="it failed"):
        log.commit([body(2)])
    paper.fails = set()
    for _ in range(2):
        with pytest.raises(StoreError, match="it failed"):
            log.commit([body(3)])
    with pytest.raises(StoreError):
        log.checkpoint()


def test_a_full_disk_is_told_and_what_was_there_stays() -> None:
    paper = Paper()
    log, _ = opened(paper)
    log.commit([body(1)])
    paper.fails = {"write"}
    with pytest.raises(StoreError):
        log.commit([body(2)])
    paper.fails = set()
    assert opened(paper.after_power(Random(1)))[1].records == [body(1)]


def test_a_copied_folder_is_told_and_a_second_process_is_kept_out(tmp_path: Path) -> None:
    log, found = opened(DiskFolder(str(tmp_path / "a")))  # type: ignore[arg-type]
    assert found.is_new
    log.commit([body(1)])
    with pytest.raises(FolderLockedError):
        DiskFolder(str(tmp_path / "a"))
    number = log.store_id
    log.close()
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    log, found = opened(DiskFolder(str(tmp_path / "b")))  # type: ignore[arg-type]
    assert found.is_copy and found.records == [body(1)]
    log.assign_new_store_id(found.records)
    assert log.store_id != number
    log.close()
    log, found = opened(DiskFolder(str(tmp_path / "b")))  # type: ignore[arg-type]
    assert not found.is_copy
    log.close()
    assert not opened(DiskFolder(str(tmp_path / "a")))[1].is_copy  # type: ignore[arg-type]


def test_a_manifest_of_another_format_is_left_alone_and_one_that_is_gone_is_damage() -> None:
    paper = Paper()
    worked(paper, rounds=2)
    raw = bytes(paper.data["manifest"])
    later = scan_frames(raw).frames[0].body.replace(b"\x95\x01", b"\x95\x02", 1)
    paper.data["manifest"] = bytearray(encode_frame(later))
    with pytest.raises(StoreError, match="format 2"):
        opened(paper)
    paper.data["manifest"] = bytearray(raw)
    paper.data["manifest"][HEADER.size] ^= 1
    assert "manifest cannot be read" in opened(paper)[1].damage[0]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=60), max_size=12), st.binary(max_size=30), st.integers(0, 10_000)
)
def test_good_frames_are_found_whatever_stands_between_them(
    bodies: list[bytes], noise: bytes, at: int
) -> None:
    parts = [encode_frame(one) for one in bodies]
    place = at % (len(parts) + 1)
    data = b"".join([*parts[:place], noise, *parts[place:]])
    result = scan_frames(data)
    assert [frame.body for frame in result.frames] == bodies
    assert sum(b - a for a, b in result.gaps) == len(noise)


def test_the_records_of_a_folder_are_listed_for_tools() -> None:
    paper = Paper()
    durable = worked(paper, rounds=3)
    assert [one for _, _, one in iter_records(paper)] == durable


def test_nothing_is_heard_before_the_folder_has_been_read(tmp_path: Path) -> None:
    """What an empty machine took in meanwhile counted as written down by the one that came after it."""
    link: Any = SimpleNamespace(
        peer=SimpleNamespace(handlers={}), raise_receive_limit=lambda: None, send_payload=lambda *_: None
    )
    held = DiskFolder(str(tmp_path))  # as the old process of an upgrade holds it
    driver = CopiesDriver("p0", CopiesConfig(folder=str(tmp_path), voters=("p0", "p1", "p2")), link, 1)
    driver.open()
    gevent.sleep(0.1)
    assert not link.peer.handlers and not driver.has_quorum() and not driver.pending_records
    held.close()
    for _ in range(400):
        gevent.sleep(0.01 if not link.peer.handlers else 0)
    assert link.peer.handlers and driver.replica.self_voter.store_id and not driver.failure
    driver.close()
    assert not link.peer.handlers
