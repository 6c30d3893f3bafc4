"""An HTTP client on the virtual network, which opens a connection for each call, as operator tools do."""

from __future__ import annotations

import asyncio

from otterreach.sidecar import http1


class _ResponseProtocol(asyncio.Protocol):
    """Sends one request and receives its response."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.done: asyncio.Future[http1.Response | None] = asyncio.get_running_loop().create_future()
        self._parser = http1.ResponseParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self.data)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes of the response."""
        response = self._parser.feed(data)
        if response is not None and not self.done.done():
            self.done.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call without a response, unless it is complete."""
        if not self.done.done():
            self.done.set_result(None)


async def ask(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[bytes, bytes] | None = None,
    timeout_s: float = 1.0,
) -> http1.Response | None:
    """Return the response, or None after a time-out, refusal or reset: the request may still have been processed."""
    host, _, port = address.rpartition(":")
    request = http1.Request(method.encode(), path.encode(), {}, body, True)
    data = http1.encode_request(request, address.encode(), headers or {})
    transport = None
    try:
        async with asyncio.timeout(timeout_s):
            loop = asyncio.get_running_loop()
            transport, protocol = await loop.create_connection(lambda: _ResponseProtocol(data), host, int(port))
            return await protocol.done
    except (OSError, TimeoutError):
        return None
    finally:
        if transport is not None:
            transport.abort()
