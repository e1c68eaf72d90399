"""The operator's own file: TOML, named by `--operator` or SLATEHUB_OPERATOR. Defines its tables, their keys, defaults
and bounds. An unknown key is an error, and every error names the file and the key.

To add a table, write a dataclass like those below and a field of `OperatorConfig`. The rule of a field checks one
value; `check` checks the whole table."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from .errors import ConfigError
from .file import read_limited

MAX_FILE_BYTES = 1024 * 1024  # bytes of the file
Rule = Callable[[Any], Any]  # returns the value to store; raises ValueError with the reason


class InvalidSettingError(ValueError):
    """A value that is wrong in combination with others or with the system, reported for `key`."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(text)
        self.key = key


def one_of(usual: str, *others: str) -> Any:
    """A setting that is one of these words; `usual` is the default."""
    words = (usual, *others)

    def rule(value: Any) -> str:
        if not isinstance(value, str) or value not in words:
            raise ValueError(f"must be one of {', '.join(words)}")
        return value

    return field(default=usual, metadata={"rule": rule})


def number(usual: float, least: float, most: float, whole: bool = False) -> Any:
    """A number from `least` to `most`, a whole one if `whole`; `usual` is the default."""
    kind = "whole number" if whole else "number"

    def rule(value: Any) -> float:
        good = isinstance(value, int if whole else (int, float)) and not isinstance(value, bool)
        if not good or not least <= value <= most:  # False for nan and infinity, too
            raise ValueError(f"must be a {kind} from {least:g} to {most:,}")
        return int(value) if whole else float(value)

    return field(default=usual, metadata={"rule": rule})


def text(usual: str, longest: int) -> Any:
    """A printable text of at most `longest` characters; `usual` is the default."""

    def rule(value: Any) -> str:
        if not isinstance(value, str) or len(value) > longest or not value.isprintable():
            raise ValueError(f"must be a text of at most {longest} characters")
        return value

    return field(default=usual, metadata={"rule": rule})


def parse_ip_address(value: Any) -> tuple[str, int]:
    """ADDRESS:PORT as a pair. The host must be an IP address, as names are not resolved."""
    from ipaddress import ip_address

    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        found = str(ip_address(host.strip("[]")))
    except ValueError:
        found = ""
    if not found or not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be ADDRESS:PORT, such as 10.0.0.4:7400")
    return found, int(port)


def optional_address() -> Any:
    """An optional address; None: not set."""

    def rule(value: Any) -> tuple[str, int] | None:
        return parse_ip_address(value) if value != "" else None

    return field(default=None, metadata={"rule": rule})


def address_list(most: int) -> Any:
    """A list of at most `most` addresses (ADDRESS:PORT), empty by default."""

    def rule(value: Any) -> tuple[tuple[str, int], ...]:
        if not isinstance(value, list) or len(value) > most:
            raise ValueError(f"must be a list of at most {most} addresses")
        return tuple(parse_ip_address(item) for item in value)

    return field(default=(), metadata={"rule": rule})


def name_list(most: int, longest: int) -> Any:
    """A list of at most `most` different names of 1 to `longest` characters, empty by default."""

    def rule(value: Any) -> tuple[str, ...]:
        good = isinstance(value, list) and len(value) <= most and len({*map(str, value)}) == len(value)
        if not good or not all(
            isinstance(x, str) and 0 < len(x) <= longest and x.isprintable() for x in value
        ):
            raise ValueError(f"must be a list of at most {most} different names of 1 to {longest} characters")
        return tuple(value)

    return field(default=(), metadata={"rule": rule})


