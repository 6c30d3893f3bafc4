"""What a process says and hears, by message: counted at its connections, told once a second in a file.

A line holds the steady clock, which all processes of one machine share, and the counts so far.
"""

from __future__ import annotations

import json
import os
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from otterreach.runtime import http, rpc
from otterreach.runtime.codec import REGISTRY, encode

WRITE_INTERVAL_S = 0.5
VARIABLE = "OTTERREACH_METER"  # the file to write; a process without it is not counted

counts: Counter[str] = Counter()
NAMES: dict[int, str] = {}


class CountedLink(rpc.Link):
    """A connection that counts both ways: messages by name, and bytes."""

    def data_received(self, data: bytes) -> None:
        """Count the bytes that come in."""
        counts["in bytes"] += len(data)
        super().data_received(data)

    def _handle_frame(self, call_number: int, message_number: int, flags: int, body: bytes) -> None:
        counts[f"in {_name(message_number)}"] += 1
        super()._handle_frame(call_number, message_number, flags, body)


def counted_encode(value: Any) -> bytes:
    """Every frame that is written is encoded once."""
    body = encode(value)
    counts["out bytes"] += len(body) + rpc.HEADER.size
    counts[f"out {type(value).__name__}"] += 1
    return body


class CountedCaller(http._CallerConnection):
    """A connection of a caller over HTTP."""

    def data_received(self, data: bytes) -> None:
        """Count the bytes that come in."""
        counts["in http"] += 1
        counts["in http bytes"] += len(data)
        super().data_received(data)


def _name(kind: int) -> str:
    name = NAMES.get(kind)
    if name is None:
        cls = REGISTRY.get(kind)
        name = NAMES[kind] = cls.__name__ if cls else str(kind)
    return name


def line(now: float, values: Counter[str]) -> str:
    """The counts as a line of JSON."""
    return json.dumps({"t": round(now, 3), "counts": values})


def install() -> None:
    """Count from now on, if the environment names a file."""
    name = os.environ.get(VARIABLE, "")
    if not name:
        return
    for module, attribute, counted in (
        (rpc, "Link", CountedLink),
        (rpc, "encode", counted_encode),
        (http, "_CallerConnection", CountedCaller),
    ):
        setattr(module, attribute, counted)
    threading.Thread(target=_write_counts, args=(Path(name),), daemon=True).start()


def _write_counts(path: Path) -> None:
    with path.open("a", encoding="utf-8") as file:
        while True:
            print(line(time.monotonic(), Counter(counts)), file=file, flush=True)
            time.sleep(WRITE_INTERVAL_S)


def _nearest(rows: list[dict[str, Any]], at: float) -> dict[str, Any]:
    return min(rows, key=lambda row: abs(float(row["t"]) - at))


def between(text: str, begin: float, end: float) -> tuple[float, Counter[str]]:
    """From the lines of a file: seconds, and what was counted, between the lines nearest to two moments."""
    rows = [json.loads(row) for row in text.splitlines() if row.endswith("}}")]
    if len(rows) < 2:
        return 0.0, Counter()
    first = _nearest(rows, begin)
    last = _nearest(rows, end)
    found = Counter(last["counts"])
    found.subtract(first["counts"])
    return last["t"] - first["t"], Counter({name: count for name, count in found.items() if count > 0})
