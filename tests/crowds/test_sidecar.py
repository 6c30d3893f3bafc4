"""Crowds at the sidecar's listener."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from otterreach.sidecar.config import Address
from tests.crowds.clients import BODIES, LAST_CHUNK, Crowd, Kind, OpenCrowd, chunked, with_length
from tests.crowds.deployments import ANSWERED_WITHIN_S, RETRY_S, SERVED
from tests.crowds.observed import Observer
from tests.sidecar.net import Discovery, Endpoint, exchange, member, raw_call, write_config
from tests.sidecar.test_program import free_port

pytestmark = pytest.mark.crowd
MEMORY_MIB = 48
SOCKETS = 1024
CLIENTS = 400
MANY_CLIENTS = 1200
BODY_BYTES = 64 * 1024  # largest legal body
HOLD_S = 1.0
HOST = "127.14.0.1"
HEAD = "POST /once/00ab HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: crowd-{n}\r\nX-Customer: acme\r\n"


@asynccontextmanager
async def sidecar(folder: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    """Run a sidecar with one endpoint."""
    async with Discovery().serve() as discovery, Endpoint().serve() as endpoint:
        address = Address(HOST, free_port())
        listen = f"{address.host}:{address.port}"
        env = write_config(folder, discovery.address, [member("s-0", endpoint.address)], listen)
        file = Path(env["LB_CONFIG"])
        raw = json.loads(file.read_text())
        raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MIB, "sockets": SOCKETS}
        file.write_text(json.dumps(raw))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "otterreach.sidecar", env=env, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            yield process, address
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def call_until_served(address: Address) -> None:
    """Repeat an ordinary call until it is served; fail if it never is."""
    loop = asyncio.get_running_loop()
    end = loop.time() + ANSWERED_WITHIN_S
    seen: list[str] = []
    while loop.time() < end:
        try:
            async with asyncio.timeout(RETRY_S * 20):
                answer = await exchange(address, raw_call(trace=f"ordinary-{len(seen)}"))
            if answer.status == SERVED:
                return
            seen.append(str(answer.status))
        except (OSError, EOFError, TimeoutError) as error:
            seen.append(type(error).__name__)
        await asyncio.sleep(RETRY_S)
    raise AssertionError(f"an ordinary call was never served: {seen}")


@pytest.mark.parametrize("kind", BODIES)
def test_clients(kind: Kind, tmp_path: Path) -> None:
    async def main() -> None:
        async with sidecar(tmp_path) as (process, address):
            await call_until_served(address)
            open_crowd = OpenCrowd()
            try:
                async with Observer(process.pid, HOST) as observer:
                    await open_crowd.send(Crowd(kind, CLIENTS, BODY_BYTES, HEAD), address)
                    await asyncio.sleep(HOLD_S)
                    await call_until_served(address)
            finally:
                open_crowd.close()
            print(f"sidecar: {observer}")
            observer.check(MEMORY_MIB, SOCKETS)

    asyncio.run(main())


def test_many_connections(tmp_path: Path) -> None:
    """More clients with the beginning of a request than the sidecar may have sockets."""

    async def main() -> None:
        async with sidecar(tmp_path) as (process, address):
            await call_until_served(address)
            open_crowd = OpenCrowd()
            try:
                async with Observer(process.pid, HOST) as observer:
                    await open_crowd.send(Crowd(Kind.UNFINISHED_HEAD, MANY_CLIENTS, BODY_BYTES, HEAD), address)
                    await asyncio.sleep(HOLD_S)
                    await call_until_served(address)
            finally:
                open_crowd.close()
            print(f"sidecar: {observer}")
            observer.check(MEMORY_MIB, SOCKETS)

    asyncio.run(main())


@pytest.mark.parametrize("chunk", [0, 1, 2, BODY_BYTES])
def test_a_single_request_is_served_in_calm(chunk: int, tmp_path: Path) -> None:
    """The largest legal body, whole (0) or in chunks of this size."""

    async def main() -> None:
        async with sidecar(tmp_path) as (process, address):
            await call_until_served(address)
            head = HEAD.replace("{n}", "calm")
            if chunk:
                cuts = BODY_BYTES // chunk
                body = b"".join([b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)] * cuts) + LAST_CHUNK
                data = chunked(head) + body
            else:
                data = with_length(head, BODY_BYTES) + b"x" * BODY_BYTES
            async with Observer(process.pid, HOST) as observer:
                answer = await exchange(address, data)
            assert answer.status == SERVED
            observer.check(MEMORY_MIB, SOCKETS)

    asyncio.run(main())
