"""The log on disk: segments that are only ever written at their end, checkpoints, and a manifest that says which of
them count. It owns these files. Blocking; one thread at a time. It must never call a record durable before the system
has said so, never go on after a sync that failed, and never hide that a record which had been durable cannot be read.

A segment: a head, then records in batches; behind each batch that was synced a note how far. What cannot be read behind
the last note is a write that power or a kill cut short, and goes; what cannot be read before it is damage: a record was
lost that others were told of (Alagappan et al., Protocol-Aware Recovery, FAST 2018, on why the two must be told apart).
A note is written after the sync and made durable by the next one, so after a loss of power, though not of a process
alone, the last batch counts as cut short."""

from __future__ import annotations

import secrets
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .files import AppendFile, Folder
from .frames import encode_frame, scan_frames

FORMAT = 1
SEGMENT_BYTES = 4 * 1024 * 1024  # bytes, from which on a new one is begun
MANIFEST = "manifest"
SYNC_MARKER, HEADED, CLOSED = (
    b"\0n",
    b"\0h",
    b"\0c",
)  # records of our own begin with a zero byte, others never do


class StoreError(Exception):
    """The folder cannot be used; one line that says why, and what to do."""


class Manifest(msgspec.Struct, array_like=True):
    """`first`: the oldest segment that counts; `checkpoint`: holds what stood in older ones, "" none; `identity`: of
    the folder in which the store was made."""

    format: int
    store: int
    identity: str
    first: int
    checkpoint: str = ""


@dataclass(slots=True)
class RecoveryResult:
    """What a folder held. `damage`: where records had been durable and cannot be read; `truncated_bytes`: bytes of
    writes that had not been; `is_new`: nothing was there."""

    records: list[bytes] = field(default_factory=list)
    damage: list[str] = field(default_factory=list)
    truncated_bytes: int = 0
    is_new: bool = False
    is_copy: bool = False


def segment(number: int) -> str:
    return f"log-{number:010d}"


def drawn() -> int:
    """A store's own number."""
    return secrets.randbits(63) | 1


