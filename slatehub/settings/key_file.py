"""The key file of a fleet: one line a key, an id and 64 hexadecimal digits. The first key signs, all of them are
valid: a new one is added below, then moved up, then the old one goes, at each proxy in its own time. This file owns
the form and its checks. It must never print a key."""

from __future__ import annotations

import os
import secrets
import stat
from typing import NamedTuple

MAX_KEYS = 2  # keys valid at once
ID_LONG, KEY_LONG = 8, 64  # hexadecimal digits
LARGEST = 4096


class KeyFileError(ValueError):
    """The text says what is wrong, and never holds a key."""


class Key(NamedTuple):
    key_id: bytes  # 4 bytes, in clear on each datagram
    secret: bytes  # 32 bytes


def read(path: str) -> tuple[Key, ...]:
    """The keys of the file, the signing one first. KeyFileError."""
    try:
        with open(path, "rb") as file:
            if stat.S_IMODE(os.fstat(file.fileno()).st_mode) & 0o077:
                raise KeyFileError("others than its owner may read or write it: chmod 600")
            raw = file.read(LARGEST + 1)
    except OSError as problem:
        raise KeyFileError(f"cannot be read: {problem.strerror}") from None
    return parse(raw)


def parse(raw: bytes) -> tuple[Key, ...]:
    if len(raw) > LARGEST:
        raise KeyFileError(f"larger than {LARGEST} bytes")
    try:
        lines = [line.split() for line in raw.decode("ascii").splitlines() if line.strip() and line[0] != "#"]
        keys = tuple(_key(words) for words in lines)
    except ValueError:  # KeyFileError is one too, and says nothing else
        raise KeyFileError(
            f"each line must hold an id of {ID_LONG} and a key of {KEY_LONG} hex digits"
        ) from None
    if not 0 < len(keys) <= MAX_KEYS:
        raise KeyFileError(f"must hold 1 to {MAX_KEYS} keys")
    if len({key.key_id for key in keys}) < len(keys):
        raise KeyFileError("two keys have the same id")
    return keys


def _key(words: list[str]) -> Key:
    if len(words) != 2 or len(words[0]) != ID_LONG or len(words[1]) != KEY_LONG:
        raise KeyFileError("form")
    return Key(bytes.fromhex(words[0]), bytes.fromhex(words[1]))


def made() -> str:
    """A line with a new key."""
    return f"{secrets.token_hex(ID_LONG // 2)} {secrets.token_hex(KEY_LONG // 2)}\n"


def add(path: str, first: bool) -> int:
    """Adds a new key, to sign with (`first`) or to be valid beside the one that signs; makes the file where there is
    none. How many there are now. KeyFileError where there is no room; the file is put in place whole."""
    lines = _lines(path) if os.path.exists(path) else []
    if len(lines) >= MAX_KEYS:
        raise KeyFileError(f"holds {MAX_KEYS} keys already; take the old one out first")
    lines = [made(), *lines] if first else [*lines, made()]
    _put(path, lines)
    return len(lines)


def swap(path: str) -> None:
    """The key that was valid beside the other signs from now on."""
    _put(path, _lines(path)[::-1])


def drop(path: str) -> None:
    """Only the key that signs stays."""
    _put(path, _lines(path)[:1])


def _lines(path: str) -> list[str]:
    return [f"{key.key_id.hex()} {key.secret.hex()}\n" for key in read(path)]


def _put(path: str, lines: list[str]) -> None:
    part = f"{path}.{os.getpid()}.part"
    try:
        with os.fdopen(os.open(part, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600), "w") as file:
            file.writelines(lines)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, path)
    except OSError as problem:
        raise KeyFileError(f"cannot be written: {problem.strerror}") from None
