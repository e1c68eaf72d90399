"""Options shared by several commands: scenario, engine, seeds, settings, folders. This module defines how they are
written on the command line. It opens no files."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from slatelab.experiments.run import ENGINES

F = TypeVar("F", bound=Callable[..., Any])
MAX_VALUE_CHARS = 200
MAX_SEEDS = 1000
MAX_VALUES = 100


def parse_value(text: str) -> Any:
    """Parses a value as TOML, or returns the text itself: `3`, `0.5`, `true`, `["a"]`, `80/s`, `250 ms`."""
    if len(text) > MAX_VALUE_CHARS:
        raise click.BadParameter(f"longer than {MAX_VALUE_CHARS} characters")
    try:
        tree = tomllib.loads(f"v = {text}")
    except tomllib.TOMLDecodeError:
        return text
    return tree["v"] if len(tree) == 1 else text


class Setting(click.ParamType[tuple[str, Any]]):
    """An option value of the form key=value."""

    name = "key=value"

    def convert(self, raw: Any, param: click.Parameter | None, ctx: click.Context | None) -> tuple[str, Any]:
        key, equals, text = str(raw).partition("=")
        if not key.strip() or not equals:
            self.fail(f"{raw!r} is not of the form key=value", param, ctx)
        return key.strip(), parse_value(text.strip())


class Vary(click.ParamType[tuple[str, list[Any]]]):
    """An option value of the form key=v1,v2,..."""

    name = "key=v1,v2,..."

    def convert(
        self, raw: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, list[Any]]:
        key, equals, text = str(raw).partition("=")
        if not key.strip() or not equals or not text.strip():
            self.fail(f"{raw!r} is not of the form key=v1,v2", param, ctx)
        values = _parse_values(text)
        if len(values) > MAX_VALUES:
            self.fail(f"{key}: {len(values)} values, {MAX_VALUES} at most", param, ctx)
        return key.strip(), values


def _parse_values(text: str) -> list[Any]:
    parsed = parse_value(f"[{text}]") if len(text) < MAX_VALUE_CHARS - 2 else text
    return parsed if isinstance(parsed, list) else [parse_value(part.strip()) for part in text.split(",")]


class Seeds(click.ParamType[list[int]]):
    """Seeds and ranges of seeds: 1-10, or 3, or 1,4,9-12."""

    name = "seeds"

    def convert(self, raw: Any, param: click.Parameter | None, ctx: click.Context | None) -> list[int]:
        if isinstance(raw, list):
            return raw
        try:
            seeds = [seed for part in str(raw).split(",") for seed in _parse_range(part)]
        except ValueError as error:
            self.fail(f"{raw!r}: {error}; write 1-10 or 1,4,9-12", param, ctx)
        if len(seeds) > MAX_SEEDS:
            self.fail(f"{len(seeds)} seeds, {MAX_SEEDS} at most", param, ctx)
        return list(dict.fromkeys(seeds))


def _parse_range(part: str) -> range:
    first, dash, last = part.strip().partition("-")
    low = int(first)
    high = int(last) if dash else low
    if not 0 <= low <= high <= 2**53:
        raise ValueError("not a rising range of seeds")
    if high - low >= MAX_SEEDS:
        raise ValueError(f"{high - low + 1} seeds, {MAX_SEEDS} at most")
    return range(low, high + 1)


def scenario(command: F) -> F:
    """Adds FILE, --engine, --set and --out."""
    for add in (
        click.option(
            "--out", metavar="DIR", help="Folder for results (else $SLATELAB_RESULTS, else ./results)."
        ),
        click.option(
            "--set", "settings", type=Setting(), multiple=True, help="Put a value over the scenario's."
        ),
        click.option("--engine", type=click.Choice(list(ENGINES)), default="model", show_default=True),
        click.argument("file", type=click.Path(path_type=Path)),
    ):
        command = add(command)
    return command


def batch(command: F) -> F:
    """Adds --seeds, --jobs, --keep and --quiet."""
    for add in (
        click.option("--quiet", is_flag=True, help="No progress bar."),
        click.option("--keep", is_flag=True, help="Keep the result of every single run too."),
        click.option(
            "--jobs", type=click.IntRange(1, 256), help="Runs at a time [model: one a core, live: 1]."
        ),
        click.option("--seeds", type=Seeds(), default="1-10", show_default=True, help="As 1-10 or 1,4,9-12."),
    ):
        command = add(command)
    return command
