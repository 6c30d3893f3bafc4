"""GET /watch/GROUP: return the puts in a key group after a revision as soon as there are any."""

from __future__ import annotations

from otterreach.controller.api.coordination_answers import answer, refusal
from otterreach.controller.api.coordination_calls import Watch, read_name, read_watch
from otterreach.controller.api.coordination_fields import FieldError
from otterreach.controller.api.coordination_resource import CoordinationResource
from otterreach.controller.api.resource import METHOD_NOT_ALLOWED, UNAVAILABLE, ControlState
from otterreach.controller.group_histories import HistoryCache
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.watch_hub import TooManyWatchesError, WatchHub
from otterreach.runtime.codes import Code, Failure


def wait_s(call: ApiCall) -> float:
    """Return the time that a watch may wait for an event; 0 for an invalid call."""
    try:
        return read_watch("", call.query).wait_ms / 1000
    except FieldError:
        return 0.0


class WatchResource(CoordinationResource):
    """Handles watches. A response contains committed events only.

    A response without events is sent only while this controller is confirmed to be the primary. A watch from revision 0
    returns the current revision immediately, or waits for the first put into an empty group.
    """

    def __init__(self, control: ControlState, histories: HistoryCache, hub: WatchHub) -> None:
        self.control = control
        self.histories = histories
        self.hub = hub

    async def decide(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        if call.method != "GET":
            return METHOD_NOT_ALLOWED
        group = read_name(call)
        return await self._watch(read_watch(group, call.query))

    async def _watch(self, watch: Watch) -> ApiResponse:
        if not await self.control.confirm_leadership():
            return UNAVAILABLE
        revision = self.hub.committed_revision(watch.group)
        if watch.past == 0 < revision:
            return answer(events=[], rev=revision)
        if watch.wait_ms == 0 or revision > watch.past:
            return self._events(watch, revision)
        try:
            reached = await self.hub.wait(watch.group, watch.past, watch.wait_ms / 1000)
        except TooManyWatchesError:
            return refusal(Failure(Code.COORDINATION_LIMIT, "too many watches wait"))
        if not reached:
            return UNAVAILABLE
        return await self._after_wait(watch)

    async def _after_wait(self, watch: Watch) -> ApiResponse:
        """Return the response after a wait.

        Committed events are final, whereas only the primary knows that there are none, which has to be confirmed.
        """
        revision = self.hub.committed_revision(watch.group)
        if revision <= watch.past:
            if not await self.control.confirm_leadership():
                return UNAVAILABLE
            revision = self.hub.committed_revision(watch.group)
        return self._events(watch, revision)

    def _events(self, watch: Watch, revision: int) -> ApiResponse:
        if watch.past >= revision:
            return answer(events=[], rev=revision)
        events = self.histories.of(self.control.state).of(watch.group).between(watch.past, revision)
        if events is None:
            return refusal(Failure(Code.HISTORY_GONE, f"past: {watch.past} is older than the events that are kept"))
        rows = [{"name": event.name, "value": event.value, "rev": event.revision} for event in events]
        return answer(events=rows, rev=revision)
