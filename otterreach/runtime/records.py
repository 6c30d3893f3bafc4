"""Typed records of the control state: one class for each kind of item, with its stored form.

An item's key is the kind, a slash and the item's name. The kinds `config`, `core` and `collected` have a single item
each, whose key is the kind alone. The value is a JSON object. Kinds, JSON keys and their order are stored data and
never change; they are defined only in this module (and for `config` in `configuration`).
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
        """Decode a record from its stored form."""

    def encode(self) -> bytes:
        """Encode the record to its stored form."""


class ItemChange(NamedTuple):
    """A change of one item: the key and the new value. An empty value deletes the item."""

    key: str
    value: bytes


def key_of(kind: type[Record], name: str = "") -> str:
    """Return the key of an item. `name` is empty for a kind that has a single item."""
    return f"{kind.KIND}/{name}" if name else kind.KIND


def put(record: Record, name: str = "") -> ItemChange:
    """Return the change that stores a record."""
    return ItemChange(key_of(type(record), name), record.encode())


def delete(kind: type[Record], name: str = "") -> ItemChange:
    """Return the change that deletes an item."""
    return ItemChange(key_of(kind, name), b"")


class MemberRole(StrEnum):
    """The role of a process, by its stored value."""

    CONTROLLER = "core"
    PROXY = "front"
    JOB_STORE = "store"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A machine that has joined the membership, by its node name."""

    KIND: ClassVar[str] = "member"

    role: str
    address: str  # host:port of its RPC listener
    zone: str = ""
    region: str = ""
    disk: str = ""  # id stored on the disk; empty if the role has no disk

    def id(self, node: str) -> str:
        """Return the member id, which differs for a machine with another disk under the same node name."""
        return member_id(node, self.disk)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        raw = json.loads(value)
        return cls(raw["role"], raw.get("address", ""), raw.get("zone", ""), raw.get("region", ""), raw.get("disk", ""))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        raw = {
            "role": self.role,
            "address": self.address,
            "zone": self.zone,
            "region": self.region,
            "disk": self.disk,
        }
        return json.dumps(raw).encode()


class ServerState(StrEnum):
    """The state of a model server, by its stored value."""

    UP = "up"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A model that a server has loaded, with the version of its weights."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """The state of one incarnation of a model server, from its heartbeats; by the server's id."""

    KIND: ClassVar[str] = "server"

    service: str
    address: str  # host:port
    zone: str
    capacity: int  # maximum number of concurrent requests
    state: str  # value of a ServerState
    models: tuple[ModelVersion, ...] = ()
    warmup_left_ms: int = 0
    calls: int = 0  # increases with each heartbeat of an incarnation, so that late heartbeats can be detected
    silent: bool | None = None  # true if the heartbeats have stopped; None until that has been checked

    @property
    def is_up(self) -> bool:
        """True if the server accepts requests."""
        return self.state == ServerState.UP

    def version_of(self, model: str) -> int | None:
        """Return the loaded version of a model, or None if the server doesn't serve the model."""
        return next((loaded.version for loaded in self.models if loaded.name == model), None)

    def with_version(self, model: str, version: int) -> ServerRecord:
        """Return the record after a version has been loaded. Versions never decrease within an incarnation."""
        models = tuple(
            ModelVersion(loaded.name, max(version, loaded.version)) if loaded.name == model else loaded
            for loaded in self.models
        )
        return replace(self, models=models)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
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
        """Encode the record to its stored form."""
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
    """The replicas of a partition of the batch jobs in an epoch, as member ids; by the partition's number."""

    KIND: ClassVar[str] = "part"

    epoch: int
    primary: str
    backups: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()  # replicas that are catching up; they become backups once they are in sync

    @property
    def members(self) -> tuple[str, ...]:
        """The members of the epoch, which hold all acknowledged writes."""
        return (self.primary, *self.backups)

    @property
    def replicas(self) -> tuple[str, ...]:
        """All members that hold data of the partition, learners included."""
        return (*self.members, *self.learners)

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        raw = json.loads(value)
        backups = raw.get("backups") or ()
        learners = raw.get("joining") or ()
        return cls(raw["epoch"], str(raw.get("primary") or ""), tuple(backups), tuple(learners))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        raw = {
            "epoch": self.epoch,
            "primary": self.primary,
            "backups": list(self.backups),
            "joining": list(self.learners),
        }
        return json.dumps(raw).encode()


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The newest version of a model's weights that a trainer has announced, by the model's name."""

    KIND: ClassVar[str] = "version"

    version: int

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        return cls(int(json.loads(value)["gen"]))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        return json.dumps({"gen": self.version}).encode()


@dataclass(frozen=True, slots=True)
class RetirementRecord:
    """An order to move all data off a job store machine, by its node name. It applies only to the given disk."""

    KIND: ClassVar[str] = "retire"

    disk: str

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        return cls(json.loads(value).get("disk", ""))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        return json.dumps({"disk": self.disk}).encode()


@dataclass(frozen=True, slots=True)
class OrderLeaseRecord:
    """The lease of the proxy that may send weight orders to a model server, by the server's id.

    The revision of the item is the fencing token of the orders.
    """

    KIND: ClassVar[str] = "duty"

    holder: str  # node name of the proxy
    wait_ms: int = 0  # delay before the holder's first order, since the previous lease may not have expired yet

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        raw = json.loads(value)
        return cls(raw["holder"], raw.get("wait_ms", 0))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        return json.dumps({"holder": self.holder, "wait_ms": self.wait_ms}).encode()


@dataclass(frozen=True, slots=True)
class CoreRecord:
    """The controllers of the current epoch, published to all other processes."""

    KIND: ClassVar[str] = "core"

    controllers: tuple[str, ...]  # addresses, in order
    primary: str  # address of the primary controller
    epoch: int

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        raw = json.loads(value)
        return cls(tuple(raw["registrars"]), raw["primary"], raw.get("number", 0))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        raw = {"registrars": list(self.controllers), "primary": self.primary, "number": self.epoch}
        return json.dumps(raw).encode()


@dataclass(frozen=True, slots=True)
class CollectedRecord:
    """The revision up to which every replica drops tombstones (controller/tombstones.py)."""

    KIND: ClassVar[str] = "collected"

    revision: int = 0
    period_ends: tuple[int, ...] = ()  # revision of the state at the end of each of the last periods

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        raw = json.loads(value)
        return cls(int(raw["rev"]), tuple(raw.get("marks") or ()))

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        return json.dumps({"rev": self.revision, "marks": list(self.period_ends)}).encode()


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change of the configuration, by its slot in a ring buffer (controller/change_history.py)."""

    KIND: ClassVar[str] = "change"

    base: int  # version of the configuration that the change was applied to
    digest: str  # digest of the call that made the change

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        raw = json.loads(value)
        return cls(raw["base"], raw["digest"])

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        return json.dumps({"base": self.base, "digest": self.digest}, separators=(",", ":")).encode()


@dataclass(frozen=True, slots=True)
class LegacyChangeList:
    """The single item in which earlier versions kept the last changes. This version only deletes it."""

    KIND: ClassVar[str] = "taken"

    value: bytes

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Decode a record from its stored form."""
        return cls(value)

    def encode(self) -> bytes:
        """Encode the record to its stored form."""
        return self.value
