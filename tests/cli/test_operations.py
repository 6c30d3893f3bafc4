"""Checks docs/operations.md against the source: its table of log events, its codes and its commands."""

from __future__ import annotations

import ast
import functools
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from otterreach.cli.__main__ import app
from otterreach.cli.codes import ExitCode
from otterreach.cli.local_commands import ROLES

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "operations.md").read_text()
PROGRAMS = {"runtime": "all", "controller": "controller", "jobstore": "jobstore", "proxy": "proxy"}
PACKAGES = tuple(PROGRAMS)
WORD = re.compile(r"[a-z_]+")


def _names(argument: ast.expr) -> Iterator[str]:
    """Yield the string constants in the expression of an event's name."""
    for node in ast.walk(argument):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


def _logged(text: str) -> set[str]:
    """Return the events that a module logs, including those printed before the logger exists."""
    found = set(re.findall(r'print\(f?"event=([a-z_]+)', text))
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log":
            argument = node.args[0]
            branches = [argument.body, argument.orelse] if isinstance(argument, ast.IfExp) else [argument]
            found |= {name for branch in branches for name in _names(branch) if WORD.fullmatch(name)}
    return found


@functools.cache
def events() -> dict[str, set[str]]:
    """Return all logged events with the packages that log them."""
    found: dict[str, set[str]] = {}
    for package in PACKAGES:
        for file in (ROOT / "otterreach" / package).rglob("*.py"):
            for event in _logged(file.read_text()):
                found.setdefault(event, set()).add(package)
    return found


def rows() -> list[tuple[str, str]]:
    """Return the (event, programs) rows of the page's table."""
    section = PAGE.partition("## What the lines mean")[2].partition("\n## ")[0]
    return re.findall(r"^\| `([a-z_]+)` \| ([a-z, ]+) \|", section, re.MULTILINE)


def table() -> list[str]:
    return [event for event, _ in rows()]


class OperationsPageTest(unittest.TestCase):
    def test_each_logged_event_is_documented(self) -> None:
        self.assertEqual(sorted(set(events()) - set(table())), [])

    def test_each_documented_event_is_logged(self) -> None:
        self.assertEqual(sorted(set(table()) - set(events())), [])

    def test_the_documented_programs_log_the_event(self) -> None:
        for event, programs in rows():
            packages = events()[event]
            if "runtime" not in packages:  # events of the shared runtime may be logged by any program
                self.assertEqual(programs.split(", "), sorted(PROGRAMS[package] for package in packages), event)

    def test_in_order_and_once(self) -> None:
        self.assertEqual(table(), sorted(set(table())))

    def test_exit_codes_are_documented(self) -> None:
        rows = re.findall(r"^\| (\d+) \| `([A-Z_]+)` \|", PAGE, re.MULTILINE)
        self.assertEqual([(int(n), name) for n, name in rows], [(code.value, code.name) for code in ExitCode])

    def test_commands_are_there(self) -> None:
        named = set(re.findall(r"python3 -m otterreach.cli ([a-z-]+)", PAGE))
        self.assertTrue(named)
        self.assertLessEqual(named, set(app))

    def test_roles_are_there(self) -> None:
        for role in ROLES:
            self.assertIn(f"`{role}`", PAGE)


if __name__ == "__main__":
    print("not in the page:", *sorted(set(events()) - set(table())))
    print("not in the source:", *sorted(set(table()) - set(events())))
