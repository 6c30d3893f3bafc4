"""Late copies of answers, on real sockets: what a proxy concludes about an attempt from bytes of an earlier one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from otterreach.sidecar import http1
from tests import virtual
from tests.proxy.late_answer_server import (
    EVENT,
    LateAnswerServer,
    Reaction,
    Script,
    Served,
    SocketWorld,
    TurnedAway,
    ask,
)
from tests.proxy.proxy_support import Call, ServerEnd, assign, route, work
from tests.proxy.test_requests import ingress
from tests.proxy.test_runner import Stage, text_of

ROUTES = {
    "idem": route("idem", "/idem/", "idem", tries=4),
    "mutating": route("mutating", "/mutating/", "mutating", tries=4),
    "stream": route("stream", "/stream/", "stream", tries=4),
    "resumable stream": route("resumable", "/stream/resumable/", "stream", tries=4, resume=True),
}
TURNED_AWAY = [
    TurnedAway(503),
    TurnedAway(429),
    TurnedAway(408),
    TurnedAway(400),
    TurnedAway(421),
    TurnedAway(421, b"Server-Id: i-1\r\n"),
]


@asynccontextmanager
async def running(script: Script) -> AsyncIterator[tuple[LateAnswerServer, int]]:
    """Run a server and a proxy in front of it; yield the server and the proxy's port."""
    world = SocketWorld(list(ROUTES.values()))
    server = await world.late_answer_server("i-1", script)
    listener = ingress(world)
    port = await listener.listen("127.0.0.1", 0)
    try:
        yield server, port
    finally:
        await listener.shut_down(0.0, 1.0)
        for known in world.fleet.servers.values():
            known.pool.close()
        server.close()
        await asyncio.sleep(0.01)  # the event loop closes the sockets


def body_of(kind: str) -> bytes:
    return EVENT if "stream" in kind else b"ok"


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("rejection", TURNED_AWAY, ids=lambda rejection: f"{rejection.status}{rejection.head!r}")
def test_a_late_copy_of_a_rejection_does_not_reject_the_next_attempt(kind: str, rejection: TurnedAway) -> None:
    """REFUSED, TWICE: the copy carries the id that all attempts share, while the server runs the next attempt."""

    def script(_: http1.Request, earlier: int) -> Reaction:
        return Served() if earlier else rejection

    async def main() -> None:
        async with running(script) as (server, port):
            answer = await ask(port, ROUTES[kind]["prefix"] + "x", "q1")
            assert answer is not None
            assert (answer.status, answer.body, server.runs[b"q1"]) == (200, body_of(kind), 1)

    asyncio.run(main())


EARLIER = [Served(), Served(404), Served(500), TurnedAway(503)]


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("reaction", EARLIER, ids=str)
def test_a_late_copy_of_the_answer_to_another_request_is_skipped(kind: str, reaction: Reaction) -> None:
    """Clients of mutating routes got 502 although their own answers followed the copies."""

    def script(request: http1.Request, earlier: int) -> Reaction:
        return Served() if earlier or request.headers[b"request-id"] != b"q1" else reaction

    async def main() -> None:
        async with running(script) as (server, port):
            for ident in ("q1", "q2", "q3"):
                answer = await ask(port, ROUTES[kind]["prefix"] + "x", ident)
                assert answer is not None
                if ident != "q1":
                    assert (answer.status, answer.body, answer.headers[b"request-id"]) == (
                        200,
                        body_of(kind),
                        ident.encode(),
                    )
                    assert server.runs[ident.encode()] == 1
            assert server.copies

    asyncio.run(main())


class LateCopies:
    """A script of a fake server: seals each answer anew, and repeats the last answer of a connection late."""

    def __init__(self, events: int = 0, failures: int = 0) -> None:
        self.events = events  # of the text of an item; 0 for an answer without events
        self.failures = failures  # so many answers are failures
        self.answers = 0
        self._last: dict[ServerEnd, bytes] = {}

    async def __call__(self, call: Call) -> None:
        """Answer one request."""
        call.write(self._last.get(call.end, b""))
        await asyncio.sleep(0.01)
        self.answers += 1
        answer = self._encode(call)
        self._last[call.end] = answer
        call.write(answer)

    def _encode(self, call: Call) -> bytes:
        if self.answers <= self.failures:
            return f"HTTP/1.1 500 X\r\nRequest-Id: {call.id}\r\nContent-Length: 0\r\n\r\n".encode()
        head = f"HTTP/1.1 200 X\r\nRequest-Id: {call.id}\r\nReply-Seal: s-{self.answers}\r\nWeight-Versions: 1\r\n"
        body = "".join(f"id: {n}\ndata: d{n}\n\n" for n in range(self.events))
        return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def test_an_item_that_comes_again_gets_answers_of_its_own() -> None:
    """MIXED: the copies of the text and of the reward of an earlier batch job carry the ids of the item."""

    async def main() -> None:
        stage = Stage()
        await stage.begin()
        text = LateCopies(events=3)
        scorer = LateCopies()
        stage.server("i-1", text)
        stage.world.server("i-2", scorer)
        for number, job in enumerate(("j1", "j2", "j3"), start=1):
            stage.runner.assign(assign([work(scorer="s1")], job=job))
            result = await stage.result()
            assert (result.state, result.text, result.score) == ("done", text_of(3), f"s-{number}")
            assert (text.answers, scorer.answers) == (number, number)
            stage.endpoint.finished.clear()
            await asyncio.sleep(0.1)

    virtual.run(main)


@pytest.mark.parametrize("failing", ["text", "reward"])
def test_a_late_copy_of_a_failure_is_not_another_failure(failing: str) -> None:
    """MIXED: an item is errored only after `tries` failures of its own, and copies carry its id."""

    async def main() -> None:
        stage = Stage(tries=2)
        await stage.begin()
        text = LateCopies(events=3, failures=int(failing == "text"))
        scorer = LateCopies(failures=int(failing == "reward"))
        stage.server("i-1", text)
        stage.world.server("i-2", scorer)
        stage.runner.assign(assign([work(scorer="s1")]))
        result = await stage.result()
        assert (result.state, result.text, result.score) == ("done", text_of(3), f"s-{scorer.answers}")
        assert text.answers + scorer.answers == 3

    virtual.run(main)
