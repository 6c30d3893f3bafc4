"""Structured logging to standard error, one line of key=value pairs per event. loguru is imported by the first one."""

from __future__ import annotations

import sys
import time
from typing import Any

_logger: Any = None


def _configure_logger() -> Any:
    global _logger
    from loguru import logger

    logger.remove()
    logger.add(sys.stderr, format="{message}", level="INFO", backtrace=False, diagnose=False)
    _logger = logger
    return logger


def quote(value: Any) -> str:
    """Format a value for a log line; it is quoted if it is empty or contains spaces, quotes, `=` or line breaks."""
    text = str(value)
    if text and not any(c in text for c in ' "=\n'):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", "\\n") + '"'


def log(event: str, level: str = "INFO", **pairs: Any) -> None:
    """Log an event with its key-value pairs; `t` is the monotonic clock in seconds."""
    logger = _logger or _configure_logger()
    rest = " ".join(f"{key}={quote(value)}" for key, value in pairs.items())
    line = f"t={time.monotonic():.3f} level={level} event={event}" + (f" {rest}" if rest else "")
    logger.log(level, "{}", line)
