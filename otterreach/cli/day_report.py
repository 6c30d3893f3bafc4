"""The report that a day of the users' bench leaves, and where the worth of the day was lost.

A day's figure is the sum of its parts, each by its weight, less the prices. So what a part lacks of 1, times its
weight, and each price are losses that add up to what the day lacks of 1.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path

from mashumaro import DataClassDictMixin, field_options
from mashumaro.exceptions import InvalidFieldValue, MissingField

PART = "part"
PRICE = "price"


class ReportError(ValueError):
    """A file that is no report of a day; the text says why."""


@dataclass(frozen=True, slots=True)
class Outcomes(DataClassDictMixin):
    """How the requests of one kind, of one zone or of one span of time ended."""

    name: str
    count: int = field(metadata=field_options(alias="n"))
    in_target: int = field(metadata=field_options(alias="in_aim"))  # answered within their latency target
    late: int
    refused: int
    failed: int
    earned: float = field(metadata=field_options(alias="worth"))  # as a share of what was owed


@dataclass(frozen=True, slots=True)
class DayReport(DataClassDictMixin):
    """What is used of a report. Shares are of the day's worth."""

    figure: float = field(metadata=field_options(alias="G"))
    parts: list[tuple[str, float, float]]  # name, weight, value
    prices: list[tuple[str, float, float]]  # name, amount in its own unit, share of the worth
    name: str = ""  # of the day, where the file holds several
    classes: list[Outcomes] = field(default_factory=list)
    zones: list[Outcomes] = field(default_factory=list)
    windows: list[Outcomes] = field(default_factory=list)  # named by their first second
    breaks: dict[str, int] = field(default_factory=dict)  # broken rules


@dataclass(frozen=True, slots=True)
class Loss:
    """One reason why a day earned less than all."""

    kind: str  # PART or PRICE
    name: str
    share: float


def read_reports(path: Path) -> list[DayReport]:
    """The reports in a file: the report of one day, or the journal's entry of a score with a list of days.

    :raises ReportError: if the file can't be read, or lacks a field
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        if not isinstance(document, dict):
            raise ReportError(f"{path}: no report of a day: not an object")
        return [DayReport.from_dict(day) for day in document.get("days", [document])]
    except (OSError, ValueError) as error:
        raise ReportError(f"{path}: {error}") from None
    except (MissingField, InvalidFieldValue) as error:
        raise ReportError(f"{path}: no report of a day: {error.field_name}") from None


def losses(report: DayReport) -> list[Loss]:
    """All losses of a day, the largest first. Their sum is what the day's figure lacks of 1."""
    found = [Loss(PART, name, weight * (1 - value)) for name, weight, value in report.parts]
    found += [Loss(PRICE, name, share) for name, _, share in report.prices]
    return sorted((loss for loss in found if loss.share > 0), key=lambda loss: (-loss.share, loss.name))
