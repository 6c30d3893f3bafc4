"""The encoding of messages between the processes of the system as flatbuffers tables.

A message is a dataclass with a number; its fields, in order, are the slots of its table. `schema` generates the .fbs
text of a module's messages, so that a test can compare the schemas in the repository with the classes. Field types are
int (long), bool, float (double), str (string), bytes ([ubyte]), and lists of int, str or messages.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from dataclasses import dataclass, fields
from types import ModuleType
from typing import Any, Generic, TypeVar, get_args, get_origin, get_type_hints

if "numpy" in sys.modules:
    from flatbuffers.builder import Builder
else:
    # flatbuffers imports numpy if it is installed, which takes half of a process's start time. It needs numpy only
    # for arrays, which no message here has, so an empty module takes its place during the import.
    sys.modules["numpy"] = ModuleType("numpy")
    try:
        from flatbuffers.builder import Builder
    finally:
        del sys.modules["numpy"]
from flatbuffers.number_types import BoolFlags, Float64Flags, Int64Flags
from flatbuffers.table import Table

from otterreach.runtime.codes import Code, Failure

T = TypeVar("T")
ReplyT = TypeVar("ReplyT")
ReplyT_co = TypeVar("ReplyT_co", covariant=True)


class Request(Generic[ReplyT_co]):
    """The base class of requests: the reply to a `Request[Pong]` is a Pong or a Failure."""

    __slots__ = ()

    def passed_on_size(self) -> int:
        """Return the size of a caller's body that the request passes on; 0 for requests of the system's own."""
        return 0


@dataclass(frozen=True, slots=True)
class FieldPlan:
    """The encoding of one field of a message."""

    name: str
    kind: Any  # type of the field; `list` for a list
    element: Any = None  # type of the elements of a list


REGISTRY: dict[int, type] = {}  # message classes by number
NUMBERS: dict[type, int] = {}  # numbers by message class
REPLIES: dict[type, type] = {}  # reply types by request type
_FIELD_PLANS: dict[type, list[FieldPlan]] = {}


class MessageError(ValueError):
    """The bytes can't be decoded as the message."""


def message(number: int) -> Callable[[type[T]], type[T]]:
    """Register a dataclass as message `number`; 0 for a table that occurs only nested in others."""

    def register(cls: type[T]) -> type[T]:
        """Add the class to the registry, and the type of its reply if it is a request."""
        if number:
            if number in REGISTRY:
                raise ValueError(
                    f"message number {number} of {cls.__name__} is already used by {REGISTRY[number].__name__}"
                )
            REGISTRY[number] = cls
            NUMBERS[cls] = number
            for base in getattr(cls, "__orig_bases__", ()):
                REPLIES[cls] = get_args(base)[0]
        return cls

    return register


def _field_plans(cls: type) -> list[FieldPlan]:
    """Return the encodings of a class's fields in the order of their slots."""
    plans = _FIELD_PLANS.get(cls)
    if plans is None:
        hints = get_type_hints(cls)
        plans = [_plan_field(field.name, hints[field.name]) for field in fields(cls)]
        _FIELD_PLANS[cls] = plans
    return plans


def _plan_field(name: str, hint: Any) -> FieldPlan:
    if get_origin(hint) is list:
        return FieldPlan(name, list, get_args(hint)[0])
    return FieldPlan(name, hint)


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
    plans = _field_plans(type(value))
    offsets: list[int] = []
    for field in plans:
        content = getattr(value, field.name)
        if field.kind is list:
            offsets.append(_vector(builder, field.element, content) if content else 0)
        elif field.kind is str:
            offsets.append(builder.CreateString(content) if content else 0)
        elif field.kind is bytes:
            offsets.append(builder.CreateByteVector(content) if content else 0)
        else:
            offsets.append(0)
    builder.StartObject(len(plans))
    for slot, field in enumerate(plans):
        content = getattr(value, field.name)
        if field.kind is int:
            builder.PrependInt64Slot(slot, content, 0)
        elif field.kind is bool:
            builder.PrependBoolSlot(slot, content, False)
        elif field.kind is float:
            builder.PrependFloat64Slot(slot, content, 0.0)
        else:
            builder.PrependUOffsetTRelativeSlot(slot, offsets[slot], 0)
    return int(builder.EndObject())


