"""The planted faults: what is taken out of which function, and what finds it (docs/planted-faults.md)."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_jobs import JOBS
from otterreach.simulation.planted_operations import OPERATIONS

ACCEPTOR = "otterreach.controller.acceptor:Acceptor"
SNAPSHOT = "otterreach.controller.snapshot:SnapshotReceiver"
PRIMARY = "otterreach.controller.primary:Primary"
ELECTION = "otterreach.controller.election:Election"
REPLICA = "otterreach.controller.replica_state:ReplicaState"

CONTROLLERS = (
    Planted(
        "backup-not-awaited",
        "a change is acknowledged once it is on the primary's own disk",
        (
            Change(
                f"{PRIMARY}._append_to_backups",
                "[w for w in configuration.witnesses if w.id in configuration.backups]",
                "[]",
            ),
        ),
        "write-elect",
    ),
    Planted(
        "silent-backup-ignored",
        "a change is acknowledged though a backup did not answer",
        (Change(f"{PRIMARY}._append_to_backups", "if not isinstance(reply, Done):", "if False:"),),
        "write-time-out",
    ),
    Planted(
        "own-disk-not-awaited",
        "a change is acknowledged before the primary's own disk has it",
        (
            Change(
                f"{PRIMARY}._append_to_backups",
                "asyncio.gather(replica.sync(), *calls)",
                "asyncio.gather(asyncio.sleep(0, True), *calls)",
            ),
        ),
        "write-crash",
    ),
    Planted(
        "confirm-always-yes",
        "a primary answers reads without asking anybody whether the epoch holds",
        (
            Change(
                f"{PRIMARY}.confirm",
                "await self._ask_whether_epoch_holds(configuration, deadline) and ",
                "",
            ),
        ),
        "read-cut",
        seed=27,
    ),
    Planted(
        "promise-not-synced",
        "a witness answers a promise before its disk has it",
        (Change(f"{ACCEPTOR}.prepare", "if not await replica.sync():", "if False:"),),
        "write-elect",
    ),
    Planted(
        "accept-not-synced",
        "a witness answers that it has a record before its disk has it",
        (Change(f"{ACCEPTOR}.accept", "if not await replica.sync():", "if False:"),),
        "write-elect",
    ),
    Planted(
        "append-not-synced",
        "a backup answers before its disk has the change",
        (Change(f"{ACCEPTOR}.append_items", "if not await replica.sync():", "if False:"),),
        "write-elect",
    ),
    Planted(
        "backup-takes-lower-epoch",
        "a backup that has promised a higher epoch still takes changes of the lower one",
        (
            Change(f"{ACCEPTOR}.append_items", "if ask.number < replica.promised:", "if False:"),
            Change(f"{ACCEPTOR}.append_items", "Done() if replica.promised == ask.number else", "Done() if True else"),
        ),
        "write-elect",
    ),
    Planted(
        "empty-disk-votes",
        "a witness whose disk was emptied promises",
        (Change(f"{ACCEPTOR}._refuses", "not replica.accepted or ", ""),),
        "wipe-reform",
    ),
    Planted(
        "promise-forgotten",
        "a restarted member does not read its promise from the disk",
        (Change(f"{REPLICA}._load_record", "self.promised = max(self.promised, int(payload))", "pass"),),
        "write-crash",
    ),
    Planted(
        "promise-to-equal-number",
        "a witness promises the same number twice",
        (Change(f"{ACCEPTOR}._refuses", "ask.number <= replica.promised", "ask.number < replica.promised"),),
        "two-elections",
    ),
    Planted(
        "accept-of-lower-number",
        "a witness takes a record lower than its promise",
        (Change(f"{ACCEPTOR}.accept", "if configuration.number < replica.promised:", "if False:"),),
        "two-elections",
    ),
    Planted(
        "leads-without-copy",
        "a witness that holds no copy may stand for election",
        (Change(f"{ELECTION}.may_stand", "self.replica.id in configuration.members", "True"),),
        "write-elect",
    ),
    Planted(
        "state-not-installed",
        "a new primary counts backups without giving them its state",
        (Change(f"{SNAPSHOT}.commit", "replica.commit_staged(ask)", "replica.staged = None"),),
        "two-elections",
    ),
    Planted(
        "install-not-synced",
        "a backup to be answers before its disk has the state",
        (Change(f"{SNAPSHOT}.commit", "Done() if await replica.sync() else", "Done() if True else"),),
        "write-elect",
    ),
)

TABLE: tuple[Planted, ...] = (*CONTROLLERS, *OPERATIONS, *JOBS)
