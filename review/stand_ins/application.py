"""An application server as PROTOCOL.md describes it: slots, a short queue, `Not-Run` when it is full, and an id."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from stand_ins.platform import ZONES, System
from stand_ins.record import Record
from stand_ins.wire import Headers, Message, call_json, encode, read_message

HEARTBEAT_S = 1.2
PORT = 8080


class ApplicationServer:
    """One server of a service. `spoils` tells for each answer whether an extra copy of it is sent late."""

    def __init__(
        self, name: str, ip: str, record: Record, chance: random.Random, spoils: Callable[[], bool] = lambda: False
    ) -> None:
        self.id = f"i-{chance.getrandbits(40):010x}"
        self.name = name
        self.address = f"{ip}:{PORT}"
        self.record = record
        self.chance = chance
        self.spoils = spoils
        self.slots = 2
        self.places = 4  # slots and queue
        self.work_s = 0.03
        self.taken = 0
        self.runs: dict[str, int] = {}
        self.answers = 0
        self.extra = 0
        self._slot = asyncio.Semaphore(self.slots)
        self._calls = 0

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._connection, host, int(port))
        async with server:
            await server.serve_forever()

    async def register(self, system: System, service: str) -> None:
        """Send heartbeats until cancelled, each to the next machine that acknowledges it."""
        turn = 0
        while True:
            self._calls += 1
            document = {
                "backend": service,
                "addr": self.address,
                "az": ZONES[0],
                "gen": "v1",
                "cap": self.slots,
                "state": "up",
                "warmLeftMs": 0,
                "calls": self._calls,
            }
            answer = await call_json(system.ctl[turn % len(system.ctl)], "PUT", f"/servers/{self.id}", document)
            if answer is None or answer.status >= 300:
                turn += 1
                await asyncio.sleep(0.1)
            else:
                await asyncio.sleep(HEARTBEAT_S)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late = b""  # the extra copy of an answer, sent in the place of the next one
        with suppress(OSError):
            while (request := await read_message(reader)) is not None:
                if late:
                    self.record.add("extra", server=self.name, before=request.headers.get("request-id", ""))
                    writer.write(late)
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
                self.answers += 1
                late = answer if self.spoils() else b""
                self.extra += bool(late)
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        ident = request.headers.get("request-id", "")
        common: Headers = {"Request-Id": ident, "Server-Id": self.id}
        if request.headers.get("expect-server", self.id) != self.id:
            return encode("HTTP/1.1 421 Misdirected Request", common)
        if self.taken >= self.places:
            self.record.add("full", server=self.name, id=ident)
            return encode("HTTP/1.1 503 Service Unavailable", {**common, "Not-Run": "1"})
        self.taken += 1
        try:
            async with self._slot:
                self.runs[ident] = self.runs.get(ident, 0) + 1
                self.record.add("run", server=self.name, id=ident)
                await asyncio.sleep(self.work_s * self.chance.uniform(0.5, 1.5))
        finally:
            self.taken -= 1
        return encode("HTTP/1.1 200 OK", {**common, "Reply-Seal": f"s.{ident}"}, b"done")
