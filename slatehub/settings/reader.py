"""The platform's configuration of a proxy. Reads, checks and fills in defaults for the environment and the files that
it names; no other module reads either. Opens no socket. A present but wrong value is an error that names the key, and
is never replaced by a default. The decision module's settings are parsed by paddlestep, from the JSON flattened into
the lines of its wire format; the operator's own file is read by `operator`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from paddlestep.interface import Settings
from paddlestep.wire import MOST_ITEMS, WireError, parse_settings

from . import operator
from .errors import ConfigError
from .file import read_limited

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
MAX_FILE_BYTES = 8 * 1024 * 1024  # bytes: twice the largest list of nodes
NUMBER_LIMIT = 2**53  # exclusive upper bound of every number
MAX_NAME_CHARS = 256
# Minimum values of settings that, if lower, would stop the proxy or make it spin. The module supplies missing ones.
MINIMUMS = {
    "tick_us": 1, "siblings": 0, "me": 0, "my_zone": 0, "tier": 0, "allowed.connect_timeout_us": 1,
    "allowed.max_retry_after_us": 0, "obligations.answer_slack_us": 0, "obligations.drain_grace_us": 0,
    "obligations.ask_every_us": 10_000, "obligations.cold_from": 0, "obligations.warm_after_us": 0,
    "obligations.fall_multiple": 0, "obligations.tip_after_us": 0,
}  # fmt: skip
# Of classes, and of accounts: more than a file has, so that numbers are seldom reused.
MAX_NUMBERED_NAMES = 256


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """The complete configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]  # a list of nodes in discovery's format, possibly outdated
    settings: Settings
    classes: dict[str, int]
    accounts: dict[str, int]  # empty: the site has no accounts
    kinds: dict[str, int]
    zones: dict[str, int]
    max_open: int  # jobs open at once
    conn_idle_us: int  # a node closes a connection that was idle for this long
    all_classes: dict[str, int]  # includes those that an earlier file named and this one does not
    all_accounts: dict[str, int]
    operator: operator.OperatorConfig = operator.OperatorConfig()
    keys: frozenset[str] = frozenset()  # paths of all keys in the file
    mgmt: Address | None = None  # the operators' address; None: management is off


def flatten(value: Any, path: str = "") -> list[str]:
    """Nested settings as the path=value lines of the decision module's wire format."""
    prefix = path + "." if path else ""
    if isinstance(value, dict):
        return [line for key, item in value.items() for line in flatten(item, f"{prefix}{key}")]
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        lines = [f"{prefix}count={len(value)}"]
        return lines + [line for i, item in enumerate(value) for line in flatten(item, f"{prefix}{i}")]
    if isinstance(value, list):
        return [f"{path}={','.join(_format_value(item) for item in value)}"]
    return [] if value is None else [f"{path}={_format_value(value)}"]


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return repr(value)
    return "_".join(str(value).replace(",", " ").split())


