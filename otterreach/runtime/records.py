"""Typed records of the control state: one class for each kind of item, and its stored form.

An item's key is the kind, a slash and the item's name; of `config`, `core` and `collected` there is one each, and its
key is the kind alone. Its value is a JSON object. Kinds, JSON keys and their order are stored data: they keep their
form for good, and stand in this module (and for `config` in `configuration`) alone.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, ClassVar, NamedTuple, Protocol, Self

from otterreach.runtime.identity import member_id


class Record(Protocol):
    """The value of one item of the control state."""

    KIND: ClassVar[str]

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""

    def encode(self) -> bytes:
        """The stored form."""


class ItemChange(NamedTuple):
    """A change of one item: its key and its new value. An empty value deletes the item."""

    key: str
    value: bytes


def key_of(kind: type[Record], name: str = "") -> str:
    """The key of an item. `name` is empty for a kind of which there is one item."""
    return f"{kind.KIND}/{name}" if name else kind.KIND


def put(record: Record, name: str = "") -> ItemChange:
    """The change that stores a record."""
    return ItemChange(key_of(type(record), name), record.encode())


def delete(kind: type[Record], name: str = "") -> ItemChange:
    """The change that deletes an item."""
    return ItemChange(key_of(kind, name), b"")


class MemberRole(StrEnum):
    """The role of a process, as it is stored."""

    CONTROLLER = "core"
    PROXY = "front"
    JOB_STORE = "store"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A machine of the system that has announced itself, by its node name."""

    KIND: ClassVar[str] = "member"

    role: str
    address: str  # host:port of its RPC listener
    zone: str = ""
    region: str = ""
    disk: str = ""  # the id on its disk; empty if it keeps none

    def id(self, node: str) -> str:
        """The member's id, which a machine with another disk at the same node doesn't share."""
        return member_id(node, self.disk)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(raw["role"], raw.get("address", ""), raw.get("zone", ""), raw.get("region", ""), raw.get("disk", ""))

    def encode(self) -> bytes:
        """The stored form."""
        raw = {
            "role": self.role,
            "address": self.address,
            "zone": self.zone,
            "region": self.region,
            "disk": self.disk,
        }
        return json.dumps(raw).encode()


class ServerState(StrEnum):
    """Whether a model server takes requests, as it is stored."""

    UP = "up"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A model that a server has loaded, and the version of its weights."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One incarnation of a model server, by its id: what its heartbeats have told."""

    KIND: ClassVar[str] = "server"

    service: str
    address: str  # host:port
    zone: str
    capacity: int  # requests that it runs at once
    state: str  # a ServerState
    models: tuple[ModelVersion, ...] = ()
    warmup_left_ms: int = 0
    calls: int = 0  # rises with each heartbeat of an incarnation: a late one is known by it
    silent: bool | None = None  # whether its heartbeats have stopped; None until somebody has looked

    @property
    def is_up(self) -> bool:
        """Whether it takes requests."""
        return self.state == ServerState.UP

    def version_of(self, model: str) -> int | None:
        """The version of a model that this server has; None if it doesn't serve the model."""
        return next((loaded.version for loaded in self.models if loaded.name == model), None)

    def with_version(self, model: str, version: int) -> ServerRecord:
        """The record once a version has been loaded. Versions only rise within an incarnation."""
        models = tuple(
            ModelVersion(loaded.name, max(version, loaded.version)) if loaded.name == model else loaded
            for loaded in self.models
        )
        return replace(self, models=models)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(
            service=str(raw.get("backend", "")),
            address=str(raw.get("addr", "")),
            zone=str(raw.get("az", "")),
            capacity=int(raw.get("cap", 1)),
            state=str(raw.get("state", ServerState.UP)),
            models=tuple(
                ModelVersion(str(model.get("name", "")), int(model.get("gen") or 0))
                for model in raw.get("models") or ()
            ),
            warmup_left_ms=int(raw.get("warm_ms") or 0),
            calls=int(raw.get("calls") or 0),
            silent=raw.get("silent"),
        )

    def encode(self) -> bytes:
        """The stored form."""
        raw: dict[str, Any] = {
            "backend": self.service,
            "addr": self.address,
            "az": self.zone,
            "cap": self.capacity,
            "state": self.state,
            "models": [{"name": model.name, "gen": model.version} for model in self.models],
            "warm_ms": self.warmup_left_ms,
            "calls": self.calls,
        }
        if self.silent is not None:
            raw["silent"] = self.silent
        return json.dumps(raw).encode()


