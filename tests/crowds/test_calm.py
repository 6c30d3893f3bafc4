"""A single request inside the limits is served in calm, and the processes stay within their limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from otterreach.loadtest.plan import HOST
from tests.crowds.clients import LAST_CHUNK, MIB, chunked, with_length
from tests.crowds.deployments import (
    ACCEPTED,
    ANSWERED_WITHIN_S,
    BODY_BYTES,
    NOFILE,
    RAM_MIB,
    SERVED,
    Deployment,
    batch_job,
    deployment,
    plan,
    response_status,
)

pytestmark = pytest.mark.crowd
# The smallest machine of a proxy and the largest body on our pages.
PAGES_RAM_MIB = 200
PAGES_BODY_BYTES = 32 * MIB
WRITE_BYTES = 256 * 1024
Framing = Callable[[str, bytes], Iterator[bytes]]


def whole(head: str, body: bytes) -> Iterator[bytes]:
    yield with_length(head, len(body))
    yield from slices(body, WRITE_BYTES)


def one_chunk(head: str, body: bytes) -> Iterator[bytes]:
    yield chunked(head) + b"%x\r\n" % len(body)
    yield from slices(body, WRITE_BYTES)
    yield b"\r\n" + LAST_CHUNK


def tiny_chunks(size: int) -> Framing:
    def framing(head: str, body: bytes) -> Iterator[bytes]:
        yield chunked(head)
        for part in slices(body, WRITE_BYTES // 8):
            yield b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in slices(part, size))
        yield LAST_CHUNK

    return framing


def slices(body: bytes, size: int) -> Iterator[bytes]:
    for offset in range(0, len(body), size):
        yield body[offset : offset + size]


FRAMINGS: dict[str, Framing] = {"whole": whole, "one_chunk": one_chunk, "by_1": tiny_chunks(1), "by_2": tiny_chunks(2)}
PREFIXES = {"/lookup/": SERVED, "/book/": SERVED, "/samples/": ACCEPTED}


async def send(system: Deployment, parts: Iterator[bytes]) -> int:
    """Send one request and return the status of its answer, 0 without one."""
    reader, writer = await asyncio.open_connection(*system.front)
    data = b""
    try:
        async with asyncio.timeout(ANSWERED_WITHIN_S):
            for part in parts:
                writer.write(part)
                await writer.drain()
            while not response_status(data):
                received = await reader.read(WRITE_BYTES)
                if not received:
                    break
                data += received
    finally:
        writer.transport.abort()
    return response_status(data)


async def check(folder: Path, prefix: str, framing: str, ram_mib: int, body_bytes: int) -> None:
    body = batch_job(body_bytes) if prefix == "/samples/" else b"x" * body_bytes
    head = f"POST {prefix}one HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: one\r\n"
    async with deployment(folder, plan(ram_mib, body_bytes)) as system:
        async with system.observe("front") as front, system.observe("store") as store:
            status = await send(system, FRAMINGS[framing](head, body))
        print(f"front: {front}; store: {store}")
        assert status == PREFIXES[prefix]
        front.check(ram_mib, NOFILE)


@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_single_request(framing: str, prefix: str, tmp_path: Path) -> None:
    asyncio.run(check(tmp_path, prefix, framing, RAM_MIB, BODY_BYTES))


@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("framing", ["whole", "one_chunk"])
def test_a_single_request_at_the_limits_of_the_pages(framing: str, prefix: str, tmp_path: Path) -> None:
    asyncio.run(check(tmp_path, prefix, framing, PAGES_RAM_MIB, PAGES_BODY_BYTES))
