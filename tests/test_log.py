"""The lines of the log, the writer that outputs them, and the operator's file that configures both."""

from __future__ import annotations

import fcntl
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from proxy_rig import ROOT, ProxyRig, build_request, running_proxy, settings, wait_until

from slatehub.observe.log import MAX_LINE_BYTES, MAX_TOPICS, MAX_VALUE_CHARS, EventLog, sanitize
from slatehub.observe.nonblocking_writer import NonBlockingWriter, _write_if_ready
from slatehub.settings import operator
from slatehub.settings.errors import ConfigError
from slatelab.reserved_address import ReservedAddress

UNUSUAL_STRINGS = [
    "\n",
    "\r\n",
    "\x00",
    "\x1b[2J",
    "\x85",
    "\u2028",
    "\u202e",
    "\ud800",
    '"',
    "\\",
    "=",
    " ",
    "😀",
    "x" * 900,
]
RESERVED_FIELDS = ["time", "msg", "proxy", "topic", "tier"]
TEXT = st.lists(st.one_of(st.text(max_size=30), st.sampled_from(UNUSUAL_STRINGS)), max_size=8).map("".join)
VALUE = st.one_of(TEXT, st.integers(), st.floats(), st.booleans(), st.binary(max_size=9))
KEYS = TEXT.filter(lambda key: key != "level") | st.sampled_from(RESERVED_FIELDS)


class ParsedLine(NamedTuple):
    level: str
    topic: str
    text: str
    fields: dict[str, str]


def reject_constant(word: str) -> None:
    raise ValueError(f"{word} is not valid JSON")


def parse(line: str) -> ParsedLine:
    """Parses a line as a logfmt or JSON parser does, and checks that it is well-formed."""
    if line.startswith("{"):
        found = {key: str(value) for key, value in json.loads(line, parse_constant=reject_constant).items()}
    else:
        pairs = re.findall(r'(?:^| )([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|[^ "]*)', line)
        assert " ".join(f"{key}={value}" for key, value in pairs) == line and len(dict(pairs)) == len(pairs)
        found = {k: re.sub(r"\\(.)", r"\1", v[1:-1]) if v.startswith('"') else v for k, v in pairs}
    return ParsedLine(found.pop("level"), found.pop("topic"), found.pop("msg"), found)


def log_lines(write: Callable[[EventLog], None], **terms: Any) -> list[str]:
    out: list[bytes] = []
    log = EventLog(lambda line: not out.append(line), lambda: 0.0, lambda: 1_700_000_000_123_456_789)
    log.configure(proxy="p-0", tier=1, **terms)
    write(log)
    return [line.decode() for line in out]


@pytest.mark.parametrize("form", ["logfmt", "json"])
@hypo(derandomize=True, database=None, deadline=None, max_examples=300)
@given(topic=TEXT, text=TEXT, fields=st.dictionaries(KEYS, VALUE, max_size=20), longest=st.integers(40, 2000))
def test_any_event_is_written_as_one_bounded_line(
    form: str, topic: str, text: str, fields: dict[str, Any], longest: int
) -> None:
    (line,) = log_lines(
        lambda log: log.log_event(topic, text, level="warning", **fields), format=form, longest=longest
    )
    assert len(line.encode()) <= MAX_LINE_BYTES and line.endswith("\n") and line[:-1].isprintable()
    parsed = parse(line[:-1])
    assert (parsed.level, parsed.fields["proxy"], parsed.fields["tier"]) == ("warning", "p-0", "1")
    assert parsed.topic == sanitize(topic, 40) and len(parsed.text) <= longest
    expected = sanitize(text, longest)
    assert parsed.text == expected or (
        len(line.encode()) > MAX_LINE_BYTES // 2 and expected.startswith(parsed.text)
    )
    for key, value in fields.items():
        if (
            re.fullmatch("[A-Za-z_][A-Za-z0-9_]{,39}", key)
            and key not in RESERVED_FIELDS
            and isinstance(value, str)
            and value
        ):
            assert parsed.fields.get(key, sanitize(value, MAX_VALUE_CHARS)) == sanitize(
                value, MAX_VALUE_CHARS
            )


