"""RPC connections: retirement after time-outs, calls in flight on retired connections, unknown result codes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.node import MemberShutdown
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import RETIRED_MAX_S, RETIRED_MIN_S, Link
from otterreach.runtime.rpc_messages import Done, FailureReply
from tests import virtual
from tests.virtual import MemoryLoop

ADDRESS = "10.0.0.2:5"
REQUEST = MemberShutdown("node", "disk")


class Pair:
    """Two endpoints, which answer each call after `wait_s`; `far` listens."""

    def __init__(self) -> None:
        self.near, self.far = Endpoint(), Endpoint()
        self.wait_s = 0.0
        self.handled = 0
        self.far.on(MemberShutdown, self._answer)
        self.near.on(MemberShutdown, self._answer)

    async def _answer(self, link: Link, request: MemberShutdown) -> Done:
        self.handled += 1
        await asyncio.sleep(self.wait_s)
        return Done()

    async def call(self, timeout_s: float = 1.0) -> Any:
        return await self.near.call(ADDRESS, REQUEST, timeout_s)

    @property
    def open(self) -> tuple[int, int]:
        return len(self.near.links), len(self.far.links)


def run_pair(main: Callable[[Pair], Awaitable[None]]) -> None:
    async def body() -> None:
        pair = Pair()
        await pair.far.listen("10.0.0.2", 5)
        await main(pair)

    virtual.run(body, MemoryLoop())


def test_repeated_timeouts_leave_no_connection_open() -> None:
    async def main(pair: Pair) -> None:
        pair.wait_s = 3600.0
        for _ in range(200):
            reply = await pair.call(0.1)
            assert isinstance(reply, Failure) and reply.code is Code.TIMED_OUT
        assert pair.open[0] <= RETIRED_MIN_S / 0.1 + 2
        await asyncio.sleep(RETIRED_MAX_S + 1.0)
        assert pair.open == (0, 0)

    run_pair(main)


def test_a_call_in_flight_completes_on_the_retired_connection() -> None:
    async def main(pair: Pair) -> None:
        pair.wait_s = 4.0
        long = asyncio.ensure_future(pair.call(6.0))
        await asyncio.sleep(0)
        reply = await pair.call(0.5)
        assert isinstance(reply, Failure)
        assert await long == Done()
        await asyncio.sleep(1.0)
        assert pair.open == (0, 0)

    run_pair(main)


def test_a_call_of_the_peer_completes_on_the_retired_connection() -> None:
    async def main(pair: Pair) -> None:
        await pair.call()
        pair.wait_s = 4.0
        (back,) = pair.far.links
        long = asyncio.ensure_future(back.call(REQUEST, 6.0))
        await asyncio.sleep(0.1)
        reply = await pair.call(0.5)
        assert isinstance(reply, Failure)
        assert await long == Done()

    run_pair(main)


def test_a_reply_after_the_timeout_is_discarded() -> None:
    async def main(pair: Pair) -> None:
        pair.wait_s = 0.2
        first = await pair.call(0.1)
        pair.wait_s = 0.0
        assert isinstance(first, Failure)
        assert await pair.call() == Done()
        await asyncio.sleep(0.5)
        assert pair.handled == 2

    run_pair(main)


def test_a_code_of_a_newer_process_is_a_failure_of_that_call_alone() -> None:
    async def main(pair: Pair) -> None:
        async def refuse(link: Link, request: MemberShutdown) -> FailureReply:
            return FailureReply(9999, "new")

        pair.far.on(MemberShutdown, refuse)
        reply = await pair.call()
        assert isinstance(reply, Failure) and reply.maybe_done
        assert pair.open == (1, 1)

    run_pair(main)


def test_a_working_connection_is_kept() -> None:
    async def main(pair: Pair) -> None:
        for _ in range(5):
            assert await pair.call() == Done()
            await asyncio.sleep(20.0)
        assert pair.open == (1, 1)

    run_pair(main)
