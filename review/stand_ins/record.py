"""The record of a run: what was sent, answered and run, with times in seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines of `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def add(self, event: str, **fields: object) -> None:
        """Add a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():9.4f} {event} {text}".rstrip())

    def write(self, summary: list[str]) -> None:
        """Write the file: a summary, then all lines."""
        self.path.write_text("\n".join([*summary, "", *self.lines]) + "\n")
