"""Which job store nodes may keep partitions: alive, with a disk that takes writes, neither retiring nor draining."""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller.failure_detector import HEARTBEAT_TIMEOUT_S, FailureDetector
from otterreach.controller.planner import StoreMembers
from otterreach.controller.replication import ControlReplication
from otterreach.controller.survival import FailureDomain, SurviveLimits
from otterreach.jobstore.messages import DiskStalled, StoreDraining
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member_id
from otterreach.runtime.log import log
from otterreach.runtime.node import MemberShutdown
from otterreach.runtime.records import MemberRecord, MemberRole, RetirementRecord
from otterreach.runtime.rpc import Done, Endpoint, Link

DRAINING_VALID_S = 1.5  # a member that has not repeated that it drains for so long has ended, or stays


class StoreRegistry:
    """The job store nodes, as the primary sees them."""

    def __init__(
        self,
        endpoint: Endpoint,
        control: ControlReplication,
        detector: FailureDetector,
        limits: SurviveLimits,
        clock: Callable[[], float],
    ) -> None:
        self.control = control
        self.detector = detector
        self.limits = limits
        self.clock = clock
        self._stalled_at: dict[str, float] = {}  # by member id: when it last said that its disk takes no writes
        self._draining_at: dict[str, float] = {}  # by member id: when it last said that it is about to end
        endpoint.on(DiskStalled, self.handle_disk_stalled)
        endpoint.on(StoreDraining, self.handle_draining)

    async def handle_disk_stalled(self, link: Link, message: DiskStalled) -> None:
        """A job store node's disk takes no writes: it counts as dead while it repeats this."""
        member = member_id(message.node, message.disk)
        if member not in self._stalled_at:
            log("disk_stalled", level="WARNING", member=member, waiting_ms=message.waiting_ms)
        self._stalled_at[member] = self.clock()

    async def handle_draining(self, link: Link, message: StoreDraining) -> Done | Failure:
        """A job store node is about to end: others take over its replicas, if there are enough."""
        if not self.control.is_primary:
            return self.control.not_primary()
        member = member_id(message.node, message.disk)
        others = [other for other in self.members().usable if other != member]
        if len(others) <= self.limits.nodes:
            return Failure(Code.TOO_FEW_LEFT, f"{len(others)} others")
        self._draining_at[member] = self.clock()
        return Done()

    def forget_draining(self, shutdown: MemberShutdown) -> None:
        """A member has ended: it drains no longer."""
        self._draining_at.pop(member_id(shutdown.node, shutdown.disk), None)

    def members(self) -> StoreMembers:
        """The job store nodes that are alive."""
        domains = self._domains()
        live = self._live(domains)
        # An order is meant for one disk: a machine with another one at the same name stays.
        retiring = {member_id(node, order.disk) for node, order in self._retirements().items()}
        leaving = retiring | self._draining()
        return StoreMembers({member: domains[member] for member in sorted(live)}, frozenset(live & leaving))

    def _domains(self) -> dict[str, FailureDomain]:
        """Where each job store node that is known stands, by member id."""
        return {
            record.id(node): FailureDomain(record.zone, record.region)
            for node, record in self.control.state.records(MemberRecord).items()
            if record.role == MemberRole.JOB_STORE
        }

    def _live(self, known: dict[str, FailureDomain]) -> set[str]:
        now = self.clock()
        self._stalled_at = {member: at for member, at in self._stalled_at.items() if now - at < HEARTBEAT_TIMEOUT_S}
        return {member for member in known if self.detector.is_alive(member) and member not in self._stalled_at}

    def _retirements(self) -> dict[str, RetirementRecord]:
        return self.control.state.records(RetirementRecord)

    def _draining(self) -> set[str]:
        now = self.clock()
        self._draining_at = {member: at for member, at in self._draining_at.items() if now - at < DRAINING_VALID_S}
        return set(self._draining_at)
