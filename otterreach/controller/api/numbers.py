"""POST /numbers/ID: return a number above all those already returned under this name."""

from __future__ import annotations

from otterreach.controller.api.coordination_answers import CoordinationState, after_write, answer, has_room, refusal
from otterreach.controller.api.coordination_calls import check_number, read_name
from otterreach.controller.api.coordination_resource import CoordinationResource
from otterreach.controller.api.resource import METHOD_NOT_ALLOWED
from otterreach.controller.coordination_records import NumberRecord
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.coordination.counters import next_value
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.records import put


class NumberResource(CoordinationResource):
    """Handles counters. Each number is written before it is returned."""

    def __init__(self, control: CoordinationState) -> None:
        self.control = control

    async def decide(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        if call.method != "POST":
            return METHOD_NOT_ALLOWED
        name = read_name(call)
        check_number(call.body)
        return await self._next(name)

    async def _next(self, name: str) -> ApiResponse:
        state = self.control.state
        record = state.record(NumberRecord, name)
        if record is None and not has_room(state, NumberRecord):
            return refusal(Failure(Code.COORDINATION_LIMIT, "too many numbers, or too much is stored"))
        value = next_value(record.last if record else None)
        return await after_write(self.control, [put(NumberRecord(value), name)], answer(value=value))
