"""Messages between own processes as flatbuffers tables.

A message is a dataclass with a number; its fields, in order, are the slots of its table. `schema` writes the .fbs
text of a module's messages, so that the schema in the repository and the classes can be held against each other.
Fields: int (long), bool, float (double), str (string), bytes ([ubyte]), list of int, str or of messages.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from dataclasses import fields
from types import ModuleType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

if "numpy" in sys.modules:
    from flatbuffers.builder import Builder
else:
    # flatbuffers loads numpy wherever it is installed, for arrays that no message here has: half of a start's time.
    sys.modules["numpy"] = ModuleType("numpy")
    try:
        from flatbuffers.builder import Builder
    finally:
        del sys.modules["numpy"]
from flatbuffers.number_types import BoolFlags, Float64Flags, Int64Flags
from flatbuffers.table import Table

T = TypeVar("T")
REGISTRY: dict[int, type] = {}
NUMBERS: dict[type, int] = {}
_PLANS: dict[type, list[tuple[str, Any, Any]]] = {}


class MessageError(ValueError):
    """Bytes that are no such message."""


def message(number: int) -> Callable[[type[T]], type[T]]:
    """Register a dataclass as message `number`; 0 for a table that only stands inside others."""

    def register(cls: type[T]) -> type[T]:
        if number:
            if number in REGISTRY:
                raise ValueError(f"message number {number} is taken by {REGISTRY[number].__name__}")
            REGISTRY[number] = cls
            NUMBERS[cls] = number
        return cls

    return register


def _plan(cls: type) -> list[tuple[str, Any, Any]]:
    """(field, kind, element kind) for each slot."""
    plan = _PLANS.get(cls)
    if plan is None:
        hints = get_type_hints(cls)
        plan = []
        for field in fields(cls):
            hint = hints[field.name]
            kind, element = (list, get_args(hint)[0]) if get_origin(hint) is list else (hint, None)
            plan.append((field.name, kind, element))
        _PLANS[cls] = plan
    return plan


def _vector(builder: Builder, element: Any, values: list[Any]) -> int:
    if element is int:
        builder.StartVector(8, len(values), 8)
        for value in reversed(values):
            builder.PrependInt64(value)
        return int(builder.EndVector())
    offsets = [builder.CreateString(v) if element is str else _build(builder, v) for v in values]
    builder.StartVector(4, len(offsets), 4)
    for offset in reversed(offsets):
        builder.PrependUOffsetTRelative(offset)
    return int(builder.EndVector())


def _build(builder: Builder, value: Any) -> int:
    plan = _plan(type(value))
    offsets: list[int] = []
    for name, kind, element in plan:
        part = getattr(value, name)
        if kind is list:
            offsets.append(_vector(builder, element, part) if part else 0)
        elif kind is str:
            offsets.append(builder.CreateString(part) if part else 0)
        elif kind is bytes:
            offsets.append(builder.CreateByteVector(part) if part else 0)
        else:
            offsets.append(0)
    builder.StartObject(len(plan))
    for slot, (name, kind, _) in enumerate(plan):
        part = getattr(value, name)
        if kind is int:
            builder.PrependInt64Slot(slot, part, 0)
        elif kind is bool:
            builder.PrependBoolSlot(slot, part, False)
        elif kind is float:
            builder.PrependFloat64Slot(slot, part, 0.0)
        else:
            builder.PrependUOffsetTRelativeSlot(slot, offsets[slot], 0)
    return int(builder.EndObject())


def _size(value: Any) -> int:
    size = 64
    for name, kind, element in _plan(type(value)):
        part = getattr(value, name)
        if kind is bytes or kind is str:
            size += len(part) + 16
        elif kind is list:
            size += sum(_size(v) if element not in (int, str) else 24 for v in part)
    return size


def encode(value: Any) -> bytes:
    """The message as a flatbuffer, without its number."""
    builder = Builder(_size(value))
    builder.Finish(_build(builder, value))
    return bytes(builder.Output())


def _read(cls: type, buffer: bytes, at: int) -> Any:
    table, values = Table(buffer, at), []
    for slot, (_, kind, element) in enumerate(_plan(cls)):
        offset = table.Offset(4 + 2 * slot)
        values.append(_default(kind) if not offset else _field(table, offset, kind, element, buffer))
    return cls(*values)


def _default(kind: Any) -> Any:
    return [] if kind is list else kind()


def _field(table: Table, offset: int, kind: Any, element: Any, buffer: bytes) -> Any:
    if kind is int:
        return table.Get(Int64Flags, offset + table.Pos)
    if kind is bool:
        return bool(table.Get(BoolFlags, offset + table.Pos))
    if kind is float:
        return table.Get(Float64Flags, offset + table.Pos)
    if kind is str:
        return table.String(offset + table.Pos).decode()
    start, length = table.Vector(offset), table.VectorLen(offset)
    if kind is bytes:
        return bytes(buffer[start : start + length])
    if element is int:
        return list(struct.unpack_from(f"<{length}q", buffer, start))
    if element is str:
        return [table.String(start + 4 * n).decode() for n in range(length)]
    return [_read(element, buffer, table.Indirect(start + 4 * n)) for n in range(length)]


def decode(number: int, buffer: bytes) -> Any:
    """The message of that number. Raises MessageError."""
    cls = REGISTRY.get(number)
    if cls is None:
        raise MessageError(f"no message has number {number}")
    try:
        return _read(cls, buffer, struct.unpack_from("<I", buffer, 0)[0])
    except (struct.error, IndexError, UnicodeDecodeError, TypeError, ValueError, OverflowError, MemoryError) as error:
        raise MessageError(f"{cls.__name__}: {error}") from None


_WORDS = {int: "long", bool: "bool", float: "double", str: "string", bytes: "[ubyte]"}


def schema(module: str) -> str:
    """The .fbs text of the messages that `module` defines, by number."""
    classes: dict[str, type] = {}

    def add(cls: type) -> None:
        for _, _, element in _plan(cls):
            if isinstance(element, type) and element not in _WORDS:
                add(element)
        classes.setdefault(cls.__name__, cls)

    for number in sorted(REGISTRY):
        if REGISTRY[number].__module__ == module:
            add(REGISTRY[number])
    lines = [f"namespace {module.rpartition('.')[0]};", ""]
    for name, cls in classes.items():
        number = NUMBERS.get(cls, 0)
        lines.append(f"table {name} {{" + (f"  // message {number}" if number else ""))
        for field, kind, element in _plan(cls):
            word = f"[{_WORDS.get(element) or element.__name__}]" if kind is list else _WORDS[kind]
            lines.append(f"  {field}:{word};")
        lines += ["}", ""]
    return "\n".join(lines)
