"""The flight recorder: its ring, its files, and their replay in the lab."""

from __future__ import annotations

import errno
import hashlib
import os
import pickle
import re
import shutil
import signal
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from click.testing import CliRunner, Result
from proxy_rig import ROOT, SAFE_CLASS, UNSAFE_CLASS, ProxyRig, build_request, running_proxy, wait_until

from paddlestep.balance import Balancer
from paddlestep.interface import Effect, Entry, ListKind, ServiceClass, Settings, Status
from slatehub.cli.recorder_lifecycle import module_sha256
from slatehub.core.commands import StartAttempt
from slatehub.core.dispatcher import Dispatcher
from slatehub.core.jobs import Answer, Attempt, Job
from slatehub.observe import flight, recorder
from slatehub.observe.recorder import FlightRecorder
from slatelab.replay import replayer
from slatelab.replay.command import command

KINDS = (
    ServiceClass("look", Effect.SAFE, aim_us=300_000, deadline_us=900_000),
    ServiceClass("buy", aim_us=300_000),
)
SETTINGS = Settings(
    KINDS, siblings=3, tick_us=5_000, may_cancel=True, cold_from=0.3, warm_after_us=10_000_000
)
STATUSES = [Status.OK, Status.OK, Status.OK, Status.FULL, Status.ERROR, Status.RESET, Status.TIMEOUT]


class IgnoringFront:
    def answer(self, job: Job, answer: Answer) -> None: ...

    def may_begin(self, job: Job) -> bool:
        return True


class RecordedRun:
    """A dispatcher under load with a recorder, without a clock or a socket."""

    def __init__(self, folder: Path, batches: int, nodes: int = 5, keep: int = 8) -> None:
        self.dispatcher = Dispatcher(SETTINGS, 7, 1000)
        self.now, self.serial, self.out = 10_000_000, 0, list[Attempt]()
        names = {n + 1: f"s-{n}" for n in range(nodes)}
        self.recorder = self.dispatcher.recorder = FlightRecorder(
            lambda: self.dispatcher.balancer, lambda: names, batches
        )
        self.recorder.configure(("p-0", 0, "0.1", module_sha256()), batches, str(folder), keep)
        self.dispatcher.update_nodes(
            self.now, ListKind.FULL, 1, tuple(Entry(n, since_us=9_000_000 * (n == 1)) for n in names)
        )

    def work(self, batches: int) -> None:
        """Jobs arrive faster than attempts end, so that some wait and some are refused. Attempts end in all ways."""
        for _ in range(batches):
            self.now += 3_000
            self.serial += 1
            job = Job(f"r{self.serial}", self.serial % 2, 0, self.now + 400_000, None, IgnoringFront())
            self.dispatcher.submit(self.now, job)
            if self.serial % 3 and self.out:
                self.dispatcher.attempt_ended(
                    self.now, self.out.pop(0), STATUSES[self.serial % len(STATUSES)], (1.5,)
                )
            if self.serial % 50 == 0:
                self.dispatcher.apply_settings(SETTINGS, 1000)
            self.dispatcher.run_due_timers(self.now)
            self.process_batch()

    def process_batch(self) -> None:
        self.dispatcher.process_batch(self.now)
        self.out += [act.attempt for act in self.dispatcher.take_commands() if isinstance(act, StartAttempt)]

    def file(self, reason: str = "asked") -> Path:
        assert self.recorder.write(reason)
        assert self.recorder.write_greenlet
        self.recorder.write_greenlet.join(20)
        return max(Path(self.recorder.folder).glob(f"*-{reason}.flight"))


def replay(*words: object) -> Result:
    done = CliRunner().invoke(command, [str(word) for word in words])
    assert done.exception is None or isinstance(done.exception, SystemExit), done.exception
    return done


@pytest.mark.parametrize("batches", [1, 7, 200, 100_000])
def test_a_ring_of_any_size_replays_from_its_oldest_generation(tmp_path: Path, batches: int) -> None:
    run = RecordedRun(tmp_path, batches)
    for part in range(12):
        run.work(1 + 29 * part)
        read = flight.read(run.file())
        assert len(read.batches) <= batches and (
            run.serial <= batches or 2 * len(read.batches) >= batches - 1
        )
        assert all(step.matches for step in replayer.replay_batches(read, "paddlestep"))
    assert len(list(tmp_path.iterdir())) == 8  # `keep`: the oldest were removed


