"""`slatehub copies`: shows the group of voters as a running proxy sees it, and changes the voters, through the
proxy's operators' address. Reports success only where the proxy's answer says so."""

from __future__ import annotations

import http.client
import json
import sys
from urllib.parse import quote

import click

from .fleet import TIMEOUT_S, _fetch, _operators_address, _table, at_option, json_option

STATUS_KEYS = ("name", "store", "problem", "epoch", "votes", "majority", "caught_up", "registers", "log_bytes",
               "waiting", "under_way", "mended")  # fmt: skip


@click.group()
def copies() -> None:
    """State copied to a majority of voters: who votes, who is behind, and changes of voters."""


@copies.command()
@at_option
@json_option
def status(at: str | None, as_json: bool) -> None:
    """The group as one proxy sees it. Exit 1 without a majority, with a silent voter, or during a change."""
    tree = _fetch(at, "/copies")
    if as_json:
        click.echo(json.dumps(tree, indent=2))
    else:
        for key in STATUS_KEYS:
            click.echo(f"{key}: {tree.get(key)}")
        for key in ("counts", "ledger"):
            click.echo(f"{key}: " + ", ".join(f"{name} {count}" for name, count in tree.get(key, {}).items()))
        rows = [{**row, "silent": row["name"] in tree.get("silent", ())} for row in tree.get("voters", [])]
        rows += [{**row, "silent": "until the change is over"} for row in tree.get("before", [])]
        click.echo("\n".join(_table(rows, ("name", "store", "silent"))))
    healthy = (
        tree.get("majority") and tree.get("caught_up") and not (tree.get("silent") or tree.get("before"))
    )
    sys.exit(0 if healthy and not tree.get("problem") else 1)


def _send_put(at: str | None, *words: str) -> None:
    address = _operators_address(at)
    path = "/copies/" + "/".join(quote(word, safe="") for word in words)
    try:
        conn = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        conn.request("PUT", path)
        answer = conn.getresponse()
        body = answer.read()[:400].decode("utf-8", "replace").strip()
    except (OSError, http.client.HTTPException) as problem:
        raise click.ClickException(f"{address}: {problem}") from None
    click.echo(body)
    sys.exit(0 if answer.status == 200 else 1)


@copies.command()
@click.argument("name")
@at_option
def add(name: str, at: str | None) -> None:
    """Adds a voter: a running proxy with a folder of its own."""
    _send_put(at, "add", name)


@copies.command()
@click.argument("name")
@at_option
def remove(name: str, at: str | None) -> None:
    """Removes a voter permanently."""
    _send_put(at, "remove", name)


@copies.command()
@click.argument("name")
@click.argument("new")
@at_option
def replace(name: str, new: str, at: str | None) -> None:
    """Replaces NAME by NEW. A proxy that returns with an empty folder under its old name does this by itself."""
    _send_put(at, "replace", name, new)