def header_name(usual: str) -> Any:
    """Stored in lower case."""

    def rule(value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= 64 or not value.replace("-", "").isalnum():
            raise ValueError("must be the name of a header")
        return value.lower()

    return field(default=usual.lower(), metadata={"rule": rule})


def flag(usual: bool) -> Any:
    """true or false; `usual` is the default."""

    def rule(value: Any) -> bool:
        if not isinstance(value, bool):
            raise ValueError("must be true or false")
        return value

    return field(default=usual, metadata={"rule": rule})


@dataclass(frozen=True, slots=True)
class LogConfig:
    """[log]"""

    format: str = one_of("logfmt", "json")
    level: str = one_of("info", "debug", "warning", "error")  # the lowest level that is written
    per_topic_per_s: float = number(1.0, 0.001, 1000.0)
    burst: float = number(5.0, 1.0, 10_000.0)  # lines of a topic in a row, before the rate applies
    longest: int = number(400, 40, 2000, whole=True)  # characters of a line's text

    def check(self) -> None: ...


@dataclass(frozen=True, slots=True)
class RecorderConfig:
    """[recorder]"""

    batches: int = number(0, 0, 100_000, whole=True)  # batches kept in memory; 0: off
    folder: str = text("", 1000)
    on_stop: bool = flag(False)
    keep: int = number(8, 1, 1000, whole=True)  # files of this proxy kept in the folder

    @property
    def memory_mb(self) -> int:
        """Memory use: about 100 bytes for a batch, counted as 120, and 2 MB for two serialized module states of some
        300 nodes."""
        return 2 + self.batches * 120 // 1_000_000 if self.batches else 0

    def check(self) -> None:
        if not self.batches:
            return
        if not self.folder:
            raise InvalidSettingError("folder", "must be named while batches is not 0")
        if not os.path.isdir(self.folder):
            raise InvalidSettingError("folder", f"no such folder: {self.folder!r}")
        _check_writable(self.folder)
        from importlib.util import find_spec

        if not find_spec("msgspec"):
            raise InvalidSettingError(
                "batches", "needs msgspec, which is not installed: pip install 'slatehub[recorder]'"
            )


@dataclass(frozen=True, slots=True)
class StormsConfig:
    """[storms]"""

    watch: bool = flag(True)  # log when a storm begins and ends
    # Retry advice to refused callers, where the platform allows it.
    advice: str = one_of("appointments", "exponential", "fixed", "none")
    pace: bool = flag(True)  # limit the rate of new connections, from callers and to nodes, under load

    def check(self) -> None: ...


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """[fleet]. Off while `listen` is not set."""

    listen: tuple[str, int] | None = optional_address()  # UDP, for other proxies of this tier
    advertise: tuple[str, int] | None = optional_address()  # where others reach it, if not at `listen`
    # Some of the other proxies; the rest are discovered through them.
    seeds: tuple[tuple[str, int], ...] = address_list(16)
    name: str = text("", 64)  # of the fleet, the same at all its proxies
    key_file: str = text("", 1000)
    maintenance: str = one_of("own", "fleet")  # maintenance of nodes: at each proxy alone, or at all
    share: bool = flag(True)  # proxies exchange their loads and handle overload together

    @property
    def memory_mb(self) -> int:
        """Memory use: the serializer, and rows for 200 members."""
        return 4 if self.listen else 0

    def check(self) -> None:
        if not self.listen:
            return
        for key in ("name", "key_file"):
            if not getattr(self, key):
                raise InvalidSettingError(key, "must be set while listen is")
        from importlib.util import find_spec

        if not find_spec("msgspec"):
            raise InvalidSettingError(
                "listen", "needs msgspec, which is not installed: pip install 'slatehub[fleet]'"
            )
        self.read_keys()

    def read_keys(self) -> Any:
        """The current keys of the key file, the signing key first. Raises InvalidSettingError."""
        from .key_file import KeyFileError, read

        try:
            return read(self.key_file)
        except KeyFileError as problem:
            raise InvalidSettingError("key_file", f"{self.key_file!r}: {problem}") from None


@dataclass(frozen=True, slots=True)
class CopiesConfig:
    """[copies]. Off while `voters` is empty. Without a `folder` this proxy uses the voters but does not vote itself."""

    folder: str = text("", 1000)  # used by this proxy alone, on persistent storage
    # The proxies that form the group at first: 3 or 5, the same list at all proxies.
    voters: tuple[str, ...] = name_list(9, 64)
    most: int = number(50_000, 1_000, 2_000_000, whole=True)  # registers
    sync: bool = flag(True)  # false: a power loss may lose accepted state; a killed process loses none

    @property
    def memory_mb(self) -> int:
        """Memory use: a register of 150 bytes takes 780 bytes, counted as 1,000; the components take 6 MB."""
        return 6 + self.most // 1_000 if self.folder else 0

    def check(self) -> None:
        if self.folder and not self.voters:
            raise InvalidSettingError("voters", "must be set while folder is")
        if not self.voters:
            return
        if self.folder and not os.path.isdir(self.folder):
            raise InvalidSettingError("folder", f"no such folder: {self.folder!r}")
        from importlib.util import find_spec

        if not find_spec("crc32c"):
            raise InvalidSettingError(
                "voters", "needs crc32c, which is not installed: pip install 'slatehub[copies]'"
            )


@dataclass(frozen=True, slots=True)
class LedgerConfig:
    """[ledger]. Off while `classes` is empty."""

    # Classes whose requests must not run twice, whichever caller repeats them at whichever proxy.
    classes: tuple[str, ...] = name_list(32, 256)
    header: str = header_name("Idempotency-Key")  # in which a caller names its request
    require: bool = flag(True)  # a request of such a class without the header is rejected
    keep_s: int = number(86_400, 60, 30 * 86_400, whole=True)  # how long a repeat is recognized

    def check(self) -> None: ...


def _check_writable(folder: str) -> None:
    """Checks that a file can be created there, by creating one: the mount may be read-only or full."""
    path = os.path.join(folder, f".slatehub-{os.getpid()}.part")
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600))
        os.remove(path)
    except OSError as problem:
        raise InvalidSettingError("folder", f"cannot be written to: {folder!r}: {problem.strerror}") from None


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The whole file; each field is one of its tables."""

    log: LogConfig = LogConfig()
    recorder: RecorderConfig = RecorderConfig()
    storms: StormsConfig = StormsConfig()
    fleet: FleetConfig = FleetConfig()
    copies: CopiesConfig = CopiesConfig()
    ledger: LedgerConfig = LedgerConfig()


def read_operator_file(path: str) -> OperatorConfig:
    """Reads and checks the file at `path`; without a path, the defaults. Raises ConfigError, naming file and key."""
    if not path:
        return OperatorConfig()
    tree, usual = _read_toml(path), OperatorConfig()
    tables = {f.name: type(getattr(usual, f.name)) for f in fields(OperatorConfig)}
    _reject_unknown(path, "", tree, tuple(tables))
    found = {name: _read_table(path, name, tables[name], tree[name]) for name in tree}
    whole = OperatorConfig(**found)
    if whole.copies.voters and not whole.fleet.listen:
        raise ConfigError(f"{path}: copies.voters: needs a fleet: set fleet.listen")
    if whole.fleet.maintenance == "fleet" and not whole.copies.voters:
        raise ConfigError(f"{path}: fleet.maintenance: needs copies: set copies.voters")
    if whole.ledger.classes and not whole.copies.voters:
        raise ConfigError(f"{path}: ledger.classes: needs copies: set copies.voters")
    return whole


def _read_toml(path: str) -> dict[str, Any]:
    import tomllib

    try:
        return tomllib.loads(read_limited(path, MAX_FILE_BYTES).decode())
    except (OSError, ValueError, RecursionError) as problem:
        reason = problem.strerror if isinstance(problem, OSError) else problem
        raise ConfigError(f"{path}: cannot be read as TOML: {reason}") from None


def _reject_unknown(path: str, prefix: str, tree: dict[str, Any], names: tuple[str, ...]) -> None:
    for key in tree:
        if key not in names:
            raise ConfigError(f"{path}: {prefix}{key[:60]!s}: unknown; known are {', '.join(names)}")


def _read_table(path: str, name: str, kind: Any, tree: Any) -> Any:
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: {name}: must be a table")
    rules: dict[str, Rule] = {f.name: f.metadata["rule"] for f in fields(kind)}
    _reject_unknown(path, f"{name}.", tree, tuple(rules))
    key = ""
    try:
        values = {}
        for key, value in tree.items():
            values[key] = rules[key](value)
        table = kind(**values)
        table.check()
    except ValueError as problem:
        value_text = (
            f": {str(tree[key])[:60]!r}" if key and not isinstance(problem, InvalidSettingError) else ""
        )
        raise ConfigError(f"{path}: {name}.{getattr(problem, 'key', key)}: {problem}{value_text}") from None
    return table
