"""Registry data of model servers that doesn't come from their own calls: unresponsive servers and loaded versions."""

from __future__ import annotations

from dataclasses import replace

from otterreach.controller.failure_detector import FailureDetector
from otterreach.controller.replication import ControlReplication
from otterreach.proxy.messages import ModelLoaded
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.records import ServerRecord, put
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.settings import Settings

MISSED_HEARTBEATS = 3.2  # heartbeat intervals without a heartbeat after which a server is marked as silent


class ServerRegistry:
    """Updates the items `server/ID` of the control state. Runs on the primary.

    The servers' own calls are handled in api/servers.py.
    """

    def __init__(
        self, settings: Settings, endpoint: Endpoint, control: ControlReplication, detector: FailureDetector
    ) -> None:
        self.settings = settings
        self.control = control
        self.detector = detector
        endpoint.on(ModelLoaded, self.handle_model_loaded)

    def mark_unresponsive_servers(self) -> None:
        """Mark the servers from which no controller receives heartbeats.

        The mark is a hint for proxies, whose own observations take precedence.
        """
        timeout_s = MISSED_HEARTBEATS * self.settings.heartbeat_s
        changes = []
        for server, record in self.control.state.records(ServerRecord).items():
            is_silent = self.detector.seconds_since_server_heartbeat(server) > timeout_s
            if is_silent != bool(record.silent):
                changes.append(put(replace(record, silent=is_silent), server))
                log("server_silent" if is_silent else "server_heard", server=server)
        if changes:
            self.control.propose(changes)

    async def handle_model_loaded(self, link: Link, message: ModelLoaded) -> Done | Failure:
        """Handle a report from a proxy that a server has loaded a version of a model."""
        if not self.control.is_primary:
            return self.control.not_primary()
        record = self.control.state.record(ServerRecord, message.server)
        if record is None:
            return await self.control.done_when_committed()
        updated = record.with_version(message.model, message.version)
        if updated == record:
            return await self.control.done_when_committed()
        done = await self.control.propose([put(updated, message.server)])
        return Done() if done else Failure(Code.NOT_SYNCED, "not noted")