def _size(value: Any) -> int:
    """Return the approximate size of a message in bytes, from which the builder allocates its buffer."""
    size = 64
    for field in _field_plans(type(value)):
        content = getattr(value, field.name)
        if field.kind is bytes or field.kind is str:
            size += len(content) + 16
        elif field.kind is list:
            size += sum(_size(element) if field.element not in (int, str) else 24 for element in content)
    return size


def encode(value: Any) -> bytes:
    """Encode a message as a flatbuffer, which does not contain its number."""
    builder = Builder(_size(value))
    builder.Finish(_build(builder, value))
    return bytes(memoryview(builder.Bytes)[builder.Head() :])  # Output() would make a copy to be copied again


def _read(cls: type, buffer: bytes, position: int) -> Any:
    table = Table(buffer, position)
    values = []
    for slot, field in enumerate(_field_plans(cls)):
        offset = table.Offset(4 + 2 * slot)
        values.append(_read_field(table, offset, field, buffer) if offset else _default(field.kind))
    return cls(*values)


def _default(kind: Any) -> Any:
    return [] if kind is list else kind()


def _read_field(table: Table, offset: int, field: FieldPlan, buffer: bytes) -> Any:
    kind = field.kind
    element = field.element
    if kind is int:
        return table.Get(Int64Flags, offset + table.Pos)
    if kind is bool:
        return bool(table.Get(BoolFlags, offset + table.Pos))
    if kind is float:
        return table.Get(Float64Flags, offset + table.Pos)
    if kind is str:
        return table.String(offset + table.Pos).decode()
    start = table.Vector(offset)
    length = table.VectorLen(offset)
    if kind is bytes:
        return bytes(buffer[start : start + length])
    if element is int:
        return list(struct.unpack_from(f"<{length}q", buffer, start))
    if element is str:
        return [table.String(start + 4 * n).decode() for n in range(length)]
    return [_read(element, buffer, table.Indirect(start + 4 * n)) for n in range(length)]


def decode(number: int, buffer: bytes) -> Any:
    """Decode the message with that number. Raise MessageError."""
    cls = REGISTRY.get(number)
    if cls is None:
        raise MessageError(f"unknown message number {number}")
    try:
        return _read(cls, buffer, struct.unpack_from("<I", buffer, 0)[0])
    except (struct.error, IndexError, UnicodeDecodeError, TypeError, ValueError, OverflowError, MemoryError) as error:
        raise MessageError(f"{cls.__name__}: {error}") from None


def checked_reply(request: Request[ReplyT], reply: Any) -> ReplyT | Failure:
    """Return the reply if it has the type that the request expects, else a Failure."""
    is_expected = isinstance(reply, (Failure, REPLIES[type(request)]))
    if is_expected:
        return reply  # type: ignore[no-any-return]
    return Failure(Code.BAD_MESSAGE, f"{type(reply).__name__} in answer to {type(request).__name__}")


def decode_as(kind: type[T], buffer: bytes) -> T:
    """Decode a message of that type. Raise MessageError."""
    value: T = decode(NUMBERS[kind], buffer)
    return value


_SCHEMA_TYPES = {int: "long", bool: "bool", float: "double", str: "string", bytes: "[ubyte]"}


def schema(module: str) -> str:
    """Return the .fbs text of the messages that `module` defines, in the order of their numbers."""
    classes: dict[str, type] = {}

    def add(cls: type) -> None:
        """Add a table after the tables that are nested in it."""
        for field in _field_plans(cls):
            if isinstance(field.element, type) and field.element not in _SCHEMA_TYPES:
                add(field.element)
        classes.setdefault(cls.__name__, cls)

    for number in sorted(REGISTRY):
        if REGISTRY[number].__module__ == module:
            add(REGISTRY[number])
    lines = [f"namespace {module.rpartition('.')[0]};", ""]
    for name, cls in classes.items():
        number = NUMBERS.get(cls, 0)
        lines.append(f"table {name} {{" + (f"  // message {number}" if number else ""))
        lines += [f"  {field.name}:{_schema_type(field)};" for field in _field_plans(cls)]
        lines += ["}", ""]
    return "\n".join(lines)


def _schema_type(field: FieldPlan) -> str:
    if field.kind is not list:
        return _SCHEMA_TYPES[field.kind]
    return f"[{_SCHEMA_TYPES.get(field.element) or field.element.__name__}]"
