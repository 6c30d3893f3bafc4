"""A controller: the control state, its calls, and what its primary does for all."""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Iterable

from otterreach.controller import planner
from otterreach.controller.api.router import ApiRouter
from otterreach.controller.messages import Sighting, Sightings
from otterreach.controller.planner import Part, Stores
from otterreach.controller.replication import Control
from otterreach.controller.survival import Place, limits_of
from otterreach.jobstore.messages import DiskStalled, Leaving, PartLost, PartSynced
from otterreach.jobstore.placement import PARTITIONS
from otterreach.proxy.messages import Loaded, Release
from otterreach.proxy.orders import takeover_s
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import JsonServer
from otterreach.runtime.identity import member
from otterreach.runtime.journal import Journal, Record, open_journal
from otterreach.runtime.log import log
from otterreach.runtime.node import Announce, Farewell, Heartbeat, Node, on_signals
from otterreach.runtime.rpc import Done, Endpoint, Link
from otterreach.runtime.settings import Settings

JOURNAL = "control.journal"
PLAN_S = 0.2
DEAD_S = 0.9  # a member that no watcher has heard for so long
TELL_S = 0.25
ENDING_S = 1.5  # a member that says no more that it is about to end has ended, or stays
STALL_S = 0.4  # the loop stood still for longer: nobody else is to blame for silence
SETTLE_S = 1.0  # after coming into office, or a stall, before anyone is held to be dead
FRONT_GONE_S, MEMBER_GONE_S = 8.0, 60.0  # silence after which a member that keeps nothing is forgotten
FULL_SPREAD_WAIT_S = 6.0  # the first records wait so long for machines in all the zones and regions that are asked for
SILENT_BEATS = 3.2  # heartbeats of a server that are missed before it is marked


