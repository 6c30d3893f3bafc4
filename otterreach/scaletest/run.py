"""Scale run: start, wait until all state has reached all followers, measure at rest and during changes.

The changes are new configurations, drains of servers and a new version on all servers.
"""

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

from otterreach.cli.caller import send_request
from otterreach.loadtest.machines import Machine
from otterreach.runtime.codes import Failure
from otterreach.scaletest import meter, table
from otterreach.scaletest import size as sizes
from otterreach.scaletest.processes import Child, ResourceUsage
from otterreach.scaletest.size import Size
from otterreach.scaletest.table import Sample

FILL_TIMEOUT_S = 30.0  # in addition to the joining time, until all state has reached all followers
# Shares of the measuring time: without any changes, with changes of the configuration, and with drains of servers. What
# remains of it is the time limit for the new version.
REST_SHARE, CHANGE_SHARE, DRAIN_SHARE = 0.45, 0.15, 0.1
CHANGES = 3
DRAINS = 3
VERSION_OVER_S = 4.0
MEMORY_SHARE = 0.5
PROGRESS_INTERVAL_S = 1.0
PUT_ATTEMPTS = 60


def derive_network_prefix() -> str:
    """Return the first two octets of the addresses of a run, derived from the id of this process."""
    return f"127.{16 + os.getpid() % 200}"


