"""Generated faults between the real clients and servers: response matching and the number of executions.

Fakes reset, duplicate, delay, reorder and truncate at any byte; they send early, informational and extra responses, and
bodies without a length. Everything is in memory and in virtual time, and each run generates the same cases.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple

from hypothesis import example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from otterreach.controller.messages import Prepare
from otterreach.proxy.pools import Address, Connection, Factory
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import JsonServer, Reply
from otterreach.runtime.http_client import JsonClient
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import HEADER, Link
from otterreach.sidecar import http1
from tests import virtual
from tests.proxy.proxy_support import Call, FakeClient, FakeServer, ServerEnd, World, route
from tests.proxy.test_requests import ingress
from tests.virtual import LATENCY_S, MemoryLoop, MemoryTransport, connect

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
TRIES = 2
END = b"|end"


class ServerBehavior(Enum):
    """The behavior of a server towards one request."""

    PLAIN = auto()
    BYTE_BY_BYTE = auto()
    TWICE = auto()
    TWICE_LATE = auto()  # the second copy after the delay
    OLD_FIRST = auto()  # an earlier response before its own
    OLD_ONLY = auto()  # an earlier response instead of its own
    INFORMATIONAL_FIRST = auto()  # 100 and 103 before the response
    INFORMATIONAL_AFTER = auto()
    UPGRADED = auto()  # 101
    GARBAGE_AFTER = auto()
    GARBAGE = auto()
    NO_ID = auto()
    NO_SEAL = auto()
    ENCODED = auto()
    TRUNCATED_ANSWER = auto()  # truncated at any byte
    RESET_ANSWER = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    SILENCE = auto()
    FAILS = auto()
    FAILS_TWICE = auto()
    RESET_NOT_EXECUTED = auto()
    CLOSED_NOT_EXECUTED = auto()
    REPEATED = auto()  # answers, and sends a copy in place of the next answer on the connection
    REJECTED = auto()
    REJECTED_REPEATED = auto()
    MISDIRECTED = auto()
    PLAIN_503 = auto()  # executed, and answers 503 without Not-Run
    EARLY_FAILS = auto()  # executed, and answers before a body in several segments is complete
    EARLY_REJECTED = auto()
    EARLY_TRUNCATED = auto()  # executed before the body is complete; the answer is truncated at any byte


EARLY = (ServerBehavior.EARLY_FAILS, ServerBehavior.EARLY_REJECTED, ServerBehavior.EARLY_TRUNCATED)
TRUNCATED = (ServerBehavior.TRUNCATED_ANSWER, ServerBehavior.RESET_ANSWER, ServerBehavior.EARLY_TRUNCATED)
NOT_EXECUTED = (
    ServerBehavior.RESET_NOT_EXECUTED,
    ServerBehavior.CLOSED_NOT_EXECUTED,
    ServerBehavior.REJECTED,
    ServerBehavior.REJECTED_REPEATED,
    ServerBehavior.MISDIRECTED,
    ServerBehavior.EARLY_REJECTED,
)


class Act(NamedTuple):
    behavior: ServerBehavior
    at: int  # offset in bytes
    delay_s: float


class Ask(NamedTuple):
    kind: str
    body: int  # size in bytes
    leaves_s: float | None  # time after which the client disconnects
    pause_s: float  # pause before the next request


acts = st.builds(Act, st.sampled_from(ServerBehavior), st.integers(0, 400), st.sampled_from([0.0, 0.005, 0.03, 0.3]))
asks = st.builds(
    Ask,
    st.sampled_from(["idem", "mutating", "stream"]),
    st.sampled_from([0, 10, 70_000]),
    st.sampled_from([None, None, None, 0.002, 0.01]),
    st.sampled_from([0.0, 0.03]),
)


class NarrowTransport(MemoryTransport):
    """Accepts `room` bytes of a write immediately, and the rest 20 ms later unless it was aborted by then."""

    def __init__(self, protocol: asyncio.BaseProtocol, room: int) -> None:
        super().__init__(protocol)
        self.room, self.rest = room, b""

    def write(self, data: Any) -> None:
        data = bytes(data)
        super().write(data[: self.room])
        if len(data) > self.room and not self.closing:
            self.rest = data[self.room :]
            self.protocol.pause_writing()
            self.loop.call_later(0.02, self._drain)

    def _drain(self) -> None:
        rest, self.rest = self.rest, b""
        if not self.closing:
            super().write(rest)
            self.protocol.resume_writing()

    def get_write_buffer_size(self) -> int:
        return len(self.rest)


class EarlyEnd(ServerEnd):
    """A server's end that may answer before it has read the complete body, and then goes on reading."""

    def __init__(self, server: FakeServer, servers: HostileServers) -> None:
        super().__init__(server)
        self.servers = servers
        self.due = 0  # bytes still to come of a body whose request has been answered

    def data_received(self, data: bytes) -> None:
        part, data = data[: self.due], data[self.due :]
        self.due -= len(part)
        if part.strip(b"b"):
            self.servers.misplaced.append(part)
        head, end, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if end and length and len(body) < int(length[1]) and self.servers.next_behavior in EARLY:
            self.due = int(length[1]) - len(body)
            data = head.replace(length[0], b"Content-Length: 0") + b"\r\n\r\n"
        if data:
            super().data_received(data)


