"""Orders that must not run twice, kept by a group of real proxies. Each ends in the shared audit, and every execution
is counted at the nodes."""

from __future__ import annotations

import resource
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest
from fleet_rig import FleetRig, running_fleet
from proxy_rig import ROOT, SAFE_CLASS, build_request, read_response, wait_until


def group(rig: FleetRig, name: str) -> dict[str, Any]:
    """{}: it has not begun yet."""
    try:
        return rig.management_get(name, "/copies")
    except ValueError:
        return {}


def whole(rig: FleetRig) -> None:
    """The group has been founded, all of it is heard, and nobody is behind."""

    def good(name: str) -> bool:
        told = group(rig, name)
        well = told and told["votes"] and told["majority"] and told["caught_up"]
        return bool(well and not (told["silent"] or told["before"]))

    wait_until(lambda: all(good(name) for name in rig.programs))


class Orders:
    """Callers with an order each: they ask one proxy after another, with the same key, until they are told that it has
    run, and then once more."""

    def __init__(self, rig: FleetRig, threads: int = 4, most: int = 10_000) -> None:
        self.rig, self.on, self.most = rig, True, most
        self.told: dict[str, list[tuple[int, bytes]]] = {}
        self.lock = threading.Lock()
        self.count = 0
        rig.callers.append(self)
        self.threads = [threading.Thread(target=self._ask, args=(i,), daemon=True) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def _ask(self, seed: int) -> None:
        rng = Random(seed)
        while self.on and self.count < self.most:
            with self.lock:
                self.count += 1
                key = f"key-{self.count}"
            tries = self.told.setdefault(key, [])
            for _ in range(40):
                programs = list(self.rig.programs.values())
                if not programs:
                    time.sleep(0.05)
                    continue
                with self.lock:
                    data = build_request("echo", "order-place", body=key.encode(), Idempotency_Key=key)
                try:  # not by `ask`: the audit knows of no answer that a node gave to an earlier request
                    with rng.choice(programs).connect() as conn:
                        conn.sendall(data)
                        status, _, body = read_response(conn)
                except OSError:
                    continue
                tries.append((status, body))
                if status in (200, 409) and rng.random() < 0.5:
                    break
                time.sleep(0.002 if status == 200 else 0.02)

    def stop(self) -> None:
        self.on = False
        for thread in self.threads:
            thread.join()

    def statuses(self) -> Counter[int]:
        return Counter(status for tries in list(self.told.values()) for status, _ in list(tries))


def executions(rig: FleetRig) -> Counter[str]:
    """By order key, at all nodes: the key travels in the body."""
    seen = [request for node in rig.nodes for request in node.requests if "/order-place/" in request]
    return Counter(request.rpartition("\r\n\r\n")[2] for request in seen)


def test_a_machine_is_lost_with_its_disk_and_no_order_runs_twice(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        whole(rig)
        orders = Orders(rig)
        wait_until(lambda: orders.statuses()[200] > 150)
        rig.kill_and_wipe("p1")
        done = orders.statuses()[200]
        wait_until(lambda: orders.statuses()[200] > done + 150)
        rig.start("p1")  # under its old name, empty
        whole(rig)
        done = orders.statuses()[200]
        wait_until(lambda: orders.statuses()[200] > done + 100)
        orders.stop()
        ran = executions(rig)
        assert max(ran.values()) == 1, ran.most_common(3)
        for key, tries in orders.told.items():
            served = {body for status, body in tries if status == 200}
            assert served <= {key.encode()} and (not served or ran[key] == 1)
        assert set(orders.statuses()) <= {200, 409, 503}
        assert sum(group(rig, name)["ledger"]["same"] for name in rig.names) > 0
        assert [x for x in rig.programs["p1"].log if "has caught up" in x]
        print(orders.statuses(), [group(rig, n)["ledger"] for n in rig.names])


def say(rig: FleetRig, name: str, key: str, action: str = "echo", body: str = "") -> tuple[int, bytes]:
    """One try of the order of this key, at this proxy."""
    data = build_request(
        action, "order-place", body=(body or key).encode(), **({"Idempotency_Key": key} if key else {})
    )
    with rig.programs[name].connect() as conn:
        conn.sendall(data)
        status, _, found = read_response(conn)
        return status, found


def warm(rig: FleetRig) -> None:
    whole(rig)
    for i, name in enumerate(rig.programs):
        wait_until(lambda name=name, i=i: say(rig, name, f"warm-{i}-{time.monotonic_ns()}")[0] == 200)


def test_what_a_repeat_is_told_at_any_proxy(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        warm(rig)
        out = threading.Thread(target=say, args=(rig, "p0", "held", "wait"), daemon=True)
        out.start()
        wait_until(lambda: executions(rig)["held"] == 1)
        rig.programs["p0"].process.send_signal(signal.SIGHUP)  # how it ends is written down all the same
        wait_until(lambda: [x for x in rig.programs["p0"].log if "read again and in force" in x])
        for node in rig.nodes:
            node.release.set()
        out.join()
        wait_until(lambda: say(rig, "p1", "held", "wait")[0] == 200)
        assert executions(rig)["held"] == 1
        assert [say(rig, name, "a") for name in ("p0", "p1", "p2", "p0")] == [(200, b"a")] * 4
        assert say(rig, "p1", "a", body="another")[0] == 422
        assert say(rig, "p1", "", body="none")[0] == 400
        assert say(rig, "p0", "b", "error")[0] == 500
        for name in ("p1", "p0"):
            status, text = say(rig, name, "b", "error")
            assert (
                status == 409 and b"outcome unknown; nothing was sent now" in text and b"sent to s-" in text
            )
        assert say(rig, "p0", "c", "full")[0] == 503  # proven never run: it goes on as new
        ran = executions(rig)["c"]
        assert say(rig, "p2", "c", "full")[0] == 503 and executions(rig)["c"] > ran
        large = "x" * 600
        assert say(rig, "p0", "d", body=large) == (200, large.encode())
        status, text = say(rig, "p1", "d", body=large)
        assert status == 409 and b"executed by s-" in text
        found: list[tuple[int, bytes]] = []
        threads = [
            threading.Thread(target=lambda n=n: found.append(say(rig, n, "e")), daemon=True)
            for n in rig.names * 2
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {status for status, _ in found} <= {200, 409} and (200, b"e") in found
        ran = executions(rig)
        assert ran["a"] == ran["b"] == ran["e"] == ran[large] == 1 and not ran["another"] and not ran["none"]


def test_a_minority_refuses_such_orders_at_once_and_serves_all_others(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        warm(rig)
        assert say(rig, "p2", "a")[0] == 200
        rig.set_faults(lambda net: net.partition("cut", ["p2"], ["p0", "p1"]))

        def alone() -> bool:
            """Silence shows in the time that an order is given, and is not told from a pause of this process: on a busy
            machine the first one may end before it has shown, and only the next one asks again."""
            assert say(rig, "p2", "b")[0] == 503
            return not group(rig, "p2")["majority"]

        wait_until(alone)
        assert say(rig, "p2", "b")[0] == 503
        assert say(rig, "p2", "a") == (200, b"a")  # what is known is told
        assert rig.programs["p2"].request(build_request("ok", SAFE_CLASS))[0] == 200
        assert say(rig, "p0", "b") == (200, b"b")
        rig.set_faults(lambda net: net.heal("cut"))
        wait_until(lambda: group(rig, "p2")["majority"])
        wait_until(lambda: say(rig, "p2", "b") == (200, b"b"))
        assert executions(rig)["b"] == 1


def test_all_are_killed_at_once_while_an_order_is_out_and_nobody_sends_it_again(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        warm(rig)
        assert say(rig, "p0", "a")[0] == 200
        rig.programs["p1"].stopping = True

        def out() -> None:
            try:
                say(rig, "p1", "b", "wait")
            except OSError:
                pass

        thread = threading.Thread(target=out, daemon=True)
        thread.start()
        rig.nodes[0].held = rig.nodes[1].held
        wait_until(lambda: executions(rig)["b"] == 1)
        for name in rig.names:
            rig.kill(name)
        thread.join()
        for node in rig.nodes:
            node.release.set()
        for name in rig.names:
            rig.start(name)
        whole(rig)
        assert say(rig, "p2", "a") == (200, b"a")
        for name in rig.names:
            status, text = say(rig, name, "b", "wait")
            assert status == 409 and b"sent to s-" in text
        ran = executions(rig)
        assert ran["a"] == ran["b"] == 1


def test_a_full_disk_a_flipped_bit_and_a_copied_folder_are_borne_by_the_others(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3, faults=True) as rig:
        warm(rig)
        for i in range(20):
            assert say(rig, "p0", f"k{i}")[0] == 200
        rig.kill("p1")
        log = max(rig.folder("p1").glob("log-*"))
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(bytes(data))
        rig.start("p1")
        whole(rig)
        assert [x for x in rig.programs["p1"].log if "damaged, counts as a new voter" in x]
        assert [x for x in rig.programs["p1"].log if "has caught up" in x]
        rig.kill("p2")
        shutil.rmtree(rig.folder("p2"))
        rig.kill("p1")
        shutil.copytree(rig.folder("p1"), rig.folder("p2"))  # so that two would vote with one memory
        rig.start("p1")
        rig.start("p2")
        whole(rig)
        assert [x for x in rig.programs["p2"].log if "was copied from elsewhere" in x]
        rig.kill("p0")
        rig.start("p0", {"stderr": subprocess.PIPE, "preexec_fn": cramped})
        whole(rig)
        wait_until(
            lambda: any(
                group(rig, "p0")["problem"] for _ in range(2) if say(rig, "p1", f"f{time.monotonic_ns()}")
            )
        )
        assert say(rig, "p0", "after")[0] == 200  # by the two others
        assert all(
            say(rig, name, f"k{i}") == (200, f"k{i}".encode()) for name in ("p1", "p2") for i in range(20)
        )
        assert max(executions(rig).values()) == 1


def cramped() -> None:
    """Files of this process end at 20 KB; what would go beyond fails, and does not kill."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, 20_000))


def test_operators_see_the_group_and_change_it_and_look_into_a_folder(tmp_path: Path) -> None:
    def command(*words: str) -> subprocess.CompletedProcess[str]:
        run = [sys.executable, "-B", "-m", "slatehub", *words]
        return subprocess.run(run, cwd=ROOT, capture_output=True, text=True, timeout=60)

    with running_fleet(tmp_path, 4, voters=3) as rig:
        whole_of = [name for name in rig.names if name != "p3"]
        wait_until(lambda: all((told := group(rig, name)) and told["votes"] for name in whole_of))
        wait_until(lambda: say(rig, "p3", "a")[0] == 200)  # it does not vote, and asks the others
        at = "{}:{}".format(*rig.programs["p0"].management_address)
        said = command("copies", "status", "--at", at)
        assert said.returncode == 0 and "epoch: 1" in said.stdout, said
        wait_until(lambda: command("copies", "add", "p3", "--at", at).returncode == 0)
        wait_until(lambda: group(rig, "p3")["votes"] and not group(rig, "p0")["before"])
        assert command("copies", "remove", "p1", "--at", at).stdout == "begun\n"
        wait_until(lambda: [v["name"] for v in group(rig, "p0")["voters"]] == ["p0", "p2", "p3"])
        assert command("copies", "remove", "p1", "--at", at).stdout == "p1 is no voter\n"
        rig.kill("p2")
        folder = str(rig.folder("p2"))
        assert command("store", "verify", folder).returncode == 0
        assert "registers: " in command("store", "stat", folder).stdout
        assert '"state": "ran"' in command("store", "export", folder).stdout
        assert command("store", "dump", folder).stdout.count("\n") > 4
        assert command("store", "compact", folder).returncode == 0
        assert '"state": "ran"' in command("store", "export", folder).stdout
        rig.start("p2")
        wait_until(lambda: group(rig, "p2").get("votes"))
        assert say(rig, "p2", "a") == (200, b"a")


def test_a_node_that_is_out_is_out_for_all_whatever_is_lost_and_restarted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def uses(name: str, node: int) -> bool:
        """Whether this proxy still sends anything there, of thirty requests."""
        seen = len(rig.nodes[node].requests)
        for _ in range(30):
            rig.programs[name].request(build_request("ok", SAFE_CLASS))
        return len(rig.nodes[node].requests) > seen

    for name in ("before", "after"):
        (tmp_path / name).mkdir()
    monkeypatch.setenv("TMPDIR", str(tmp_path / "before"))
    with running_fleet(tmp_path, 3, voters=3, more='maintenance = "fleet"') as rig:
        warm(rig)
        assert rig.programs["p0"].management_call("PUT", "/nodes/s-9/maint") == 404
        assert rig.programs["p0"].management_call("PUT", "/nodes/s-0/maint") == 200
        for name in rig.names:
            wait_until(lambda name=name: not uses(name, 0))
        for name in rig.names:
            rig.kill(name)
        monkeypatch.setenv("TMPDIR", str(tmp_path / "after"))  # nothing is left but the copies
        shutil.rmtree(rig.folder("p0"))  # who was told yes has lost all
        for name in rig.names:
            rig.start(name)
        whole(rig)
        for name in rig.names:
            wait_until(lambda name=name: not uses(name, 0))
        rig.set_faults(lambda net: net.partition("cut", ["p2"], ["p0", "p1"]))
        assert rig.programs["p2"].management_call("PUT", "/nodes/s-1/maint") == 503  # an honest no
        assert uses("p2", 1)
        assert rig.programs["p1"].management_call("PUT", "/nodes/s-0/ready") == 200
        assert (
            rig.programs["p0"].management_call("PUT", "/nodes/s-1/maint") == 200
        )  # so that what is left is the one put back
        wait_until(lambda: not uses("p0", 1))
        assert uses("p0", 0) and uses("p2", 1) and not uses("p2", 0)
        rig.set_faults(lambda net: net.heal("cut"))
        wait_until(lambda: not uses("p2", 1))
        assert uses("p2", 0)
