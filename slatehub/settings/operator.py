"""The operator's own file: TOML, named by `--operator` or SLATEHUB_OPERATOR. This file owns its tables, their keys,
defaults and bounds. It must never guess: an unknown key is an error, and every error names the file and the key.

A further table is a dataclass like those below and a line in `OperatorConfig`. Each field's rule checks one value;
`check` sees the whole table."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from .errors import ConfigError
from .file import whole as read_whole

LARGEST = 1024 * 1024  # bytes of the file
Rule = Callable[[Any], Any]  # the value as it is kept; ValueError says what is wrong with it


class InvalidSettingError(ValueError):
    """A value that is wrong only beside others."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(text)
        self.key = key


def one_of(usual: str, *others: str) -> Any:
    words = (usual, *others)

    def rule(value: Any) -> str:
        if not isinstance(value, str) or value not in words:
            raise ValueError(f"must be one of {', '.join(words)}")
        return value

    return field(default=usual, metadata={"rule": rule})


def number(usual: float, least: float, most: float, whole: bool = False) -> Any:
    kind = "whole number" if whole else "number"

    def rule(value: Any) -> float:
        good = isinstance(value, int if whole else (int, float)) and not isinstance(value, bool)
        if not good or not least <= value <= most:  # neither nan nor infinity is
            raise ValueError(f"must be a {kind} from {least:g} to {most:,}")
        return int(value) if whole else float(value)

    return field(default=usual, metadata={"rule": rule})


def text(usual: str, longest: int) -> Any:
    def rule(value: Any) -> str:
        if not isinstance(value, str) or len(value) > longest or not value.isprintable():
            raise ValueError(f"must be a text of at most {longest} characters")
        return value

    return field(default=usual, metadata={"rule": rule})


def place_text(value: Any) -> tuple[str, int]:
    """host:port of this or another machine: an address, as there is no name look-up."""
    from ipaddress import ip_address

    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        found = str(ip_address(host.strip("[]")))
    except ValueError:
        found = ""
    if not found or not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be ADDRESS:PORT, such as 10.0.0.4:7400")
    return found, int(port)


def place() -> Any:
    """None: not set."""

    def rule(value: Any) -> tuple[str, int] | None:
        return place_text(value) if value != "" else None

    return field(default=None, metadata={"rule": rule})


def places(most: int) -> Any:
    def rule(value: Any) -> tuple[tuple[str, int], ...]:
        if not isinstance(value, list) or len(value) > most:
            raise ValueError(f"must be a list of at most {most} addresses")
        return tuple(place_text(item) for item in value)

    return field(default=(), metadata={"rule": rule})


def words(most: int, longest: int) -> Any:
    def rule(value: Any) -> tuple[str, ...]:
        good = isinstance(value, list) and len(value) <= most and len({*map(str, value)}) == len(value)
        if not good or not all(
            isinstance(x, str) and 0 < len(x) <= longest and x.isprintable() for x in value
        ):
            raise ValueError(f"must be a list of at most {most} different names of 1 to {longest} characters")
        return tuple(value)

    return field(default=(), metadata={"rule": rule})


