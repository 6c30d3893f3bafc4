"""docs/architecture.md and docs/glossary.md against the source: what they name is there."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
SOURCE = ROOT / "otterreach"
PAGES = (
    "architecture",
    "glossary",
    "connections",
    "design",
    "operations",
    "system",
    "control",
    "control-jobs",
    "control-replication",
    "control-state",
)


def page(name: str) -> str:
    return (ROOT / "docs" / f"{name}.md").read_text()


def names_of(node: ast.AST, prefix: str = "") -> Iterator[str]:
    """The classes, functions and attributes below a node, as `name` and, inside classes, `Class.name`."""
    for child in ast.walk(node):
        if isinstance(child, ast.ClassDef):
            yield child.name
            for inner in ast.walk(child):
                if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef):
                    yield f"{child.name}.{inner.name}"
                elif isinstance(inner, ast.AnnAssign | ast.Assign):
                    targets = inner.targets if isinstance(inner, ast.Assign) else [inner.target]
                    for target in targets:
                        if isinstance(target, ast.Attribute):
                            yield f"{child.name}.{target.attr}"
                        elif isinstance(target, ast.Name):
                            yield f"{child.name}.{target.id}"


DEFINED = {name for file in SOURCE.rglob("*.py") for name in names_of(ast.parse(file.read_text()))}


@pytest.mark.parametrize("name", PAGES)
def test_named_files_are_there(name: str) -> None:
    named = set(re.findall(r"`((?:\w+/)+\w+\.py)`", page(name)))
    roots = (ROOT, SOURCE)
    assert [file for file in sorted(named) if not any((root / file).exists() for root in roots)] == []


@pytest.mark.parametrize("name", PAGES)
def test_named_classes_and_methods_are_there(name: str) -> None:
    named = set(re.findall(r"`([A-Z]\w*[a-z]\w*\.[a-z_]\w*)`", page(name)))
    assert [member for member in sorted(named) if member not in DEFINED] == []


@pytest.mark.parametrize("name", ["architecture", "glossary"])
def test_named_types_are_there(name: str) -> None:
    named = set(re.findall(r"`([A-Z][a-z]+(?:[A-Z][a-z]+)+)`", page(name)))
    assert len(named) > 10
    assert named <= DEFINED


def test_the_new_log_lines_of_the_glossary_are_written() -> None:
    rows = re.findall(r"^\| `(\w+)` \| `(\w+)` \|$", page("glossary"), re.MULTILINE)
    written = {line for file in SOURCE.rglob("*.py") for line in re.findall(r'\blog\(\s*"(\w+)"', file.read_text())}
    assert len(rows) == 19
    assert [new for _, new in rows if new not in written] == []
    still_written = written & {old for old, _ in rows}
    assert still_written <= {new for _, new in rows}
