"""The operator's configuration: read, checked by PROTOCOL's list of what is invalid, patched, told apart from a resend.

What is known is checked by type; what is not known is kept as it came, so that a GET gives back what was sent.
"""

from __future__ import annotations

import functools
import json
import re
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from otterreach.runtime.codes import Code, Failure

Config = dict[str, Any]
ROLLOUT = "rollout"
_IF_MATCH = re.compile(r'\s*(?:W/)?("?)([0-9]{1,18})\1\s*')


class Verdict(Enum):
    ALREADY = "already"  # exactly this has been taken: the answer is 200, nothing changes


ALREADY = Verdict.ALREADY


def _named(name: str) -> Any:
    return field(default=None, metadata={"alias": name})


@dataclass(slots=True)
class Share:
    backend: str
    weight: float


@dataclass(slots=True)
class Route:
    name: str
    host: str
    prefix: str
    kind: str
    backend: str | None = None
    split: list[Share] | None = None
    timeout_ms: float | None = _named("timeoutMs")
    target_ms: float | None = _named("targetMs")
    due_ms: float | None = _named("dueMs")
    max_wait_s: float | None = _named("maxWaitS")
    tries: int | None = None
    prio: int | None = None


@dataclass(slots=True)
class Backend:
    name: str
    probe: str | None = None
    max_conns: int | None = _named("maxConns")


@dataclass(slots=True)
class Caps:
    header_bytes: float | None = _named("headerBytes")
    body_bytes: float | None = _named("bodyBytes")
    header_ms: float | None = _named("headerMs")
    idle_ms: float | None = _named("idleMs")


@dataclass(slots=True)
class Whole:
    gen: int
    routes: list[Route]
    backends: list[Backend]
    caps: Caps | None = None


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise ValueError("a whole number is needed")
    return value


def _number(value: Any) -> float:
    if type(value) not in (int, float):
        raise ValueError("a number is needed")
    return float(value)


def _text(value: Any) -> str:
    if type(value) is not str:
        raise ValueError("a string is needed")
    return value


@functools.cache
def _decoder() -> Callable[[Any], Whole]:
    from mashumaro.codecs.basic import BasicDecoder  # imported late: a start that reads no configuration is lighter
    from mashumaro.dialect import Dialect

    class Strict(Dialect):
        serialization_strategy = {  # noqa: RUF012
            int: {"deserialize": _integer},
            float: {"deserialize": _number},
            str: {"deserialize": _text},
        }

    return BasicDecoder(Whole, default_dialect=Strict).decode


def _where(error: BaseException | None) -> str:
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


def _typed(raw: Config) -> Whole | Failure:
    for kind in ("routes", "backends"):
        rows = raw.get(kind)
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            return Failure(Code.CONFIG_FIELD, f"{kind}: a list of objects is needed")
    try:
        return _decoder()(raw)
    except (ValueError, LookupError, TypeError, AttributeError, OverflowError) as error:
        return Failure(Code.CONFIG_FIELD, f"{_where(error)}: missing or of the wrong type")


def _refuse_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON")


