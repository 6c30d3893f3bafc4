"""What has to hold of the controllers at each step, whoever asks.

One primary for each number; every acknowledged change at each new primary; within one life no process' copy goes back.
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
from otterreach.simulation.world import ZONES, Box, World

RANKS = {"up": 0, "draining": 1}
GONE = 2
CHANGING = (
    (LocalReplica, "load"),
    (LocalReplica, "become"),
    (LocalReplica, "promise"),
    (LocalReplica, "adopt_configuration"),
    (ReplicatedStore, "apply"),
)
LEAST = {"": 0, "up": 0, "draining": 1, "gone": GONE}  # rank of a server by what was acknowledged


class ControlInvariants:
    """Watches all controllers and copies of one run."""

    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.primaries: dict[int, str] = {}  # id by number
        self.acked_items: dict[str, int] = {}  # key -> rev
        self.ends: dict[str, int] = {}  # key -> rev of its last end, acknowledged or not
        self._copies: dict[tuple[str, int], _ObservedReplica] = {}  # by machine and life
        world.watch(self.summary, self._check_primaries, self._check_copies, always=False)

    def watch(self) -> None:
        """For as long as the run lasts: look after each step that may have changed a copy or an epoch."""
        for owner, name in CHANGING:
            self.world.wrap(owner, name, self._noting)
        self._watch_acknowledgements()

    def _noting(self, plain: Any) -> Any:
        def noted(*args: Any) -> Any:
            """Set the mark that the checks are due."""
            self.world.changed = True
            return plain(*args)

        return noted

    def _watch_acknowledgements(self) -> None:
        """Note what `propose` acknowledges, and hold it against each new primary."""
        invariants = self

        def proposing(plain: Any) -> Any:
            """The wrapped `propose`."""

            def propose(control: ControlReplication, changes: Any) -> Any:
                """Propose, and record what is acknowledged."""
                changes = list(changes)
                future = plain(control, changes)
                items = control.state.items
                revs = {key: items[key].revision for key, _ in changes if key in items}
                invariants.ends |= {key: revision for key, revision in revs.items() if items[key].is_tombstone}
                future.add_done_callback(lambda done: invariants._note(done, revs))
                return future

            return propose

        def becoming(plain: Any) -> Any:
            """The wrapped `become_primary`."""

            def become_primary(control: ControlReplication, installed: Any) -> None:
                """Become primary, and check that nothing acknowledged is missing."""
                plain(control, installed)
                if control.is_primary:
                    invariants.check_acknowledged(control)

            return become_primary

        self.world.wrap(ControlReplication, "propose", proposing)
        self.world.wrap(ControlReplication, "become_primary", becoming)

    def _note(self, done: asyncio.Future[bool], revs: dict[str, int]) -> None:
        if not done.cancelled() and done.result() is True:
            for key, revision in revs.items():
                self.acked_items[key] = max(self.acked_items.get(key, 0), revision)

    def controls(self) -> list[tuple[Box, ControlReplication]]:
        """The living controllers."""
        return [(box, box.object.control) for box in self.world.of_role("core") if box.up and box.object]

    def leader(self) -> str:
        """Name of the machine that is primary, with the highest number if there are several; empty if none is."""
        numbers = {control.number: box.name for box, control in self.controls() if control.is_primary}
        return numbers[max(numbers)] if numbers else ""

    def summary(self) -> Any:
        """The state of the run as it is counted: order among numbers and revs, not the figures themselves."""
        rows = [(box.name, c.mode, c.promised, c.number) for box, c in self.controls()]
        frozen = tuple(box.process.frozen for box in self.world.boxes.values() if box.process)
        revs = [box.node.store.revision if box.up and box.node else -1 for box in self.world.boxes.values()]
        return _ranked(rows), frozen, _order(revs)

    def _check_primaries(self) -> None:
        for _, control in self.controls():
            if not control.is_primary:
                continue
            known = self.primaries.setdefault(control.number, control.id)
            self.world.expect(known == control.id, "one primary", f"{known} and {control.id} in {control.number}")

    def _check_copies(self) -> None:
        for box in self.world.boxes.values():
            if box.up and box.node is not None:
                seen = self._copies.setdefault((box.name, box.incarnations), _ObservedReplica(box.name, self.world))
                seen.check(box.node.store, self.history)

    def check_acknowledged(self, control: ControlReplication) -> None:
        """Each acknowledged change is there, or a newer one; an end may have been collected."""
        for key, revision in self.acked_items.items():
            item = control.state.items.get(key)
            collected = item is None and revision <= self.ends.get(key, 0) <= control.state.collected_up_to
            what = f"{key} {revision} at {control.settings.node} in {control.number}"
            self.world.expect(collected or item and item.revision >= revision, "acknowledged is gone", what)

    def check_strength(self) -> None:
        """With any further loss that is allowed, a majority of the witnesses in force is left, and a member."""
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
        """Names of machines that may be lost together."""
        cores = self.world.of_role("core")
        losses = [set(names) for names in combinations([box.name for box in cores], self.world.survive)]
        losses.extend(
            {box.name for box in cores if box.zone in zones} for zones in combinations(ZONES, self.world.survive_zones)
        )
        return losses

    def check_end(self) -> None:
        """After all trouble: one primary, and what callers were told is there."""
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
                found >= version, "acknowledged is gone", f"version {version} of {model}, {found} is there"
            )

    def _check_servers(self, control: ControlReplication) -> None:
        for ident, state in self.history.servers.items():
            known = control.state.record(ServerRecord, ident)
            rank = GONE if known is None else RANKS[known.state]
            self.world.expect(rank >= LEAST[state], "acknowledged is gone", f"server {ident} {state}: {known}")


class _ObservedReplica:
    """What one process' copy has held so far in its life."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.world = world
        self._rev = -1
        self._config = (0, 0)  # rev, gen
        self._servers: dict[str, tuple[int, int]] = {}  # rev, rank

    def check(self, store: Any, history: History) -> None:
        """The state has not gone back since the last look."""
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
        rank = GONE if item.is_tombstone else RANKS[json.loads(item.value)["state"]]
        self.world.expect(rank >= old, "server comes back", f"{self.name}: {ident} {rank} after {old}")
        self._servers[ident] = (item.revision, rank)


def _order(values: list[int]) -> tuple[int, ...]:
    places = {value: place for place, value in enumerate(sorted(set(values)))}
    return tuple(places[value] for value in values)


def _ranked(rows: list[tuple[str, Any, int, int]]) -> Any:
    numbers = sorted({n for row in rows for n in row[2:]})
    return tuple((name, mode.value, numbers.index(p), numbers.index(n)) for name, mode, p, n in rows)
