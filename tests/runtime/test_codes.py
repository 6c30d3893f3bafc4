"""docs/codes.md matches otterreach.runtime.codes. `python3 -m tests.runtime.test_codes` writes it."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from otterreach.runtime import codes
from otterreach.runtime.codes import Code, Failure

PAGE = Path(__file__).parent.parent.parent / "docs" / "codes.md"
LINE = re.compile(r"^    ([A-Z_]+) = (\d+)  # (.+)$", re.MULTILINE)
HEAD = """# Result codes

What one part of the system answers another in place of a result, by number. A number keeps its meaning for ever.

| number | name | meaning |
| --- | --- | --- |
"""


def rows() -> list[tuple[str, int, str]]:
    return [(name, int(number), text) for name, number, text in LINE.findall(Path(codes.__file__).read_text())]


def page() -> str:
    return HEAD + "".join(f"| {number} | `{name}` | {text} |\n" for name, number, text in rows())


class CodesTest(unittest.TestCase):
    def test_each_code_has_a_comment(self) -> None:
        self.assertEqual([(code.name, code.value) for code in Code], [row[:2] for row in rows()])

    def test_no_number_twice(self) -> None:
        numbers = [row[1] for row in rows()]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_page_matches_the_enum(self) -> None:
        self.assertEqual(page(), PAGE.read_text())

    def test_failure_is_false_but_not_none(self) -> None:
        failure = Failure(Code.CLOSED, "gone")
        self.assertFalse(failure)
        self.assertTrue(failure.maybe_done)
        self.assertFalse(Failure(Code.UNREACHABLE, "never sent").maybe_done)


if __name__ == "__main__":
    PAGE.write_text(page())
