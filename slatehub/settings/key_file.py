"""The key file of a fleet. Each line holds one key: an id and 64 hexadecimal digits. The first key signs, and all
are valid. To rotate, a new key is added below, then moved to the top, then the old one is removed; the proxies need
not do so at the same time. This module defines and checks the format. It never prints a key."""

from __future__ import annotations

import os
import secrets
import stat
from typing import NamedTuple

MAX_KEYS = 2  # keys valid at once
ID_HEX_DIGITS, KEY_HEX_DIGITS = 8, 64  # hexadecimal digits
MAX_FILE_BYTES = 4096


class KeyFileError(ValueError):
    """The key file is missing, wrong or not writable. The text never contains a key."""


class Key(NamedTuple):
    """One key of a fleet."""

    key_id: bytes  # 4 bytes, sent in clear text with each datagram
    secret: bytes  # 32 bytes


def read(path: str) -> tuple[Key, ...]:
    """The keys of the file, the signing key first. Raises KeyFileError."""
    try:
        with open(path, "rb") as file:
            if stat.S_IMODE(os.fstat(file.fileno()).st_mode) & 0o077:
                raise KeyFileError("others than its owner may read or write it: chmod 600")
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as problem:
        raise KeyFileError(f"cannot be read: {problem.strerror}") from None
    return parse(raw)


def parse(raw: bytes) -> tuple[Key, ...]:
    """The keys in the content of a key file. Raises KeyFileError."""
    if len(raw) > MAX_FILE_BYTES:
        raise KeyFileError(f"larger than {MAX_FILE_BYTES} bytes")
    try:
        lines = [line.split() for line in raw.decode("ascii").splitlines() if line.strip() and line[0] != "#"]
        keys = tuple(_parse_key(fields) for fields in lines)
    except ValueError:  # includes KeyFileError from _parse_key
        raise KeyFileError(
            f"each line must hold an id of {ID_HEX_DIGITS} and a key of {KEY_HEX_DIGITS} hex digits"
        ) from None
    if not 0 < len(keys) <= MAX_KEYS:
        raise KeyFileError(f"must hold 1 to {MAX_KEYS} keys")
    if len({key.key_id for key in keys}) < len(keys):
        raise KeyFileError("two keys have the same id")
    return keys


def _parse_key(fields: list[str]) -> Key:
    if len(fields) != 2 or len(fields[0]) != ID_HEX_DIGITS or len(fields[1]) != KEY_HEX_DIGITS:
        raise KeyFileError("wrong format")
    return Key(bytes.fromhex(fields[0]), bytes.fromhex(fields[1]))


def generate_line() -> str:
    """A line with a new random key."""
    return f"{secrets.token_hex(ID_HEX_DIGITS // 2)} {secrets.token_hex(KEY_HEX_DIGITS // 2)}\n"


def add(path: str, first: bool) -> int:
    """Adds a new key, either to sign with (`first`) or only as valid beside the signing key. Creates a missing file and
    replaces an existing one atomically. Returns the number of keys; raises KeyFileError where the file is full."""
    lines = _lines(path) if os.path.exists(path) else []
    if len(lines) >= MAX_KEYS:
        raise KeyFileError(f"holds {MAX_KEYS} keys already; take the old one out first")
    lines = [generate_line(), *lines] if first else [*lines, generate_line()]
    _write_atomically(path, lines)
    return len(lines)


def swap(path: str) -> None:
    """Swaps the two keys: the one that was only valid signs from now on."""
    _write_atomically(path, _lines(path)[::-1])


def drop(path: str) -> None:
    """Removes all keys but the signing one."""
    _write_atomically(path, _lines(path)[:1])


def _lines(path: str) -> list[str]:
    return [f"{key.key_id.hex()} {key.secret.hex()}\n" for key in read(path)]


def _write_atomically(path: str, lines: list[str]) -> None:
    temp_path = f"{path}.{os.getpid()}.part"
    try:
        with os.fdopen(os.open(temp_path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600), "w") as file:
            file.writelines(lines)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temp_path, path)
    except OSError as problem:
        raise KeyFileError(f"cannot be written: {problem.strerror}") from None
