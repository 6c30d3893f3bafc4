"""docs/connections.md against the source: the modules and tests that it names are there."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/connections.md").read_text()


def test_named_tests_are_there() -> None:
    defined = {name for f in (ROOT / "tests").glob("*.py") for name in re.findall(r"def (test_\w+)", f.read_text())}
    files = {f.stem for f in (ROOT / "tests").glob("*.py")}
    named = set(re.findall(r"`(?:tests/)?(test_\w+)(?:\.py)?`", PAGE))
    assert len(named) > 10
    assert named <= defined | files


def test_named_modules_are_there() -> None:
    named = set(re.findall(r"`((?:proxy|runtime|cli|sidecar)/\w+\.py)`", PAGE))
    assert len(named) > 8
    assert [name for name in sorted(named) if not (ROOT / "otterreach" / name).exists()] == []
