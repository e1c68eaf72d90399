"""The results of runs on disk: one folder each, and never half of one. It owns the form of `result.json`, the
names of the folders and the one way in which they come to be: written in full under a hidden name, flushed to
the disk, renamed. It must never run, judge or draw anything, and keeps no host name and no path."""

from __future__ import annotations

import gzip
import hashlib
import os
import re
import shutil
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from .records import Record

FORMAT = 1
RECORDS_LIMIT = 200_000_000  # bytes before packing; more is not kept
JSON_LIMIT = 64_000_000
HIDDEN = ".partial-"


class ResultWriteError(Exception):
    """The place for results is full, read-only or no folder. One line."""


class ResultReadError(Exception):
    """This is no whole result of a format known here. One line."""


class Versions(msgspec.Struct, frozen=True):
    python: str
    slatelab: str
    revision: str  # of the lab's own tree; "" where there is no repository
    dirty: bool  # that tree had changes not committed


class Machine(msgspec.Struct, frozen=True):
    cores: int
    model: str
    memory_mb: int


class Complaint(msgspec.Struct, frozen=True):
    """A broken rule, as the judge words it; `history` is cut where it is very long."""

    rule: str
    request: str
    t: int
    text: str
    history: str


class Ruled(msgspec.Struct, frozen=True):
    violations: int
    by_rule: dict[str, int]
    first: list[Complaint]


class Trouble(msgspec.Struct, frozen=True):
    """A fault as it was carried out; `end` is None where it lasted to the end."""

    name: str
    kind: str
    targets: tuple[str, ...]
    begin: int
    end: int | None


class Line(msgspec.Struct, frozen=True):
    """A line of a proxy's log."""

    t: int
    proxy: str
    level: str
    topic: str
    text: str


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """All that is kept of a run but its records. Times in µs since the run's epoch, `wall_s` in seconds."""

    format: int = FORMAT
    made: str  # UTC
    versions: Versions
    machine: Machine
    tested: str  # which slatehub: "work", a revision, or "folder"
    scenario: str
    scenario_text: str
    scenario_sha256: str
    traces: dict[str, str]  # SHA-256 of each file of recorded arrivals that the scenario names
    changes: dict[str, Any]  # by --set
    duration: int
    warmup: int
    engine: str
    seed: int
    wall_s: float
    events: int
    late_p99_us: int
    trace_sha256: str
    aims: dict[str, int]  # of the classes, µs
    capacity: dict[str, float]  # of the nodes: work done a µs once warm, µs
    figures: dict[str, Any]  # as slatelab.figures has them
    ruling: Ruled
    troubles: list[Trouble]
    log: list[Line]
    log_lines: int  # all there were; `log` holds the first of them
    notes: list[str]


def results_directory(given: str | None = None) -> Path:
    """Where results go: `given`, else $SLATELAB_RESULTS, else results/ below the current folder."""
    return Path(given or os.environ.get("SLATELAB_RESULTS") or "results")


