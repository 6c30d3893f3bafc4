"""Planted faults of batch jobs: partitions, their replicas, results and the proxies that run items."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_plans import (
    ALL_STORES_LOSE_POWER,
    POWER_LOSS_THEN_WIPE,
    PROXIES_PARTITIONED,
    STORES_LOSE_POWER,
    STORES_PARTITIONED_ONE_WAY,
    STORES_WIPED,
)

JOB_REQUESTS = "otterreach.jobstore.job_requests:JobRequests"
ITEM_REQUESTS = "otterreach.jobstore.item_requests:ItemRequests"
LEADER = "otterreach.jobstore.leadership:PartitionLeader"
BACKUP = "otterreach.jobstore.backup:BackupHandlers"
REPLICA = "otterreach.jobstore.partition_replica:PartitionReplica"
PLANNER = "otterreach.controller.planner"
DIRECTORY = "otterreach.proxy.directory:JobStoreDirectory"

JOBS = (
    Planted(
        "jobs-backups-not-awaited",
        "a batch job is acknowledged once its primary has it",
        (
            Change(
                f"{LEADER}.required",
                "[*self.record.backups, *(self.replica.in_sync - set(self.record.backups))]",
                "[]",
            ),
        ),
        "jobs",
        plan=STORES_LOSE_POWER,
        rule="acknowledged with too few copies",
        seed=1,
    ),
    Planted(
        "result-visible-early",
        "a primary shows readers a result that is not yet on all replicas",
        (Change(f"{REPLICA}._advance", "if not self.is_primary:", "if True:"),),
        "jobs",
        plan=STORES_PARTITIONED_ONE_WAY,
        rule="position is gone",
        seed=35,
    ),
    Planted(
        "jobs-append-not-synced",
        "a backup reports its replica's position before the entries up to it are on disk",
        (Change(f"{BACKUP}._position_on_disk", "if not await self.context.disk.sync():", "if False:"),),
        "jobs",
        plan=ALL_STORES_LOSE_POWER,
        rule="acknowledged with too few copies",
        seed=1,
    ),
    Planted(
        "part-of-a-snapshot-counts",
        "the first chunk of a snapshot is installed as the complete one",
        (
            Change(f"{BACKUP}.handle_install", "if request.last:", "if True:"),
            Change("otterreach.jobstore.installation:chunks_of", "> CHUNK_BYTES", "> 1"),
        ),
        "jobs",
        plan=STORES_WIPED,
        rule="other bytes",
        seed=1,
    ),
    Planted(
        "item-sent-without-a-look",
        "a proxy sends items without a recent confirmation that their batch job is still open",
        (Change(f"{DIRECTORY}.is_confirmed_recently", "self.loop.time() - owner.as_of < self.lease_s", "True"),),
        "jobs",
        plan=PROXIES_PARTITIONED,
        rule="runs what was ended",
        seed=2,
    ),
    Planted(
        "dead-backup-dropped-at-once",
        "a dead member leaves the record before another replica has all its entries",
        (Change(f"{PLANNER}:_repair", "if member != primary]", "if member != primary and member in stores.domains]"),),
        "jobs",
        plan=POWER_LOSS_THEN_WIPE,
        rule="in time",
        seed=1,
    ),
    Planted(
        "copy-emptied-at-a-new-epoch",
        "a member starts each epoch with an empty replica",
        (
            Change(
                "otterreach.jobstore.replication:Replication._enter_epoch",
                "if self.member in record.members and replica.uninitialised:",
                "if self.member in record.members:",
            ),
        ),
        "jobs",
        plan=STORES_LOSE_POWER,
        rule="taken is gone",
        seed=1,
    ),
    Planted(
        "end-not-told-to-proxies",
        "proxies that missed the message about a DELETE are not notified in answer to their next ping",
        (Change(f"{ITEM_REQUESTS}.handle_ping", "[job for job in ping.jobs if self._has_ended(job)]", "[]"),),
        "jobs",
        plan=PROXIES_PARTITIONED,
        rule="runs what was ended",
        seed=2,
    ),
)

UNNOTICED = (
    Planted(
        "learner-in-sync-not-awaited",
        "writes do not wait for an in-sync learner, which the controller may make a member at any time",
        (
            Change(
                f"{LEADER}.required",
                "[*self.record.backups, *(self.replica.in_sync - set(self.record.backups))]",
                "list(self.record.backups)",
            ),
        ),
        "jobs",
    ),
    Planted(
        "jobs-backup-takes-lower-epoch",
        "a replica accepts entries of a lower epoch than its own",
        (
            Change(f"{BACKUP}._admit", "if epoch < replica.epoch:", "if False:"),
            Change(f"{BACKUP}._position_on_disk", "if replica.epoch != epoch:", "if False:"),
        ),
        "jobs",
    ),
    Planted(
        "jobs-read-without-contact",
        "a primary answers reads without recent contact with its backups",
        (
            Change(
                f"{LEADER}.is_confirmed",
                "self.is_serving and self.age_s() < self.context.max_confirmation_age_s",
                "self.is_serving",
            ),
        ),
        "jobs",
    ),
    Planted(
        "end-at-the-primary-only",
        "a DELETE is acknowledged before it is on all replicas",
        (
            Change(
                f"{JOB_REQUESTS}.handle_end",
                "return await self.done_when_committed(leader.replica, leader.append(end_entry(job.id)))",
                "leader.append(end_entry(job.id))\n    return Done()",
            ),
        ),
        "jobs",
    ),
    Planted(
        "refusal-of-what-may-be-taken",
        "a submission with an unknown outcome is reported as refused",
        (Change(f"{DIRECTORY}.call", "unclear = reply if reply.maybe_done else unclear", "unclear = None"),),
        "jobs",
    ),
    Planted(
        "position-given-twice",
        "an item that is already listed is listed again",
        (
            Change("otterreach.jobstore.job_table:JobTable._list_result", " or item.state is ItemState.LISTED", ""),
            Change(f"{ITEM_REQUESTS}._closed_failure", "listed = item.state is ItemState.LISTED", "listed = False"),
        ),
        "jobs",
    ),
    Planted(
        "learner-becomes-primary",
        "a member without a complete replica may become the partition's next primary",
        (
            Change(
                f"{PLANNER}:_repair",
                "alive = [member for member in record.members",
                "alive = [member for member in (*record.learners, *record.members)",
            ),
        ),
        "jobs",
    ),
    Planted(
        "torn-record-taken",
        "a journal record with a wrong checksum is loaded",
        (Change("otterreach.runtime.journal_format:_read_record", "!= crc:", "is None:"),),
        "jobs",
    ),
    Planted(
        "epoch-of-a-partition-forgotten",
        "a replica's epoch is not written to its journal",
        (Change(f"{REPLICA}.promise", "self._record_epoch()", "pass"),),
        "jobs",
    ),
    Planted(
        "other-history-extended",
        "a backup appends to a replica that has the length of the primary's but holds other entries",
        (
            Change(
                f"{BACKUP}.handle_append",
                "LogPosition(request.index, request.chain) == replica.position",
                "request.index == replica.index",
            ),
        ),
        "jobs",
    ),
)
