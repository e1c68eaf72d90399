"""The program under test as a process: its configuration, its start, its signals and what it takes of the machine."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .records import now

ROOT = Path(__file__).parents[2]
SAMPLE_INTERVAL_S = 0.005
LAST_LOG_CHARACTERS = 500
READY_TIMEOUT_S = 30.0  # as long as the platform waits for a proxy
# As `run` in deploy/balancer.toml: the two signals are ignored until the program has its handlers.
START = ("sh", "-c", 'trap \'\' HUP USR2; exec "$0" "$@"')
SAFE_CLASS, UNSAFE_CLASS = "job-status", "order-place"
TENANT = "cantina-etna"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one proxy: memory in MB, and file descriptors."""

    memory_mb: int
    sockets: int


def settings(allowed: dict[str, Any], deadline_s: float) -> dict[str, Any]:
    """The settings of a small deployment of one tier; `allowed` overrides keys of the table of that name."""

    def service(name: str, effect: str) -> dict[str, Any]:
        hard_limit_us = int(deadline_s * 1_000_000)
        return {
            "name": name,
            "idempotency": effect,
            "slo_us": hard_limit_us // 2,
            "hard_limit_us": hard_limit_us,
        }

    return {
        "allowed": {"max_attempts": 4, "may_cancel": True, "may_duplicate": False, "conn_idle_us": 30_000_000,
                    "connect_timeout_us": 150_000, "probing": True, "retry_after": True, "peer_messages": False,
                    "max_open": 30_000, **allowed},
        "services": [service(SAFE_CLASS, "retryable"), service(UNSAFE_CLASS, "fragile")],
        "tenants": [{"name": TENANT, "share": 1.0, "allowance_per_s": 900.0}],
        "obligations": {"answer_slack_us": 20_000, "ask_every_us": 2_000_000, "cold_from": 0.3,
                        "drain_grace_us": 2_500_000, "fall_multiple": 3.0, "tip_after_us": 1_500_000,
                        "warm_after_us": 0},
        "report": {"columns": ["qps", "util"], "source": "answers"},
        "kinds": ["front-std"], "zones": ["sala-macchine"], "stages": ["front"], "me": 0, "my_zone": 0, "siblings": 1,
        "tick_us": 5_000, "tier": 0, "discovery": "on_request", "family_info": {"passes_deadline": True},
    }  # fmt: skip


def private_bytes(pid: int) -> int:
    """Private memory of a process. Raises OSError when it has ended."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return 1024 * sum(int(row.split()[1]) for row in rows if row.startswith(("RssAnon", "RssShmem")))


class ProcessEndedError(Exception):
    """A process has ended that was to serve."""


class ProxyProcess:
    """One process of `serve`. A second one with the same `folder`, name and address takes over from the first."""

    def __init__(self, config: dict[str, Any], folder: Path, label: str) -> None:
        self.address = config["listen"]
        self.management = config["mgmt"]
        self.limits = Limits(config["limits"]["memory_mb"], config["limits"]["sockets"])
        self.started_at = now()
        self.highest_bytes = 0
        self.highest_descriptors = 0
        self.ended_at = 0.0
        self.expected_end = False  # a signal of the run ends it
        self.log_path = folder / f"{label}.log"
        config_path = folder / f"{label}.json"
        config_path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "SLATEHUB_"))}
        env |= {"EDGE_CONFIG": str(config_path), "TMPDIR": str(folder)}
        self.log = open(self.log_path, "wb")  # noqa: SIM115
        self.process = subprocess.Popen(
            [*START, sys.executable, "-B", "-m", "slatehub", "serve"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=subprocess.STDOUT,
        )  # fmt: skip
        self.watcher = threading.Thread(target=self._watch, daemon=True)
        self.watcher.start()

    def _watch(self) -> None:
        descriptors = Path(f"/proc/{self.process.pid}/fd")
        pause = threading.Event()
        while self.process.poll() is None:
            try:
                self.highest_bytes = max(self.highest_bytes, private_bytes(self.process.pid))
                self.highest_descriptors = max(self.highest_descriptors, len(os.listdir(descriptors)))
            except OSError:
                return
            pause.wait(SAMPLE_INTERVAL_S)

    async def wait_ready(self, path: str = "/ready", address: str = "") -> None:
        """Waits until a GET of this path is answered 200. Raises TimeoutError, and ProcessEndedError."""
        host, _, port = (address or self.address).rpartition(":")
        end = now() + READY_TIMEOUT_S
        while now() < end:
            if self.process.poll() is not None:
                raise ProcessEndedError(f"ended with {self.process.returncode}: {self._last_log()}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"not ready: {self._last_log()}")

    def _last_log(self) -> str:
        return self.log_path.read_text(errors="replace")[-LAST_LOG_CHARACTERS:]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        if number in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL):
            self.expected_end = True
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process at once."""
        self.ended_at = now()
        self.expected_end = self.expected_end or self.process.poll() is None
        self.process.kill()
        self.process.wait()
        self.watcher.join()
        self.log.close()

    def faults(self) -> list[str]:
        """Lines of its log that report a fault of the program."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if "Traceback" in line or "topic=fault" in line]


class Workplace:
    """A folder for the files of the processes of a run, removed at its end."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="slatelab-soak-"))

    def __enter__(self) -> Path:
        return self.folder

    def __exit__(self, *_: object) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)
