"""Replication of the control state among controllers: epochs, a primary, backups that have every write before it is
answered, and witnesses that keep only epochs (docs/system.md, "Epochs of the controllers").

No clock is trusted for safety: every write waits for every backup, and one promise by one member ends an epoch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from otterreach.controller import change_history
from otterreach.controller.messages import (
    Accept,
    Accepted,
    Append,
    Beat,
    Beaten,
    ControllerInfo,
    Identity,
    Install,
    Join,
    Prepare,
    Promise,
    Record,
    WhoAreYou,
)
from otterreach.runtime import identity
from otterreach.runtime.codec import decode, encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal import Journal
from otterreach.runtime.journal import Record as Entry
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint, Link
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import Item, ReplicatedStore

TICK_S = 0.05
BEAT_S = 0.1
CALL_S = 0.4
GRACE_S = 0.03  # how long those that may still answer are waited for, once enough have
ELECT_S, ELECT_RANK_S, ELECT_SPREAD_S = 0.45, 0.2, 0.1  # silence of the primary before a member stands
START_S = 0.1  # the same right after a start: those that hear a primary would not promise
AGAIN_S = 0.12  # between tries while no primary has been heard of since the start
STICKY_S = 0.35  # heard of the primary within this: no promise to another
BACKUP_LOST_S = 0.5  # a backup silent for so long is replaced
WITNESS_LOST_S = 3.0  # a witness silent for so long may make room
JOIN_S = 0.3
REWRITE_BYTES = 4 * 1024 * 1024
IDENTITY, PROMISE, RECORD, ITEMS, STATE = 1, 2, 3, 4, 5


class Mode(Enum):
    NEW = "new"  # in no record: takes no part
    FOLLOWING = "following"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    FAILED = "failed"  # the disk


@dataclass(slots=True)
class Witnessed:
    """What the primary knows of a witness."""

    ok_at: float  # when the last beat that it answered well was sent
    asking: bool = False


def is_private(key: str) -> bool:
    """Whether an item stays among the controllers: no other process has a use for it."""
    return key.partition("/")[0] == change_history.KIND


def majority(ids: Iterable[str], record: Record) -> bool:
    """Whether these are more than half of the record's witnesses."""
    known = set(ids)
    return sum(w.id in known for w in record.witnesses) * 2 > len(record.witnesses)


