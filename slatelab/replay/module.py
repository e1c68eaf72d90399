"""Loads the decision module through which a recording is replayed: that of this tree, or that of another tree. The
other tree's package is loaded under a name of its own, so that it never replaces this tree's modules."""

from __future__ import annotations

import hashlib
import importlib
import importlib.util
import sys
from pathlib import Path

from slatehub.observe.flight import RecordingError

OWN_PACKAGE, OTHER_PACKAGE = "paddlestep", "slatelab_replayed_paddlestep"


def load(tree: Path | None) -> str:
    """Returns the name of the package to replay through. Raises RecordingError if `tree` has no loadable one."""
    if tree is None:
        return OWN_PACKAGE
    init_file = tree / "paddlestep" / "__init__.py"
    if not init_file.is_file():
        raise RecordingError(f"{tree}: no paddlestep in it")
    for name in [name for name in sys.modules if name.partition(".")[0] == OTHER_PACKAGE]:
        del sys.modules[name]  # of another tree, loaded by an earlier call
    spec = importlib.util.spec_from_file_location(
        OTHER_PACKAGE, init_file, submodule_search_locations=[str(init_file.parent)]
    )
    assert spec and spec.loader
    sys.modules[OTHER_PACKAGE] = importlib.util.module_from_spec(spec)
    try:
        spec.loader.exec_module(sys.modules[OTHER_PACKAGE])
        for part in ("balance", "interface"):
            importlib.import_module(f"{OTHER_PACKAGE}.{part}")
    except Exception as error:
        raise RecordingError(
            f"{init_file.parent}: cannot be loaded: {type(error).__name__}: {error}"
        ) from None
    return OTHER_PACKAGE


def fingerprint(package: str) -> str:
    """Returns the SHA-256 of the module's source, computed as the recorder does."""
    return hashlib.sha256(Path(str(sys.modules[f"{package}.balance"].__file__)).read_bytes()).hexdigest()
