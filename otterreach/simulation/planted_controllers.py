"""Planted faults of the controllers' protocol, looked for by the search of the small model."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted

ACCEPTOR = "otterreach.controller.acceptor:Acceptor"
SNAPSHOT = "otterreach.controller.snapshot:SnapshotReceiver"
HEARTBEATS = "otterreach.controller.epoch_heartbeats:EpochHeartbeats"
WRITES = "otterreach.controller.writes:WritePipeline"
ELECTION = "otterreach.controller.election:Election"
REPLICA = "otterreach.controller.local_replica:LocalReplica"

CONTROLLERS = (
    Planted(
        "backup-not-awaited",
        "a change is acknowledged once it is on the primary's own disk",
        (
            Change(
                f"{WRITES}._append_to_backups",
                "[witness for witness in configuration.witnesses if witness.id in configuration.backups]",
                "[]",
            ),
        ),
        "write-elect",
        rule="acknowledged is gone",
    ),
    Planted(
        "silent-backup-ignored",
        "a change is acknowledged though a backup did not answer",
        (Change(f"{WRITES}._append_to_backups", "if not isinstance(reply, Done):", "if False:"),),
        "write-time-out",
        rule="acknowledged is gone",
    ),
    Planted(
        "own-disk-not-awaited",
        "a change is acknowledged before the primary's own disk has it",
        (
            Change(
                f"{WRITES}._append_to_backups",
                "asyncio.gather(replica.sync(), *calls)",
                "asyncio.gather(asyncio.sleep(0, True), *calls)",
            ),
        ),
        "write-crash",
        rule="acknowledged is gone",
    ),
    Planted(
        "confirm-always-yes",
        "a primary answers reads without asking anybody whether the epoch holds",
        (
            Change(
                f"{HEARTBEATS}._confirm_with_witnesses",
                "await self._collect_confirmations(configuration, deadline) and ",
                "",
            ),
        ),
        "read-cut",
        rule="stale read",
        seed=31,
    ),
    Planted(
        "promise-not-synced",
        "a witness answers a promise before its disk has it",
        (Change(f"{ACCEPTOR}.handle_prepare", "if not await replica.sync():", "if False:"),),
        "write-elect",
        rule="answered before it was synced",
    ),
    Planted(
        "accept-not-synced",
        "a witness answers that it has a record before its disk has it",
        (Change(f"{ACCEPTOR}.handle_accept", "if not await replica.sync():", "if False:"),),
        "write-elect",
        rule="answered before it was synced",
    ),
    Planted(
        "append-not-synced",
        "a backup answers before its disk has the change",
        (Change(f"{ACCEPTOR}.handle_append_items", "if not await replica.sync():", "if False:"),),
        "write-elect",
        rule="answered before it was synced",
    ),
    Planted(
        "backup-takes-lower-epoch",
        "a backup that has promised a higher epoch still takes changes of the lower one",
        (
            Change(f"{ACCEPTOR}.handle_append_items", "if request.number < replica.promised:", "if False:"),
            Change(
                f"{ACCEPTOR}.handle_append_items",
                "Done() if replica.promised == request.number else",
                "Done() if True else",
            ),
        ),
        "write-elect",
        rule="acknowledged is gone",
    ),
    Planted(
        "empty-disk-votes",
        "a witness whose disk was emptied promises",
        (Change(f"{ACCEPTOR}._rejects", "not replica.accepted or ", ""),),
        "wipe-reform",
        rule="empty disk votes",
    ),
    Planted(
        "promise-forgotten",
        "a restarted member does not read its promise from the disk",
        (Change(f"{REPLICA}._load_record", "self.promised = max(self.promised, int(payload))", "pass"),),
        "write-crash",
        rule="promise forgotten",
    ),
    Planted(
        "promise-to-equal-number",
        "a witness promises the same number twice",
        (Change(f"{ACCEPTOR}._rejects", "request.number <= replica.promised", "request.number < replica.promised"),),
        "two-elections",
        rule="promised twice",
    ),
    Planted(
        "stands-after-a-promise",
        "a candidate takes a number for itself that it promised to another while it asked whether it would be elected",
        (Change(f"{ELECTION}._collect_promises", "if replica.promised >= number:", "if False:"),),
        "two-elections-reordered",
        rule="stands after a promise",
    ),
    Planted(
        "accept-of-lower-number",
        "a witness takes a record lower than its promise",
        (Change(f"{ACCEPTOR}.handle_accept", "if configuration.number < replica.promised:", "if False:"),),
        "two-elections",
        rule="acts under a lower epoch",
    ),
    Planted(
        "leads-without-copy",
        "a witness that holds no copy may stand for election",
        (Change(f"{ELECTION}.may_stand", "self.replica.id in configuration.members", "True"),),
        "write-elect",
        rule="acknowledged is gone",
    ),
    Planted(
        "state-not-installed",
        "a new primary counts backups without giving them its state",
        (Change(f"{SNAPSHOT}.handle_commit", "replica.commit_staged(commit)", "replica.staged = None"),),
        "two-elections",
        rule="answered before it was synced",
    ),
    Planted(
        "install-not-synced",
        "a backup to be answers before its disk has the state",
        (Change(f"{SNAPSHOT}.handle_commit", "Done() if await replica.sync() else", "Done() if True else"),),
        "write-elect",
        rule="answered before it was synced",
    ),
)

UNNOTICED = (
    Planted(
        "former-majority-not-asked",
        "a configuration comes into force without a majority of the former witnesses",
        (Change(f"{ELECTION}._accept_configuration", "is_majority(accepted, base) and ", ""),),
        "wipe-reform",
    ),
    Planted(
        "snapshot-for-another-disk",
        "a machine with another disk takes the state that was meant for the former one",
        (Change(f"{SNAPSHOT}._rejection", "request.target != replica.id or ", ""),),
        "wipe-reform",
    ),
    Planted(
        "new-backup-not-in-its-epoch",
        "a configuration comes into force before its backups have accepted it",
        (Change(f"{ELECTION}._accept_configuration", "needed <= accepted and ", ""),),
        "write-elect",
    ),
    Planted(
        "backup-of-another-epoch-appends",
        "a member takes changes of an epoch of which it is no backup",
        (
            Change(
                f"{ACCEPTOR}.handle_append_items",
                " or configuration.number != request.number or replica.id not in configuration.backups",
                "",
            ),
        ),
        "two-elections",
    ),
    Planted(
        "own-promise-not-synced",
        "a candidate asks others before its own promise is on disk",
        (Change(f"{ELECTION}._collect_promises", "not await replica.sync() or ", ""),),
        "write-crash",
    ),
    Planted(
        "configuration-not-synced",
        "a candidate proposes a configuration that is not on its own disk",
        (Change(f"{ELECTION}._run", "if not await replica.sync():", "if False:"),),
        "write-crash",
    ),
)