class HostileWorld(World):
    """A world whose connections accept `room` bytes at once, and whose servers may answer early."""

    def __init__(self, routes: list[dict[str, Any]], room: int | None) -> None:
        super().__init__(routes)
        self.room = room
        self.hostile: HostileServers

    async def open(self, address: Address, factory: Factory) -> Connection:
        await asyncio.sleep(LATENCY_S)
        here, there = factory(), EarlyEnd(self.servers[address], self.hostile)
        near = MemoryTransport(here) if self.room is None else NarrowTransport(here, self.room)
        far = MemoryTransport(there)
        near.other, far.other = far, near
        there.connection_made(far)
        here.connection_made(near)
        return here


class HostileServers:
    """Servers that take their behavior in turn from one script, and a record of what they received."""

    def __init__(self, world: World, script: list[Act], count: int) -> None:
        self.script, self.turn = script, 0
        self.runs: Counter[str] = Counter()
        self.reached: dict[str, set[str]] = {}
        self.sealed: dict[bytes, int] = {}  # status by seal
        self.earlier: list[bytes] = []
        self.misplaced: list[bytes] = []  # other bytes received in place of the rest of a body
        self.late: dict[ServerEnd, bytes] = {}  # by connection: a copy that comes in place of the next answer
        for n in range(count):
            world.server(f"i-{n}", self.act)

    @property
    def next_behavior(self) -> ServerBehavior:
        return self.script[self.turn % len(self.script)].behavior

    async def act(self, call: Call) -> None:
        act = self.script[self.turn % len(self.script)]
        self.turn += 1
        self.reached.setdefault(call.id, set()).add(call.server.id)
        call.write(self.late.pop(call.end, b""))
        if act.behavior not in NOT_EXECUTED:
            self.runs[call.id] += 1
        await asyncio.sleep(act.delay_s / 3)
        await self.answer(call, act)

    def repeated(self, call: Call, answer: bytes) -> bytes:
        """Return the answer after keeping a copy, which comes in place of the next one on its connection alone."""
        self.late[call.end] = answer
        return answer

    def whole(self, call: Call, status: int = 200, head: bytes = b"", framed: bool = True, ident: bool = True) -> bytes:
        stamp = b"s-%d" % len(self.sealed)
        self.sealed[stamp] = status
        body = b"for:" + call.id.encode() + b":" + call.server.id.encode() + END
        lines = [b"HTTP/1.1 %d X" % status, b"Reply-Seal: " + stamp]
        lines += [b"Request-Id: " + call.id.encode()] if ident else []
        lines += [b"Content-Length: %d" % len(body)] if framed else []
        answer = b"\r\n".join(lines) + b"\r\n" + head + b"\r\n" + body
        if ident:  # a response without an id can't be rejected on a new connection
            self.earlier.append(answer)
        return answer

    async def answer(self, call: Call, act: Act) -> None:
        behavior, write = act.behavior, call.write
        if behavior is ServerBehavior.PLAIN:
            write(self.whole(call))
        elif behavior is ServerBehavior.REPEATED:
            write(self.repeated(call, self.whole(call)))
        elif behavior is ServerBehavior.REJECTED_REPEATED:
            head = b"HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\n" % call.id.encode()
            write(self.repeated(call, head + b"Content-Length: 0\r\n\r\n"))
        elif behavior is ServerBehavior.BYTE_BY_BYTE:
            for byte in self.whole(call):
                write(bytes([byte]))
        elif behavior in (ServerBehavior.TWICE, ServerBehavior.TWICE_LATE):
            answer = self.whole(call)
            write(answer)
            await asyncio.sleep(act.delay_s if behavior is ServerBehavior.TWICE_LATE else 0.0)
            write(answer)
        elif behavior is ServerBehavior.OLD_FIRST:
            write((self.earlier or [b""])[act.at % max(1, len(self.earlier))] + self.whole(call))
        elif behavior is ServerBehavior.OLD_ONLY:
            write((self.earlier or [b""])[act.at % max(1, len(self.earlier))])
        elif behavior is ServerBehavior.INFORMATIONAL_FIRST:
            write(b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\n" + self.whole(call))
        elif behavior is ServerBehavior.INFORMATIONAL_AFTER:
            write(self.whole(call) + b"HTTP/1.1 100 C\r\n\r\n")
        elif behavior is ServerBehavior.UPGRADED:
            write(b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + self.whole(call))
        elif behavior is ServerBehavior.GARBAGE_AFTER:
            write(self.whole(call) + b"\x00junk"[: act.at % 6])
        elif behavior is ServerBehavior.GARBAGE:
            write(b"\x16\x03\x01 junk\r\n\r\n")
        elif behavior is ServerBehavior.NO_ID:
            write(self.whole(call, ident=False))
        elif behavior is ServerBehavior.NO_SEAL:
            call.answer(200, b"unstamped", b"")
        elif behavior is ServerBehavior.ENCODED:
            write(self.whole(call, head=b"Content-Encoding: gzip\r\n"))
        elif behavior in TRUNCATED:
            answer = self.whole(call)
            write(answer[: act.at % len(answer)])
            await asyncio.sleep(act.delay_s)
            self.end(call, reset=behavior is not ServerBehavior.TRUNCATED_ANSWER)
        elif behavior in (ServerBehavior.UNFRAMED, ServerBehavior.UNFRAMED_RESET):
            answer = self.whole(call, framed=False)
            write(answer[: -act.at % 9] if behavior is ServerBehavior.UNFRAMED_RESET else answer)
            await asyncio.sleep(act.delay_s)
            self.end(call, reset=behavior is ServerBehavior.UNFRAMED_RESET)
        elif behavior in (ServerBehavior.FAILS, ServerBehavior.EARLY_FAILS):
            write(self.whole(call, 500))
        elif behavior is ServerBehavior.FAILS_TWICE:
            write(self.whole(call, 500) * 2)
        elif behavior is ServerBehavior.PLAIN_503:
            write(self.whole(call, 503))
        elif behavior in (ServerBehavior.REJECTED, ServerBehavior.EARLY_REJECTED):
            call.reject()
        elif behavior is ServerBehavior.MISDIRECTED:
            call.answer(421, b"", b"")
        elif behavior is not ServerBehavior.SILENCE:
            self.end(call, reset=behavior is ServerBehavior.RESET_NOT_EXECUTED)

    def end(self, call: Call, reset: bool) -> None:
        if call.end.transport:
            call.end.transport.abort() if reset else call.end.transport.close()


def kinds() -> list[dict[str, Any]]:
    kind_of = {"idem": "/i/", "mutating": "/m/", "stream": "/s/"}
    return [route(kind, prefix, kind, tries=TRIES, timeoutMs=600) for kind, prefix in kind_of.items()]


class Heard(NamedTuple):
    kind: str
    answer: http1.Response | None


async def one_client(world: World, number: int, line: list[Ask], heard: dict[str, Heard]) -> None:
    listener = ingress(world)
    caller = FakeClient(listener)
    for turn, ask in enumerate(line):
        if caller.lost:
            caller = FakeClient(listener)
        ident = f"q{number}-{turn}"
        heard[ident] = Heard(ask.kind, None)
        path = f"/{ask.kind[0]}/{ident}"
        caller.send(path=path, ident=ident, body=b"b" * ask.body, deadline_ms=500)
        if ask.leaves_s is not None:
            await asyncio.sleep(ask.leaves_s)
            caller.transport.abort()
            caller = FakeClient(listener)
        else:
            heard[ident] = Heard(ask.kind, await caller.answer())
        await asyncio.sleep(ask.pause_s)


def judge(servers: HostileServers, heard: dict[str, Heard]) -> None:
    for ident, (kind, answer) in heard.items():
        runs, reached = servers.runs[ident], servers.reached.get(ident, set())
        if kind != "idem":
            assert runs <= 1, f"{ident} ran {runs} times"
        assert len(reached) <= TRIES, f"{ident} reached {reached}"
        if answer is None:
            continue
        if 200 <= answer.status < 300:
            assert answer.body.startswith(b"for:" + ident.encode() + b":"), (ident, answer.body)
            assert answer.body.endswith(END) and answer.headers.get(b"request-id", ident.encode()) == ident.encode()
        if (stamp := answer.headers.get(b"reply-seal")) is not None:
            assert servers.sealed[stamp] == answer.status
        if answer.status in NOT_EXECUTED_STATUSES and kind != "idem":
            assert runs == 0, f"{ident} got {answer.status} and ran"


@hypothesis_settings(max_examples=400)
@given(
    st.lists(acts, min_size=1, max_size=8),
    st.lists(st.lists(asks, max_size=4), min_size=1, max_size=3),
    st.sampled_from([None, None, 0, 120, 5000]),
    st.sampled_from([1, 3]),
)
@example([Act(ServerBehavior.EARLY_FAILS, 0, 0.0)], [[Ask("mutating", 70_000, None, 0.0)]], 5000, 3)
@example([Act(ServerBehavior.EARLY_TRUNCATED, 0, 0.0)], [[Ask("mutating", 70_000, None, 0.0)]], 5000, 3)
@example([Act(ServerBehavior.EARLY_TRUNCATED, 120, 0.0)], [[Ask("mutating", 70_000, None, 0.0)]], 5000, 3)
@example(
    [Act(ServerBehavior.REJECTED_REPEATED, 0, 0.0), Act(ServerBehavior.PLAIN, 0, 0.03)],
    [[Ask("mutating", 0, None, 0.0)]],
    None,
    1,
)
def test_requests_of_clients_at_hostile_servers(
    script: list[Act], lines: list[list[Ask]], room: int | None, server_count: int
) -> None:
    async def main() -> None:
        world = HostileWorld(kinds(), room)
        servers = world.hostile = HostileServers(world, script, server_count)
        heard: dict[str, Heard] = {}
        await asyncio.gather(*(one_client(world, n, line, heard) for n, line in enumerate(lines)))
        await asyncio.sleep(1.0)  # delayed responses arrive
        judge(servers, heard)
        assert not servers.misplaced

    virtual.run(main)


# Calls with JSON bodies ---------------------------------------------------------------------------


class ResponseFault(Enum):
    """The fault that is injected into one response on its way."""

    PASS = auto()
    BYTE_BY_BYTE = auto()
    LATE = auto()
    TWICE = auto()
    TWICE_LATE = auto()
    OLD_FIRST = auto()
    OLD_ONLY = auto()
    INFORMATIONAL_FIRST = auto()
    GARBAGE_AFTER = auto()
    TRUNCATED = auto()
    RESET = auto()
    DROPPED = auto()
    UNFRAMED = auto()
    UNSOLICITED = auto()  # the response passes; later, on the idle connection, an unsolicited one
    ABORTED = auto()  # the connection is aborted before the request is forwarded


class Meddle(NamedTuple):
    how: ResponseFault
    at: int
    delay_s: float


class JsonAsk(NamedTuple):
    interchangeable: bool
    gives_up_s: float | None  # time after which the call is cancelled
    timeout_s: float
    pause_s: float


meddles = st.builds(
    Meddle, st.sampled_from(ResponseFault), st.integers(0, 200), st.sampled_from([0.0, 0.01, 0.04, 0.2])
)
json_asks = st.builds(
    JsonAsk,
    st.booleans(),
    st.sampled_from([None, None, 0.001, 0.0025, 0.02, 0.05]),
    st.sampled_from([0.003, 0.05, 0.5]),
    st.sampled_from([0.0, 0.01, 0.1]),
)


class Middle:
    """A proxy between the clients and the real server, with one upstream connection for each connection."""

    def __init__(self, loop: MemoryLoop, script: list[Meddle], gives_ids: bool) -> None:
        self.loop, self.script, self.gives_ids = loop, script, gives_ids
        self.turn = 0
        self.earlier: list[bytes] = []
        self.open: set[ClientEnd] = set()
        loop.listeners[("10.0.0.1", 80)] = lambda: ClientEnd(self)

    def next(self) -> Meddle:
        self.turn += 1
        return self.script[(self.turn - 1) % len(self.script)]


class ClientEnd(asyncio.Protocol):
    """The proxy's end towards the client."""

    def __init__(self, middle: Middle) -> None:
        self.middle = middle
        self.far = UpstreamEnd(self)
        self.transport: Any = None
        middle.open.add(self)
        connect(self.far, middle.loop.listeners[("10.0.0.9", 80)]())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.middle.open.discard(self)
        self.far.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.far.meddle = self.middle.next()
        if self.far.meddle.how is ResponseFault.ABORTED:
            self.transport.abort()
        else:
            self.far.transport.write(data)


class UpstreamEnd(asyncio.Protocol):
    """The proxy's end towards the server."""

    def __init__(self, near: ClientEnd) -> None:
        self.near, self.meddle = near, Meddle(ResponseFault.PASS, 0, 0.0)
        self.transport: Any = None
        # Without ids a response from another connection can't be detected. Servers repeat those of the same connection.
        self.earlier: list[bytes] = near.middle.earlier if near.middle.gives_ids else []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self.near.transport:
            self.near.transport.close()

    def data_received(self, data: bytes) -> None:
        middle = self.near.middle
        if not middle.gives_ids:
            head, _, body = data.partition(b"\r\n\r\n")
            lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"request-id")]
            data = b"\r\n".join(lines) + b"\r\n\r\n" + body
        old = (self.earlier or [b""])[self.meddle.at % max(1, len(self.earlier))]
        self.earlier.append(data)
        self.task = asyncio.ensure_future(self.forward(data, old, self.meddle))

    async def forward(self, data: bytes, old: bytes, meddle: Meddle) -> None:
        how, to = meddle.how, self.near.transport
        if how is ResponseFault.LATE:
            await asyncio.sleep(meddle.delay_s)
        if how in (ResponseFault.PASS, ResponseFault.LATE):
            to.write(data)
        elif how is ResponseFault.BYTE_BY_BYTE:
            for byte in data:
                to.write(bytes([byte]))
        elif how in (ResponseFault.TWICE, ResponseFault.TWICE_LATE, ResponseFault.UNSOLICITED):
            to.write(data)
            await asyncio.sleep(0.0 if how is ResponseFault.TWICE else meddle.delay_s)
            to.write(old if how is ResponseFault.UNSOLICITED else data)
        elif how is ResponseFault.OLD_FIRST:
            to.write(old + data)
        elif how is ResponseFault.OLD_ONLY:
            to.write(old)
        elif how is ResponseFault.INFORMATIONAL_FIRST:
            to.write(b"HTTP/1.1 100 C\r\n\r\n" + data)
        elif how is ResponseFault.GARBAGE_AFTER:
            to.write(data + b"junk")
        elif how is ResponseFault.UNFRAMED:
            to.write(data.replace(b"Content-Length", b"X-Length"))
            to.close()
        elif how in (ResponseFault.TRUNCATED, ResponseFault.RESET):
            to.write(data[: meddle.at % len(data)])
            await asyncio.sleep(meddle.delay_s)
            to.close() if how is ResponseFault.TRUNCATED else to.abort()


