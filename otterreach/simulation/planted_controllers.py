"""Planted faults of the controllers' protocol, detected by exploration of the small model."""

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
        "a change is acknowledged once it is on the primary's disk, before any backup has it",
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
        "a change is acknowledged although a backup has not answered",
        (Change(f"{WRITES}._append_to_backups", "if not isinstance(reply, Done):", "if False:"),),
        "write-time-out",
        rule="acknowledged is gone",
    ),
    Planted(
        "own-disk-not-awaited",
        "a change is acknowledged before it is on the primary's disk",
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
        "a primary answers reads without confirming its epoch with the witnesses",
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
        "a witness answers a prepare before its promise is on disk",
        (Change(f"{ACCEPTOR}.handle_prepare", "if not await replica.sync():", "if False:"),),
        "write-elect",
        rule="answered before it was synced",
    ),
    Planted(
        "accept-not-synced",
        "a witness acknowledges a configuration before it is on its disk",
        (Change(f"{ACCEPTOR}.handle_accept", "if not await replica.sync():", "if False:"),),
        "write-elect",
        rule="answered before it was synced",
    ),
    Planted(
        "append-not-synced",
        "a backup acknowledges a change before it is on its disk",
        (Change(f"{ACCEPTOR}.handle_append_items", "if not await replica.sync():", "if False:"),),
        "write-elect",
        rule="answered before it was synced",
    ),
    Planted(
        "backup-takes-lower-epoch",
        "a backup that has promised a higher epoch still accepts changes of a lower one",
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
        "a witness whose disk was wiped answers a prepare with a promise",
        (Change(f"{ACCEPTOR}._rejects", "not replica.accepted or ", ""),),
        "wipe-reform",
        rule="empty disk votes",
    ),
    Planted(
        "promise-forgotten",
        "a restarted member does not load its promise from the disk",
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
        "a candidate takes a number that it promised to another candidate during its own probe",
        (Change(f"{ELECTION}._collect_promises", "if replica.promised >= number:", "if False:"),),
        "two-elections-reordered",
        rule="stands after a promise",
    ),
    Planted(
        "accept-of-lower-number",
        "a witness accepts a configuration with a lower number than its promise",
        (Change(f"{ACCEPTOR}.handle_accept", "if configuration.number < replica.promised:", "if False:"),),
        "two-elections",
        rule="acts under a lower epoch",
    ),
    Planted(
        "leads-without-copy",
        "a witness without a replica of the state may stand for election",
        (Change(f"{ELECTION}.is_eligible", "self.replica.id in configuration.members", "True"),),
        "write-elect",
        rule="acknowledged is gone",
    ),
    Planted(
        "state-not-installed",
        "a new primary counts backups that have not installed its state",
        (Change(f"{SNAPSHOT}.handle_commit", "replica.commit_staged(commit)", "replica.staged = None"),),
        "two-elections",
        rule="answered before it was synced",
    ),
    Planted(
        "install-not-synced",
        "a future backup acknowledges the snapshot before it is on its disk",
        (Change(f"{SNAPSHOT}.handle_commit", "Done() if await replica.sync() else", "Done() if True else"),),
        "write-elect",
        rule="answered before it was synced",
    ),
)

UNNOTICED = (
    Planted(
        "former-majority-not-asked",
        "a configuration comes into force without a majority of the previous witnesses",
        (Change(f"{ELECTION}._accept_configuration", "is_majority(accepted, base) and ", ""),),
        "wipe-reform",
    ),
    Planted(
        "snapshot-for-another-disk",
        "a machine with a new disk accepts a snapshot that was sent to the former disk",
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
        "a member accepts changes of an epoch in which it is not a backup",
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
        "a candidate sends prepares before its own promise is on disk",
        (Change(f"{ELECTION}._collect_promises", "not await replica.sync() or ", ""),),
        "write-crash",
    ),
    Planted(
        "configuration-not-synced",
        "a candidate proposes a configuration that is not yet on its own disk",
        (Change(f"{ELECTION}._run", "if not await replica.sync():", "if False:"),),
        "write-crash",
    ),
)
