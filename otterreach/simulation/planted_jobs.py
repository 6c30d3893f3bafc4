"""Planted faults of batch jobs: partitions, their copies, results and the proxies that run items."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_plans import (
    ALL_STORES_LOSE_POWER,
    PROXIES_CUT_OFF,
    STORES_DIE,
    STORES_UNHEARD,
    STORES_WIPED,
    UNHEARD_AND_WIPED,
)

NODE = "otterreach.jobstore.node:JobStoreNode"
LEADER = "otterreach.jobstore.leadership:PartitionLeader"
BACKUP = "otterreach.jobstore.backup:BackupHandlers"
COPY = "otterreach.jobstore.partition:Copy"
PLANNER = "otterreach.controller.planner"
DIRECTORY = "otterreach.proxy.directory:JobStoreDirectory"

JOBS = (
    Planted(
        "jobs-backups-not-awaited",
        "a batch job is acknowledged once its primary has it",
        (
            Change(
                f"{LEADER}.required",
                "[*self.placement.backups, *(self.copy.in_sync - set(self.placement.backups))]",
                "[]",
            ),
        ),
        "jobs",
        plan=STORES_DIE,
        rule="acknowledged with too few copies",
        seed=1,
    ),
    Planted(
        "result-visible-early",
        "a primary lets readers see a result that is not yet at all copies",
        (Change(f"{COPY}._advance", "if not self.is_primary:", "if True:"),),
        "jobs",
        plan=STORES_UNHEARD,
        rule="position is gone",
        seed=8,
    ),
    Planted(
        "jobs-append-not-synced",
        "a backup tells where its copy stands before that is on disk",
        (Change(f"{BACKUP}._position_on_disk", "if not await self.replication.disk.sync():", "if False:"),),
        "jobs",
        plan=ALL_STORES_LOSE_POWER,
        rule="acknowledged with too few copies",
        seed=1,
    ),
    Planted(
        "part-of-a-snapshot-counts",
        "the first piece of a whole copy is taken for all of it",
        (
            Change(f"{BACKUP}._on_install", "if ask.last:", "if True:"),
            Change("otterreach.jobstore.installation:pieces_of", "> PIECE", "> 1"),
        ),
        "jobs",
        plan=STORES_WIPED,
        rule="other bytes",
        seed=1,
    ),
    Planted(
        "item-sent-without-a-look",
        "a proxy sends items without knowing of late that their batch job goes on",
        (Change(f"{DIRECTORY}.in_force", "self.loop.time() - owner.as_of < self.lease_s", "True"),),
        "jobs",
        plan=PROXIES_CUT_OFF,
        rule="runs what was ended",
        seed=2,
    ),
    Planted(
        "dead-backup-dropped-at-once",
        "a member that is lost leaves the record before another has all that it had",
        (Change(f"{PLANNER}:_repair", "if m != primary]", "if m != primary and m in stores.zones]"),),
        "jobs",
        plan=UNHEARD_AND_WIPED,
        rule="task_failed",
        seed=1,
    ),
    Planted(
        "copy-emptied-at-a-new-epoch",
        "a member begins each epoch with an empty copy",
        (
            Change(
                "otterreach.jobstore.replication:Replication._enter_epoch",
                "if self.member in placement.members and copy.uninitialised:",
                "if self.member in placement.members:",
            ),
        ),
        "jobs",
        plan=STORES_DIE,
        rule="taken is gone",
        seed=1,
    ),
    Planted(
        "end-not-told-to-proxies",
        "proxies that missed the message of a DELETE are not told of it with their next ping",
        (Change(f"{NODE}._on_ping", "[job for job in ask.jobs if self._is_over(job)]", "[]"),),
        "jobs",
        plan=PROXIES_CUT_OFF,
        rule="runs what was ended",
        seed=2,
    ),
)

UNNOTICED = (
    Planted(
        "learner-in-sync-not-awaited",
        "writes do not wait for a learner that the controller may make a member at any time",
        (
            Change(
                f"{LEADER}.required",
                "[*self.placement.backups, *(self.copy.in_sync - set(self.placement.backups))]",
                "list(self.placement.backups)",
            ),
        ),
        "jobs",
    ),
    Planted(
        "jobs-backup-takes-lower-epoch",
        "a copy takes records of an epoch lower than its own",
        (
            Change(f"{BACKUP}._admit", "if epoch < copy.epoch:", "if False:"),
            Change(f"{BACKUP}._position_on_disk", "if copy.epoch != epoch:", "if False:"),
        ),
        "jobs",
    ),
    Planted(
        "jobs-read-without-contact",
        "a primary answers reads without having heard from its backups of late",
        (Change(f"{LEADER}.fresh", "self.serving and self.age() < self.replication.fresh_s", "self.serving"),),
        "jobs",
    ),
    Planted(
        "end-at-the-primary-only",
        "DELETE is acknowledged before all copies have it",
        (
            Change(
                f"{NODE}._on_end",
                "return await self._when_copied(leader.copy, leader.append(end_record(job.id)))",
                "leader.append(end_record(job.id))\n    return Done()",
            ),
        ),
        "jobs",
    ),
    Planted(
        "refusal-of-what-may-be-taken",
        "a submission without a clear answer is told as refused",
        (Change(f"{DIRECTORY}.ask", "unclear = reply if reply.maybe_done else unclear", "unclear = None"),),
        "jobs",
    ),
    Planted(
        "position-given-twice",
        "an item that is listed already is listed once more",
        (
            Change("otterreach.jobstore.jobs:Jobs._result", " or item.state is ItemState.LISTED", ""),
            Change(f"{NODE}._over", "listed = item.state is ItemState.LISTED", "listed = False"),
        ),
        "jobs",
    ),
    Planted(
        "learner-becomes-primary",
        "a partition's next primary may be one without a whole copy",
        (
            Change(
                f"{PLANNER}:_repair",
                "living = [m for m in record.members",
                "living = [m for m in (*record.learners, *record.members)",
            ),
        ),
        "jobs",
    ),
    Planted(
        "torn-record-taken",
        "a record of the journal whose checksum is wrong is read",
        (Change("otterreach.runtime.journal:_record", "!= crc:", "is None:"),),
        "jobs",
    ),
    Planted(
        "epoch-of-a-partition-forgotten",
        "a copy's epoch is not written to its journal",
        (Change(f"{COPY}.promise", "self._record_epoch()", "pass"),),
        "jobs",
    ),
    Planted(
        "other-history-extended",
        "a backup appends to a copy that is as long as the primary's, but holds other records",
        (Change(f"{BACKUP}._on_append", "(ask.index, ask.chain) == copy.position", "ask.index == copy.index"),),
        "jobs",
    ),
)