class Run:
    """Scale run with its files in one folder."""

    def __init__(self, size: Size, seconds: float, folder: Path) -> None:
        self.size = size
        self.seconds = seconds
        self.folder = folder
        self.network_prefix = derive_network_prefix()
        self.plan = sizes.plan(size)
        self.bounds = sizes.bounds()
        self.machines = sizes.machines(size, self.network_prefix, folder)
        self.seeds = sizes.seeds(self.machines["core"])
        self.controllers = [m.ctl for m in self.machines["core"]]
        self.children: list[Child] = []
        self.events: dict[tuple[str, Any], dict[str, float]] = defaultdict(dict)
        self.failed: Counter[str] = Counter()
        self.gen = 0
        self.random = Random(1)
        self.results: dict[str, Any] = {"size": {name: getattr(size, name) for name in size.__slots__}}

    def handle_event(self, event: dict[str, Any]) -> None:
        """Record an event that a hollow process has printed."""
        kind = event["event"]
        if kind == "beat_failed":
            self.failed[f"beat {event['status']}"] += 1
        elif kind != "started":
            key = (kind, event.get("gen", event.get("server")))
            self.events[key].setdefault(event["node"], event["t"])

    async def run(self) -> dict[str, Any]:
        """Execute the run and return the measurements."""
        try:
            await self._start()
            self.results["filled s"] = await self._wait_until_filled()
            phases = [self._measure_rest, self._measure_changes, self._measure_drains, self._measure_version]
            for phase in phases if self.results["filled s"] is not None else phases[:1]:
                await phase()
        finally:
            await self._stop()
        self.results["failed"] = dict(self.failed)
        self.results["known by"] = len(self.events[("full", None)])
        return self.results

    # Processes -----------------------------------------------------------------------------------

    async def _start(self) -> None:
        for kind in ("core", "store", "front"):
            for machine in self.machines[kind]:
                await self._start_child(kind, machine.name, ["role", machine.kind], self._settings(machine))
        await self._put_configuration()
        hollow = [m.settings(self.plan, self.seeds, self.bounds) for m in self.machines["hollow"]]
        for n, chunk in enumerate(sizes.split_range(len(hollow), self.size.hollow)):
            file = self.folder / f"hollow-{n}.json"
            file.write_text(json.dumps([hollow[i] for i in chunk]))
            counts = [str(self.size.servers), str(self.size.members), str(self.size.front_gap_s)]
            await self._start_child("hollow front", f"hollow-{n}", ["hollow-fronts", str(file), *counts], None)
        beat_s = str(self.size.heartbeat_ms / 1000)
        for n, chunk in enumerate(sizes.split_range(self.size.servers, self.size.server_hosts)):
            arguments = [
                "hollow-servers",
                str(chunk.start),
                str(chunk.stop),
                ",".join(self.controllers),
                beat_s,
                str(1 / self.size.joins_per_s),
            ]
            await self._start_child("hollow server", f"servers-{n}", arguments, None)

    def _settings(self, machine: Machine) -> Path:
        file = self.folder / f"{machine.name}.yaml"
        file.write_text(yaml.safe_dump(machine.settings(self.plan, self.seeds, self.bounds), sort_keys=False))
        if machine.kind != "front":
            machine.disk.mkdir(parents=True, exist_ok=True)
        return file

    async def _start_child(self, role: str, name: str, arguments: list[str], settings: Path | None) -> None:
        child = Child(role, name, self.folder)
        self.children.append(child)
        await child.start(arguments, settings, None if settings else self.handle_event)

    async def _stop(self) -> None:
        for role in ("hollow server", "hollow front", "front", "store", "core"):
            await asyncio.gather(*(child.stop() for child in self.children if child.role == role))

    def _memory_mb(self) -> float:
        return sum(child.usage().memory_mb for child in self.children)

    # Phases --------------------------------------------------------------------------------------

    async def _wait_until_filled(self) -> float | None:
        """Wait until every hollow proxy knows all servers and members; return the seconds, or None after a time-out."""
        started = time.monotonic()
        last_report = 0.0
        while time.monotonic() - started < FILL_TIMEOUT_S + self.size.joining_s:
            full = self.events[("full", None)]
            if len(full) == self.size.fronts:
                return round(max(full.values()) - started, 2)
            if self._memory_mb() > MEMORY_SHARE * os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20:
                raise MemoryError("the processes of the run use more than half of the machine's memory")
            if time.monotonic() - last_report > PROGRESS_INTERVAL_S:
                last_report = time.monotonic()
                print(
                    f"{last_report - started:5.1f} s  {len(full)} of {self.size.fronts} hollow proxies are up to date",
                    file=sys.stderr,
                )
            await asyncio.sleep(0.2)
        return None

    async def _measure(self, name: str, work: Any) -> None:
        """Record the resource usage of all processes while `work` runs."""
        before = {c.name: c.usage() for c in self.children}
        started = time.monotonic()
        result = await work
        ended = time.monotonic()
        samples = [self._sample(c, before[c.name], started, ended) for c in self.children]
        nodes = {
            "core": self.size.controllers,
            "store": self.size.store_nodes,
            "front": self.size.proxies,
            "hollow front": self.size.fronts,
            "hollow server": self.size.servers,
        }
        self.results[name] = {"seconds": round(ended - started, 2), "roles": table.by_role(samples, nodes)}
        cores = [c for c in self.children if c.role == "core"]
        self.results[name]["registrars"] = {
            c.name: round((c.usage().cpu_s - before[c.name].cpu_s) / (ended - started), 4) for c in cores
        }
        if result is not None:
            self.results[name]["times"] = result

    def _sample(self, child: Child, before: ResourceUsage, started: float, ended: float) -> Sample:
        now = child.usage()
        text = child.meter_file.read_text() if child.meter_file.exists() else ""
        counted_s, counts = meter.counts_between(text, started, ended)
        return Sample(
            child.role, ended - started, now.cpu_s - before.cpu_s, now.memory_mb, now.files, counted_s, counts
        )

    async def _measure_rest(self) -> None:
        await self._measure("rest", asyncio.sleep(self.seconds * REST_SHARE))

    async def _measure_changes(self) -> None:
        async def work() -> list[dict[str, Any]]:
            """Change the configuration `CHANGES` times."""
            return [await self._change_configuration() for _ in range(CHANGES)]

        await self._measure("configurations", work())

    async def _change_configuration(self) -> dict[str, Any]:
        started = time.monotonic()
        await self._put_configuration()
        acknowledged = time.monotonic()
        end = started + self.seconds * CHANGE_SHARE / CHANGES
        await asyncio.sleep(max(0.0, end - acknowledged))
        found = table.propagation_delays(started, self.events[("config", self.gen)], self.size.fronts)
        return {"acknowledged s": round(acknowledged - started, 3), **found}

    async def _put_configuration(self) -> None:
        self.gen += 1
        body = json.dumps(sizes.configuration(self.gen)).encode()
        headers = {b"If-Match": b"%d" % (self.gen - 1), b"Content-Type": b"application/json"}
        for _ in range(PUT_ATTEMPTS):
            answer = await send_request(self.random.choice(self.controllers), "PUT", "/config", body, headers)
            if not isinstance(answer, Failure) and answer.status == 200:
                return
            self.failed[f"config {0 if isinstance(answer, Failure) else answer.status}"] += 1
            await asyncio.sleep(0.1)
        self.failed["config given up"] += 1

    def _send_order(self, order: dict[str, Any]) -> None:
        for child in self.children:
            if child.role == "hollow server":
                child.order(order)

    async def _measure_drains(self) -> None:
        async def work() -> list[dict[str, Any]]:
            """Drain `DRAINS` servers, one after the other."""
            found = []
            for n in range(DRAINS):
                started = time.monotonic()
                self._send_order({"order": "drain", "servers": [n]})
                await asyncio.sleep(self.seconds * DRAIN_SHARE / DRAINS)
                found.append(
                    table.propagation_delays(started, self.events[("drain", sizes.server_id(n))], self.size.fronts)
                )
            return found

        await self._measure("drains", work())

    async def _measure_version(self) -> None:
        """Let all servers report a new version within VERSION_OVER_S, without any weight orders."""

        async def work() -> dict[str, Any]:
            """Raise all servers to the new version and wait until all hollow proxies know it."""
            started = time.monotonic()
            timeout_s = self.seconds * (1 - REST_SHARE - CHANGE_SHARE - DRAIN_SHARE)
            self._send_order({"order": "version", "over_s": VERSION_OVER_S, "count": self.size.servers})
            while time.monotonic() - started < timeout_s and len(self.events[("version", None)]) < self.size.fronts:
                await asyncio.sleep(0.1)
            return table.propagation_delays(started, self.events[("version", None)], self.size.fronts)

        await self._measure("version", work())
