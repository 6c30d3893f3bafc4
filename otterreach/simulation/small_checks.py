"""The invariants that hold after each event of the small model, and for each reply before it leaves."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from otterreach.controller.messages import Accepted, AppendItems, Promise, SnapshotCommit, SnapshotPiece
from otterreach.controller.replica_state import COMMIT, CONFIGURATION, ITEMS, PIECE, PROMISE, SNAPSHOT, STAGING, Mode
from otterreach.controller.replication import Control
from otterreach.runtime.codec import decode
from otterreach.runtime.journal import Record as Entry
from otterreach.runtime.rpc import Done
from otterreach.runtime.store import ReplicatedStore
from otterreach.simulation.small_parts import FIRST_ITEM, Member
from otterreach.simulation.world import Broken


@dataclass
class Seen:
    """What the outside has been told."""

    acked: dict[str, int] = field(default_factory=lambda: {FIRST_ITEM.key: FIRST_ITEM.rev})
    primaries: dict[int, str] = field(default_factory=dict)
    promised: dict[str, int] = field(default_factory=dict)  # by id: the highest number in a promise that has left
    stood: dict[str, int] = field(default_factory=dict)  # by id: the highest number that it stood for
    number: dict[tuple[str, int], int] = field(default_factory=dict)  # by id and life: the highest of a record


class Checks:
    """What has been seen in one run, and what it broke first."""

    def __init__(self) -> None:
        self.seen = Seen()
        self.failure: Broken | None = None

    def expect(self, holds: Any, rule: str, what: str) -> None:
        if not holds and self.failure is None:
            self.failure = Broken(rule, what)

    def life_begins(self, member: Member) -> None:
        """A member that comes back goes on from what it has said."""
        control = member.control
        said = self.seen.promised.get(control.id, 0)
        self.expect(control.promised >= said, "promise forgotten", f"{control.id}: {control.promised} after {said}")

    def reply(self, member: Member, ask: Any, reply: Any) -> None:
        """A reply is about to leave: what it says has to be on disk, and to fit with what was said before."""
        ident, said = member.control.id, self.seen.promised
        if isinstance(reply, Promise) and reply.ok and not ask.probe:
            self.expect(member.control.accepted, "empty disk votes", f"{ident} promises {ask.number}")
            self.expect(ask.number > said.get(ident, 0), "promised twice", f"{ident}: {ask.number}")
            self.expect(synced_promise(member.disk) >= ask.number, "answered before it was synced", f"{ident} {ask}")
            said[ident] = max(said.get(ident, 0), ask.number)
        elif isinstance(reply, Accepted) and reply.ok:
            number = ask.configuration[0].number
            self.expect(synced_promise(member.disk) >= number, "answered before it was synced", f"{ident} {number}")
            self._not_lower(ident, number)
        elif isinstance(ask, AppendItems | SnapshotPiece | SnapshotCommit) and isinstance(reply, Done):
            self.expect(synced(member.disk, ask), "answered before it was synced", f"{ident} {type(ask).__name__}")
            self._not_lower(ident, ask.number)

    def _not_lower(self, ident: str, number: int) -> None:
        said = self.seen.promised.get(ident, 0)
        self.expect(number >= said, "acts under a lower epoch", f"{ident} in {number}, promised {said}")

    def states(self, members: list[Member]) -> None:
        """After each event."""
        highest = None
        for member in members:
            control = member.control
            life = (control.id, member.life)
            last = self.seen.number.get(life, 0)
            self.expect(control.number >= last, "epoch falls", f"{control.id}: {control.number} after {last}")
            self.seen.number[life] = control.number
            if control.mode is Mode.CANDIDATE:
                self._stands(control)
            if control.is_primary:
                known = self.seen.primaries.setdefault(control.number, control.id)
                self.expect(known == control.id, "two primaries", f"{known} and {control.id} in {control.number}")
                if highest is None or control.number > highest.number:
                    highest = control
        if highest is not None and highest.number == max(self.seen.primaries):
            self._acked(highest, members)

    def _stands(self, control: Control) -> None:
        """A candidate counts its own vote: it must not have promised the number to another."""
        ident, said = control.id, self.seen.promised.get(control.id, 0)
        stood = self.seen.stood.get(ident, 0)
        self.expect(stood == control.promised or control.promised > said, "stands after a promise", f"{ident}: {said}")
        self.seen.stood[ident] = control.promised

    def _acked(self, primary: Control, members: list[Member]) -> None:
        """All that was acknowledged is at the primary and at each of its backups that kept its disk."""
        record = primary.accepted
        assert record is not None
        for control in [m.control for m in members if m.control.id in record.members]:
            for key, rev in self.seen.acked.items():
                item = control.state.items.get(key)
                have = item.rev if item else 0
                self.expect(have >= rev, "acknowledged is gone", f"{key} {rev:x} at {control.id} in {record.number}")


def synced_promise(disk: list[Entry]) -> int:
    """The highest number that the disk holds its member to."""
    highest = 0
    for kind, payload in disk:
        if kind == PROMISE:
            highest = max(highest, int(payload))
        elif kind == CONFIGURATION:
            highest = max(highest, decode(22, payload).configuration[0].number)
        elif kind == SNAPSHOT:
            highest = max(highest, decode(24, payload).number)
        elif kind == COMMIT:
            highest = max(highest, decode(39, payload).number)
    return highest


def synced(disk: list[Entry], ask: AppendItems | SnapshotPiece | SnapshotCommit) -> bool:
    """Whether the disk has what a message brought."""
    store, staged = on_disk(disk)
    if isinstance(ask, SnapshotCommit):
        return store.digests == ask.digests
    held = store if isinstance(ask, AppendItems) else staged
    return all(i.key in held.items and held.items[i.key].rev >= i.rev for i in ask.items)


def on_disk(disk: list[Entry]) -> tuple[ReplicatedStore, ReplicatedStore]:
    """The state, and the copy that is being built beside it."""
    store, staged = ReplicatedStore(), ReplicatedStore()
    for kind, payload in disk:
        if kind == SNAPSHOT:
            store = ReplicatedStore()
        if kind in (SNAPSHOT, ITEMS):
            store.apply(decode(24 if kind == SNAPSHOT else 25, payload).items)
        elif kind == STAGING:
            staged = store.copy()
        elif kind == PIECE:
            piece = decode(38, payload)
            staged.overwrite_ranges(piece.ranges, piece.items)
        elif kind == COMMIT:
            store, staged = staged, ReplicatedStore()
    return store, staged