def test_a_line_has_its_time_and_only_the_fields_that_are_there() -> None:
    (line,) = log_lines(
        lambda log: log.log_event("nodes", "it broke", "error", node="s-1", request=None, where="")
    )
    assert line == (
        'time=2023-11-14T22:13:20.123Z level=error topic=nodes msg="it broke" proxy=p-0 tier=1 node=s-1\n'
    )


def test_a_topic_is_rate_limited_and_reports_suppressed_lines() -> None:
    out: list[bytes] = []
    now, accepts = [0.0], [True]
    log = EventLog(lambda line: accepts[0] and not out.append(line), lambda: now[0])
    log.configure(per_topic_per_s=2.0, burst=3.0, level="info", format="json")
    for i in range(10):
        log.log_event("a", str(i))
        log.log_event("a", "below", "debug")
    log.log_event("b", "another topic is not held back")
    now[0] = 0.5
    accepts[0] = False
    log.log_event("a", "the reader has gone")
    accepts[0] = True
    now[0] = 1.0
    log.log_event("a", "here again")
    now[0] = 1.5
    log.log_event("a", "and again")
    records = [json.loads(line) for line in out]
    assert [line["msg"] for line in records[2:]] == [
        "2",
        "another topic is not held back",
        "here again",
        "and again",
    ]
    assert [(line.get("suppressed", 0), line.get("lost", 0)) for line in records[-2:]] == [(7, 1), (0, 0)]
    for i in range(2 * MAX_TOPICS):
        log.log_event(f"topic {i}", "x")
    assert len(log.topic_limits) <= MAX_TOPICS + 1


def test_a_full_pipe_or_socket_accepts_whole_lines_only_and_never_blocks() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        accepted = server.accept()[0]
    for reader, writer in (socket.socketpair(), (accepted, client), os.pipe()):
        fds = [end if isinstance(end, int) else end.detach() for end in (reader, writer)]
        log_writer, last = NonBlockingWriter(fds[1]), b"last" + b"x" * 3000 + b"\n"
        # A full connection still gains room for a while, as data moves on to the receiver's buffer.
        lines, taken, refused = (b"%06d" % i + b"x" * 3000 + b"\n" for i in count()), [], 0
        while refused < 50:
            if log_writer(line := next(lines)):
                taken.append(line)
                refused = 0
            else:
                refused += 1
                time.sleep(0.002)
        with pytest.raises(BlockingIOError):
            _write_if_ready(fds[1], b"x")  # the fallback where the descriptor cannot be reopened
        assert taken and os.get_blocking(fds[1])  # the mode for other writers of the descriptor is unchanged
        read = b""
        while not read.endswith(last):
            read += os.read(fds[0], 1 << 20)
            log_writer(last)
        # Every line is whole, none is missing, and they are in order.
        assert [line for line in read.splitlines(True) if line != last] == taken
        os.close(fds[0])
        assert not log_writer(last) and not NonBlockingWriter(-1)(last)
        os.close(fds[1])


@contextmanager
def running_proxy_with_stderr(tmp: Path, code: str = "", **popen: Any) -> Iterator[ProxyRig]:
    """A proxy whose standard error the test provides; it must exit with status 0."""
    with (
        ReservedAddress() as listen,
        running_proxy(tmp, listen=str(listen), code=code, popen=popen) as p,
    ):
        wait_until(lambda: socket.socket().connect_ex(p.program.address) == 0)
        yield p
        p.program.process.send_signal(signal.SIGTERM)
        assert p.program.process.wait(20) == 0


def serves_request(p: ProxyRig) -> bool:
    return p.program.request(build_request("ok"))[0] == 200


def test_an_unread_log_does_not_block_and_reports_lost_lines(tmp_path: Path) -> None:
    reader, writer = os.pipe()
    size = fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.write(writer, b"x" * (size - 1) + b"\n")
    with running_proxy_with_stderr(tmp_path, stderr=writer) as p:
        p.program.process.send_signal(signal.SIGHUP)  # causes a log line
        assert serves_request(p) and serves_request(p)
        assert len(os.read(reader, size)) == size  # no part of a log line was written
        p.program.process.send_signal(signal.SIGHUP)
        line = parse(os.read(reader, size).decode().splitlines()[0])
        assert line.topic == "settings" and int(line.fields["lost"]) == 2
        os.close(reader)
        assert serves_request(p)
    os.close(writer)


