"""Crowds at a controller's listener for servers, applications and the operator."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from otterreach.cli.caller import send_request
from otterreach.loadtest.machines import CTL_PORT
from otterreach.sidecar.http1 import Response
from tests.crowds.clients import BODIES, Crowd, Kind
from tests.crowds.deployments import CONNECTIONS, FEW_DESCRIPTORS, MIB, NOFILE, RAM_MIB, SERVED, deployment, plan

pytestmark = pytest.mark.crowd
BODY_BYTES = 36 * MIB  # largest body that this listener takes
CLIENTS = 12
DOCUMENT_BYTES = 12 * MIB
DOCUMENTS_EACH = 6
FORWARD_TIMEOUT_S = 20.0
PAGES_RAM_MIB = 296
HEADS = {
    "config": "PUT /config HTTP/1.1\r\nHost: ctl\r\nIf-Match: 1\r\n",
    "servers": "PUT /servers/crowd-{n} HTTP/1.1\r\nHost: ctl\r\n",
}


@pytest.mark.parametrize("resource", HEADS)
@pytest.mark.parametrize("kind", BODIES)
def test_callers(kind: Kind, resource: str, tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            crowd = Crowd(kind, CLIENTS, BODY_BYTES, HEADS[resource])
            await system.crowd(crowd, system.ctl, "core")

    asyncio.run(main())


@pytest.mark.parametrize("document", [b"[],", b'"":{},', b"0,"])
def test_documents_of_many_values(document: bytes, tmp_path: Path) -> None:
    """A document of tiny values takes many times its length once it is decoded."""

    async def main() -> None:
        async with deployment(tmp_path, plan()) as system:
            host, port = system.ctl
            body = b"[" + document * (DOCUMENT_BYTES // len(document))
            async with system.observe("core") as core:
                calls = [send_request(f"{host}:{port}", "PUT", "/config", body, {b"If-Match": b"1"}) for _ in range(4)]
                await asyncio.gather(*calls)
                await system.call_until("/lookup/a", b"ordinary", SERVED)
            print(f"core: {core}")
            core.check(RAM_MIB, NOFILE)

    asyncio.run(main())


@pytest.mark.parametrize("cores", [3])
def test_documents_that_are_forwarded(cores: int, tmp_path: Path) -> None:
    """Each controller gets complete documents, and those that don't decide pass them on."""

    async def main() -> None:
        async with deployment(tmp_path, plan(core=cores)) as system:
            body = b'{"x":"%s"}' % (b"x" * DOCUMENT_BYTES)
            addresses = [f"{system.machine('core', n).ip}:{CTL_PORT}" for n in range(cores)]
            async with (
                system.observe("core", 0) as first,
                system.observe("core", 1) as second,
                system.observe("core", 2) as third,
            ):
                calls = [
                    send_request(address, "PUT", "/config", body, {b"If-Match": b"1"}, FORWARD_TIMEOUT_S)
                    for address in addresses * DOCUMENTS_EACH
                ]
                await asyncio.gather(*calls)
                await system.call_until("/lookup/a", b"ordinary", SERVED)
            for observer in (first, second, third):
                print(f"core: {observer}")
                observer.check(RAM_MIB, NOFILE)

    asyncio.run(main())


def test_a_single_document_is_handled_in_calm(tmp_path: Path) -> None:
    """The largest body of this listener, on a machine as large as those of the pages."""

    async def main() -> None:
        async with deployment(tmp_path, plan(PAGES_RAM_MIB)) as system:
            host, port = system.ctl
            body = b'{"x":"%s"}' % (b"x" * (BODY_BYTES - 8))
            async with system.observe("core") as core:
                answer = await send_request(
                    f"{host}:{port}", "PUT", "/config", body, {b"If-Match": b"1"}, FORWARD_TIMEOUT_S
                )
            print(f"core: {core}")
            assert isinstance(answer, Response)
            assert answer.status == 400  # it is no configuration
            core.check(PAGES_RAM_MIB, NOFILE)

    asyncio.run(main())


def test_many_connections(tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path, plan(nofile=FEW_DESCRIPTORS)) as system:
            crowd = Crowd(Kind.UNFINISHED_HEAD, CONNECTIONS, BODY_BYTES, HEADS["servers"])
            await system.crowd(crowd, system.ctl, "core", FEW_DESCRIPTORS)

    asyncio.run(main())
