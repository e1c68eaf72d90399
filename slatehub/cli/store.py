"""`slatehub store`: reads the folder of a proxy's copies while no proxy uses it. Never changes a record, and never
reports a folder as sound where data that had been durable cannot be read."""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import click
import msgspec
from msgspec.structs import asdict

from ..copies.acceptor import Acceptor
from ..copies.messages import (
    CONFIG_KEY,
    CaughtUp,
    ConfigAdopted,
    LogRecord,
    MessageError,
    StateAccepted,
    decode_config,
    decode_record,
    pack,
)
from ..decisions.idempotency import STATE_COMPLETED, STATE_NEVER_RAN, STATE_SENT, decode_idempotency_record
from ..store.files import DiskFolder, Folder
from ..store.frames import scan_frames
from ..store.write_ahead_log import RecoveryResult, StoreError, WriteAheadLog, iter_records

STATES = {STATE_SENT: "sent", STATE_NEVER_RAN: "never ran", STATE_COMPLETED: "ran"}
folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False))


class ReadOnlyFolder:
    """A folder opened for reading: ignores the lock file, and every write does nothing."""

    def __init__(self, folder: str) -> None:
        self.disk = DiskFolder(folder)

    def list_names(self) -> list[str]:
        return [name for name in self.disk.list_names() if name != "lock"]

    def read(self, name: str) -> bytes:
        return self.disk.read(name)

    def identity(self) -> str:
        return self.disk.identity()

    def append(self, name: str) -> Any:
        return self

    def write(self, data: bytes) -> None: ...

    def sync(self) -> None: ...

    def truncate(self, name: str, size: int) -> None: ...

    def replace(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None: ...

    def close(self) -> None: ...


@click.group()
def store() -> None:
    """The folder of a proxy's copies. Call these commands only while no proxy uses it."""


@contextmanager
def open_read_only(folder: str) -> Iterator[Folder]:
    """Opens the folder, and closes it at the end of the block. Raises ClickException."""
    try:
        files = ReadOnlyFolder(folder)
    except OSError as problem:
        raise click.ClickException(f"{folder}: {problem.strerror or problem}") from None
    try:
        yield files
    finally:
        files.disk.close()


def open_log(files: Folder) -> tuple[WriteAheadLog, RecoveryResult]:
    """Opens the write-ahead log of the folder and reads its records. Raises ClickException."""
    log = WriteAheadLog(files)
    try:
        return log, log.open()
    except (StoreError, OSError) as problem:
        raise click.ClickException(str(problem)) from None


def record_as_json(record: LogRecord) -> dict[str, Any]:
    """A record as JSON; for the record of an idempotent request, its decoded fields."""
    if isinstance(record, StateAccepted):
        row = record.state
        tree: dict[str, Any] = {
            "register": row.key.hex(),
            "counter": row.ballot.counter,
            "until": row.expires_at_s,
        }
        if row.key == CONFIG_KEY:
            return tree | {"group": msgspec.to_builtins(decode_config(row.value))}
        entry = decode_idempotency_record(row.value)
        return tree | (asdict(entry) | {"state": STATES[entry.state]} if entry else {"unread": True})
    kind = {ConfigAdopted: "group", CaughtUp: "caught up"}.get(type(record), "ceiling")
    return {"record": kind, "value": msgspec.to_builtins(record)[1]}


@store.command()
@folder_argument
def verify(folder: str) -> None:
    """Checks that all durable data can be read. Exit 1 where not: such a proxy counts as a new voter."""
    with open_read_only(folder) as files:
        for name in files.list_names():
            for begin, end in scan_frames(files.read(name)).gaps:
                click.echo(f"{name}: bytes {begin} to {end} are no records")
        _, found = open_log(files)
        unread = 0
        for body in found.records:
            try:
                decode_record(body)
            except MessageError:
                unread += 1
    for line in found.damage:
        click.echo(f"damage: {line}")
    if found.is_copy:
        click.echo("copied: this folder was made elsewhere, and counts as a new voter")
    click.echo(
        f"{len(found.records)} records, {found.truncated_bytes} bytes cut short, {unread} of another version"
    )
    sys.exit(1 if found.damage or found.is_copy or unread else 0)


@store.command()
@folder_argument
def dump(folder: str) -> None:
    """Prints every readable record, current or superseded, as a line of JSON with its file and offset."""
    with open_read_only(folder) as files:
        for name, at, body in iter_records(files):
            try:
                line = record_as_json(decode_record(body))
            except MessageError:
                line = {"unread": body.hex()}
            click.echo(json.dumps({"file": name, "at": at} | line, default=repr))


def restore_acceptor(folder: str) -> tuple[WriteAheadLog, RecoveryResult, Acceptor, list[LogRecord]]:
    """Reads the folder: its log, what was found, the restored acceptor and the decoded records."""
    with open_read_only(folder) as files:
        log, found = open_log(files)
    records = []
    for body in found.records:
        try:
            records.append(decode_record(body))
        except MessageError:
            continue
    acceptor = Acceptor(2_000_000)
    acceptor.restore(records, 0)
    return log, found, acceptor, records


@store.command()
@folder_argument
def stat(folder: str) -> None:
    """Counts records, registers by state, voters and bytes."""
    log, found, acceptor, records = restore_acceptor(folder)
    states = Counter[str]()
    for register in acceptor.registers.values():
        entry = decode_idempotency_record(register.state.value)
        states[STATES[entry.state] if entry else "other"] += 1
    groups = [record.config for record in records if isinstance(record, ConfigAdopted)]
    newest = max(groups, key=lambda group: group.epoch, default=None)
    click.echo(
        f"store: {log.store_id:016x}\nrecords: {len(found.records)}\nregisters: {len(acceptor.registers)}"
    )
    click.echo("\n".join(f"  {state}: {count}" for state, count in sorted(states.items())))
    click.echo(f"epoch: {newest.epoch if newest else 0}")
    click.echo(f"voters: {', '.join(v.name for v in newest.voters) if newest else '-'}")
    click.echo(f"bytes of log: {log.size}")


@store.command()
@folder_argument
def export(folder: str) -> None:
    """Prints the current registers, a line of JSON each."""
    _, _, acceptor, _ = restore_acceptor(folder)
    for register in acceptor.registers.values():
        click.echo(json.dumps(record_as_json(StateAccepted(register.state)), default=repr))


@store.command()
@folder_argument
def compact(folder: str) -> None:
    """Writes the current state into one checkpoint, as a running proxy does by itself."""
    try:
        log = WriteAheadLog(DiskFolder(folder))
        found = log.open()
        if found.damage or found.is_copy:
            raise click.ClickException("not sound: `slatehub store verify` tells more")
        records = [decode_record(body) for body in found.records]
        acceptor = Acceptor(2_000_000)
        acceptor.restore(records, 0)
        epochs = [x for x in records if isinstance(x, ConfigAdopted)][-1:] + [
            x for x in records if isinstance(x, CaughtUp)
        ][-1:]
        before = log.size
        checkpoint = log.checkpoint()
        checkpoint.append([pack(record) for record in (*epochs, *acceptor.snapshot())])
        checkpoint.finish()
        log.close()
    except (MessageError, StoreError, OSError) as problem:
        raise click.ClickException(str(getattr(problem, "strerror", None) or problem)) from None
    size = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
    click.echo(f"{before} bytes of log, {size} bytes now")
