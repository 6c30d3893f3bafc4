"""The operator's configuration in force: routes, services, and limits for clients.

The controller has validated the document in the item `config` (controller/config_schema.py); nothing is rejected here.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from math import isfinite
from typing import Any, ClassVar, Self

# Kinds of routes.
IDEMPOTENT = "idem"
MUTATING = "mutating"
STREAM = "stream"
ROLLOUT = "rollout"

MS_PER_S = 1000.0
MAX_TIME_S = 1e7  # four months; longer times of a configuration are equivalent, and could overflow sums
DEFAULT_TIMEOUT_MS = 30_000


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The item `config`: the operator's document as received, including fields that are unknown here."""

    KIND: ClassVar[str] = "config"

    document: dict[str, Any]

    @property
    def version(self) -> int:
        """The number of the version, which increases with each change."""
        return int(self.document.get("gen") or 0)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        return cls(json.loads(value))

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps(self.document).encode()


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: str
    tries: int
    timeout_s: float
    target_s: float
    priority: int
    resume: bool
    single: bool
    due_s: float
    max_wait_s: float
    split: tuple[tuple[str, float], ...]  # services with a weight above 0, and their weights
    services: frozenset[str]  # all services that the route names, regardless of their weights

    @property
    def streams(self) -> bool:
        """True if the answers are streams of events."""
        return self.kind in (STREAM, ROLLOUT)

    @property
    def idempotent(self) -> bool:
        """True if a request may be executed more than once."""
        if self.kind == STREAM:
            return self.resume
        return self.kind in (IDEMPOTENT, ROLLOUT)

    def allows(self, service: str) -> bool:
        """Return True if requests may be forwarded to the service."""
        return any(name == service for name, _ in self.split)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable servers."""

    name: str
    probe: str
    max_connections: int  # limit for all proxies together; 0 for no limit


@dataclass(frozen=True, slots=True)
class Caps:
    """Limits for clients: sizes of headers and bodies in bytes, header and idle time-outs in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


def _services(raw: dict[str, Any]) -> frozenset[str]:
    shares = raw.get("split") or ()
    names = [share.get("backend") for share in shares] + [raw.get("backend")]
    return frozenset(str(name) for name in names if name)


def _split(raw: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    if raw.get("split"):
        rows = [(str(row["backend"]), float(row.get("weight", 0))) for row in raw["split"]]
        # The weights are finite, but their sum may overflow, and weighted selection needs it.
        if not isfinite(sum(weight for _, weight in rows)):
            rows = [(name, weight / len(rows)) for name, weight in rows]
        return tuple((name, weight) for name, weight in rows if weight > 0)
    return ((str(raw["backend"]), 1.0),) if raw.get("backend") else ()


def host_key(host: str) -> str:
    """Normalize a Host header for route lookup: without the port, in lower case."""
    name, colon, port = host.strip().rpartition(":")
    return (name if colon and port.isdigit() else host.strip()).lower()


def _time_s(value: float | None, units_per_s: float, default_s: float) -> float:
    """Convert a time of the document to seconds, at most MAX_TIME_S; the default if it is absent, 0 or negative."""
    seconds = float(value or 0) / units_per_s
    return min(seconds, MAX_TIME_S) if seconds > 0 else default_s


def read_route(raw: dict[str, Any]) -> Route:
    """Read a route of the document."""
    return Route(
        name=str(raw["name"]),
        host=host_key(str(raw.get("host", ""))),
        prefix=str(raw.get("prefix", "")),
        kind=str(raw.get("kind", MUTATING)),
        tries=max(1, int(raw.get("tries") or 1)),
        timeout_s=_time_s(raw.get("timeoutMs"), MS_PER_S, DEFAULT_TIMEOUT_MS / MS_PER_S),
        target_s=_time_s(raw.get("targetMs"), MS_PER_S, 0.0),
        priority=int(raw.get("prio") or 0),
        resume=bool(raw.get("resume")),
        single=bool(raw.get("single")),
        due_s=_time_s(raw.get("dueMs"), MS_PER_S, 0.0),
        max_wait_s=_time_s(raw.get("maxWaitS"), 1.0, 0.0),
        split=_split(raw),
        services=_services(raw),
    )


def read_caps(raw: dict[str, Any]) -> Caps:
    """Read the limits for clients, with defaults for absent ones."""
    defaults = Caps()
    return Caps(
        header_bytes=int(raw.get("headerBytes") or defaults.header_bytes),
        body_bytes=int(raw.get("bodyBytes") or defaults.body_bytes),
        header_s=_time_s(raw.get("headerMs"), MS_PER_S, defaults.header_s),
        idle_s=_time_s(raw.get("idleMs"), MS_PER_S, defaults.idle_s),
    )


@dataclass(slots=True)
class Configuration:
    """One version of the configuration; version 0 if none has been accepted yet."""

    version: int = 0
    caps: Caps = field(default_factory=Caps)
    services: dict[str, Service] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)
    item_services: frozenset[str] = frozenset()  # services that may receive items of batch jobs
    by_host: dict[str, list[Route]] = field(default_factory=dict)  # routes by host, the longest prefix first
    by_name: dict[str, Route] = field(default_factory=dict)

    def route_named(self, name: str) -> Route | None:
        """Return the route with that name, or None."""
        return self.by_name.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, by its host and the longest prefix that matches its path, or None."""
        for route in self.by_host.get(host_key(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def read(record: ConfigurationRecord | None) -> Configuration:
    """Read the configuration from the item `config`; an empty one if there is no item yet."""
    if record is None:
        return Configuration()
    raw = record.document
    services = [
        Service(str(row["name"]), str(row.get("probe", "")), int(row.get("maxConns") or 0))
        for row in raw.get("backends") or []
    ]
    configuration = Configuration(
        version=record.version,
        caps=read_caps(raw.get("caps") or {}),
        services={service.name: service for service in services},
        routes=[read_route(row) for row in raw.get("routes") or []],
    )
    rollout_routes = [route for route in configuration.routes if route.kind == ROLLOUT]
    configuration.item_services = frozenset(name for route in rollout_routes for name, _ in route.split)
    for route in sorted(configuration.routes, key=lambda route: -len(route.prefix)):
        configuration.by_host.setdefault(route.host, []).append(route)
    configuration.by_name = {route.name: route for route in configuration.routes}
    return configuration
