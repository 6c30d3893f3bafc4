"""Histories of all key groups, built from the event items of a control state and updated with them."""

from __future__ import annotations

from otterreach.controller.coordination_records import EventRecord, event_name, split_event_name
from otterreach.coordination.history import GroupHistory
from otterreach.runtime.records import key_of
from otterreach.runtime.store import Item, ReplicatedStore


class GroupHistories:
    """The histories of one state, read from it once and then updated with it. Each state needs its own instance."""

    def __init__(self, state: ReplicatedStore) -> None:
        self.state = state
        self._groups: dict[str, GroupHistory] = {}
        for name, record in state.records(EventRecord).items():
            self._store(name, record)
        state.watch(EventRecord, self._apply)

    def _apply(self, item: Item) -> None:
        if item.is_tombstone:
            group, slot = split_event_name(item.name)
            self.of(group).remove(slot)
        else:
            self._store(item.name, EventRecord.decode(item.value))

    def _store(self, name: str, record: EventRecord) -> None:
        group, slot = split_event_name(name)
        self._groups.setdefault(group, GroupHistory()).store(slot, record.event)

    def of(self, group: str) -> GroupHistory:
        """Return the history of a group; an empty one if the group has no events."""
        return self._groups.get(group) or GroupHistory()

    def oldest_item(self, group: str) -> Item | None:
        """Return the item of a group's oldest event, or None if the group has no events."""
        slot = self.of(group).oldest_slot()
        return None if slot is None else self.state.items.get(key_of(EventRecord, event_name(group, slot)))


class HistoryCache:
    """Cache of the histories of the current state. They are rebuilt only after the whole state has been replaced."""

    def __init__(self) -> None:
        self._cached: GroupHistories | None = None

    def of(self, state: ReplicatedStore) -> GroupHistories:
        """Return the histories of a state."""
        if self._cached is None or self._cached.state is not state:
            self._cached = GroupHistories(state)
        return self._cached
