"""Incremental parser for event streams (text/event-stream), and the transcript of a generated text."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 8 * 1024 * 1024


@dataclass(slots=True)
class Event:
    """One event of a stream."""

    ident: int | None  # None: no id, or not a number
    data: bytes
    version: int | None  # the weight version, if it changes with this event
    raw: bytes  # the bytes as received, including the terminating empty line


def read_event(raw: bytes) -> Event:
    """Parse one event, given without the terminating empty line."""
    ident = None
    version = None
    data: list[bytes] = []
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value[1:] if value[:1] == b" " else value
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            ident = int(value)
        elif name == b"weight-versions" and value.strip().isdigit():
            version = int(value)
    return Event(ident, b"\n".join(data), version, raw + b"\n\n")


class EventReader:
    """Splits a byte stream into complete events; buffers an incomplete event."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    @property
    def partial(self) -> bool:
        """True if an incomplete event is buffered."""
        return bool(self.rest.strip(b"\n"))

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete."""
        rest = self.rest + data
        if b"\r" in rest:
            pending = b"\r" if rest.endswith(b"\r") else b""  # the line feed may follow in the next bytes
            rest = rest[: len(rest) - len(pending)].replace(b"\r\n", b"\n").replace(b"\r", b"\n") + pending
        if b"\n\n" not in rest:
            self.rest = rest
            return []
        *complete, self.rest = rest.split(b"\n\n")
        return [read_event(raw.strip(b"\n")) for raw in complete if raw.strip(b"\n")]


def versions_of(value: bytes | None) -> int | None:
    """Return the version named by a Weight-Versions header; the last one if there are several."""
    numbers = [part.strip() for part in (value or b"").split(b",")]
    return int(numbers[-1]) if numbers[-1].isdigit() else None


class Transcript:
    """The events of one generated text across all servers that generated it: in order, without gaps or duplicates."""

    __slots__ = ("_data", "broken", "last", "version", "versions")

    def __init__(self) -> None:
        self._data: list[bytes] = []
        self.last: int | None = None  # the id of the last event
        self.version: int | None = None  # the weight version of the next events
        self.versions: list[int] = []  # all versions that generated an event
        self.broken = False  # an event was out of sequence: the text can't be continued

    def __len__(self) -> int:
        return len(self._data)

    @property
    def text(self) -> bytes:
        """The text generated so far."""
        return b"\n".join(self._data)

    def append(self, event: Event) -> bool:
        """Append the next event and return True; an event out of sequence breaks the transcript.

        A duplicate event is not skipped: it means that the server did not resume where it was asked to, so the events
        that follow belong to a different text.
        """
        if event.version is not None:
            self.version = event.version
        is_next = not self._data or event.ident == (None if self.last is None else self.last + 1)
        if self.broken or not is_next:
            self.broken = True
            return False
        self.last = event.ident
        self._data.append(event.data)
        if self.version is not None and self.version not in self.versions:
            self.versions.append(self.version)
        return True