def test_a_ring_is_bounded_in_bytes_too(tmp_path: Path, monkeypatch: Any) -> None:
    monkeypatch.setattr(recorder, "MAX_GENERATION_BYTES", 20_000)
    run = RecordedRun(tmp_path, 100_000)
    for _ in range(20):
        run.work(100)
        assert run.recorder.ring and sum(g.size_bytes for g in run.recorder.ring.generations()) < 42_000
    assert replay(run.file()).exit_code == 0


def test_a_request_is_explained_by_its_id(tmp_path: Path) -> None:
    run = RecordedRun(tmp_path, 1000, nodes=3)
    run.work(400)
    path = run.file()
    done = [replay(path, "--request", f"r{n}", "--limit", "2") for n in range(1, 400, 7)]
    assert {one.exit_code for one in done} == {0}  # explaining a request does not change the replay
    output = "\n".join(one.output for one in done)
    for words in (
        "refused: ", " >= room for ", "sent: the soonest answer expected", "held: ", "served", "and 1 nodes more",
        "to be tried again: ended as", "near home", "chosen", "FULL", "s-2", "class look (safe)",
    ):  # fmt: skip
        assert words in output, words
    done = replay(path, "--request", "nobody")
    assert done.exit_code == 2 and "no request nobody" in done.output and "from r1 to r400" in done.output


def test_a_file_cut_anywhere_or_altered_is_unreadable(tmp_path: Path) -> None:
    run = RecordedRun(tmp_path, 100)
    run.work(10)
    data, path = run.file().read_bytes(), tmp_path / "cut.flight"
    path.write_bytes(data)
    for size in reversed(range(len(data))):
        os.truncate(path, size)
        with pytest.raises(flight.RecordingError):
            flight.read(path)
    for bad in (
        data[:300],
        data[:2000] + b"!" + data[2001:],
        data.replace(b"flight 1", b"flight 2"),
        b"",
        data + b"!",
    ):
        path.write_bytes(bad)
        done = replay(path)
        assert done.exit_code == 2 and done.output.startswith("slatelab: ") and done.output.count("\n") == 1
    assert [replay(place).exit_code for place in (tmp_path, tmp_path / "nowhere")] == [2, 2]
    assert replay(run.file(), "--tree", tmp_path).exit_code == 2


class HostilePickle:
    def __reduce__(self) -> Any:
        return os.mkdir, (HostilePickle.place,)

    place = ""


def test_a_hostile_file_runs_nothing(tmp_path: Path) -> None:
    HostilePickle.place = str(tmp_path / "made")
    run = RecordedRun(tmp_path, 100)
    run.work(3)
    read = flight.read(run.file())
    path, header = tmp_path / "evil.flight", replace(read.header, batches=0)
    states = {
        "names posix.mkdir": pickle.dumps(HostilePickle()),
        "names posix.getcwd": pickle.dumps(os.getcwd),
        "names paddlestep.balance.exp": b"cpaddlestep.balance\nexp\n.",  # which the module only imports
        "is not a Balancer": pickle.dumps([]),
        "cannot be read": b"\x80",
    }
    for words, state in states.items():
        path.write_bytes(b"".join(flight.encode_file(header, state, {}, [])))
        done = replay(path)
        assert done.exit_code == 2 and words in done.output, done.output
    for data in (b"\xff\xff\xff\xff", b"\x00" * 100, os.urandom(50)):
        body = flight.MAGIC + data
        path.write_bytes(body + hashlib.sha256(body).digest())
        assert replay(path).exit_code == 2
    assert not (tmp_path / "made").exists()


LATER = """
handle = Balancer.handle
def late(self, now_us, events):
    done = handle(self, now_us, events)
    return [SetTimer(a.delay_us + 1, a.token) if isinstance(a, SetTimer) else a for a in done]
Balancer.handle = late
"""


