"""HTTP calls for operators, model servers and trainers: one connection per call, fail-over to another address."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from urllib.parse import urlsplit

from otterreach.runtime.codes import Code, Failure
from otterreach.sidecar import http1

Headers = dict[bytes, bytes]
Ask = Callable[..., Awaitable["http1.Response | Failure"]]
BOUNDS = http1.Bounds(body=64 * 1024 * 1024, head=64 * 1024)
ANSWER_TIMEOUT_S = 1.0  # of one attempt, plus the body's length / BYTES_PER_S; then another address is called
BYTES_PER_S = 4e6
MAX_REDIRECTS = 2
BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
RETRIED_STATUSES = (408, 429)  # in addition to every 5xx


class _ResponseProtocol(asyncio.Protocol):
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.done: asyncio.Future[http1.Response | None] = asyncio.get_running_loop().create_future()
        self._parser = http1.ResponseParser(bounds=BOUNDS)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self.data)

    def data_received(self, data: bytes) -> None:
        """Parse the received part of the response."""
        response = self._parser.feed(data)
        if (response is not None or self._parser.broken) and not self.done.done():
            self.done.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call; the close of the connection completes a response without a length."""
        self._parser.close()
        if not self.done.done():
            self.done.set_result(None)


async def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout_s: float = ANSWER_TIMEOUT_S,
    host: str = "",
) -> http1.Response | Failure:
    """Make one call to host:port. After TIMED_OUT and CLOSED, the call may or may not have been executed."""
    name, _, port = address.rpartition(":")
    request = http1.Request(method.encode(), path.encode(), {}, body, True)
    data = http1.encode_request(request, (host or address).encode(), headers or {})
    transport: asyncio.BaseTransport | None = None
    try:
        async with asyncio.timeout(timeout_s):
            loop = asyncio.get_running_loop()
            transport, answer = await loop.create_connection(lambda: _ResponseProtocol(data), name, int(port))
            response = await answer.done
    except TimeoutError:
        code = Code.UNREACHABLE if transport is None else Code.TIMED_OUT
        return Failure(code, f"{address}: no answer within {timeout_s:g} s")
    except (OSError, ValueError) as error:
        return Failure(Code.UNREACHABLE, f"{address}: {type(error).__name__}")
    finally:
        if isinstance(transport, asyncio.Transport):
            transport.abort()
    return response if response is not None else Failure(Code.CLOSED, f"{address}: incomplete or malformed response")


def _is_retried(answer: http1.Response | Failure) -> bool:
    return isinstance(answer, Failure) or answer.status >= 500 or answer.status in RETRIED_STATUSES


class Caller:
    """Calls any available one of several ctl addresses."""

    def __init__(self, addresses: Sequence[str], random: Random | None = None, asking: Ask = send_request) -> None:
        self.addresses = list(addresses)
        self.random = random or Random()
        self._ask = asking

    async def call(
        self, method: str, path: str, body: bytes = b"", headers: Headers | None = None, within_s: float = 10.0
    ) -> http1.Response | Failure:
        """Return the first conclusive answer; else the last Failure, or TIMED_OUT if an attempt may have succeeded."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        delay_s = BACKOFF_S
        outcome_unknown = False
        shuffled = self.random.sample(self.addresses, len(self.addresses))
        if not shuffled:
            return Failure(Code.UNREACHABLE, "no address given")
        attempt = 0
        while True:
            answer = await self._follow(shuffled[attempt % len(shuffled)], method, path, body, headers)
            if not _is_retried(answer):
                return answer
            outcome_unknown = outcome_unknown or not isinstance(answer, Failure) or answer.maybe_done
            if loop.time() + delay_s > deadline:
                break
            await asyncio.sleep(delay_s * (0.5 + self.random.random() / 2))
            attempt = attempt + 1
            delay_s = min(MAX_BACKOFF_S, delay_s * 1.6)
        if isinstance(answer, Failure) and (not outcome_unknown or answer.maybe_done):
            return answer
        status = "" if isinstance(answer, Failure) else f"; last status: {answer.status}"
        return Failure(Code.TIMED_OUT, f"no conclusive answer within {within_s:g} s{status}")

    async def _follow(
        self, address: str, method: str, path: str, body: bytes, headers: Headers | None
    ) -> http1.Response | Failure:
        timeout_s = ANSWER_TIMEOUT_S + len(body) / BYTES_PER_S
        for _ in range(MAX_REDIRECTS + 1):
            answer = await self._ask(address, method, path, body, headers, timeout_s)
            if isinstance(answer, Failure) or answer.status != 307:
                return answer
            target = urlsplit(answer.headers.get(b"location", b"").decode("latin-1"))
            if not target.netloc:
                break
            address = target.netloc
            path = target.path or path
        return Failure(Code.NOT_PRIMARY, f"{address}: too many redirects")


def error_of(answer: http1.Response) -> Failure:
    """Return the Failure described by an error response of the operators' API."""
    import json

    with contextlib.suppress(ValueError, KeyError, TypeError):
        body = json.loads(answer.body)
        return Failure(Code(body["code"]), str(body["reason"]))
    return Failure(Code.INTERNAL, f"answered {answer.status}")
