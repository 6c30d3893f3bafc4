"""The command `otterreach losses`: losses of value in days of the users' bench, as tables and as a plot."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from otterreach.cli.app import app, fail
from otterreach.cli.day_report import DayReport, Outcomes, ReportError, losses, read_reports
from otterreach.runtime.codes import Code, Failure

MIN_SHARE = 0.0005  # smaller losses are omitted from tables and plots
HEIGHT_INCHES = 4.5
WIDTH_INCHES = 11.0


@app.command(name="losses")
def show_losses(
    reports: Annotated[list[Path], Parameter(consume_multiple=True, negative=())], *, plot: Path | None = None
) -> int:
    """Show the reasons for which days lost value.

    :param reports: files that `fleetbench run SITE DAY --report FILE` wrote, or entries of `score` in the journal
    :param plot: image file to write (its extension selects the format); needs matplotlib from the `dev` extra
    """
    days: dict[str, DayReport] = {}
    try:
        for path in reports:
            days |= {f"{path.stem} {report.name}".strip(): report for report in read_reports(path)}
    except ReportError as error:
        return fail(Failure(Code.CONFIG_UNREADABLE, str(error)))
    for name, report in days.items():
        print("\n".join(table(name, report)))
    if plot is not None:
        draw_plot(days, plot)
    return 0


def table(name: str, report: DayReport) -> list[str]:
    """Return the table of a day as lines of text."""
    lines = [f"{name}: {report.figure:.4f} of 1", "  lost    by"]
    lines += [f"  {loss.share:6.4f}  {loss.kind}: {loss.name}" for loss in losses(report) if loss.share >= MIN_SHARE]
    lines += [f"  broken rule: {rule}, {count} times" for rule, count in report.breaks.items()]
    for title, rows in (("class", report.classes), ("zone", report.zones), ("second", report.windows)):
        lines += _partly_earned_lines(title, rows)
    return lines


def _partly_earned_lines(title: str, rows: Sequence[Outcomes]) -> list[str]:
    """Return lines for the rows that earned less than their full value."""
    return [
        f"  {title} {row.name}: earned {row.earned:.3f}; of {row.count} late {row.late}, rejected {row.refused}, "
        f"failed {row.failed}"
        for row in rows
        if row.earned < 1 - MIN_SHARE
    ]


def draw_plot(days: dict[str, DayReport], path: Path) -> None:
    """Draw a stacked bar of losses for each day, with one colour per reason."""
    from matplotlib.figure import Figure  # imported here, since it is an optional dependency

    names = sorted({loss.name for report in days.values() for loss in losses(report) if loss.share >= MIN_SHARE})
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    bottoms = [0.0] * len(days)
    for name in names:
        shares = [sum(loss.share for loss in losses(report) if loss.name == name) for report in days.values()]
        axes.bar(list(days), shares, bottom=bottoms, label=name)
        bottoms = [bottom + share for bottom, share in zip(bottoms, shares, strict=True)]
    axes.set_ylabel("share of the day's value lost")
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize="small")
    figure.savefig(path)
