"""GET and PUT /cells/ID: read a key, and set it if it has the expected revision."""

from __future__ import annotations

import json

from otterreach.controller.api.coordination_answers import (
    MAX_NAMES,
    MAX_STATE_BYTES,
    CoordinationState,
    after_commit,
    after_repeat,
    after_write,
    answer,
    refusal,
)
from otterreach.controller.api.coordination_calls import read_name, read_put
from otterreach.controller.api.coordination_resource import CoordinationResource
from otterreach.controller.api.resource import METHOD_NOT_ALLOWED, NOT_FOUND
from otterreach.controller.coordination_records import EventRecord, KeyRecord, event_name
from otterreach.controller.group_histories import HistoryCache
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination import keyspace
from otterreach.coordination.history import Event
from otterreach.coordination.keyspace import Entry, Put, group_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.records import put

MAX_GROUP_EVENTS = 16_384  # events of a group within their retention period
MAX_GROUP_BYTES = 4 * 1024 * 1024  # total size of those events


class KeyResource(CoordinationResource):
    """Handles keys and the histories of their groups."""

    def __init__(
        self, control: CoordinationState, histories: HistoryCache, receipts: ReceiptTimes, retention_s: float
    ) -> None:
        """:param retention_s: the minimum time for which an event is retained in its group's history"""
        self.control = control
        self.histories = histories
        self.receipts = receipts
        self.retention_s = retention_s

    async def decide(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        name = read_name(call)
        if call.method == "GET":
            return await self._read(name)
        if call.method != "PUT":
            return METHOD_NOT_ALLOWED
        return await self._put(read_put(name, call.body))

    def _entry(self, name: str) -> Entry | None:
        record = self.control.state.record(KeyRecord, name)
        return record.entry if record else None

    async def _read(self, name: str) -> ApiResponse:
        entry = self._entry(name)
        if entry is None:
            return await after_commit(self.control, NOT_FOUND)
        return await after_commit(self.control, answer(value=entry.value, rev=entry.revision))

    async def _put(self, request: Put) -> ApiResponse:
        entry = self._entry(request.name)
        group = group_of(request.name)
        histories = self.histories.of(self.control.state)
        result = keyspace.put(request, entry, histories.of(group))
        if isinstance(result, keyspace.Repeated):
            return await after_repeat(self.control, answer(rev=result.revision))
        if isinstance(result, keyspace.Conflict):
            conflict = ApiResponse(412, json.dumps({"rev": result.revision}).encode())
            return await after_commit(self.control, conflict)
        slot = self._slot_for(group)
        if slot is None or self._is_full(is_new=entry is None):
            return refusal(Failure(Code.COORDINATION_LIMIT, f"{group}: too many keys or events"))
        written = result.entry
        event = Event(request.name, written.value, written.revision, written.expected)
        changes = [put(KeyRecord(written), request.name), put(EventRecord(event), event_name(group, slot))]
        return await after_write(self.control, changes, answer(rev=written.revision))

    def _slot_for(self, group: str) -> int | None:
        """Return the slot for the next event of a group, or None if the history is full of events to be retained."""
        histories = self.histories.of(self.control.state)
        history = histories.of(group)
        oldest = histories.oldest_item(group)
        if oldest is not None and self.receipts.age_s(oldest) >= self.retention_s:
            return history.oldest_slot()
        is_full = len(history) >= MAX_GROUP_EVENTS or history.bytes >= MAX_GROUP_BYTES
        return None if is_full else history.new_slot()

    def _is_full(self, is_new: bool) -> bool:
        state = self.control.state
        return state.bytes >= MAX_STATE_BYTES or (is_new and state.count(KeyRecord) >= MAX_NAMES)
