"""The small file in $TMPDIR that holds what operators decided: which nodes are out, and when others were put back. It
is written whole or not at all. It must never stop the proxy: what cannot be read or written is a line in the log."""

from __future__ import annotations

import json
import os
from typing import Any

from ..decisions.maintenance import Maintenance
from ..handover.paths import shared_path
from ..observe.log import log_event

VERSION = 1
LARGEST = 2 * 1024 * 1024


class StateFile:
    def __init__(self, name: str) -> None:
        self.path = shared_path(name, "nodes")

    def load(self, into: Maintenance) -> None:
        """Takes over what an earlier process of this name left, if anything can be made of it."""
        try:
            if self.path.stat().st_size > LARGEST:
                raise ValueError("too large")
            tree: Any = json.loads(self.path.read_bytes())
            if not isinstance(tree, dict) or tree.get("version") != VERSION:
                raise ValueError("of another form")
            out, back = tree.get("out"), tree.get("back")
            if not isinstance(out, dict) or not isinstance(back, dict):
                raise ValueError("of another form")
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError) as problem:
            log_event("operator", f"nodes out by hand: {self.path.name} is left aside: {problem}", "error")
            return
        into.restore(out, back)
        if into.started_at:
            log_event(
                "operator", f"out by hand, from an earlier process: {len(into.started_at)} nodes", "warning"
            )

    def save(self, held: Maintenance) -> None:
        """Whole or not at all. A file that cannot be written costs the next process this one's memory only if nobody
        lives to tell it."""
        body = json.dumps({"version": VERSION, "out": held.started_at, "back": dict(held.ended_at)})
        new = self.path.with_suffix(f".{os.getpid()}")
        try:
            new.write_text(body)
            os.replace(new, self.path)
        except OSError as problem:
            log_event("operator", f"nodes out by hand cannot be kept in {self.path.name}: {problem}", "error")
            try:
                new.unlink(missing_ok=True)
            except OSError:
                pass
