"""The deploy files' commands and packages, against docs/build.md and the scripts that build."""

from __future__ import annotations

import ast
import importlib
import re
import shlex
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent.parent
FILES = ("balancer", "system")
SHELL = "/bin/sh"  # the commands of a deploy file go to it
SHELL_WORDS = {"exec"}
BUILT = {".venv/bin/python"}  # made by the build itself
PAGE = (ROOT / "docs" / "build.md").read_text()
# What a module of the standard library, run as `python3 -m NAME`, needs beside the package that holds the library.
MODULE_PACKAGES = {"venv": "python3-venv", "pip": "python3-pip"}


def deploy(name: str) -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / f"{name}.toml").read_text())


def commands(name: str) -> list[str]:
    """Every command of a deploy file."""
    file = deploy(name)
    roles = [role["run"] for role in file.get("roles", {}).values()]
    return [file[key] for key in ("build", "run", "sim") if key in file] + roles


def programs(name: str) -> set[str]:
    """The programs that a deploy file's commands start, its shell among them."""
    found = {SHELL}
    for command in commands(name):
        words = [word for word in shlex.split(command) if word not in SHELL_WORDS]
        found.add(words[0])
    return found - BUILT


def page_table() -> dict[str, str]:
    """Program -> package, as docs/build.md has it."""
    return dict(re.findall(r"^\| `([^`]+)` \| `([^`]+)` \|", PAGE, re.MULTILINE))


def function_modules(tree: ast.AST) -> Iterator[tuple[str, str, str]]:
    """(function, Python that runs it, module) of each list that begins with a Python, "-m" and a module's name."""
    for function in ast.walk(tree):
        if not isinstance(function, ast.FunctionDef):
            continue
        for node in ast.walk(function):
            if isinstance(node, ast.List) and len(node.elts) > 1:
                text = [ast.unparse(item) for item in node.elts]
                if text[1] == "'-m'":
                    yield function.name, text[0], ast.literal_eval(text[2])
                elif text[1] == "*PIP_INSTALL":
                    yield function.name, text[0], "pip"


def system_modules(name: str) -> set[str]:
    """The modules that a build runs with the system's Python (those of the venv's own Python are the build's)."""
    functions = {"balancer": {"build_balancer", "create_virtual_environment"}, "system": {"build_system"}}[name]
    found = set()
    for file in ("build.py", "environment.py"):
        for function, python, module in function_modules(ast.parse((ROOT / "scripts" / file).read_text())):
            if function in functions and python == "sys.executable":
                found.add(module)
    return found


@pytest.mark.parametrize("name", FILES)
def test_packages_are_a_list_of_names_without_repeats(name: str) -> None:
    packages = deploy(name)["packages"]
    assert isinstance(packages, list) and packages
    assert all(re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", package) for package in packages)
    assert packages == sorted(set(packages))


@pytest.mark.parametrize("name", FILES)
def test_each_program_of_the_commands_is_in_a_listed_package(name: str) -> None:
    table = page_table()
    for program in programs(name):
        assert table[program] in deploy(name)["packages"], program


@pytest.mark.parametrize(("name", "expected"), [("balancer", {"venv"}), ("system", {"compileall", "pip"})])
def test_each_module_that_the_build_runs_is_in_a_listed_package(name: str, expected: set[str]) -> None:
    assert system_modules(name) == expected
    for module in expected & MODULE_PACKAGES.keys():
        assert MODULE_PACKAGES[module] in deploy(name)["packages"], module


@pytest.mark.parametrize("name", FILES)
def test_the_commands_need_no_other_program(name: str) -> None:
    """Builds are Python: a shell's cmp, cp or rm would need packages of their own."""
    assert programs(name) == {SHELL, "python3"}
    for command in commands(name):
        assert not re.search(r"[;&|<>$`()]", command), command


@pytest.mark.parametrize("file", sorted((ROOT / "scripts").glob("*.py")), ids=lambda file: file.name)
def test_scripts_need_the_standard_library_alone(file: Path) -> None:
    for node in ast.walk(ast.parse(file.read_text())):
        modules: list[str] = []
        if isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            modules = [node.module or ""]
        for module in modules:
            top = module.partition(".")[0]
            assert top == "scripts" or top in sys.stdlib_module_names, module


@pytest.mark.parametrize("name", FILES)
def test_the_build_command_names_a_build_that_exists(name: str) -> None:
    words = shlex.split(deploy(name)["build"])
    assert words[:2] == ["python3", "-m"] and words[2:] == ["scripts.build", name]
    helped = subprocess.run(
        [sys.executable, *words[1:3], "--help"], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    assert name in helped.stdout


def test_requirements_are_those_of_the_package() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert (ROOT / "requirements.txt").read_text().split() == project["dependencies"]


def test_every_requirement_is_in_the_page() -> None:
    """The page tells for each whether a compiler is needed."""
    for requirement in (ROOT / "requirements.txt").read_text().split():
        assert f"`{requirement.partition('==')[0]}`" in PAGE, requirement


def test_each_console_script_exists() -> None:
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    assert list(scripts) == ["otterreach"]
    for target in scripts.values():
        module, _, name = target.partition(":")
        assert callable(getattr(importlib.import_module(module), name))
