"""PUT, PATCH and GET /config."""

from __future__ import annotations

from otterreach.controller import config
from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNCLEAR,
    ControlState,
    encode_item,
    refusal,
    when_committed,
    write,
)
from otterreach.controller.change_history import EMPTY_HISTORY, ChangeHistory
from otterreach.controller.config_schema import Config
from otterreach.controller.messages import Operate, Operated
from otterreach.runtime.codes import Failure
from otterreach.runtime.log import log
from otterreach.runtime.store import ReplicatedStore

MAX_CHANGES_UNDER_WAY = 32  # more than these get 503 at once: each may have a body of many megabytes
FORMER_HISTORY = "taken"  # the item that kept a list of the last changes before there was one item for each


class ConfigurationResource:
    """Changes and reads of the configuration."""

    def __init__(self, control: ControlState, published: ReplicatedStore) -> None:
        self.control = control
        self.published = published  # what all copies have
        self._changes_under_way = 0
        self._followed: ReplicatedStore | None = None  # the state that `_followed_history` goes with
        self._followed_history = EMPTY_HISTORY

    async def handle(self, call: Operate) -> Operated:
        if call.method == "GET":
            return await self._read()
        if call.method not in ("PUT", "PATCH"):
            return METHOD_NOT_ALLOWED
        if self._changes_under_way >= MAX_CHANGES_UNDER_WAY:
            return UNCLEAR
        self._changes_under_way += 1
        try:
            return await self._change(call)
        finally:
            self._changes_under_way -= 1

    async def _read(self) -> Operated:
        if not await self.control.confirm():
            return UNCLEAR
        item = self.published.items.get("config")
        if item is None or item.gone:
            return NOT_FOUND
        return Operated(200, item.value)

    async def _change(self, call: Operate) -> Operated:
        if_match = config.parse_if_match(call.match)
        if isinstance(if_match, Failure):
            return refusal(if_match)
        # From here to `write` nothing is waited for: no other change comes in between.
        state = self.control.state
        history = self._history_of(state)
        found = config.check_change(call.method, call.body, state.get("config"), if_match, history)
        if isinstance(found, Failure):
            log("config_refused", code=int(found.code), reason=found.reason)
            return await when_committed(self.control, refusal(found))
        if found is config.ALREADY:
            return await when_committed(self.control, OK)
        assert isinstance(found, dict)
        return await self._accept(found, history.item(config.change_of(call.method, call.body, if_match)))

    def _history_of(self, state: ReplicatedStore) -> ChangeHistory:
        """Read anew only when the whole state was replaced: reading thousands of changes takes its time."""
        if self._followed is not state:
            self._followed, self._followed_history = state, ChangeHistory.follow(state)
        return self._followed_history

    async def _accept(self, new: Config, history_item: tuple[str, bytes]) -> Operated:
        changes = [("config", encode_item(new)), history_item]
        if self.control.state.get(FORMER_HISTORY) is not None:
            changes.append((FORMER_HISTORY, b""))
        epoch = self.control.number
        if not await write(self.control, changes):
            return UNCLEAR
        log("config_taken", gen=new["gen"], epoch=epoch)
        return OK
