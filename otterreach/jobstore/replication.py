"""Keeping the copies of partitions the same: an office for each partition that this machine is primary of, and the
backup's side. docs/system.md, "Partitions of batch jobs".

Safety rests on epochs and on writes that wait for every member; times only bound how old a read may be.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any, Protocol

from otterreach.jobstore.jobs import Change, Job
from otterreach.jobstore.messages import (
    CopyPosition,
    Entry,
    JobAppend,
    PartDigests,
    PartEpochs,
    PartInstall,
    PartLost,
    PartPing,
    PartSynced,
)
from otterreach.jobstore.partition import NOWHERE, Copy, CopyState, Kept, Position
from otterreach.jobstore.placement import PARTITIONS, Placement, read_placement
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import Live
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.rpc import Done, Link
from otterreach.runtime.store import Item

PIECE = 512 * 1024  # bytes of records in one message, about
CALL_S = 0.8
PING_S = 0.15
PING_CALL_S = 0.4
FRESH_S = 0.5  # a read needs every member's word that was asked for within this; half of settleMs at most
RETRY_S, MOST_RETRY_S = 0.06, 0.3  # between calls to a member that doesn't answer
LOST_S = 0.6  # a member silent for so long is told to the controller
LOST_AGAIN_S = 0.3
DECLARE_S = 0.2
DIGEST_S = 5.0
DROP_S = 10.0  # a copy that no record names is kept so long


class JournalLike(Kept, Protocol):
    """otterreach.runtime.journal.Journal, or a stand-in."""

    size: int
    failed: Failure | None

    async def sync(self) -> bool: ...

    async def rewrite(self, live: Live) -> bool: ...


class Hooks(Protocol):
    """Who is told of what happens to partitions."""

    def settled(self, copy: Copy, change: Change) -> None:
        """A record is at all copies."""

    def promoted(self, copy: Copy) -> None:
        """This machine serves the partition from now on, perhaps as before under a lower epoch."""

    def deposed(self, copy: Copy) -> None:
        """It no longer does."""


class PeerState(Enum):
    ASKING = "asking"  # where its copy stands
    INSTALLING = "installing"
    STREAMING = "streaming"


class Peer:
    """Another copy, as its primary sees it."""

    def __init__(self, office: Office, member: str) -> None:
        self.office, self.member = office, member
        self.state = PeerState.ASKING
        self.acked = -1  # records that it has on disk
        self.heard = -1e9  # when the last call that it answered under this epoch was sent
        self.told_lost = -1e9
        self.declaring = False
        self.wake = asyncio.Event()
        self._next: Position = NOWHERE
        self._pinned: int | None = None

    def become(self, state: PeerState, why: str = "") -> None:
        """The one function that changes the state."""
        if state is not self.state:
            if why:
                log(
                    "peer",
                    part=self.office.copy.part,
                    member=self.member,
                    old=self.state.value,
                    new=state.value,
                    why=why,
                )
            self.state = state

    @property
    def needed(self) -> int:
        """Records from here on are still to be sent to it."""
        if self._pinned is not None:
            return self._pinned
        return self.acked if self.state is PeerState.STREAMING else 1 << 60

    def differs(self) -> None:
        """Its copy is not the same at the same place: fill it anew, and count on nothing until then."""
        self.acked = -1
        self.become(PeerState.INSTALLING, "differs")
        self.wake.set()

    async def run(self) -> None:
        """Ask where it stands, fill it if it has to be, send what comes; for as long as the office lasts."""
        office, copy = self.office, self.office.copy
        pause = RETRY_S
        while True:
            if self.state is PeerState.STREAMING and self.acked >= copy.index:
                self.wake.clear()
                await self.wake.wait()
                continue
            address = office.replication.address_of(self.member)
            done = bool(address) and await (
                self._install(address) if self.state is PeerState.INSTALLING else self._push(address)
            )
            if not done:
                await asyncio.sleep(pause)
            pause = RETRY_S if done else min(MOST_RETRY_S, pause * 1.6)

    async def _push(self, address: str) -> bool:
        office, copy = self.office, self.office.copy
        streaming = self.state is PeerState.STREAMING
        position = self._next if streaming else copy.position
        if streaming and not copy.knows(position):
            self.become(PeerState.ASKING, "too far behind")
            return True
        records = copy.after(position, PIECE) if streaming else []
        ask = JobAppend(copy.part, office.epoch, self.member, office.session, *position, records)
        sent = office.now()
        return self._placed(await office.replication.call(address, ask, CALL_S), sent)

    def _placed(self, reply: Any, sent: float) -> bool:
        """Take what it says of where its copy stands. False: it said nothing, try again later."""
        office, copy = self.office, self.office.copy
        if not isinstance(reply, CopyPosition):
            if isinstance(reply, Failure) and reply.code is Code.STALE_EPOCH:
                office.overruled(reply.reason)
            self.become(PeerState.ASKING)
            return False
        self.heard = max(self.heard, sent)
        position = (reply.index, reply.chain)
        if not copy.knows(position):
            self.become(PeerState.INSTALLING, f"at {reply.index} of {copy.index}")
            return True
        self._next, self.acked = position, reply.index
        self.become(PeerState.STREAMING)
        office.heard_of(self)
        return True

    async def _install(self, address: str) -> bool:
        office, copy = self.office, self.office.copy
        async with office.replication.installing(self.member):
            if self.state is not PeerState.INSTALLING:
                return True
            position, lineage = copy.position, copy.lineage
            entries = list(copy.jobs.snapshot(office.now()))
            self._pinned = position[0]
            try:
                reply, sent = await self._send_pieces(address, entries, position)
            finally:
                self._pinned = None
            if copy.lineage != lineage:
                return True
            return self._placed(reply, sent)

    async def _send_pieces(self, address: str, entries: list[Entry], position: Position) -> tuple[Any, float]:
        office, copy = self.office, self.office.copy
        token = office.replication.random.getrandbits(48) | 1
        pieces = split(entries)
        log("install", part=copy.part, member=self.member, index=position[0], records=len(entries))
        reply: Any = None
        sent = office.now()
        for number, piece in enumerate(pieces):
            ask = PartInstall(
                copy.part,
                office.epoch,
                self.member,
                office.session,
                token,
                number,
                number == len(pieces) - 1,
                *position,
                piece,
            )
            sent = office.now()
            reply = await office.replication.call(address, ask, CALL_S * 2)
            if isinstance(reply, Failure):
                break
        return reply, sent


def finish(future: asyncio.Future[None]) -> None:
    """Let whoever waits go on."""
    if not future.done():
        future.set_result(None)


def split(entries: list[Entry]) -> list[list[Entry]]:
    """Pieces of about PIECE bytes, one at least."""
    pieces: list[list[Entry]] = [[]]
    size = 0
    for entry in entries:
        if pieces[-1] and size + len(entry.body) > PIECE:
            pieces.append([])
            size = 0
        pieces[-1].append(entry)
        size += len(entry.body)
    return pieces


class Office:
    """Being primary of a partition in one epoch."""

    def __init__(self, replication: Replication, copy: Copy, placement: Placement) -> None:
        self.replication, self.copy, self.placement = replication, copy, placement
        self.epoch = placement.epoch
        self.now = replication.now
        self.session = replication.random.getrandbits(48) | 1
        self.base = copy.index  # answers nothing until all copies have these
        self.local = -1  # on the own disk
        self.committed = -1  # at all members
        self.closed = False
        self.opened_at = self.now()
        self.peers: dict[str, Peer] = {}
        self._tasks: dict[str, asyncio.Task[Any]] = {}
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    async def open(self) -> None:
        """The epoch on disk first, then the copies."""
        index = self.copy.index
        if not await self.replication.journal.sync() or self.closed:
            return
        self.local = max(self.local, index)
        self.update(self.placement)
        self.noted()

    def update(self, placement: Placement) -> None:
        """Start and end what is sent to whom; only those that join may change within an epoch."""
        self.placement = placement
        wanted = {*placement.backups, *placement.joining, *self.copy.declared} - {self.replication.member}
        for member in wanted - set(self.peers):
            peer = self.peers[member] = Peer(self, member)
            self._tasks[member] = self.replication.spawn(peer.run())
        for member in set(self.peers) - wanted:
            del self.peers[member]
            self._tasks.pop(member).cancel()

    def close(self) -> None:
        self.closed = True
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        waiters, self._waiters = self._waiters, []
        for _, future in waiters:
            finish(future)

    @property
    def counted(self) -> list[str]:
        """Whose word writes and reads wait for: a joiner too, once the controller may make it a member."""
        return [*self.placement.backups, *(self.copy.declared - set(self.placement.backups))]

    def age(self) -> float:
        """Seconds since all members were last surely in this epoch: nobody else was primary then."""
        return self.now() - min(
            (self.peers[m].heard if m in self.peers else -1e9 for m in self.counted), default=self.now()
        )

    @property
    def enough(self) -> bool:
        return len(self.placement.backups) >= self.replication.survive_nodes

    @property
    def serving(self) -> bool:
        """Whether it takes writes; they end once they are at all members."""
        return not self.closed and self.copy.state is CopyState.SERVING and self.replication.journal.failed is None

    @property
    def fresh(self) -> bool:
        """Whether it answers reads, and lets items be run."""
        return self.serving and self.age() < self.replication.fresh_s

    def append(self, entry: Entry, parsed: Job | None = None) -> int:
        """A record for all copies. Returns the index to wait for."""
        index = self.copy.append(entry, parsed)
        self.replication.touch(self.copy)
        for peer in self.peers.values():
            peer.wake.set()
        return index

    def waiter(self, index: int) -> asyncio.Future[None]:
        """Done once the index is at all members, or the office is closed."""
        future: asyncio.Future[None] = self.replication.loop.create_future()
        self._waiters.append((index, future))
        return future

    def heard_of(self, peer: Peer) -> None:
        """A copy has got further."""
        joins = peer.member in self.placement.joining or peer.member in self.copy.declared
        if joins and peer.acked >= self.copy.index and not peer.declaring:
            peer.declaring = True
            self.copy.declare(peer.member)
            self.replication.spawn(self._declare(peer))
        self.noted()

    async def _declare(self, peer: Peer) -> None:
        """From here on writes wait for it, so that the controller may make it a member at any time."""
        ask = PartSynced(self.copy.part, self.epoch, peer.member)
        if not await self.replication.journal.sync():
            return
        while not self.closed and self.peers.get(peer.member) is peer and peer.member not in self.placement.backups:
            reply = await self.replication.ask_controller(ask)
            await asyncio.sleep(DECLARE_S if isinstance(reply, Failure) else 1.0)

    def noted(self) -> None:
        """See how far all members are; the one place where records become visible."""
        if self.closed:
            return
        acked = [self.peers[m].acked if m in self.peers else -1 for m in self.counted]
        done = min([self.local, *acked])
        if done > self.committed:
            self.committed = done
            for change in self.copy.settle(done):
                self.replication.hooks.settled(self.copy, change)
            self._release(done)
            self.copy.floor = min((p.needed for p in self.peers.values()), default=done)
        if self.committed >= self.base and self.enough and self.copy.state is CopyState.SYNCING:
            self.copy.become(CopyState.SERVING, "all members stand alike")
            self.replication.hooks.promoted(self.copy)

    def _release(self, done: int) -> None:
        waiting, self._waiters = self._waiters, []
        for index, future in waiting:
            if future.done():
                continue
            if index <= done:
                future.set_result(None)
            else:
                self._waiters.append((index, future))

    def overruled(self, why: str) -> None:
        """A member is in a higher epoch: this one is over."""
        self.replication.step_down(self.copy, f"overruled: {why}")


class Replication:
    """All copies at this machine."""

    def __init__(self, node: Node, journal: JournalLike, random: Random, hooks: Hooks) -> None:
        self.node, self.journal, self.random, self.hooks = node, journal, random, hooks
        self.loop = asyncio.get_running_loop()
        self.now: Callable[[], float] = self.loop.time
        self.survive_nodes = node.settings.survive_nodes
        self.fresh_s = min(FRESH_S, node.settings.bounds.settle_s / 2)
        self.copies = [Copy(part, journal, self.now) for part in range(PARTITIONS)]
        self.offices: dict[int, Office] = {}
        self._installing: dict[str, asyncio.Semaphore] = {}
        self._dirty: dict[int, Copy] = {}
        self._flushing = False
        self._asking: set[str] = set()
        self._digested_at = 0.0
        for kind, handler in (
            (JobAppend, self._on_append),
            (PartInstall, self._on_install),
            (PartPing, self._on_ping),
            (PartDigests, self._on_digests),
        ):
            node.endpoint.on(kind, handler)
        node.store.watch("part", self._placement_changed)

    @property
    def member(self) -> str:
        return self.node.member

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        return self.node.endpoint.spawn(work)

    async def call(self, address: str, ask: Any, timeout_s: float) -> Any:
        return await self.node.endpoint.call(address, ask, timeout_s)

    def installing(self, member: str) -> asyncio.Semaphore:
        """One whole copy at a time to each member: they are held in memory meanwhile."""
        return self._installing.setdefault(member, asyncio.Semaphore(1))

    def address_of(self, member: str) -> str:
        """Where this member is; empty if it isn't known, or another disk is there now."""
        name, _, disk = member.partition("#")
        known = self.node.store.get(f"member/{name}")
        return str(known["address"]) if known and known["disk"] == disk else ""

    def _controllers(self) -> list[str]:
        follower = self.node.follower
        return [a for a in dict.fromkeys([follower.primary, *follower.controllers]) if a]

    async def ask_controller(self, ask: Any) -> Any:
        """A call to the primary controller, wherever it is."""
        reply: Any = Failure(Code.UNREACHABLE, "no controller is known")
        for address in self._controllers():
            reply = await self.call(address, ask, CALL_S)
            if not isinstance(reply, Failure):
                return reply
        return reply

    # Whose partitions ----------------------------------------------------------------------------

    def _placement_changed(self, item: Item) -> None:
        part = item.key.partition("/")[2]
        if part.isdigit() and int(part) < PARTITIONS:
            self.follow(self.copies[int(part)])

    def follow_all(self) -> None:
        """Look at all records; after the start."""
        for copy in self.copies:
            self.follow(copy)

    def follow(self, copy: Copy) -> None:
        """Take the part that the newest record gives."""
        placement = read_placement(self.node.store.get(f"part/{copy.part}"))
        if placement is None or placement.epoch < copy.epoch or placement == copy.placement:
            return
        office = self.offices.get(copy.part)
        if copy.placement and placement.epoch == copy.epoch:
            if placement.members != copy.placement.members:
                log("record_changed_in_epoch", level="ERROR", part=copy.part, epoch=copy.epoch)
                return
            copy.placement = placement
            if office:
                office.update(placement)
            return
        self._take_up(copy, placement)

    def _take_up(self, copy: Copy, placement: Placement) -> None:
        self._close_office(copy, stays=self.member == placement.primary)
        if self.member not in (*placement.members, *placement.joining):
            self._stand_aside(copy, placement)
            return
        copy.promise(placement.epoch)
        copy.placement = placement
        if self.member in placement.members and copy.virgin:
            copy.start_empty()
        if self.member == placement.primary:
            self._open_office(copy, placement)
        elif self.member in placement.backups and copy.whole:
            copy.become(CopyState.BACKUP, "record")
        else:
            copy.become(CopyState.JOINING, "record")

    def _stand_aside(self, copy: Copy, placement: Placement) -> None:
        if copy.epoch:
            copy.promise(placement.epoch)
            copy.placement = placement
            if copy.state is not CopyState.ABSENT:
                copy.become(CopyState.FENCED, "not a member")
            elif copy.whole:  # as read from the journal
                copy.become(CopyState.FENCED, "no longer a member")

    def _open_office(self, copy: Copy, placement: Placement) -> None:
        if not copy.whole:
            log("primary_without_copy", level="ERROR", part=copy.part, epoch=placement.epoch)
            copy.become(CopyState.FENCED, "no copy")
            return
        copy.become(CopyState.SYNCING, "record")
        office = self.offices[copy.part] = Office(self, copy, placement)
        self.spawn(office.open())

    def _close_office(self, copy: Copy, stays: bool = False) -> None:
        office = self.offices.pop(copy.part, None)
        if office:
            copy.become(CopyState.FENCED, "epoch over")
            office.close()
            if not stays:
                self.hooks.deposed(copy)

    def step_down(self, copy: Copy, why: str) -> None:
        """No longer primary, whatever the record says that is known here."""
        if copy.part in self.offices:
            log("step_down", level="WARNING", part=copy.part, epoch=copy.epoch, why=why)
            self._close_office(copy)

    def office(self, part: int) -> Office | Failure:
        """The office that takes writes for a partition."""
        office = self.offices.get(part)
        if office is None:
            return Failure(Code.NOT_PRIMARY, self.copies[part].state.value)
        if not office.serving:
            return Failure(Code.NOT_SYNCED, self.copies[part].state.value)
        return office

    async def committed(self, copy: Copy, index: int, within_s: float) -> bool:
        """Wait until the record before `index` is at all members. False: it may be there or not."""
        lineage, end = copy.lineage, self.now() + within_s
        while True:
            office = self.offices.get(copy.part)
            if office is None or copy.lineage != lineage:
                return False
            if office.committed >= index:
                return True
            left = end - self.now()
            if left <= 0 or self.journal.failed is not None:
                return False
            await self._wait(office.waiter(index), left)

    async def _wait(self, future: asyncio.Future[None], within_s: float) -> None:
        timer = self.loop.call_later(within_s, finish, future)
        try:
            await future
        finally:
            timer.cancel()

    def touch(self, copy: Copy) -> None:
        """Records of this copy are to be synced; all that come meanwhile share one sync."""
        self._dirty[copy.part] = copy
        if not self._flushing:
            self._flushing = True
            self.spawn(self._flush())

    async def _flush(self) -> None:
        try:
            while self._dirty:
                marks = [(copy, copy.index, copy.lineage) for copy in self._dirty.values()]
                self._dirty.clear()
                if not await self.journal.sync():
                    return
                for copy, index, lineage in marks:
                    office = self.offices.get(copy.part)
                    if office and copy.lineage == lineage:
                        office.local = max(office.local, index)
                        office.noted()
        finally:
            self._flushing = False

    # Backup --------------------------------------------------------------------------------------

    def _admit(self, part: int, epoch: int, member: str) -> Copy | Failure:
        """The copy that a primary may speak to; it is in the epoch then, on disk with the next sync."""
        if member != self.member or not 0 <= part < PARTITIONS:
            return Failure(Code.NOT_MEMBER, self.member)
        copy = self.copies[part]
        if epoch < copy.epoch:
            return Failure(Code.STALE_EPOCH, str(copy.epoch))
        if epoch == copy.epoch and copy.is_primary:
            return Failure(Code.STALE_EPOCH, "primary here")
        if epoch > copy.epoch:
            self._close_office(copy)
            copy.promise(epoch)
        if copy.state in (CopyState.ABSENT, CopyState.FENCED):
            copy.become(CopyState.BACKUP if copy.whole else CopyState.JOINING, "called by the primary")
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
        return await self._standing(copy, ask.epoch)

    async def _on_install(self, link: Link, ask: PartInstall) -> CopyPosition | Failure:
        copy = self._admit(ask.part, ask.epoch, ask.member)
        if isinstance(copy, Failure):
            return copy
        if ask.session != copy.session:
            return Failure(Code.NOT_SYNCED, "another session")
        if ask.piece == 0:
            copy.stage(ask.install, (ask.index, ask.chain))
        staged = copy.staged
        if staged is None or staged.token != ask.install or staged.next != ask.piece:
            return Failure(Code.NOT_SYNCED, "pieces out of order")
        staged.next += 1
        copy.load(ask.records)
        if ask.last:
            copy.swap()
            if copy.placement is None or self.member in copy.placement.backups:
                copy.become(CopyState.BACKUP, "installed")
        return await self._standing(copy, ask.epoch)

    async def _standing(self, copy: Copy, epoch: int) -> CopyPosition | Failure:
        position = copy.position
        if not await self.journal.sync():
            return Failure(Code.DISK_FAILED, "disk")
        if copy.epoch != epoch:
            return Failure(Code.STALE_EPOCH, str(copy.epoch))
        return CopyPosition(epoch, *position)

    async def _on_ping(self, link: Link, ask: PartPing) -> PartEpochs | Failure:
        if ask.member != self.member:
            return Failure(Code.NOT_MEMBER, self.member)
        return PartEpochs([self.copies[part % PARTITIONS].epoch for part in ask.parts])

    async def _on_digests(self, link: Link, ask: PartDigests) -> Done | Failure:
        copy = self._admit(ask.part, ask.epoch, ask.member)
        if isinstance(copy, Failure):
            return copy
        if copy.position == (ask.index, ask.chain) and copy.jobs.digests() != ask.digests:
            return Failure(Code.NOT_SYNCED, "differs")
        return Done()

    # Primary -------------------------------------------------------------------------------------

    async def ping_loop(self) -> None:
        """For ever: ask the members of all offices, one question for each machine."""
        while True:
            parts: dict[str, list[Office]] = {}
            for office in self.offices.values():
                for member in office.peers:
                    if member in office.counted:
                        parts.setdefault(member, []).append(office)
            for member, offices in parts.items():
                if member not in self._asking:
                    self.spawn(self._ping(member, offices))
            await asyncio.sleep(min(PING_S, self.fresh_s / 3))

    async def _ping(self, member: str, offices: list[Office]) -> None:
        address = self.address_of(member)
        self._asking.add(member)
        sent = self.now()
        try:
            if address:
                ask = PartPing(member, [o.copy.part for o in offices], [o.epoch for o in offices])
                reply = await self.call(address, ask, PING_CALL_S)
                if isinstance(reply, PartEpochs):
                    self._pinged(member, offices, reply.epochs, sent)
        finally:
            self._asking.discard(member)
        for office in offices:
            self._tell_lost(office, member)

    def _pinged(self, member: str, offices: list[Office], epochs: list[int], sent: float) -> None:
        for office, epoch in zip(offices, epochs, strict=False):
            peer = office.peers.get(member)
            if epoch > office.epoch and not office.closed:
                office.overruled(f"{member} is in {epoch}")
            elif epoch == office.epoch and peer:
                peer.heard = max(peer.heard, sent)

    def _tell_lost(self, office: Office, member: str) -> None:
        peer = office.peers.get(member)
        if office.closed or peer is None:
            return
        now = self.now()
        silent = now - max(peer.heard, office.opened_at)
        if silent < LOST_S or now - peer.told_lost < LOST_AGAIN_S:
            return
        address = self.node.follower.primary
        link = self.node.endpoint.linked(address) if address else None
        if link:
            peer.told_lost = now
            link.send(PartLost(office.copy.part, office.epoch, member, int(min(silent, 1e6) * 1000)))
        elif address:
            self.spawn(self.node.endpoint.link(address))

    async def settle(self, within_s: float) -> None:
        """Let what has been taken get to all members; for a stop."""
        for office in list(self.offices.values()):
            if office.serving:
                start = self.now()
                await self.committed(office.copy, office.copy.index, within_s)
                within_s -= self.now() - start

    async def tend(self) -> None:
        """Now and then: compare copies, drop what is no longer needed."""
        now = self.now()
        for copy in self.copies:
            if self._superfluous(copy, now):
                copy.drop()
        if now - self._digested_at > DIGEST_S:
            self._digested_at = now
            for office in list(self.offices.values()):
                if office.serving and office.copy.jobs.jobs:
                    await self._compare(office)

    def _superfluous(self, copy: Copy, now: float) -> bool:
        placement = copy.placement
        if copy.state is not CopyState.FENCED or placement is None or now - copy.fenced_at < DROP_S:
            return False
        named = self.member in (*placement.members, *placement.joining)
        return not named and len(placement.backups) >= self.survive_nodes

    async def _compare(self, office: Office) -> None:
        copy = office.copy
        digests = copy.jobs.digests()
        index, chain = copy.position
        for member, peer in list(office.peers.items()):
            address = self.address_of(member)
            if not address or peer.state is not PeerState.STREAMING or peer.acked != index:
                continue
            ask = PartDigests(copy.part, office.epoch, member, index, chain, digests)
            reply = await self.call(address, ask, CALL_S)
            if isinstance(reply, Failure) and reply.code is Code.NOT_SYNCED and not office.closed:
                log("copy_differs", level="ERROR", part=copy.part, member=member, index=index)
                peer.differs()
