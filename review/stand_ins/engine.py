"""A model server as PROTOCOL.md describes it: it runs items of batch jobs as streams of events, in a few slots."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from stand_ins.record import Record
from stand_ins.wire import Message, encode, read_message

EVENTS = 5
EVENT_S = 0.1
QUEUE = 6


class Engine:
    """One model server. `finished`: the ids of the items whose whole output it has sent."""

    def __init__(self, ident: str, address: str, model: str, slots: int, record: Record) -> None:
        self.id = ident
        self.address = address
        self.model = model
        self.slots = slots
        self.record = record
        self.taken = 0
        self.begun: set[str] = set()  # ids of the items that have run
        self.last_at: dict[str, float] = {}  # by item: when it was last at this server, waiting or running
        self.half_full_at = 0.0  # when half of the slots or more were last taken
        self.finished: set[str] = set()
        self._slot = asyncio.Semaphore(slots)

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._connection, host, int(port))
        async with server:
            await server.serve_forever()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        common = {"Request-Id": request.headers.get("request-id", ""), "Server-Id": self.id}
        if request.headers.get("expect-server", self.id) != self.id:
            self.record.add("other", expected=request.headers.get("expect-server", ""))
            writer.write(encode("HTTP/1.1 421 Misdirected Request", common))
        elif request.first.startswith("GET /report"):
            writer.write(encode("HTTP/1.1 200 OK", common, json.dumps(self._report()).encode()))
        elif self.taken >= self.slots + QUEUE:
            writer.write(encode("HTTP/1.1 503 Service Unavailable", {**common, "Not-Run": "1"}))
        else:
            self.taken += 1
            try:
                async with self._slot:
                    await self._run(request, writer)
            finally:
                self.last_at[request.headers.get("request-id", "")] = self.record.now()
                if 2 * self.taken >= self.slots:
                    self.half_full_at = self.record.now()
                self.taken -= 1

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        item = request.headers.get("request-id", "")
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.record.add("run", server=self.id, item=item, first=first)
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {item}",
            f"Reply-Seal: s.{item}",
            "Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        self.begun.add(item)
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {item}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.finished.add(item)

    def _report(self) -> dict[str, object]:
        models = [{"name": self.model, "gen": 1, "loras": []}]
        return {"stage": "both", "models": models, "busy": False, "calls": 0, "queued": 0, "running": self.taken}
