"""The histories of all groups of keys, kept up with the event items of a control state."""

from __future__ import annotations

from otterreach.controller.coordination_records import EventRecord, event_name, split_event_name
from otterreach.coordination.history import GroupHistory
from otterreach.runtime.records import key_of
from otterreach.runtime.store import Item, ReplicatedStore


class GroupHistories:
    """Read once from a state, and then kept up with it. Another state needs another one."""

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
        """The history of a group; an empty one if nothing was put into it."""
        return self._groups.get(group) or GroupHistory()

    def oldest_item(self, group: str) -> Item | None:
        """The item of a group's oldest event."""
        slot = self.of(group).oldest_slot()
        return None if slot is None else self.state.items.get(key_of(EventRecord, event_name(group, slot)))


class FollowedHistories:
    """The histories that go with the present state: they are read anew only when the whole state was replaced."""

    def __init__(self) -> None:
        self._followed: GroupHistories | None = None

    def of(self, state: ReplicatedStore) -> GroupHistories:
        """The histories of this state."""
        if self._followed is None or self._followed.state is not state:
            self._followed = GroupHistories(state)
        return self._followed
