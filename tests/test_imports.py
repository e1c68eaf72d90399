"""Checks the import contracts of pyproject.toml, and that a forbidden import is detected."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]


def lint(tree: Path) -> subprocess.CompletedProcess[str]:
    call = "import sys; sys.path.insert(0, '.'); from importlinter.cli import lint_imports; sys.exit(lint_imports())"
    return subprocess.run([sys.executable, "-c", call], cwd=tree, capture_output=True, text=True, timeout=120)


def test_imports_run_downwards() -> None:
    done = lint(ROOT)
    assert done.returncode == 0, done.stdout


@pytest.mark.parametrize(
    ("file", "line"),
    [
        ("core/stages.py", "from slatehub.drivers import clock"),  # upwards
        ("core/dispatcher.py", "import time"),
        ("decisions/resource_budget.py", "from gevent import socket"),
        ("fronts/validation.py", "from slatehub.nodes import outcomes"),  # a sibling package
        ("nodes/outcomes.py", "import slatelab"),
    ],
)
def test_a_forbidden_import_is_reported(tmp_path: Path, file: str, line: str) -> None:
    for package in ("paddlestep", "slatehub", "slatelab"):
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    with (tmp_path / "slatehub" / file).open("a") as module:
        module.write(f"\n{line}\n")
    done = lint(tmp_path)
    module_name = "slatehub." + file.removesuffix(".py").replace("/", ".")
    assert done.returncode == 1 and f"{module_name} -> {line.split()[1]}" in done.stdout, done.stdout
