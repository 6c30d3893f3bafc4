"""Factory of the simulated servers."""

from __future__ import annotations

from otterreach.loadtest.engine_server import EngineServer
from otterreach.loadtest.plain_server import PlainServer
from otterreach.loadtest.plan import Service
from otterreach.loadtest.play_context import PlayContext
from otterreach.loadtest.server import Server


def make_server(context: PlayContext, spec: Service, index: int, ip: str, zone: str) -> Server:
    """Create a server of a service."""
    kind = EngineServer if spec.kind == "engine" else PlainServer
    return kind(context, spec, index, ip, zone)
