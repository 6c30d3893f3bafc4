"""The proxy node: listeners, dispatch of requests, readiness, graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from http import HTTPStatus
from random import Random

from otterreach.proxy.batch_jobs import BatchJobs, is_batch_job_call
from otterreach.proxy.client_connection import Client
from otterreach.proxy.fleet import Fleet
from otterreach.proxy.ingress import Ingress
from otterreach.proxy.orders import WeightOrders
from otterreach.proxy.pools import Opener
from otterreach.proxy.requests import Requests, decode_latin1, parse_number, path_of
from otterreach.proxy.runner import Runner
from otterreach.proxy.streams import Streams
from otterreach.runtime.caller_limits import PROXY_DESCRIPTOR_SHARE, max_connections, memory_budget
from otterreach.runtime.configuration import ROLLOUT, STREAM
from otterreach.runtime.http import JsonServer, Reply
from otterreach.runtime.http_client import JsonClient
from otterreach.runtime.log import log
from otterreach.runtime.node import Node
from otterreach.runtime.settings import Settings
from otterreach.sidecar import http1
from otterreach.sidecar.transport import open_tcp

READY_AGE_S = 1.2  # maximum age of the replica of the control state for becoming ready
MAX_PROBE_CONNECTIONS = 64
MAX_PROBE_BODY = 64 * 1024  # a readiness probe has none
READINESS_DELAY_S = 2.6  # time after which the platform sends no new connections to a node that is not ready
SHUTDOWN_MARGIN_S = 0.8  # time between the end of the shutdown and the end of graceS
CONFIGURATION_WAIT_SHARE = 0.5  # share of a request's time that it may wait for the first configuration
MAX_CONFIGURATION_WAIT_S = 1.5
UNKNOWN_LEFT_MS = 1000
RUNNING_ITEMS_GRACE_SHARE = 0.5  # share of graceS for which running items may continue


class Proxy:
    """One proxy. `node` follows the control state."""

    def __init__(self, node: Node, random: Random, opener: Opener = open_tcp) -> None:
        self.node = node
        self.settings: Settings = node.settings
        self.fleet = Fleet(node.store, random, opener=opener)
        self.requests = Requests(self.fleet, node.follower.age_s)
        self.streams = Streams(self.requests)
        self.runner = Runner(self.fleet, node.endpoint, node.settings, node.follower.age_s)
        self.batch_jobs = BatchJobs(self.runner.directory)
        self.orders = WeightOrders(node, JsonClient())
        budget = memory_budget(node.settings, self.fleet.loop.time)
        connections = max_connections(node.settings, PROXY_DESCRIPTOR_SHARE)
        self.ingress = Ingress(self.handle, lambda: self.fleet.config.caps, budget, connections)
        self.probes = JsonServer(self._probe, budget, MAX_PROBE_CONNECTIONS, MAX_PROBE_BODY)
        self.shutting_down = False
        self._been_ready = False
        self._configured = asyncio.Event()
        self.fleet.on_change.append(self._on_change)

    async def handle(self, request: http1.Request, client: Client) -> None:
        """Dispatch a client's request to the handler of its route."""
        if not self.fleet.config.version:
            await self._first_configuration(request, client)
        route = self.fleet.config.route(decode_latin1(request.headers.get(b"host")), path_of(request))
        if route is None:
            if is_batch_job_call(request):
                await self.batch_jobs.handle(request, client)
            else:
                self.requests.answer_without_route(client)
        elif route.kind == ROLLOUT:
            await self.batch_jobs.submit(request, client, route)
        elif route.kind == STREAM:
            await self.streams.handle(request, client, route)
        else:
            await self.requests.handle(request, client, route)

    async def _first_configuration(self, request: http1.Request, client: Client) -> None:
        """Wait for the first configuration, which arrives soon after the start, for a share of the request's time."""
        left = parse_number(request.headers.get(b"deadline-ms")) or UNKNOWN_LEFT_MS
        end = client.received_at + min(left / 1000 * CONFIGURATION_WAIT_SHARE, MAX_CONFIGURATION_WAIT_S)
        with suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                await self._configured.wait()

    def _on_change(self) -> None:
        if self.fleet.config.version:
            self._configured.set()

    @property
    def ready(self) -> bool:
        """True once the configuration and the servers have been known with a replica younger than READY_AGE_S.

        It stays true until shutdown: an outage of the controllers doesn't make the proxy unready.
        """
        if not self._been_ready:
            known = bool(self.fleet.config.version) and bool(self.fleet.servers)
            self._been_ready = known and self.node.follower.age_s() < READY_AGE_S
        return self._been_ready and not self.shutting_down

    async def _probe(self, request: http1.Request) -> Reply:
        return Reply(HTTPStatus.OK if self.ready else HTTPStatus.SERVICE_UNAVAILABLE)

    async def start(self) -> None:
        """Listen for clients and readiness probes, and start all background tasks.

        :raises OSError: if an address can't be bound
        """
        spawn = self.node.endpoint.spawn
        binds = self.settings.binds
        await self.ingress.listen(*binds["front"])
        await self.probes.listen(*binds["readyz"])
        for work in (
            self.ingress.sweep(),
            self.fleet.sweep(),
            self.runner.watch(),
            self.runner.directory.run(),
            self.orders.run(),
        ):
            spawn(work)

    async def stop(self) -> None:
        """Shut down gracefully within graceS.

        The proxy reports that it is not ready, answers accepted requests, and accepts new ones until the platform sends
        no more connections.
        """
        self.shutting_down = True
        grace = self.settings.bounds.grace_s
        log("shutting_down", node=self.settings.node)
        await asyncio.gather(
            self.orders.shut_down(),
            self.runner.shut_down(grace * RUNNING_ITEMS_GRACE_SHARE),
            self.ingress.shut_down(min(READINESS_DELAY_S, grace / 2), grace - SHUTDOWN_MARGIN_S),
        )
        self.probes.stop()
