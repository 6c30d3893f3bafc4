"""What other programs see keeps its names and numbers: settings, configuration, codes, deploy files, command line.

tests/data/surfaces.json was written from commit e067fe3. Held elsewhere: messages and stored data beside this file;
HTTP paths, headers, statuses and bodies in test_control_api*, test_retire, test_proxy_requests, test_proxy_runner,
test_bad_clients, test_orders; what is refused of settings and configurations in test_settings and test_config; the
pages' tables in test_codes, test_operations, test_deploy and test_schemas.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from otterreach.balancer.interface import Settings as SidecarSettings
from otterreach.cli.__main__ import app
from otterreach.cli.codes import ExitCode
from otterreach.controller import config_schema
from otterreach.runtime import configuration, settings
from otterreach.runtime.codes import Code

ROOT = Path(__file__).parent.parent.parent
SURFACES: dict[str, Any] = json.loads((ROOT / "tests" / "data" / "surfaces.json").read_text())

SETTINGS = {
    "node": "front-1",
    "machine": "front",
    "ip": "10.0.0.1",
    "az": "zone-a",
    "region": "",
    "zones": {},
    "binds": {},
    "portRange": [5200, 5215],
    "peers": [],
    "caps": {},
    "survive": {},
    "slas": {},
}
CONFIGURATION = {
    "gen": 1,
    "routes": [
        {"name": "a", "host": "h", "prefix": "/", "kind": "idem", "backend": "svc", "timeoutMs": 1000},
        {"name": "b", "host": "h", "prefix": "/b", "kind": "idem", "timeoutMs": 1, "split": [{"backend": "svc"}]},
    ],
    "backends": [{"name": "svc"}],
    "caps": {"idleMs": 5000},
}
SIDECAR_SETTINGS = {
    "allowed": {"attempts-cap": 3},
    "guarantees": {"drain-grace-ns": 1, "cold-ns": 1, "start-capacity": 0.1, "fall-multiple": 3.0, "fall-ns": 1},
    "request-classes": [{"target-ns": 1, "deadline-ns": 2, "effect": "repeatable"}],
    "tenants": [{"share": 1.0, "quota-per-s": 1.0}],
    "prices": {},
    "report": {},
    "family-info": {},
}

# what each surface got since; what it had is as it was
ADDED: dict[str, Any] = {
    "codes": {
        "COORDINATION_FIELD": 80,
        "COORDINATION_LIMIT": 81,
        "LOCK_HELD": 82,
        "LOCK_LOST": 83,
        "HISTORY_GONE": 84,
    },
    "settings_keys": ["slas.historyS"],
    "exit_codes": {"OTHER_REVISION": 75},
    "commands": {
        "lock": [
            "*",
            "--controllers",
            "--ctl",
            "--hold",
            "--name",
            "--owner",
            "--settings",
            "--wait",
            "--within",
            "COMMAND",
        ],
        "elect": ["*", "--controllers", "--ctl", "--hold", "--name", "--owner", "--settings", "--within", "COMMAND"],
        "number": ["*", "--controllers", "--ctl", "--name", "--settings", "--within"],
        "get-key": ["*", "--controllers", "--ctl", "--name", "--settings", "--within"],
        "put-key": ["*", "--controllers", "--ctl", "--expect", "--name", "--settings", "--value", "--within"],
        "watch-keys": ["*", "--controllers", "--ctl", "--group", "--past", "--settings", "--within"],
    },
}


class RecordingDict(dict[Any, Any]):
    """Notes the path of every key that is asked for, in it and in what it holds."""

    def __init__(self, value: dict[Any, Any], found: set[str], path: str = "") -> None:
        super().__init__({key: _recording(inner, found, f"{path}{key}.") for key, inner in value.items()})
        self._found, self._path = found, path

    def __getitem__(self, key: Any) -> Any:
        self._found.add(f"{self._path}{key}")
        return super().__getitem__(key)

    def __contains__(self, key: Any) -> bool:
        self._found.add(f"{self._path}{key}")
        return super().__contains__(key)

    def get(self, key: Any, default: Any = None) -> Any:
        self._found.add(f"{self._path}{key}")
        return super().get(key, default)


def _recording(value: Any, found: set[str], path: str) -> Any:
    if isinstance(value, dict):
        return RecordingDict(value, found, path)
    return [_recording(element, found, path) for element in value] if isinstance(value, list) else value


def keys_read(read: Callable[[Any], Any], value: dict[str, Any]) -> list[str]:
    """The keys that `read` asks for."""
    found: set[str] = set()
    read(RecordingDict(value, found))
    return sorted(found)


def read_configuration(document: Any) -> Any:
    return configuration.read(configuration.ConfigurationRecord(document))


def command_options() -> dict[str, list[str]]:
    """The options of each subcommand."""
    commands = {}
    for name in app:
        if not name.startswith("-"):
            arguments = app[name].assemble_argument_collection()
            commands[name] = sorted(option for argument in arguments for option in argument.names)
    return commands


def deploy_file(name: str) -> Any:
    return tomllib.loads((ROOT / "deploy" / f"{name}.toml").read_text())


def present_surfaces() -> dict[str, Any]:
    """The surfaces as the code has them now."""
    return {
        "codes": {code.name: code.value for code in Code},
        "exit_codes": {code.name: code.value for code in ExitCode},
        "settings_variable": settings.SETTINGS_FILE_VARIABLE,
        "settings_keys": keys_read(settings.read, SETTINGS),
        "sidecar_settings_keys": keys_read(SidecarSettings.from_dict, SIDECAR_SETTINGS),
        "configuration_keys_checked": keys_read(config_schema.validate, CONFIGURATION),
        "configuration_keys_of_proxies": keys_read(read_configuration, CONFIGURATION),
        "commands": command_options(),
        "deploy_balancer": deploy_file("balancer"),
        "deploy_system": deploy_file("system"),
    }


def test_the_table_is_complete() -> None:
    assert sorted(SURFACES) == sorted(present_surfaces())


@pytest.mark.parametrize("surface", sorted(SURFACES))
def test_a_surface_is_as_it_was(surface: str) -> None:
    assert present_surfaces()[surface] == with_additions(SURFACES[surface], ADDED.get(surface))


def with_additions(recorded: Any, added: Any) -> Any:
    """A surface as it was recorded, and what it got since, which is new."""
    if added is None:
        return recorded
    assert not set(recorded) & set(added)
    return recorded | added if isinstance(recorded, dict) else sorted([*recorded, *added])
