"""One key=value line an event, on standard error. loguru is set up at the first line."""

from __future__ import annotations

import sys
import time
from typing import Any

_logger: Any = None


def _set_up() -> Any:
    global _logger
    from loguru import logger

    logger.remove()
    logger.add(sys.stderr, format="{message}", level="INFO", backtrace=False, diagnose=False)
    _logger = logger
    return logger


def quote(value: Any) -> str:
    """A value as it stands in a line: in quotes if it holds blanks."""
    text = str(value)
    if text and not any(c in text for c in ' "=\n'):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", "\\n") + '"'


def log(event: str, level: str = "INFO", **pairs: Any) -> None:
    """`event` and its pairs, values with spaces in quotes; t is the monotonic clock in seconds."""
    logger = _logger or _set_up()
    rest = " ".join(f"{key}={quote(value)}" for key, value in pairs.items())
    line = f"t={time.monotonic():.3f} level={level} event={event}" + (f" {rest}" if rest else "")
    logger.log(level, "{}", line)
