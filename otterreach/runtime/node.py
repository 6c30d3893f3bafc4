"""The functions that all roles share: settings, RPC, the replicated store, membership, heartbeats and signals."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

from otterreach.balancer.settings_reader import SettingsError
from otterreach.runtime import settings as settings_module
from otterreach.runtime.codec import ReplyT, Request, message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member_id
from otterreach.runtime.log import log
from otterreach.runtime.records import MemberRecord
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_messages import Done
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import ReplicatedStore

HEARTBEAT_INTERVAL_S = 0.25
ANNOUNCE_RETRY_S = 0.15
ANNOUNCED_CHECK_S = 1.0  # interval between checks that the control state still has the announcement
ANNOUNCED_WAIT_S = 0.5  # delay after an accepted announcement, whose record may not have been replicated here yet
ANNOUNCED_MAX_AGE_S = 1.5  # maximum age of the store at which a record found in it is trusted
CONTROLLER_CALL_TIMEOUT_S = 0.8
SHUTDOWN_CALL_TIMEOUT_S = 0.3
WATCHERS = 2  # number of controllers that each member sends its heartbeats to
SETTINGS_CHECK_S = 2.0  # interval between checks of the settings file, which may change without a SIGHUP


@message(14)
@dataclass(slots=True)
class MemberAnnouncement(Request[Done]):
    """From a process to the primary controller: requests that this machine is added to the membership."""

    node: str
    disk: str  # id stored on the disk; empty if the role has no disk
    role: str
    address: str
    zone: str
    region: str


@message(17)
@dataclass(slots=True)
class MemberShutdown(Request[Done]):
    """From a process to the primary controller: it is shutting down, and others may take over its work."""

    node: str
    disk: str


@message(15)
@dataclass(slots=True)
class Heartbeat:
    """From a process to its watchers, one way."""

    node: str
    disk: str


def watchers_in_order(node: str, controllers: list[str]) -> list[str]:
    """Return the controllers in hash ring order from the member's position; the first reachable ones watch it."""
    position = zlib.crc32(node.encode())
    return sorted(controllers, key=lambda address: (zlib.crc32(address.encode()) - position) % 2**32)


class Node:
    """The part of a process that all roles share. Roles that have a disk set `disk` before `start`."""

    def __init__(self, settings: Settings, endpoint: Endpoint, random: Random | None = None) -> None:
        self.settings = settings
        self.endpoint = endpoint
        self.random = random or Random(SystemRandom().getrandbits(64))
        self.store = ReplicatedStore()
        self.follower = Follower(endpoint, self.store, settings, self.random)
        self.disk = ""
        self.stopping = asyncio.Event()

    @property
    def member(self) -> str:
        """The member id of this process."""
        return member_id(self.settings.node, self.disk)

    async def start(self, role: str) -> None:
        """Listen, follow the control state, announce this member and send heartbeats."""
        await self.endpoint.listen(self.settings.ip, self.settings.port)
        self.endpoint.spawn(self.follower.run())
        self.endpoint.spawn(self._keep_announced(role))
        self.endpoint.spawn(self._send_heartbeats())
        log("started", node=self.settings.node, role=role, address=self.settings.address)

    # The controllers -----------------------------------------------------------------------------

    def controllers(self) -> list[str]:
        """Return the addresses of all known controllers, the primary's first."""
        follower = self.follower
        addresses = [follower.primary, *follower.controllers, *self.settings.seeds]
        return [address for address in dict.fromkeys(addresses) if address]

    async def call_primary(
        self, request: Request[ReplyT], timeout_s: float = CONTROLLER_CALL_TIMEOUT_S
    ) -> ReplyT | Failure:
        """Call the controllers in turn, the primary first; return the first reply, or the last Failure."""
        reply: ReplyT | Failure = Failure(Code.UNREACHABLE, "no controller is known")
        for address in self.controllers():
            reply = await self.endpoint.call(address, request, timeout_s)
            if not isinstance(reply, Failure):
                break
        return reply

    # Membership ----------------------------------------------------------------------------------

    async def _keep_announced(self, role: str) -> None:
        settings = self.settings
        announcement = MemberAnnouncement(
            settings.node, self.disk, role, settings.address, settings.zone, settings.region
        )
        while True:
            if self.follower.age_s() < ANNOUNCED_MAX_AGE_S and self._is_announced(role):
                await asyncio.sleep(ANNOUNCED_CHECK_S)
                continue
            reply = await self.call_primary(announcement)
            await asyncio.sleep(ANNOUNCE_RETRY_S if isinstance(reply, Failure) else ANNOUNCED_WAIT_S)

    def _is_announced(self, role: str) -> bool:
        known = self.store.record(MemberRecord, self.settings.node)
        if known is None:
            return False
        return (known.disk, known.address, known.role) == (self.disk, self.settings.address, role)

    async def announce_shutdown(self) -> None:
        """Notify the primary that this process is shutting down, so that its heartbeats need not time out first."""
        self.stopping.set()
        await self.call_primary(MemberShutdown(self.settings.node, self.disk), SHUTDOWN_CALL_TIMEOUT_S)

    async def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(self.settings.node, self.disk)
        while not self.stopping.is_set():
            self._send_to_watchers(heartbeat)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_to_watchers(self, heartbeat: Heartbeat) -> None:
        sent = 0
        for address in watchers_in_order(self.settings.node, self.follower.controllers):
            link = self.endpoint.open_link(address)
            if link:
                link.send(heartbeat)
                sent += 1
            else:
                self.endpoint.spawn(self.endpoint.link(address))
            if sent == WATCHERS:
                return

    # Settings ------------------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the settings file again and apply changed seeds. An unusable file is logged and ignored."""
        try:
            new = settings_module.load()
        except SettingsError as error:
            log("settings_unusable", level="ERROR", error=error)
            return
        if new.seeds != self.settings.seeds:
            log("seeds", seeds=",".join(new.seeds))
            self.settings = new
            self.follower.settings = new

    async def watch_settings(self) -> None:
        """Reload the settings whenever the file has changed; never returns."""
        path = os.environ.get(settings_module.SETTINGS_FILE_VARIABLE, "")
        last_change = 0
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            try:
                changed = Path(path).stat().st_mtime_ns
            except OSError:
                continue
            if changed != last_change:
                last_change = changed
                self.reload()


def run_role(main: Callable[[Settings], Coroutine[Any, Any, None]]) -> None:
    """Run a role until it ends. Exit with Code.SETTINGS and a line that names the key if the settings are unusable."""
    try:
        settings = settings_module.load()
    except SettingsError as error:
        print(f'event=settings_unusable error="{error}"', file=sys.stderr)
        sys.exit(int(Code.SETTINGS))
    asyncio.run(main(settings))


def on_signals(terminate: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call `terminate` on SIGTERM and SIGINT, `reload` on SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, terminate)
    loop.add_signal_handler(signal.SIGINT, terminate)
    loop.add_signal_handler(signal.SIGHUP, reload)