def test_a_file_with_the_number_of_a_closed_standard_error_is_not_written_to(
    tmp_path: Path,
) -> None:
    file = tmp_path / "something else"
    code = f"import os; os.stat({str(file)!r}) and 0; assert os.open({str(file)!r}, os.O_WRONLY) == 2"
    file.touch()
    with running_proxy_with_stderr(tmp_path, code, preexec_fn=lambda: os.close(2)) as p:
        p.program.process.send_signal(signal.SIGHUP)
        assert serves_request(p) and serves_request(p)
    assert not file.read_bytes()


def test_an_uncaught_exception_is_logged_without_a_traceback(tmp_path: Path) -> None:
    code = "import gevent; gevent.spawn_later(0.1, lambda: 1 / 0)"
    with running_proxy(tmp_path, code=code, faults=True) as p:
        wait_until(lambda: any("ZeroDivisionError" in line for line in list(p.program.log)))
        (line,) = [parse(line.rstrip()) for line in p.program.log if "ZeroDivisionError" in line]
        assert (line.level, line.topic, line.fields["where"]) == ("error", "fault", "<string>:1")
        assert not any("Traceback" in line for line in p.program.log)


# ---------------------------------------------------------------- the operator's file

INVALID_FILES = {
    "log.format": '[log]\nformat = "xml"',
    "log.level": '[log]\nlevel = "Info"',
    "log.per_topic_per_s": "[log]\nper_topic_per_s = 0",
    "log.burst": "[log]\nburst = nan",
    "log.longest": "[log]\nlongest = 400.5",
    "log.longest:": "[log]\nlongest = 2001",
    "log.colour": "[log]\ncolour = true",
    "logs": "[logs]",
    "log: must": "log = 3",
    "recorder.batches": "[recorder]\nbatches = 100001",
    "recorder.batches:": "[recorder]\nbatches = true",
    "recorder.folder": "[recorder]\nbatches = 10",
    "recorder.folder:": '[recorder]\nbatches = 10\nfolder = "/proc/nowhere"',
    "recorder.folder: cannot": '[recorder]\nbatches = 10\nfolder = "/proc"',
    "recorder.on_stop": "[recorder]\non_stop = 1",
    "recorder.keep": "[recorder]\nkeep = 0",
    "cannot be read as TOML": "[log",
    "cannot be read as TOML:": "a = " + "[" * 100_000,
    "larger than": "#" * (operator.MAX_FILE_BYTES + 1),
}


@pytest.mark.parametrize("key", INVALID_FILES)
def test_a_fault_in_the_operators_file_names_file_and_key(tmp_path: Path, key: str) -> None:
    path = tmp_path / "own.toml"
    path.write_text(INVALID_FILES[key])
    with pytest.raises(ConfigError) as found:
        operator.read_operator_file(str(path))
    assert (
        str(found.value).startswith(f"{path}: ") and key in str(found.value) and len(str(found.value)) < 400
    )


def test_a_recorder_without_its_library_says_what_to_install(tmp_path: Path, monkeypatch: Any) -> None:
    (tmp_path / "own.toml").write_text(f'[recorder]\nbatches = 10\nfolder = "{tmp_path}"')
    assert operator.read_operator_file(str(tmp_path / "own.toml")).recorder.memory_mb == 2
    monkeypatch.setattr("importlib.util.find_spec", lambda name: None)
    with pytest.raises(ConfigError, match=r"recorder\.batches: needs msgspec.*pip install"):
        operator.read_operator_file(str(tmp_path / "own.toml"))


