"""The liveness watcher of each controller: receives heartbeats and reports them to the primary."""

from __future__ import annotations

import asyncio

from otterreach.controller.failure_detector import FailureDetector
from otterreach.controller.messages import LivenessReport
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.identity import member_id
from otterreach.runtime.node import Heartbeat
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.settings import Settings

REPORT_INTERVAL_S = 0.25


class LivenessReporter:
    """Feeds the failure detector with heartbeats and with the reports of other watchers."""

    def __init__(
        self, settings: Settings, endpoint: Endpoint, control: ControlReplication, detector: FailureDetector
    ) -> None:
        self.settings = settings
        self.endpoint = endpoint
        self.control = control
        self.detector = detector
        endpoint.on(Heartbeat, self.handle_heartbeat)
        endpoint.on(LivenessReport, self.handle_liveness_report)

    async def handle_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        """Record the heartbeat of a member."""
        self.detector.record_heartbeat(member_id(heartbeat.node, heartbeat.disk))

    async def handle_liveness_report(self, link: Link, report: LivenessReport) -> None:
        """Record another watcher's report of the members that it has received heartbeats from."""
        self.detector.record_report(report)

    async def run(self) -> None:
        """Report to the primary periodically. Doesn't return."""
        reported_at = 0.0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now = self.detector.clock()
            address = self.control.primary_address
            if self.control.is_primary or not address:
                continue
            link = self.endpoint.open_link(address)
            if link:
                link.send(self.detector.report_since(self.settings.node, reported_at))
                reported_at = now
