"""Idempotent requests, which must not run twice, at a group of real proxies. Each test ends in the shared audit, and
every execution is counted at the nodes."""

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


def group_status(rig: FleetRig, name: str) -> dict[str, Any]:
    """The status of the group at this proxy; {} until it has started."""
    try:
        return rig.management_get(name, "/copies")
    except ValueError:
        return {}


def wait_for_group(rig: FleetRig) -> None:
    """Waits until the group exists, all voters are reachable and have caught up, and no change is under way."""

    def is_ready(name: str) -> bool:
        status = group_status(rig, name)
        ready = status and status["votes"] and status["majority"] and status["caught_up"]
        return bool(ready and not (status["silent"] or status["before"]))

    wait_until(lambda: all(is_ready(name) for name in rig.programs))


class Orders:
    """Threads that each send one request after another. A request is sent to random proxies with the same idempotency
    key until an answer says that it has run, and sometimes again after that."""

    def __init__(self, rig: FleetRig, threads: int = 4, limit: int = 10_000) -> None:
        self.rig, self.on, self.limit = rig, True, limit
        self.answers: dict[str, list[tuple[int, bytes]]] = {}
        self.lock = threading.Lock()
        self.count = 0
        rig.callers.append(self)
        self.threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def _run(self, seed: int) -> None:
        rng = Random(seed)
        while self.on and self.count < self.limit:
            with self.lock:
                self.count += 1
                key = f"key-{self.count}"
            answers = self.answers.setdefault(key, [])
            for _ in range(40):
                programs = list(self.rig.programs.values())
                if not programs:
                    time.sleep(0.05)
                    continue
                with self.lock:
                    data = build_request("echo", "order-place", body=key.encode(), Idempotency_Key=key)
                try:  # without the audit, which cannot match an answer recorded from an earlier request
                    with rng.choice(programs).connect() as conn:
                        conn.sendall(data)
                        status, _, body = read_response(conn)
                except OSError:
                    continue
                answers.append((status, body))
                if status in (200, 409) and rng.random() < 0.5:
                    break
                time.sleep(0.002 if status == 200 else 0.02)

    def stop(self) -> None:
        self.on = False
        for thread in self.threads:
            thread.join()

    def statuses(self) -> Counter[int]:
        return Counter(status for answers in list(self.answers.values()) for status, _ in list(answers))


def executions(rig: FleetRig) -> Counter[str]:
    """Executions at all nodes by idempotency key, which is also the request body."""
    seen = [request for node in rig.nodes for request in node.requests if "/order-place/" in request]
    return Counter(request.rpartition("\r\n\r\n")[2] for request in seen)


