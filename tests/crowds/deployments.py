"""A small system with lowered limits, and ordinary calls to it."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from otterreach.cli.caller import send_request
from otterreach.loadtest.machines import CTL_PORT, FRONT_PORT, READYZ_PORT, Machine
from otterreach.loadtest.plan import HOST, Machines, Plan, Route, Service
from otterreach.loadtest.play import Play
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1
from tests.crowds.clients import Address, Crowd, OpenCrowd
from tests.crowds.observed import Observer

MIB = 1024 * 1024
RAM_MIB = 128  # limit of each process
NOFILE = 4096
BODY_BYTES = 4 * MIB  # largest legal body
FEW_DESCRIPTORS = 512
CONNECTIONS = 700  # of a crowd that wants more descriptors than that
CLIENTS = 48  # three quarters of them hold more than RAM_MIB
HOLD_S = 1.0  # time for which the crowd stays before the ordinary call
ANSWER_TIMEOUT_S = 5.0  # of one try of the ordinary call
ANSWERED_WITHIN_S = 30.0  # only ends a test whose call is never answered
RETRY_S = 0.2
SERVED = 200
ACCEPTED = 202


def plan(
    ram_mib: int = RAM_MIB, body_bytes: int = BODY_BYTES, nofile: int = NOFILE, front: int = 1, core: int = 1
) -> Plan:
    """Return a plan with one process of each role, or more, and one server for each kind of route."""
    return Plan(
        name="crowds",
        seconds=0.0,
        machines=Machines(front=front, store=1, core=core, ram_mb=ram_mib, nofile=nofile),
        zones=["hall-a"],
        survive=0,
        body_bytes=body_bytes,
        service=[Service("marker", servers=1), Service("reader", kind="engine", servers=1, models=["m-one"])],
        route=[
            Route("lookup", "/lookup/", "marker", timeout_ms=20_000, target_ms=10_000),
            Route("book", "/book/", "marker", kind="mutating", timeout_ms=20_000, target_ms=10_000),
            Route("samples", "/samples/", "reader", kind="rollout", target_ms=10_000, timeout_ms=20_000),
        ],
    )


class Deployment:
    """A running system."""

    def __init__(self, play: Play) -> None:
        self.play = play

    def machine(self, kind: str, index: int = 0) -> Machine:
        """Return a machine of a class."""
        return self.play.system.machines_of_kind(kind)[index]

    def observe(self, kind: str, index: int = 0) -> Observer:
        """Observe the process of a machine."""
        machine = self.machine(kind, index)
        return Observer(machine.pid, machine.ip)

    @property
    def front(self) -> Address:
        """Where clients call."""
        return self.machine("front").ip, FRONT_PORT

    @property
    def readyz(self) -> Address:
        """Where the platform asks a proxy whether it is ready."""
        return self.machine("front").ip, READYZ_PORT

    @property
    def ctl(self) -> Address:
        """Where servers, applications and the operator call."""
        return self.machine("core").ip, CTL_PORT

    async def call(self, path: str, body: bytes, ident: str, front: int = 0) -> int:
        """Send one request of a client; return its status, or 0 without an answer."""
        headers = {b"Request-Id": ident.encode()}
        host, port = self.machine("front", front).ip, FRONT_PORT
        answer = await send_request(f"{host}:{port}", "POST", path, body, headers, ANSWER_TIMEOUT_S, HOST)
        return 0 if isinstance(answer, Failure) else answer.status

    async def call_until(self, path: str, body: bytes, status: int) -> None:
        """Repeat an ordinary request until it has this status; fail if that never comes."""
        loop = asyncio.get_running_loop()
        end = loop.time() + ANSWERED_WITHIN_S
        seen: list[int] = []
        while loop.time() < end:
            seen.append(await self.call(path, body, f"ordinary-{len(seen)}"))
            if seen[-1] == status:
                return
            await asyncio.sleep(RETRY_S)
        raise AssertionError(f"an ordinary call was never answered {status}: {seen}")

    async def crowd(self, crowd: Crowd, address: Address, kind: str, nofile: int = NOFILE) -> None:
        """Send a crowd to a listener of a process; check the process and that clients still get answers."""
        open_crowd = OpenCrowd()
        try:
            async with self.observe(kind) as observer:
                await open_crowd.send(crowd, address)
                await asyncio.sleep(HOLD_S)
                await self.call_until("/lookup/a", b"ordinary", SERVED)
        finally:
            open_crowd.close()
        print(f"{kind}: {observer}")
        observer.check(RAM_MIB, nofile)


@asynccontextmanager
async def deployment(folder: Path, plan: Plan) -> AsyncIterator[Deployment]:
    """Start a system and stop it at the end."""
    play = Play(plan, folder, seconds=0.0, quiet=True)
    try:
        assert await play._start(), play.played.faults
        yield Deployment(play)
    finally:
        await play._stop()


def batch_job(size: int, model: str = "m-one") -> bytes:
    """Return the body of a batch job with one item, about `size` bytes long."""
    item = {
        "id": "item",
        "path": "/samples/item",
        "headers": {"Model": model, "Tokens": "8,8", "Prompt-Prefix": "p:8"},
        "tokens": 16,
        "group": "g",
        "scorer": {"id": "score", "host": HOST, "path": "/lookup/score", "body": "eA=="},
        "body": "",
    }
    job = {"step": 1, "model": model, "minVersion": 0, "desired": 1, "reqs": [item]}
    empty = len(json.dumps(job))
    item["body"] = base64.b64encode(b"x" * ((size - empty) // 4 * 3 - 3)).decode()
    body = json.dumps(job).encode()
    assert len(body) <= size
    return body


def response_status(data: bytes) -> int:
    """Return the status of a complete or partial response; 0 if there is none."""
    parser = http1.ResponseParser()
    parser.feed(data)
    return parser.status
