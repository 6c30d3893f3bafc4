"""Each RPC message has the number and the bytes that it had at commit e067fe3 (tests/data/messages.json).

The file names the fields as they were named then; RENAMED_* tell what they are called now. Only names may change.
"""

from __future__ import annotations

import importlib
import json
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import pytest

from otterreach.runtime.codec import NUMBERS, REGISTRY, decode, encode

for module in ("runtime.rpc", "runtime.node", "runtime.relay", "controller.messages", "jobstore.messages"):
    importlib.import_module(f"otterreach.{module}")
importlib.import_module("otterreach.proxy.messages")

MESSAGES: dict[str, Any] = json.loads((Path(__file__).parent.parent / "data" / "messages.json").read_text())
# (table, field) as they were -> the field's name now
RENAMED_FIELDS: dict[tuple[str, str], str] = {
    ("Item", "rev"): "revision",
    ("Changes", "rev"): "revision",
    ("Changes", "asked_ms"): "probe_sent_ms",
    ("Changes", "collected"): "collected_up_to",
    ("ReadJob", "past"): "offset",
    ("Held", "part"): "partition",
    ("Pong", "held"): "served",
    ("ProxyPing", "life"): "incarnation",
    ("Assign", "part"): "partition",
    ("Assign", "works"): "items",
    ("Running", "part"): "partition",
    ("JobAppend", "part"): "partition",
    ("PartInstall", "part"): "partition",
    ("PartInstall", "piece"): "chunk",
    ("PartPing", "parts"): "partitions",
    ("PartSynced", "part"): "partition",
    ("PartDigests", "part"): "partition",
    ("PartLost", "part"): "partition",
    ("Loaded", "gen"): "version",
    ("Release", "ordered_ms"): "since_last_order_ms",
}
# table -> the fields that it got since, at its end, in order; their defaults leave the bytes as they were
ADDED_FIELDS: dict[str, list[str]] = {
    "ProxyPing": ["interval_ms"],
    "GiveBack": ["out_of_reach", "failures"],
    "Work": ["failures"],
    "Operate": ["query"],
}


def value_of(recorded: Any, hint: Any) -> Any:
    """The value that `recorded` stands for, as `hint` says."""
    if get_origin(hint) is list:
        return [value_of(element, get_args(hint)[0]) for element in recorded]
    if hint is bytes:
        return recorded.encode()
    return table_of(recorded, hint) if isinstance(recorded, dict) else recorded


def table_of(recorded: dict[str, Any], cls: type) -> Any:
    """A message or an inner table, each field by its recorded name."""
    hints = get_type_hints(cls)
    values = {}
    for name, value in recorded["fields"].items():
        present = RENAMED_FIELDS.get((recorded["table"], name), name)
        values[present] = value_of(value, hints[present])
    added = ADDED_FIELDS.get(recorded["table"], [])
    assert [*values, *added] == [field.name for field in fields(cls)]
    return cls(**values)


def test_no_message_is_new_or_gone() -> None:
    assert sorted(REGISTRY) == sorted(int(number) for number in MESSAGES)


@pytest.mark.parametrize("number", sorted(map(int, MESSAGES)))
def test_the_bytes_are_the_same(number: int) -> None:
    recorded = MESSAGES[str(number)]
    value = table_of(recorded, REGISTRY[number])
    assert encode(value).hex() == recorded["hex"]


@pytest.mark.parametrize("number", sorted(map(int, MESSAGES)))
def test_the_bytes_are_read_to_the_same_value(number: int) -> None:
    recorded = MESSAGES[str(number)]
    value = decode(number, bytes.fromhex(recorded["hex"]))
    assert value == table_of(recorded, REGISTRY[number])
    assert NUMBERS[type(value)] == number
