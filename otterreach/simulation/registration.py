"""Servers that register with the controllers, and a trainer that publishes model versions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from otterreach.runtime.http import JsonServer
from otterreach.simulation.history import History
from otterreach.simulation.model_server import ModelServer
from otterreach.simulation.operators import Caller

RETRY_S = 0.2
REUSE_S = 2.0  # before another server uses the address
MODEL = "m"
HEARTBEAT_COUNTS = (1, 3, 8, 20)

NewServer = Callable[[str], ModelServer]


async def train(caller: Caller, history: History, stopping: Callable[[], bool]) -> None:
    """Publish one version after the other."""
    gen = 1
    while not stopping():
        gen += 1
        body = json.dumps({"model": MODEL, "gen": gen}).encode()
        while not stopping():
            response = await caller.ask("POST", "/version-put", body)
            if response is not None and response.status == 200:
                history.models[MODEL] = gen
                break
            await asyncio.sleep(RETRY_S)
        await asyncio.sleep(caller.random.uniform(0.5, 3.0))


class ServerAddress:
    """Runs one server after the other at an address, each through the states up, draining and gone."""

    def __init__(
        self,
        prefix: str,
        address: str,
        caller: Caller,
        history: History,
        new_server: NewServer,
        stopping: Callable[[], bool],
    ) -> None:
        self.prefix = prefix
        self.address = address
        self.caller = caller
        self.history = history
        self.new_server = new_server
        self.stopping = stopping

    async def run(self) -> None:
        """Register one server after the other at this address."""
        count = 0
        while not self.stopping():
            count += 1
            await self._run_server(f"{self.prefix}-{count}")
            await asyncio.sleep(REUSE_S)

    async def _run_server(self, ident: str) -> None:
        self.history.servers[ident] = ""
        server = self.new_server(ident)
        listener = JsonServer(server.handle)
        await listener.listen(self.address, 80)
        random = self.caller.random
        for state in ["up"] * random.choice(HEARTBEAT_COUNTS) + ["draining"]:
            if not await self._send_heartbeat(state, server):
                return
            await asyncio.sleep(random.uniform(0.2, 1.2))
        await self._remove(ident)
        listener.stop()
        for connection in list(listener.callers):
            connection.abort()

    async def _remove(self, ident: str) -> None:
        while not self.stopping():
            response = await self.caller.ask("DELETE", f"/servers/{ident}")
            if response is not None and response.status == 200:
                self.history.servers[ident] = "gone"
                return
            await asyncio.sleep(RETRY_S)

    async def _send_heartbeat(self, state: str, server: ModelServer) -> bool:
        server.calls += 1
        value = {
            "backend": "b",
            "addr": f"{self.address}:80",
            "az": "hall-a",
            "gen": "v1",
            "cap": 4,
            "state": state,
            "warmLeftMs": 0,
            "models": [{"name": MODEL, "gen": server.gen, "loras": []}],
            "calls": server.calls,
        }
        while not self.stopping():
            response = await self.caller.ask("PUT", f"/servers/{server.ident}", json.dumps(value).encode())
            if response is not None and response.status == 200:
                self.history.servers[server.ident] = state
                return True
            await asyncio.sleep(RETRY_S)
        return False
