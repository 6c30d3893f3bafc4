"""PUT, PATCH and GET /config."""

from __future__ import annotations

from otterreach.controller import config
from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    ControlState,
    rejection,
    when_committed,
    write,
)
from otterreach.controller.change_history import EMPTY_HISTORY, ChangeHistory
from otterreach.controller.config_schema import Document
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.runtime.codes import Failure
from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.log import log
from otterreach.runtime.records import ItemChange, LegacyChangeList, delete, key_of, put
from otterreach.runtime.store import ReplicatedStore

MAX_CHANGES_IN_PROGRESS = 32  # further changes get 503 immediately: each may have a body of many megabytes
CONFIGURATION_KEY = key_of(ConfigurationRecord)
FORMER_CHANGES_KEY = key_of(LegacyChangeList)


class ConfigurationResource:
    """Handles changes and reads of the configuration."""

    def __init__(self, control: ControlState, published: ReplicatedStore) -> None:
        self.control = control
        self.published = published  # the state that is on all replicas
        self._changes_in_progress = 0
        self._cached: ReplicatedStore | None = None  # the state that `_cached_history` was read from
        self._cached_history = EMPTY_HISTORY

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        if call.method == "GET":
            return await self._read()
        if call.method not in ("PUT", "PATCH"):
            return METHOD_NOT_ALLOWED
        if self._changes_in_progress >= MAX_CHANGES_IN_PROGRESS:
            return UNAVAILABLE
        self._changes_in_progress += 1
        try:
            return await self._change(call)
        finally:
            self._changes_in_progress -= 1

    async def _read(self) -> ApiResponse:
        if not await self.control.confirm_leadership():
            return UNAVAILABLE
        item = self.published.items.get(CONFIGURATION_KEY)
        if item is None or item.is_tombstone:
            return NOT_FOUND
        return ApiResponse(200, item.value)

    async def _change(self, call: ApiCall) -> ApiResponse:
        if_match = config.parse_if_match(call.match)
        if isinstance(if_match, Failure):
            return rejection(if_match)
        # Nothing may be awaited from here to `write`, so that no other change is accepted in between.
        state = self.control.state
        history = self._history_of(state)
        current = state.record(ConfigurationRecord)
        document = current.document if current else None
        result = config.check_change(call.method, call.body, document, if_match, history)
        if isinstance(result, Failure):
            log("config_rejected", code=int(result.code), reason=result.reason)
            return await when_committed(self.control, rejection(result))
        if result is config.REPEATED:
            return await when_committed(self.control, OK)
        assert isinstance(result, dict)
        return await self._accept(result, history.item_for(config.change_of(call.method, call.body, if_match)))

    def _history_of(self, state: ReplicatedStore) -> ChangeHistory:
        """Return the change history of a state.

        It is rebuilt only after the whole state has been replaced, because reading thousands of changes is slow.
        """
        if self._cached is not state:
            self._cached = state
            self._cached_history = ChangeHistory.follow(state)
        return self._cached_history

    async def _accept(self, document: Document, history_item: ItemChange) -> ApiResponse:
        record = ConfigurationRecord(document)
        changes = [put(record), history_item]
        former_changes = self.control.state.items.get(FORMER_CHANGES_KEY)
        if former_changes is not None and not former_changes.is_tombstone:
            changes.append(delete(LegacyChangeList))
        epoch = self.control.number
        if not await write(self.control, changes):
            return UNAVAILABLE
        log("config_accepted", version=record.version, epoch=epoch)
        return OK