class ControllerNode:
    """Puts the parts together."""

    def __init__(self, settings: Settings, node: Node, journal: Journal) -> None:
        self.settings, self.node, self.journal = settings, node, journal
        self.loop = asyncio.get_running_loop()
        self.heard: dict[str, float] = {}  # by node#disk: when last
        self.heard_servers: dict[str, float] = {}
        self.control = Control(settings, node.endpoint, journal, node.follower, node.random, self._office)
        self.api = ApiRouter(settings, self.control, node.follower, self._stores_when_settled, self._server_heard)
        self.server = JsonServer(self.api.handle)
        self._settled_at = 0.0
        self._lost: dict[tuple[int, str], float] = {}  # (partition, backup): when its primary last said so
        self._stalled: dict[str, float] = {}  # by node#disk: when it last said that its disk takes nothing
        self._ending: dict[str, float] = {}  # by node#disk: when it last said that it is about to end
        self._left: dict[str, float] = {}  # by node#disk: when it said farewell
        self._stores_since = 0.0
        self._leaving: dict[str, float] = {}  # proxies that let go of their duties, and when
        self._stores: frozenset[str] = frozenset()
        self.limits = limits_of(settings)
        self._attainable = self.limits
        for kind, handler in (
            (Announce, self._announce),
            (Heartbeat, self._heartbeat),
            (Farewell, self._farewell),
            (Sightings, self._sightings),
            (PartSynced, self._synced),
            (PartLost, self._part_lost),
            (DiskStalled, self._disk_stalled),
            (Leaving, self._store_leaving),
            (Loaded, self._loaded),
            (Release, self._release),
        ):
            node.endpoint.on(kind, handler)

    async def run(self, records: Iterable[Record]) -> None:
        self.control.load(records)
        self.node.disk = self.control.id
        host, port = self.settings.binds["ctl"]
        await self.node.start("core")
        await self.server.listen(host, port)
        spawn = self.node.endpoint.spawn
        for work in (self.control.start(), self._watch(), self._plan(), self.node.watch_settings()):
            spawn(work)
        await self.node.stopping.wait()
        await self.control.leave()
        self.server.stop()
        await self.journal.sync()

    # Who lives -----------------------------------------------------------------------------------

    def _server_heard(self, ident: str) -> None:
        self.heard_servers[ident] = self.loop.time()

    async def _heartbeat(self, link: Link, beat: Heartbeat) -> None:
        self.heard[member(beat.node, beat.disk)] = self.loop.time()

    async def _farewell(self, link: Link, told: Farewell) -> Done | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        name, now = member(told.node, told.disk), self.loop.time()
        self.heard[name], self._left[name] = now - 2 * DEAD_S, now
        self._ending.pop(name, None)
        log("farewell", member=name)
        return Done()

    async def _disk_stalled(self, link: Link, told: DiskStalled) -> None:
        name = member(told.node, told.disk)
        if name not in self._stalled:
            log("disk_stalled", level="WARNING", member=name, waiting_ms=told.waiting_ms)
        self._stalled[name] = self.loop.time()

    async def _store_leaving(self, link: Link, told: Leaving) -> Done | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        name = member(told.node, told.disk)
        others = [m for m in self.stores().usable if m != name]
        if len(others) <= self.limits.nodes:
            return Failure(Code.TOO_FEW_LEFT, f"{len(others)} others")
        self._ending[name] = self.loop.time()
        return Done()

    async def _sightings(self, link: Link, told: Sightings) -> None:
        now = self.loop.time()
        for into, sightings in ((self.heard, told.nodes), (self.heard_servers, told.servers)):
            for sighting in sightings:
                into[sighting.name] = max(into.get(sighting.name, -1e9), now - sighting.age_ms / 1000)

    async def _watch(self) -> None:
        """Tell the primary whom this watcher heard of late."""
        told_at = 0.0
        while True:
            await asyncio.sleep(TELL_S)
            now = self.loop.time()
            address = self.control.primary_address
            if self.control.is_primary or not address:
                continue
            link = self.node.endpoint.linked(address)
            if link:
                link.send(
                    Sightings(
                        self.settings.node,
                        self._since(self.heard, told_at, now),
                        self._since(self.heard_servers, told_at, now),
                    )
                )
                told_at = now

    @staticmethod
    def _since(heard: dict[str, float], then: float, now: float) -> list[Sighting]:
        return [Sighting(name, int((now - at) * 1000)) for name, at in heard.items() if at >= then]

    def _living_stores(self) -> set[str]:
        now = self.loop.time()
        self._stalled = {name: at for name, at in self._stalled.items() if now - at < DEAD_S}
        return {name for name in self._store_members() if self._lives(name, now) and name not in self._stalled}

    def _lives(self, name: str, now: float) -> bool:
        """Whether it was heard of late, and after it said farewell."""
        heard = self.heard.get(name, -1e9)
        return now - heard < DEAD_S and heard >= self._left.get(name, -1e9)

    def _store_members(self) -> dict[str, Place]:
        """Place of each job store node that is known, by node#disk."""
        return {
            member(node, m["disk"]): Place(m["zone"], m["region"])
            for node, m in self.control.state.named("member").items()
            if m["role"] == "store"
        }

    # Members -------------------------------------------------------------------------------------

    async def _announce(self, link: Link, ask: Announce) -> Done | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        state, key = self.control.state, f"member/{ask.node}"
        value = {"role": ask.role, "address": ask.address, "zone": ask.zone, "region": ask.region, "disk": ask.disk}
        if state.get(key) == value:
            return await self._done_when_committed()
        others = [
            (f"member/{name}", b"")
            for name, m in state.named("member").items()
            if m["address"] == ask.address and name != ask.node
        ]
        if not await self.control.revise([*others, (key, json.dumps(value).encode())]):
            return Failure(Code.NOT_SYNCED, "not noted")
        log("member", member=member(ask.node, ask.disk), role=ask.role, address=ask.address)
        return Done()

    # The primary's work --------------------------------------------------------------------------

    def _office(self, primary: bool) -> None:
        if primary:
            self._settled_at = self.loop.time() + SETTLE_S
            now = self.loop.time()
            for node, known in self.control.state.named("member").items():
                self.heard[member(node, known["disk"])] = now
            for ident in self.control.state.named("server"):
                self.heard_servers[ident] = now

    async def _plan(self) -> None:
        last = self.loop.time()
        while True:
            await asyncio.sleep(PLAN_S)
            now = self.loop.time()
            if now - last > PLAN_S + STALL_S:
                self._settled_at = now + SETTLE_S
                log("stalled", node=self.settings.node, seconds=round(now - last, 2))
            last = now
            if self.control.is_primary:
                self._tell_core()
                if now >= self._settled_at:
                    self._plan_parts()
                    self._plan_servers()
                    self._plan_duties()
                    self._plan_members()

    def _tell_core(self) -> None:
        record = self.control.accepted
        assert record is not None
        value = {
            "registrars": sorted(w.address for w in record.witnesses),
            "primary": self.settings.address,
            "number": record.number,
        }
        if self.control.state.get("core") != value:
            self.control.revise([("core", json.dumps(value).encode())])

    def stores(self) -> Stores:
        living, places = self._living_stores(), self._store_members()
        # Another disk at the same name is another machine, and not meant.
        retiring = {member(node, r["disk"]) for node, r in self.control.state.named("retire").items()}
        now = self.loop.time()
        self._ending = {name: at for name, at in self._ending.items() if now - at < ENDING_S}
        retiring |= set(self._ending)
        return Stores({m: places[m] for m in sorted(living)}, frozenset(living & retiring))

    def _stores_when_settled(self) -> Stores | None:
        """None right after coming into office or a stall: who is dead isn't known yet."""
        return self.stores() if self.loop.time() >= self._settled_at else None

    def parts(self) -> dict[int, Part]:
        return {int(n): Part.read(raw) for n, raw in self.control.state.named("part").items()}

    def _plan_parts(self) -> None:
        stores, records = self.stores(), self.parts()
        now = self.loop.time()
        known = frozenset(stores.places)
        if known != self._stores:
            self._stores, self._stores_since = known, now
        if not records:
            patience = SETTLE_S if stores.attainable(self.limits) == self.limits else FULL_SPREAD_WAIT_S
            if now - self._stores_since > patience:
                self._revise_parts(planner.initial_records(PARTITIONS, self.limits, stores))
            return
        self._log_spread(stores)
        self._revise_parts(planner.plan(records, self.limits, stores, self._lost_now()))

    def _log_spread(self, stores: Stores) -> None:
        """Say so when the machines that live begin or end to allow less than is asked for."""
        attainable = stores.attainable(self.limits)
        if attainable != self._attainable:
            self._attainable = attainable
            short = attainable != self.limits
            level = "WARNING" if short else "INFO"
            log("spread", level=level, short=short, survive_zones=attainable.zones, survive_regions=attainable.regions)

    async def _part_lost(self, link: Link, told: PartLost) -> None:
        record = self.parts().get(told.part)
        if self.control.is_primary and record and record.epoch == told.epoch and told.member in record.members:
            self._lost[told.part, told.member] = self.loop.time()

    def _lost_now(self) -> dict[int, set[str]]:
        now, lost = self.loop.time(), dict[int, set[str]]()
        for (part, name), at in list(self._lost.items()):
            if now - at > DEAD_S:
                del self._lost[part, name]
            else:
                lost.setdefault(part, set()).add(name)
        return lost

    def _plan_servers(self) -> None:
        """Mark servers that no watcher hears: a hint for proxies, whose own evidence goes first."""
        now, patience = self.loop.time(), SILENT_BEATS * self.settings.heartbeat_s
        changes = []
        for ident, server in self.control.state.named("server").items():
            silent = now - self.heard_servers.setdefault(ident, now) > patience
            if silent != server.get("silent", False):
                changes.append((f"server/{ident}", json.dumps(server | {"silent": silent}).encode()))
                log("server_silent" if silent else "server_heard", server=ident)
        if changes:
            self.control.revise(changes)

    def _revise_parts(self, changes: dict[int, Part]) -> None:
        if changes:
            self.control.revise([(f"part/{n}", json.dumps(part.json()).encode()) for n, part in changes.items()])
            for n, part in changes.items():
                log(
                    "part",
                    part=n,
                    epoch=part.epoch,
                    primary=part.primary,
                    backups=",".join(part.backups),
                    joining=",".join(part.learners),
                )

    def _plan_members(self) -> None:
        """Forget machines that have long been silent and keep nothing; one that comes back announces itself anew."""
        now, state = self.loop.time(), self.control.state
        keeping = {m for part in self.parts().values() for m in (*part.members, *part.learners)}
        changes = []
        for node, m in state.named("member").items():
            name = member(node, m["disk"])
            patience = FRONT_GONE_S if m["role"] == "front" else MEMBER_GONE_S
            if name not in keeping and now - self.heard.setdefault(name, now) > patience:
                changes.append((f"member/{node}", b""))
                log("member_gone", member=name, role=m["role"])
        if changes:
            self.control.revise(changes)

    # Whose orders a server takes -------------------------------------------------------------------

    def _proxies(self) -> set[str]:
        """Nodes of the proxies that live."""
        now = self.loop.time()
        return {
            node
            for node, m in self.control.state.named("member").items()
            if m["role"] == "front" and now - self.heard.get(member(node, m["disk"]), -1e9) < DEAD_S
        }

    def _stayers(self) -> list[str]:
        """Those of them that are not about to end."""
        now = self.loop.time()
        self._leaving = {node: at for node, at in self._leaving.items() if now - at < self.settings.bounds.grace_s}
        return sorted(self._proxies() - set(self._leaving))

    def _plan_duties(self) -> None:
        """Each engine has one holder, a proxy that lives."""
        proxies, stayers = self._proxies(), self._stayers()
        servers, duties = self.control.state.named("server"), self.control.state.named("duty")
        changes = [(f"duty/{ident}", b"") for ident in duties if ident not in servers]
        for ident, server in servers.items():
            duty = duties.get(ident)
            if stayers and server["models"] and (duty is None or duty["holder"] not in proxies):
                changes.append(self._duty(ident, stayers, duty is not None, None))
        if changes:
            self.control.revise(changes)

    def _duty(self, ident: str, stayers: list[str], held: bool, ordered_s: float | None) -> tuple[str, bytes]:
        holder = max(stayers, key=lambda node: zlib.crc32(f"{ident} {node}".encode()))
        wait = takeover_s(self.settings.bounds.lease_s, ordered_s) if held else 0.0
        log("duty", server=ident, holder=holder, wait_ms=int(wait * 1000))
        return f"duty/{ident}", json.dumps({"holder": holder, "wait_ms": int(wait * 1000)}).encode()

    async def _release(self, link: Link, told: Release) -> Done | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        duty = self.control.state.get(f"duty/{told.server}")
        self._leaving[told.node] = self.loop.time()
        if not duty or duty["holder"] != told.node:
            return await self._done_when_committed()
        stayers = self._stayers()
        if not stayers:
            return Failure(Code.TOO_FEW_LEFT, "no other proxy")
        done = await self.control.revise([self._duty(told.server, stayers, True, told.ordered_ms / 1000)])
        return Done() if done else Failure(Code.NOT_SYNCED, "not noted")

    async def _done_when_committed(self) -> Done | Failure:
        """The answer to a call that has nothing left to change, once what it rests on can't be lost any more."""
        return Done() if await self.control.committed() else Failure(Code.NOT_SYNCED, "not at all copies")

    async def _loaded(self, link: Link, told: Loaded) -> Done | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        key = f"server/{told.server}"
        server = self.control.state.get(key)
        if not server:
            return await self._done_when_committed()
        models = [m | {"gen": max(told.gen, m["gen"])} if m["name"] == told.model else m for m in server["models"]]
        if models == server["models"]:
            return await self._done_when_committed()
        done = await self.control.revise([(key, json.dumps(server | {"models": models}).encode())])
        return Done() if done else Failure(Code.NOT_SYNCED, "not noted")

    async def _synced(self, link: Link, told: PartSynced) -> Done | Failure:
        if not self.control.is_primary:
            return Failure(Code.NOT_PRIMARY, self.control.primary_address)
        record = self.parts().get(told.part)
        if record is None or record.epoch != told.epoch:
            return Failure(Code.STALE_EPOCH, "another epoch")
        if told.member in record.learners:
            stores = self.stores().without(self._lost_now().get(told.part, set()) - {record.primary})
            new = planner.synced(record, told.member, self.limits, stores)
            self._revise_parts({told.part: new})
        return Done()


async def serve(settings: Settings) -> None:
    """Until SIGTERM."""
    assert settings.datadir is not None
    node = Node(settings, Endpoint())
    journal, records = open_journal(settings.datadir / JOURNAL)
    on_signals(node.stopping.set, node.reload)
    await ControllerNode(settings, node, journal).run(records)