def sha256(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


# ---------------------------------------------------------------- writing


class ResultFolderWriter:
    """A folder under its hidden name. Files in it are on the disk once `add` has returned."""

    def __init__(self, place: Path) -> None:
        self.temporary_path = place
        self.final_path = place  # set once it has been renamed

    def add(self, name: str, data: bytes) -> None:
        with (self.temporary_path / name).open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def add_records(self, records: Iterable[Record], limit: int = RECORDS_LIMIT) -> str:
        """Writes records.jsonl.gz. More than `limit` bytes are not kept: then a line that says so is
        returned."""
        path = self.temporary_path / "records.jsonl.gz"
        with path.open("wb") as file:
            if _pack(file, records, limit):
                file.flush()
                os.fsync(file.fileno())
                return ""
        path.unlink()
        return f"the records were not kept: more than {limit // 1_000_000} MB"


def _pack(file: Any, records: Iterable[Record], limit: int) -> bool:
    encoder, size = msgspec.json.Encoder(), 0
    with gzip.GzipFile(filename="", fileobj=file, mode="wb", compresslevel=4, mtime=0) as packed:
        for record in records:
            line = encoder.encode(record) + b"\n"
            size += len(line)
            if size > limit:
                return False
            packed.write(line)
    return True


@contextmanager
def new_result_folder(where: Path, name: str) -> Iterator[ResultFolderWriter]:
    """A new folder `name` below `where`, there only once the block has ended well. Raises ResultWriteError on entry
    where the place cannot be written to, and on the way out where the disk is full; whatever was raised,
    nothing stays behind."""
    with _plainly(where):
        where.mkdir(parents=True, exist_ok=True)
        place = where / f"{HIDDEN}{name}-{os.getpid()}-{time.monotonic_ns()}"
        place.mkdir()
    one = ResultFolderWriter(place)
    try:
        yield one
        with _plainly(where):
            _flush(place)
            one.final_path = _rename(place, where / name)
            _flush(where)
    finally:
        shutil.rmtree(place, ignore_errors=True)


@contextmanager
def convert_write_errors(where: Path) -> Iterator[None]:
    """What fails with an OSError in the block is said as ResultWriteError."""
    with _plainly(where):
        yield


@contextmanager
def _plainly(where: Path) -> Iterator[None]:
    try:
        yield
    except OSError as problem:
        raise ResultWriteError(
            f"results cannot be written to {where}: {problem.strerror or problem}"
        ) from None


def _flush(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _rename(place: Path, final: Path) -> Path:
    """Two runs of one second may want the same name: the later one gets a number. A rename onto a folder that
    holds something always fails, so neither can take the other's place."""
    for n in range(1, 10_000):
        target = final if n == 1 else final.with_name(f"{final.name}-{n}")
        try:
            os.rename(place, target)
            return target
        except OSError:
            if not target.exists():
                raise
    raise OSError(f"too many results are named {final.name}")


def utc_timestamp() -> str:
    """Now, UTC, in a form that sorts and stands in a file name."""
    return time.strftime("%Y%m%dT%H%M%SZ", time.gmtime())


def folder_name(made: str, scenario: str, engine: str, seed: int) -> str:
    return f"{made}-{scenario}-{engine}-s{seed}"


def save(one: ResultFolderWriter, result: Result, records: Iterable[Record]) -> Result:
    """Fills a draft: the records, then result.json. Returns the result as written. Raises ResultWriteError."""
    with convert_write_errors(one.temporary_path.parent):
        note = one.add_records(records)
        if note:
            result = msgspec.structs.replace(result, notes=[*result.notes, note])
        one.add("result.json", msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
        one.add("scenario.toml", result.scenario_text.encode())
    return result


# ---------------------------------------------------------------- reading


def load(folder: Path) -> Result:
    """Raises ResultReadError."""
    data = _bytes(folder / "result.json")
    try:
        written = msgspec.json.decode(data, type=dict[str, Any]).get("format")
        if written != FORMAT:
            raise ResultReadError(f"{folder}: is of format {written}, this version reads {FORMAT}")
        return msgspec.json.decode(data, type=Result)
    except msgspec.MsgspecError as problem:
        raise ResultReadError(f"{folder}: result.json: {problem}") from None


def _bytes(path: Path) -> bytes:
    if path.parent.name.startswith(HIDDEN):
        raise ResultReadError(f"{path.parent}: not whole: a run that did not end; it may be deleted")
    try:
        with path.open("rb") as file:
            data = file.read(JSON_LIMIT + 1)
    except OSError as problem:
        raise ResultReadError(f"{path.parent}: not a result: {path.name}: {problem.strerror}") from None
    if len(data) > JSON_LIMIT:
        raise ResultReadError(f"{path}: larger than {JSON_LIMIT} bytes")
    return data


def records(folder: Path) -> Iterator[Record]:
    """The records of a result, nothing where they were not kept. Raises ResultReadError on the way where they are
    damaged."""
    path = folder / "records.jsonl.gz"
    if not path.exists():
        return
    decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)
    try:
        with gzip.open(path, "rb") as file:
            for line in file:
                yield decoder.decode(line)
    except (OSError, EOFError, msgspec.MsgspecError) as problem:
        raise ResultReadError(f"{path}: {problem}") from None


def load_all(where: Path) -> tuple[list[tuple[Path, Result]], list[str]]:
    """The whole results below a folder by name, and a line for each other folder that looked like one."""
    good: list[tuple[Path, Result]] = []
    skipped: list[str] = []
    for folder in sorted(path for path in where.iterdir() if path.is_dir()) if where.is_dir() else []:
        if _is_table(folder):
            continue
        try:
            good.append((folder, load(folder)))
        except ResultReadError as problem:
            skipped.append(f"skipped: {problem}")
    return good, skipped


def _is_table(folder: Path) -> bool:
    """Sweeps and comparisons lie beside the results."""
    return bool(re.search(r"-(sweep|compare)(-\d+)?$", folder.name)) and not folder.name.startswith(HIDDEN)
