"""POST and GET /retire/NODE: empty a job store machine before its removal."""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    ControlState,
    last_segment,
    rejection,
    when_committed,
    write,
)
from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.controller.planner import StoreMembers, attainable
from otterreach.controller.survival import FailureDomain, SurviveLimits
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member_id
from otterreach.runtime.log import log
from otterreach.runtime.records import MemberRecord, MemberRole, PartitionRecord, RetirementRecord, put
from otterreach.runtime.store import ReplicatedStore

SERVING = ApiResponse(200, b'{"state":"serving"}')
DONE = ApiResponse(200, b'{"state":"done"}')


class RetirementResource:
    """Handles orders to empty a job store machine. An order applies to the disk that the machine has on its receipt."""

    def __init__(
        self,
        control: ControlState,
        published: ReplicatedStore,
        stores: Callable[[], StoreMembers | None],
        limits: SurviveLimits,
    ) -> None:
        """:param stores: the job store nodes that are alive; None while they are not known"""
        self.control = control
        self.published = published  # the state that is on all replicas
        self.stores = stores
        self.limits = limits  # failures to be tolerated at a time

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Handle a call on the primary."""
        node = last_segment(call.path)
        if call.method == "POST":
            return await self._begin(node)
        if call.method != "GET":
            return METHOD_NOT_ALLOWED
        if not await self.control.confirm_leadership():
            return UNAVAILABLE
        return self._progress(node)

    def _progress(self, node: str) -> ApiResponse:
        known = _store_member(self.published, node)
        order = self.published.record(RetirementRecord, node)
        if order is None or not _applies_to(order, known):
            return SERVING if known else NOT_FOUND
        return DONE if self._is_emptied(member_id(node, order.disk)) else SERVING

    def _is_emptied(self, member: str) -> bool:
        """Return True if all partitions are fully replicated without this member, by the committed records.

        The primary and the backups have every acknowledged write on disk; learners may not, and unresponsive members
        don't count.
        """
        stores = self.stores()
        if stores is None:
            return False
        limits = stores.attainable(self.limits)
        for partition in self.published.records(PartitionRecord).values():
            if member in partition.replicas or not stores.survive(partition.members, limits):
                return False
        return True

    async def _begin(self, node: str) -> ApiResponse:
        state = self.control.state
        known = _store_member(state, node)
        order = state.record(RetirementRecord, node)
        if order is not None and _applies_to(order, known):
            return await when_committed(self.control, OK)
        if known is None:
            return await when_committed(self.control, rejection(Failure(Code.UNKNOWN_NODE, node)))
        staying = self._staying(node)
        leaving = FailureDomain(known.zone, known.region)
        reason = self._too_few(staying, leaving)
        if reason:
            return await when_committed(self.control, rejection(Failure(Code.TOO_FEW_LEFT, reason)))
        stores = self.stores()
        if stores is None:
            return UNAVAILABLE
        alive = {member: domain for member, domain in staying.items() if member in stores.domains}
        if self._too_few(alive, leaving):
            return UNAVAILABLE  # some members are unresponsive: it is unknown whether enough would remain
        done = await write(self.control, [put(RetirementRecord(known.disk), node)])
        log("retire", node=node, done=done)
        return OK if done else UNAVAILABLE

    def _too_few(self, staying: dict[str, FailureDomain], leaving: FailureDomain) -> str:
        """Return why the remaining members can't tolerate the same failures as now; empty if they can."""
        if len(staying) <= self.limits.nodes:
            return f"{len(staying)} others"
        now = attainable([*staying.values(), leaving], self.limits)
        then = attainable(staying.values(), self.limits)
        if then != now:
            return f"the others survive the loss of {then.zones} zones and {then.regions} regions only"
        return ""

    def _staying(self, node: str) -> dict[str, FailureDomain]:
        """Return the other job store machines by member id, without those that are being emptied."""
        state = self.control.state
        orders = state.records(RetirementRecord)
        staying = {}
        for name, known in state.records(MemberRecord).items():
            order = orders.get(name)
            retiring = order is not None and _applies_to(order, known)
            if name != node and known.role == MemberRole.JOB_STORE and not retiring:
                staying[known.id(name)] = FailureDomain(known.zone, known.region)
        return staying


def _store_member(state: ReplicatedStore, node: str) -> MemberRecord | None:
    known = state.record(MemberRecord, node)
    return known if known and known.role == MemberRole.JOB_STORE else None


def _applies_to(order: RetirementRecord, known: MemberRecord | None) -> bool:
    """Return True if the order applies to the machine's current disk. A removed machine keeps its order."""
    return known is None or order.disk == known.disk
