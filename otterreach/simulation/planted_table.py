"""The planted faults: what is taken out of which function, and what finds it (docs/planted-faults.md)."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted

CONTROL = "otterreach.controller.replication:Control"

CONTROLLERS = (
    Planted(
        "backup-not-awaited",
        "a change is acknowledged once it is on the primary's own disk",
        (Change(f"{CONTROL}._copy", "[w for w in record.witnesses if w.id in record.backups]", "[]"),),
        "write-elect",
    ),
    Planted(
        "silent-backup-ignored",
        "a change is acknowledged though a backup did not answer",
        (Change(f"{CONTROL}._copy", "if not isinstance(reply, Done):", "if False:"),),
        "write-time-out",
    ),
    Planted(
        "own-disk-not-awaited",
        "a change is acknowledged before the primary's own disk has it",
        (
            Change(
                f"{CONTROL}._copy",
                "asyncio.gather(self._sync(), *calls)",
                "asyncio.gather(asyncio.sleep(0, True), *calls)",
            ),
        ),
        "write-crash",
    ),
    Planted(
        "confirm-always-yes",
        "a primary answers reads without asking its backups whether the epoch holds",
        (Change(f"{CONTROL}.confirm", "[w for w in record.witnesses if w.id in record.backups]", "[]"),),
        "read-cut",
    ),
    Planted(
        "promise-not-synced",
        "a witness answers a promise before its disk has it",
        (Change(f"{CONTROL}._prepare", "if not await self._sync():", "if False:"),),
        "write-elect",
    ),
    Planted(
        "accept-not-synced",
        "a witness answers that it has a record before its disk has it",
        (Change(f"{CONTROL}._accept", "if not await self._sync():", "if False:"),),
        "write-elect",
    ),
    Planted(
        "append-not-synced",
        "a backup answers before its disk has the change",
        (Change(f"{CONTROL}._append", "if not await self._sync():", "if False:"),),
        "write-elect",
    ),
    Planted(
        "backup-takes-lower-epoch",
        "a backup that has promised a higher epoch still takes changes of the lower one",
        (
            Change(f"{CONTROL}._append", "if ask.number < self.promised:", "if False:"),
            Change(f"{CONTROL}._append", "Done() if self.promised == ask.number else", "Done() if True else"),
        ),
        "write-elect",
    ),
    Planted(
        "empty-disk-votes",
        "a witness whose disk was emptied promises",
        (Change(f"{CONTROL}._prepare", "not self.accepted or ", ""),),
        "wipe-reform",
    ),
    Planted(
        "promise-forgotten",
        "a restarted member does not read its promise from the disk",
        (Change(f"{CONTROL}.load", "self.promised = max(self.promised, int(payload))", "pass"),),
        "write-crash",
    ),
    Planted(
        "promise-to-equal-number",
        "a witness promises the same number twice",
        (Change(f"{CONTROL}._prepare", "ask.number <= self.promised", "ask.number < self.promised"),),
        "two-elections",
    ),
    Planted(
        "accept-of-lower-number",
        "a witness takes a record lower than its promise",
        (Change(f"{CONTROL}._accept", "if record.number < self.promised:", "if False:"),),
        "two-elections",
    ),
    Planted(
        "leads-without-copy",
        "a witness that holds no copy may stand for election",
        (Change(f"{CONTROL}._may_stand", "self.id in record.members", "True"),),
        "write-elect",
    ),
    Planted(
        "state-not-installed",
        "a new primary counts backups without giving them its state",
        (Change(f"{CONTROL}._install", "self.state.apply(ask.items)", "pass"),),
        "two-elections",
    ),
    Planted(
        "install-not-synced",
        "a backup to be answers before its disk has the state",
        (Change(f"{CONTROL}._install", "Done() if await self._sync() else", "Done() if True else"),),
        "write-elect",
    ),
)

TABLE: tuple[Planted, ...] = CONTROLLERS