def parse_address(text: Any, key: str) -> Address:
    """host:port as a pair; an IPv6 host is written in brackets. Raises ConfigError, naming `key`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: not an address host:port: {str(text)[:60]!r}")
    return host.strip("[]"), int(port)


def _value_at(tree: Any, path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """The value at a dotted path, checked for its type. A missing value takes the default, if there is one."""
    value = tree
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    if value is None:
        if default is None:
            raise ConfigError(f"{path}: missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ConfigError(f"{path}: has the wrong type: {str(value)[:60]!r}")
    return value


def _integer_at(tree: Any, path: str, default: int, minimum: int) -> int:
    value = _value_at(tree, path, (int, float), default)
    if not minimum <= value < NUMBER_LIMIT:  # False for nan and infinity, too
        raise ConfigError(f"{path}: must be a number, {minimum} or more: {str(value)[:60]}")
    return int(value)


def _index_by_name(tree: Any, path: str) -> dict[str, int]:
    """The index of each name in a list of settings. Names are kept raw, as callers and discovery write them."""
    names = [x.get("name") if isinstance(x, dict) else x for x in _value_at(tree, path, list, [])]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ConfigError(f"{path}: names are missing or duplicated")
    return {str(name): i for i, name in enumerate(names)}


def keys_of(tree: Any, path: str = "") -> frozenset[str]:
    """The paths of all keys; for a list of objects, the keys that all of them have, as path[].key. Skips `known`."""
    if isinstance(tree, dict) and path != "known":
        prefix = path + "." if path else ""
        below = [keys_of(item, f"{prefix}{key}") | {f"{prefix}{key}"} for key, item in tree.items()]
        return frozenset().union(*below)
    if isinstance(tree, list) and tree and all(isinstance(item, dict) for item in tree):
        return frozenset.intersection(*(keys_of(item, path + "[]") for item in tree))
    return frozenset()


def _check_no_key_lost(old: ProxyConfig, new: ProxyConfig) -> None:
    """Rejects a truncated or partly written file, whose missing keys would otherwise take their defaults."""
    for key in sorted(old.keys - new.keys):
        listed = key.rpartition("[]")[0]  # keys of the items of a list that is now empty are not required
        if not listed or any(x.startswith(listed + "[]") for x in new.keys):
            raise ConfigError(f"EDGE_CONFIG: {key}: missing, although the file in force has it")


def _merge_rows(
    names: dict[str, int], new_names: dict[str, int], rows: list[Any], new: tuple[Any, ...]
) -> dict[str, int]:
    """Writes the new settings of each name of the new file into the rows, and returns the index of every numbered name.
    A known name keeps its index; another is appended or, from MAX_NUMBERED_NAMES rows on, replaces one that is gone."""
    indices = dict(names)
    for name, i in new_names.items():
        if name not in indices:
            indices[name] = _new_index(indices, new_names, len(rows))
        rows[indices[name] : indices[name] + 1] = [new[i]]
    return indices


def _new_index(indices: dict[str, int], new_names: dict[str, int], count: int) -> int:
    spare = (
        next((name for name in indices if name not in new_names), None)
        if count >= MAX_NUMBERED_NAMES
        else None
    )
    return count if spare is None else indices.pop(spare)


def merge_reloaded(old: ProxyConfig, new: ProxyConfig) -> ProxyConfig:
    """The new configuration for a running proxy. Known classes and accounts keep their numbers, as open jobs and the
    decision module refer to these; new ones follow, and one that is gone from the file can no longer be requested by
    name. The current seed and list of nodes stay, as they are newer than the file's. Raises ConfigError where the new
    file lacks a key that the file in force has."""
    _check_no_key_lost(old, new)
    kinds, tenants = list(old.settings.classes), list(old.settings.tenants)
    classes = _merge_rows(old.all_classes, new.classes, kinds, new.settings.classes)
    accounts = _merge_rows(old.all_accounts, new.accounts, tenants, new.settings.tenants)
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


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")


def _check_module_settings(tree: dict[str, Any]) -> None:
    """Checks the module's settings. The limits of attempts and deadlines must be finite numbers above 0. Lists must be
    lists, as the number of their items is read from their flattened form. Values below MINIMUMS are rejected."""
    allowed = tree["settings"].get("allowed")
    _check_positive(
        allowed.get("max_attempts") if isinstance(allowed, dict) else None, "settings.allowed.max_attempts", 1
    )
    for i, kind in enumerate(_value_at(tree, "settings.services", list, [])):
        for key in ("slo_us", "hard_limit_us") if isinstance(kind, dict) else ():
            _check_positive(kind.get(key), f"settings.services.{i}.{key}", 0)
    for key in ("tenants", "stages", "kinds", "zones"):
        if len(_value_at(tree, f"settings.{key}", list, [])) > MOST_ITEMS:
            raise ConfigError(f"settings.{key}: more than {MOST_ITEMS}")
    for key, minimum in MINIMUMS.items():
        _integer_at(tree, f"settings.{key}", max(minimum, 1), minimum)


def _check_positive(value: Any, key: str, minimum: float) -> None:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not minimum <= value < NUMBER_LIMIT or value <= 0:
        raise ConfigError(f"{key}: must be a number above 0: {str(value)[:60]!r}")


def load_config(environ: Mapping[str, str], operator_path: str | None = None) -> ProxyConfig:
    """Reads EDGE_CONFIG; EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_MGMT replace keys that the file leaves out.
    The operator's file is `operator_path`, else the one that SLATEHUB_OPERATOR names, if any. Raises ConfigError."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    try:
        config = _build_config(_read_json(path), environ)
    except ConfigError as problem:
        raise ConfigError(f"EDGE_CONFIG {path}: {problem}") from None
    except RecursionError:
        raise ConfigError(f"EDGE_CONFIG {path}: cannot be read as JSON: nested too deeply") from None
    return replace(
        config, operator=operator.read_operator_file(operator_path or environ.get("SLATEHUB_OPERATOR", ""))
    )


def _read_json(path: str) -> dict[str, Any]:
    try:
        tree = json.loads(read_limited(path, MAX_FILE_BYTES).decode(), parse_constant=_reject_constant)
    except (OSError, ValueError) as problem:  # ValueError: also JSON and UTF-8 errors
        reason = problem.strerror if isinstance(problem, OSError) else problem
        raise ConfigError(f"cannot be read as JSON: {reason}") from None
    if not isinstance(tree, dict):
        raise ConfigError("must hold one JSON object")
    return tree


def _build_config(tree: dict[str, Any], environ: Mapping[str, str]) -> ProxyConfig:
    keys = keys_of(tree)
    for key in ("name", "listen", "discovery", "mgmt"):
        tree.setdefault(key, environ.get("EDGE_" + key.upper()))
    seed = _value_at(tree, "seed", (str, int))
    try:
        seed = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed[:60]!r}") from None
    raw = _value_at(tree, "settings", dict)
    _check_module_settings(tree)
    try:
        settings = parse_settings("\n".join(flatten(raw)))
    except WireError as problem:
        raise ConfigError(f"settings: {problem}") from None
    if not settings.classes:
        raise ConfigError("settings.services: defines no class")
    name = _value_at(tree, "name", str)
    if not name.isprintable() or not 0 < len(name) <= MAX_NAME_CHARS:
        raise ConfigError(f"name: must be 1 to {MAX_NAME_CHARS} printable characters")
    classes, accounts = _index_by_name(tree, "settings.services"), _index_by_name(tree, "settings.tenants")
    return ProxyConfig(
        name=name,
        listen=parse_address(_value_at(tree, "listen", str), "listen"),
        discovery=parse_address(_value_at(tree, "discovery", str), "discovery"),
        seed=seed,
        sockets=_integer_at(tree, "limits.sockets", 1024, 64),
        memory_mb=_integer_at(tree, "limits.memory_mb", 192, 1),
        known=_value_at(tree, "known", dict, {}),
        settings=settings,
        classes=classes,
        accounts=accounts,
        all_classes=classes,
        all_accounts=accounts,
        keys=keys,
        kinds=_index_by_name(tree, "settings.kinds"),
        zones=_index_by_name(tree, "settings.zones"),
        max_open=_integer_at(tree, "settings.allowed.max_open", 32768, 1),
        conn_idle_us=_integer_at(tree, "settings.allowed.conn_idle_us", 30_000_000, 1),
        mgmt=parse_address(_value_at(tree, "mgmt", str), "mgmt") if tree["mgmt"] is not None else None,
    )
