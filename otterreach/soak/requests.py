"""Requests of clients in a soak, over connections that are kept until the process at the other end is gone."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

from otterreach.loadtest.callers import NOT_RUN_STATUSES
from otterreach.loadtest.ground_truth import GroundTruth
from otterreach.loadtest.plan import HOST, Route
from otterreach.loadtest.verify import check_mutating, check_success
from otterreach.sidecar import http1
from otterreach.soak.wire import PersistentConnection

DEADLINES_MS = (100, 400, 1500)
GIVE_UP_MARGIN_S = 0.5  # clients wait this much longer than they announce
MAX_BODY_BYTES = 2000
MEAN_PAUSE_S = 0.02  # of a client, between an answer and its next request
CONNECT_TIMEOUT_S = 1.0


class RequestLog:
    """What clients sent and received, checked against what servers ran."""

    def __init__(self, ground_truth: GroundTruth) -> None:
        self.answers: Counter[str] = Counter()  # by status; "none" without an answer in time
        self._ground_truth = ground_truth
        self._mutating: dict[str, bool] = {}  # by id: whether it was refused
        self._faults: list[str] = []

    def sent(self, ident: str, route: Route) -> None:
        """Record a request before it is sent."""
        if route.kind == "mutating":
            self._mutating[ident] = False

    def answered(self, ident: str, route: Route, body: bytes, answer: http1.Response | None) -> None:
        """Record the answer to a request, or that there was none."""
        self.answers[str(answer.status) if answer else "none"] += 1
        if answer is not None:
            self.check(ident, route, body, answer)

    def check(self, ident: str, route: Route, body: bytes, answer: http1.Response) -> None:
        """Check an answer, which may have come after its client gave up waiting."""
        if answer.status in NOT_RUN_STATUSES and route.kind == "mutating":
            self._mutating[ident] = True
        if 200 <= answer.status < 300 and (fault := check_success(ident, body, answer, self._ground_truth)):
            self._faults.append(f"MIXED: {fault}")

    def unsolicited(self, data: bytes) -> None:
        """Record bytes that a client received while it waited for no answer."""
        self._faults.append(f"MIXED: bytes without a request: {data[:100]!r}")

    def violations(self) -> list[str]:
        """Return the broken rules. Call it once no request can run any more."""
        twice_or_refused = check_mutating(self._mutating, self._ground_truth)
        return [*self._faults, *(f"TWICE or REFUSED: {fault}" for fault in twice_or_refused)]


class RequestClient:
    """A client that sends one request after the other, on one connection for as long as that is open.

    A request that it has given up on keeps its connection; the client opens another one.
    """

    def __init__(
        self, addresses: Callable[[], list[str]], routes: list[Route], log: RequestLog, random: Random
    ) -> None:
        """:param addresses: returns the addresses of the proxies"""
        self.addresses = addresses
        self.routes = routes
        self.log = log
        self.random = random
        self._connection: PersistentConnection | None = None
        self._abandoned: set[asyncio.Task[http1.Response | None]] = set()
        self._opened: list[PersistentConnection] = []

    async def run(self, is_stopping: Callable[[], bool]) -> None:
        """Send requests until the soak stops."""
        while not is_stopping():
            connection = await self._connect()
            if connection is not None:
                await self._send(connection)
            await asyncio.sleep(self.random.expovariate(1.0 / MEAN_PAUSE_S))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._opened:
            if connection.unsolicited:
                self.log.unsolicited(connection.unsolicited)
            connection.close()
        self._opened.clear()

    async def _connect(self) -> PersistentConnection | None:
        """Return the open connection, or a new one to a random proxy; None if none accepts it."""
        if self._connection is not None and self._connection.is_open and not self._connection.is_busy:
            return self._connection
        self._connection = None
        host, _, port = self.random.choice(self.addresses()).rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self._connection = await loop.create_connection(PersistentConnection, host, int(port))
        except (OSError, TimeoutError):
            return None
        self._opened.append(self._connection)
        return self._connection

    async def _send(self, connection: PersistentConnection) -> None:
        route = self.random.choice(self.routes)
        ident = f"{self.random.getrandbits(64):016x}"
        body = self.random.randbytes(self.random.randrange(MAX_BODY_BYTES))
        deadline_ms = self.random.choice(DEADLINES_MS)
        headers = {b"Request-Id": ident.encode(), b"Deadline-Ms": b"%d" % deadline_ms}
        target = f"{route.prefix}{ident}".encode()
        request = http1.Request(b"POST", target, {}, body, True)
        self.log.sent(ident, route)
        exchange = asyncio.ensure_future(connection.exchange(http1.encode_request(request, HOST.encode(), headers)))
        await asyncio.wait([exchange], timeout=deadline_ms / 1000 + GIVE_UP_MARGIN_S)
        if exchange.done():
            self.log.answered(ident, route, body, exchange.result())
            return
        self.log.answered(ident, route, body, None)

        def check_late_answer(ended: asyncio.Task[http1.Response | None]) -> None:
            """Check the answer that comes after its client gave up."""
            self._abandoned.discard(ended)
            if not ended.cancelled() and (answer := ended.result()):
                self.log.check(ident, route, body, answer)

        self._abandoned.add(exchange)
        exchange.add_done_callback(check_late_answer)
