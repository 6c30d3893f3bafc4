"""HTTP/1.1 as far as the stand-ins need it: read a message, write a message, make a call."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field

Headers = dict[str, str]
MAX_HEAD_BYTES = 64 * 1024


@dataclass(slots=True)
class Message:
    """A request or an answer: its first line, its headers with names in lower case, and its body."""

    first: str
    headers: Headers = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return Message(first, headers, await _read_body(reader, headers))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def _read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).strip() or b"0", 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def encode(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message with Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(address: str, data: bytes, timeout_s: float) -> Message | None:
    """Send a request on a new connection and return the answer; None after a failure or a time-out."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()


async def call_json(
    address: str, method: str, path: str, document: object = None, headers: Headers | None = None
) -> Message | None:
    """Make a call with a JSON body to an address of the system, and wait a second for its answer."""
    body = b"" if document is None else json.dumps(document).encode()
    fields = {"Host": address, "Content-Type": "application/json", **(headers or {})}
    return await exchange(address, encode(f"{method} {path} HTTP/1.1", fields, body), 1.0)
