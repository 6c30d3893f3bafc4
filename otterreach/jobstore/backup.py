"""The backup's side of a partition: what a primary of a newer or the same epoch may write here and ask.

Every message names the epoch and the member it is meant for; what is older or meant for another disk is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from otterreach.jobstore.messages import CopyPosition, JobAppend, PartDigests, PartEpochs, PartInstall, PartPing
from otterreach.jobstore.partition import Copy, CopyState
from otterreach.jobstore.placement import PARTITIONS
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.rpc import Done, Link

if TYPE_CHECKING:
    from otterreach.jobstore.replication import Replication


class BackupHandlers:
    """Handlers of the messages of other primaries."""

    def __init__(self, replication: Replication) -> None:
        self.replication = replication
        for kind, handler in (
            (JobAppend, self._on_append),
            (PartInstall, self._on_install),
            (PartPing, self._on_ping),
            (PartDigests, self._on_digests),
        ):
            replication.node.endpoint.on(kind, handler)

    def _admit(self, part: int, epoch: int, member: str) -> Copy | Failure:
        """The copy that a primary may speak to; it is in the epoch then, on disk with the next sync."""
        if member != self.replication.member or not 0 <= part < PARTITIONS:
            return Failure(Code.NOT_MEMBER, self.replication.member)
        copy = self.replication.copies[part]
        if epoch < copy.epoch:
            return Failure(Code.STALE_EPOCH, str(copy.epoch))
        if epoch == copy.epoch and copy.is_primary:
            return Failure(Code.STALE_EPOCH, "primary here")
        if epoch > copy.epoch:
            self.replication.end_leadership(copy)
            copy.promise(epoch)
        if copy.state in (CopyState.ABSENT, CopyState.FENCED):
            copy.become(CopyState.BACKUP if copy.whole else CopyState.LEARNER, "called by the primary")
        return copy

    async def _on_append(self, link: Link, ask: JobAppend) -> CopyPosition | Failure:
        copy = self._admit(ask.part, ask.epoch, ask.member)
        if isinstance(copy, Failure):
            return copy
        if not ask.records:
            copy.session, copy.staged = ask.session, None
        elif ask.session != copy.session:
            return Failure(Code.NOT_SYNCED, "another session")
        elif (ask.index, ask.chain) == copy.position:
            for entry in ask.records:
                copy.append(entry)
        return await self._position_on_disk(copy, ask.epoch)

    async def _on_install(self, link: Link, ask: PartInstall) -> CopyPosition | Failure:
        copy = self._admit(ask.part, ask.epoch, ask.member)
        if isinstance(copy, Failure):
            return copy
        if ask.session != copy.session:
            return Failure(Code.NOT_SYNCED, "another session")
        staged = copy.staged
        if ask.piece == 0 and (staged is None or staged.token != ask.install):
            staged = copy.stage(ask.install, (ask.index, ask.chain))
        if staged is None or staged.token != ask.install or ask.piece not in (staged.next, staged.next - 1):
            return Failure(Code.NOT_SYNCED, "pieces out of order")
        if ask.piece == staged.next - 1:  # sent again: its answer was lost
            return await self._position_on_disk(copy, ask.epoch)
        staged.next += 1
        copy.load(ask.records)
        if ask.last:
            copy.swap()
            if copy.placement is None or self.replication.member in copy.placement.backups:
                copy.become(CopyState.BACKUP, "installed")
        return await self._position_on_disk(copy, ask.epoch)

    async def _position_on_disk(self, copy: Copy, epoch: int) -> CopyPosition | Failure:
        position = copy.position
        if not await self.replication.disk.sync():
            return Failure(Code.DISK_FAILED, "disk")
        if copy.epoch != epoch:
            return Failure(Code.STALE_EPOCH, str(copy.epoch))
        return CopyPosition(epoch, *position)

    async def _on_ping(self, link: Link, ask: PartPing) -> PartEpochs | Failure:
        if ask.member != self.replication.member:
            return Failure(Code.NOT_MEMBER, self.replication.member)
        return PartEpochs([self.replication.copies[part % PARTITIONS].epoch for part in ask.parts])

    async def _on_digests(self, link: Link, ask: PartDigests) -> Done | Failure:
        copy = self._admit(ask.part, ask.epoch, ask.member)
        if isinstance(copy, Failure):
            return copy
        if copy.position == (ask.index, ask.chain) and copy.jobs.digests() != ask.digests:
            return Failure(Code.NOT_SYNCED, "differs")
        return Done()
