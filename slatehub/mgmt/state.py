"""The state file in $TMPDIR: which nodes operators have put into maintenance, and when maintenance of others ended. It
is replaced atomically. An error in reading or writing it is logged and never stops the proxy."""

from __future__ import annotations

import json
import os
from typing import Any

from ..decisions.maintenance import Maintenance
from ..handover.paths import shared_path
from ..observe.log import log_event

VERSION = 1
MAX_FILE_BYTES = 2 * 1024 * 1024


class StateFile:
    """The state file of the named proxy."""

    def __init__(self, name: str) -> None:
        self.path = shared_path(name, "nodes")

    def load(self, maintenance: Maintenance) -> None:
        """Restores the maintenance state of an earlier process of this name, if the file is valid."""
        try:
            if self.path.stat().st_size > MAX_FILE_BYTES:
                raise ValueError("too large")
            state: Any = json.loads(self.path.read_bytes())
            if not isinstance(state, dict) or state.get("version") != VERSION:
                raise ValueError("unexpected structure or version")
            out, back = state.get("out"), state.get("back")
            if not isinstance(out, dict) or not isinstance(back, dict):
                raise ValueError("unexpected structure or version")
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError) as problem:
            log_event("operator", f"nodes out by hand: {self.path.name} is ignored: {problem}", "error")
            return
        maintenance.restore(out, back)
        if maintenance.started_at:
            log_event(
                "operator",
                f"out by hand, from an earlier process: {len(maintenance.started_at)} nodes",
                "warning",
            )

    def save(self, maintenance: Maintenance) -> None:
        """Replaces the file atomically. If it cannot be written, the next process misses this state only when no
        running process hands it over."""
        body = json.dumps(
            {"version": VERSION, "out": maintenance.started_at, "back": dict(maintenance.ended_at)}
        )
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_text(body)
            os.replace(temporary, self.path)
        except OSError as problem:
            log_event("operator", f"nodes out by hand cannot be kept in {self.path.name}: {problem}", "error")
            try:
                temporary.unlink(missing_ok=True)
            except OSError:
                pass
