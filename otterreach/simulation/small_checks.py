"""The invariants that hold after each event of the small model, and for each reply before it leaves."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from otterreach.controller.journal_records import JournalKind, StateReplay, decode_configuration
from otterreach.controller.local_replica import Mode
from otterreach.controller.messages import Accepted, AppendItems, Promise, SnapshotChunk, SnapshotCommit
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.journal_format import Record as Entry
from otterreach.runtime.rpc import Done
from otterreach.runtime.store import ReplicatedStore
from otterreach.simulation.small_parts import FIRST_ITEM, Member
from otterreach.simulation.world import InvariantViolationError


@dataclass
class Seen:
    """What the outside has been told."""

    acked: dict[str, int] = field(default_factory=lambda: {FIRST_ITEM.key: FIRST_ITEM.revision})
    primaries: dict[int, str] = field(default_factory=dict)
    promised: dict[str, int] = field(default_factory=dict)  # by id: the highest number in a promise that has left
    stood: dict[str, int] = field(default_factory=dict)  # by id: the highest number that it stood for
    number: dict[tuple[str, int], int] = field(default_factory=dict)  # by id and life: the highest of a record


class Checks:
    """What has been seen in one run, and what it broke first."""

    def __init__(self) -> None:
        self.seen = Seen()
        self.failure: InvariantViolationError | None = None

    def expect(self, holds: Any, rule: str, what: str) -> None:
        """Record the first invariant that does not hold."""
        if not holds and self.failure is None:
            self.failure = InvariantViolationError(rule, what)

    def incarnation_begins(self, member: Member) -> None:
        """A member that comes back goes on from what it has said."""
        control = member.control
        said = self.seen.promised.get(control.id, 0)
        self.expect(control.promised >= said, "promise forgotten", f"{control.id}: {control.promised} after {said}")

    def reply(self, member: Member, ask: Any, reply: Any) -> None:
        """A reply is about to leave: what it says has to be on disk, and to fit with what was said before."""
        ident = member.control.id
        said = self.seen.promised
        if isinstance(reply, Promise) and reply.ok and not ask.probe:
            self.expect(member.control.accepted, "empty disk votes", f"{ident} promises {ask.number}")
            self.expect(ask.number > said.get(ident, 0), "promised twice", f"{ident}: {ask.number}")
            self.expect(synced_promise(member.disk) >= ask.number, "answered before it was synced", f"{ident} {ask}")
            said[ident] = max(said.get(ident, 0), ask.number)
        elif isinstance(reply, Accepted) and reply.ok:
            number = ask.configuration[0].number
            self.expect(synced_promise(member.disk) >= number, "answered before it was synced", f"{ident} {number}")
            self._not_lower(ident, number)
        elif isinstance(ask, AppendItems | SnapshotChunk | SnapshotCommit) and isinstance(reply, Done):
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
            incarnation = (control.id, member.incarnation)
            last = self.seen.number.get(incarnation, 0)
            self.expect(control.number >= last, "epoch falls", f"{control.id}: {control.number} after {last}")
            self.seen.number[incarnation] = control.number
            if control.mode is Mode.CANDIDATE:
                self._stands(control)
            if control.is_primary:
                known = self.seen.primaries.setdefault(control.number, control.id)
                self.expect(known == control.id, "two primaries", f"{known} and {control.id} in {control.number}")
                if highest is None or control.number > highest.number:
                    highest = control
        if highest is not None and highest.number == max(self.seen.primaries):
            self._acked(highest, members)

    def _stands(self, control: ControlReplication) -> None:
        """A candidate counts its own vote: it must not have promised the number to another."""
        ident = control.id
        said = self.seen.promised.get(control.id, 0)
        stood = self.seen.stood.get(ident, 0)
        self.expect(stood == control.promised or control.promised > said, "stands after a promise", f"{ident}: {said}")
        self.seen.stood[ident] = control.promised

    def _acked(self, primary: ControlReplication, members: list[Member]) -> None:
        """All that was acknowledged is at the primary and at each of its backups that kept its disk."""
        record = primary.accepted
        assert record is not None
        for control in [m.control for m in members if m.control.id in record.members]:
            for key, revision in self.seen.acked.items():
                item = control.state.items.get(key)
                have = item.revision if item else 0
                self.expect(
                    have >= revision, "acknowledged is gone", f"{key} {revision:x} at {control.id} in {record.number}"
                )


def synced_promise(disk: list[Entry]) -> int:
    """The highest number that the disk holds its member to."""
    replay = StateReplay()
    highest = 0
    for kind, payload in disk:
        if kind == JournalKind.PROMISE:
            number = int(payload)
        elif kind == JournalKind.CONFIGURATION:
            number = decode_configuration(payload).number
        else:
            number = replay.apply(kind, payload)
        highest = max(highest, number)
    return highest


def synced(disk: list[Entry], request: AppendItems | SnapshotChunk | SnapshotCommit) -> bool:
    """Whether the disk has what a message brought."""
    replay = StateReplay()
    for kind, payload in disk:
        replay.apply(kind, payload)
    if isinstance(request, SnapshotCommit):
        return replay.store.digests == request.digests
    holding = replay.store if isinstance(request, AppendItems) else replay.staged or ReplicatedStore()
    items = holding.items
    return all(item.key in items and items[item.key].revision >= item.revision for item in request.items)
