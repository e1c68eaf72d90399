"""`slatehub fleet`: what a running proxy knows of its fleet, asked at its operators' address, and the key file. It must
never print a key, and never say that all is well where it has not been told."""

from __future__ import annotations

import http.client
import json
import os
import sys
from typing import Any

import click

from ..settings import key_file as keyfile

LIMIT_S = 3.0
COLUMNS = ("name", "address", "state", "for_s", "heard_s", "incarnation")
WHERE = "The operators' address [EDGE_MGMT, or mgmt of EDGE_CONFIG]."
at_option = click.option("--at", metavar="HOST:PORT", help=WHERE)
json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def fleet() -> None:
    """Proxies that know each other: who is there, and the key file."""


def _at(given: str | None) -> str:
    found = given or os.environ.get("EDGE_MGMT") or _configured()
    if not found:
        raise click.UsageError("no operators' address: give --at HOST:PORT")
    return found


def _configured() -> str:
    try:
        with open(os.environ.get("EDGE_CONFIG", ""), encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError):
        return ""
    found = tree.get("mgmt") if isinstance(tree, dict) else None
    return found if isinstance(found, str) else ""


def _asked(at: str | None, path: str = "/fleet") -> dict[str, Any]:
    place = _at(at)
    try:
        conn = http.client.HTTPConnection(place, timeout=LIMIT_S)
        conn.request("GET", path)
        answer = conn.getresponse()
        body = answer.read()
        if answer.status != 200:
            raise click.ClickException(
                f"{place}: {answer.status} {body[:200].decode('utf-8', 'replace').strip()}"
            )
        tree = json.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as problem:
        raise click.ClickException(f"{place}: {problem}") from None
    if not isinstance(tree, dict):
        raise click.ClickException(f"{place}: not an answer of slatehub's")
    return tree


def _table(rows: list[dict[str, Any]], columns: tuple[str, ...] = COLUMNS) -> list[str]:
    cells = [list(columns), *([_cell(row.get(key)) for key in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


def _cell(value: Any) -> str:
    return "-" if value is None else str(value)


@fleet.command()
@at_option
@json_option
def status(at: str | None, as_json: bool) -> None:
    """How many are there, as one proxy sees it, and what was dropped. Exit 1 where somebody is suspected or lost."""
    tree = _asked(at)
    tree.pop("members", None)
    if as_json:
        click.echo(json.dumps(tree, indent=2))
    else:
        speaks = "" if tree["speaking"] else ", has no socket yet"
        click.echo(f"{tree['name']} of fleet {tree['fleet']}, tier {tree['tier']}{speaks}")
        click.echo(
            f"alive {tree['alive']} (this one included), suspect {tree['suspect']}, lost {tree['lost']}"
        )
        click.echo(f"own health {tree['health']} (0 is well, 8 trusts nothing that it misses)")
        for key in ("traffic", "dropped"):
            click.echo(f"{key}: " + ", ".join(f"{name} {n}" for name, n in tree[key].items()))
        for key, value in tree.get("shared", {}).items():
            click.echo(f"{key}: {value}")
    sys.exit(1 if tree["suspect"] or tree["lost"] else 0)


@fleet.command()
@at_option
@json_option
def members(at: str | None, as_json: bool) -> None:
    """Everybody whom one proxy knows of, itself first."""
    rows = _asked(at)["members"]
    click.echo(json.dumps(rows, indent=2) if as_json else "\n".join(_table(rows)))


@fleet.group("keys")
def keys_group() -> None:
    """The key file: at most two keys, of which the first signs and both are valid."""


def _file(act: Any) -> Any:
    try:
        return act()
    except keyfile.KeyFileError as problem:
        raise click.ClickException(str(problem)) from None


path = click.argument("path", metavar="FILE")


@keys_group.command()
@path
@click.option(
    "--sign", is_flag=True, help="Sign with it at once; else it is valid beside the one that signs."
)
def make(path: str, sign: bool) -> None:
    """Adds a new key to FILE, which is made where there is none."""
    count = _file(lambda: keyfile.add(path, sign))
    click.echo(f"{path}: {count} of {keyfile.MAX_KEYS} keys")


@keys_group.command()
@path
def swap(path: str) -> None:
    """The key that was only valid signs from now on."""
    _file(lambda: keyfile.swap(path))
    check.callback(path)  # type: ignore[misc]


@keys_group.command()
@path
def drop(path: str) -> None:
    """Takes out the key that does not sign."""
    _file(lambda: keyfile.drop(path))
    check.callback(path)  # type: ignore[misc]


@keys_group.command()
@path
def check(path: str) -> None:
    """Says whether FILE is good, and the ids of its keys."""
    found = _file(lambda: keyfile.read(path))
    others = "".join(f", {key.key_id.hex()} is valid too" for key in found[1:])
    click.echo(f"{path}: signs with {found[0].key_id.hex()}{others}")
