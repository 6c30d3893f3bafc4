"""Applies the planner's decisions on replica placement as members join, leave and get in sync."""

from __future__ import annotations

from collections.abc import Callable

from otterreach.controller import planner
from otterreach.controller.failure_detector import HEARTBEAT_TIMEOUT_S
from otterreach.controller.planner import Records, StoreMembers
from otterreach.controller.replication import ControlReplication
from otterreach.controller.store_registry import StoreRegistry
from otterreach.controller.survival import SurviveLimits
from otterreach.jobstore.messages import ReplicaInSync, ReplicaLost
from otterreach.jobstore.placement import PARTITIONS
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.records import PartitionRecord, put
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done

# The initial records are created once the set of live job store nodes has been stable for this time ...
INITIAL_WAIT_S = 1.0
# ... or for this time while the required number of zones and regions is not available.
FULL_SPREAD_WAIT_S = 6.0


class PartitionPlacement:
    """Maintains the items `part/N` of the control state. Runs on the primary."""

    def __init__(
        self,
        endpoint: Endpoint,
        control: ControlReplication,
        stores: StoreRegistry,
        limits: SurviveLimits,
        clock: Callable[[], float],
    ) -> None:
        self.control = control
        self.stores = stores
        self.limits = limits
        self.clock = clock
        self._attainable = limits  # the limits that the live machines allowed at the last check
        self._known_stores: frozenset[str] = frozenset()
        self._known_stores_since = 0.0
        self._unreachable_at: dict[tuple[int, str], float] = {}  # (partition, backup): time of the last report
        endpoint.on(ReplicaInSync, self.handle_replica_in_sync)
        endpoint.on(ReplicaLost, self.handle_replica_lost)

    def records(self) -> Records:
        """Return the partition records, keyed by partition number."""
        return {int(number): record for number, record in self.control.state.records(PartitionRecord).items()}

    def plan(self) -> None:
        """Propose the records that have to change now."""
        stores = self.stores.members()
        records = self.records()
        self._track_stores(stores)
        if records:
            self._log_attainable(stores)
            self._propose(planner.plan(records, self.limits, stores, self._unreachable()))
        elif self._may_create_initial_records(stores):
            self._propose(planner.initial_records(PARTITIONS, self.limits, stores))

    def _track_stores(self, stores: StoreMembers) -> None:
        known = frozenset(stores.domains)
        if known != self._known_stores:
            self._known_stores = known
            self._known_stores_since = self.clock()

    def _may_create_initial_records(self, stores: StoreMembers) -> bool:
        full_spread = stores.attainable(self.limits) == self.limits
        stable_s = INITIAL_WAIT_S if full_spread else FULL_SPREAD_WAIT_S
        return self.clock() - self._known_stores_since > stable_s

    def _log_attainable(self, stores: StoreMembers) -> None:
        """Log when the limits that the live machines allow change."""
        attainable = stores.attainable(self.limits)
        if attainable == self._attainable:
            return
        self._attainable = attainable
        short = attainable != self.limits
        log(
            "replica_spread",
            level="WARNING" if short else "INFO",
            short=short,
            survive_zones=attainable.zones,
            survive_regions=attainable.regions,
        )

    async def handle_replica_lost(self, link: Link, message: ReplicaLost) -> None:
        """Handle a report from a partition's primary that it can't reach one of the members."""
        record = self.records().get(message.partition)
        if not self.control.is_primary or record is None or record.epoch != message.epoch:
            return
        if message.member in record.members:
            self._unreachable_at[message.partition, message.member] = self.clock()

    def _unreachable(self) -> dict[int, set[str]]:
        """Return, for each partition, the members that its primary has recently reported as unreachable."""
        now = self.clock()
        unreachable: dict[int, set[str]] = {}
        for (partition, member), at in list(self._unreachable_at.items()):
            if now - at > HEARTBEAT_TIMEOUT_S:
                del self._unreachable_at[partition, member]
            else:
                unreachable.setdefault(partition, set()).add(member)
        return unreachable

    async def handle_replica_in_sync(self, link: Link, message: ReplicaInSync) -> Done | Failure:
        """Handle a primary's report that a learner is in sync and that every write now waits for it."""
        if not self.control.is_primary:
            return self.control.not_primary()
        record = self.records().get(message.partition)
        if record is None or record.epoch != message.epoch:
            return Failure(Code.STALE_EPOCH, "another epoch")
        if message.member in record.learners:
            unreachable = self._unreachable().get(message.partition, set()) - {record.primary}
            stores = self.stores.members().without(unreachable)
            promoted = planner.promote_learner(record, message.member, self.limits, stores)
            self._propose({message.partition: promoted})
        return Done()

    def _propose(self, changes: Records) -> None:
        if not changes:
            return
        self.control.propose([put(record, str(number)) for number, record in changes.items()])
        for number, record in changes.items():
            log(
                "partition",
                partition=number,
                epoch=record.epoch,
                primary=record.primary,
                backups=",".join(record.backups),
                learners=",".join(record.learners),
            )
