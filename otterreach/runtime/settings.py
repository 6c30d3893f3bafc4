"""The settings file of a process (YAML). Unknown fields are ignored; errors name the invalid field."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from otterreach.balancer.settings_reader import Reader, SettingsError

SETTINGS_FILE_VARIABLE = "OTTERREACH_NODE_FILE"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The platform's service levels (`slas`); all times in seconds, also those that the file has in milliseconds."""

    peer_lag_s: float
    reuse_s: float
    contact_s: float
    ack_s: float
    sync_s: float
    drain_s: float
    grace_s: float
    slack_s: float
    apply_s: float
    revert_s: float
    finish_s: float
    status_s: float
    cancel_s: float
    settle_s: float
    lease_s: float
    thaw_s: float
    pass_s: float
    history_s: float
    fenced: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """The contents of the settings file, read at the start and after each change of the file."""

    node: str
    machine: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    binds: dict[str, tuple[str, int]]
    port: int  # RPC port, the same on all machines of the system
    seeds: tuple[str, ...]  # RPC addresses of the peers in the file
    bootstrap: bool
    counted: bool
    cores: float  # CPU share of the process, in cores
    ram_mb: int
    nofile: int
    disk_mb: int
    datadir: Path | None
    heartbeat_s: float
    contracts_in_force: frozenset[str]
    survive_nodes: int  # machines that may be lost at once
    survive_zones: int  # zones that may be lost at once, as an alternative to machines
    survive_regions: int  # regions that may be lost at once, as an alternative to zones and machines
    bounds: Bounds = field(repr=False)

    @property
    def address(self) -> str:
        """The RPC address of this process, host:port."""
        return f"{self.ip}:{self.port}"


def _address(text: str, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"setting {key}: expected host:port, got {text!r}")
    return host, int(port)


def _bounds(row: Reader) -> Bounds:
    def ms(key: str, default: float) -> float:
        """Return a bound in seconds that the file has in milliseconds."""
        return row.number(key, default) / 1000

    return Bounds(
        peer_lag_s=row.number("peerLagS", 3.0),
        reuse_s=row.number("reuseS", 2.0),
        contact_s=ms("contactMs", 3000.0),
        ack_s=ms("ackMs", 4000.0),
        sync_s=row.number("syncS", 4.0),
        drain_s=ms("drainMs", 2000.0),
        grace_s=row.number("graceS", 8.0),
        slack_s=ms("slackMs", 200.0),
        apply_s=ms("applyMs", 2000.0),
        revert_s=ms("revertMs", 250.0),
        finish_s=row.number("finishS", 10.0),
        status_s=row.number("statusS", 120.0),
        cancel_s=ms("cancelMs", 3000.0),
        settle_s=ms("settleMs", 1000.0),
        lease_s=ms("leaseMs", 3000.0),
        thaw_s=ms("thawMs", 300.0),
        pass_s=ms("pass_ms", 120.0),
        history_s=row.number("historyS", 20.0),
        fenced=row.flag("fenced"),
    )


def _table(raw: dict[str, Any], key: str) -> dict[Any, Any]:
    table = raw.get(key) or {}
    if not isinstance(table, dict):
        raise SettingsError(f"setting {key}: expected an object, got {type(table).__name__}")
    return table


def read(raw: Any) -> Settings:
    """Validate the parsed file and return its settings. Raise SettingsError, which names the key."""
    row = Reader(raw, "")
    ip = row.text("ip")
    ports = row.items("portRange", required=True)
    if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports):
        raise SettingsError(f"setting portRange: expected two ports from 1 to 65535, got {ports!r}")
    port = int(ports[0])
    seeds = tuple(f"{_address(str(peer), 'peers')[0]}:{port}" for peer in row.items("peers"))
    caps = row.child("caps", required=False)
    survive = row.child("survive", required=False)
    binds = _table(raw, "binds")
    zones = _table(raw, "zones")
    datadir = row.text("datadir", "")
    return Settings(
        node=row.text("node"),
        machine=row.text("machine", ""),
        ip=ip,
        zone=row.text("az", ""),
        region=row.text("region", ""),
        zones={str(k): str(v) for k, v in zones.items()},
        binds={str(k): _address(str(v), f"binds.{k}") for k, v in binds.items()},
        port=port,
        seeds=seeds,
        bootstrap=row.flag("bootstrap"),
        counted=row.flag("counted"),
        cores=caps.number("cpuFrac", 1.0) * caps.number("cores", 1.0),
        ram_mb=caps.integer("ramMb", 256),
        nofile=caps.integer("nofile", 1024),
        disk_mb=caps.integer("diskMb", 0),
        datadir=Path(datadir) if datadir else None,
        heartbeat_s=row.number("heartbeatMs", 1000.0) / 1000,
        contracts_in_force=frozenset(str(name) for name in row.items("inForce")),
        survive_nodes=max(0, survive.integer("nodes", 1)),
        survive_zones=max(0, survive.integer("zones", 0)),
        survive_regions=max(0, survive.integer("regions", 0)),
        bounds=_bounds(row.child("slas", required=False)),
    )


def load(path: str | None = None) -> Settings:
    """Read the settings from the file at `path`, by default the one named by the environment. Raise SettingsError."""
    import yaml

    name = path or os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not name:
        raise SettingsError(f"setting (file): environment variable {SETTINGS_FILE_VARIABLE} is not set")
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        with Path(name).open(encoding="utf-8") as file:
            raw = yaml.load(file, Loader=loader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"setting (file): {name}: {error}") from None
    return read(raw)
