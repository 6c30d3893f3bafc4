"""POST, PUT and DELETE /locks/ID: acquire, renew and release a lock.

The duration of a hold counts from the receipt of its last accepted call at this replica (receipt_times.py). A renewal
is therefore written like any other change, so that a backup that becomes primary knows when it was received.
"""

from __future__ import annotations

from otterreach.controller.api.coordination_answers import (
    DONE,
    CoordinationState,
    after_commit,
    after_write,
    answer,
    has_room,
    refusal,
)
from otterreach.controller.api.coordination_calls import read_acquire, read_name, read_release, read_renew
from otterreach.controller.api.coordination_resource import CoordinationResource
from otterreach.controller.api.resource import METHOD_NOT_ALLOWED, UNAVAILABLE
from otterreach.controller.coordination_records import FenceRecord, LockRecord
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.coordination import locks
from otterreach.coordination.counters import next_value
from otterreach.coordination.locks import Hold
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.records import delete, key_of, put


class LockResource(CoordinationResource):
    """Handles locks. An election is a lock that is held for a long time."""

    def __init__(self, control: CoordinationState, receipts: ReceiptTimes) -> None:
        self.control = control
        self.receipts = receipts

    async def decide(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        name = read_name(call)
        if call.method == "POST":
            return await self._acquire(name, call.body)
        if call.method == "PUT":
            return await self._renew(name, call.body)
        if call.method == "DELETE":
            return await self._release(name, call.body)
        return METHOD_NOT_ALLOWED

    def _hold(self, name: str) -> Hold | None:
        record = self.control.state.record(LockRecord, name)
        return record.hold if record else None

    def _elapsed_s(self, name: str) -> float:
        item = self.control.state.items.get(key_of(LockRecord, name))
        return 0.0 if item is None else self.receipts.age_s(item)

    async def _acquire(self, name: str, body: bytes) -> ApiResponse:
        request = read_acquire(body)
        state = self.control.state
        hold = self._hold(name)
        if hold is None and not has_room(state, LockRecord):
            return refusal(Failure(Code.COORDINATION_LIMIT, "too many locks, or too much is stored"))
        last_fence = state.record(FenceRecord)
        fence = next_value(last_fence.last if last_fence else None)
        result = locks.acquire(hold, self._elapsed_s(name), request, fence)
        if isinstance(result, locks.HeldByOther):
            return self._reject_acquisition(result.owner)
        changes = [put(LockRecord(result.hold), name), put(FenceRecord(fence))]
        response = await after_write(self.control, changes, answer(fence=fence))
        log("lock_acquired", lock=name, owner=request.owner, fence=fence, status=response.status)
        return response

    def _reject_acquisition(self, owner: str) -> ApiResponse:
        """Reject an acquisition without confirming it with another replica.

        Many callers may wait for a lock, and a rejected acquisition guarantees nothing that a later primary could
        contradict.
        """
        if not self.control.accepts_writes:
            return UNAVAILABLE
        return refusal(Failure(Code.LOCK_HELD, f"held by {owner}"))

    async def _renew(self, name: str, body: bytes) -> ApiResponse:
        request = read_renew(body)
        result = locks.renew(self._hold(name), self._elapsed_s(name), request)
        if isinstance(result, locks.Lost):
            log("lock_lost", lock=name, owner=request.owner, fence=request.fence)
            return await after_commit(self.control, refusal(Failure(Code.LOCK_LOST, "the hold has ended")))
        return await after_write(self.control, [put(LockRecord(result.hold), name)], DONE)

    async def _release(self, name: str, body: bytes) -> ApiResponse:
        request = read_release(body)
        if not locks.release_ends_hold(self._hold(name), request):
            return await after_commit(self.control, DONE)
        response = await after_write(self.control, [delete(LockRecord, name)], DONE)
        log("lock_released", lock=name, owner=request.owner, fence=request.fence, status=response.status)
        return response