def test_another_module_is_reported_with_its_first_differing_action(tmp_path: Path) -> None:
    run = RecordedRun(tmp_path, 1000)
    run.work(200)
    for name in ("same", "other", "broken"):
        shutil.copytree(ROOT / "paddlestep", tmp_path / name / "paddlestep")
    text = (tmp_path / "same/paddlestep/balance.py").read_text()
    (tmp_path / "same/paddlestep/balance.py").write_text(text + "\n# another text\n")
    (tmp_path / "other/paddlestep/balance.py").write_text(text + LATER)
    (tmp_path / "broken/paddlestep/balance.py").write_text(text + "\n1 / 0\n")
    path = run.file()
    done = replay(path, "--tree", tmp_path / "same")
    assert done.exit_code == 0 and "the module's text differs" in done.output
    done = replay(path, "--tree", tmp_path / "other")
    assert done.exit_code == 1 and "differs at batch" in done.output and "played:   SetTimer(" in done.output
    assert replay(path, "--tree", tmp_path / "broken").exit_code == 2
    assert "differs" not in replay(path).output


def test_a_replay_says_that_a_module_with_other_names_leaves_decisions_unexplained(tmp_path: Path) -> None:
    """The observer replaces methods by name; a tree from before a rename would silently show no decisions."""
    run = RecordedRun(tmp_path, 1000)
    run.work(50)
    shutil.copytree(ROOT / "paddlestep", tmp_path / "old/paddlestep")
    module = tmp_path / "old/paddlestep/balance.py"
    names = "on_arrival", "retry_or_finish", "on_overdue", "finish_unserved", "pick_server", "over_allowance"
    module.write_text(re.sub(rf"\b({'|'.join(names)})\b", r"\1_old", module.read_text()))
    path, line = run.file(), f"the decision module of {tmp_path / 'old'} has other names"
    done = replay(path, "--request", "r7", "--tree", tmp_path / "old")
    assert done.exit_code == 0 and "the same actions in all" in done.output
    said = [one for one in done.output.splitlines() if one.startswith(line)]
    assert len(said) == 1 and said[0].endswith("no explanations of single decisions")
    assert all(name in said[0] for name in names) and not re.search(r"batch \d+: ", done.output)
    done = replay(path, "--request", "r7")
    assert "has other names" not in done.output and re.search(r"batch \d+: ", done.output)


def test_a_module_fault_is_recorded_and_replays_with_the_same_fault(tmp_path: Path, monkeypatch: Any) -> None:
    arrive, problem = Balancer.on_arrival, KeyError("sixty")

    def broken(self: Balancer, a: Any) -> None:
        if a.request == 60:
            raise problem
        arrive(self, a)

    monkeypatch.setattr(Balancer, "on_arrival", broken)
    run = RecordedRun(tmp_path, 40)
    run.work(61)  # the recorder continues with a new ring
    gevent.sleep(0)
    assert run.recorder.write_greenlet is None or run.recorder.write_greenlet.join(20) is None
    (path,) = tmp_path.glob("*-fault.flight")
    read = flight.read(path)
    assert read.batches[-1].names == ("r60",) and read.batches[-1].actions is None
    done = replay(path)
    assert done.exit_code == 0 and "fails as it did: KeyError: 'sixty'" in done.output
    problem = KeyError("sixty-one")
    assert replay(path).exit_code == 1
    monkeypatch.undo()
    done = replay(path)
    assert done.exit_code == 1 and "recorded: the module failed" in done.output
    assert len(flight.read(run.file()).batches) == 1


def test_a_full_disk_or_a_missing_folder_is_logged(tmp_path: Path, monkeypatch: Any) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        recorder, "log_event", lambda topic, text, level="info", **fields: logged.append(f"{level} {text}")
    )
    folder = tmp_path / "flights"
    folder.mkdir()
    (folder / "p_0-notes.txt").write_text("not ours")
    (folder / ".p_0-20200101T000000.000000Z-stop.flight.part").write_text("")
    os.utime(folder / ".p_0-20200101T000000.000000Z-stop.flight.part", (0, 0))
    run = RecordedRun(folder, 100, keep=1)
    run.work(10)
    run.file()
    assert sorted(x.name.partition("-")[0] for x in folder.iterdir()) == [
        "p_0",
        "p_0",
    ]  # the abandoned file was removed
    with monkeypatch.context() as full:
        full.setattr(
            os, "fsync", lambda fd: (_ for _ in ()).throw(OSError(errno.ENOSPC, "No space left on device"))
        )
        run.file()
    shutil.rmtree(folder)
    assert run.recorder.write("asked") and not run.recorder.write("asked")  # one write at a time
    run.recorder.finish(True)
    assert [line.split(":")[0] for line in logged] == [
        "info a recording has been written", "error cannot write a recording",
        "warning still writing the last file", "error cannot write a recording", "error cannot write a recording",
    ]  # fmt: skip
    run.work(10)
    assert run.recorder.ring


