"""How a configuration comes into force: a candidate's promises, snapshots for its backups, and acceptance.

The primary uses the same steps to change its own configuration (docs/system.md, "Epochs of the controllers").
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration, is_majority
from otterreach.controller.messages import (
    Accept,
    Accepted,
    IdentityReply,
    IdentityRequest,
    Prepare,
    Promise,
)
from otterreach.controller.replica_state import Mode, ReplicaState
from otterreach.controller.snapshot import SnapshotSender, install_all
from otterreach.controller.survival import (
    Place,
    choose_replicas,
    limits_of,
    place_of,
    unmet_by_replicas,
    unmet_by_voters,
)
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.store import Item, ReplicatedStore

CALL_S = 0.4
GRACE_S = 0.03  # how long those that may still answer are waited for, once enough have
# Silence of the primary before a member stands: the base, more for each later rank, and a random part.
ELECT_S, ELECT_RANK_S, ELECT_SPREAD_S = 0.45, 0.2, 0.1
START_S = 0.1  # the same right after a start: those that hear a primary would not promise
RETRY_S = 0.12  # between tries while no primary has been heard of since the start


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What an election changes besides the primary."""

    drop: frozenset[str] = frozenset()  # witnesses to leave out
    add: tuple[ControllerInfo, ...] = ()  # witnesses to take in
    avoid: frozenset[str] = frozenset()  # controllers that leave: backups only if there is nobody else
    transfer: bool = False  # the primary itself asked for it


NO_CHANGE = MembershipChange()
Replies = dict[str, Any]  # by the id of the controller that was asked


