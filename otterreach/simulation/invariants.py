"""Invariants of the controllers, checked at each step independently of the answers to callers.

Each proposal number has one primary; each new primary has every acknowledged change; within one incarnation, the
replica of a process never goes back to an older state.
"""

from __future__ import annotations

import asyncio
import json
from itertools import combinations
from typing import Any

from otterreach.controller.epochs import is_majority
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.records import ServerRecord, VersionRecord
from otterreach.runtime.store import ReplicatedStore
from otterreach.simulation.history import History
from otterreach.simulation.world import ZONES, SimulatedMachine, World

STATE_RANKS = {"up": 0, "draining": 1}
GONE_RANK = 2
CHANGING_METHODS = (
    (LocalReplica, "load"),
    (LocalReplica, "set_mode"),
    (LocalReplica, "promise"),
    (LocalReplica, "adopt_configuration"),
    (ReplicatedStore, "apply"),
)
# minimum rank of a server, by its last acknowledged state
MIN_RANKS = {"": 0, "up": 0, "draining": 1, "gone": GONE_RANK}


class ControlInvariants:
    """Checks all controllers and replicas of one run."""

    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.primaries: dict[int, str] = {}  # proposal number -> id
        self.acked_items: dict[str, int] = {}  # key -> rev
        self.ends: dict[str, int] = {}  # key -> rev of its last tombstone, acknowledged or not
        self._replicas: dict[tuple[str, int], _ObservedReplica] = {}  # by machine and incarnation
        world.watch(self.summary, self._check_primaries, self._check_replicas, always=False)

    def watch(self) -> None:
        """Check after each step that may have changed a replica or an epoch, for the rest of the run."""
        for owner, name in CHANGING_METHODS:
            self.world.wrap(owner, name, self._marking_changes)
        self._watch_acknowledgements()

    def _marking_changes(self, original: Any) -> Any:
        def marked(*args: Any) -> Any:
            """Mark the checks as due."""
            self.world.changed = True
            return original(*args)

        return marked

    def _watch_acknowledgements(self) -> None:
        """Record what `propose` acknowledges, and check that each new primary has it."""
        invariants = self

        def wrap_propose(original: Any) -> Any:
            """Wrap `propose`."""

            def propose(control: ControlReplication, changes: Any) -> Any:
                """Propose, and record the changes once they are acknowledged."""
                changes = list(changes)
                future = original(control, changes)
                items = control.state.items
                revs = {key: items[key].revision for key, _ in changes if key in items}
                invariants.ends |= {key: revision for key, revision in revs.items() if items[key].is_tombstone}
                future.add_done_callback(lambda done: invariants._record_acknowledgement(done, revs))
                return future

            return propose

        def wrap_become_primary(original: Any) -> Any:
            """Wrap `become_primary`."""

            def become_primary(control: ControlReplication, installed: Any) -> None:
                """Become primary, and check that no acknowledged change is missing."""
                original(control, installed)
                if control.is_primary:
                    invariants.check_acknowledged(control)

            return become_primary

        self.world.wrap(ControlReplication, "propose", wrap_propose)
        self.world.wrap(ControlReplication, "become_primary", wrap_become_primary)

    def _record_acknowledgement(self, done: asyncio.Future[bool], revs: dict[str, int]) -> None:
        if not done.cancelled() and done.result() is True:
            for key, revision in revs.items():
                self.acked_items[key] = max(self.acked_items.get(key, 0), revision)

    def controls(self) -> list[tuple[SimulatedMachine, ControlReplication]]:
        """Return the controllers that are up."""
        return [(box, box.object.control) for box in self.world.of_role("core") if box.up and box.object]

    def leader(self) -> str:
        """Return the name of the machine that is primary with the highest number; empty if there is none."""
        numbers = {control.number: box.name for box, control in self.controls() if control.is_primary}
        return numbers[max(numbers)] if numbers else ""

    def summary(self) -> Any:
        """Return the state of the run for counting: the ranks of numbers and revisions, not their values."""
        rows = [(box.name, c.mode, c.promised, c.number) for box, c in self.controls()]
        frozen = tuple(box.process.frozen for box in self.world.boxes.values() if box.process)
        revs = [box.node.store.revision if box.up and box.node else -1 for box in self.world.boxes.values()]
        return _rank_numbers(rows), frozen, _rank_values(revs)

    def _check_primaries(self) -> None:
        for _, control in self.controls():
            if not control.is_primary:
                continue
            known = self.primaries.setdefault(control.number, control.id)
            self.world.expect(known == control.id, "one primary", f"{known} and {control.id} in {control.number}")

    def _check_replicas(self) -> None:
        for box in self.world.boxes.values():
            if box.up and box.node is not None:
                seen = self._replicas.setdefault((box.name, box.incarnations), _ObservedReplica(box.name, self.world))
                seen.check(box.node.store, self.history)

    def check_acknowledged(self, control: ControlReplication) -> None:
        """Check that each acknowledged change or a newer one is present; a tombstone may have been collected."""
        for key, revision in self.acked_items.items():
            item = control.state.items.get(key)
            collected = item is None and revision <= self.ends.get(key, 0) <= control.state.collected_up_to
            what = f"{key} {revision} at {control.settings.node} in {control.number}"
            self.world.expect(collected or item and item.revision >= revision, "acknowledged is gone", what)

    def check_redundancy(self) -> None:
        """Check that any further tolerated loss leaves a majority of the current witnesses, and a member."""
        leading = [control for _, control in self.controls() if control.is_primary]
        for control in leading:
            configuration = control.accepted
            assert configuration is not None
            for lost in self._allowed_losses():
                left = {c.id for box, c in self.controls() if box.name not in lost}
                what = f"{sorted(lost)} of {configuration}"
                self.world.expect(is_majority(left, configuration), "majority after a loss", what)
                self.world.expect(left & set(configuration.members), "member after a loss", what)
        for _, control in self.controls():
            if control.accepted and any(control.id in c.accepted.members for c in leading if c.accepted):
                self.check_acknowledged(control)

    def _allowed_losses(self) -> list[set[str]]:
        """Return the sets of machines whose simultaneous loss has to be survived."""
        cores = self.world.of_role("core")
        losses = [set(names) for names in combinations([box.name for box in cores], self.world.survive)]
        losses.extend(
            {box.name for box in cores if box.zone in zones} for zones in combinations(ZONES, self.world.survive_zones)
        )
        return losses

    def check_end(self) -> None:
        """Check after all faults that there is one primary, which has everything acknowledged to callers."""
        primaries = [c for _, c in self.controls() if c.is_primary]
        self.world.expect(len(primaries) == 1, "in time", f"{len(primaries)} primaries at the end")
        for control in primaries:
            self.check_acknowledged(control)
            self._check_versions(control)
            self._check_servers(control)

    def _check_versions(self, control: ControlReplication) -> None:
        for model, version in self.history.models.items():
            record = control.state.record(VersionRecord, model)
            found = record.version if record else 0
            self.world.expect(
                found >= version,
                "acknowledged is gone",
                f"version {version} of {model} is acknowledged, version {found} is present",
            )

    def _check_servers(self, control: ControlReplication) -> None:
        for ident, state in self.history.servers.items():
            known = control.state.record(ServerRecord, ident)
            rank = GONE_RANK if known is None else STATE_RANKS[known.state]
            self.world.expect(rank >= MIN_RANKS[state], "acknowledged is gone", f"server {ident} {state}: {known}")


