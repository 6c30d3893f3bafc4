"""A client that does not read its answer is aborted, also if the connection closes after it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from unittest import mock

import pytest

from otterreach.proxy import client_connection
from otterreach.proxy.client_connection import Client
from otterreach.proxy.ingress import Ingress
from otterreach.runtime import http
from otterreach.runtime.configuration import Caps
from otterreach.runtime.http import JsonServer, Reply
from otterreach.sidecar import http1
from tests.sidecar.net import limited, until

ANSWER = b"x" * (32 * 1024 * 1024)  # more than the kernel takes
REQUESTS = {
    "close": b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "keep_alive": b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
}


@pytest.fixture(autouse=True)
def short_timeouts() -> Iterator[None]:
    with (
        mock.patch.object(client_connection, "UNREAD_TIMEOUT_S", 0.3),
        mock.patch.object(http, "UNREAD_TIMEOUT_S", 0.3),
        mock.patch.object(http, "IDLE_TIMEOUT_S", 0.3),
    ):
        yield


@pytest.mark.parametrize("request_bytes", REQUESTS.values(), ids=REQUESTS)
@limited
async def test_at_a_proxy(request_bytes: bytes) -> None:
    answered = asyncio.Event()

    async def handle(request: http1.Request, client: Client) -> None:
        client.respond(200, {}, ANSWER)
        answered.set()

    ingress = Ingress(handle, Caps)
    port = await ingress.listen("127.0.0.1", 0)
    sweeping = asyncio.ensure_future(ingress.sweep())
    with socket.create_connection(("127.0.0.1", port)) as theirs:
        theirs.sendall(request_bytes)
        await answered.wait()
        assert ingress.clients
        await until(lambda: not ingress.clients)
    assert ingress.budget.used_bytes == 0
    sweeping.cancel()
    await ingress.shut_down(0.0, 1.0)


@pytest.mark.parametrize("request_bytes", REQUESTS.values(), ids=REQUESTS)
@limited
async def test_at_a_server_for_json_calls(request_bytes: bytes) -> None:
    answered = asyncio.Event()

    async def handle(request: http1.Request) -> Reply:
        answered.set()
        return Reply(200, ANSWER)

    server = JsonServer(handle)
    port = await server.listen("127.0.0.1", 0)
    with socket.create_connection(("127.0.0.1", port)) as theirs:
        theirs.sendall(request_bytes)
        await answered.wait()
        assert server.callers
        await until(lambda: not server.callers)
    assert server.budget.used_bytes == 0
    server.stop()
