"""Makes the servers of a plan."""

from __future__ import annotations

from otterreach.loadtest.engine_server import EngineServer
from otterreach.loadtest.plain_server import PlainServer
from otterreach.loadtest.plan import Service
from otterreach.loadtest.scene import Scene
from otterreach.loadtest.server import Server


def make_server(scene: Scene, spec: Service, place: int, ip: str, zone: str) -> Server:
    """A server of a service."""
    kind = EngineServer if spec.kind == "engine" else PlainServer
    return kind(scene, spec, place, ip, zone)
