"""The controller process: the replicated control state, its HTTP API, and the periodic work of the primary."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from otterreach.controller.api.router import ApiRouter, CoordinationContext, event_retention_s
from otterreach.controller.event_collection import EventCollection
from otterreach.controller.failure_detector import FailureDetector
from otterreach.controller.hold_checkpoints import HoldCheckpoints
from otterreach.controller.lock_collection import LockCollection
from otterreach.controller.member_registry import MemberRegistry
from otterreach.controller.order_leases import OrderLeases
from otterreach.controller.partition_placement import PartitionPlacement
from otterreach.controller.planner import StoreMembers
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.controller.replication import ControlReplication
from otterreach.controller.server_registry import ServerRegistry
from otterreach.controller.store_registry import StoreRegistry
from otterreach.controller.survival import limits_of
from otterreach.controller.watch_hub import WatchHub
from otterreach.controller.watcher import LivenessReporter
from otterreach.runtime.caller_limits import CONTROLLER_DESCRIPTOR_SHARE, max_connections, memory_budget
from otterreach.runtime.http import JsonServer
from otterreach.runtime.journal import Journal
from otterreach.runtime.journal_format import Record
from otterreach.runtime.json_size import decoded_size
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.records import CoreRecord, MemberRole, ServerRecord, put
from otterreach.runtime.settings import Settings

API_BIND = "ctl"  # name of the API's address in the settings
PLAN_INTERVAL_S = 0.2
STALL_THRESHOLD_S = 0.4  # a longer stall of the event loop may itself explain missing heartbeats
STALL_REJECTION_S = 0.1  # calls are rejected for this long after a stall, since they may have been sent before it
STABILIZATION_S = 1.0  # after becoming primary or after a stall, members are not taken to be dead for this long


class ControllerNode:
    """One controller and its components."""

    def __init__(self, settings: Settings, node: Node, journal: Journal) -> None:
        self.settings = settings
        self.node = node
        self.journal = journal
        clock = asyncio.get_running_loop().time
        self.clock = clock
        endpoint = node.endpoint
        limits = limits_of(settings)
        self.detector = FailureDetector(clock)
        self.control = ControlReplication(
            settings, endpoint, journal, node.follower, node.random, self._leadership_changed
        )
        self.watcher = LivenessReporter(settings, endpoint, self.control, self.detector)
        self.stores = StoreRegistry(endpoint, self.control, self.detector, limits, clock)
        self.members = MemberRegistry(endpoint, self.control, self.detector, self.stores.forget_draining)
        self.placement = PartitionPlacement(endpoint, self.control, self.stores, limits, clock)
        self.servers = ServerRegistry(settings, endpoint, self.control, self.detector)
        self.leases = OrderLeases(settings, endpoint, self.control, self.members, clock)
        self.receipts = ReceiptTimes(clock)
        self.watches = WatchHub()
        self.control.on_items(self.receipts.observe)
        self.control.on_committed(self.watches.items_committed)
        self.hold_checkpoints = HoldCheckpoints(self.control, self.receipts)
        self.lock_collection = LockCollection(self.control, self.receipts)
        coordination = CoordinationContext(self.receipts, self.watches, self._has_just_stalled)
        self.api = ApiRouter(
            settings, self.control, node.follower, self._stores_once_stable, self.detector, coordination
        )
        self.event_collection = EventCollection(
            self.control, self.api.histories, self.receipts, event_retention_s(settings)
        )
        self.server = JsonServer(
            self.api.handle,
            memory_budget(settings, clock),
            max_connections(settings, CONTROLLER_DESCRIPTOR_SHARE),
            working_size=decoded_size,
        )
        self._stable_from = 0.0  # from this time on, missing heartbeats are acted on
        self._planned_at = clock()  # time of the last iteration of `_plan`; a long gap between them is a stall
        self._stall_ended_at = -STALL_REJECTION_S

    async def run(self, records: Iterable[Record]) -> None:
        """Load the journal's records and run the controller until SIGTERM."""
        self.control.load(records)
        self.node.disk = self.control.id
        host, port = self.settings.binds[API_BIND]
        await self.node.start(MemberRole.CONTROLLER)
        await self.server.listen(host, port)
        for work in (self.control.start(), self.watcher.run(), self._plan(), self.node.watch_settings()):
            self.node.endpoint.spawn(work)
        await self.node.stopping.wait()
        await self.control.leave()
        self.api.abort_pending_calls()
        self.server.stop()
        await self.journal.sync()

    # The primary's work --------------------------------------------------------------------------

    def _leadership_changed(self, is_primary: bool) -> None:
        if is_primary:
            self._stable_from = self.clock() + STABILIZATION_S
            self.detector.assume_alive(self.members.member_ids(), self.control.state.records(ServerRecord))
        else:
            self.watches.abort()

    async def _plan(self) -> None:
        """Run the primary's periodic work: compare the control state with the live members and propose changes."""
        self._planned_at = self.clock()
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            now = self.clock()
            if self._is_stalled_at(now):
                self._stable_from = now + STABILIZATION_S
                self._stall_ended_at = now
                log("stalled", node=self.settings.node, seconds=round(now - self._planned_at, 2))
            self._planned_at = now
            if self.control.is_primary:
                self._publish_controllers()
                self.hold_checkpoints.write_when_due()
                if self._is_stable():
                    self.placement.plan()
                    self.servers.mark_unresponsive_servers()
                    self.leases.assign_leases()
                    self.members.remove_unresponsive_members()
                    self.lock_collection.collect()
                    self.event_collection.collect()

    def _is_stalled_at(self, now: float) -> bool:
        return now - self._planned_at > PLAN_INTERVAL_S + STALL_THRESHOLD_S

    def _has_just_stalled(self) -> bool:
        """Return True if this process has just resumed from a stall: calls arriving now may be long outdated."""
        now = self.clock()
        return self._is_stalled_at(now) or now - self._stall_ended_at < STALL_REJECTION_S

    def _is_stable(self) -> bool:
        return self.clock() >= self._stable_from

    def _stores_once_stable(self) -> StoreMembers | None:
        """Return the job store members, or None right after becoming primary or a stall.

        It is not known then which members are dead.
        """
        return self.stores.members() if self._is_stable() else None

    def _publish_controllers(self) -> None:
        configuration = self.control.accepted
        assert configuration is not None
        addresses = sorted(witness.address for witness in configuration.witnesses)
        record = CoreRecord(tuple(addresses), self.settings.address, configuration.number)
        if self.control.state.record(CoreRecord) != record:
            self.control.propose([put(record)])
