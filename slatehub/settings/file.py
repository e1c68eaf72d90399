"""How a file of settings comes into memory. It must never take in more than it is told to, or look at what is in it."""

from __future__ import annotations


def whole(path: str, largest: int) -> bytes:
    """All of it. OSError; ValueError where it is larger."""
    with open(path, "rb") as file:
        data = file.read(largest + 1)
    if len(data) > largest:
        raise ValueError(f"larger than {largest} bytes")
    return data
