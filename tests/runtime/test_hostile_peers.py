"""Generated trouble between the real clients and servers of the system: whose answer it is, and what runs how often.

Stand-ins reset, double, delay, reorder and cut at any byte; they send answers early, announcements, extra answers, and
bodies without a length. All is in memory and in virtual time, and the same cases are generated in each run.
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
from otterreach.runtime.rpc import HEADER, Endpoint, Link
from otterreach.sidecar import http1
from tests import virtual
from tests.proxy.proxy_support import Call, Caller, FakeServer, ServerEnd, World, route
from tests.proxy.test_requests import ingress
from tests.virtual import LATENCY_S, MemoryLoop, MemoryTransport, connect

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
TRIES = 2
END = b"|end"


class Trick(Enum):
    """What a server does with one request."""

    PLAIN = auto()
    BYTE_BY_BYTE = auto()
    TWICE = auto()
    TWICE_LATE = auto()  # the second one after the delay
    OLD_FIRST = auto()  # an earlier answer, then its own
    OLD_ONLY = auto()  # an earlier answer in its place
    ANNOUNCED = auto()  # 100 and 103 before the answer
    ANNOUNCED_AFTER = auto()
    UPGRADED = auto()  # 101
    GARBAGE_AFTER = auto()
    GARBAGE = auto()
    NO_ID = auto()
    NO_SEAL = auto()
    ENCODED = auto()
    CUT_ANSWER = auto()  # at any byte
    RESET_ANSWER = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    SILENCE = auto()
    FAILS = auto()
    FAILS_TWICE = auto()
    RESET_UNRUN = auto()
    CLOSED_UNRUN = auto()
    TURNED_AWAY = auto()
    MISDIRECTED = auto()
    PLAIN_503 = auto()  # ran, and says 503 without Not-Run
    EARLY_FAILS = auto()  # ran, and answers before the whole body has come, where it comes in pieces
    EARLY_TURNED_AWAY = auto()


EARLY = (Trick.EARLY_FAILS, Trick.EARLY_TURNED_AWAY)
UNRUN = (Trick.RESET_UNRUN, Trick.CLOSED_UNRUN, Trick.TURNED_AWAY, Trick.MISDIRECTED, Trick.EARLY_TURNED_AWAY)


class Act(NamedTuple):
    trick: Trick
    at: int  # a byte
    delay_s: float


class Ask(NamedTuple):
    kind: str
    body: int  # bytes
    leaves_s: float | None  # the client goes away after so long
    pause_s: float  # before the next one


acts = st.builds(Act, st.sampled_from(Trick), st.integers(0, 400), st.sampled_from([0.0, 0.005, 0.03, 0.3]))
asks = st.builds(
    Ask,
    st.sampled_from(["idem", "mutating", "stream"]),
    st.sampled_from([0, 10, 70_000]),
    st.sampled_from([None, None, None, 0.002, 0.01]),
    st.sampled_from([0.0, 0.03]),
)


class NarrowTransport(MemoryTransport):
    """Takes `room` bytes of a write at once, and the rest a while later, unless it was aborted by then."""

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
    """A server's end that may answer before it has read the whole body; then it reads on."""

    def __init__(self, server: FakeServer, servers: HostileServers) -> None:
        super().__init__(server)
        self.servers = servers
        self.due = 0  # bytes of a body whose request has been answered

    def data_received(self, data: bytes) -> None:
        part, data = data[: self.due], data[self.due :]
        self.due -= len(part)
        if part.strip(b"b"):
            self.servers.misplaced.append(part)
        head, _, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if length and len(body) < int(length[1]) and self.servers.next_trick in EARLY:
            self.due = int(length[1]) - len(body)
            data = head.replace(length[0], b"Content-Length: 0") + b"\r\n\r\n"
        if data:
            super().data_received(data)


