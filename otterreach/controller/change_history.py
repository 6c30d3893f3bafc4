"""The accepted changes of the configuration, by which a change that is sent again is recognised.

Versions only rise, and a change is accepted only on the version that is current: so each version has at most one
change that was accepted on top of it. Each accepted change is one small item of the control state, written together
with the configuration that it made. The items form a ring: a new change takes the place of the oldest, the set of keys
never grows beyond the ring, and nothing has to be deleted.
"""

from __future__ import annotations

import hashlib

from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.records import AcceptedChange, ItemChange, put
from otterreach.runtime.store import Item, ReplicatedStore

CHANGES_REMEMBERED = 4096  # three days of 1,300 changes
DIGEST_BYTES = 16


def digest_of(method: str, base: int, body: bytes) -> str:
    """Names one call: its method, the version that it builds on, and its exact body."""
    digest = hashlib.blake2b(f"{method} {base}\n".encode(), digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


class ChangeHistory:
    """The newest accepted changes, by their slots in the ring."""

    def __init__(self, slots: dict[int, AcceptedChange], complete_from: int) -> None:
        self._slots = slots
        self._digests = {change.base: change.digest for change in slots.values()}
        self._newest_slot = max(slots, key=lambda slot: slots[slot].base, default=-1)
        self._complete_from = complete_from  # every change accepted on this version or a later one is known

    @classmethod
    def follow(cls, state: ReplicatedStore) -> ChangeHistory:
        """The history that goes with the configuration in `state`, read once and then kept up with it."""
        slots = {int(slot): change for slot, change in state.records(AcceptedChange).items()}
        configuration = state.record(ConfigurationRecord)
        version = configuration.version if configuration else 0
        history = cls(slots, min((change.base for change in slots.values()), default=version))
        state.watch(AcceptedChange, history.apply)
        return history

    def apply(self, item: Item) -> None:
        """A change has been accepted: it takes the place of the oldest."""
        slot = int(item.name)
        change = AcceptedChange.decode(item.value)
        former = self._slots.get(slot)
        self._slots[slot] = change
        self._digests[change.base] = change.digest
        self._newest_slot = slot
        if former is not None and former.base != change.base:
            del self._digests[former.base]
            self._complete_from = min(self._digests)

    def has(self, change: AcceptedChange) -> bool:
        """Whether exactly this change was accepted."""
        return self._digests.get(change.base) == change.digest

    def is_forgotten(self, base: int) -> bool:
        """Whether a change on this version may have been accepted longer ago than is remembered."""
        return base < self._complete_from

    def item_for(self, change: AcceptedChange) -> ItemChange:
        """The item to be written for a change that is accepted now."""
        slot = (self._newest_slot + 1) % CHANGES_REMEMBERED
        return put(change, str(slot))


EMPTY_HISTORY = ChangeHistory({}, 0)
