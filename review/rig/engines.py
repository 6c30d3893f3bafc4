"""A sound model server that streams tokens as events, and a scorer; stand-ins as the pages describe them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from rig import http
from rig.servers import Server


@dataclass
class EngineServer(Server):
    """Streams `events` events of `event_bytes` each, and goes on at `Last-Event-Id` where one is given."""

    events: int = 20
    event_bytes: int = 280
    event_s: float = 0.04

    async def work(self, request: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run an item, or turn it away if the server is full."""
        ident = request.headers["request-id"]
        if self.running >= self.cap or self.busy:
            self.answer(request, writer, "503 Service Unavailable", {"Not-Run": "1"})
            return
        model = request.headers.get("model", "")
        expected = request.headers.get("expect-version")
        if expected is not None and int(expected) != self.models.get(model):
            self.answer(request, writer, "421 Misdirected Request", {"Server-Id": self.ident})
            return
        self.begin(ident)
        self.running += 1
        try:
            await self._stream(request, writer, ident, model)
        finally:
            self.running -= 1

    async def _stream(self, request: http.Message, writer: asyncio.StreamWriter, ident: str, model: str) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {ident}",
            f"Reply-Seal: {self.seal(ident)}",
            f"Weight-Versions: {self.models[model]}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.piece(ident, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def piece(self, ident: str, number: int) -> str:
        """Return the data of one event, the same at every server."""
        return f"{ident}.{number}.".ljust(self.event_bytes, "x")