class _ObservedReplica:
    """The newest state seen in the replica of one process during its incarnation."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.world = world
        self._rev = -1
        self._config = (0, 0)  # rev, gen
        self._servers: dict[str, tuple[int, int]] = {}  # rev, rank

    def check(self, store: Any, history: History) -> None:
        """Check that the state has not gone back since the last check."""
        if store.revision == self._rev:
            return
        self._rev = store.revision
        config = store.items.get("config")
        if config and config.revision != self._config[0]:
            gen = json.loads(config.value)["gen"]
            old = self._config[1]
            self.world.expect(gen >= old, "copy goes back", f"{self.name}: {gen} after {old}")
            self._config = (config.revision, gen)
        for ident in history.servers:
            self._check_server(ident, store.items.get(f"server/{ident}"))

    def _check_server(self, ident: str, item: Any) -> None:
        revision, old = self._servers.get(ident, (0, 0))
        if item is None or item.revision == revision:
            return
        rank = GONE_RANK if item.is_tombstone else STATE_RANKS[json.loads(item.value)["state"]]
        self.world.expect(rank >= old, "server comes back", f"{self.name}: {ident} {rank} after {old}")
        self._servers[ident] = (item.revision, rank)


def _rank_values(values: list[int]) -> tuple[int, ...]:
    ranks = {value: rank for rank, value in enumerate(sorted(set(values)))}
    return tuple(ranks[value] for value in values)


def _rank_numbers(rows: list[tuple[str, Any, int, int]]) -> Any:
    numbers = sorted({n for row in rows for n in row[2:]})
    return tuple((name, mode.value, numbers.index(p), numbers.index(n)) for name, mode, p, n in rows)
