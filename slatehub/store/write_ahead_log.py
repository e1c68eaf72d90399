"""The write-ahead log: append-only segments, checkpoints, and a manifest that lists which of them are valid. Blocking;
used by one thread at a time. A record is reported as durable only after a successful sync, the log takes no more
records after a failed sync, and the loss of a durable record is always reported.

A segment consists of a header and batches of records. After each synced batch a sync marker with the synced length
follows. Unreadable bytes after the last marker are an incomplete write, caused by a power loss or a kill, and are
truncated. Unreadable bytes before it are damage: a record was lost that other voters rely on (Alagappan et al.,
Protocol-Aware Recovery, FAST 2018, explain why the two cases must be distinguished). A marker is written after the sync
and becomes durable with the next one. So after a power loss, though not after a process crash, the last batch counts as
an incomplete write."""

from __future__ import annotations

import secrets
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .files import AppendFile, Folder
from .frames import encode_frame, scan_frames

FORMAT = 1  # version of the files
SEGMENT_BYTES = 4 * 1024 * 1024  # a segment of this size is followed by a new one
MANIFEST = "manifest"
# Records of the log itself start with a zero byte; records of the callers never do.
SYNC_MARKER, HEADER_TAG, END_TAG = (
    b"\0n",
    b"\0h",
    b"\0c",
)


class StoreError(Exception):
    """The folder cannot be used; the message is one line with the reason."""


class Manifest(msgspec.Struct, array_like=True):
    """`first`: the oldest valid segment. `checkpoint`: file with the state of the older segments, "" if there is none.
    `identity`: identity of the folder in which the store was created."""

    format: int
    store: int
    identity: str
    first: int
    checkpoint: str = ""


@dataclass(slots=True)
class RecoveryResult:
    """What `open` found. `damage`: places where durable records cannot be read. `truncated_bytes`: size of incomplete
    writes. `is_new`: the folder was empty. `is_copy`: the folder was copied from elsewhere."""

    records: list[bytes] = field(default_factory=list)
    damage: list[str] = field(default_factory=list)
    truncated_bytes: int = 0
    is_new: bool = False
    is_copy: bool = False


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"log-{number:010d}"


def new_store_id() -> int:
    """A random store id."""
    return secrets.randbits(63) | 1


