"""The run: start all, wait until all is known everywhere, measure at rest, then changes, drains and a new version."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from random import Random
from typing import Any

import yaml

from otterreach.cli.caller import ask
from otterreach.loadtest.machines import Machine
from otterreach.runtime.codes import Failure
from otterreach.scaletest import meter, table
from otterreach.scaletest import size as sizes
from otterreach.scaletest.processes import Child, Used
from otterreach.scaletest.size import Size
from otterreach.scaletest.table import Sample

FILL_S = 30.0  # besides the joining, until everything is known everywhere
REST_SHARE, CHANGE_SHARE, DRAIN_SHARE = 0.45, 0.15, 0.1  # of the seconds; the version gets what is left
CHANGES = 3
DRAINS = 3
VERSION_OVER_S = 4.0
MEMORY_SHARE = 0.5
TELL_S = 1.0
PUT_TRIES = 60


def draw_net() -> str:
    """The first two parts of the addresses of a run: another one for each process."""
    return f"127.{16 + os.getpid() % 200}"


class Run:
    """One run in one folder."""

    def __init__(self, size: Size, seconds: float, folder: Path) -> None:
        self.size = size
        self.seconds = seconds
        self.folder = folder
        self.net = draw_net()
        self.plan = sizes.plan(size)
        self.bounds = sizes.bounds()
        self.machines = sizes.machines(size, self.net, folder)
        self.seeds = sizes.seeds(self.machines["core"])
        self.controllers = [m.ctl for m in self.machines["core"]]
        self.children: list[Child] = []
        self.events: dict[tuple[str, Any], dict[str, float]] = defaultdict(dict)
        self.failed: Counter[str] = Counter()
        self.gen = 0
        self.random = Random(1)
        self.found: dict[str, Any] = {"size": {name: getattr(size, name) for name in size.__slots__}}

    def hear(self, event: dict[str, Any]) -> None:
        """What a hollow process tells."""
        kind = event["event"]
        if kind == "beat_failed":
            self.failed[f"beat {event['status']}"] += 1
        elif kind != "started":
            key = (kind, event.get("gen", event.get("server")))
            self.events[key].setdefault(event["node"], event["t"])

    async def run(self) -> dict[str, Any]:
        """Play it and return what was measured."""
        try:
            await self._start()
            self.found["filled s"] = await self._fill()
            phases = [self._rest, self._changes, self._drains, self._version]
            for phase in phases if self.found["filled s"] is not None else phases[:1]:
                await phase()
        finally:
            await self._stop()
        self.found["failed"] = dict(self.failed)
        self.found["known by"] = len(self.events[("full", None)])
        return self.found

    # Processes -----------------------------------------------------------------------------------

    async def _start(self) -> None:
        for kind in ("core", "store", "front"):
            for machine in self.machines[kind]:
                await self._child(kind, machine.name, ["role", machine.kind], self._settings(machine))
        await self._put()
        hollow = [m.settings(self.plan, self.seeds, self.bounds) for m in self.machines["hollow"]]
        for n, part in enumerate(sizes.shares(len(hollow), self.size.hollow)):
            file = self.folder / f"hollow-{n}.json"
            file.write_text(json.dumps([hollow[i] for i in part]))
            counts = [str(self.size.servers), str(self.size.members), str(self.size.front_gap_s)]
            await self._child("hollow front", f"hollow-{n}", ["hollow-fronts", str(file), *counts], None)
        beat_s = str(self.size.heartbeat_ms / 1000)
        for n, part in enumerate(sizes.shares(self.size.servers, self.size.server_hosts)):
            arguments = [
                "hollow-servers",
                str(part.start),
                str(part.stop),
                ",".join(self.controllers),
                beat_s,
                str(1 / self.size.joins_per_s),
            ]
            await self._child("hollow server", f"servers-{n}", arguments, None)

    def _settings(self, machine: Machine) -> Path:
        file = self.folder / f"{machine.name}.yaml"
        file.write_text(yaml.safe_dump(machine.settings(self.plan, self.seeds, self.bounds), sort_keys=False))
        if machine.kind != "front":
            machine.disk.mkdir(parents=True, exist_ok=True)
        return file

    async def _child(self, role: str, name: str, arguments: list[str], settings: Path | None) -> None:
        child = Child(role, name, self.folder)
        self.children.append(child)
        await child.start(arguments, settings, None if settings else self.hear)

    async def _stop(self) -> None:
        for role in ("hollow server", "hollow front", "front", "store", "core"):
            await asyncio.gather(*(child.stop() for child in self.children if child.role == role))

    def _memory(self) -> float:
        return sum(child.used().memory_mb for child in self.children)

    # Phases --------------------------------------------------------------------------------------

    async def _fill(self) -> float | None:
        """Until every hollow front knows all servers and members; None if that does not come."""
        begun = time.monotonic()
        told = 0.0
        while time.monotonic() - begun < FILL_S + self.size.joining_s:
            full = self.events[("full", None)]
            if len(full) == self.size.fronts:
                return round(max(full.values()) - begun, 2)
            if self._memory() > MEMORY_SHARE * os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20:
                raise MemoryError("half of the machine's memory")
            if time.monotonic() - told > TELL_S:
                told = time.monotonic()
                print(f"{told - begun:5.1f} s  {len(full)} of {self.size.fronts} fronts know all", file=sys.stderr)
            await asyncio.sleep(0.2)
        return None

    async def _measure(self, name: str, work: Any) -> None:
        """What all use while `work` goes on."""
        before = {c.name: c.used() for c in self.children}
        begun = time.monotonic()
        result = await work
        ended = time.monotonic()
        samples = [self._sample(c, before[c.name], begun, ended) for c in self.children]
        nodes = {
            "core": self.size.controllers,
            "store": self.size.store_nodes,
            "front": self.size.proxies,
            "hollow front": self.size.fronts,
            "hollow server": self.size.servers,
        }
        self.found[name] = {"seconds": round(ended - begun, 2), "roles": table.by_role(samples, nodes)}
        cores = [c for c in self.children if c.role == "core"]
        self.found[name]["registrars"] = {
            c.name: round((c.used().cpu_s - before[c.name].cpu_s) / (ended - begun), 4) for c in cores
        }
        if result is not None:
            self.found[name]["times"] = result

    def _sample(self, child: Child, before: Used, begun: float, ended: float) -> Sample:
        now = child.used()
        text = child.meter.read_text() if child.meter.exists() else ""
        counted_s, counts = meter.between(text, begun, ended)
        return Sample(child.role, ended - begun, now.cpu_s - before.cpu_s, now.memory_mb, now.files, counted_s, counts)

    async def _rest(self) -> None:
        await self._measure("rest", asyncio.sleep(self.seconds * REST_SHARE))

    async def _changes(self) -> None:
        async def work() -> list[dict[str, Any]]:
            """Change the configuration a few times."""
            return [await self._change() for _ in range(CHANGES)]

        await self._measure("configurations", work())

    async def _change(self) -> dict[str, Any]:
        begun = time.monotonic()
        await self._put()
        acknowledged = time.monotonic()
        end = begun + self.seconds * CHANGE_SHARE / CHANGES
        await asyncio.sleep(max(0.0, end - acknowledged))
        found = table.spread(begun, self.events[("config", self.gen)], self.size.fronts)
        return {"acknowledged s": round(acknowledged - begun, 3), **found}

    async def _put(self) -> None:
        self.gen += 1
        body = json.dumps(sizes.configuration(self.gen)).encode()
        headers = {b"If-Match": b"%d" % (self.gen - 1), b"Content-Type": b"application/json"}
        for _ in range(PUT_TRIES):
            answer = await ask(self.random.choice(self.controllers), "PUT", "/config", body, headers)
            if not isinstance(answer, Failure) and answer.status == 200:
                return
            self.failed[f"config {0 if isinstance(answer, Failure) else answer.status}"] += 1
            await asyncio.sleep(0.1)
        self.failed["config given up"] += 1

    def _order(self, order: dict[str, Any]) -> None:
        for child in self.children:
            if child.role == "hollow server":
                child.order(order)

    async def _drains(self) -> None:
        async def work() -> list[dict[str, Any]]:
            """Drain a few servers."""
            found = []
            for n in range(DRAINS):
                begun = time.monotonic()
                self._order({"order": "drain", "servers": [n]})
                await asyncio.sleep(self.seconds * DRAIN_SHARE / DRAINS)
                found.append(table.spread(begun, self.events[("drain", sizes.server_id(n))], self.size.fronts))
            return found

        await self._measure("drains", work())

    async def _version(self) -> None:
        """All servers come to a new version within VERSION_OVER_S, and say so; nobody orders them here."""

        async def work() -> dict[str, Any]:
            """Bring all servers to a new version."""
            begun = time.monotonic()
            spare = self.seconds * (1 - REST_SHARE - CHANGE_SHARE - DRAIN_SHARE)
            self._order({"order": "version", "over_s": VERSION_OVER_S, "count": self.size.servers})
            while time.monotonic() - begun < spare and len(self.events[("version", None)]) < self.size.fronts:
                await asyncio.sleep(0.1)
            return table.spread(begun, self.events[("version", None)], self.size.fronts)

        await self._measure("version", work())
