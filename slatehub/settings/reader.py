"""The plant's papers: all that a proxy is told at its start. This file owns reading, checking and defaulting of
the environment and of the files it names; nobody else may read either. It must never open a socket, and never
guess at a value that is there but wrong: it names the faulty key instead. The module's own settings are read by
paddlestep, from the JSON flattened into the lines which that reader knows; the operator's own file by `operator`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from paddlestep.interface import Settings
from paddlestep.wire import MOST_ITEMS, WireError, parse_settings

from . import operator
from .errors import ConfigError
from .file import whole

__all__ = [
    "Address",
    "ConfigError",
    "ProxyConfig",
    "parse_address",
    "flatten",
    "load_config",
    "merge_reloaded",
]

Address = tuple[str, int]
LARGEST = 8 * 1024 * 1024  # bytes of the file: a list of nodes at its largest, twice over
FAR = 2**53  # of any figure
LONGEST_NAME = 256
# What the settings may be at the least, where less would stop the proxy or have it spin. Missing ones are the module's.
LEAST = {
    "tick_us": 1, "siblings": 0, "me": 0, "my_zone": 0, "tier": 0, "allowed.connect_timeout_us": 1,
    "allowed.max_retry_after_us": 0, "obligations.answer_slack_us": 0, "obligations.drain_grace_us": 0,
    "obligations.ask_every_us": 10_000, "obligations.cold_from": 0, "obligations.warm_after_us": 0,
    "obligations.fall_multiple": 0, "obligations.tip_after_us": 0,
}  # fmt: skip
MAX_NUMBERED_NAMES = (
    256  # of classes, and of accounts: more than a file has, so that numbers are seldom used again
)


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """Everything one proxy knows before it meets anybody."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]  # the list of nodes in discovery's form, perhaps old
    settings: Settings
    classes: dict[str, int]
    accounts: dict[str, int]  # empty: the site has none
    kinds: dict[str, int]
    zones: dict[str, int]
    max_open: int  # jobs in hand at once
    conn_idle_us: int  # nodes close a connection that was idle for this long
    all_classes: dict[str, int]  # with those that an earlier file named and this one does not
    all_accounts: dict[str, int]
    operator: operator.OperatorConfig = operator.OperatorConfig()
    keys: frozenset[str] = frozenset()  # all that the file holds
    mgmt: Address | None = None  # where operators call; None: nowhere


def flatten(value: Any, path: str = "") -> list[str]:
    """Nested settings as the path=value lines of the module's wire."""
    dot = path + "." if path else ""
    if isinstance(value, dict):
        return [line for key, item in value.items() for line in flatten(item, f"{dot}{key}")]
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        lines = [f"{dot}count={len(value)}"]
        return lines + [line for i, item in enumerate(value) for line in flatten(item, f"{dot}{i}")]
    if isinstance(value, list):
        return [f"{path}={','.join(_word(item) for item in value)}"]
    return [] if value is None else [f"{path}={_word(value)}"]


