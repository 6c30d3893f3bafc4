"""Heartbeats of a primary to the members of its partitions: one question for each machine.

The question covers all partitions that both share. An answer makes reads fresh; a member that is silent is
told to the controller, which places another copy.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from otterreach.jobstore.messages import PartEpochs, PartLost, PartPing

if TYPE_CHECKING:
    from otterreach.jobstore.leadership import PartitionLeader
    from otterreach.jobstore.replication import Replication

PING_S = 0.15
PING_CALL_S = 0.4
LOST_S = 0.6  # a member silent for so long is told to the controller
LOST_AGAIN_S = 0.3


class MemberPings:
    """For all partitions that this machine is primary of."""

    def __init__(self, replication: Replication) -> None:
        self.replication = replication
        self._asking: set[str] = set()

    async def run(self) -> None:
        """For ever: ask the members of all partitions led here, one question for each machine."""
        while True:
            parts: dict[str, list[PartitionLeader]] = {}
            for leader in self.replication.leaders.values():
                for member in leader.replicas:
                    if member in leader.required:
                        parts.setdefault(member, []).append(leader)
            for member, leaders in parts.items():
                if member not in self._asking:
                    self.replication.spawn(self._ping(member, leaders))
            await asyncio.sleep(min(PING_S, self.replication.fresh_s / 3))

    async def _ping(self, member: str, leaders: list[PartitionLeader]) -> None:
        address = self.replication.address_of(member)
        self._asking.add(member)
        sent = self.replication.now()
        try:
            if address:
                ask = PartPing(member, [o.copy.part for o in leaders], [o.epoch for o in leaders])
                reply = await self.replication.call(address, ask, PING_CALL_S)
                if isinstance(reply, PartEpochs):
                    self._pinged(member, leaders, reply.epochs, sent)
        finally:
            self._asking.discard(member)
        for leader in leaders:
            self._tell_lost(leader, member)

    def _pinged(self, member: str, leaders: list[PartitionLeader], epochs: list[int], sent: float) -> None:
        for leader, epoch in zip(leaders, epochs, strict=False):
            replica = leader.replicas.get(member)
            if epoch > leader.epoch and not leader.ended:
                leader.superseded(f"{member} is in {epoch}")
            elif epoch == leader.epoch and replica:
                replica.heard = max(replica.heard, sent)

    def _tell_lost(self, leader: PartitionLeader, member: str) -> None:
        replica = leader.replicas.get(member)
        if leader.ended or replica is None:
            return
        now = self.replication.now()
        silent = now - max(replica.heard, leader.began_at)
        if silent < LOST_S or now - replica.told_lost < LOST_AGAIN_S:
            return
        address = self.replication.node.follower.primary
        link = self.replication.node.endpoint.linked(address) if address else None
        if link:
            replica.told_lost = now
            link.send(PartLost(leader.copy.part, leader.epoch, member, int(min(silent, 1e6) * 1000)))
        elif address:
            self.replication.spawn(self.replication.node.endpoint.link(address))
