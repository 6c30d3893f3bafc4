"""docs/pages.md: each test that it names exists, and each day."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "pages.md").read_text()
NAMED_TEST = re.compile(r"`([a-z_]+/test_[a-z_]+\.py)::(test_\w+)`")
NAMED_DAY = re.compile(r"days? `([a-z-]+\*?)`")


def functions_of(file: Path) -> set[str]:
    tree = ast.parse(file.read_text())
    return {node.name for node in ast.walk(tree) if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))}


def test_each_named_test_exists() -> None:
    named = NAMED_TEST.findall(PAGE)
    assert len(named) > 50
    missing = [f"{file}::{name}" for file, name in named if name not in functions_of(ROOT / "tests" / file)]
    assert not missing


def test_each_named_day_exists(tmp_path: Path) -> None:
    for script in ("control.py", "servers.py"):
        subprocess.run([sys.executable, ROOT / "deploy" / "days" / script, tmp_path], check=True, capture_output=True)
    written = {file.stem for file in tmp_path.glob("*.toml")}
    named = NAMED_DAY.findall(PAGE)
    assert named
    for name in named:
        assert any(day.startswith(name[:-1]) if name.endswith("*") else day == name for day in written), name


def test_each_line_has_a_test_a_day_or_says_that_it_is_open() -> None:
    rows = [line for line in PAGE.splitlines() if line.startswith("| ") and not line.startswith(("| page", "| ---"))]
    assert len(rows) > 40
    for row in rows:
        proof = row.split(" | ")[-1]
        is_shown = "::test_" in proof or "day" in proof or "open" in proof
        assert is_shown or "as GONE" in proof or "139" in row, row
