"""Counts of the messages that a process sends and receives, taken at its connections and written to a file.

A line is written every `WRITE_INTERVAL_S`. It holds the time of the monotonic clock, which all processes of one machine
share, and the counts so far.
"""

from __future__ import annotations

import json
import os
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from otterreach.runtime import http, rpc, rpc_link
from otterreach.runtime.codec import REGISTRY, encode

WRITE_INTERVAL_S = 0.5
METER_VARIABLE = "OTTERREACH_METER"  # names the file to write; messages are not counted if it is unset

counts: Counter[str] = Counter()
MESSAGE_NAMES: dict[int, str] = {}


class CountedLink(rpc_link.Link):
    """RPC connection that counts received messages by name, and received bytes."""

    def data_received(self, data: bytes) -> None:
        """Count received bytes."""
        counts["in bytes"] += len(data)
        super().data_received(data)

    def _handle_frame(self, call_number: int, message_number: int, flags: int, body: bytes) -> None:
        counts[f"in {_name(message_number)}"] += 1
        super()._handle_frame(call_number, message_number, flags, body)


def counted_encode(value: Any) -> bytes:
    """Encode a message and count it as sent: every frame that is written is encoded exactly once."""
    body = encode(value)
    counts["out bytes"] += len(body) + rpc_link.HEADER.size
    counts[f"out {type(value).__name__}"] += 1
    return body


class CountedCaller(http._CallerConnection):
    """HTTP connection of a caller that counts received chunks and bytes."""

    def data_received(self, data: bytes) -> None:
        """Count received bytes."""
        counts["in http"] += 1
        counts["in http bytes"] += len(data)
        super().data_received(data)


# Module, attribute, and the counting version that replaces it.
REPLACEMENTS = (
    (rpc, "Link", CountedLink),
    (rpc_link, "encode", counted_encode),
    (http, "_CallerConnection", CountedCaller),
)


def _name(kind: int) -> str:
    name = MESSAGE_NAMES.get(kind)
    if name is None:
        cls = REGISTRY.get(kind)
        name = MESSAGE_NAMES[kind] = cls.__name__ if cls else str(kind)
    return name


def format_line(now: float, values: Counter[str]) -> str:
    """Return the counts as a line of JSON."""
    return json.dumps({"t": round(now, 3), "counts": values})


def install() -> None:
    """Start to count messages if the environment names a file."""
    name = os.environ.get(METER_VARIABLE, "")
    if not name:
        return
    for module, attribute, replacement in REPLACEMENTS:
        setattr(module, attribute, replacement)
    threading.Thread(target=_write_counts, args=(Path(name),), daemon=True).start()


def _write_counts(path: Path) -> None:
    with path.open("a", encoding="utf-8") as file:
        while True:
            print(format_line(time.monotonic(), Counter(counts)), file=file, flush=True)
            time.sleep(WRITE_INTERVAL_S)


def _nearest(rows: list[dict[str, Any]], at: float) -> dict[str, Any]:
    return min(rows, key=lambda row: abs(float(row["t"]) - at))


def counts_between(text: str, begin: float, end: float) -> tuple[float, Counter[str]]:
    """Return the seconds and the counts between the two lines of a meter file that are nearest to two times."""
    rows = [json.loads(row) for row in text.splitlines() if row.endswith("}}")]
    if len(rows) < 2:
        return 0.0, Counter()
    first = _nearest(rows, begin)
    last = _nearest(rows, end)
    found = Counter(last["counts"])
    found.subtract(first["counts"])
    return last["t"] - first["t"], Counter({name: count for name, count in found.items() if count > 0})
