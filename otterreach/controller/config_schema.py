"""The schema of the operator's configuration: reading a body, types of fields, PROTOCOL's list of what is invalid.

What is known is checked by type; what is not known is kept as it came, so that a GET gives back what was sent.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.configuration import ROLLOUT
from otterreach.runtime.integers import bounded_integer

Document = dict[str, Any]  # a configuration as it came, unknown fields included


def _alias(name: str) -> Any:
    """An optional field by its name on the wire."""
    return field(default=None, metadata={"alias": name})


@dataclass(slots=True)
class ShareSchema:
    """One part of a split."""

    backend: str
    weight: float


@dataclass(slots=True)
class RouteSchema:
    """A route; times in the unit of their names."""

    name: str
    host: str
    prefix: str
    kind: str
    backend: str | None = None
    split: list[ShareSchema] | None = None
    timeout_ms: float | None = _alias("timeoutMs")
    target_ms: float | None = _alias("targetMs")
    due_ms: float | None = _alias("dueMs")
    max_wait_s: float | None = _alias("maxWaitS")
    tries: int | None = None
    prio: int | None = None


@dataclass(slots=True)
class BackendSchema:
    """A service: a group of servers."""

    name: str
    probe: str | None = None
    max_conns: int | None = _alias("maxConns")


@dataclass(slots=True)
class CapsSchema:
    """Limits for clients."""

    header_bytes: float | None = _alias("headerBytes")
    body_bytes: float | None = _alias("bodyBytes")
    header_ms: float | None = _alias("headerMs")
    idle_ms: float | None = _alias("idleMs")


@dataclass(slots=True)
class ConfigurationSchema:
    """The fields of a configuration whose types are checked."""

    gen: int
    routes: list[RouteSchema]
    backends: list[BackendSchema]
    caps: CapsSchema | None = None


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise ValueError("a whole number is needed")
    return bounded_integer(value)


def _number(value: Any) -> float:
    if type(value) not in (int, float):
        raise ValueError("a number is needed")
    return float(value)


def _text(value: Any) -> str:
    if type(value) is not str:
        raise ValueError("a string is needed")
    return value


@functools.cache
def _decoder() -> Callable[[Any], ConfigurationSchema]:
    from mashumaro.codecs.basic import BasicDecoder  # imported late: a start that reads no configuration is lighter
    from mashumaro.dialect import Dialect

    class Strict(Dialect):
        """Converts nothing: 1 is no text, and "1" is no number."""

        serialization_strategy = {
            int: {"deserialize": _integer},
            float: {"deserialize": _number},
            str: {"deserialize": _text},
        }

    return BasicDecoder(ConfigurationSchema, default_dialect=Strict).decode


def _field_path(error: BaseException | None) -> str:
    """The wire's names of the fields down to the one that is wrong."""
    path = ""
    while error is not None:
        name = str(getattr(error, "field_name", ""))
        holder = getattr(error, "holder_class", None)
        alias = getattr(holder, "__dataclass_fields__", {}).get(name)
        if name:
            path += "." * bool(path) + (alias.metadata.get("alias", name) if alias else name)
        error = error.__cause__ or error.__context__
    return path or "configuration"


def _typed(raw: Document) -> ConfigurationSchema | Failure:
    for kind in ("routes", "backends"):
        rows = raw.get(kind)
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            return Failure(Code.CONFIG_FIELD, f"{kind}: a list of objects is needed")
    try:
        return _decoder()(raw)
    except (ValueError, LookupError, TypeError, AttributeError, OverflowError) as error:
        return Failure(Code.CONFIG_FIELD, f"{_field_path(error)}: missing or of the wrong type")


def _refuse_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON")


def _finite(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise ValueError(f"{text} is out of range")
    return value


def read_body(body: bytes) -> Document | Failure:
    """The JSON object of a body, in UTF-8 and with finite numbers only; CONFIG_UNREADABLE if it is anything else."""
    try:
        raw = json.loads(body.decode("utf-8"), parse_constant=_refuse_constant, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        return Failure(Code.CONFIG_UNREADABLE, f"body: {error}")
    if not isinstance(raw, dict):
        return Failure(Code.CONFIG_UNREADABLE, "body: an object is needed")
    return raw


def _check_route(route: RouteSchema, services: Collection[str]) -> Failure | None:
    shares = route.split
    if route.backend is None and shares is None:
        return Failure(Code.CONFIG_FIELD, f"routes.backend: missing in {route.name}")
    names = [share.backend for share in shares or ()] + ([] if route.backend is None else [route.backend])
    for name in names:
        if name not in services:
            return Failure(Code.CONFIG_UNKNOWN_SERVICE, f"routes.backend: {name!r} of {route.name} is not known")
    if shares is not None and sum(share.weight for share in shares) <= 0:
        return Failure(Code.CONFIG_NO_WEIGHT, f"routes.split: the weights of {route.name} add up to nothing")
    if any(share.weight < 0 for share in shares or ()):
        return Failure(Code.CONFIG_NO_WEIGHT, f"routes.split: a weight of {route.name} is below 0")
    if route.timeout_ms is None and route.kind != ROLLOUT:
        return Failure(Code.CONFIG_FIELD, f"routes.timeoutMs: missing in {route.name}")
    if route.timeout_ms is not None and route.timeout_ms <= 0:
        return Failure(Code.CONFIG_NO_TIMEOUT, f"routes.timeoutMs: {route.timeout_ms:g} in {route.name}")
    return None


def first_duplicate(names: list[str]) -> str | None:
    """The first name that stands twice, if one does."""
    names_so_far: set[str] = set()
    for name in names:
        if name in names_so_far:
            return name
        names_so_far.add(name)
    return None


def validate(raw: Document) -> Failure | None:
    """What is wrong with a complete configuration by itself, without regard to the current one; None if nothing is."""
    configuration = _typed(raw)
    if isinstance(configuration, Failure):
        return configuration
    if configuration.gen <= 0:
        return Failure(Code.CONFIG_OLD_NUMBER, f"gen: {configuration.gen} is not above 0")
    routes = configuration.routes
    backends = configuration.backends
    for kind, names in (("routes", [r.name for r in routes]), ("backends", [b.name for b in backends])):
        if (name := first_duplicate(names)) is not None:
            return Failure(Code.CONFIG_NAMES, f"{kind}.name: {name!r} stands twice")
    services = {backend.name for backend in backends}
    by_match: dict[tuple[str, str], str] = {}  # host and prefix -> the route's name
    for route in routes:
        if (failure := _check_route(route, services)) is not None:
            return failure
        other = by_match.setdefault((route.host.lower(), route.prefix), route.name)
        if other != route.name:
            return Failure(Code.CONFIG_SAME_PLACE, f"routes.prefix: {other} and {route.name} have the same place")
    return None