@pytest.mark.parametrize("command", ["serve", "check-config"])
@pytest.mark.parametrize("by", ["option", "environment"])
def test_an_invalid_operators_file_ends_the_program_with_2(tmp_path: Path, command: str, by: str) -> None:
    tree = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "ff",
        "settings": settings(),
    }
    (tmp_path / "config.json").write_text(json.dumps(tree))
    (tmp_path / "own.toml").write_text("[log]\nburst = 0")
    name, env = str(tmp_path / "own.toml"), {**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json")}
    argv = [
        sys.executable,
        "-B",
        "-m",
        "slatehub",
        command,
        *(["--operator", name] if by == "option" else []),
    ]
    env |= {"SLATEHUB_OPERATOR": name} if by == "environment" else {}
    done = subprocess.run(argv, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert (
        done.returncode == 2
        and f"{name}: log.burst: must be" in done.stderr
        and "Traceback" not in done.stderr
    )


def _as_list(value: object) -> object:
    return list(value) if isinstance(value, tuple) else value


def test_the_example_file_holds_every_key_and_its_default(tmp_path: Path) -> None:
    import tomllib

    lines = (ROOT / "deploy" / "slatehub.example.toml").read_text().splitlines()
    tree = tomllib.loads("\n".join(line.removeprefix("#") if " = " in line else line for line in lines))
    defaults = operator.OperatorConfig()
    assert tree == {
        "log": {name: getattr(defaults.log, name) for name in defaults.log.__slots__},
        "recorder": {name: getattr(defaults.recorder, name) for name in defaults.recorder.__slots__},
        "storms": {name: getattr(defaults.storms, name) for name in defaults.storms.__slots__},
        "fleet": tree["fleet"],
        "copies": {name: _as_list(getattr(defaults.copies, name)) for name in defaults.copies.__slots__},
        "ledger": {name: _as_list(getattr(defaults.ledger, name)) for name in defaults.ledger.__slots__},
    }
    assert operator.read_operator_file(str(ROOT / "deploy" / "slatehub.example.toml")).fleet == defaults.fleet
    shown = {key: value for key, value in tree["fleet"].items() if value not in ("", [])}
    assert set(tree["fleet"]) == set(defaults.fleet.__slots__) and shown == {
        "share": True,
        "maintenance": "own",
    }


def test_modules_of_disabled_features_are_not_loaded(tmp_path: Path) -> None:
    code = "import atexit, sys; atexit.register(lambda: print(*sys.modules, file=sys.stderr))"
    with running_proxy(tmp_path, code=code) as p:
        p.program.process.send_signal(signal.SIGTERM)
        assert p.program.process.wait(20) == 0
        wait_until(lambda: " gevent " in p.program.log[-1])
        loaded = set(p.program.log[-1].split())
    assert "logfmter" in loaded and not loaded & {"tomllib", "msgspec", "slatehub.observe.recorder"}
    disabled = (
        "fleet",
        "copies",
        "store",
        "handover",
        "mgmt",
        "cli.fleet",
        "cli.copies",
        "cli.store",
        "cli.process",
    )
    assert not [name for name in loaded if name.startswith(tuple(f"slatehub.{part}" for part in disabled))]


def test_sighup_applies_both_files_or_neither(tmp_path: Path) -> None:
    def reload(p: ProxyRig, own: str, line: str, **change: object) -> str:
        (tmp_path / "operator.toml").write_text(own)
        tree = json.loads((tmp_path / "config.json").read_text())
        (tmp_path / "config.json").write_text(json.dumps({**tree, **change}))
        before = len(p.program.log)
        p.program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: any(line in x for x in p.program.log[before:]))
        return next(x for x in p.program.log[before:] if line in x)

    (tmp_path / "msgspec.py").write_text("raise OSError('torn')")  # exists, but fails to import
    with running_proxy(
        tmp_path, own="[log]\nburst = 100", code=f"import sys; sys.path.insert(0, {str(tmp_path)!r})"
    ) as p:
        tree = json.loads((tmp_path / "config.json").read_text())
        logged = reload(p, "[log]\nburst = 100\nformat = 'JSON'", "old ones stay in force")
        assert (
            logged.startswith("time=") and "operator.toml: log.format: must be one of logfmt, json" in logged
        )
        broken = f"[recorder]\nbatches = 9\nfolder = '{tmp_path}'\n[log]\nformat = 'json'"
        assert reload(p, broken, "stay in force: recorder.batches: cannot record: OSError: torn").startswith(
            "time="
        )
        invalid_members = {"members": [{"id": "s-1", "phase": "ASLEEP"}]}
        valid = "[log]\nburst = 100\nformat = 'json'"
        assert reload(
            p, valid, "old ones stay in force: EDGE_CONFIG: known", known=invalid_members
        ).startswith("time=")
        assert (
            json.loads(reload(p, valid, "read again and in force", known=tree["known"]))["topic"]
            == "settings"
        )
