"""The latest entries of a partition's log, for replicas that lag by only a few entries."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from otterreach.jobstore.journal_records import LogPosition
from otterreach.jobstore.messages import Entry

MIN_BYTES = 128 * 1024  # always kept
MAX_BYTES = 8 * 1024 * 1024  # kept only while another replica needs them


@dataclass(frozen=True, slots=True)
class _PositionedEntry:
    position: LogPosition  # before the entry
    entry: Entry


class RecentEntries:
    """Entries in log order, with the position before each."""

    def __init__(self) -> None:
        self._entries: deque[_PositionedEntry] = deque()
        self._bytes = 0

    def append(self, position: LogPosition, entry: Entry) -> None:
        """Append an entry; `position` is the log position before it."""
        self._entries.append(_PositionedEntry(position, entry))
        self._bytes += len(entry.body)

    def trim(self, retained_from: int) -> None:
        """Drop the oldest entries above the size limits. Those from the index `retained_from` on are still needed."""
        while self._entries:
            is_needed = self._entries[0].position.index >= retained_from
            if self._bytes <= (MAX_BYTES if is_needed else MIN_BYTES):
                return
            self._bytes -= len(self._entries.popleft().entry.body)

    def clear(self) -> None:
        """Drop all entries, since the log has been replaced."""
        self._entries.clear()
        self._bytes = 0

    def contains(self, position: LogPosition) -> bool:
        """Return True if all entries after this position are here."""
        if not self._entries:
            return False
        offset = self._offset_of(position)
        return 0 <= offset < len(self._entries) and self._entries[offset].position.chain == position.chain

    def _offset_of(self, position: LogPosition) -> int:
        return position.index - self._entries[0].position.index

    def after(self, position: LogPosition, limit: int) -> list[Entry]:
        """Return the entries after a contained position: about `limit` bytes, and at least one entry."""
        entries: list[Entry] = []
        size = 0
        for entry in self._entries_from(position):
            size += len(entry.body)
            if entries and size > limit:
                break
            entries.append(entry)
        return entries

    def _entries_from(self, position: LogPosition) -> Iterator[Entry]:
        if self._entries:
            for positioned in islice(self._entries, self._offset_of(position), None):
                yield positioned.entry
