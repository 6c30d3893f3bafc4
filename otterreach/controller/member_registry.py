"""The registry of members: machines register, announce their shutdown, and expire when they send no heartbeats."""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller.failure_detector import FailureDetector
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member_id
from otterreach.runtime.log import log
from otterreach.runtime.node import MemberAnnouncement, MemberShutdown
from otterreach.runtime.records import MemberRecord, MemberRole, PartitionRecord, delete, put
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

PROXY_EXPIRY_S = 8.0  # expiry of proxies without a heartbeat; they store nothing
MEMBER_EXPIRY_S = 60.0  # expiry of other members


class MemberRegistry:
    """Maintains the items `member/NODE` of the control state. Run by the primary."""

    def __init__(
        self,
        endpoint: Endpoint,
        control: ControlReplication,
        detector: FailureDetector,
        on_shutdown: Callable[[MemberShutdown], None],
    ) -> None:
        self.control = control
        self.detector = detector
        self.on_shutdown = on_shutdown
        endpoint.on(MemberAnnouncement, self.handle_announcement)
        endpoint.on(MemberShutdown, self.handle_shutdown)

    def records(self) -> dict[str, MemberRecord]:
        """Return the records of all members, by node name."""
        return self.control.state.records(MemberRecord)

    def member_ids(self) -> list[str]:
        """Return the ids of all members."""
        return [record.id(node) for node, record in self.records().items()]

    def live_proxies(self) -> set[str]:
        """Return the node names of the proxies with a recent heartbeat."""
        return {
            node
            for node, record in self.records().items()
            if record.role == MemberRole.PROXY and self.detector.is_in_contact(record.id(node))
        }

    async def handle_announcement(self, link: Link, announcement: MemberAnnouncement) -> Done | Failure:
        """Register a member and delete other members with the same address, which it has replaced."""
        if not self.control.is_primary:
            return self.control.not_primary()
        node = announcement.node
        record = MemberRecord(
            announcement.role, announcement.address, announcement.zone, announcement.region, announcement.disk
        )
        if self.control.state.record(MemberRecord, node) == record:
            return await self.control.done_when_committed()
        former = [
            delete(MemberRecord, other)
            for other, known in self.records().items()
            if known.address == record.address and other != node
        ]
        if not await self.control.propose([*former, put(record, node)]):
            return Failure(Code.NOT_SYNCED, "not noted")
        log("member", member=record.id(node), role=record.role, address=record.address)
        return Done()

    async def handle_shutdown(self, link: Link, shutdown: MemberShutdown) -> Done | Failure:
        """Count a member that announces its shutdown as dead at once."""
        if not self.control.is_primary:
            return self.control.not_primary()
        member = member_id(shutdown.node, shutdown.disk)
        self.detector.record_shutdown(member)
        self.on_shutdown(shutdown)
        log("member_shutdown", member=member)
        return Done()

    def remove_unresponsive_members(self) -> None:
        """Delete expired members that hold no replica. One that comes back registers again."""
        partitions = self.control.state.records(PartitionRecord)
        in_use = {member for partition in partitions.values() for member in partition.replicas}
        changes = []
        for node, record in self.records().items():
            member = record.id(node)
            expiry_s = PROXY_EXPIRY_S if record.role == MemberRole.PROXY else MEMBER_EXPIRY_S
            if member not in in_use and self.detector.seconds_since_heartbeat(member) > expiry_s:
                changes.append(delete(MemberRecord, node))
                log("member_gone", member=member, role=record.role)
        if changes:
            self.control.propose(changes)