class WriteAheadLog:
    """`store_id`: the id that the store was given when it was created. `size`: bytes in the valid segments."""

    def __init__(self, files: Folder) -> None:
        self.files = files
        self.manifest = Manifest(FORMAT, 0, "", 1)
        self.segment_number = 0
        self.file: AppendFile | None = None
        self.segment_size = 0  # bytes in the current segment
        self.size = 0
        self.failure = ""  # why the log takes no more records

    @property
    def store_id(self) -> int:
        """The id of this store."""
        return self.manifest.store

    # ------------------------------------------------------------ open

    def open(self) -> RecoveryResult:
        """Reads all valid records, and starts a new segment. Raises StoreError and OSError."""
        found = RecoveryResult()
        names = self.files.list_names()
        if self._read_manifest(found, names):
            self._read_files(found, names)
        else:
            self._create_store(found, names)
        self._remove_leftovers()
        self._start_segment(max([self.manifest.first - 1, *self._segment_numbers(names)]) + 1)
        return found

    def _create_store(self, found: RecoveryResult, names: list[str]) -> None:
        """Creates a new store, also in place of an unreadable one, which the other voters will fill again."""
        found.is_new = not found.damage
        first = max([0, *self._segment_numbers(names)]) + 1
        self.manifest = Manifest(FORMAT, new_store_id(), self.files.identity(), first)
        self._replace_manifest(self.manifest)

    def _read_manifest(self, found: RecoveryResult, names: list[str]) -> bool:
        """Whether there is a readable manifest. Raises StoreError, and changes nothing, if its format is
        unknown."""
        if MANIFEST not in names:
            if any(name.startswith(("log-", "check-")) for name in names):
                found.damage.append("the manifest is gone")
            return False
        frames = scan_frames(self.files.read(MANIFEST)).frames
        try:
            fields = msgspec.msgpack.decode(frames[0].body)
            if isinstance(fields, list) and fields and fields[0] != FORMAT:
                raise StoreError(f"format {str(fields[0])[:20]}, this version reads {FORMAT}")
            self.manifest = msgspec.convert(fields, Manifest)
        except (IndexError, msgspec.DecodeError, msgspec.ValidationError):
            found.damage.append("the manifest cannot be read")
            return False
        found.is_copy = self.manifest.identity != self.files.identity()
        return True

    @staticmethod
    def _segment_numbers(names: Iterable[str]) -> list[int]:
        return sorted(int(name[4:]) for name in names if name.startswith("log-") and name[4:].isdigit())

    def _read_files(self, found: RecoveryResult, names: list[str]) -> None:
        if self.manifest.checkpoint:
            self._read_checkpoint(found, names)
        numbers = [n for n in self._segment_numbers(names) if n >= self.manifest.first]
        for i, number in enumerate(numbers):
            if number != self.manifest.first + i:
                found.damage.append(f"{segment_name(self.manifest.first + i)} is gone")
                break
            self._read_segment(found, number, last=number == numbers[-1])

    def _read_checkpoint(self, found: RecoveryResult, names: list[str]) -> None:
        name = self.manifest.checkpoint
        result = scan_frames(self.files.read(name) if name in names else b"")
        bodies = [frame.body for frame in result.frames]
        if result.gaps or not bodies or not bodies[-1].startswith(END_TAG):
            found.damage.append(f"{name} is not whole")
        found.records += [body for body in bodies if body[0]]

    def _read_segment(self, found: RecoveryResult, number: int, last: bool) -> None:
        name = segment_name(number)
        data = self.files.read(name)
        self.size += len(data)
        result = scan_frames(data)
        synced = max((_synced_size(frame.body) for frame in result.frames), default=0) if last else len(data)
        damaged = [gap for gap in result.gaps if gap[0] < synced]
        found.damage += [f"{name}: bytes {a} to {b} cannot be read" for a, b in damaged]
        torn = next((gap[0] for gap in result.gaps if gap[0] >= synced), len(data))
        if torn < len(data):
            found.truncated_bytes += len(data) - torn
            self.files.truncate(name, torn)
        if last:
            self._sync_segment(name)
        found.records += [frame.body for frame in result.frames if frame.body[0] and frame.end <= torn]

    def _sync_segment(self, name: str) -> None:
        """Syncs what a killed process wrote without a sync: it counts from now on, so it must be durable."""
        file = self.files.append(name)
        file.sync()
        file.close()

    def _remove_leftovers(self) -> None:
        """Removes files that are no longer in the manifest, left by an interrupted removal or manifest switch."""
        kept = {MANIFEST, self.manifest.checkpoint}
        for name in self.files.list_names():
            is_old_segment = (
                name.startswith("log-") and name[4:].isdigit() and int(name[4:]) < self.manifest.first
            )
            if is_old_segment or (name.startswith(("check-", "manifest.")) and name not in kept):
                self.files.remove(name)

    def _start_segment(self, number: int) -> None:
        """Starts a new segment. Its name is durable before any record is written to it."""
        if self.file:
            self.file.close()
            self.file = None
        self.segment_number = number
        self.file = self.files.append(segment_name(number))
        header = encode_frame(HEADER_TAG + msgspec.msgpack.encode((FORMAT, self.store_id, number)))
        self.file.write(header)
        self.file.sync()
        self.files.sync_directory()
        self.segment_size = len(header)
        self.size += self.segment_size

    # ------------------------------------------------------------ write

    def commit(self, bodies: list[bytes]) -> None:
        """Returns once all records are durable. After the first failure every call raises StoreError: after a failed
        sync it is unknown what the disk holds, and a later successful one would only hide that."""
        if self.failure or self.file is None:
            raise StoreError(self.failure or "closed")
        try:
            data = b"".join(map(encode_frame, bodies))
            self.file.write(data)
            self.file.sync()
            self.segment_size += len(data)
            marker = encode_frame(SYNC_MARKER + msgspec.msgpack.encode(self.segment_size))
            # Durable with the next batch; until then it distinguishes a killed process from damage.
            self.file.write(marker)
            self.segment_size += len(marker)
            self.size += len(data) + len(marker)
            if self.segment_size >= SEGMENT_BYTES:
                self._rotate()
        except OSError as error:
            self.failure = f"{error.strerror or error}"
            raise StoreError(self.failure) from None

    def _rotate(self) -> None:
        assert self.file
        self.file.sync()
        self._start_segment(self.segment_number + 1)

    def assign_new_store_id(self, records: list[bytes]) -> None:
        """Keeps the readable records under a new store id, so that earlier votes of this store no longer count. The
        unreadable parts are removed with their segments: otherwise the next start would report them again."""
        checkpoint = self.checkpoint()
        checkpoint.append(records)
        checkpoint.finish(store=new_store_id(), identity=self.files.identity())

    def close(self) -> None:
        """Syncs the last sync marker too, unless the log has failed."""
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
        """Starts a checkpoint of everything in the segments up to now. Records written meanwhile go to new segments."""
        if self.failure or self.file is None:
            raise StoreError(self.failure or "closed")
        self._rotate()
        return Checkpoint(self, f"check-{self.segment_number:010d}", self.segment_number)

    def _replace_manifest(self, manifest: Manifest) -> None:
        """Replaces the manifest atomically, also in case of a power loss."""
        temporary = f"{MANIFEST}.part"
        if temporary in self.files.list_names():
            self.files.remove(temporary)
        file = self.files.append(temporary)
        try:
            file.write(encode_frame(msgspec.msgpack.encode(manifest)))
            file.sync()
        finally:
            file.close()
        self.files.replace(temporary, MANIFEST)
        self.files.sync_directory()


