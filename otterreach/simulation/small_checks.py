"""Invariants of the small model, checked after each event and for each reply before it is sent."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from otterreach.controller.journal_records import JournalKind, StateReplay, decode_configuration
from otterreach.controller.local_replica import Mode
from otterreach.controller.messages import Accepted, AppendItems, Promise, SnapshotChunk, SnapshotCommit
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.journal_format import Record as Entry
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.store import ReplicatedStore
from otterreach.simulation.small_parts import FIRST_ITEM, Member
from otterreach.simulation.world import InvariantViolationError


@dataclass
class Observed:
    """What members found announced to others in one run."""

    acked: dict[str, int] = field(default_factory=lambda: {FIRST_ITEM.key: FIRST_ITEM.revision})
    primaries: dict[int, str] = field(default_factory=dict)
    promised: dict[str, int] = field(default_factory=dict)  # id -> highest number in a promise that was sent
    candidacies: dict[str, int] = field(default_factory=dict)  # id -> highest number for which it was a candidate
    number: dict[tuple[str, int], int] = field(default_factory=dict)  # (id, incarnation) -> highest epoch number


class Checks:
    """The observations of one run, and its first violation."""

    def __init__(self) -> None:
        self.seen = Observed()
        self.failure: InvariantViolationError | None = None

    def expect(self, holds: Any, rule: str, what: str) -> None:
        """Record the violation of an invariant, if it is the first one."""
        if not holds and self.failure is None:
            self.failure = InvariantViolationError(rule, what)

    def incarnation_begins(self, member: Member) -> None:
        """Check that a restarted member has not forgotten its promises."""
        control = member.control
        promised = self.seen.promised.get(control.id, 0)
        self.expect(
            control.promised >= promised, "promise forgotten", f"{control.id}: {control.promised} after {promised}"
        )

    def reply(self, member: Member, ask: Any, reply: Any) -> None:
        """Check a reply before it is sent: its content has to be durable and consistent with earlier promises."""
        ident = member.control.id
        promised = self.seen.promised
        if isinstance(reply, Promise) and reply.ok and not ask.probe:
            self.expect(member.control.accepted, "empty disk votes", f"{ident} promises {ask.number}")
            self.expect(ask.number > promised.get(ident, 0), "promised twice", f"{ident}: {ask.number}")
            self.expect(synced_promise(member.disk) >= ask.number, "answered before it was synced", f"{ident} {ask}")
            promised[ident] = max(promised.get(ident, 0), ask.number)
        elif isinstance(reply, Accepted) and reply.ok:
            number = ask.configuration[0].number
            self.expect(synced_promise(member.disk) >= number, "answered before it was synced", f"{ident} {number}")
            self._check_not_below_promise(ident, number)
        elif isinstance(ask, AppendItems | SnapshotChunk | SnapshotCommit) and isinstance(reply, Done):
            self.expect(synced(member.disk, ask), "answered before it was synced", f"{ident} {type(ask).__name__}")
            self._check_not_below_promise(ident, ask.number)

    def _check_not_below_promise(self, ident: str, number: int) -> None:
        promised = self.seen.promised.get(ident, 0)
        self.expect(number >= promised, "acts under a lower epoch", f"{ident} in {number}, promised {promised}")

    def states(self, members: list[Member]) -> None:
        """Check the states of all members, after each event."""
        highest = None
        for member in members:
            control = member.control
            incarnation = (control.id, member.incarnation)
            last = self.seen.number.get(incarnation, 0)
            self.expect(control.number >= last, "epoch falls", f"{control.id}: {control.number} after {last}")
            self.seen.number[incarnation] = control.number
            if control.mode is Mode.CANDIDATE:
                self._check_candidate(control)
            if control.is_primary:
                known = self.seen.primaries.setdefault(control.number, control.id)
                self.expect(known == control.id, "two primaries", f"{known} and {control.id} in {control.number}")
                if highest is None or control.number > highest.number:
                    highest = control
        if highest is not None and highest.number == max(self.seen.primaries):
            self._check_acknowledged(highest, members)

    def _check_candidate(self, control: ControlReplication) -> None:
        """Check that a candidate, which counts its own vote, has not promised the number to another one."""
        ident = control.id
        promised = self.seen.promised.get(control.id, 0)
        last = self.seen.candidacies.get(ident, 0)
        self.expect(
            last == control.promised or control.promised > promised, "stands after a promise", f"{ident}: {promised}"
        )
        self.seen.candidacies[ident] = control.promised

    def _check_acknowledged(self, primary: ControlReplication, members: list[Member]) -> None:
        """Check that the primary, and each backup in its epoch that kept its disk, has everything acknowledged."""
        record = primary.accepted
        assert record is not None
        for control in [m.control for m in members if m.control.id in record.members]:
            for key, revision in self.seen.acked.items():
                item = control.state.items.get(key)
                found = item.revision if item else 0
                self.expect(
                    found >= revision, "acknowledged is gone", f"{key} {revision:x} at {control.id} in {record.number}"
                )


def synced_promise(disk: list[Entry]) -> int:
    """Return the highest proposal number promised or accepted on the disk."""
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
    """Return True if the content of a message is on the disk."""
    replay = StateReplay()
    for kind, payload in disk:
        replay.apply(kind, payload)
    if isinstance(request, SnapshotCommit):
        return replay.store.digests == request.digests
    holding = replay.store if isinstance(request, AppendItems) else replay.staged or ReplicatedStore()
    items = holding.items
    return all(item.key in items and items[item.key].revision >= item.revision for item in request.items)
