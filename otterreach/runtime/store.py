"""A copy of the control state: items by key, each with a rev that only rises. Every process holds one."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from otterreach.runtime.codec import message

ITEM_BYTES = 48  # of an item in a message or a journal, besides key and value, about
RANGES = 128  # what differs is found by digests over so many ranges of keys


@message(0)
@dataclass(slots=True)
class Item:
    """One item of the control state; empty `value`: it is gone."""

    key: str
    rev: int
    value: bytes

    @property
    def gone(self) -> bool:
        return not self.value


def range_of(key: str) -> int:
    return zlib.crc32(key.encode()) % RANGES


def _mark(item: Item) -> int:
    return zlib.crc32(f"{item.key} {item.rev}".encode())


def _size(item: Item) -> int:
    return len(item.key) + len(item.value) + ITEM_BYTES


class ReplicatedStore:
    """Items in; each change is told to those who watch its kind of key (what stands before the slash)."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.rev = 0  # the highest seen
        self.digests = [0] * RANGES
        self.digest = 0  # over all of them
        self.bytes = 0  # of all keys and values
        self._kinds: dict[str, dict[str, Item]] = {}
        self._watchers: dict[str, list[Callable[[Item], None]]] = {}
        self._decoded: dict[str, tuple[int, Any]] = {}

    def watch(self, kind: str, watcher: Callable[[Item], None]) -> None:
        self._watchers.setdefault(kind, []).append(watcher)

    def apply(self, items: Iterable[Item]) -> list[Item]:
        """Take what is newer; the one function that changes an item. Returns what was taken."""
        taken = []
        for item in items:
            old = self.items.get(item.key)
            if old and old.rev >= item.rev:
                continue
            change = _mark(item) ^ (_mark(old) if old else 0)
            self.digests[range_of(item.key)] ^= change
            self.digest ^= change
            self.bytes += _size(item) - (_size(old) if old else 0)
            self.items[item.key] = item
            kind, _, name = item.key.partition("/")
            self._kinds.setdefault(kind, {})[name] = item
            self.rev = max(self.rev, item.rev)
            taken.append(item)
        for item in taken:
            for watcher in self._watchers.get(item.key.partition("/")[0], ()):
                watcher(item)
        return taken

    def get(self, key: str) -> Any:
        """The value of an item, read from JSON once; None if there is none."""
        item = self.items.get(key)
        if item is None or item.gone:
            return None
        known = self._decoded.get(key)
        if known is None or known[0] != item.rev:
            known = self._decoded[key] = (item.rev, json.loads(item.value))
        return known[1]

    def named(self, kind: str) -> dict[str, Any]:
        """All that are there of one kind: what stands behind the slash -> value."""
        items = self._kinds.get(kind, {})
        return {name: self.get(items[name].key) for name in sorted(items) if not items[name].gone}

    def batches(self, limit: int) -> Iterator[list[str]]:
        """The keys that are there now, in lists of about `limit` bytes of items. The items may change meanwhile."""
        keys: list[str] = []
        size = 0
        for key in list(self.items):
            keys.append(key)
            size += _size(self.items[key]) if key in self.items else 0
            if size >= limit:
                yield keys
                keys, size = [], 0
        if keys:
            yield keys

    def differing(self, digests: list[int]) -> list[Item]:
        """The items of the ranges in which another's digests differ from these."""
        if len(digests) != RANGES:
            return list(self.items.values())
        ranges = {n for n in range(RANGES) if digests[n] != self.digests[n]}
        return [item for item in self.items.values() if range_of(item.key) in ranges] if ranges else []
