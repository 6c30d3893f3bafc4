"""docs/connections.md against the source: the modules and tests that it names are there."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs/connections.md").read_text()


def test_named_tests_are_there() -> None:
    sources = {file: file.read_text() for file in (ROOT / "tests").rglob("*.py")}
    defined = {name for text in sources.values() for name in re.findall(r"def (test_\w+)", text)}
    files = set(re.findall(r"`(tests/\w+/test_\w+\.py)`", PAGE))
    named = set(re.findall(r"`(test_\w+)`", PAGE))
    assert len(named) + len(files) > 10
    assert named <= defined
    assert [file for file in sorted(files) if ROOT / file not in sources] == []
    assert set(re.findall(r"`[^`]*test_\w+\.py`", PAGE)) == {f"`{file}`" for file in files}


def test_named_modules_are_there() -> None:
    named = set(re.findall(r"`((?:proxy|runtime|cli|sidecar)/\w+\.py)`", PAGE))
    assert len(named) > 8
    assert [name for name in sorted(named) if not (ROOT / "otterreach" / name).exists()] == []
