"""Reads scenario files into `Scenario` objects. All errors of a file are reported together, each with the file, the key
and the reason; invalid values are not corrected or replaced."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from .types import Scenario

MAX_FILE_BYTES = 1024 * 1024
KEY_PART = re.compile(r"[a-z0-9_]+")
OWN_KEY_PREFIX = re.compile(r"[a-z_]+(\.[a-z0-9_]+)*: ")


class ScenarioError(Exception):
    """An invalid scenario; `lines` has one line for each error, `file: key: reason`."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def load(path: Path, changes: Mapping[str, Any] | None = None) -> Scenario:
    """Reads the scenario of a file. `changes` overrides values of the file by dotted path (`arrivals.0.rate`), for
    sweeps and comparisons. Raises ScenarioError."""
    try:
        raw = path.read_bytes()
        if len(raw) > MAX_FILE_BYTES:
            raise ScenarioError([f"{path}: larger than {MAX_FILE_BYTES} bytes"])
        tree = tomllib.loads(raw.decode())
    except RecursionError:
        raise ScenarioError([f"{path}: cannot be read: nested too deeply"]) from None
    except (OSError, ValueError) as exception:  # ValueError: UTF-8, TOML, and numbers with too many digits
        reason = exception.strerror if isinstance(exception, OSError) else str(exception)
        raise ScenarioError([f"{path}: cannot be read: {reason}"]) from None
    for key, value in (changes or {}).items():
        _set_value(tree, key, value, path)
    scenario = parse(tree, str(path))
    for i, stream in enumerate(scenario.arrivals):
        if stream.file and not (path.parent / stream.file).is_file():
            raise ScenarioError([f"{path}: arrivals.{i}.file: no such file: {stream.file!r}"])
    return scenario


def parse(tree: Mapping[str, Any], source: str = "scenario") -> Scenario:
    """Validates a decoded TOML document; `source` names it in errors. Raises ScenarioError."""
    try:
        return Scenario.model_validate(tree)
    except ValidationError as exception:
        raise ScenarioError([_error_line(source, error) for error in exception.errors()]) from None


def _error_line(source: str, error: Any) -> str:
    key = _error_key(error)
    if error["type"] == "extra_forbidden":
        return f"{source}: {key}: is not a key of this format"
    reason = error["msg"].removeprefix("Value error, ")
    if error["type"] == "missing":
        reason = "missing"
    # The message of a cross-check starts with its own key, relative to the table it belongs to.
    if OWN_KEY_PREFIX.match(reason):
        return f"{source}: {key}.{reason}" if key else f"{source}: {reason}"
    return f"{source}: {key}: {reason}"


def _error_key(error: Any) -> str:
    """The dotted key of an error, without the parts that pydantic adds for unions ("tuple[...]")."""
    *parents, last = (str(part) for part in error["loc"] or ("",))
    parts = [part for part in parents if KEY_PART.fullmatch(part)]
    if error["type"] == "extra_forbidden":
        return ".".join([*parts, last if re.fullmatch(r"[A-Za-z0-9_-]{1,60}", last) else repr(last[:60])])
    return ".".join([*parts, last] if KEY_PART.fullmatch(last) else parts)


def _set_value(tree: dict[str, Any], path: str, value: Any, source: Path) -> None:
    table: Any = tree
    *parents, last = path.split(".")
    try:
        for part in parents:
            table = table[int(part)] if isinstance(table, list) else table.setdefault(part, {})
        if isinstance(table, list):
            table[int(last)] = value
        elif isinstance(table, dict):
            table[last] = value
        else:
            raise KeyError(last)
    except (ValueError, IndexError, KeyError, AttributeError, TypeError):
        raise ScenarioError([f"{source}: {path}: there is no such key to change"]) from None