class HostileWorld(World):
    """Connections of some room, to ends that may answer early."""

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
    """Three servers that act by turns of one list, and what they have seen."""

    def __init__(self, world: World, script: list[Act]) -> None:
        self.script, self.turn = script, 0
        self.runs: Counter[str] = Counter()
        self.reached: dict[str, set[str]] = {}
        self.sealed: dict[bytes, int] = {}  # stamp -> status
        self.earlier: list[bytes] = []
        self.misplaced: list[bytes] = []  # other bytes where the rest of a body was due
        for n in range(3):
            world.server(f"i-{n}", self.act)

    @property
    def next_trick(self) -> Trick:
        return self.script[self.turn % len(self.script)].trick

    async def act(self, call: Call) -> None:
        act = self.script[self.turn % len(self.script)]
        self.turn += 1
        self.reached.setdefault(call.id, set()).add(call.server.id)
        if act.trick not in UNRUN:
            self.runs[call.id] += 1
        await asyncio.sleep(act.delay_s / 3)
        await self.answer(call, act)

    def whole(self, call: Call, status: int = 200, head: bytes = b"", framed: bool = True, ident: bool = True) -> bytes:
        stamp = b"s-%d" % len(self.sealed)
        self.sealed[stamp] = status
        body = b"for:" + call.id.encode() + b":" + call.server.id.encode() + END
        lines = [b"HTTP/1.1 %d X" % status, b"Reply-Seal: " + stamp]
        lines += [b"Request-Id: " + call.id.encode()] if ident else []
        lines += [b"Content-Length: %d" % len(body)] if framed else []
        answer = b"\r\n".join(lines) + b"\r\n" + head + b"\r\n" + body
        if ident:  # on a new connection nobody can tell one without an id
            self.earlier.append(answer)
        return answer

    async def answer(self, call: Call, act: Act) -> None:
        trick, write = act.trick, call.write
        if trick is Trick.PLAIN:
            write(self.whole(call))
        elif trick is Trick.BYTE_BY_BYTE:
            for byte in self.whole(call):
                write(bytes([byte]))
        elif trick in (Trick.TWICE, Trick.TWICE_LATE):
            answer = self.whole(call)
            write(answer)
            await asyncio.sleep(act.delay_s if trick is Trick.TWICE_LATE else 0.0)
            write(answer)
        elif trick is Trick.OLD_FIRST:
            write((self.earlier or [b""])[act.at % max(1, len(self.earlier))] + self.whole(call))
        elif trick is Trick.OLD_ONLY:
            write((self.earlier or [b""])[act.at % max(1, len(self.earlier))])
        elif trick is Trick.ANNOUNCED:
            write(b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\n" + self.whole(call))
        elif trick is Trick.ANNOUNCED_AFTER:
            write(self.whole(call) + b"HTTP/1.1 100 C\r\n\r\n")
        elif trick is Trick.UPGRADED:
            write(b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + self.whole(call))
        elif trick is Trick.GARBAGE_AFTER:
            write(self.whole(call) + b"\x00junk"[: act.at % 6])
        elif trick is Trick.GARBAGE:
            write(b"\x16\x03\x01 junk\r\n\r\n")
        elif trick is Trick.NO_ID:
            write(self.whole(call, ident=False))
        elif trick is Trick.NO_SEAL:
            call.answer(200, b"unstamped", b"")
        elif trick is Trick.ENCODED:
            write(self.whole(call, head=b"Content-Encoding: gzip\r\n"))
        elif trick in (Trick.CUT_ANSWER, Trick.RESET_ANSWER):
            answer = self.whole(call)
            write(answer[: act.at % len(answer)])
            await asyncio.sleep(act.delay_s)
            self.end(call, reset=trick is Trick.RESET_ANSWER)
        elif trick in (Trick.UNFRAMED, Trick.UNFRAMED_RESET):
            answer = self.whole(call, framed=False)
            write(answer[: -act.at % 9] if trick is Trick.UNFRAMED_RESET else answer)
            await asyncio.sleep(act.delay_s)
            self.end(call, reset=trick is Trick.UNFRAMED_RESET)
        elif trick in (Trick.FAILS, Trick.EARLY_FAILS):
            write(self.whole(call, 500))
        elif trick is Trick.FAILS_TWICE:
            write(self.whole(call, 500) * 2)
        elif trick is Trick.PLAIN_503:
            write(self.whole(call, 503))
        elif trick in (Trick.TURNED_AWAY, Trick.EARLY_TURNED_AWAY):
            call.turn_away()
        elif trick is Trick.MISDIRECTED:
            call.answer(421, b"", b"")
        elif trick is not Trick.SILENCE:
            self.end(call, reset=trick is Trick.RESET_UNRUN)

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
    caller = Caller(listener)
    for turn, ask in enumerate(line):
        if caller.lost:
            caller = Caller(listener)
        ident = f"q{number}-{turn}"
        heard[ident] = Heard(ask.kind, None)
        path = f"/{ask.kind[0]}/{ident}"
        caller.send(path=path, ident=ident, body=b"b" * ask.body, deadline_ms=500)
        if ask.leaves_s is not None:
            await asyncio.sleep(ask.leaves_s)
            caller.transport.abort()
            caller = Caller(listener)
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
)
@example([Act(Trick.EARLY_FAILS, 0, 0.0)], [[Ask("mutating", 70_000, None, 0.0)]], 5000)
def test_requests_of_clients_at_hostile_servers(script: list[Act], lines: list[list[Ask]], room: int | None) -> None:
    async def main() -> None:
        world = HostileWorld(kinds(), room)
        servers = world.hostile = HostileServers(world, script)
        heard: dict[str, Heard] = {}
        await asyncio.gather(*(one_client(world, n, line, heard) for n, line in enumerate(lines)))
        await asyncio.sleep(1.0)  # what comes late comes
        judge(servers, heard)
        assert not servers.misplaced

    virtual.run(main)