@hypothesis_settings(max_examples=400)
@given(
    st.lists(meddles, min_size=1, max_size=6),
    st.lists(st.lists(json_asks, max_size=5), min_size=1, max_size=2),
    st.booleans(),
)
@example(
    [Meddle(ResponseFault.LATE, 0, 0.04)],
    [[JsonAsk(False, 0.02, 0.5, 0.0), JsonAsk(False, None, 0.5, 0.0)]],
    False,
)
@example(
    [Meddle(ResponseFault.TWICE_LATE, 0, 0.01), Meddle(ResponseFault.LATE, 0, 0.04)],
    [[JsonAsk(False, None, 0.5, 0.0), JsonAsk(False, None, 0.5, 0.0)]],
    True,
)
def test_calls_with_json_bodies_over_a_hostile_way(
    script: list[Meddle], lines: list[list[JsonAsk]], gives_ids: bool
) -> None:
    loop = MemoryLoop()
    runs: Counter[str] = Counter()

    async def handle(request: http1.Request) -> Reply:
        runs[request.headers[b"x-ask"].decode()] += 1
        await asyncio.sleep(0.001)
        return Reply(200, b'"%s"' % request.target)

    async def one_line(client: JsonClient, number: int, line: list[JsonAsk]) -> None:
        for turn, ask in enumerate(line):
            name = f"{number}-{turn}"
            path = "/same" if ask.interchangeable else f"/{name}"
            call = asyncio.ensure_future(
                client.call(
                    "10.0.0.1:80",
                    "POST",
                    path,
                    b"{}",
                    ask.timeout_s,
                    headers={"X-Ask": name},
                    interchangeable=ask.interchangeable,
                )
            )
            if ask.gives_up_s is not None:
                loop.call_later(ask.gives_up_s, call.cancel)
            (reply,) = await asyncio.gather(call, return_exceptions=True)
            if isinstance(reply, Reply):
                assert reply == Reply(200, b'"%s"' % path.encode()), f"{name} got {reply}"
            elif isinstance(reply, Failure):
                assert reply.maybe_done or not runs[name], f"{name}: {reply}, and it ran"
            else:
                assert isinstance(reply, asyncio.CancelledError), reply
            await asyncio.sleep(ask.pause_s)

    async def main() -> None:
        await JsonServer(handle).listen("10.0.0.9", 80)
        middle = Middle(loop, script, gives_ids)
        client = JsonClient()
        await asyncio.gather(*(one_line(client, n, line) for n, line in enumerate(lines)))
        await asyncio.sleep(1.0)
        assert max(runs.values(), default=0) <= 1, runs
        assert len(middle.open) <= 2  # one for the path whose calls are interchangeable, one for all others

    virtual.run(main, loop)


