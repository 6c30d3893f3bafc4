"""What every process of the system does besides its role: settings, calls, the store, being known, signals."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random, SystemRandom
from typing import Any

from otterreach.balancer.interface import SettingsError
from otterreach.runtime import settings as settings_module
from otterreach.runtime.codec import message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member
from otterreach.runtime.log import log
from otterreach.runtime.relay import Follower
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import ReplicatedStore

HEARTBEAT_S = 0.25
ANNOUNCE_S = 0.15  # between tries
ANNOUNCE_CALL_S = 0.8
FAREWELL_S = 0.3
WATCHERS = 2
RELOAD_S = 2.0  # the settings file may change without any signal


@message(14)
@dataclass(slots=True)
class Announce:
    """A process to the primary controller: this machine is there. Done, or a Failure."""

    node: str
    disk: str  # the id on its disk, or empty
    role: str
    address: str
    zone: str
    region: str


@message(17)
@dataclass(slots=True)
class Farewell:
    """A process to the primary controller: it ends now, its machine keeps nothing from being done elsewhere. Done."""

    node: str
    disk: str


@message(15)
@dataclass(slots=True)
class Heartbeat:
    """A process to its watchers, one way."""

    node: str
    disk: str


def ring_of(name: str, controllers: list[str]) -> list[str]:
    """The controllers in the order of the ring, from a member's own place: the first few that answer watch it."""
    place = zlib.crc32(name.encode())
    return sorted(controllers, key=lambda address: (zlib.crc32(address.encode()) - place) % 2**32)


class Node:
    """One process. `disk` is set by roles that have one before `start`."""

    def __init__(self, settings: Settings, endpoint: Endpoint, random: Random | None = None) -> None:
        self.settings, self.endpoint = settings, endpoint
        self.random = random or Random(SystemRandom().getrandbits(64))
        self.store = ReplicatedStore()
        self.follower = Follower(endpoint, self.store, settings, self.random)
        self.disk = ""
        self.stopping = asyncio.Event()

    @property
    def member(self) -> str:
        return member(self.settings.node, self.disk)

    async def start(self, role: str) -> None:
        """Listen, follow, announce, send heartbeats."""
        await self.endpoint.listen(self.settings.ip, self.settings.port)
        self.endpoint.spawn(self.follower.run())
        self.endpoint.spawn(self._announce(role))
        self.endpoint.spawn(self._heartbeats())
        log("started", node=self.settings.node, role=role, address=self.settings.address)

    def _announced(self, role: str) -> bool:
        known = self.store.get(f"member/{self.settings.node}")
        s = self.settings
        return bool(known and known["disk"] == self.disk and known["address"] == s.address and known["role"] == role)

    async def _announce(self, role: str) -> None:
        s = self.settings
        ask = Announce(s.node, self.disk, role, s.address, s.zone, s.region)
        while True:
            if self.follower.age_s() < 1.5 and self._announced(role):
                await asyncio.sleep(1.0)
            else:
                reply = await self.ask_primary(ask)
                await asyncio.sleep(ANNOUNCE_S if isinstance(reply, Failure) else 0.5)

    def _controllers(self) -> list[str]:
        """Whom to ask, the primary first."""
        follower = self.follower
        return [a for a in dict.fromkeys([follower.primary, *follower.controllers, *self.settings.seeds]) if a]

    async def ask_primary(self, ask: Any, timeout_s: float = ANNOUNCE_CALL_S) -> Any:
        """A call to the primary controller, wherever it is; the last Failure if none takes it."""
        reply: Any = Failure(Code.UNREACHABLE, "no controller is known")
        for address in self._controllers():
            reply = await self.endpoint.call(address, ask, timeout_s)
            if not isinstance(reply, Failure):
                break
        return reply

    async def farewell(self) -> None:
        """Nobody has to find out by silence."""
        self.stopping.set()
        await self.ask_primary(Farewell(self.settings.node, self.disk), FAREWELL_S)

    async def _heartbeats(self) -> None:
        beat = Heartbeat(self.settings.node, self.disk)
        while not self.stopping.is_set():
            watching = 0
            for address in ring_of(self.settings.node, self.follower.controllers):
                link = self.endpoint.linked(address)
                if link:
                    link.send(beat)
                    watching += 1
                else:
                    self.endpoint.spawn(self.endpoint.link(address))
                if watching == WATCHERS:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    def reload(self) -> None:
        """The settings file may name other seeds now."""
        try:
            new = settings_module.load()
        except SettingsError as error:
            log("settings_unusable", level="ERROR", error=error)
            return
        if new.seeds != self.settings.seeds:
            log("seeds", seeds=",".join(new.seeds))
            self.settings = self.follower.settings = new

    async def watch_settings(self) -> None:
        path, seen = os.environ.get(settings_module.VARIABLE, ""), 0
        while True:
            await asyncio.sleep(RELOAD_S)
            try:
                changed = os.stat(path).st_mtime_ns
            except OSError:
                continue
            if changed != seen:
                seen = changed
                self.reload()


def run_role(main: Callable[[Settings], Coroutine[Any, Any, None]]) -> None:
    """Start a role: settings, loop, signals. The program ends with a line that names the key if settings fail."""
    try:
        settings = settings_module.load()
    except SettingsError as error:
        print(f'event=settings_unusable error="{error}"', file=sys.stderr)
        sys.exit(60)
    asyncio.run(main(settings))


def on_signals(term: Callable[[], None], hup: Callable[[], None]) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, term)
    loop.add_signal_handler(signal.SIGINT, term)
    loop.add_signal_handler(signal.SIGHUP, hup)