# Calls with JSON bodies ---------------------------------------------------------------------------


class Meddling(Enum):
    """What is done to one answer on its way."""

    PASS = auto()
    BYTE_BY_BYTE = auto()
    LATE = auto()
    TWICE = auto()
    TWICE_LATE = auto()
    OLD_FIRST = auto()
    OLD_ONLY = auto()
    ANNOUNCED = auto()
    GARBAGE_AFTER = auto()
    CUT = auto()
    RESET = auto()
    SWALLOWED = auto()
    UNFRAMED = auto()
    UNASKED = auto()  # an answer passes; later, at rest, one that nobody asked for
    REJECTION_SAMPLE = auto()  # the connection ends before the request is handed on


class Meddle(NamedTuple):
    how: Meddling
    at: int
    delay_s: float


class JsonAsk(NamedTuple):
    interchangeable: bool
    gives_up_s: float | None  # cancelled after so long
    timeout_s: float
    pause_s: float


meddles = st.builds(Meddle, st.sampled_from(Meddling), st.integers(0, 200), st.sampled_from([0.0, 0.01, 0.04, 0.2]))
json_asks = st.builds(
    JsonAsk,
    st.booleans(),
    st.sampled_from([None, None, 0.001, 0.0025, 0.02, 0.05]),
    st.sampled_from([0.003, 0.05, 0.5]),
    st.sampled_from([0.0, 0.01, 0.1]),
)


class Middle:
    """Stands between the clients and the real server, one connection for one."""

    def __init__(self, loop: MemoryLoop, script: list[Meddle], gives_ids: bool) -> None:
        self.loop, self.script, self.gives_ids = loop, script, gives_ids
        self.turn = 0
        self.earlier: list[bytes] = []
        self.open: set[MiddleNear] = set()
        loop.listeners[("10.0.0.1", 80)] = lambda: MiddleNear(self)

    def next(self) -> Meddle:
        self.turn += 1
        return self.script[(self.turn - 1) % len(self.script)]


class MiddleNear(asyncio.Protocol):
    """The end towards the client."""

    def __init__(self, middle: Middle) -> None:
        self.middle = middle
        self.far = MiddleFar(self)
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
        if self.far.meddle.how is Meddling.REJECTION_SAMPLE:
            self.transport.abort()
        else:
            self.far.transport.write(data)