class Control:
    """One controller's part in it. `changed` is told when it becomes primary (True) and when it no longer is."""

    def __init__(
        self,
        settings: Settings,
        endpoint: Endpoint,
        journal: Journal,
        follower: Follower,
        random: Random,
        changed: Callable[[bool], None] = lambda primary: None,
    ) -> None:
        self.settings, self.endpoint, self.journal = settings, endpoint, journal
        self.follower, self.random, self.changed = follower, random, changed
        self.loop = asyncio.get_running_loop()
        self.mode = Mode.NEW
        self.id = ""
        self.fresh = False  # may take part in the very first record
        self.promised = 0
        self.accepted: Record | None = None
        self.state = ReplicatedStore()  # at the primary also what is not yet at all copies
        self.heard_at = self.loop.time()
        self.heard_from = ""
        self.joiners: dict[str, ControllerInfo] = {}
        self.beats = 0
        self._seen = 0  # the highest number heard of
        self._hint: Record | None = None  # a higher record than the accepted one, heard of
        self._counter = 0
        self._installed: list[Item] = []  # what all copies of the newest record have from its start
        self._queue: list[Item] = []
        self._waiting: list[asyncio.Future[bool]] = []
        self._last_write: asyncio.Future[bool] | None = None  # of `revise`; all earlier ones end before it
        self._replicating = False
        self._electing = False
        self._witnessed: dict[str, Witnessed] = {}
        self._timeout = START_S
        for kind, handler in (
            (Prepare, self._prepare),
            (Accept, self._accept),
            (Install, self._install),
            (Append, self._append),
            (Beat, self._beat),
            (WhoAreYou, self._who),
            (Join, self._join),
        ):
            endpoint.on(kind, handler)

    # State ---------------------------------------------------------------------------------------

    def load(self, records: list[Entry]) -> None:
        """The state as the journal has it; a first start draws an id. `start` makes it last."""
        for kind, payload in records:
            if kind == IDENTITY:
                ident, _, fresh = payload.decode().partition(" ")
                self.id, self.fresh = ident, fresh == "1"
            elif kind == PROMISE:
                self.promised = max(self.promised, int(payload))
            elif kind == RECORD:
                self.accepted = decode(22, payload).record[0]
                self.promised = max(self.promised, self.accepted.number)
            elif kind == ITEMS:
                self.state.apply(decode(25, payload).items)
            elif kind == STATE:
                install = decode(24, payload)
                self.state = ReplicatedStore()
                self.state.apply(install.items)
                self.promised = max(self.promised, install.number)
        if not self.id:
            self.id, self.fresh = identity.draw(), self.settings.bootstrap
            self.journal.append(IDENTITY, f"{self.id} {int(self.fresh)}".encode())
        self._become(Mode.FOLLOWING if self.accepted else Mode.NEW, "start")

    def _live(self) -> Iterable[Entry]:
        yield IDENTITY, f"{self.id} {int(self.fresh)}".encode()
        yield STATE, encode(Install(min(self.promised, self.number), self.id, list(self.state.items.values())))
        if self.accepted:
            yield RECORD, encode(Accept([self.accepted]))
        yield PROMISE, str(self.promised).encode()

    @property
    def number(self) -> int:
        return self.accepted.number if self.accepted else 0

    @property
    def is_primary(self) -> bool:
        return self.mode is Mode.PRIMARY

    @property
    def controller(self) -> ControllerInfo:
        s = self.settings
        return ControllerInfo(self.id, s.node, s.address, s.zone)

    @property
    def primary_address(self) -> str:
        """Where the primary is, as far as is known here."""
        if self.is_primary:
            return self.settings.address
        if self.accepted and self.loop.time() - self.heard_at < 2.0:
            found = self.accepted.witness(self.accepted.primary)
            return found.address if found else ""
        return ""

    def _become(self, mode: Mode, why: str) -> None:
        """The one function that changes the mode."""
        old, self.mode = self.mode, mode
        if old is mode:
            return
        log(
            "mode",
            node=self.settings.node,
            old=old.value,
            new=mode.value,
            why=why,
            number=self.number,
            promised=self.promised,
        )
        self.follower.is_root = mode is Mode.PRIMARY
        if mode is not Mode.PRIMARY:
            self.heard_at = self.loop.time()
            self._timeout = START_S if old is Mode.NEW else self._draw_timeout()
        if old is Mode.PRIMARY or mode is Mode.PRIMARY:
            self.changed(mode is Mode.PRIMARY)

    def _fail_writes(self) -> None:
        waiting, self._waiting, self._queue = self._waiting, [], []
        for future in waiting:
            if not future.done():
                future.set_result(False)

    def _draw_timeout(self) -> float:
        record = self.accepted
        rank = record.members.index(self.id) if record and self.id in record.members else 0
        return ELECT_S + ELECT_RANK_S * rank + ELECT_SPREAD_S * self.random.random()

    def _step_down(self, why: str) -> None:
        if self.mode in (Mode.PRIMARY, Mode.CANDIDATE):
            self._become(Mode.FOLLOWING, why)
        self._fail_writes()

    async def _sync(self) -> bool:
        if await self.journal.sync():
            return True
        self._step_down("disk")
        self._become(Mode.FAILED, "disk")
        return False

    # Witness and backup --------------------------------------------------------------------------

    async def _prepare(self, link: Link, ask: Prepare) -> Promise | Failure:
        accepted = [self.accepted] if self.accepted else []
        heard = self.is_primary or self.loop.time() - self.heard_at < STICKY_S and bool(self.heard_from)
        holder = self.id if self.is_primary else self.heard_from
        self._seen = max(self._seen, ask.number if not ask.probe else 0)
        refused = not self.accepted or ask.number <= self.promised or heard and ask.candidate != holder
        if refused or ask.probe:
            return Promise(not refused, self.promised, self.id, accepted)
        self.promised = ask.number
        self.journal.append(PROMISE, str(ask.number).encode())
        if ask.candidate != self.id:
            self._step_down("promised to another")
            self.heard_at, self.heard_from = self.loop.time(), ask.candidate
        if not await self._sync():
            return self._disk_failure
        return Promise(self.promised == ask.number, self.promised, self.id, accepted)

    @property
    def _disk_failure(self) -> Failure:
        return self.journal.failed or Failure(Code.DISK_FAILED, "disk")

    async def _accept(self, link: Link, ask: Accept) -> Accepted | Failure:
        record = ask.record[0]
        if record.number < self.promised:
            return Accepted(False, self.promised, self.id)
        if record.primary != self.id:
            self._step_down("another is primary")
        self._adopt(record)
        if not await self._sync():
            return self._disk_failure
        self.heard_at, self.heard_from = self.loop.time(), record.primary
        return Accepted(self.promised == record.number, self.promised, self.id)

    def _adopt(self, record: Record) -> None:
        self.promised, self.accepted, self.fresh = record.number, record, False
        if self._hint and self._hint.number <= record.number:
            self._hint = None
        self.journal.append(RECORD, encode(Accept([record])))
        if record.primary != self.id:
            inside = record.witness(self.id) is not None
            self._become(Mode.FOLLOWING if inside else Mode.NEW, f"record {record.number}")

    async def _install(self, link: Link, ask: Install) -> Done | Failure:
        if ask.target != self.id or ask.number < self.promised:
            return Failure(Code.STALE_EPOCH, f"promised {self.promised}")
        self._step_down("installed")
        self.promised = ask.number
        self.state = ReplicatedStore()
        self.state.apply(ask.items)
        self.journal.append(STATE, encode(ask))
        return Done() if await self._sync() else self._disk_failure

    async def _append(self, link: Link, ask: Append) -> Done | Failure:
        record = self.accepted
        if ask.number < self.promised:
            return Failure(Code.STALE_EPOCH, f"promised {self.promised}")
        if record is None or record.number != ask.number or self.id not in record.backups:
            return Failure(Code.NOT_SYNCED, "not a backup of this epoch")
        self.state.apply(ask.items)
        self.journal.append(ITEMS, encode(ask))
        if not await self._sync():
            return self._disk_failure
        return Done() if self.promised == ask.number else Failure(Code.STALE_EPOCH, f"promised {self.promised}")

    async def _beat(self, link: Link, ask: Beat) -> Beaten:
        ok = self.number == ask.number == self.promised
        if ok:
            self.heard_at, self.heard_from = self.loop.time(), ask.primary
            self.follower.primary = ask.address
        return Beaten(ok, self.promised, self.id)

    async def _who(self, link: Link, ask: WhoAreYou) -> Identity:
        return Identity([self.controller], self.fresh and self.accepted is None)

    async def _join(self, link: Link, ask: Join) -> Done | Failure:
        if not self.is_primary or self.accepted is None:
            return Failure(Code.NOT_PRIMARY, self.primary_address)
        controller = ask.controller[0]
        if self.accepted.witness(controller.id) is None:
            self.joiners[controller.id] = controller
        return Done()

    # Becoming primary ----------------------------------------------------------------------------

    async def start(self) -> None:
        """Make the start last, then take part, for ever."""
        if await self._sync():
            await asyncio.gather(self._watch(), self._beats())

    async def _watch(self) -> None:
        joined_at = self.loop.time()
        while self.mode is not Mode.FAILED:
            await asyncio.sleep(TICK_S)
            now = self.loop.time()
            if self.mode is Mode.NEW and self.fresh and self._is_first_seed():
                await self._found()
            if self.is_primary and not self._electing:
                await self._tend()
            elif self.mode is Mode.FOLLOWING and now - self.heard_at > self._timeout and self._may_stand():
                stood = await self._elect(set(), [])
                self.heard_at = self.loop.time()
                cold = not self.heard_from and not stood
                self._timeout = AGAIN_S * (1 + self.random.random()) if cold else self._draw_timeout()
            if self._outside() and now - joined_at > JOIN_S:
                joined_at = now
                self.endpoint.spawn(self._ask_in())
            if self.journal.size > REWRITE_BYTES and not self._electing:
                await self._rewrite()

    async def _rewrite(self) -> None:
        live = sum(len(payload) for _, payload in self._live())
        if self.journal.size > 4 * live and not await self.journal.rewrite(self._live):
            self._step_down("disk")

    def _may_stand(self) -> bool:
        record = self._hint or self.accepted
        return record is not None and self.id in record.members

    def _outside(self) -> bool:
        silent = self.mode is Mode.FOLLOWING and self.loop.time() - self.heard_at > 0.3 and not self._may_stand()
        return self.mode is Mode.NEW or silent

    async def _ask_in(self) -> None:
        known = dict.fromkeys([self.follower.primary, *self.follower.controllers, *self.settings.seeds])
        for address in known:
            if address and address != self.settings.address:
                reply = await self.endpoint.call(address, Join([self.controller]), CALL_S)
                if not isinstance(reply, Failure):
                    return

    def _is_first_seed(self) -> bool:
        return bool(self.settings.seeds) and self.settings.address == min(self.settings.seeds)

    async def _found(self) -> None:
        """The very first record: all seeds have to be there, all with nothing on their disks."""
        others = [s for s in self.settings.seeds if s != self.settings.address]
        replies = await asyncio.gather(*(self.endpoint.call(s, WhoAreYou(self.settings.node), CALL_S) for s in others))
        if not all(isinstance(r, Identity) and r.fresh for r in replies):
            return
        witnesses = [self.controller, *(r.controller[0] for r in replies)]
        backups = [w.id for w in witnesses[1:]][: self.settings.survive_nodes]
        record = Record(1, self.id, backups, witnesses)
        self._electing = True
        try:
            self._adopt(record)
            if await self._sync() and await self._propose(record, record, set(w.id for w in witnesses)):
                self._take_office()
            else:
                self._become(Mode.FOLLOWING, "first record not in force")
        finally:
            self._electing = False

    async def _elect(self, drop: set[str], add: list[ControllerInfo]) -> bool:
        """Prepare, Install, Accept: by the primary to change the record, by another member to take over."""
        if self._electing:
            return False
        self._electing = True
        try:
            return await self._run_election(drop, add)
        finally:
            self._electing = False

    async def _run_election(self, drop: set[str], add: list[ControllerInfo]) -> bool:
        base = self._hint or self.accepted
        assert base is not None
        number = max(self.promised, self._seen, base.number) + 1
        was_primary = self.is_primary
        if await self._promises(base, number, probe=True) is None:
            if was_primary:
                self._step_down("no majority would promise")
            return False
        self.promised = max(self.promised, number)
        self.journal.append(PROMISE, str(number).encode())
        if not was_primary:
            self._become(Mode.CANDIDATE, f"stands for {number}")
        if not await self._sync() or self.promised != number:
            return False
        promised = await self._promises(base, number, probe=False)
        if promised is None or self.promised != number:
            self._step_down("no majority promised")
            return False
        record = await self._form(base, number, promised, drop, add)
        if record is None or self.promised != number:
            self._step_down("too few copies")
            return False
        self._adopt(record)
        if not await self._sync():
            return False
        ready = await self._propose(base, record, {self.id})
        if not ready or self.promised != number:
            self._step_down("record not in force")
            return False
        self._take_office()
        return True

    async def _promises(self, base: Record, number: int, probe: bool) -> dict[str, ControllerInfo] | None:
        """The witnesses that promise, oneself among them, if they are a majority; else None."""
        others = [w for w in base.witnesses if w.id != self.id]
        granted = {w.id: w for w in base.witnesses if w.id == self.id}
        ask = Prepare(number, self.id, probe)

        def enough(replies: dict[str, Any]) -> bool:
            good = [i for i, r in replies.items() if isinstance(r, Promise) and r.ok and r.id == i]
            return majority([*good, *granted], base) and len(good) >= self.settings.survive_nodes

        replies = await self._ask_all(others, ask, enough)
        highest = base
        for witness in others:
            reply = replies.get(witness.id)
            if not isinstance(reply, Promise) or reply.id != witness.id:
                continue
            self._seen = max(self._seen, reply.promised)
            if reply.ok:
                granted[witness.id] = witness
            if reply.accepted and reply.accepted[0].number > highest.number:
                highest = reply.accepted[0]
        if highest.number > base.number:
            self._hint = highest  # the next try asks its witnesses, if this one is a member at all
            return None
        return granted if majority(granted, base) else None

    async def _ask_all(
        self, targets: list[ControllerInfo], ask: Any, enough: Callable[[dict[str, Any]], bool]
    ) -> dict[str, Any]:
        """Replies by id; once `enough` says so, the others are waited for only a moment longer."""
        tasks = {asyncio.ensure_future(self.endpoint.call(t.address, ask, CALL_S)): t.id for t in targets}
        replies: dict[str, Any] = {}
        pending = set(tasks)
        while pending:
            grace = GRACE_S if enough(replies) else None
            done, pending = await asyncio.wait(pending, timeout=grace, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            for task in done:
                replies[tasks[task]] = task.result()
        return replies

    async def _form(
        self, base: Record, number: int, promised: dict[str, ControllerInfo], drop: set[str], add: list[ControllerInfo]
    ) -> Record | None:
        """The new record, its backups holding the whole state already."""
        witnesses = [w for w in base.witnesses if w.id not in drop and w.id not in {a.id for a in add}] + add
        need = min(self.settings.survive_nodes, len(witnesses) - 1)
        choice = [w for w in witnesses if w.id != self.id and (w.id in promised or w in add)]
        members = set(base.members)
        zone = self.settings.zone
        choice.sort(key=lambda w: (w.id not in members, w.zone == zone, w.id))
        backups: list[str] = []
        self._installed = items = list(self.state.items.values())
        while len(backups) < need and choice:
            batch, choice = choice[: need - len(backups)], choice[need - len(backups) :]
            replies = await asyncio.gather(
                *(self.endpoint.call(w.address, Install(number, w.id, items), CALL_S * 2) for w in batch)
            )
            backups += [w.id for w, reply in zip(batch, replies, strict=True) if isinstance(reply, Done)]
        return Record(number, self.id, backups, witnesses) if len(backups) >= need else None

    async def _propose(self, base: Record, record: Record, must: set[str]) -> bool:
        """Whether the record is in force: a majority of the old and the new witnesses, and all backups, have it."""
        targets = {w.id: w for w in [*base.witnesses, *record.witnesses] if w.id != self.id}
        needed = (set(record.backups) | must) - {self.id}

        def enough(replies: dict[str, Any]) -> bool:
            good = {i for i, r in replies.items() if isinstance(r, Accepted) and r.ok and r.id == i} | {self.id}
            return needed <= good and majority(good, base) and majority(good, record)

        return enough(await self._ask_all(list(targets.values()), Accept([record]), enough))

    def _take_office(self) -> None:
        assert self.accepted is not None
        now = self.loop.time()
        self._hint = None
        self._witnessed = {w.id: Witnessed(now) for w in self.accepted.witnesses if w.id != self.id}
        self.follower.primary = self.settings.address
        self._counter = max([i.rev & 0xFFFFFF for i in self.state.items.values() if i.rev >> 24 == self.number] or [0])
        self._become(Mode.PRIMARY, f"record {self.number} in force")
        self._publish(self._installed)  # at all copies now; what was changed since is still to be appended
        self._fresh_root()
        if self._queue and not self._replicating:
            self.endpoint.spawn(self._replicate())

    # Being primary -------------------------------------------------------------------------------

    async def _tend(self) -> None:
        """Replace backups that are lost, take joiners in, let go of what is silent."""
        record, now = self.accepted, self.loop.time()
        assert record is not None
        silent = {i: now - w.ok_at for i, w in self._witnessed.items()}
        lost = [b for b in record.backups if silent.get(b, 0.0) > BACKUP_LOST_S]
        add = [j for j in self.joiners.values() if record.witness(j.id) is None]
        self.joiners.clear()
        addresses = {a.address for a in add} | {a.node for a in add}
        drop = {w.id for w in record.witnesses if w.address in addresses or w.node in addresses}
        patience = WITNESS_LOST_S / 2 if add else WITNESS_LOST_S
        gone = sorted((i for i, age in silent.items() if age > patience and i not in drop), key=lambda i: -silent[i])
        least = 2 * self.settings.survive_nodes + 1
        for ident in gone:
            if len(record.witnesses) - len(drop) + len(add) > least:
                drop.add(ident)
        if add or drop or lost:
            log("reform", node=self.settings.node, add=len(add), drop=len(drop), lost=len(lost))
            await self._elect(drop, add)

    async def _beats(self) -> None:
        while self.mode is not Mode.FAILED:
            if self.is_primary and not self._electing:
                record = self.accepted
                assert record is not None
                for witness in record.witnesses:
                    if witness.id != self.id and not self._witnessed[witness.id].asking:
                        self.endpoint.spawn(self._beat_one(witness, record))
                self._fresh_root()
            await asyncio.sleep(BEAT_S)

    def _fresh_root(self) -> None:
        """How new the published state surely is: as of when all backups were last in this epoch."""
        record = self.accepted
        if self.is_primary and record:
            self.follower.root_at = min([self._witnessed[b].ok_at for b in record.backups], default=self.loop.time())

    async def _beat_one(self, witness: ControllerInfo, record: Record) -> None:
        known = self._witnessed[witness.id]
        known.asking, sent = True, self.loop.time()
        ask = Beat(record.number, self.id, self.settings.address)
        reply = await self.endpoint.call(witness.address, ask, CALL_S)
        known.asking = False
        if not self.is_primary or self.accepted is not record or not isinstance(reply, Beaten):
            return
        if reply.id != witness.id:
            return  # another disk at that address: it will ask to join
        if reply.ok:
            known.ok_at = max(known.ok_at, sent)
        elif reply.promised > record.number:
            self._seen = max(self._seen, reply.promised)
            await self._elect(set(), [])  # over it, or not at all
        else:
            await self.endpoint.call(witness.address, Accept([record]), CALL_S)

    async def confirm(self) -> bool:
        """Whether this is the primary now: every backup says that the epoch holds. Before a read."""
        record = self.accepted
        if not self.is_primary or record is None:
            return False
        ask = Beat(record.number, self.id, self.settings.address)
        targets = [w for w in record.witnesses if w.id in record.backups]
        replies = await asyncio.gather(*(self.endpoint.call(w.address, ask, CALL_S) for w in targets))
        same = all(isinstance(r, Beaten) and r.ok and r.id == w.id for w, r in zip(targets, replies, strict=True))
        return same and self.is_primary and self.accepted is record

    async def committed(self) -> bool:
        """Whether this is the primary now, and all of `state` as it was when this was called is at all copies.
        Before an answer that rests on `state`: a change that is not at all copies may still vanish."""
        write = self._last_write
        if write is not None and not write.done():
            await asyncio.wait([write])
            if write.cancelled() or not write.result():
                return False
        return await self.confirm()

    def revise(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        """Change items (empty value: gone). True once all copies have it; False: it may be in force or not.
        Not primary: False at once, and nothing was changed."""
        future: asyncio.Future[bool] = self.loop.create_future()
        if not self.is_primary:
            future.set_result(False)
            return future
        items = []
        for key, value in changes:
            self._counter += 1
            items.append(Item(key, self.number << 24 | self._counter, value))
        self.state.apply(items)
        self.journal.append(ITEMS, encode(Append(self.number, items)))
        self._queue += items
        self._waiting.append(future)
        self._last_write = future
        if not self._replicating:
            self.endpoint.spawn(self._replicate())
        return future

    async def _replicate(self) -> None:
        self._replicating = True
        try:
            while self._queue and self.is_primary and not self._electing:
                await self._replicate_batch()
        finally:
            self._replicating = False
        if not self.is_primary:
            self._fail_writes()

    async def _replicate_batch(self) -> None:
        record = self.accepted
        items, self._queue = self._queue, []
        waiting, self._waiting = self._waiting, []
        if await self._copy(items):
            self._publish(items)
            for future in waiting:
                if not future.done():
                    future.set_result(True)
            return
        # Appended once more under the next record, or failed with the office.
        self._queue, self._waiting = items + self._queue, waiting + self._waiting
        if self.is_primary and self.accepted is record and not self._electing:
            await self._elect(set(), [])

    async def _copy(self, items: list[Item]) -> bool:
        record = self.accepted
        assert record is not None
        targets = [w for w in record.witnesses if w.id in record.backups]
        ask = Append(record.number, items)
        sent = self.loop.time()
        calls: list[Awaitable[Any]] = [self.endpoint.call(w.address, ask, CALL_S) for w in targets]
        replies = await asyncio.gather(self._sync(), *calls)
        if replies[0] is not True or self.accepted is not record or not self.is_primary:
            return False
        for witness, reply in zip(targets, replies[1:], strict=True):
            if not isinstance(reply, Done):
                log("backup_lost", node=self.settings.node, backup=witness.node, why=str(getattr(reply, "reason", "")))
                return False
            self._witnessed[witness.id].ok_at = max(self._witnessed[witness.id].ok_at, sent)
        return True

    def _publish(self, items: list[Item]) -> None:
        taken = self.follower.store.apply(item for item in items if not is_private(item.key))
        self.follower.relay.publish(taken)
