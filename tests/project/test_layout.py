"""CONTRIBUTING.md against the source: each package imports only what the table allows, no modules in a circle."""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
SOURCE = ROOT / "otterreach"
PAGE = (ROOT / "CONTRIBUTING.md").read_text()
EVERYTHING = "everything"


def table() -> dict[str, str]:
    """Package -> what it may import, as the page has it."""
    found = {}
    for line in PAGE.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 3:
            for package in re.findall(r"`otterreach/([a-z]+)`", cells[0]):
                found[package] = cells[2]
    return found


def packages() -> list[str]:
    return sorted(file.parent.name for file in SOURCE.glob("*/__init__.py"))


def imported(package: str) -> Iterator[tuple[str, str]]:
    """(file, other package of ours) of each import."""
    for file in (SOURCE / package).glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            names: list[str] = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [f"{node.module}.{alias.name}" for alias in node.names]
            for name in names:
                parts = name.split(".")
                if parts[0] == "otterreach" and len(parts) > 1 and parts[1] != package:
                    yield file.name, parts[1]


def test_every_package_is_in_the_table() -> None:
    assert sorted(table().keys() - {"schemas"}) == packages()


@pytest.mark.parametrize("package", packages())
def test_imports_are_those_of_the_table(package: str) -> None:
    allowed = table()[package]
    if allowed == EVERYTHING:
        return
    names = set(re.findall(r"`([a-z]+)`", allowed))
    assert [(file, other) for file, other in imported(package) if other not in names] == []


def module_name(file: Path) -> str:
    parts = file.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(file): file for file in sorted(SOURCE.rglob("*.py"))}


def imported_modules(file: Path) -> set[str]:
    """The modules of ours that a file imports; those for type checking alone count too."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            source = str(node.module)
            parts = {f"{source}.{alias.name}" for alias in node.names}
            names |= parts if parts <= MODULES.keys() else parts | {source}
    return names & MODULES.keys()


def find_circle(imports: dict[str, set[str]]) -> list[str]:
    """The modules of one circle of imports, or none."""
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def test_no_modules_import_each_other_in_a_circle() -> None:
    assert find_circle({name: imported_modules(file) for name, file in MODULES.items()}) == []


def test_a_circle_is_found() -> None:
    assert set(find_circle({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}})) == {"a", "b", "c"}


def test_every_package_is_installed() -> None:
    """An installed system once lacked a package that its controllers import."""
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    found = [module_name(file) for file in SOURCE.rglob("__init__.py")]
    assert sorted(listed) == sorted(found)
