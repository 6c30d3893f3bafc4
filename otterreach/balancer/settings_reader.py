"""Typed access to settings in JSON, with errors that name the setting."""

from __future__ import annotations

from math import isfinite
from typing import Any

MAX_FACTOR = 1e9  # bound of settings without a unit: the product with a time stays a representable time


class SettingsError(ValueError):
    """A setting is missing, has the wrong type or is out of range; the message names it."""


class Reader:
    """Typed access to a JSON object, with errors that name the path of the key."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"setting {path or '(root)'}: expected an object, got {type(raw).__name__}")
        self._raw = raw
        self._path = path

    def _get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self._raw.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"setting {self._path}{key}: missing")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"setting {self._path}{key}: wrong type {type(value).__name__}")
        if isinstance(value, float) and not isfinite(value):
            raise SettingsError(f"setting {self._path}{key}: not finite")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return a number, truncated to an integer."""
        return int(self._get(key, (int, float), default))

    def positive(self, key: str) -> int:
        """Return an integer above 0."""
        value = self.integer(key)
        if value <= 0:
            raise SettingsError(f"setting {self._path}{key}: {value} is not above 0")
        return value

    def duration(self, key: str, default: int | None = None) -> int:
        """Return a duration of 0 or more."""
        value = self.integer(key, default)
        if value < 0:
            raise SettingsError(f"setting {self._path}{key}: {value} is below 0")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        return float(self._get(key, (int, float), default))

    def factor(self, key: str, default: float | None = None, most: float = MAX_FACTOR) -> float:
        """Return a number from 0 to `most`."""
        value = self.number(key, default)
        if not 0 <= value <= most:
            raise SettingsError(f"setting {self._path}{key}: {value} is not between 0 and {most:g}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return str(self._get(key, (str,), default))

    def flag(self, key: str) -> bool:
        """Return a boolean; False if the key is absent."""
        return bool(self._get(key, (bool,), False))

    def items(self, key: str, required: bool = False) -> list[Any]:
        """Return a list of values of any type."""
        return list(self._get(key, (list,), None if required else []))

    def child(self, key: str, required: bool = True) -> Reader:
        """Return a reader of the object under the key."""
        return Reader(self._get(key, (dict,), None if required else {}), f"{self._path}{key}.")

    def children(self, key: str, required: bool = True) -> list[Reader]:
        """Return readers of the objects in the list under the key."""
        rows = self.items(key, required)
        return [Reader(row, f"{self._path}{key}[{n}].") for n, row in enumerate(rows)]
