"""Reports of days of the users' bench, and the losses of value that account for a day's figure.

A day's figure is the weighted sum of its parts, minus the prices. So the losses, (1 - value) * weight of each part and
the share of each price, add up to 1 minus the figure.
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
    """Raised for a file that is not a report of a day, with the reason."""


@dataclass(frozen=True, slots=True)
class Outcomes(DataClassDictMixin):
    """Outcomes of the requests of one class, one zone or one time window."""

    name: str
    count: int = field(metadata=field_options(alias="n"))
    in_target: int = field(metadata=field_options(alias="in_aim"))  # answered within their latency target
    late: int
    refused: int
    failed: int
    earned: float = field(metadata=field_options(alias="worth"))  # as a fraction of the value that could be earned


@dataclass(frozen=True, slots=True)
class DayReport(DataClassDictMixin):
    """The fields of a report that are used. Shares are fractions of the day's total value."""

    figure: float = field(metadata=field_options(alias="G"))
    parts: list[tuple[str, float, float]]  # name, weight, value
    prices: list[tuple[str, float, float]]  # name, amount in its own unit, share of the value
    name: str = ""  # name of the day, if the file holds several
    classes: list[Outcomes] = field(default_factory=list)
    zones: list[Outcomes] = field(default_factory=list)
    windows: list[Outcomes] = field(default_factory=list)  # named by their first second
    breaks: dict[str, int] = field(default_factory=dict)  # number of violations by rule


@dataclass(frozen=True, slots=True)
class Loss:
    """One reason why a day earned less than its full value."""

    kind: str  # PART or PRICE
    name: str
    share: float


def read_reports(path: Path) -> list[DayReport]:
    """Return the reports in a file: the report of one day, or the list `days` of a journal entry that `score` wrote.

    :raises ReportError: if the file can't be read, or a field is missing or invalid
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        if not isinstance(document, dict):
            raise ReportError(f"{path}: not a report of a day: expected a JSON object")
        return [DayReport.from_dict(day) for day in document.get("days", [document])]
    except (OSError, ValueError) as error:
        raise ReportError(f"{path}: {error}") from None
    except (MissingField, InvalidFieldValue) as error:
        raise ReportError(f"{path}: not a report of a day: missing or invalid field {error.field_name}") from None


def losses(report: DayReport) -> list[Loss]:
    """Return all losses of a day, the largest first. Their sum is 1 minus the day's figure."""
    found = [Loss(PART, name, weight * (1 - value)) for name, weight, value in report.parts]
    found += [Loss(PRICE, name, share) for name, _, share in report.prices]
    return sorted((loss for loss in found if loss.share > 0), key=lambda loss: (-loss.share, loss.name))
