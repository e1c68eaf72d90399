"""Reads a settings file with a limit on its size, without interpreting it."""

from __future__ import annotations


def read_limited(path: str, max_bytes: int) -> bytes:
    """The whole file. Raises OSError, and ValueError where the file is larger than `max_bytes`."""
    with open(path, "rb") as file:
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise ValueError(f"larger than {max_bytes} bytes")
    return data
