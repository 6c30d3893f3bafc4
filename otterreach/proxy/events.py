"""Events of a stream (text/event-stream), read as the bytes come."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 8 * 1024 * 1024


@dataclass(slots=True)
class Event:
    """One event of a stream."""

    ident: int | None  # None: it has none, or one that is no number
    data: bytes
    version: int | None  # of the weights, where it changes with this event
    raw: bytes  # as it came, with the empty line that ends it


def read_event(raw: bytes) -> Event:
    """One event, without the empty line that ends it."""
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
    """Bytes in, whole events out; what is begun stays until its end has come."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self.rest.strip(b"\n"))

    def feed(self, data: bytes) -> list[Event]:
        """The events that these bytes complete."""
        rest = self.rest + data
        if b"\r" in rest:
            held = b"\r" if rest.endswith(b"\r") else b""  # its line feed may come with the next bytes
            rest = rest[: len(rest) - len(held)].replace(b"\r\n", b"\n").replace(b"\r", b"\n") + held
        if b"\n\n" not in rest:
            self.rest = rest
            return []
        *whole, self.rest = rest.split(b"\n\n")
        return [read_event(raw.strip(b"\n")) for raw in whole if raw.strip(b"\n")]


def versions_of(value: bytes | None) -> int | None:
    """The version that a head's Weight-Versions names; the last if there are several."""
    numbers = [part.strip() for part in (value or b"").split(b",")]
    return int(numbers[-1]) if numbers[-1].isdigit() else None


class Transcript:
    """The events of one run, over all servers that made it: in order, none missing, none twice."""

    __slots__ = ("_data", "broken", "last", "version", "versions")

    def __init__(self) -> None:
        self._data: list[bytes] = []
        self.last: int | None = None  # the id of the last event
        self.version: int | None = None  # under which events are being made
        self.versions: list[int] = []  # each that made an event
        self.broken = False  # an event does not join on: this run is of no more use

    def __len__(self) -> int:
        return len(self._data)

    @property
    def text(self) -> bytes:
        """What has been generated so far."""
        return b"\n".join(self._data)

    def take(self, event: Event) -> bool:
        """Whether it is the next one; any other spoils the run.

        Danger: an event that is here already means that the server did not go on where it was asked to, so what follows
        belongs to another run.
        """
        if event.version is not None:
            self.version = event.version
        joins = not self._data or event.ident == (None if self.last is None else self.last + 1)
        if self.broken or not joins:
            self.broken = True
            return False
        self.last = event.ident
        self._data.append(event.data)
        if self.version is not None and self.version not in self.versions:
            self.versions.append(self.version)
        return True