def test_a_proxy_is_lost_with_its_disk_and_no_request_runs_twice(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        wait_for_group(rig)
        orders = Orders(rig)
        wait_until(lambda: orders.statuses()[200] > 150)
        rig.kill_and_wipe("p1")
        done = orders.statuses()[200]
        wait_until(lambda: orders.statuses()[200] > done + 150)
        rig.start("p1")  # under its old name, with an empty folder
        wait_for_group(rig)
        done = orders.statuses()[200]
        wait_until(lambda: orders.statuses()[200] > done + 100)
        orders.stop()
        ran = executions(rig)
        assert max(ran.values()) == 1, ran.most_common(3)
        for key, answers in orders.answers.items():
            served = {body for status, body in answers if status == 200}
            assert served <= {key.encode()} and (not served or ran[key] == 1)
        assert set(orders.statuses()) <= {200, 409, 503}
        assert sum(group_status(rig, name)["ledger"]["same"] for name in rig.names) > 0
        assert [x for x in rig.programs["p1"].log if "has caught up" in x]
        print(orders.statuses(), [group_status(rig, n)["ledger"] for n in rig.names])


def send_keyed(rig: FleetRig, name: str, key: str, action: str = "echo", body: str = "") -> tuple[int, bytes]:
    """Sends one request with this idempotency key to this proxy."""
    data = build_request(
        action, "order-place", body=(body or key).encode(), **({"Idempotency_Key": key} if key else {})
    )
    with rig.programs[name].connect() as conn:
        conn.sendall(data)
        status, _, found = read_response(conn)
        return status, found


def warm_up(rig: FleetRig) -> None:
    wait_for_group(rig)
    for i, name in enumerate(rig.programs):
        wait_until(lambda name=name, i=i: send_keyed(rig, name, f"warm-{i}-{time.monotonic_ns()}")[0] == 200)


def test_the_answer_to_a_repeated_request_at_any_proxy(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        warm_up(rig)
        out = threading.Thread(target=send_keyed, args=(rig, "p0", "held", "wait"), daemon=True)
        out.start()
        wait_until(lambda: executions(rig)["held"] == 1)
        rig.programs["p0"].process.send_signal(signal.SIGHUP)  # the outcome is recorded nevertheless
        wait_until(lambda: [x for x in rig.programs["p0"].log if "read again and in force" in x])
        for node in rig.nodes:
            node.release.set()
        out.join()
        wait_until(lambda: send_keyed(rig, "p1", "held", "wait")[0] == 200)
        assert executions(rig)["held"] == 1
        assert [send_keyed(rig, name, "a") for name in ("p0", "p1", "p2", "p0")] == [(200, b"a")] * 4
        assert send_keyed(rig, "p1", "a", body="another")[0] == 422
        assert send_keyed(rig, "p1", "", body="none")[0] == 400
        assert send_keyed(rig, "p0", "b", "error")[0] == 500
        for name in ("p1", "p0"):
            status, text = send_keyed(rig, name, "b", "error")
            assert (
                status == 409 and b"outcome unknown; nothing was sent now" in text and b"sent to s-" in text
            )
        # The request provably never ran, so a repeat is sent again.
        assert send_keyed(rig, "p0", "c", "full")[0] == 503
        ran = executions(rig)["c"]
        assert send_keyed(rig, "p2", "c", "full")[0] == 503 and executions(rig)["c"] > ran
        large = "x" * 600
        assert send_keyed(rig, "p0", "d", body=large) == (200, large.encode())
        status, text = send_keyed(rig, "p1", "d", body=large)
        assert status == 409 and b"executed by s-" in text
        found: list[tuple[int, bytes]] = []
        threads = [
            threading.Thread(target=lambda n=n: found.append(send_keyed(rig, n, "e")), daemon=True)
            for n in rig.names * 2
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {status for status, _ in found} <= {200, 409} and (200, b"e") in found
        ran = executions(rig)
        assert ran["a"] == ran["b"] == ran["e"] == ran[large] == 1 and not ran["another"] and not ran["none"]


def test_a_minority_refuses_idempotent_requests_immediately_and_serves_all_others(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        warm_up(rig)
        assert send_keyed(rig, "p2", "a")[0] == 200
        rig.set_faults(lambda net: net.partition("cut", ["p2"], ["p0", "p1"]))

        def detected() -> bool:
            """Voters that do not answer are noticed within the time limit of a request, and cannot be distinguished
            from a pause of this process: on a busy host the first request may end too early, and only the next
            one checks again."""
            assert send_keyed(rig, "p2", "b")[0] == 503
            return not group_status(rig, "p2")["majority"]

        wait_until(detected)
        assert send_keyed(rig, "p2", "b")[0] == 503
        assert send_keyed(rig, "p2", "a") == (200, b"a")  # a locally held answer is returned
        assert rig.programs["p2"].request(build_request("ok", SAFE_CLASS))[0] == 200
        assert send_keyed(rig, "p0", "b") == (200, b"b")
        rig.set_faults(lambda net: net.heal("cut"))
        wait_until(lambda: group_status(rig, "p2")["majority"])
        wait_until(lambda: send_keyed(rig, "p2", "b") == (200, b"b"))
        assert executions(rig)["b"] == 1


def test_all_proxies_are_killed_during_a_request_and_none_sends_it_again(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3) as rig:
        warm_up(rig)
        assert send_keyed(rig, "p0", "a")[0] == 200
        rig.programs["p1"].stopping = True

        def out() -> None:
            try:
                send_keyed(rig, "p1", "b", "wait")
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
        wait_for_group(rig)
        assert send_keyed(rig, "p2", "a") == (200, b"a")
        for name in rig.names:
            status, text = send_keyed(rig, name, "b", "wait")
            assert status == 409 and b"sent to s-" in text
        ran = executions(rig)
        assert ran["a"] == ran["b"] == 1


def test_a_full_disk_a_flipped_bit_and_a_copied_folder_are_tolerated_by_the_group(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3, voters=3, faults=True) as rig:
        warm_up(rig)
        for i in range(20):
            assert send_keyed(rig, "p0", f"k{i}")[0] == 200
        rig.kill("p1")
        log = max(rig.folder("p1").glob("log-*"))
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(bytes(data))
        rig.start("p1")
        wait_for_group(rig)
        assert [x for x in rig.programs["p1"].log if "damaged, counts as a new voter" in x]
        assert [x for x in rig.programs["p1"].log if "has caught up" in x]
        rig.kill("p2")
        shutil.rmtree(rig.folder("p2"))
        rig.kill("p1")
        shutil.copytree(rig.folder("p1"), rig.folder("p2"))  # so that two voters would share one store
        rig.start("p1")
        rig.start("p2")
        wait_for_group(rig)
        assert [x for x in rig.programs["p2"].log if "was copied from elsewhere" in x]
        rig.kill("p0")
        rig.start("p0", {"stderr": subprocess.PIPE, "preexec_fn": limit_file_size})
        wait_for_group(rig)
        wait_until(
            lambda: any(
                group_status(rig, "p0")["problem"]
                for _ in range(2)
                if send_keyed(rig, "p1", f"f{time.monotonic_ns()}")
            )
        )
        assert send_keyed(rig, "p0", "after")[0] == 200  # recorded by the two other voters
        assert all(
            send_keyed(rig, name, f"k{i}") == (200, f"k{i}".encode())
            for name in ("p1", "p2")
            for i in range(20)
        )
        assert max(executions(rig).values()) == 1


def limit_file_size() -> None:
    """Limits the files of this process to 20 KB; writes beyond that fail without a signal."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, 20_000))


def test_operators_inspect_and_change_the_group_and_inspect_a_folder(tmp_path: Path) -> None:
    def command(*arguments: str) -> subprocess.CompletedProcess[str]:
        run = [sys.executable, "-B", "-m", "slatehub", *arguments]
        return subprocess.run(run, cwd=ROOT, capture_output=True, text=True, timeout=60)

    with running_fleet(tmp_path, 4, voters=3) as rig:
        voters = [name for name in rig.names if name != "p3"]
        wait_until(lambda: all((status := group_status(rig, name)) and status["votes"] for name in voters))
        # p3 does not vote, and proposes to the others.
        wait_until(lambda: send_keyed(rig, "p3", "a")[0] == 200)
        at = "{}:{}".format(*rig.programs["p0"].management_address)
        result = command("copies", "status", "--at", at)
        assert result.returncode == 0 and "epoch: 1" in result.stdout, result
        wait_until(lambda: command("copies", "add", "p3", "--at", at).returncode == 0)
        wait_until(lambda: group_status(rig, "p3")["votes"] and not group_status(rig, "p0")["before"])
        assert command("copies", "remove", "p1", "--at", at).stdout == "begun\n"
        wait_until(lambda: [v["name"] for v in group_status(rig, "p0")["voters"]] == ["p0", "p2", "p3"])
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
        wait_until(lambda: group_status(rig, "p2").get("votes"))
        assert send_keyed(rig, "p2", "a") == (200, b"a")


def test_fleet_wide_maintenance_survives_losses_and_restarts(
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
        warm_up(rig)
        assert rig.programs["p0"].management_call("PUT", "/nodes/s-9/maint") == 404
        assert rig.programs["p0"].management_call("PUT", "/nodes/s-0/maint") == 200
        for name in rig.names:
            wait_until(lambda name=name: not uses(name, 0))
        for name in rig.names:
            rig.kill(name)
        # Without the local state file only the registers are left.
        monkeypatch.setenv("TMPDIR", str(tmp_path / "after"))
        shutil.rmtree(rig.folder("p0"))  # the proxy that confirmed the call has lost its store
        for name in rig.names:
            rig.start(name)
        wait_for_group(rig)
        for name in rig.names:
            wait_until(lambda name=name: not uses(name, 0))
        rig.set_faults(lambda net: net.partition("cut", ["p2"], ["p0", "p1"]))
        # Refused without a majority.
        assert rig.programs["p2"].management_call("PUT", "/nodes/s-1/maint") == 503
        assert uses("p2", 1)
        assert rig.programs["p1"].management_call("PUT", "/nodes/s-0/ready") == 200
        # Only the node that was put back into service remains.
        assert rig.programs["p0"].management_call("PUT", "/nodes/s-1/maint") == 200
        wait_until(lambda: not uses("p0", 1))
        assert uses("p0", 0) and uses("p2", 1) and not uses("p2", 0)
        rig.set_faults(lambda net: net.heal("cut"))
        wait_until(lambda: not uses("p2", 1))
        assert uses("p2", 0)