def _finite(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise ValueError(f"{text} is out of range")
    return value


def _read(body: bytes) -> Config | Failure:
    try:
        raw = json.loads(body.decode("utf-8"), parse_constant=_refuse_constant, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        return Failure(Code.CONFIG_UNREADABLE, f"body: {error}")
    if not isinstance(raw, dict):
        return Failure(Code.CONFIG_UNREADABLE, "body: an object is needed")
    return raw


def _check_route(route: Route, services: Collection[str]) -> Failure | None:
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


def _twice(names: list[str]) -> str | None:
    seen: set[str] = set()
    return next((name for name in names if name in seen or seen.add(name)), None)  # type: ignore[func-returns-value]


def _check(raw: Config) -> Failure | None:
    """What is wrong with a whole configuration by itself, without regard to the current one."""
    whole = _typed(raw)
    if isinstance(whole, Failure):
        return whole
    if whole.gen <= 0:
        return Failure(Code.CONFIG_OLD_NUMBER, f"gen: {whole.gen} is not above 0")
    for kind, names in (("routes", [r.name for r in whole.routes]), ("backends", [b.name for b in whole.backends])):
        if (name := _twice(names)) is not None:
            return Failure(Code.CONFIG_NAMES, f"{kind}.name: {name!r} stands twice")
    services = {backend.name for backend in whole.backends}
    places: dict[tuple[str, str], str] = {}
    for route in whole.routes:
        if (fault := _check_route(route, services)) is not None:
            return fault
        other = places.setdefault((route.host.lower(), route.prefix), route.name)
        if other != route.name:
            return Failure(Code.CONFIG_SAME_PLACE, f"routes.prefix: {other} and {route.name} have the same place")
    return None


def _order(gen: int, current: Config | None, if_match: int) -> Failure | None:
    """Stale before old: a write race that was lost is told as one."""
    version = current["gen"] if current else 0
    if if_match != version:
        return Failure(Code.CONFIG_STALE_MATCH, f"If-Match: {if_match}, and {version} is current")
    if gen <= version:
        return Failure(Code.CONFIG_OLD_NUMBER, f"gen: {gen} is not above {version}")
    return None


def _plain(value: Any) -> str:
    """One text for each value; 1, 1.0 and true differ."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def parse_if_match(header: str | None) -> int | Failure:
    """The version in an If-Match header, quoted or bare."""
    found = _IF_MATCH.fullmatch(header or "")
    return int(found[2]) if found else Failure(Code.CONFIG_FIELD, f"If-Match: {header!r} is no version")


def fingerprint(body: bytes, if_match: int) -> str:
    """Names one change, to be kept in `taken`: the same body on the same version, whatever its blanks."""
    raw = _read(body)
    text = (_plain(raw) if isinstance(raw, dict) else repr(body)) + f" {if_match}"
    return f"{zlib.crc32(text.encode()):08x}{zlib.adler32(text.encode()):08x}{len(text):x}"


def check_whole(
    body: bytes, current: Config | None, if_match: int, taken: Collection[str] = ()
) -> Config | Verdict | Failure:
    """A PUT's body as the next configuration. ALREADY: it is the current one, or its fingerprint is in `taken`."""
    raw = _read(body)
    if isinstance(raw, Failure):
        return raw
    if current is not None and raw.get("gen") == current["gen"] and _plain(raw) == _plain(current):
        return ALREADY
    if taken and fingerprint(body, if_match) in taken:
        return ALREADY
    if (fault := _check(raw)) is not None:
        return fault
    fault = _order(raw["gen"], current, if_match)
    return raw if fault is None else fault


def check_patch(
    body: bytes, current: Config | None, if_match: int, taken: Collection[str] = ()
) -> Config | Verdict | Failure:
    """A PATCH's body applied to the current configuration. ALREADY as for `check_whole`."""
    patch = _read(body)
    if isinstance(patch, Failure):
        return patch
    gen = patch.get("gen")
    if type(gen) is not int:
        return Failure(Code.CONFIG_FIELD, "gen: a whole number is needed")
    if taken and fingerprint(body, if_match) in taken:
        return ALREADY
    base = current if current is not None else {"gen": 0, "routes": [], "backends": []}
    changed = _patched(patch, base)
    if isinstance(changed, Failure):
        return changed
    if current is not None and gen == current["gen"] and if_match < gen and _plain(changed) == _plain(current):
        return ALREADY
    # Before the check: on another version than it was made for, a proper patch may look invalid.
    if (fault := _order(gen, current, if_match)) is not None:
        return fault
    fault = _check(changed)
    return changed if fault is None else fault


def _patched(patch: Config, base: Config) -> Config | Failure:
    """Removals, then upserts: a replaced item keeps its place, a new one goes to the end."""
    upsert, remove = patch.get("upsert") or {}, patch.get("remove") or {}
    for key, value in (("upsert", upsert), ("remove", remove)):
        if not isinstance(value, dict):
            return Failure(Code.CONFIG_FIELD, f"{key}: an object is needed")
    changed = dict(base)
    for kind, names in remove.items():
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            return Failure(Code.CONFIG_FIELD, f"remove.{kind}: a list of names is needed")
        gone = set(names) - _names_of(upsert.get(kind))
        if isinstance(rows := changed.get(kind), list):
            changed[kind] = [row for row in rows if not isinstance(row, dict) or row.get("name") not in gone]
    for kind, rows in upsert.items():
        if isinstance(rows, dict) and not isinstance(base.get(kind), list):
            changed[kind] = rows
            continue
        merged = _merged(kind, changed.get(kind, []), rows)
        if isinstance(merged, Failure):
            return merged
        changed[kind] = merged
    changed["gen"] = patch["gen"]
    return changed


def _names_of(rows: Any) -> set[str]:
    return {str(row.get("name")) for row in rows if isinstance(row, dict)} if isinstance(rows, list) else set()


def _merged(kind: str, old: Any, rows: Any) -> list[Any] | Failure:
    if not isinstance(rows, list) or not isinstance(old, list):
        return Failure(Code.CONFIG_FIELD, f"upsert.{kind}: a list of items is needed")
    if not all(isinstance(row, dict) and isinstance(row.get("name"), str) for row in rows):
        return Failure(Code.CONFIG_FIELD, f"upsert.{kind}.name: each item needs one")
    if (name := _twice([row["name"] for row in rows])) is not None:
        return Failure(Code.CONFIG_NAMES, f"upsert.{kind}.name: {name!r} stands twice")
    merged = {row["name"]: row for row in old}
    merged.update((row["name"], row) for row in rows)
    return list(merged.values())


_STATUSES = {Code.CONFIG_STALE_MATCH: 412, Code.UNKNOWN_NODE: 404, Code.TOO_FEW_LEFT: 409}


def status_of(failure: Failure) -> int:
    """The HTTP status of a refusal at the operator's API; 503 sends the caller on to another machine."""
    if failure.code in _STATUSES:
        return _STATUSES[failure.code]
    return 400 if Code.CONFIG_UNREADABLE <= failure.code <= Code.CONFIG_NAMES else 503
