"""The results of runs on disk: one folder per run, which is always complete. Defines the format of `result.json` and
the names of the folders, and writes them atomically: the files are written under a hidden name and flushed to disk,
then the folder is renamed. Results contain no host name and no path."""

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
MAX_RECORDS_BYTES = 200_000_000  # uncompressed; larger records are not kept
MAX_JSON_BYTES = 64_000_000
HIDDEN_PREFIX = ".partial-"


class ResultWriteError(Exception):
    """The folder for results is full, read-only or not a folder. One line."""


class ResultReadError(Exception):
    """The folder is not a complete result of a known format. One line."""


class Versions(msgspec.Struct, frozen=True):
    """Versions of the software that made the result."""

    python: str
    slatelab: str
    revision: str  # of the lab's own tree; "" if there is no repository
    dirty: bool  # the tree had uncommitted changes


class Machine(msgspec.Struct, frozen=True):
    """Hardware of the host that made the result."""

    cores: int
    model: str
    memory_mb: int


class Complaint(msgspec.Struct, frozen=True):
    """A broken rule in the judge's words; a very long `history` is truncated."""

    rule: str
    request: str
    t: int
    text: str
    history: str


class Ruled(msgspec.Struct, frozen=True):
    """Summary of the judge's report: number of violations in all and by rule, and the first of them."""

    violations: int
    by_rule: dict[str, int]
    first: list[Complaint]


class Trouble(msgspec.Struct, frozen=True):
    """A fault as it was carried out; `end` is None if it lasted until the end of the run."""

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
    """Everything that is kept of a run except its records. Times are in µs since the run's epoch, `wall_s` is in
    seconds."""

    format: int = FORMAT
    made: str  # creation time, UTC
    versions: Versions
    machine: Machine
    tested: str  # which slatehub: "work", a revision, or "folder"
    scenario: str
    scenario_text: str
    scenario_sha256: str
    traces: dict[str, str]  # SHA-256 of each trace file that the scenario names
    changes: dict[str, Any]  # made with --set
    duration: int
    warmup: int
    engine: str
    seed: int
    wall_s: float
    events: int
    late_p99_us: int
    trace_sha256: str
    aims: dict[str, int]  # by class, µs
    capacity: dict[str, float]  # by node: work in µs that it does per µs once warm
    figures: dict[str, Any]  # encoded slatelab.figures.Figures
    ruling: Ruled
    troubles: list[Trouble]
    log: list[Line]
    log_lines: int  # total number of lines; `log` has the first of them
    notes: list[str]


def results_directory(given: str | None = None) -> Path:
    """The folder for results: `given`, else $SLATELAB_RESULTS, else results/ in the current folder."""
    return Path(given or os.environ.get("SLATELAB_RESULTS") or "results")


