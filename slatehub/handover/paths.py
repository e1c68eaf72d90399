"""The paths of files that the processes of one proxy share. Opens no file."""

from __future__ import annotations

import hashlib
import tempfile
from pathlib import Path


def shared_path(name: str, kind: str) -> Path:
    """The path of the named proxy's file of this kind, in $TMPDIR. The name is hashed, as it comes from the platform
    and may hold any character."""
    digest = hashlib.blake2b(name.encode(), digest_size=6).hexdigest()
    return Path(tempfile.gettempdir()) / f"slatehub-{digest}.{kind}"
