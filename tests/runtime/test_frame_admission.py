"""Long messages of one kind wait with their senders while there is no room for them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from otterreach.controller.messages import ApiCall, ApiResponse
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.frame_admission import SMALL_FRAME_BYTES, STALL_S, FrameAdmission
from otterreach.runtime.node import MemberShutdown
from otterreach.runtime.rpc import LONG_BODY_BYTES, Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.rpc_messages import Done
from tests import virtual
from tests.virtual import MemoryLoop

ADDRESS = "10.0.0.2:5"
LONG = "x" * (4 * SMALL_FRAME_BYTES)
COPIES = 2


@dataclass(eq=False)
class FakeLink:
    last_received_at: float = 0.0
    events: list[str] = field(default_factory=list)

    def admitted(self) -> None:
        self.events.append("admitted")

    def abort(self) -> None:
        self.events.append("abort")


def in_loop(main: Callable[[], Awaitable[None]]) -> None:
    virtual.run(main, MemoryLoop())


def test_links_are_admitted_in_order_as_room_becomes_free() -> None:
    async def main() -> None:
        admission = FrameAdmission(100, COPIES)
        links = [FakeLink() for _ in range(4)]
        assert [admission.request(link, 25) for link in links] == [True, True, False, False]
        admission.release(admission.received(links[0]))
        assert [link.events for link in links] == [[], [], ["admitted"], []]
        admission.closed(links[1])
        assert links[3].events == ["admitted"]
        for link in links[2:]:
            admission.release(admission.received(link))
        assert admission.used_bytes == 0

    in_loop(main)


def test_a_message_over_the_limit_is_admitted_alone() -> None:
    async def main() -> None:
        admission = FrameAdmission(100, COPIES)
        first, second = FakeLink(), FakeLink()
        assert admission.request(first, 1000)
        assert not admission.request(second, 1)
        admission.closed(first)
        assert second.events == ["admitted"]

    in_loop(main)


def test_a_link_that_stalls_is_closed_only_if_others_wait() -> None:
    async def main() -> None:
        admission = FrameAdmission(100, COPIES)
        stalled, waiting = FakeLink(), FakeLink()
        assert admission.request(stalled, 50)
        await asyncio.sleep(3 * STALL_S)
        assert stalled.events == []
        assert not admission.request(waiting, 50)
        await asyncio.sleep(3 * STALL_S)
        assert "abort" in stalled.events
        admission.closed(stalled)
        assert waiting.events == ["admitted"]

    in_loop(main)


class Pair:
    """Several callers of one endpoint that has room for one long message at a time."""

    def __init__(self) -> None:
        self.far = Endpoint()
        self.admission = FrameAdmission(1, COPIES)
        self.far.limit_memory(MemberShutdown, self.admission)
        self.far.on(MemberShutdown, self._answer)
        self.near = [Endpoint() for _ in range(3)]
        self.handling = 0
        self.peak = 0
        self.wait_s = 0.1

    async def _answer(self, link: Link, request: MemberShutdown) -> Done:
        self.handling += 1
        self.peak = max(self.peak, self.handling)
        await asyncio.sleep(self.wait_s)
        self.handling -= 1
        return Done()

    async def call_all(self, text: str, timeout_s: float) -> list[Any]:
        calls = (near.call(ADDRESS, MemberShutdown(text, "disk"), timeout_s) for near in self.near)
        return await asyncio.gather(*calls)


def run_pair(main: Callable[[Pair], Awaitable[None]]) -> None:
    async def body() -> None:
        pair = Pair()
        await pair.far.listen("10.0.0.2", 5)
        await main(pair)

    virtual.run(body, MemoryLoop())


def test_long_calls_are_handled_one_after_the_other() -> None:
    async def main(pair: Pair) -> None:
        assert await pair.call_all(LONG, 5.0) == [Done()] * 3
        assert (pair.peak, pair.admission.used_bytes) == (1, 0)

    run_pair(main)


def test_short_calls_need_no_admission() -> None:
    async def main(pair: Pair) -> None:
        pair.wait_s = 1.0
        long = asyncio.ensure_future(pair.call_all(LONG, 5.0))
        await asyncio.sleep(0.1)
        other = Endpoint()
        assert await other.call(ADDRESS, MemberShutdown("short", "disk"), 1.5) == Done()
        await long

    run_pair(main)


def test_a_lost_connection_gives_its_room_back() -> None:
    async def main(pair: Pair) -> None:
        pair.wait_s = 3600.0
        calls = asyncio.ensure_future(pair.call_all(LONG, 0.5))
        assert all(isinstance(reply, Failure) and reply.code is Code.TIMED_OUT for reply in await calls)
        for link in list(pair.far.links):
            link.abort()
        await asyncio.sleep(0.1)
        pair.wait_s = 0.0
        assert pair.admission._waiting == type(pair.admission._waiting)()

    run_pair(main)


def test_short_calls_do_not_wait_behind_long_ones_of_the_same_caller() -> None:
    """A heartbeat or a ping that waited for room would make its sender seem dead."""

    async def body() -> None:
        far, near = Endpoint(), Endpoint()
        far.limit_memory(ApiCall, FrameAdmission(1, COPIES))
        wait_s = 3.0

        async def handle_call(link: Link, call: ApiCall) -> ApiResponse:
            await asyncio.sleep(wait_s)
            return ApiResponse(200, b"")

        async def handle_shutdown(link: Link, request: MemberShutdown) -> Done:
            return Done()

        far.on(ApiCall, handle_call)
        far.on(MemberShutdown, handle_shutdown)
        await far.listen("10.0.0.2", 5)
        assert await near.call(ADDRESS, MemberShutdown("short", "disk"), 1.0) == Done()
        call = ApiCall("PUT", "/config", "1", b"x" * (2 * LONG_BODY_BYTES))
        long = [asyncio.ensure_future(near.call(ADDRESS, call, 10.0)) for _ in range(2)]
        await asyncio.sleep(0.5)
        assert await near.call(ADDRESS, MemberShutdown("short", "disk"), 1.0) == Done()
        assert [reply.status for reply in await asyncio.gather(*long) if isinstance(reply, ApiResponse)] == [200, 200]
        await asyncio.sleep(0.1)
        assert (len(near.links), len(far.links)) == (1, 1)  # that of the short calls

    virtual.run(body, MemoryLoop())


def test_a_long_call_that_times_out_leaves_nothing_behind() -> None:
    async def body() -> None:
        far, near = Endpoint(), Endpoint()
        far.limit_memory(ApiCall, FrameAdmission(1, COPIES))

        async def handle_call(link: Link, call: ApiCall) -> ApiResponse:
            await asyncio.sleep(60.0)
            return ApiResponse(200, b"")

        far.on(ApiCall, handle_call)
        await far.listen("10.0.0.2", 5)
        call = ApiCall("PUT", "/config", "1", b"x" * (2 * LONG_BODY_BYTES))
        reply = await near.call(ADDRESS, call, 0.5)
        assert isinstance(reply, Failure) and reply.code is Code.TIMED_OUT
        await asyncio.sleep(0.1)
        assert (len(near.links), len(far.links)) == (0, 0)

    virtual.run(body, MemoryLoop())
