"""A copy of the control state: items by key, each with a rev that only rises. Every process holds one.

Tombstones are kept until everybody may forget them: `collected` is the rev up to which this copy has dropped them. A
copy may do so only when it has all else up to that rev, so that what is absent here and not newer is known to be gone
(docs/control-state.md).
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from otterreach.runtime.codec import message

MARK_BYTES = 7  # fits a message's signed number
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
    """What an item adds to the digests. Not a CRC: those are linear, and two changes could cancel each other out."""
    digest = hashlib.blake2b(f"{item.key} {item.rev}".encode(), digest_size=MARK_BYTES)
    return int.from_bytes(digest.digest(), "little")


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
        self.collected = 0  # tombstones up to this rev have been dropped here
        self._tombstones: dict[str, Item] = {}
        self._kinds: dict[str, dict[str, Item]] = {}
        self._watchers: dict[str, list[Callable[[Item], None]]] = {}
        self._decoded: dict[str, tuple[int, Any]] = {}

    def watch(self, kind: str, watcher: Callable[[Item], None]) -> None:
        self._watchers.setdefault(kind, []).append(watcher)

    def apply(self, items: Iterable[Item]) -> list[Item]:
        """Take what is newer; the one function that changes an item. Returns what was taken."""
        taken = [item for item in items if self._take(item)]
        self._tell(taken)
        return taken

    def _take(self, item: Item) -> bool:
        old = self.items.get(item.key)
        if old.rev >= item.rev if old else item.rev <= self.collected:
            return False
        self._set(item.key, item)
        self.rev = max(self.rev, item.rev)
        return True

    def _set(self, key: str, item: Item | None) -> None:
        """Put an item in place of what is there under its key; None: nothing is there any more."""
        kind, _, name = key.partition("/")
        named = self._kinds.setdefault(kind, {})
        change = 0
        if old := self.items.pop(key, None):
            change = _mark(old)
            self.bytes -= _size(old)
            self._tombstones.pop(key, None)
            del named[name]
        if item:
            change ^= _mark(item)
            self.bytes += _size(item)
            self.items[key] = named[name] = item
            if item.gone:
                self._tombstones[key] = item
        self.digests[range_of(key)] ^= change
        self.digest ^= change

    def _tell(self, items: list[Item]) -> None:
        for item in items:
            for watcher in self._watchers.get(item.key.partition("/")[0], ()):
                watcher(item)

    # Whole copies --------------------------------------------------------------------------------

    def copy(self) -> ReplicatedStore:
        """Another store with the same items, without watchers, and as if nothing had been collected."""
        other = ReplicatedStore()
        other.items, other._tombstones = self.items.copy(), self._tombstones.copy()
        other._kinds = {kind: items.copy() for kind, items in self._kinds.items()}
        other.digests, other.digest = self.digests.copy(), self.digest
        other.bytes, other.rev = self.bytes, self.rev
        return other

    def overwrite_ranges(self, ranges: Iterable[int], items: Iterable[Item]) -> None:
        """These ranges of keys hold exactly these items from now on, older or newer. Nobody is told: for a copy that is
        still being built."""
        wanted = set(ranges)
        for key in [key for key in self.items if range_of(key) in wanted]:
            self._set(key, None)
        for item in items:
            self._set(item.key, item)
            self.rev = max(self.rev, item.rev)

    def range_sizes(self) -> list[int]:
        """Bytes of items in each range of keys."""
        sizes = [0] * RANGES
        for item in self.items.values():
            sizes[range_of(item.key)] += _size(item)
        return sizes

    def pieces(self, ranges: Iterable[int], limit: int) -> Iterator[list[int]]:
        """These ranges in lists of about `limit` bytes of items, and of one range at least."""
        sizes = self.range_sizes()
        some: list[int] = []
        size = 0
        for number in ranges:
            some.append(number)
            size += sizes[number]
            if size >= limit:
                yield some
                some, size = [], 0
        if some:
            yield some

    # Tombstones ----------------------------------------------------------------------------------

    @property
    def tombstones(self) -> int:
        """How many are kept."""
        return len(self._tombstones)

    def _collectable(self, rev: int) -> list[Item]:
        return [item for item in self._tombstones.values() if item.rev <= rev]

    def collect(self, rev: int) -> None:
        """Drop tombstones up to `rev`. Only for a copy that has all else up to there."""
        if rev <= self.collected:
            return
        for item in self._collectable(rev):
            self._set(item.key, None)
            self._decoded.pop(item.key, None)
        self.collected = rev

    def digest_collected(self, rev: int) -> int:
        """The digest that this copy would have after `collect`."""
        digest = self.digest
        if rev <= self.collected:
            return digest
        for item in self._collectable(rev):
            digest ^= _mark(item)
        return digest

    def equals(self, digest: int, collected: int) -> bool:
        """Whether another copy, of which these are told, has the same items. Then it has proved that this one has all
        else up to `collected` as well, and this one drops what the other has dropped."""
        if self.digest_collected(collected) != digest:
            return False
        self.collect(collected)
        return True

    def replace_ranges(self, ranges: Iterable[int], items: list[Item], collected: int) -> list[Item]:
        """Take all that another copy has in these ranges of keys. What it doesn't have there, and isn't newer than what
        it collected, is gone: that is noted as a tombstone. Returns what was taken."""
        whole, there = set(ranges), {item.key for item in items}
        gone = [
            Item(key, collected, b"")
            for key, item in self.items.items()
            if item.rev < collected and not item.gone and key not in there and range_of(key) in whole
        ]
        return self.apply([*gone, *items])

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

    def differing_ranges(self, digests: list[int]) -> list[int]:
        """The ranges of keys in which another's digests differ from these."""
        if len(digests) != RANGES:
            return list(range(RANGES))
        return [n for n in range(RANGES) if digests[n] != self.digests[n]]

    def in_ranges(self, ranges: Iterable[int]) -> list[Item]:
        """All items of these ranges."""
        wanted = set(ranges)
        return [item for item in self.items.values() if range_of(item.key) in wanted] if wanted else []

    def differing(self, digests: list[int]) -> list[Item]:
        """The items of the ranges in which another's digests differ from these."""
        return self.in_ranges(self.differing_ranges(digests))