def _word(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return repr(value)
    return "_".join(str(value).replace(",", " ").split())


def parse_address(text: Any, key: str) -> Address:
    """host:port as a pair; an IPv6 host stands in brackets."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: not an address host:port: {str(text)[:60]!r}")
    return host.strip("[]"), int(port)


def _item(tree: Any, path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """The value at a dotted path, of the kind asked for; a missing one takes the default, if there is one."""
    at = tree
    for part in path.split("."):
        at = at.get(part) if isinstance(at, dict) else None
    if at is None:
        if default is None:
            raise ConfigError(f"{path}: missing")
        return default
    if not isinstance(at, kind) or (isinstance(at, bool) and kind is not bool):
        raise ConfigError(f"{path}: has the wrong type: {str(at)[:60]!r}")
    return at


def _whole(tree: Any, path: str, default: int, least: int) -> int:
    value = _item(tree, path, (int, float), default)
    if not least <= value < FAR:  # neither nan nor infinity is
        raise ConfigError(f"{path}: must be a number, {least} or more: {str(value)[:60]}")
    return int(value)


def _numbered(tree: Any, path: str) -> dict[str, int]:
    """The places of the names in a list of settings; the raw names, as callers and discovery write them."""
    names = [x.get("name") if isinstance(x, dict) else x for x in _item(tree, path, list, [])]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ConfigError(f"{path}: names are missing or stand twice")
    return {str(name): i for i, name in enumerate(names)}


def keys_of(tree: Any, path: str = "") -> frozenset[str]:
    """The paths of all keys. Of a list of objects those that each of them has, as path[].key; of nodes known, none."""
    if isinstance(tree, dict) and path != "known":
        dot = path + "." if path else ""
        below = [keys_of(item, f"{dot}{key}") | {f"{dot}{key}"} for key, item in tree.items()]
        return frozenset().union(*below)
    if isinstance(tree, list) and tree and all(isinstance(item, dict) for item in tree):
        return frozenset.intersection(*(keys_of(item, path + "[]") for item in tree))
    return frozenset()


def _has_all(old: ProxyConfig, new: ProxyConfig) -> None:
    """Guards against a file cut or written halfway, whose missing keys would take their defaults."""
    for key in sorted(old.keys - new.keys):
        listed = key.rpartition("[]")[0]  # what an empty list's items would have is not missed
        if not listed or any(x.startswith(listed + "[]") for x in new.keys):
            raise ConfigError(f"EDGE_CONFIG: {key}: missing, and the file in force has it")


def _placed(
    names: dict[str, int], fresh: dict[str, int], rows: list[Any], new: tuple[Any, ...]
) -> dict[str, int]:
    """Where each fresh name stands among the rows, which take its new terms: where it stood, else behind the others or,
    where there are many, in the place of one that is no longer named. All names that then have a place."""
    places = dict(names)
    for name, i in fresh.items():
        if name not in places:
            places[name] = _place(places, fresh, len(rows))
        rows[places[name] : places[name] + 1] = [new[i]]
    return places


def _place(places: dict[str, int], fresh: dict[str, int], count: int) -> int:
    spare = (
        next((name for name in places if name not in fresh), None) if count >= MAX_NUMBERED_NAMES else None
    )
    return count if spare is None else places.pop(spare)


def merge_reloaded(old: ProxyConfig, new: ProxyConfig) -> ProxyConfig:
    """The new papers for a proxy at work. Classes and accounts known before keep their numbers, as jobs in hand and
    the module go by these; new ones follow, and one that is gone from the file has no name to be asked for by. The
    seed and the list in hand stay, as they are newer than the file's. ConfigError where the new file lacks a key that
    the one in force has."""
    _has_all(old, new)
    kinds, tenants = list(old.settings.classes), list(old.settings.tenants)
    classes = _placed(old.all_classes, new.classes, kinds, new.settings.classes)
    accounts = _placed(old.all_accounts, new.accounts, tenants, new.settings.tenants)
    return replace(
        new,
        seed=old.seed,
        known=old.known,
        settings=replace(new.settings, classes=tuple(kinds), tenants=tuple(tenants)),
        classes={name: classes[name] for name in new.classes},
        accounts={name: accounts[name] for name in new.accounts},
        all_classes=classes,
        all_accounts=accounts,
    )


def _no_number(text: str) -> None:
    raise ValueError(f"{text} is no JSON")


def _terms(tree: dict[str, Any]) -> None:
    """Attempts and deadlines, on which every answer hangs: finite numbers above 0. Lists must be lists, as a count of
    their items is read from what they flatten to; and no figure may lie where the proxy would spin or stand still."""
    allowed = tree["settings"].get("allowed")
    _positive(
        allowed.get("max_attempts") if isinstance(allowed, dict) else None, "settings.allowed.max_attempts", 1
    )
    for i, kind in enumerate(_item(tree, "settings.services", list, [])):
        for key in ("slo_us", "hard_limit_us") if isinstance(kind, dict) else ():
            _positive(kind.get(key), f"settings.services.{i}.{key}", 0)
    for key in ("tenants", "stages", "kinds", "zones"):
        if len(_item(tree, f"settings.{key}", list, [])) > MOST_ITEMS:
            raise ConfigError(f"settings.{key}: more than {MOST_ITEMS}")
    for key, least in LEAST.items():
        _whole(tree, f"settings.{key}", max(least, 1), least)


def _positive(value: Any, key: str, least: float) -> None:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not least <= value < FAR or value <= 0:
        raise ConfigError(f"{key}: must be a number above 0: {str(value)[:60]!r}")


def load_config(environ: Mapping[str, str], own: str | None = None) -> ProxyConfig:
    """Reads EDGE_CONFIG; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY serve where the file leaves them out. The operator's
    file is `own`, else what SLATEHUB_OPERATOR names, if anything."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    try:
        plant = _plant(_tree(path), environ)
    except ConfigError as problem:
        raise ConfigError(f"EDGE_CONFIG {path}: {problem}") from None
    except RecursionError:
        raise ConfigError(f"EDGE_CONFIG {path}: cannot be read as JSON: nested too deeply") from None
    return replace(plant, operator=operator.read_operator_file(own or environ.get("SLATEHUB_OPERATOR", "")))


def _tree(path: str) -> dict[str, Any]:
    try:
        tree = json.loads(whole(path, LARGEST).decode(), parse_constant=_no_number)
    except (OSError, ValueError) as problem:  # ValueError: also JSON and UTF-8 errors
        reason = problem.strerror if isinstance(problem, OSError) else problem
        raise ConfigError(f"cannot be read as JSON: {reason}") from None
    if not isinstance(tree, dict):
        raise ConfigError("must hold one JSON object")
    return tree


def _plant(tree: dict[str, Any], environ: Mapping[str, str]) -> ProxyConfig:
    keys = keys_of(tree)
    for key in ("name", "listen", "discovery", "mgmt"):
        tree.setdefault(key, environ.get("EDGE_" + key.upper()))
    seed = _item(tree, "seed", (str, int))
    try:
        seed = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed[:60]!r}") from None
    raw = _item(tree, "settings", dict)
    _terms(tree)
    try:
        settings = parse_settings("\n".join(flatten(raw)))
    except WireError as problem:
        raise ConfigError(f"settings: {problem}") from None
    if not settings.classes:
        raise ConfigError("settings.services: names no class")
    name = _item(tree, "name", str)
    if not name.isprintable() or not 0 < len(name) <= LONGEST_NAME:
        raise ConfigError(f"name: must be a text of 1 to {LONGEST_NAME} characters that print")
    classes, accounts = _numbered(tree, "settings.services"), _numbered(tree, "settings.tenants")
    return ProxyConfig(
        name=name,
        listen=parse_address(_item(tree, "listen", str), "listen"),
        discovery=parse_address(_item(tree, "discovery", str), "discovery"),
        seed=seed,
        sockets=_whole(tree, "limits.sockets", 1024, 64),
        memory_mb=_whole(tree, "limits.memory_mb", 192, 1),
        known=_item(tree, "known", dict, {}),
        settings=settings,
        classes=classes,
        accounts=accounts,
        all_classes=classes,
        all_accounts=accounts,
        keys=keys,
        kinds=_numbered(tree, "settings.kinds"),
        zones=_numbered(tree, "settings.zones"),
        max_open=_whole(tree, "settings.allowed.max_open", 32768, 1),
        conn_idle_us=_whole(tree, "settings.allowed.conn_idle_us", 30_000_000, 1),
        mgmt=parse_address(_item(tree, "mgmt", str), "mgmt") if tree["mgmt"] is not None else None,
    )
