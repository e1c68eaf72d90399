"""`slatehub fleet`: shows what a running proxy knows of its fleet, through its operators' address, and edits the key
file. Never prints a key, and reports success only where the proxy's answer says so."""

from __future__ import annotations

import http.client
import json
import os
import sys
from typing import Any

import click

from ..settings import key_file as keyfile

TIMEOUT_S = 3.0
MEMBER_COLUMNS = ("name", "address", "state", "for_s", "heard_s", "incarnation")
AT_HELP = "The operators' address [EDGE_MGMT, or mgmt of EDGE_CONFIG]."
at_option = click.option("--at", metavar="HOST:PORT", help=AT_HELP)
json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def fleet() -> None:
    """The proxies of a fleet and their state, and the key file."""


def _operators_address(given: str | None) -> str:
    found = given or os.environ.get("EDGE_MGMT") or _configured_address()
    if not found:
        raise click.UsageError("no operators' address: give --at HOST:PORT")
    return found


def _configured_address() -> str:
    try:
        with open(os.environ.get("EDGE_CONFIG", ""), encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError):
        return ""
    found = tree.get("mgmt") if isinstance(tree, dict) else None
    return found if isinstance(found, str) else ""


def _fetch(at: str | None, path: str = "/fleet") -> dict[str, Any]:
    address = _operators_address(at)
    try:
        conn = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        conn.request("GET", path)
        answer = conn.getresponse()
        body = answer.read()
        if answer.status != 200:
            raise click.ClickException(
                f"{address}: {answer.status} {body[:200].decode('utf-8', 'replace').strip()}"
            )
        tree = json.loads(body)
    except (OSError, http.client.HTTPException, ValueError) as problem:
        raise click.ClickException(f"{address}: {problem}") from None
    if not isinstance(tree, dict):
        raise click.ClickException(f"{address}: not an answer of slatehub's")
    return tree


def _table(rows: list[dict[str, Any]], columns: tuple[str, ...] = MEMBER_COLUMNS) -> list[str]:
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
    """The number of members, as one proxy sees it, and what was dropped. Exit 1 where a member is suspect or lost."""
    tree = _fetch(at)
    tree.pop("members", None)
    if as_json:
        click.echo(json.dumps(tree, indent=2))
    else:
        speaks = "" if tree["speaking"] else ", has no socket yet"
        click.echo(f"{tree['name']} of fleet {tree['fleet']}, tier {tree['tier']}{speaks}")
        click.echo(
            f"alive {tree['alive']} (this one included), suspect {tree['suspect']}, lost {tree['lost']}"
        )
        click.echo(f"own health {tree['health']} (0 is healthy; at 8, missed answers are not trusted)")
        for key in ("traffic", "dropped"):
            click.echo(f"{key}: " + ", ".join(f"{name} {n}" for name, n in tree[key].items()))
        for key, value in tree.get("shared", {}).items():
            click.echo(f"{key}: {value}")
    sys.exit(1 if tree["suspect"] or tree["lost"] else 0)


@fleet.command()
@at_option
@json_option
def members(at: str | None, as_json: bool) -> None:
    """All members that one proxy knows, itself first."""
    rows = _fetch(at)["members"]
    click.echo(json.dumps(rows, indent=2) if as_json else "\n".join(_table(rows)))


@fleet.group("keys")
def keys_group() -> None:
    """The key file: at most two keys. The first signs, both are valid."""


def _edit_key_file(act: Any) -> Any:
    try:
        return act()
    except keyfile.KeyFileError as problem:
        raise click.ClickException(str(problem)) from None


path = click.argument("path", metavar="FILE")


@keys_group.command()
@path
@click.option(
    "--sign", is_flag=True, help="Sign with it at once; otherwise it is only valid beside the key that signs."
)
def make(path: str, sign: bool) -> None:
    """Adds a new key to FILE, which is created where it does not exist."""
    count = _edit_key_file(lambda: keyfile.add(path, sign))
    click.echo(f"{path}: {count} of {keyfile.MAX_KEYS} keys")


@keys_group.command()
@path
def swap(path: str) -> None:
    """Swaps the two keys: the one that was only valid signs from now on."""
    _edit_key_file(lambda: keyfile.swap(path))
    check.callback(path)  # type: ignore[misc]


@keys_group.command()
@path
def drop(path: str) -> None:
    """Removes the key that does not sign."""
    _edit_key_file(lambda: keyfile.drop(path))
    check.callback(path)  # type: ignore[misc]


@keys_group.command()
@path
def check(path: str) -> None:
    """Checks FILE and prints the ids of its keys."""
    found = _edit_key_file(lambda: keyfile.read(path))
    others = "".join(f", {key.key_id.hex()} is valid too" for key in found[1:])
    click.echo(f"{path}: signs with {found[0].key_id.hex()}{others}")
