"""A SIGHUP must not terminate a process that is still starting."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
MODULE = "otterreach.runtime.ignore_hangup"
HANG_UP = f"import os, signal, {MODULE}; os.kill(os.getpid(), signal.SIGHUP); print('goes on')"


def test_a_hangup_is_ignored_once_the_module_is_imported() -> None:
    ended = subprocess.run([sys.executable, "-c", HANG_UP], cwd=ROOT, capture_output=True, text=True, check=False)
    assert (ended.returncode, ended.stdout) == (0, "goes on\n")


@pytest.mark.parametrize("role", ["controller", "jobstore", "proxy"])
def test_each_role_imports_it_before_any_other_module_of_ours(role: str) -> None:
    """Guards against a controller that a SIGHUP within the first 0.2 s after its start terminated with status -1."""
    source = (ROOT / "otterreach" / role / "__main__.py").read_text()
    names: list[str] = []
    for node in ast.parse(source).body:
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names.append(str(node.module))
    assert next(name for name in names if name.startswith("otterreach")) == MODULE