class Checkpoint:
    """A checkpoint that is being written part by part, while the log takes further records."""

    def __init__(self, log: WriteAheadLog, name: str, first: int) -> None:
        self.log, self.name, self.first = log, name, first
        self.file = log.files.append(name)

    def append(self, bodies: list[bytes]) -> None:
        """Writes further records, not synced before `finish`."""
        if bodies:
            self.file.write(b"".join(map(encode_frame, bodies)))

    def finish(self, **changes: Any) -> None:
        """Makes the checkpoint valid and removes the older segments. `changes`: further changes of manifest fields."""
        log = self.log
        self.file.write(encode_frame(END_TAG))
        self.file.sync()
        self.file.close()
        log.files.sync_directory()
        old = log.manifest
        manifest = msgspec.structs.replace(old, first=self.first, checkpoint=self.name, **changes)
        log._replace_manifest(manifest)
        log.manifest = manifest
        obsolete = [segment_name(n) for n in log._segment_numbers(log.files.list_names()) if n < self.first]
        for name in [*obsolete, *([old.checkpoint] if old.checkpoint else [])]:
            log.files.remove(name)
        log.size = log.segment_size

    def abort(self) -> None:
        """Discards the checkpoint."""
        self.file.close()
        self.log.files.remove(self.name)


def _synced_size(body: bytes) -> int:
    if not body.startswith(SYNC_MARKER):
        return 0
    try:
        return msgspec.msgpack.decode(body[2:], type=int)
    except msgspec.DecodeError:
        return 0


def iter_records(files: Folder) -> Iterator[tuple[str, int, bytes]]:
    """For tools: all readable records with file name and offset, also those that are no longer valid. Read-only."""
    for name in files.list_names():
        if name.startswith(("log-", "check-")):
            yield from (
                (name, frame.start, frame.body)
                for frame in scan_frames(files.read(name)).frames
                if frame.body[0]
            )