def sha256(data: bytes) -> str:
    """SHA-256 as hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


# ---------------------------------------------------------------- writing


class ResultFolderWriter:
    """Writes a result folder under its hidden name. Files are flushed to disk when `add` returns."""

    def __init__(self, path: Path) -> None:
        self.temporary_path = path
        self.final_path = path  # changes once the folder has been renamed

    def add(self, name: str, data: bytes) -> None:
        """Writes one file and flushes it to disk."""
        with (self.temporary_path / name).open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def add_records(self, records: Iterable[Record], limit: int = MAX_RECORDS_BYTES) -> str:
        """Writes records.jsonl.gz and returns "". Records of more than `limit` bytes are not kept; then the return
        value is a note that says so."""
        path = self.temporary_path / "records.jsonl.gz"
        with path.open("wb") as file:
            if _write_compressed(file, records, limit):
                file.flush()
                os.fsync(file.fileno())
                return ""
        path.unlink()
        return f"the records were not kept: more than {limit // 1_000_000} MB"


def _write_compressed(file: Any, records: Iterable[Record], limit: int) -> bool:
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
    """Creates a folder `name` in `where`, which becomes visible only if the block succeeds. Raises ResultWriteError on
    entry if `where` cannot be written to, and on exit if the disk is full; after any error nothing is left behind."""
    with _report_write_errors(where):
        where.mkdir(parents=True, exist_ok=True)
        path = where / f"{HIDDEN_PREFIX}{name}-{os.getpid()}-{time.monotonic_ns()}"
        path.mkdir()
    writer = ResultFolderWriter(path)
    try:
        yield writer
        with _report_write_errors(where):
            _sync_folder(path)
            writer.final_path = _move_to_free_name(path, where / name)
            _sync_folder(where)
    finally:
        shutil.rmtree(path, ignore_errors=True)


@contextmanager
def convert_write_errors(where: Path) -> Iterator[None]:
    """Converts an OSError in the block to ResultWriteError."""
    with _report_write_errors(where):
        yield


@contextmanager
def _report_write_errors(where: Path) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise ResultWriteError(f"results cannot be written to {where}: {error.strerror or error}") from None


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _move_to_free_name(path: Path, final: Path) -> Path:
    """Renames the folder. Two runs in the same second may have the same name: the later one gets a number. Renaming
    onto a non-empty folder always fails, so neither can overwrite the other."""
    for n in range(1, 10_000):
        target = final if n == 1 else final.with_name(f"{final.name}-{n}")
        try:
            os.rename(path, target)
            return target
        except OSError:
            if not target.exists():
                raise
    raise OSError(f"too many results are named {final.name}")


def utc_timestamp() -> str:
    """The current UTC time in a sortable format that is valid in file names."""
    return time.strftime("%Y%m%dT%H%M%SZ", time.gmtime())


def folder_name(created: str, scenario: str, engine: str, seed: int) -> str:
    """The name of a result folder; `created` is a time from `utc_timestamp`."""
    return f"{created}-{scenario}-{engine}-s{seed}"


def save(writer: ResultFolderWriter, result: Result, records: Iterable[Record]) -> Result:
    """Writes the records, then result.json and the scenario. Returns the result as written. Raises ResultWriteError."""
    with convert_write_errors(writer.temporary_path.parent):
        note = writer.add_records(records)
        if note:
            result = msgspec.structs.replace(result, notes=[*result.notes, note])
        writer.add("result.json", msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
        writer.add("scenario.toml", result.scenario_text.encode())
    return result


# ---------------------------------------------------------------- reading


def load(folder: Path) -> Result:
    """Reads the result of a folder. Raises ResultReadError."""
    data = _read_bytes(folder / "result.json")
    try:
        written = msgspec.json.decode(data, type=dict[str, Any]).get("format")
        if written != FORMAT:
            raise ResultReadError(f"{folder}: is of format {written}, this version reads {FORMAT}")
        return msgspec.json.decode(data, type=Result)
    except msgspec.MsgspecError as error:
        raise ResultReadError(f"{folder}: result.json: {error}") from None


def _read_bytes(path: Path) -> bytes:
    if path.parent.name.startswith(HIDDEN_PREFIX):
        raise ResultReadError(f"{path.parent}: not whole: a run that did not end; it may be deleted")
    try:
        with path.open("rb") as file:
            data = file.read(MAX_JSON_BYTES + 1)
    except OSError as error:
        raise ResultReadError(f"{path.parent}: not a result: {path.name}: {error.strerror}") from None
    if len(data) > MAX_JSON_BYTES:
        raise ResultReadError(f"{path}: larger than {MAX_JSON_BYTES} bytes")
    return data


def records(folder: Path) -> Iterator[Record]:
    """The records of a result; empty if they were not kept. Raises ResultReadError during iteration if they are
    damaged."""
    path = folder / "records.jsonl.gz"
    if not path.exists():
        return
    decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)
    try:
        with gzip.open(path, "rb") as file:
            for line in file:
                yield decoder.decode(line)
    except (OSError, EOFError, msgspec.MsgspecError) as error:
        raise ResultReadError(f"{path}: {error}") from None


def load_all(where: Path) -> tuple[list[tuple[Path, Result]], list[str]]:
    """The complete results in a folder, sorted by name, and a line for each other folder that could not be read."""
    results: list[tuple[Path, Result]] = []
    skipped: list[str] = []
    for folder in sorted(path for path in where.iterdir() if path.is_dir()) if where.is_dir() else []:
        if _is_table(folder):
            continue
        try:
            results.append((folder, load(folder)))
        except ResultReadError as error:
            skipped.append(f"skipped: {error}")
    return results, skipped


def _is_table(folder: Path) -> bool:
    """Whether the folder is the table of a sweep or a comparison, which are stored next to the results."""
    return bool(re.search(r"-(sweep|compare)(-\d+)?$", folder.name)) and not folder.name.startswith(
        HIDDEN_PREFIX
    )
