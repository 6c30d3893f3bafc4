"""Heartbeats of a primary to the members of its partitions, one ping per machine.

A ping covers all partitions that both machines share. The answer confirms their epochs, which reads depend on. A member
that does not answer is reported to the controller, which places another replica.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from otterreach.jobstore.leadership import PartitionLeader
from otterreach.jobstore.messages import PartitionPing, ReplicaLost
from otterreach.jobstore.replication_context import ReplicationContext
from otterreach.runtime.codes import Failure

PING_INTERVAL_S = 0.15
PING_TIMEOUT_S = 0.4
LOST_TIMEOUT_S = 0.6  # a member that has not answered for this time is reported to the controller
REPORT_INTERVAL_S = 0.3
MAX_REPORTED_S = 1e6


class MemberPings:
    """Sends the pings for all partitions that this machine is primary of."""

    def __init__(self, context: ReplicationContext, leaders: Mapping[int, PartitionLeader]) -> None:
        self.context = context
        self.leaders = leaders
        self._in_flight: set[str] = set()  # members with a ping that is not yet answered

    async def run(self) -> None:
        """Ping the members of all partitions led here, until cancelled."""
        while True:
            for member, leaders in self._leaders_by_member().items():
                if member not in self._in_flight:
                    self.context.spawn(self._ping(member, leaders))
            await asyncio.sleep(min(PING_INTERVAL_S, self.context.max_confirmation_age_s / 3))

    def _leaders_by_member(self) -> dict[str, list[PartitionLeader]]:
        by_member: dict[str, list[PartitionLeader]] = {}
        for leader in self.leaders.values():
            for member in leader.streams:
                if member in leader.required:
                    by_member.setdefault(member, []).append(leader)
        return by_member

    async def _ping(self, member: str, leaders: list[PartitionLeader]) -> None:
        address = self.context.address_of(member)
        self._in_flight.add(member)
        sent_at = self.context.now()
        try:
            if address:
                partitions = [leader.replica.partition for leader in leaders]
                ping = PartitionPing(member, partitions, [leader.epoch for leader in leaders])
                reply = await self.context.call(address, ping, PING_TIMEOUT_S)
                if not isinstance(reply, Failure):
                    self._handle_epochs(member, leaders, reply.epochs, sent_at)
        finally:
            self._in_flight.discard(member)
        for leader in leaders:
            self._report_if_lost(leader, member)

    def _handle_epochs(self, member: str, leaders: list[PartitionLeader], epochs: list[int], sent_at: float) -> None:
        for leader, epoch in zip(leaders, epochs, strict=False):
            stream = leader.streams.get(member)
            if epoch > leader.epoch and not leader.ended:
                leader.superseded(f"{member} is in epoch {epoch}")
            elif epoch == leader.epoch and stream:
                stream.confirm(sent_at)

    def _report_if_lost(self, leader: PartitionLeader, member: str) -> None:
        stream = leader.streams.get(member)
        if leader.ended or stream is None:
            return
        now = self.context.now()
        since_contact_s = now - max(stream.confirmed_at, leader.began_at)
        if since_contact_s < LOST_TIMEOUT_S or now - stream.reported_lost_at < REPORT_INTERVAL_S:
            return
        silent_ms = int(min(since_contact_s, MAX_REPORTED_S) * 1000)
        report = ReplicaLost(leader.replica.partition, leader.epoch, member, silent_ms)
        if self.context.send_to_controller(report):
            stream.reported_lost_at = now
