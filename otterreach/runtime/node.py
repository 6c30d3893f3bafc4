"""What every process of the system does besides its role: settings, calls, the store, heartbeats, signals."""

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

from otterreach.balancer.interface import SettingsError
from otterreach.runtime import settings as settings_module
from otterreach.runtime.codec import ReplyT, Request, message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member_id
from otterreach.runtime.log import log
from otterreach.runtime.records import MemberRecord
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Done, Endpoint
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import ReplicatedStore

HEARTBEAT_INTERVAL_S = 0.25
ANNOUNCE_RETRY_S = 0.15
ANNOUNCED_CHECK_S = 1.0  # between two looks whether the announcement still stands in the control state
ANNOUNCED_WAIT_S = 0.5  # after an announcement was taken: it may be on its way here
ANNOUNCED_MAX_AGE_S = 1.5  # of the store, by which an announcement is taken to stand
CONTROLLER_CALL_TIMEOUT_S = 0.8
SHUTDOWN_CALL_TIMEOUT_S = 0.3
WATCHERS = 2  # controllers that each member sends its heartbeats to
SETTINGS_CHECK_S = 2.0  # the settings file may change without any signal


@message(14)
@dataclass(slots=True)
class MemberAnnouncement(Request[Done]):
    """A process to the primary controller: this machine is there."""

    node: str
    disk: str  # the id on its disk; empty if it keeps none
    role: str
    address: str
    zone: str
    region: str


@message(17)
@dataclass(slots=True)
class MemberShutdown(Request[Done]):
    """A process to the primary controller: it ends now, and others may take its work over."""

    node: str
    disk: str


@message(15)
@dataclass(slots=True)
class Heartbeat:
    """A process to its watchers, one way."""

    node: str
    disk: str


def watchers_in_order(node: str, controllers: list[str]) -> list[str]:
    """The controllers on a hash ring, from a member's own position on: the first few that answer watch it."""
    position = zlib.crc32(node.encode())
    return sorted(controllers, key=lambda address: (zlib.crc32(address.encode()) - position) % 2**32)


class Node:
    """One process. Roles that have a disk set `disk` before `start`."""

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
        """Listen, follow the control state, announce this member, send heartbeats."""
        await self.endpoint.listen(self.settings.ip, self.settings.port)
        self.endpoint.spawn(self.follower.run())
        self.endpoint.spawn(self._keep_announced(role))
        self.endpoint.spawn(self._send_heartbeats())
        log("started", node=self.settings.node, role=role, address=self.settings.address)

    # The controllers -----------------------------------------------------------------------------

    def controllers(self) -> list[str]:
        """The addresses of all controllers that are known here, the primary's first."""
        follower = self.follower
        addresses = [follower.primary, *follower.controllers, *self.settings.seeds]
        return [address for address in dict.fromkeys(addresses) if address]

    async def call_primary(
        self, request: Request[ReplyT], timeout_s: float = CONTROLLER_CALL_TIMEOUT_S
    ) -> ReplyT | Failure:
        """A call to the primary controller, wherever it is; the last Failure if no controller takes it."""
        reply: ReplyT | Failure = Failure(Code.UNREACHABLE, "no controller is known")
        for address in self.controllers():
            reply = await self.endpoint.call(address, request, timeout_s)
            if not isinstance(reply, Failure):
                break
        return reply

    # Being known ---------------------------------------------------------------------------------

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
        """Tell the primary that this process ends, so that nobody has to wait for a time-out."""
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
            link = self.endpoint.linked(address)
            if link:
                link.send(heartbeat)
                sent += 1
            else:
                self.endpoint.spawn(self.endpoint.link(address))
            if sent == WATCHERS:
                return

    # Settings ------------------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the settings file anew: it may name other seeds now."""
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
        """Reload the settings whenever their file has changed; for ever."""
        path = os.environ.get(settings_module.VARIABLE, "")
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
    """Run a role until it ends. Unusable settings end the program with a line that names the key."""
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
