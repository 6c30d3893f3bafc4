"""Forms the configuration of a new epoch: its witnesses, and backups that hold the complete state already."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.local_replica import LocalReplica
from otterreach.controller.snapshot import SnapshotSender, install_all
from otterreach.controller.survival import (
    FailureDomain,
    choose_replicas,
    failure_domain_of,
    limits_of,
    unmet_by_replicas,
    unmet_by_voters,
)
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.store import Item, ReplicatedStore


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The changes that an election makes besides the primary."""

    drop: frozenset[str] = frozenset()  # witnesses to remove
    add: tuple[ControllerInfo, ...] = ()  # witnesses to add
    avoid: frozenset[str] = frozenset()  # controllers shutting down: made backups only if there are no others
    transfer: bool = False  # the present primary asked for the election


NO_CHANGE = MembershipChange()


class Formation:
    """Chooses the members of configurations that this controller leads."""

    def __init__(self, replica: LocalReplica, endpoint: Endpoint) -> None:
        self.replica = replica
        self.settings = replica.settings
        self.limits = limits_of(replica.settings)
        self.snapshots = SnapshotSender(replica, endpoint)
        self._unmet: list[str] = []  # kinds of losses that the last configuration should survive and does not

    def domains(self, controllers: Iterable[ControllerInfo]) -> dict[str, FailureDomain]:
        """Return the failure domains of controllers, by id."""
        return {controller.id: failure_domain_of(controller.zone, self.settings.zones) for controller in controllers}

    def initial_configuration(self, witnesses: list[ControllerInfo]) -> EpochConfiguration:
        """Return the initial configuration. Its backups need no snapshot, since there is no state yet."""
        own_id = self.replica.id
        others = [witness.id for witness in witnesses if witness.id != own_id]
        backups = choose_replicas([own_id], others, self.domains(witnesses), self.limits)
        return EpochConfiguration(1, own_id, backups, witnesses)

    async def form(
        self,
        base: EpochConfiguration,
        number: int,
        items: list[Item],
        promised: dict[str, ControllerInfo],
        change: MembershipChange,
    ) -> EpochConfiguration | None:
        """Return the new configuration, after its backups have stored `items`, the complete state, on disk.

        :param base: the previous configuration
        :param promised: the witnesses that have promised, by id
        :returns: None if the state could be installed at too few backups
        """
        own_id = self.replica.id
        added = {controller.id for controller in change.add}
        kept = [witness for witness in base.witnesses if witness.id not in change.drop and witness.id not in added]
        witnesses = [*kept, *change.add]
        members = set(base.members)
        candidates = [
            witness for witness in witnesses if witness.id != own_id and (witness.id in promised or witness.id in added)
        ]
        candidates.sort(
            key=lambda candidate: (
                candidate.id in change.avoid,
                candidate.id not in members,
                candidate.zone == self.settings.zone,
                candidate.id,
            )
        )
        backups = await self._fill_backups(candidates, number, items)
        min_backups = min(self.limits.nodes, len(witnesses) - 1)
        return EpochConfiguration(number, own_id, backups, witnesses) if len(backups) >= min_backups else None

    async def _fill_backups(self, candidates: list[ControllerInfo], number: int, items: list[Item]) -> list[str]:
        """Install the state at as few candidates as survive, with this controller, every allowed loss.

        :returns: the ids of the candidates that have the complete state on disk
        """
        own_id = self.replica.id
        backups: list[str] = []
        domains = self.domains([self.replica.controller_info, *candidates])
        left = {candidate.id: candidate for candidate in candidates}
        while chosen := choose_replicas([own_id, *backups], list(left), domains, self.limits):
            targets = [left.pop(ident) for ident in chosen]
            backups += await self._install_snapshots(targets, number, items)
        return backups

    async def _install_snapshots(self, targets: list[ControllerInfo], number: int, items: list[Item]) -> list[str]:
        """Install the complete state at all targets and return the ids of those that now have it on disk."""
        state = ReplicatedStore()
        state.apply(items)
        return await install_all(self.snapshots, targets, number, state)

    def log_unmet(self, configuration: EpochConfiguration) -> None:
        """Log the kinds of allowed losses that the configuration does not survive, whenever they change."""
        domains = self.domains(configuration.witnesses)
        by_replicas = unmet_by_replicas([domains[member] for member in configuration.members], self.limits)
        by_voters = unmet_by_voters(list(domains.values()), self.limits)
        unmet = [f"replicas:{kind}" for kind in by_replicas] + [f"voters:{kind}" for kind in by_voters]
        if unmet != self._unmet:
            self._unmet = unmet
            level = "WARNING" if unmet else "INFO"
            log("survival", level=level, number=configuration.number, unmet=",".join(unmet) or "none")