class MiddleFar(asyncio.Protocol):
    """The end towards the server."""

    def __init__(self, near: MiddleNear) -> None:
        self.near, self.meddle = near, Meddle(Meddling.PASS, 0, 0.0)
        self.transport: Any = None
        # Without ids nobody can tell an answer from another connection; those of the same one are what servers repeat.
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
        self.task = asyncio.ensure_future(self.hand_on(data, old, self.meddle))

    async def hand_on(self, data: bytes, old: bytes, meddle: Meddle) -> None:
        how, to = meddle.how, self.near.transport
        if how is Meddling.LATE:
            await asyncio.sleep(meddle.delay_s)
        if how in (Meddling.PASS, Meddling.LATE):
            to.write(data)
        elif how is Meddling.BYTE_BY_BYTE:
            for byte in data:
                to.write(bytes([byte]))
        elif how in (Meddling.TWICE, Meddling.TWICE_LATE, Meddling.UNASKED):
            to.write(data)
            await asyncio.sleep(0.0 if how is Meddling.TWICE else meddle.delay_s)
            to.write(old if how is Meddling.UNASKED else data)
        elif how is Meddling.OLD_FIRST:
            to.write(old + data)
        elif how is Meddling.OLD_ONLY:
            to.write(old)
        elif how is Meddling.ANNOUNCED:
            to.write(b"HTTP/1.1 100 C\r\n\r\n" + data)
        elif how is Meddling.GARBAGE_AFTER:
            to.write(data + b"junk")
        elif how is Meddling.UNFRAMED:
            to.write(data.replace(b"Content-Length", b"X-Length"))
            to.close()
        elif how in (Meddling.CUT, Meddling.RESET):
            to.write(data[: meddle.at % len(data)])
            await asyncio.sleep(meddle.delay_s)
            to.close() if how is Meddling.CUT else to.abort()


@hypothesis_settings(max_examples=400)
@given(
    st.lists(meddles, min_size=1, max_size=6),
    st.lists(st.lists(json_asks, max_size=5), min_size=1, max_size=2),
    st.booleans(),
)
@example(
    [Meddle(Meddling.LATE, 0, 0.04)],
    [[JsonAsk(False, 0.02, 0.5, 0.0), JsonAsk(False, None, 0.5, 0.0)]],
    False,
)
@example(
    [Meddle(Meddling.TWICE_LATE, 0, 0.01), Meddle(Meddling.LATE, 0, 0.04)],
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


# Calls between own processes ----------------------------------------------------------------------


class Frames(Enum):
    """What is done to one frame of the answering end."""

    PASS = auto()
    LATE = auto()
    TWICE = auto()
    SWALLOWED = auto()
    SWAPPED = auto()  # comes after the next one
    CUT = auto()
    OLD_TOO = auto()  # and an earlier one of this connection once more


class FrameMeddle(NamedTuple):
    how: Frames
    at: int
    delay_s: float


frame_meddles = st.builds(FrameMeddle, st.sampled_from(Frames), st.integers(0, 60), st.sampled_from([0.01, 0.08, 0.3]))
rpc_asks = st.tuples(st.sampled_from([0.003, 0.02, 0.2]), st.sampled_from([0.0, 0.005, 0.05]))


class FrameNear(asyncio.Protocol):
    """Between two endpoints: what comes from the answering one is meddled with, frame by frame."""

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
        self.held = b""
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
            self.hand_on(frame, self.near.next_meddle())

    def hand_on(self, frame: bytes, meddle: FrameMeddle) -> None:
        how, to = meddle.how, self.near.transport
        self.earlier.append(frame)
        if how is Frames.SWAPPED:
            self.held += frame
            return
        if how is Frames.LATE:
            asyncio.get_running_loop().call_later(meddle.delay_s, to.write, frame)
        elif how in (Frames.PASS, Frames.TWICE):
            to.write(frame * (2 if how is Frames.TWICE else 1))
        elif how is Frames.OLD_TOO:
            to.write(self.earlier[meddle.at % len(self.earlier)] + frame)
        elif how is Frames.CUT:
            to.write(frame[: meddle.at % len(frame)])
            to.abort()
        if self.held:
            to.write(self.held)
            self.held = b""


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