class Election:
    """Runs one election at a time. `become_primary` is told what all members have from the epoch's start."""

    def __init__(
        self,
        replica: ReplicaState,
        endpoint: Endpoint,
        random: Random,
        become_primary: Callable[[list[Item]], None],
    ) -> None:
        self.replica, self.endpoint, self.random = replica, endpoint, random
        self.settings, self.limits = replica.settings, limits_of(replica.settings)
        self.become_primary = become_primary
        self.snapshots = SnapshotSender(replica, endpoint)
        self.in_progress = False
        self.barred = False  # this controller leaves: it stands no more
        self._unmet: list[str] = []  # kinds of allowed losses that the last configuration does not bear
        self._timeout = START_S
        replica.on_mode_change.append(self._mode_changed)

    # When to stand -------------------------------------------------------------------------------

    def _mode_changed(self, old: Mode, new: Mode) -> None:
        if new is not Mode.PRIMARY:
            self._timeout = START_S if old is Mode.NEW else self._draw_timeout()

    def _draw_timeout(self) -> float:
        configuration, ident = self.replica.accepted, self.replica.id
        is_member = configuration is not None and ident in configuration.members
        rank = configuration.members.index(ident) if configuration and is_member else 0
        return ELECT_S + ELECT_RANK_S * rank + ELECT_SPREAD_S * self.random.random()

    def may_stand(self) -> bool:
        """Whether this is a member of the highest configuration known: it holds all acknowledged writes."""
        configuration = self.replica.newer or self.replica.accepted
        return configuration is not None and self.replica.id in configuration.members

    def is_due(self) -> bool:
        """Whether the primary has been silent for so long that this controller stands."""
        replica = self.replica
        silence = replica.loop.time() - replica.primary_heard_at
        waits = replica.mode is Mode.FOLLOWING and not self.barred
        return waits and silence > self._timeout and self.may_stand()

    async def stand(self) -> None:
        """Stand for election once, and draw how long to wait before the next try."""
        replica = self.replica
        elected = await self.run()
        replica.primary_heard_at = replica.loop.time()
        heard_of_none = not replica.primary_heard and not elected
        self._timeout = RETRY_S * (1 + self.random.random()) if heard_of_none else self._draw_timeout()

    # The very first configuration ----------------------------------------------------------------

    def may_bootstrap(self) -> bool:
        """Whether this is the seed that proposes the very first configuration."""
        seeds = self.settings.seeds
        is_first_seed = bool(seeds) and self.settings.address == min(seeds)
        return self.replica.mode is Mode.NEW and self.replica.uninitialised and is_first_seed

    async def bootstrap(self) -> None:
        """The very first configuration: all seeds have to be there, all with nothing on their disks."""
        replica = self.replica
        others = [seed for seed in self.settings.seeds if seed != self.settings.address]
        ask = IdentityRequest(self.settings.node)
        replies = await asyncio.gather(*(self.endpoint.call(seed, ask, CALL_S) for seed in others))
        if not all(isinstance(r, IdentityReply) and r.uninitialised for r in replies):
            return
        witnesses = [replica.info, *(r.controller[0] for r in replies)]
        others_ids = [w.id for w in witnesses[1:]]
        backups = choose_replicas([replica.id], others_ids, self.places(witnesses), self.limits)
        configuration = EpochConfiguration(1, replica.id, backups, witnesses)
        self.in_progress = True
        try:
            replica.adopt_configuration(configuration)
            everyone = {w.id for w in witnesses}
            synced = await replica.sync()
            if synced and await self._accept_configuration(configuration, configuration, everyone):
                self._report_unmet(configuration)
                self.become_primary([])
            else:
                replica.become(Mode.FOLLOWING, "first epoch not in force")
        finally:
            self.in_progress = False

    # An election ---------------------------------------------------------------------------------

    async def run(self, change: MembershipChange = NO_CHANGE) -> bool:
        """Become primary of a new epoch: by the primary to change its configuration, by another member to take over.
        False also if an election is under way here already, or this controller leaves."""
        if self.in_progress or self.barred:
            return False
        self.in_progress = True
        try:
            return await self._run(change)
        finally:
            self.in_progress = False

    async def _run(self, change: MembershipChange) -> bool:
        replica = self.replica
        base = replica.newer or replica.accepted
        assert base is not None
        number = max(replica.promised, replica.highest_seen, base.number) + 1
        promised = await self._collect_promises(base, number, change.transfer)
        if promised is None:
            return False
        items = list(replica.store.items.values())
        configuration = await self._form_configuration(base, number, items, promised, change)
        if configuration is None or replica.promised != number:
            replica.step_down("too few copies")
            return False
        replica.adopt_configuration(configuration)
        if not await replica.sync():
            return False
        in_force = await self._accept_configuration(base, configuration, {replica.id})
        if not in_force or replica.promised != number:
            replica.step_down("epoch not in force")
            return False
        self._report_unmet(configuration)
        self.become_primary(items)
        return True

    async def _collect_promises(
        self, base: EpochConfiguration, number: int, transfer: bool
    ) -> dict[str, ControllerInfo] | None:
        """Probe, promise oneself, then ask for promises: who promised, or None if too few would or did."""
        replica, was_primary = self.replica, self.replica.is_primary
        probe = Prepare(number, replica.id, probe=True, transfer=transfer)
        if await self._ask_promises(base, probe) is None:
            if was_primary:
                replica.step_down("no majority would promise")
            return None
        if replica.promised >= number:
            # Nobody promises one number twice, not to itself either: it was promised to another during the probe.
            replica.step_down("promised to another")
            return None
        replica.promise(number)
        if not was_primary:
            replica.become(Mode.CANDIDATE, f"stands for {number}")
        if not await replica.sync() or replica.promised != number:
            replica.step_down("promised to another")
            return None
        promised = await self._ask_promises(base, Prepare(number, replica.id, transfer=transfer))
        if promised is None or replica.promised != number:
            replica.step_down("no majority promised")
            return None
        return promised

    async def _ask_promises(self, base: EpochConfiguration, ask: Prepare) -> dict[str, ControllerInfo] | None:
        """The witnesses that promise, oneself among them, if they are a majority; else None."""
        replica = self.replica
        others = [w for w in base.witnesses if w.id != replica.id]
        granted = {w.id: w for w in base.witnesses if w.id == replica.id}

        def enough(replies: Replies) -> bool:
            good = [i for i, r in replies.items() if isinstance(r, Promise) and r.ok and r.id == i]
            return is_majority([*good, *granted], base) and len(good) >= self.limits.replicas - 1

        replies = await self._ask_all(others, ask, enough)
        highest = base
        for witness in others:
            reply = replies.get(witness.id)
            if not isinstance(reply, Promise) or reply.id != witness.id:
                continue
            replica.highest_seen = max(replica.highest_seen, reply.promised)
            if reply.ok:
                granted[witness.id] = witness
            if reply.accepted and reply.accepted[0].number > highest.number:
                highest = reply.accepted[0]
        if highest.number > base.number:
            replica.newer = highest  # the next try asks its witnesses, if this one is a member at all
            return None
        return granted if is_majority(granted, base) else None

    async def _ask_all(self, targets: list[ControllerInfo], ask: Any, enough: Callable[[Replies], bool]) -> Replies:
        """Replies by id; once `enough` says so, the others are waited for only a moment longer."""
        tasks = {asyncio.ensure_future(self.endpoint.call(t.address, ask, CALL_S)): t.id for t in targets}
        replies: Replies = {}
        pending = set(tasks)
        while pending:
            grace = GRACE_S if enough(replies) else None
            done, pending = await asyncio.wait(pending, timeout=grace, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            for task in done:
                replies[tasks[task]] = task.result()
        return replies

    def places(self, controllers: Iterable[ControllerInfo]) -> dict[str, Place]:
        """Where they stand, by id."""
        return {c.id: place_of(c.zone, self.settings.zones) for c in controllers}

    async def _form_configuration(
        self,
        base: EpochConfiguration,
        number: int,
        items: list[Item],
        promised: dict[str, ControllerInfo],
        change: MembershipChange,
    ) -> EpochConfiguration | None:
        """The new configuration, its backups holding the whole state already; None if there are too few."""
        own, added = self.replica.id, {a.id for a in change.add}
        kept = [w for w in base.witnesses if w.id not in change.drop and w.id not in added]
        witnesses = [*kept, *change.add]
        members = set(base.members)
        candidates = [w for w in witnesses if w.id != own and (w.id in promised or w.id in added)]
        candidates.sort(key=lambda w: (w.id in change.avoid, w.id not in members, w.zone == self.settings.zone, w.id))
        backups = await self._fill_backups(candidates, number, items)
        least = min(self.limits.nodes, len(witnesses) - 1)
        return EpochConfiguration(number, own, backups, witnesses) if len(backups) >= least else None

    async def _fill_backups(self, candidates: list[ControllerInfo], number: int, items: list[Item]) -> list[str]:
        """The ids of the fewest that have the whole state and, with this controller, survive every allowed loss."""
        own, backups = self.replica.id, list[str]()
        places = self.places([self.replica.info, *candidates])
        left = {c.id: c for c in candidates}
        while chosen := choose_replicas([own, *backups], list(left), places, self.limits):
            targets = [left.pop(ident) for ident in chosen]
            backups += await self._install_snapshots(targets, number, items)
        return backups

    def _report_unmet(self, configuration: EpochConfiguration) -> None:
        """Tell when the machines that are there can't bear each allowed loss, and when they can again."""
        places = self.places(configuration.witnesses)
        replicas = unmet_by_replicas([places[m] for m in configuration.members], self.limits)
        voters = unmet_by_voters(list(places.values()), self.limits)
        unmet = [f"replicas:{kind}" for kind in replicas] + [f"voters:{kind}" for kind in voters]
        if unmet != self._unmet:
            self._unmet = unmet
            level = "WARNING" if unmet else "INFO"
            log("survival", level=level, number=configuration.number, unmet=",".join(unmet) or "none")

    async def _install_snapshots(self, targets: list[ControllerInfo], number: int, items: list[Item]) -> list[str]:
        """The ids of those that have the whole state on their disks now."""
        state = ReplicatedStore()
        state.apply(items)
        return await install_all(self.snapshots, targets, number, state)

    async def _accept_configuration(
        self, base: EpochConfiguration, configuration: EpochConfiguration, required: set[str]
    ) -> bool:
        """Whether it is in force: a majority of the old and of the new witnesses, all backups and those required
        have it on disk."""
        own = self.replica.id
        targets = {w.id: w for w in [*base.witnesses, *configuration.witnesses] if w.id != own}
        needed = (set(configuration.backups) | required) - {own}

        def enough(replies: Replies) -> bool:
            good = {i for i, r in replies.items() if isinstance(r, Accepted) and r.ok and r.id == i} | {own}
            return needed <= good and is_majority(good, base) and is_majority(good, configuration)

        return enough(await self._ask_all(list(targets.values()), Accept([configuration]), enough))