class WriteAheadLog:
    """`store`: the number that the folder was given when it was made. `bytes`: of the segments that count."""

    def __init__(self, files: Folder) -> None:
        self.files = files
        self.manifest = Manifest(FORMAT, 0, "", 1)
        self.number = 0
        self.file: AppendFile | None = None
        self.at = 0  # the end of the segment that is written
        self.size = 0
        self.failure = ""  # why it takes nothing any more

    @property
    def store_id(self) -> int:
        return self.manifest.store

    # ------------------------------------------------------------ begin

    def open(self) -> RecoveryResult:
        """Reads all that counts, and begins a new segment. StoreError, OSError."""
        found = RecoveryResult()
        names = self.files.list_names()
        if self._read_manifest(found, names):
            self._read(found, names)
        else:
            self._found(found, names)
        self._sweep()
        self._begin(max([self.manifest.first - 1, *self._segments(names)]) + 1)
        return found

    def _found(self, found: RecoveryResult, names: list[str]) -> None:
        """A new store, in place of one that cannot be read: it is for the other machines to fill it again."""
        found.is_new = not found.damage
        first = max([0, *self._segments(names)]) + 1
        self.manifest = Manifest(FORMAT, drawn(), self.files.identity(), first)
        self._switch(self.manifest)

    def _read_manifest(self, found: RecoveryResult, names: list[str]) -> bool:
        """Whether there is one that can be read. A format that we do not know is left alone."""
        if MANIFEST not in names:
            if any(name.startswith(("log-", "check-")) for name in names):
                found.damage.append("the manifest is gone")
            return False
        frames = scan_frames(self.files.read(MANIFEST)).frames
        try:
            form = msgspec.msgpack.decode(frames[0].body)
            if isinstance(form, list) and form and form[0] != FORMAT:
                raise StoreError(f"format {str(form[0])[:20]}, this version reads {FORMAT}")
            self.manifest = msgspec.convert(form, Manifest)
        except (IndexError, msgspec.DecodeError, msgspec.ValidationError):
            found.damage.append("the manifest cannot be read")
            return False
        found.is_copy = self.manifest.identity != self.files.identity()
        return True

    @staticmethod
    def _segments(names: Iterable[str]) -> list[int]:
        return sorted(int(name[4:]) for name in names if name.startswith("log-") and name[4:].isdigit())

    def _read(self, found: RecoveryResult, names: list[str]) -> None:
        if self.manifest.checkpoint:
            self._read_checkpoint(found, names)
        numbers = [n for n in self._segments(names) if n >= self.manifest.first]
        for i, number in enumerate(numbers):
            if number != self.manifest.first + i:
                found.damage.append(f"{segment(self.manifest.first + i)} is gone")
                break
            self._read_segment(found, number, last=number == numbers[-1])

    def _read_checkpoint(self, found: RecoveryResult, names: list[str]) -> None:
        name = self.manifest.checkpoint
        result = scan_frames(self.files.read(name) if name in names else b"")
        bodies = [frame.body for frame in result.frames]
        if result.gaps or not bodies or not bodies[-1].startswith(CLOSED):
            found.damage.append(f"{name} is not whole")
        found.records += [body for body in bodies if body[0]]

    def _read_segment(self, found: RecoveryResult, number: int, last: bool) -> None:
        name = segment(number)
        data = self.files.read(name)
        self.size += len(data)
        result = scan_frames(data)
        synced = max((_noted(frame.body) for frame in result.frames), default=0) if last else len(data)
        bad = [gap for gap in result.gaps if gap[0] < synced]
        found.damage += [f"{name}: bytes {a} to {b} cannot be read" for a, b in bad]
        torn = next((gap[0] for gap in result.gaps if gap[0] >= synced), len(data))
        if torn < len(data):
            found.truncated_bytes += len(data) - torn
            self.files.truncate(name, torn)
        if last:
            self._settle(name)
        found.records += [frame.body for frame in result.frames if frame.body[0] and frame.end <= torn]

    def _settle(self, name: str) -> None:
        """What a killed process had written and not yet synced counts from now on, and so must be durable."""
        file = self.files.append(name)
        file.sync()
        file.close()

    def _sweep(self) -> None:
        """What no manifest names any more: a removal or a switch that was cut short."""
        keep = {MANIFEST, self.manifest.checkpoint}
        for name in self.files.list_names():
            old = name.startswith("log-") and name[4:].isdigit() and int(name[4:]) < self.manifest.first
            if old or (name.startswith(("check-", "manifest.")) and name not in keep):
                self.files.remove(name)

    def _begin(self, number: int) -> None:
        """A new segment. Its name is durable before anything in it counts."""
        if self.file:
            self.file.close()
            self.file = None
        self.number = number
        self.file = self.files.append(segment(number))
        head = encode_frame(HEADED + msgspec.msgpack.encode((FORMAT, self.store_id, number)))
        self.file.write(head)
        self.file.sync()
        self.files.sync_directory()
        self.at = len(head)
        self.size += self.at

    # ------------------------------------------------------------ written

    def commit(self, bodies: list[bytes]) -> None:
        """Returns once all of them are durable. StoreError from the first failure on, for good: after a sync that
        failed nobody can know what the disk holds, and a second one that succeeds would only hide it."""
        if self.failure or self.file is None:
            raise StoreError(self.failure or "closed")
        try:
            data = b"".join(map(encode_frame, bodies))
            self.file.write(data)
            self.file.sync()
            self.at += len(data)
            note = encode_frame(SYNC_MARKER + msgspec.msgpack.encode(self.at))
            self.file.write(note)  # durable with the next batch; until then it tells a kill from a damage
            self.at += len(note)
            self.size += len(data) + len(note)
            if self.at >= SEGMENT_BYTES:
                self._roll()
        except OSError as problem:
            self.failure = f"{problem.strerror or problem}"
            raise StoreError(self.failure) from None

    def _roll(self) -> None:
        assert self.file
        self.file.sync()
        self._begin(self.number + 1)

    def assign_new_store_id(self, records: list[bytes]) -> None:
        """These records, all that can be read, under a new number: what this store once told others no longer counts.
        What could not be read goes with the segments that held it: else the next start would find it once more."""
        checkpoint = self.checkpoint()
        checkpoint.append(records)
        checkpoint.finish(store=drawn(), identity=self.files.identity())

    def close(self) -> None:
        """With a note that all of it is durable, where that is so."""
        if self.file:
            try:
                if not self.failure:
                    self.file.sync()
                    self.file.close()
            except OSError:
                pass
            self.file = None
        self.files.close()

    # ------------------------------------------------------------ checkpoints

    def checkpoint(self) -> Checkpoint:
        """Begins one that is to hold all that stands in the segments up to now; what is written meanwhile goes to new
        ones."""
        if self.failure or self.file is None:
            raise StoreError(self.failure or "closed")
        self._roll()
        return Checkpoint(self, f"check-{self.number:010d}", self.number)

    def _switch(self, manifest: Manifest) -> None:
        """Whole or not at all, whenever the power goes."""
        part = f"{MANIFEST}.part"
        if part in self.files.list_names():
            self.files.remove(part)
        file = self.files.append(part)
        try:
            file.write(encode_frame(msgspec.msgpack.encode(manifest)))
            file.sync()
        finally:
            file.close()
        self.files.replace(part, MANIFEST)
        self.files.sync_directory()


class Checkpoint:
    """One that is being written, piece by piece, while the log goes on."""

    def __init__(self, log: WriteAheadLog, name: str, first: int) -> None:
        self.log, self.name, self.first = log, name, first
        self.file = log.files.append(name)

    def append(self, bodies: list[bytes]) -> None:
        if bodies:
            self.file.write(b"".join(map(encode_frame, bodies)))

    def finish(self, **more: Any) -> None:
        """From here on it counts, and the segments before it go. `more`: what else of the manifest changes with it."""
        log = self.log
        self.file.write(encode_frame(CLOSED))
        self.file.sync()
        self.file.close()
        log.files.sync_directory()
        old = log.manifest
        manifest = msgspec.structs.replace(old, first=self.first, checkpoint=self.name, **more)
        log._switch(manifest)
        log.manifest = manifest
        gone = [segment(n) for n in log._segments(log.files.list_names()) if n < self.first]
        for name in [*gone, *([old.checkpoint] if old.checkpoint else [])]:
            log.files.remove(name)
        log.size = log.at

    def give_up(self) -> None:
        self.file.close()
        self.log.files.remove(self.name)


def _noted(body: bytes) -> int:
    if not body.startswith(SYNC_MARKER):
        return 0
    try:
        return msgspec.msgpack.decode(body[2:], type=int)
    except msgspec.DecodeError:
        return 0


def iter_records(files: Folder) -> Iterator[tuple[str, int, bytes]]:
    """For tools: each good record with its file and place, whatever counts. Nothing is changed."""
    for name in files.list_names():
        if name.startswith(("log-", "check-")):
            yield from (
                (name, frame.start, frame.body)
                for frame in scan_frames(files.read(name)).frames
                if frame.body[0]
            )
