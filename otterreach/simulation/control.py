"""The controllers under faults: operators, trainers and servers call them, and what they promise is held against them.

Checked: one primary for each number; every acknowledged change is there when a primary comes into office; of changes
on one version one is taken; a refused or unsent configuration is never read; reads never go back behind what was
acknowledged; within one life no process' copy goes back; orders to a server have one holder at a time, with fences that
rise; in calm times changes are acknowledged, and reach all, in time.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from otterreach.controller.node import ControllerNode
from otterreach.controller.replication import Control
from otterreach.proxy.node import Proxy
from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1
from otterreach.simulation import client, faults
from otterreach.simulation.loop import Process
from otterreach.simulation.world import CTL, Box, World

SLAS = {"contactMs": 3000, "ackMs": 4000, "syncS": 4.5, "drainMs": 2000, "applyMs": 2000, "leaseMs": 3000}
CONTACT_S, ACK_S, APPLY_S = 3.0, 4.0, 2.0
LEASE_S, THAW_S, REUSE_S = 3.0, 0.3, 2.0
LOAD_S = (0.2, 1.5, 6.0)
SERVERS = 3
START_S = 8.0
RANKS = {"up": 0, "draining": 1}


async def controller(box: Box) -> None:
    node = box.new_node()
    journal = box.journal()
    records = journal.read()
    box.object = ControllerNode(node.settings, node, journal)  # type: ignore[arg-type]
    await box.object.run(records)


async def open_virtual(address: tuple[str, int], factory: Any) -> Any:
    """Takes the place of otterreach.sidecar.transport.open_tcp."""
    _, connection = await asyncio.get_running_loop().create_connection(factory, *address)
    return connection


async def proxy(box: Box) -> None:
    """A proxy: here it follows, and holds the duty of orders to servers."""
    node = box.new_node()
    box.object = Proxy(node, node.random, open_virtual)
    await node.start("front")
    await box.object.start()
    await node.stopping.wait()


class ModelServer:
    """A server of weights: takes orders, and holds them against what their senders have to keep to."""

    def __init__(self, scenario: Scenario, ident: str) -> None:
        self.scenario, self.ident = scenario, ident
        self.gen = max(1, scenario.history.models.get("m", 1))  # a new server has the newest
        self.calls = self.orders = 0
        self.busy_until = 0.0
        self.owners: dict[int, str] = {}  # by fence
        self.last = (0, "", -1e9)  # fence, owner, when

    async def handle(self, request: http1.Request) -> Reply:
        now = self.scenario.world.now
        if request.headers.get(b"expect-server", self.ident.encode()) != self.ident.encode():
            return Reply(421)
        if request.target == b"/report":
            report = {"models": [{"name": "m", "gen": self.gen}], "busy": now < self.busy_until, "calls": self.orders}
            return Reply(200, json.dumps(report).encode())
        order = json.loads(request.body)
        self._check(order["fence"], order["owner"], now)
        if order["gen"] <= self.gen:
            return Reply(200)
        if now < self.busy_until or order.get("expect", self.orders) != self.orders:
            return Reply(409)
        self.orders += 1
        took = self.scenario.random.choice(LOAD_S)
        self.busy_until = now + took
        asyncio.get_running_loop().call_later(took, self._loaded, order["gen"])
        return Reply(202)

    def _loaded(self, gen: int) -> None:
        self.gen = max(self.gen, gen)

    def _check(self, fence: int, owner: str, now: float) -> None:
        world, (last_fence, last_owner, at) = self.scenario.world, self.last
        if self.scenario.excused(owner):
            return
        known = self.owners.setdefault(fence, owner)
        world.expect(known == owner, "one holder", f"{known} and {owner} with {fence}")
        world.expect(fence >= last_fence, "fences rise", f"{fence} of {owner} after {last_fence} of {last_owner}")
        turns = owner != last_owner and now - at < LEASE_S
        world.expect(not turns, "holders take turns", f"{owner} {now - at:.2f} s after {last_owner}")
        self.last = (fence, owner, now)


@dataclass
class History:
    """What clients have seen of configurations. A version is (gen, name of its route)."""

    sent: dict[int, set[str]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    acked: dict[int, str] = field(default_factory=dict)  # by gen
    on_base: dict[int, str] = field(default_factory=dict)
    newest: int = 0
    models: dict[str, int] = field(default_factory=dict)
    servers: dict[str, str] = field(default_factory=dict)  # id -> up, draining, gone as acknowledged


class Scenario:
    """One run."""

    def __init__(self, world: World, controllers: int = 5, fronts: int = 3, operators: int = 2) -> None:
        self.world, self.history = world, History()
        self.random = Random(world.seed ^ 0xC0)
        for n in range(controllers):
            world.add(f"core-{n}", "core", n % 3, controller)
        for n in range(fronts):
            world.add(f"front-{n}", "front", n % 3, proxy)
        cores = world.of_role("core")
        world.seeds = [box.ip for box in cores[:3]]
        self.ctl = [f"{box.ip}:{CTL}" for box in cores]
        names = [box.name for box in cores]
        self.plan = faults.draw(
            Random(world.seed ^ 0xFA), names, [b.name for b in world.of_role("front")], world.survive
        )
        self.troubles: faults.Troubles
        self.primaries: dict[int, str] = {}
        self.acked_items: dict[str, int] = {}  # key -> rev
        self.ends: dict[str, int] = {}  # key -> rev of its last end, acknowledged or not
        self.seen: dict[tuple[str, int], dict[str, tuple[int, Any]]] = {}
        self.operators = operators
        self.stopping = False
        self.last_ack = world.now
        world.watch(self._summary, self._check_primaries, self._check_copies)

    # What is looked at after each step -----------------------------------------------------------

    def _controls(self) -> list[tuple[Box, Control]]:
        return [(box, box.object.control) for box in self.world.of_role("core") if box.up and box.object]

    def _summary(self) -> Any:
        rows = [(box.name, c.mode, c.promised, c.number) for box, c in self._controls()]
        numbers = sorted({n for row in rows for n in row[2:]})
        frozen = tuple(box.process.frozen for box in self.world.boxes.values() if box.process)
        shelves = tuple(box.node.store.rev if box.up and box.node else -1 for box in self.world.boxes.values())
        ranks = tuple((name, mode.value, numbers.index(p), numbers.index(n)) for name, mode, p, n in rows)
        order = sorted(set(shelves))
        return ranks, frozen, tuple(order.index(rev) for rev in shelves)

    def _check_primaries(self) -> None:
        for _, control in self._controls():
            if not control.is_primary:
                continue
            known = self.primaries.setdefault(control.number, control.id)
            self.world.expect(known == control.id, "one primary", f"{known} and {control.id} in {control.number}")

    def _check_copies(self) -> None:
        """Each process' copy of what matters only goes forward within one life."""
        for box in self.world.boxes.values():
            if not box.up or box.node is None:
                continue
            store = box.node.store
            seen = self.seen.setdefault((box.name, box.lives), {})
            config = store.items.get("config")
            if config and config.rev != seen.get("config", (0, 0))[0]:
                gen = json.loads(config.value)["gen"]
                old = seen.get("config", (0, 0))
                self.world.expect(gen >= old[1], "copy goes back", f"{box.name}: {gen} after {old[1]}")
                seen["config"] = (config.rev, gen)
            self._check_servers(box, seen)

    def _check_servers(self, box: Box, seen: dict[str, tuple[int, Any]]) -> None:
        assert box.node is not None
        for ident in self.history.servers:
            item = box.node.store.items.get(f"server/{ident}")
            if item is None or item.rev == seen.get(ident, (0, 0))[0]:
                continue
            rank = 2 if item.gone else RANKS[json.loads(item.value)["state"]]
            old = seen.get(ident, (0, 0))
            self.world.expect(rank >= old[1], "server comes back", f"{box.name}: {ident} {rank} after {old[1]}")
            seen[ident] = (item.rev, rank)

    # The run -------------------------------------------------------------------------------------

    async def play(self) -> None:
        world = self.world
        for box in world.boxes.values():
            world.plainly(self.random.uniform(0.0, 0.3), box.start)
        self._hook()
        works = [self._operate(n) for n in range(self.operators)]
        works += [self._train(), self._watch_reads()]
        people = [Process(f"caller-{n}", f"10.9.0.{n + 1}") for n in range(len(works))]
        for n in range(SERVERS):
            people.append(Process(f"server-{n}", f"10.8.0.{n + 1}"))
            works.append(self._serve(f"s-{n}", people[-1].address))
        tasks = [person.start(world.loop, work) for person, work in zip(people, works, strict=True)]
        await self._until(lambda: self.history.newest > 0, START_S, "first configuration")
        self.troubles = faults.Troubles(world, self.plan)
        start = world.now
        for begin, end in self.plan.calm:
            await asyncio.sleep(max(0.0, start + begin + CONTACT_S - world.now))
            await self._calm_ack(start + end)
        await asyncio.sleep(max(0.0, start + self.plan.end - world.now))
        self.stopping = True
        for task in tasks:
            await asyncio.wait([task], timeout=5.0)
        await self._final()

    def _hook(self) -> None:
        """Note what `revise` acknowledges, and hold it against each new primary."""
        scenario = self

        def revising(plain: Any) -> Any:
            def revise(control: Control, changes: Any) -> Any:
                changes = list(changes)
                future = plain(control, changes)
                items = control.state.items
                revs = {key: items[key].rev for key, _ in changes if key in items}
                scenario.ends |= {key: rev for key, rev in revs.items() if items[key].gone}
                future.add_done_callback(lambda done: scenario.noted(done, revs))
                return future

            return revise

        def becoming(plain: Any) -> Any:
            def become_primary(control: Control, installed: Any) -> None:
                plain(control, installed)
                if control.is_primary:
                    scenario.check_acked(control)

            return become_primary

        self.world.wrap(Control, "revise", revising)
        self.world.wrap(Control, "become_primary", becoming)

    def noted(self, done: asyncio.Future[bool], revs: dict[str, int]) -> None:
        if not done.cancelled() and done.result() is True:
            for key, rev in revs.items():
                self.acked_items[key] = max(self.acked_items.get(key, 0), rev)

    def excused(self, owner: str) -> bool:
        """Orders right after their sender was thawed, or a link healed, don't count."""
        return self.world.now - self.troubles_at(owner) < THAW_S

    def troubles_at(self, name: str) -> float:
        troubles = getattr(self, "troubles", None)
        return max(troubles.thawed.get(name, -1e9), troubles.healed) if troubles else -1e9

    def check_acked(self, control: Control) -> None:
        """Each acknowledged change is there, or a newer one; an end may have been collected."""
        for key, rev in self.acked_items.items():
            item = control.state.items.get(key)
            collected = item is None and rev <= self.ends.get(key, 0) <= control.state.collected
            self.world.expect(
                collected or item and item.rev >= rev,
                "acknowledged is gone",
                f"{key} {rev} at {control.settings.node} in {control.number}",
            )

    async def _until(self, holds: Any, within_s: float, what: str) -> None:
        end = self.world.now + within_s
        while not holds():
            if self.world.now > end:
                self.world.expect(False, "in time", f"{what}: not within {within_s:.1f} s")
                return
            await asyncio.sleep(0.05)

    async def _calm_ack(self, end: float) -> None:
        """In touch: a change is acknowledged within ackMs, and reaches every process within applyMs."""
        acked = self.history.newest
        await self._until(lambda: self.history.newest > acked, ACK_S, "an acknowledgement in calm times")
        newest = self.history.newest
        await asyncio.sleep(APPLY_S)
        if self.world.now > end:
            return
        for box in self.world.boxes.values():
            config = box.node.store.get("config") if box.node else None
            gen = config["gen"] if config else 0
            self.world.expect(gen >= newest, "brought to all", f"{box.name} has {gen}, acknowledged is {newest}")

    async def _final(self) -> None:
        for address in self.ctl:
            response = await client.ask(address, "GET", "/config")
            if response is not None and response.status == 200:
                self._read(response, self.history.newest)
                break
        else:
            self.world.expect(False, "in time", "no configuration read at the end")
        primaries = [c for _, c in self._controls() if c.is_primary]
        self.world.expect(len(primaries) == 1, "in time", f"{len(primaries)} primaries at the end")
        for control in primaries:
            self.check_acked(control)
            for model, gen in self.history.models.items():
                have = (control.state.get(f"version/{model}") or {"gen": 0})["gen"]
                self.world.expect(have >= gen, "acknowledged is gone", f"version {gen} of {model}, {have} is there")
            for ident, state in self.history.servers.items():
                known = control.state.get(f"server/{ident}")
                rank = 2 if known is None else RANKS[known["state"]]
                least = {"": 0, "up": 0, "draining": 1, "gone": 2}[state]
                self.world.expect(rank >= least, "acknowledged is gone", f"server {ident} {state}: {known}")

    # Callers -------------------------------------------------------------------------------------

    def _pick(self) -> str:
        return self.random.choice(self.ctl)

    async def _operate(self, number: int) -> None:
        """One operator: a change on top of the newest version that it knows, again until the answer is clear."""
        base = 0
        count = 0
        while not self.stopping:
            count += 1
            gen, name = base + self.random.randint(1, 3), f"op{number}-{count}"
            base = await self._change(base, gen, name) or await self._look() or base
            await asyncio.sleep(self.random.choice([0.01, 0.3, 1.0]))

    async def _watch_reads(self) -> None:
        while not self.stopping:
            await self._look()
            await asyncio.sleep(0.1)

    async def _change(self, base: int, gen: int, name: str) -> int:
        """The version that is in place by it; 0: refused, or nothing is clear."""
        history = self.history
        route = {"name": name, "host": "h.example", "prefix": "/p/", "kind": "idem", "timeoutMs": 1, "backend": "b"}
        body = json.dumps({"gen": gen, "routes": [route], "backends": [{"name": "b"}]}).encode()
        history.sent.setdefault(gen, set()).add(name)
        while not self.stopping:
            response = await client.ask(self._pick(), "PUT", "/config", body, {b"If-Match": str(base).encode()})
            status = response.status if response else 0
            if status == 200:
                self._took(base, gen, name)
                return gen
            if status in (400, 412):
                self.world.expect(history.acked.get(gen) != name, "refused after acknowledged", f"{gen} {name}")
                history.refused.add(name)
                return 0
            await asyncio.sleep(self.random.uniform(0.05, 0.4))
        return 0

    def _took(self, base: int, gen: int, name: str) -> None:
        history = self.history
        other = history.on_base.setdefault(base, name)
        self.world.expect(other == name, "two on one version", f"{other} and {name} on {base}")
        self.world.expect(history.acked.setdefault(gen, name) == name, "two of one number", f"{gen}")
        history.newest = max(history.newest, gen)
        self.last_ack = self.world.now

    async def _look(self) -> int:
        least = self.history.newest
        response = await client.ask(self._pick(), "GET", "/config")
        return self._read(response, least) if response is not None and response.status == 200 else 0

    def _read(self, response: http1.Response, least: int) -> int:
        history = self.history
        config = json.loads(response.body)
        gen, name = config["gen"], config["routes"][0]["name"]
        self.world.expect(gen >= least, "read goes back", f"{gen}, though {least} was acknowledged before")
        self.world.expect(name in history.sent.get(gen, ()), "read what was never sent", f"{gen} {name}")
        self.world.expect(name not in history.refused, "read what was refused", f"{gen} {name}")
        self.world.expect(history.acked.get(gen, name) == name, "two of one number", f"{gen} {name}")
        return int(gen)

    async def _train(self) -> None:
        gen = 1
        while not self.stopping:
            gen += 1
            body = json.dumps({"model": "m", "gen": gen}).encode()
            while not self.stopping:
                response = await client.ask(self._pick(), "POST", "/version-put", body)
                if response is not None and response.status == 200:
                    self.history.models["m"] = gen
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))

    async def _serve(self, prefix: str, address: str) -> None:
        """One server after the other at an address: up, draining, gone."""
        count = 0
        while not self.stopping:
            count += 1
            await self._live(f"{prefix}-{count}", address)
            await asyncio.sleep(REUSE_S)

    async def _live(self, ident: str, address: str) -> None:
        self.history.servers[ident] = ""
        server = ModelServer(self, ident)
        port = JsonServer(server.handle)
        await port.listen(address, 80)
        for state in ["up"] * self.random.choice([1, 3, 8, 20]) + ["draining"]:
            if not await self._beat(ident, f"{address}:80", state, server):
                return
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        while not self.stopping:
            response = await client.ask(self._pick(), "DELETE", f"/servers/{ident}")
            if response is not None and response.status == 200:
                self.history.servers[ident] = "gone"
                break
            await asyncio.sleep(0.2)
        port.stop()
        for caller in list(port.callers):
            caller.abort()

    async def _beat(self, ident: str, address: str, state: str, server: ModelServer) -> bool:
        server.calls += 1
        value = {
            "backend": "b",
            "addr": address,
            "az": "hall-a",
            "gen": "v1",
            "cap": 4,
            "state": state,
            "warmLeftMs": 0,
            "models": [{"name": "m", "gen": server.gen, "loras": []}],
            "calls": server.calls,
        }
        while not self.stopping:
            response = await client.ask(self._pick(), "PUT", f"/servers/{ident}", json.dumps(value).encode())
            if response is not None and response.status == 200:
                self.history.servers[ident] = state
                return True
            await asyncio.sleep(0.2)
        return False


def run(seed: int, plan: faults.Plan | None = None) -> tuple[World, faults.Plan]:
    """Play one seed, with its own plan of faults or another one."""
    world = World(seed, slas=SLAS)
    scenario = Scenario(world)
    if plan is not None:
        scenario.plan = plan
    world.run(scenario.play)
    return world, scenario.plan