def header_name(usual: str) -> Any:
    """Kept in small letters."""

    def rule(value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= 64 or not value.replace("-", "").isalnum():
            raise ValueError("must be the name of a header")
        return value.lower()

    return field(default=usual.lower(), metadata={"rule": rule})


def flag(usual: bool) -> Any:
    def rule(value: Any) -> bool:
        if not isinstance(value, bool):
            raise ValueError("must be true or false")
        return value

    return field(default=usual, metadata={"rule": rule})


@dataclass(frozen=True, slots=True)
class LogConfig:
    """[log]"""

    format: str = one_of("logfmt", "json")
    level: str = one_of("info", "debug", "warning", "error")  # the least that is written
    per_topic_per_s: float = number(1.0, 0.001, 1000.0)
    burst: float = number(5.0, 1.0, 10_000.0)  # lines of a topic at once
    longest: int = number(400, 40, 2000, whole=True)  # characters of a line's text

    def check(self) -> None: ...


@dataclass(frozen=True, slots=True)
class RecorderConfig:
    """[recorder]"""

    batches: int = number(0, 0, 100_000, whole=True)  # kept in memory; 0: off
    folder: str = text("", 1000)
    on_stop: bool = flag(False)
    keep: int = number(8, 1, 1000, whole=True)  # files of this proxy in the folder

    @property
    def memory_mb(self) -> int:
        """What it will take, as measured: some 100 bytes for a batch, and two frozen modules of some 300 nodes."""
        return 2 + self.batches * 120 // 1_000_000 if self.batches else 0

    def check(self) -> None:
        if not self.batches:
            return
        if not self.folder:
            raise InvalidSettingError("folder", "must be named while batches is not 0")
        if not os.path.isdir(self.folder):
            raise InvalidSettingError("folder", f"no such folder: {self.folder!r}")
        _try(self.folder)
        from importlib.util import find_spec

        if not find_spec("msgspec"):
            raise InvalidSettingError(
                "batches", "needs msgspec, which is not installed: pip install 'slatehub[recorder]'"
            )


@dataclass(frozen=True, slots=True)
class StormsConfig:
    """[storms]"""

    watch: bool = flag(True)  # say in the log when a storm begins and ends
    advice: str = one_of("appointments", "exponential", "fixed", "none")  # to refused callers, where allowed
    pace: bool = flag(True)  # new connections, of callers and to nodes, under a crowd

    def check(self) -> None: ...


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """[fleet]. Off while `listen` is not set."""

    listen: tuple[str, int] | None = place()  # UDP, for other proxies of this tier
    advertise: tuple[str, int] | None = place()  # where others reach it, if not there
    seeds: tuple[tuple[str, int], ...] = places(16)  # some of the others; who is there is learnt from them
    name: str = text("", 64)  # of the fleet, the same at all
    key_file: str = text("", 1000)
    maintenance: str = one_of("own", "fleet")  # nodes out by hand: of each proxy, or of all of them
    share: bool = flag(True)  # what each carries is told, and overload is handled together

    @property
    def memory_mb(self) -> int:
        """What it takes, as measured: the serializer, and rows for 200 members."""
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
        """The keys of the file, the signing one first, as they are now. InvalidSettingError."""
        from .key_file import KeyFileError, read

        try:
            return read(self.key_file)
        except KeyFileError as problem:
            raise InvalidSettingError("key_file", f"{self.key_file!r}: {problem}") from None


@dataclass(frozen=True, slots=True)
class CopiesConfig:
    """[copies]. Off while `voters` names none; without a `folder` this proxy asks the voters, and does not vote."""

    folder: str = text("", 1000)  # of this proxy alone, on a disk that lasts
    voters: tuple[str, ...] = words(9, 64)  # the proxies that found the group: 3 or 5, the same list at all
    most: int = number(50_000, 1_000, 2_000_000, whole=True)  # registers
    sync: bool = flag(True)  # false: a loss of power may take promises along; a kill does not

    @property
    def memory_mb(self) -> int:
        """780 bytes for a register of 150 bytes, as measured; 1,000 are reckoned, and 6 MB for the parts."""
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
    """[ledger]. Off while `classes` names none."""

    classes: tuple[str, ...] = words(
        32, 256
    )  # whose orders must not run twice, whoever repeats them and where
    header: str = header_name("Idempotency-Key")  # in which a caller names its order
    require: bool = flag(True)  # an order of such a class without it is turned down
    keep_s: int = number(86_400, 60, 30 * 86_400, whole=True)  # for so long a repeat is known

    def check(self) -> None: ...


def _try(folder: str) -> None:
    """Whether a file can be made there. Only trying tells: a mount may be read-only or full."""
    path = os.path.join(folder, f".slatehub-{os.getpid()}.part")
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600))
        os.remove(path)
    except OSError as problem:
        raise InvalidSettingError("folder", f"cannot be written to: {folder!r}: {problem.strerror}") from None


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The whole file; each field is a table of it."""

    log: LogConfig = LogConfig()
    recorder: RecorderConfig = RecorderConfig()
    storms: StormsConfig = StormsConfig()
    fleet: FleetConfig = FleetConfig()
    copies: CopiesConfig = CopiesConfig()
    ledger: LedgerConfig = LedgerConfig()


def read_operator_file(path: str) -> OperatorConfig:
    """The file at `path`, checked; without one all is as usual. ConfigError names the file and the key."""
    if not path:
        return OperatorConfig()
    tree, usual = _tree(path), OperatorConfig()
    tables = {f.name: type(getattr(usual, f.name)) for f in fields(OperatorConfig)}
    _known(path, "", tree, tuple(tables))
    found = {name: _table(path, name, tables[name], tree[name]) for name in tree}
    whole = OperatorConfig(**found)
    if whole.copies.voters and not whole.fleet.listen:
        raise ConfigError(f"{path}: copies.voters: needs a fleet: set fleet.listen")
    if whole.fleet.maintenance == "fleet" and not whole.copies.voters:
        raise ConfigError(f"{path}: fleet.maintenance: needs copies: set copies.voters")
    if whole.ledger.classes and not whole.copies.voters:
        raise ConfigError(f"{path}: ledger.classes: needs copies: set copies.voters")
    return whole


def _tree(path: str) -> dict[str, Any]:
    import tomllib

    try:
        return tomllib.loads(read_whole(path, LARGEST).decode())
    except (OSError, ValueError, RecursionError) as problem:
        reason = problem.strerror if isinstance(problem, OSError) else problem
        raise ConfigError(f"{path}: cannot be read as TOML: {reason}") from None


def _known(path: str, prefix: str, tree: dict[str, Any], names: tuple[str, ...]) -> None:
    for key in tree:
        if key not in names:
            raise ConfigError(f"{path}: {prefix}{key[:60]!s}: unknown; known are {', '.join(names)}")


def _table(path: str, name: str, kind: Any, tree: Any) -> Any:
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: {name}: must be a table")
    rules: dict[str, Rule] = {f.name: f.metadata["rule"] for f in fields(kind)}
    _known(path, f"{name}.", tree, tuple(rules))
    key = ""
    try:
        values = {}
        for key, value in tree.items():
            values[key] = rules[key](value)
        terms = kind(**values)
        terms.check()
    except ValueError as problem:
        shown = f": {str(tree[key])[:60]!r}" if key and not isinstance(problem, InvalidSettingError) else ""
        raise ConfigError(f"{path}: {name}.{getattr(problem, 'key', key)}: {problem}{shown}") from None
    return terms