# ---------------------------------------------------------------- a real proxy


def files(folder: Path, reason: str) -> list[Path]:
    return sorted(folder.glob(f"n0-*-{reason}.flight"))


def load(p: ProxyRig, first: int, count: int) -> None:
    acts = ["ok", "ok", "ok", "full", "error", "reset", "stale"]

    def ask(n: int) -> None:
        p.program.request(
            build_request(
                acts[n % 7], SAFE_CLASS if n % 2 else UNSAFE_CLASS, X_Request_ID=f"r{n}", X_Timeout="3000m"
            )
        )

    with ThreadPoolExecutor(8) as pool:
        list(pool.map(ask, range(first, first + count)))


def test_a_proxy_under_load_writes_replayable_files_on_sigusr2_and_at_its_end(tmp_path: Path) -> None:
    folder = tmp_path / "flights"
    folder.mkdir()
    operator_file = f"[recorder]\nbatches = 400\nfolder = '{folder}'\non_stop = true\n"
    with running_proxy(tmp_path, nodes=3, own=operator_file) as p, ThreadPoolExecutor(1) as pool:
        load(p, 0, 150)
        busy = pool.submit(load, p, 150, 150)
        p.program.process.send_signal(signal.SIGUSR2)
        (asked,) = wait_until(lambda: files(folder, "asked"))
        busy.result()
        p.program.process.send_signal(signal.SIGTERM)
        assert p.program.process.wait(20) == 0
    (stop,) = files(folder, "stop")
    for path in (asked, stop):
        done = replay(path)
        assert done.exit_code == 0 and "recorded by n0, tier 0" in done.output
    done = replay(stop, "--request", "r299")
    assert done.exit_code == 0 and "request r299 " in done.output and "s-" in done.output
    assert flight.read(stop).header.module == module_sha256()


def test_sighup_switches_it_on_and_off_and_sigusr2_never_ends_the_proxy(tmp_path: Path) -> None:
    folder, own = tmp_path / "flights", tmp_path / "operator.toml"
    folder.mkdir()
    with running_proxy(tmp_path, own="[log]\nburst = 100") as p:

        def signal_and_wait(number: int, words: str) -> None:
            before = len(p.program.log)
            p.program.process.send_signal(number)
            wait_until(lambda: any(words in line for line in p.program.log[before:]))

        signal_and_wait(signal.SIGUSR2, "is off, so there is nothing to write")
        own.write_text(f"[log]\nburst = 100\n[recorder]\nbatches = 100\nfolder = '{folder}'")
        signal_and_wait(signal.SIGHUP, "read again and in force")
        load(p, 0, 30)
        own.write_text("[recorder]\nbatches = 100\nfolder = '/proc'")
        signal_and_wait(signal.SIGHUP, "old ones stay in force")
        signal_and_wait(signal.SIGUSR2, "a recording has been written")
        own.write_text("[log]\nburst = 100")
        signal_and_wait(signal.SIGHUP, "read again and in force")
        signal_and_wait(signal.SIGUSR2, "is off")
    (path,) = files(folder, "asked")
    assert replay(path).exit_code == 0 and len(flight.read(path).batches) >= 30


def test_a_proxy_whose_module_fails_writes_the_file_and_keeps_serving(tmp_path: Path) -> None:
    folder = tmp_path / "flights"
    folder.mkdir()
    code = (
        "from paddlestep.balance import Balancer; arrive = Balancer.on_arrival\n"
        "def broken(self, a):\n    if a.request == 5: raise ValueError('five')\n    arrive(self, a)\n"
        "Balancer.on_arrival = broken"
    )
    own = f"[recorder]\nbatches = 100\nfolder = '{folder}'"
    with running_proxy(tmp_path, nodes=2, own=own, code=code, faults=True) as p:
        answers = [p.program.request(build_request("ok", X_Request_ID=f"r{n}"))[0] for n in range(1, 9)]
        assert answers == [200, 200, 200, 200, 500, 200, 200, 200]
        (path,) = wait_until(lambda: files(folder, "fault"))
        wait_until(lambda: any("recording has been written" in line for line in p.program.log))
    read = flight.read(path)
    assert read.batches[-1].actions is None and "r5" in read.batches[-1].names
    assert read.header.problem == "ValueError: five"
    assert replay(path).exit_code == 1  # this tree's module does not fail there
