"""otterreach.runtime.settings: the file as the platform writes it, and errors that name the invalid key."""

from __future__ import annotations

import copy
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from otterreach.balancer.settings_reader import SettingsError
from otterreach.runtime import settings

TEXT = """\
node: "front-quarry-1"
role: "some-role"
machine: "front"
serves:
  - "front"
ip: "10.9.0.7"
az: "quarry"
region: "uplands"
zones:
  quarry: "uplands"
  mill: "uplands"
binds:
  front: "10.9.0.7:6100"
  readyz: "10.9.0.7:6101"
portRange:
  - 5200
  - 5215
peers:
  - "10.9.0.8:6103"
  - "10.9.1.8:6103"
bootstrap: true
counted: false
caps:
  cpuFrac: 0.4
  cores: 2
  ramMb: 280
  nofile: 4000
  netMbps: 900.0
  diskMb: 0
datadir: null
discovery: "enlist"
entry: "vip"
heartbeatMs: 900
inForce:
  - "base"
  - "batch"
survive:
  nodes: 2
  zones: 0
  regions: 0
slas:
  peerLagS: 3
  contactMs: 2500
  syncS: 4.7
  drainMs: 1500
  fenced: true
"""

WRONG: list[tuple[str, Any, str]] = [
    ("node", None, "node"),
    ("node", 5, "node"),
    ("ip", None, "ip"),
    ("portRange", None, "portRange"),
    ("portRange", [5200], "portRange"),
    ("portRange", ["a", "b"], "portRange"),
    ("portRange", [0, 70000], "portRange"),
    ("peers", ["10.9.0.8"], "peers"),
    ("peers", "10.9.0.8:6103", "peers"),
    ("binds", {"front": "6100"}, "binds.front"),
    ("binds", ["front"], "binds"),
    ("zones", ["quarry"], "zones"),
    ("bootstrap", "yes", "bootstrap"),
    ("caps", [], "caps"),
    ("caps", {"ramMb": "much"}, "caps.ramMb"),
    ("heartbeatMs", "often", "heartbeatMs"),
    ("inForce", "base", "inForce"),
    ("survive", {"nodes": "one"}, "survive.nodes"),
    ("slas", {"contactMs": "long"}, "slas.contactMs"),
    ("slas", {"syncS": float("inf")}, "slas.syncS"),
    ("slas", {"fenced": 1}, "slas.fenced"),
]


def load(text: str) -> settings.Settings:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.yaml"
        path.write_text(text)
        with mock.patch.dict(os.environ, {settings.SETTINGS_FILE_VARIABLE: str(path)}):
            return settings.load()


def raw() -> dict[str, Any]:
    import yaml

    parsed: dict[str, Any] = yaml.safe_load(TEXT)
    return copy.deepcopy(parsed)


class SettingsTest(unittest.TestCase):
    def test_the_file(self) -> None:
        found = load(TEXT)
        self.assertEqual(("front-quarry-1", "front", "quarry"), (found.node, found.machine, found.zone))
        self.assertEqual(5200, found.port)
        self.assertEqual("10.9.0.7:5200", found.address)
        self.assertEqual(("10.9.0.8:5200", "10.9.1.8:5200"), found.seeds)
        self.assertEqual({"front": ("10.9.0.7", 6100), "readyz": ("10.9.0.7", 6101)}, found.binds)
        self.assertIsNone(found.datadir)
        self.assertEqual((True, False, 2), (found.bootstrap, found.counted, found.survive_nodes))
        self.assertEqual(frozenset({"base", "batch"}), found.contracts_in_force)
        self.assertEqual((2.5, 4.7, 1.5), (found.bounds.contact_s, found.bounds.sync_s, found.bounds.drain_s))
        self.assertTrue(found.bounds.fenced)
        self.assertEqual(0.9, found.heartbeat_s)

    def test_disk(self) -> None:
        self.assertEqual(Path("/data/x"), load(TEXT.replace("datadir: null", 'datadir: "/data/x"')).datadir)

    def test_unknown_fields_are_skipped(self) -> None:
        more = TEXT + "shade: {a: [1, 2]}\n"
        self.assertEqual(load(TEXT), load(more.replace("slas:\n", "slas:\n  newMs: 5\n")))

    def test_absent_tables(self) -> None:
        less = raw()
        for key in ("caps", "survive", "slas", "zones", "peers", "inForce", "binds"):
            del less[key]
        found = settings.read(less)
        self.assertEqual(((), 1), (found.seeds, found.survive_nodes))

    def test_wrong_keys_are_named(self) -> None:
        for key, value, named in WRONG:
            with self.subTest(key=key, value=value):
                changed = raw()
                changed[key] = value
                with self.assertRaises(SettingsError) as caught:
                    settings.read(changed)
                self.assertIn(f"setting {named}", str(caught.exception))

    def test_file_that_cannot_be_read(self) -> None:
        for text in ("", "- a\n", "a: [", "\0", "node: *x\n"):
            with self.subTest(text=text), self.assertRaises(SettingsError):
                load(text)
        with (
            mock.patch.dict(os.environ, {settings.SETTINGS_FILE_VARIABLE: "/nowhere/at/all"}),
            self.assertRaises(SettingsError),
        ):
            settings.load()
        with mock.patch.dict(os.environ, clear=True), self.assertRaises(SettingsError) as caught:
            settings.load()
        self.assertIn(settings.SETTINGS_FILE_VARIABLE, str(caught.exception))