# RPC calls ----------------------------------------------------------------------------------------


class FrameFault(Enum):
    """The fault that is injected into one frame of the answering end."""

    PASS = auto()
    LATE = auto()
    TWICE = auto()
    DROPPED = auto()
    REORDERED = auto()  # delivered after the next frame
    TRUNCATED = auto()
    OLD_FIRST = auto()  # preceded by a repetition of an earlier frame of the connection


class FrameMeddle(NamedTuple):
    how: FrameFault
    at: int
    delay_s: float


frame_meddles = st.builds(
    FrameMeddle, st.sampled_from(FrameFault), st.integers(0, 60), st.sampled_from([0.01, 0.08, 0.3])
)
rpc_asks = st.tuples(st.sampled_from([0.003, 0.02, 0.2]), st.sampled_from([0.0, 0.005, 0.05]))


class FrameNear(asyncio.Protocol):
    """A proxy between two endpoints that injects faults into the frames of the answering one."""

    def __init__(self, loop: MemoryLoop, next_meddle: Callable[[], FrameMeddle]) -> None:
        self.next_meddle = next_meddle
        self.far = FrameFar(self)
        self.transport: Any = None
        connect(self.far, loop.listeners[("10.0.0.9", 5)]())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.far.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.far.transport.write(data)


class FrameFar(asyncio.Protocol):
    def __init__(self, near: FrameNear) -> None:
        self.near = near
        self.transport: Any = None
        self.buffer = b""
        self.reordered = b""
        self.earlier: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self.near.transport:
            self.near.transport.close()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            end = HEADER.size + HEADER.unpack_from(self.buffer)[0]
            if len(self.buffer) < end:
                return
            frame, self.buffer = self.buffer[:end], self.buffer[end:]
            self.forward(frame, self.near.next_meddle())

    def forward(self, frame: bytes, meddle: FrameMeddle) -> None:
        how, to = meddle.how, self.near.transport
        self.earlier.append(frame)
        if how is FrameFault.REORDERED:
            self.reordered += frame
            return
        if how is FrameFault.LATE:
            asyncio.get_running_loop().call_later(meddle.delay_s, to.write, frame)
        elif how in (FrameFault.PASS, FrameFault.TWICE):
            to.write(frame * (2 if how is FrameFault.TWICE else 1))
        elif how is FrameFault.OLD_FIRST:
            to.write(self.earlier[meddle.at % len(self.earlier)] + frame)
        elif how is FrameFault.TRUNCATED:
            to.write(frame[: meddle.at % len(frame)])
            to.abort()
        if self.reordered:
            to.write(self.reordered)
            self.reordered = b""


