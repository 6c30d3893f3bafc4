"""A small HTTP/1.1 reader and client on asyncio streams, for stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer: the first line, the headers in lower case, and the body read so far."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def status(self) -> int:
        """The status of an answer; 0 if there is none."""
        words = self.first.split(" ")
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the first line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message, with a length or in chunks; `complete` tells whether all of it came."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                message.body += data[:-2]
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
        message.complete = True
    except (asyncio.IncompleteReadError, ValueError, OSError):
        message.complete = False


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a request. The headers name the host."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Message | None:
    """Make one call on a new connection; None if there is no complete answer in time."""
    name, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(request_bytes(method, path, {"Host": address} | (headers or {}), body))
            await writer.drain()
            answer = await read_head(reader)
            if answer is not None and answer.status not in (204, 304):
                await read_body(reader, answer)
            return answer if answer is not None and answer.complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
