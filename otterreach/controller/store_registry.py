"""Registry of the job store nodes that are eligible for partitions.

Eligible nodes are alive, have a disk that accepts writes, and are neither being retired nor draining.
"""

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
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

DRAINING_VALID_S = 1.5  # a member that has not repeated its draining message for this long has ended, or stays


class StoreRegistry:
    """The job store nodes as known to the primary."""

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
        self._stalled_at: dict[str, float] = {}  # member id: time of its last report that its disk accepts no writes
        self._draining_at: dict[str, float] = {}  # member id: time of its last report that it is draining
        endpoint.on(DiskStalled, self.handle_disk_stalled)
        endpoint.on(StoreDraining, self.handle_draining)

    async def handle_disk_stalled(self, link: Link, message: DiskStalled) -> None:
        """Handle a report of a stalled disk. The node counts as dead for as long as it repeats the report."""
        member = member_id(message.node, message.disk)
        if member not in self._stalled_at:
            log("disk_stalled", level="WARNING", member=member, waiting_ms=message.waiting_ms)
        self._stalled_at[member] = self.clock()

    async def handle_draining(self, link: Link, message: StoreDraining) -> Done | Failure:
        """Handle a report that a node is draining. Other nodes take over its replicas if there are enough of them."""
        if not self.control.is_primary:
            return self.control.not_primary()
        member = member_id(message.node, message.disk)
        others = [other for other in self.members().usable if other != member]
        if len(others) <= self.limits.nodes:
            return Failure(Code.TOO_FEW_LEFT, f"{len(others)} others")
        self._draining_at[member] = self.clock()
        return Done()

    def forget_draining(self, shutdown: MemberShutdown) -> None:
        """Stop treating a member that has shut down as draining."""
        self._draining_at.pop(member_id(shutdown.node, shutdown.disk), None)

    def members(self) -> StoreMembers:
        """Return the job store nodes that are alive."""
        domains = self._domains()
        live = self._live(domains)
        # A retirement order applies to one disk: a machine of the same name with another disk is not retired.
        retiring = {member_id(node, order.disk) for node, order in self._retirements().items()}
        leaving = retiring | self._draining()
        return StoreMembers({member: domains[member] for member in sorted(live)}, frozenset(live & leaving))

    def _domains(self) -> dict[str, FailureDomain]:
        """Return the failure domain of each known job store node, keyed by member id."""
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
