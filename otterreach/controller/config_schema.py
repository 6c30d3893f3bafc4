"""Schema of the operator's configuration: parsing of request bodies, field types, and the validity rules of PROTOCOL.

Known fields are type-checked; unknown fields are preserved, so that a GET returns what was sent.
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

Document = dict[str, Any]  # a configuration as received, including unknown fields


def _alias(name: str) -> Any:
    """Declare an optional field with its name on the wire."""
    return field(default=None, metadata={"alias": name})


@dataclass(slots=True)
class ShareSchema:
    """A backend's share of a split."""

    backend: str
    weight: float


@dataclass(slots=True)
class RouteSchema:
    """A route. Times are in the unit that the field's name gives."""

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
    """A service, which is a group of servers."""

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
    """The type-checked fields of a configuration."""

    gen: int
    routes: list[RouteSchema]
    backends: list[BackendSchema]
    caps: CapsSchema | None = None


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise ValueError("expected an integer")
    return bounded_integer(value)


def _number(value: Any) -> float:
    if type(value) not in (int, float):
        raise ValueError("expected a number")
    return float(value)


def _text(value: Any) -> str:
    if type(value) is not str:
        raise ValueError("expected a string")
    return value


@functools.cache
def _decoder() -> Callable[[Any], ConfigurationSchema]:
    from mashumaro.codecs.basic import BasicDecoder  # deferred: a start without a configuration does not need it
    from mashumaro.dialect import Dialect

    class Strict(Dialect):
        """Disables type coercion: 1 is not a string, and "1" is not a number."""

        serialization_strategy = {
            int: {"deserialize": _integer},
            float: {"deserialize": _number},
            str: {"deserialize": _text},
        }

    return BasicDecoder(ConfigurationSchema, default_dialect=Strict).decode


def _field_path(error: BaseException | None) -> str:
    """Return the dotted path of the invalid field, in the names used on the wire."""
    path = ""
    while error is not None:
        name = str(getattr(error, "field_name", ""))
        holder = getattr(error, "holder_class", None)
        alias = getattr(holder, "__dataclass_fields__", {}).get(name)
        if name:
            path += "." * bool(path) + (alias.metadata.get("alias", name) if alias else name)
        error = error.__cause__ or error.__context__
    return path or "configuration"


def _decode(raw: Document) -> ConfigurationSchema | Failure:
    for kind in ("routes", "backends"):
        rows = raw.get(kind)
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            return Failure(Code.CONFIG_FIELD, f"{kind}: a list of objects is needed")
    try:
        return _decoder()(raw)
    except (ValueError, LookupError, TypeError, AttributeError, OverflowError) as error:
        return Failure(Code.CONFIG_FIELD, f"{_field_path(error)}: missing or of the wrong type")


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON")


def _parse_finite(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise ValueError(f"{text} is out of range")
    return value


def read_body(body: bytes) -> Document | Failure:
    """Parse a body as a JSON object in UTF-8 with finite numbers; return CONFIG_UNREADABLE if it is anything else."""
    try:
        raw = json.loads(body.decode("utf-8"), parse_constant=_reject_constant, parse_float=_parse_finite)
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
    """Return the first name that occurs twice, or None."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return None


def validate(raw: Document) -> Failure | None:
    """Validate a complete configuration on its own, independently of the current one.

    :returns: the first violation found; None if the configuration is valid
    """
    configuration = _decode(raw)
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
    by_match: dict[tuple[str, str], str] = {}  # (host, prefix): name of the route
    for route in routes:
        if (failure := _check_route(route, services)) is not None:
            return failure
        other = by_match.setdefault((route.host.lower(), route.prefix), route.name)
        if other != route.name:
            return Failure(Code.CONFIG_SAME_PLACE, f"routes.prefix: {other} and {route.name} have the same place")
    return None