@hypothesis_settings(max_examples=400)
@given(
    st.lists(frame_meddles, min_size=1, max_size=8),
    st.lists(st.lists(rpc_asks, max_size=5), min_size=1, max_size=4),
)
def test_calls_between_processes_over_a_hostile_way(
    script: list[FrameMeddle], lines: list[list[tuple[float, float]]]
) -> None:
    loop = MemoryLoop()
    runs: Counter[str] = Counter()
    turn = 0

    def next_meddle() -> FrameMeddle:
        nonlocal turn
        turn += 1
        return script[(turn - 1) % len(script)]

    async def answer(link: Link, request: Prepare) -> Failure:
        runs[request.candidate] += 1
        await asyncio.sleep(request.number / 1000)
        return Failure(Code.UNKNOWN_ITEM, request.candidate)

    async def one_line(endpoint: Endpoint, number: int, line: list[tuple[float, float]]) -> None:
        for place, (timeout_s, takes_s) in enumerate(line):
            name = f"{number}-{place}"
            reply = await endpoint.call("10.0.0.1:5", Prepare(int(takes_s * 1000), name), timeout_s)
            assert isinstance(reply, Failure)
            if reply.code is Code.UNKNOWN_ITEM:
                assert reply.reason == name
            else:
                assert reply.maybe_done or not runs[name], f"{name}: {reply}, and it ran"

    async def main() -> None:
        far, near = Endpoint(), Endpoint()
        far.on(Prepare, answer)
        near.on(Prepare, answer)
        await far.listen("10.0.0.9", 5)
        loop.listeners[("10.0.0.1", 5)] = lambda: FrameNear(loop, next_meddle)
        await asyncio.gather(*(one_line(near, n, line) for n, line in enumerate(lines)))
        await asyncio.sleep(12.0)
        assert max(runs.values(), default=0) <= 1, runs
        assert len(near.links) <= 1 and len(far.links) <= 1

    virtual.run(main, loop)
