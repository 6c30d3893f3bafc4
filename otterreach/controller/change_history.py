"""The history of accepted configuration changes, used to recognise a repeated change.

Versions only increase, and a change is accepted only on top of the current version, so each version has at most one
accepted change based on it. Each accepted change is one small item of the control state, written together with the
resulting configuration. The items form a ring buffer: a new change overwrites the oldest, so the set of keys is bounded
and nothing has to be deleted.
"""

from __future__ import annotations

import hashlib

from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.records import AcceptedChange, ItemChange, put
from otterreach.runtime.store import Item, ReplicatedStore

RING_SLOTS = 4096  # slots in the ring; three days at 1,300 changes a day
DIGEST_BYTES = 16


def digest_of(method: str, base: int, body: bytes) -> str:
    """Return a digest that identifies a call by its method, the version that it is based on, and its exact body."""
    digest = hashlib.blake2b(f"{method} {base}\n".encode(), digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


class ChangeHistory:
    """The newest accepted changes, by slot in the ring."""

    def __init__(self, slots: dict[int, AcceptedChange], complete_from: int) -> None:
        self._slots = slots
        self._digests = {change.base: change.digest for change in slots.values()}
        self._newest_slot = max(slots, key=lambda slot: slots[slot].base, default=-1)
        self._complete_from = complete_from  # the lowest version from which on every accepted change is known

    @classmethod
    def follow(cls, state: ReplicatedStore) -> ChangeHistory:
        """Return the history in `state`, read once and then updated with each change of `state`."""
        slots = {int(slot): change for slot, change in state.records(AcceptedChange).items()}
        configuration = state.record(ConfigurationRecord)
        version = configuration.version if configuration else 0
        history = cls(slots, min((change.base for change in slots.values()), default=version))
        state.watch(AcceptedChange, history.apply)
        return history

    def apply(self, item: Item) -> None:
        """Add an accepted change, which overwrites the oldest one in its slot."""
        slot = int(item.name)
        change = AcceptedChange.decode(item.value)
        former = self._slots.get(slot)
        self._slots[slot] = change
        self._digests[change.base] = change.digest
        self._newest_slot = slot
        if former is not None and former.base != change.base:
            del self._digests[former.base]
            self._complete_from = min(self._digests)

    def was_accepted(self, change: AcceptedChange) -> bool:
        """Return True if exactly this change was accepted."""
        return self._digests.get(change.base) == change.digest

    def may_be_overwritten(self, base: int) -> bool:
        """Return True if a change based on this version may have been accepted and overwritten since."""
        return base < self._complete_from

    def item_for(self, change: AcceptedChange) -> ItemChange:
        """Return the item to write for a change that is being accepted."""
        slot = (self._newest_slot + 1) % RING_SLOTS
        return put(change, str(slot))


EMPTY_HISTORY = ChangeHistory({}, 0)
