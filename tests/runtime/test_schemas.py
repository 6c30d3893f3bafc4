"""The files of otterreach/schemas match the message classes. `python3 -m tests.runtime.test_schemas` writes them."""

from __future__ import annotations

import importlib
import unittest
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

from hypothesis import given, settings
from hypothesis import strategies as st

from otterreach.runtime import codec

ROOT = Path(__file__).parent.parent.parent
SCHEMAS = ROOT / "otterreach" / "schemas"
PACKAGES = ("runtime", "controller", "jobstore", "proxy")
WORDS: dict[Any, st.SearchStrategy[Any]] = {
    int: st.integers(-(2**63), 2**63 - 1),
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    str: st.text(),
    bytes: st.binary(),
}


def modules() -> Iterator[str]:
    """Return the modules that define messages."""
    for package in PACKAGES:
        for file in sorted((ROOT / "otterreach" / package).glob("*.py")):
            if "@message(" in file.read_text() and file.stem != "codec":
                yield f"otterreach.{package}.{file.stem}"


def schemas() -> dict[str, str]:
    for name in modules():
        importlib.import_module(name)
    texts = {f"{name.removeprefix('otterreach.')}.fbs": codec.schema(name) for name in modules()}
    return {name: text for name, text in texts.items() if "table " in text}


def kind_of(hint: Any) -> st.SearchStrategy[Any]:
    if get_origin(hint) is list:
        return st.lists(kind_of(get_args(hint)[0]), max_size=3)
    return WORDS[hint] if hint in WORDS else built(hint)


def built(cls: type) -> st.SearchStrategy[Any]:
    hints = get_type_hints(cls)
    return st.builds(cls, **{field.name: kind_of(hints[field.name]) for field in fields(cls)})


schemas()
NUMBERS = sorted(codec.REGISTRY)
ANY = st.sampled_from(NUMBERS).flatmap(lambda number: built(codec.REGISTRY[number]))


class SchemasTest(unittest.TestCase):
    def test_files_are_the_classes(self) -> None:
        on_disk = {file.name: file.read_text() for file in SCHEMAS.glob("*.fbs")}
        self.assertEqual(schemas(), on_disk)

    def test_all_defaults(self) -> None:
        for number in NUMBERS:
            cls = codec.REGISTRY[number]
            empty = codec.decode(number, codec.encode(cls(*(self._nothing(cls, f.name) for f in fields(cls)))))
            self.assertEqual(type(empty), cls)

    def _nothing(self, cls: type, name: str) -> Any:
        hint = get_type_hints(cls)[name]
        return [] if get_origin(hint) is list else hint()

    @settings(max_examples=300, deadline=None)
    @given(ANY)
    def test_round_trip(self, value: Any) -> None:
        self.assertEqual(value, codec.decode(codec.NUMBERS[type(value)], codec.encode(value)))

    @settings(max_examples=500, deadline=None)
    @given(st.sampled_from([*NUMBERS, 0, 65535]), st.binary(max_size=400))
    def test_garbage(self, number: int, data: bytes) -> None:
        self._read(number, data)

    @settings(max_examples=500, deadline=None)
    @given(ANY, st.data())
    def test_damaged(self, value: Any, data: st.DataObject) -> None:
        whole = bytearray(codec.encode(value))
        for _ in range(data.draw(st.integers(1, 4))):
            whole[data.draw(st.integers(0, len(whole) - 1))] = data.draw(st.integers(0, 255))
        cut = data.draw(st.integers(0, len(whole)))
        self._read(codec.NUMBERS[type(value)], bytes(whole[: cut or len(whole)]))

    def _read(self, number: int, data: bytes) -> None:
        """Decoding returns a message of the right type or raises MessageError, with memory bounded by the input."""
        try:
            value = codec.decode(number, data)
        except codec.MessageError:
            return
        self.assertIs(type(value), codec.REGISTRY[number])
        codec.encode(value)


if __name__ == "__main__":
    SCHEMAS.mkdir(exist_ok=True)
    for old in SCHEMAS.glob("*.fbs"):
        old.unlink()
    for name, text in schemas().items():
        (SCHEMAS / name).write_text(text)