@dataclass(frozen=True, slots=True)
class PartitionRecord:
    """Who keeps a partition of the batch jobs in an epoch, by the partition's number. Members are member ids."""

    KIND: ClassVar[str] = "part"

    epoch: int
    primary: str
    backups: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()  # being filled; they become backups once they are in sync

    @property
    def members(self) -> tuple[str, ...]:
        """Those that hold all acknowledged writes."""
        return (self.primary, *self.backups)

    @property
    def replicas(self) -> tuple[str, ...]:
        """All that hold something of the partition, learners included."""
        return (*self.members, *self.learners)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        backups = raw.get("backups") or ()
        learners = raw.get("joining") or ()
        return cls(raw["epoch"], str(raw.get("primary") or ""), tuple(backups), tuple(learners))

    def encode(self) -> bytes:
        """The stored form."""
        raw = {
            "epoch": self.epoch,
            "primary": self.primary,
            "backups": list(self.backups),
            "joining": list(self.learners),
        }
        return json.dumps(raw).encode()


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The newest version of a model's weights that a trainer has named, by the model's name."""

    KIND: ClassVar[str] = "version"

    version: int

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        return cls(int(json.loads(value)["gen"]))

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps({"gen": self.version}).encode()


@dataclass(frozen=True, slots=True)
class RetirementRecord:
    """An order to empty a job store machine, by its node name. It is meant for one disk."""

    KIND: ClassVar[str] = "retire"

    disk: str

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        return cls(json.loads(value).get("disk", ""))

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps({"disk": self.disk}).encode()


@dataclass(frozen=True, slots=True)
class OrderLeaseRecord:
    """Which proxy may send weight orders to a model server, by the server's id.

    The revision of the item is the fencing token of the orders.
    """

    KIND: ClassVar[str] = "duty"

    holder: str  # the proxy's node name
    wait_ms: int = 0  # how long the holder waits before its first order: the lease of the one before may still run

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(raw["holder"], raw.get("wait_ms", 0))

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps({"holder": self.holder, "wait_ms": self.wait_ms}).encode()


@dataclass(frozen=True, slots=True)
class CoreRecord:
    """The controllers of the present epoch, for all other processes."""

    KIND: ClassVar[str] = "core"

    controllers: tuple[str, ...]  # addresses, in order
    primary: str  # its address
    epoch: int

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(tuple(raw["registrars"]), raw["primary"], raw.get("number", 0))

    def encode(self) -> bytes:
        """The stored form."""
        raw = {"registrars": list(self.controllers), "primary": self.primary, "number": self.epoch}
        return json.dumps(raw).encode()


@dataclass(frozen=True, slots=True)
class CollectedRecord:
    """Up to which revision tombstones are dropped at every replica (controller/tombstones.py)."""

    KIND: ClassVar[str] = "collected"

    revision: int = 0
    period_ends: tuple[int, ...] = ()  # the state's revision at the end of each of the last periods

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(int(raw["rev"]), tuple(raw.get("marks") or ()))

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps({"rev": self.revision, "marks": list(self.period_ends)}).encode()


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change of the configuration, by its slot in a ring (controller/change_history.py)."""

    KIND: ClassVar[str] = "change"

    base: int  # the version of the configuration that it was accepted on
    digest: str  # of the call that made it

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        raw = json.loads(value)
        return cls(raw["base"], raw["digest"])

    def encode(self) -> bytes:
        """The stored form."""
        return json.dumps({"base": self.base, "digest": self.digest}, separators=(",", ":")).encode()


@dataclass(frozen=True, slots=True)
class FormerChangeList:
    """The one item that kept the last changes before there was an item for each. It is only ever deleted."""

    KIND: ClassVar[str] = "taken"

    value: bytes

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """The record from its stored form."""
        return cls(value)

    def encode(self) -> bytes:
        """The stored form."""
        return self.value
