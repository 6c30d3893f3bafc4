"""The registry of model servers beyond their own calls: which of them fell silent, which versions they have loaded."""

from __future__ import annotations

from dataclasses import replace

from otterreach.controller.failure_detector import FailureDetector
from otterreach.controller.replication import ControlReplication
from otterreach.proxy.messages import ModelLoaded
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.records import ServerRecord, put
from otterreach.runtime.rpc import Done, Endpoint, Link
from otterreach.runtime.settings import Settings

MISSED_HEARTBEATS = 3.2  # of a server, before it is marked as silent


class ServerRegistry:
    """The items `server/ID` of the control state. Run by the primary; api/servers.py handles the servers' own calls."""

    def __init__(
        self, settings: Settings, endpoint: Endpoint, control: ControlReplication, detector: FailureDetector
    ) -> None:
        self.settings = settings
        self.control = control
        self.detector = detector
        endpoint.on(ModelLoaded, self.handle_model_loaded)

    def mark_unresponsive_servers(self) -> None:
        """Mark servers that no watcher hears: a hint for proxies, whose own evidence goes first."""
        patience_s = MISSED_HEARTBEATS * self.settings.heartbeat_s
        changes = []
        for server, record in self.control.state.records(ServerRecord).items():
            is_silent = self.detector.seconds_since_server_heartbeat(server) > patience_s
            if is_silent != bool(record.silent):
                changes.append(put(replace(record, silent=is_silent), server))
                log("server_silent" if is_silent else "server_heard", server=server)
        if changes:
            self.control.propose(changes)

    async def handle_model_loaded(self, link: Link, message: ModelLoaded) -> Done | Failure:
        """A proxy has brought a server to a version of a model."""
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
