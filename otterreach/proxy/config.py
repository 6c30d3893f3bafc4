"""The configuration as proxies use it: which route a request takes, and what holds there.

The controller has checked what stands in the item `config`; nothing is refused here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

IDEM, MUTATING, STREAM, ROLLOUT = "idem", "mutating", "stream", "rollout"
DEFAULT_TIMEOUT_MS = 30_000


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
    split: tuple[tuple[str, float], ...]  # service and weight, those above 0 only

    @property
    def streams(self) -> bool:
        return self.kind in (STREAM, ROLLOUT)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == IDEM or self.kind == ROLLOUT or self.kind == STREAM and self.resume

    def allows(self, service: str) -> bool:
        return any(name == service for name, _ in self.split)


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    probe: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Caps:
    """What a client may send, in bytes, and how long it may take or stay idle, in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


def _split(raw: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    if raw.get("split"):
        rows = [(str(row["backend"]), float(row.get("weight", 0))) for row in raw["split"]]
        return tuple((name, weight) for name, weight in rows if weight > 0)
    return ((str(raw["backend"]), 1.0),) if raw.get("backend") else ()


def host_key(host: str) -> str:
    """A Host header as routes are found by: without a port, in lower case."""
    name, colon, port = host.strip().rpartition(":")
    return (name if colon and port.isdigit() else host.strip()).lower()


def read_route(raw: dict[str, Any]) -> Route:
    return Route(
        name=str(raw["name"]),
        host=host_key(str(raw["host"])),
        prefix=str(raw["prefix"]),
        kind=str(raw.get("kind", MUTATING)),
        tries=max(1, int(raw.get("tries") or 1)),
        timeout_s=float(raw.get("timeoutMs") or DEFAULT_TIMEOUT_MS) / 1000,
        target_s=float(raw.get("targetMs") or 0) / 1000,
        priority=int(raw.get("prio") or 0),
        resume=bool(raw.get("resume")),
        single=bool(raw.get("single")),
        due_s=float(raw.get("dueMs") or 0) / 1000,
        max_wait_s=float(raw.get("maxWaitS") or 0),
        split=_split(raw),
    )


def read_caps(raw: dict[str, Any]) -> Caps:
    plain = Caps()
    return Caps(
        header_bytes=int(raw.get("headerBytes") or plain.header_bytes),
        body_bytes=int(raw.get("bodyBytes") or plain.body_bytes),
        header_s=float(raw.get("headerMs") or plain.header_s * 1000) / 1000,
        idle_s=float(raw.get("idleMs") or plain.idle_s * 1000) / 1000,
    )


@dataclass(slots=True)
class Config:
    """One version of the configuration."""

    number: int = 0
    caps: Caps = field(default_factory=Caps)
    services: dict[str, Service] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)
    item_services: frozenset[str] = frozenset()  # that items of batch jobs may go to
    _by_host: dict[str, list[Route]] = field(default_factory=dict)  # the longest prefix first

    def route(self, host: str, path: str) -> Route | None:
        """The route of a request: its host, and the longest prefix that begins its path."""
        for route in self._by_host.get(host_key(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def read(raw: Any) -> Config:
    """The item `config`; an empty one for None."""
    if not raw:
        return Config()
    services = [
        Service(str(row["name"]), str(row.get("probe", "")), int(row.get("maxConns") or 0))
        for row in raw.get("backends") or []
    ]
    config = Config(
        number=int(raw.get("gen") or 0),
        caps=read_caps(raw.get("caps") or {}),
        services={service.name: service for service in services},
        routes=[read_route(row) for row in raw.get("routes") or []],
    )
    config.item_services = frozenset(n for r in config.routes if r.kind == ROLLOUT for n, _ in r.split)
    for route in sorted(config.routes, key=lambda r: -len(r.prefix)):
        config._by_host.setdefault(route.host, []).append(route)
    return config
