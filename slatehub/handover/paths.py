"""Where processes of one proxy find what they share. It must never open anything."""

from __future__ import annotations

import hashlib
import tempfile
from pathlib import Path


def shared_path(name: str, kind: str) -> Path:
    """The file of this kind of the proxy of this name, in $TMPDIR. The name is the platform's; it may hold anything."""
    mark = hashlib.blake2b(name.encode(), digest_size=6).hexdigest()
    return Path(tempfile.gettempdir()) / f"slatehub-{mark}.{kind}"
