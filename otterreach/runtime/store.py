"""A replica of the control state: items by key, each with a monotonically increasing revision. Every process holds one.

Tombstones are kept until every replica may drop them: `collected_up_to` is the revision up to which this replica has
dropped them. A replica may drop them only when it has every other item up to that revision, so that an item that is
absent here and is not newer than that revision is known to be deleted (docs/control-state.md).
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from otterreach.runtime.codec import message
from otterreach.runtime.records import Record, key_of

DIGEST_BYTES = 7  # the digest fits the signed 64-bit integer of a message field
ITEM_OVERHEAD_BYTES = 48  # approximate size of an item in a message or a journal, without key and value
RANGES = 128  # number of hash ranges of keys; replicas are compared by one digest for each range

R = TypeVar("R", bound=Record)
Watcher = Callable[["Item"], None]


@message(0)
@dataclass(slots=True)
class Item:
    """One item of the control state; an empty `value` is the tombstone of a deleted one."""

    key: str
    revision: int
    value: bytes

    @property
    def is_tombstone(self) -> bool:
        """True if the item has been deleted."""
        return not self.value

    @property
    def kind(self) -> str:
        """The kind of the item: the key up to the slash."""
        return self.key.partition("/")[0]

    @property
    def name(self) -> str:
        """The name of the item: the key after the slash. Empty for a kind that has a single item."""
        return self.key.partition("/")[2]


def range_of(key: str) -> int:
    """Return the number of the hash range that a key belongs to."""
    return zlib.crc32(key.encode()) % RANGES


def _item_hash(item: Item) -> int:
    """Return the hash that an item contributes to the digests.

    The hash is not a CRC: CRCs are linear, so that two changes could cancel each other out.
    """
    digest = hashlib.blake2b(f"{item.key} {item.revision}".encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "little")


def _size(item: Item) -> int:
    return len(item.key) + len(item.value) + ITEM_OVERHEAD_BYTES


class ReplicatedStore:
    """The items of a replica with their digests and tombstones; each change is passed to the watchers of its kind.

    The class has more than 20 methods because items, digests and tombstones change together: no method outside it can
    change one without the others.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 0  # the highest revision applied
        self.digests = [0] * RANGES
        self.digest = 0  # XOR of the digests of all ranges
        self.bytes = 0  # size of all keys and values, with ITEM_OVERHEAD_BYTES for each item
        self.collected_up_to = 0  # tombstones up to this revision have been dropped here
        self._tombstones: dict[str, Item] = {}
        self._kinds: dict[str, dict[str, Item]] = {}
        self._watchers: dict[str, list[Watcher]] = {}
        self._decoded: dict[str, tuple[int, Any]] = {}  # decoded records by key, with their revisions

    # Reading -------------------------------------------------------------------------------------

    def record(self, kind: type[R], name: str = "") -> R | None:
        """Return the record of an item, or None if there is no such item. It is decoded once for each revision."""
        key = key_of(kind, name)
        item = self.items.get(key)
        if item is None or item.is_tombstone:
            return None
        return self._decode(kind, item)

    def records(self, kind: type[R]) -> dict[str, R]:
        """Return all records of a kind by name, sorted by name."""
        items = self._kinds.get(kind.KIND, {})
        return {name: self._decode(kind, items[name]) for name in sorted(items) if not items[name].is_tombstone}

    def names(self, kind: type[Record]) -> list[str]:
        """Return the names of all items of a kind, tombstones included, in arbitrary order."""
        return list(self._kinds.get(kind.KIND, ()))

    def count(self, kind: type[Record]) -> int:
        """Return the number of items of a kind, tombstones included."""
        return len(self._kinds.get(kind.KIND, ()))

    def _decode(self, kind: type[R], item: Item) -> R:
        known = self._decoded.get(item.key)
        if known is not None and known[0] == item.revision:
            record: R = known[1]
            return record
        record = kind.decode(item.value)
        self._decoded[item.key] = (item.revision, record)
        return record

    # Changes -------------------------------------------------------------------------------------

    def watch(self, kind: type[Record], watcher: Watcher) -> None:
        """Register a watcher that is called with each changed item of a kind."""
        self._watchers.setdefault(kind.KIND, []).append(watcher)

    def apply(self, items: Iterable[Item]) -> list[Item]:
        """Apply the items that are newer than the ones here, and return them.

        Every change of an item goes through this method, except in a replica that is still being built.
        """
        newer = [item for item in items if self._apply_item(item)]
        self._notify_watchers(newer)
        return newer

    def _apply_item(self, item: Item) -> bool:
        known = self.items.get(item.key)
        newest = known.revision if known else self.collected_up_to
        if item.revision <= newest:
            return False
        self._replace(item.key, item)
        self.revision = max(self.revision, item.revision)
        return True

    def _replace(self, key: str, item: Item | None) -> None:
        """Replace the item under a key; with None, only remove it. Update digests, sizes and indexes accordingly."""
        kind, _, name = key.partition("/")
        items_of_kind = self._kinds.setdefault(kind, {})
        change = 0
        if old := self.items.pop(key, None):
            change = _item_hash(old)
            self.bytes -= _size(old)
            self._tombstones.pop(key, None)
            del items_of_kind[name]
        if item:
            change ^= _item_hash(item)
            self.bytes += _size(item)
            self.items[key] = item
            items_of_kind[name] = item
            if item.is_tombstone:
                self._tombstones[key] = item
        self.digests[range_of(key)] ^= change
        self.digest ^= change

    def _notify_watchers(self, items: list[Item]) -> None:
        for item in items:
            for watcher in self._watchers.get(item.kind, ()):
                watcher(item)

    # Complete replicas ---------------------------------------------------------------------------

    def copy(self) -> ReplicatedStore:
        """Return a store with the same items, without watchers and with `collected_up_to` at 0."""
        other = ReplicatedStore()
        other.items = self.items.copy()
        other._tombstones = self._tombstones.copy()
        other._kinds = {kind: items.copy() for kind, items in self._kinds.items()}
        other.digests = self.digests.copy()
        other.digest = self.digest
        other.bytes = self.bytes
        other.revision = self.revision
        return other

    def overwrite_ranges(self, ranges: Iterable[int], items: Iterable[Item]) -> None:
        """Replace the contents of these ranges of keys by these items, whether they are older or newer.

        Watchers are not called: the method is for a replica that is still being built.
        """
        wanted = set(ranges)
        for key in [key for key in self.items if range_of(key) in wanted]:
            self._replace(key, None)
        for item in items:
            self._replace(item.key, item)
            self.revision = max(self.revision, item.revision)

    def range_sizes(self) -> list[int]:
        """Return the size in bytes of the items in each range of keys."""
        sizes = [0] * RANGES
        for item in self.items.values():
            sizes[range_of(item.key)] += _size(item)
        return sizes

    def chunks(self, ranges: Iterable[int], limit: int) -> Iterator[list[int]]:
        """Split these ranges into lists of about `limit` bytes of items, of at least one range each."""
        sizes = self.range_sizes()
        chunk: list[int] = []
        size = 0
        for number in ranges:
            chunk.append(number)
            size += sizes[number]
            if size >= limit:
                yield chunk
                chunk = []
                size = 0
        if chunk:
            yield chunk

    def key_batches(self, limit: int) -> Iterator[list[str]]:
        """Split the present keys into lists of about `limit` bytes of items. Items may change during the iteration."""
        keys: list[str] = []
        size = 0
        for key in list(self.items):
            keys.append(key)
            size += _size(self.items[key]) if key in self.items else 0
            if size >= limit:
                yield keys
                keys = []
                size = 0
        if keys:
            yield keys

    # Tombstones ----------------------------------------------------------------------------------

    @property
    def tombstones(self) -> int:
        """The number of tombstones that are kept."""
        return len(self._tombstones)

    def _collectable(self, revision: int) -> list[Item]:
        return [item for item in self._tombstones.values() if item.revision <= revision]

    def collect(self, revision: int) -> None:
        """Drop tombstones up to `revision`. The replica must have every other item up to that revision."""
        if revision <= self.collected_up_to:
            return
        for item in self._collectable(revision):
            self._replace(item.key, None)
            self._decoded.pop(item.key, None)
        self.collected_up_to = revision

    def digest_once_collected(self, revision: int) -> int:
        """Return the digest that this replica would have after `collect`."""
        digest = self.digest
        if revision <= self.collected_up_to:
            return digest
        for item in self._collectable(revision):
            digest ^= _item_hash(item)
        return digest

    def matches(self, digest: int, collected_up_to: int) -> bool:
        """Return True if another replica has the same items, and then drop the tombstones that it has dropped.

        The other replica has this digest and has dropped its tombstones up to `collected_up_to`. Its digest is compared
        with the one that this replica would have without these tombstones. If both are equal, this replica has every
        other item up to that revision, so it may drop its tombstones as well.
        """
        if self.digest_once_collected(collected_up_to) != digest:
            return False
        self.collect(collected_up_to)
        return True

    # Differences ---------------------------------------------------------------------------------

    def replace_ranges(self, ranges: Iterable[int], items: list[Item], collected_up_to: int) -> list[Item]:
        """Apply the complete contents of these ranges of keys at another replica. Return the items that were newer.

        An item that the other replica lacks in these ranges, and that is older than its `collected_up_to`, has been
        deleted: it is replaced by a tombstone.
        """
        complete_ranges = set(ranges)
        present = {item.key for item in items}
        deleted = [
            Item(key, collected_up_to, b"")
            for key, item in self.items.items()
            if item.revision < collected_up_to
            and not item.is_tombstone
            and key not in present
            and range_of(key) in complete_ranges
        ]
        return self.apply([*deleted, *items])

    def differing_ranges(self, digests: list[int]) -> list[int]:
        """Return the ranges of keys in which another replica's digests differ from the ones here."""
        if len(digests) != RANGES:
            return list(range(RANGES))
        return [number for number in range(RANGES) if digests[number] != self.digests[number]]

    def in_ranges(self, ranges: Iterable[int]) -> list[Item]:
        """Return all items of these ranges."""
        wanted = set(ranges)
        return [item for item in self.items.values() if range_of(item.key) in wanted] if wanted else []

    def differing(self, digests: list[int]) -> list[Item]:
        """Return the items of the ranges in which another replica's digests differ from the ones here."""
        return self.in_ranges(self.differing_ranges(digests))
