"""The command `otterreach losses`: reading of reports, sum of the losses, printed tables and the plot."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from otterreach.cli.__main__ import main
from otterreach.cli.day_report import PART, PRICE, ReportError, losses, read_reports
from otterreach.runtime.codes import Code


def outcomes(name: str, worth: float = 1.0, late: int = 0) -> dict[str, Any]:
    return {"name": name, "n": 10, "in_aim": 10 - late, "late": late, "refused": 0, "failed": 0, "worth": worth}


def a_report(**changes: Any) -> dict[str, Any]:
    report: dict[str, Any] = {
        "G": 0.85,
        "parts": [["whole day", 0.4, 0.9], ["worst class", 0.6, 1.0]],
        "prices": [["orders", 139.0, 0.01], ["machine-seconds", 1620.0, 0.1], ["probes", 0.0, 0.0]],
        "classes": [outcomes("reading", 0.9, late=1), outcomes("rollout")],
        "zones": [outcomes("a")],
        "windows": [outcomes("0")],
        "breaks": {},
        "a field of a later bench": 1,
    }
    return report | changes


class LossesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, report: dict[str, Any], name: str = "day.json") -> Path:
        path = self.folder / name
        path.write_text(json.dumps(report))
        return path

    def run_command(self, *arguments: str | Path) -> tuple[int, str, str]:
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            code = main(["losses", *map(str, arguments)])
        return code, out.getvalue(), errors.getvalue()

    def test_losses_add_up_to_what_the_day_lacks_and_the_largest_comes_first(self) -> None:
        found = losses(*read_reports(self.file(a_report())))
        self.assertEqual(
            [(loss.kind, loss.name) for loss in found],
            [(PRICE, "machine-seconds"), (PART, "whole day"), (PRICE, "orders")],
        )
        self.assertAlmostEqual(sum(loss.share for loss in found), 1 - 0.85)

    def test_each_day_is_a_table_with_what_did_not_earn_all(self) -> None:
        code, out, _ = self.run_command(self.file(a_report()), self.file(a_report(breaks={"TWICE": 2}), "b.json"))
        self.assertEqual(code, 0)
        self.assertIn("day: 0.8500 of 1", out)
        self.assertIn("0.1000  price: machine-seconds", out)
        self.assertIn("class reading: earned 0.900; of 10 late 1, rejected 0, failed 0", out)
        self.assertNotIn("class rollout", out)
        self.assertIn("b: 0.8500 of 1", out)
        self.assertEqual(out.count("broken rule: TWICE, 2 times"), 1)

    def test_a_plot_is_written_where_it_is_asked_for(self) -> None:
        picture = self.folder / "losses.svg"
        code, _, _ = self.run_command(self.file(a_report()), "--plot", picture)
        self.assertEqual(code, 0)
        self.assertIn("machine-seconds", picture.read_text())

    def test_an_invalid_report_is_rejected_with_file_and_reason(self) -> None:
        incomplete = a_report()
        del incomplete["prices"]
        cases = {"lacks.json": json.dumps(incomplete), "cut.json": "{", "list.json": "[]"}
        for name, text in cases.items():
            with self.subTest(name):
                path = self.folder / name
                path.write_text(text)
                code, _, errors = self.run_command(path)
                self.assertEqual(code, int(Code.CONFIG_UNREADABLE))
                self.assertIn(name, errors)
        with self.assertRaises(ReportError):
            read_reports(self.folder / "absent.json")

    def test_an_entry_of_the_journal_holds_several_days(self) -> None:
        days = [{key: a_report()[key] for key in ("G", "parts", "prices")} | {"name": name} for name in ("x-1", "x-2")]
        code, out, _ = self.run_command(self.file({"days": days, "cmd": "score"}, "entry.json"))
        self.assertEqual(code, 0)
        self.assertIn("entry x-1: 0.8500 of 1", out)
        self.assertIn("entry x-2: 0.8500 of 1", out)
