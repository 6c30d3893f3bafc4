"""GET /watch/GROUP: the puts in a group of keys above a revision, as soon as there is one."""

from __future__ import annotations

from otterreach.controller.api.coordination_answers import answer, refusal
from otterreach.controller.api.coordination_calls import Watch, read_name, read_watch
from otterreach.controller.api.coordination_fields import FieldError
from otterreach.controller.api.coordination_resource import CoordinationResource
from otterreach.controller.api.resource import METHOD_NOT_ALLOWED, UNAVAILABLE, ControlState
from otterreach.controller.group_histories import FollowedHistories
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.watch_hub import TooManyWatchesError, WatchHub
from otterreach.runtime.codes import Code, Failure


def wait_s(call: ApiCall) -> float:
    """How long a watch may wait for an event; 0 for one that can't be read."""
    try:
        return read_watch("", call.query).wait_ms / 1000
    except FieldError:
        return 0.0


class WatchResource(CoordinationResource):
    """Watches. An answer names committed events only, and is given while this surely is the primary.

    A watch from revision 0 learns the present revision at once, or waits for the first put into an empty group.
    """

    def __init__(self, control: ControlState, histories: FollowedHistories, hub: WatchHub) -> None:
        self.control = control
        self.histories = histories
        self.hub = hub

    async def decide(self, call: ApiCall) -> ApiResponse:
        """Answer a call, at the primary."""
        if call.method != "GET":
            return METHOD_NOT_ALLOWED
        group = read_name(call)
        return await self._watch(read_watch(group, call.query))

    async def _watch(self, watch: Watch) -> ApiResponse:
        if not await self.control.confirm():
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
        """Events are committed for good; that there are none is known at the primary only."""
        revision = self.hub.committed_revision(watch.group)
        if revision <= watch.past:
            if not await self.control.confirm():
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
