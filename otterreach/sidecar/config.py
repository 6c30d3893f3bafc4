"""Configuration of a sidecar: environment variables and a JSON file, parsed into frozen types."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from otterreach.balancer import Settings, SettingsError
from otterreach.balancer.interface import EndpointState, Listed

DEFAULT_MEMORY_MB = 192
ENDPOINT_STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


class ConfigError(ValueError):
    """An invalid configuration; the message names the variable or key."""


class Address(NamedTuple):
    """Host and port of a TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> Address:
        """Parse `host:port`.

        :raises ValueError: the value has another form
        """
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
            raise ValueError(f"expected host:port, got {text!r}")
        return cls(host, int(port))


class Member(NamedTuple):
    """Entry of discovery's list. `row.endpoint` is 0 until the sidecar assigns a number."""

    id: str
    address: Address
    row: Listed


class MemberList(NamedTuple):
    """Update from discovery: changes or a complete list, with discovery's revision."""

    revision: int
    complete: bool
    members: tuple[Member, ...]


@dataclass(frozen=True)
class Names:
    """Indexes of names in the settings' lists.

    Unknown zones, kinds and tenants get the index past the end of the list, which the balancer treats as unknown.
    """

    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    clock_offset_ns: int  # Unix time minus monotonic time, computed once: a varying value would make a start time vary

    def parse_member_list(self, raw: Any) -> MemberList:
        """Parse and validate a JSON object of discovery.

        :raises ValueError: the object is invalid
        """
        try:
            members = tuple(self._member(entry) for entry in raw["members"])
            return MemberList(int(raw["revision"]), raw["complete"] is True, members)
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None

    def _member(self, raw: dict[str, Any]) -> Member:
        state = ENDPOINT_STATES[raw["phase"]]
        # A removed member may be listed by its id alone, and must still be removed.
        gone = state == EndpointState.GONE
        address = Address("", 0) if gone else Address.parse(raw["host_port"])
        since_ms = int(raw.get("up_since_ms", 0))
        started = max(1, since_ms * 1_000_000 - self.clock_offset_ns) if since_ms else 0
        zone = self.zones.get(raw.get("locality", ""), len(self.zones))
        kind = self.kinds.get(raw.get("flavor", ""), len(self.kinds))
        weight = float(raw.get("size", 1.0))
        cell = int(raw.get("cell", 0))
        return Member(str(raw["id"]), address, Listed(0, weight, cell, kind, zone, state, started))


@dataclass(frozen=True)
class Config:
    """Configuration of the sidecar at its start."""

    path: str  # of the configuration file, which is read again on SIGHUP
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    keepalive_ns: int
    settings: Settings
    names: Names
    known: MemberList  # list to start with, which may be older than discovery's


def load(env: Mapping[str, str]) -> Config:
    """Read the complete configuration.

    :raises ConfigError: a variable or key is missing or invalid
    """
    path = _variable(env, "LB_CONFIG")
    raw = _read_file(path)
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError("LB_CONFIG: key settings: expected an object")
    try:
        settings = Settings.from_dict(raw["settings"])
    except (SettingsError, ValueError, OverflowError) as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    names = _build_names(raw["settings"])
    return Config(
        path=path,
        name=_variable(env, "LB_NAME"),
        listen=_address(env, "LB_LISTEN"),
        discovery=_address(env, "LB_DISCOVERY"),
        seed=_seed(raw.get("seed")),
        sockets=_number(raw, "limits", "sockets", 1024),
        memory_mb=_number(raw, "limits", "memory_mb", DEFAULT_MEMORY_MB),
        keepalive_ns=_number(raw["settings"], "allowed", "keepalive-ns", 15_000_000_000),
        settings=settings,
        names=names,
        known=_parse_known(names, raw.get("known")),
    )


def read_discovery_address(path: str) -> Address:
    """Read the address of discovery from the configuration file.

    :raises ConfigError: the file or the key is invalid
    """
    try:
        return Address.parse(_read_file(path).get("discovery"))
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: key discovery: {error}") from None


def _read_file(path: str) -> dict[str, Any]:
    try:
        with Path(path).open("rb") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"LB_CONFIG: expected a JSON object, got {type(raw).__name__}")
    return raw


def _variable(env: Mapping[str, str], name: str) -> str:
    if not env.get(name):
        raise ConfigError(f"{name}: environment variable is not set")
    return env[name]


def _address(env: Mapping[str, str], name: str) -> Address:
    try:
        return Address.parse(_variable(env, name))
    except ConfigError:
        raise
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from None


def _seed(raw: Any) -> int:
    try:
        return int(raw, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"LB_CONFIG: key seed: expected a hexadecimal string, got {raw!r}") from None


def _number(raw: dict[str, Any], parent: str, key: str, default: int) -> int:
    """Return an integer above 0; a value of 0 means not set, as on the wire."""
    section = raw.get(parent) or {}
    if not isinstance(section, dict):
        raise ConfigError(f"LB_CONFIG: key {parent}: expected an object, got {type(section).__name__}")
    value = section.get(key) or default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < math.inf:
        raise ConfigError(f"LB_CONFIG: key {parent}.{key}: expected a number above 0, got {value!r}")
    return int(value)


def _build_names(raw: dict[str, Any]) -> Names:
    def indexes(key: str, is_object: bool) -> dict[str, int]:
        """Return the index of each name in one of the settings' lists."""
        try:
            rows = raw.get(key) or []
            return {row["name"] if is_object else str(row): n for n, row in enumerate(rows)}
        except (KeyError, TypeError):
            raise ConfigError(f"LB_CONFIG: key settings.{key}: expected a list with names") from None

    clock_offset_ns = time.time_ns() - time.monotonic_ns()
    classes = indexes("request-classes", True)
    tenants = indexes("tenants", True)
    return Names(classes, tenants, indexes("zones", False), indexes("skus", False), clock_offset_ns)


def _parse_known(names: Names, raw: Any) -> MemberList:
    if raw is None:
        return MemberList(0, True, ())
    try:
        return names.parse_member_list(raw)
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: key known: {error}") from None
