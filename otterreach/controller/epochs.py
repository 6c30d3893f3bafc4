"""Epoch configurations and majorities of their witnesses. Pure functions and data: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from otterreach.runtime.codec import message


@message(0)
@dataclass(slots=True)
class ControllerInfo:
    """A controller's identity and address.

    The id is stored on its disk, so a controller whose disk was wiped counts as a different controller.
    """

    id: str
    node: str
    address: str
    zone: str


@message(0)
@dataclass(slots=True)
class EpochConfiguration:
    """The primary, backups and witnesses of an epoch.

    Primary and backups store every write; witnesses vote. Witnesses store nothing else than this configuration.
    """

    number: int
    primary: str
    backups: list[str]
    witnesses: list[ControllerInfo]

    @property
    def members(self) -> list[str]:
        """The ids of the primary and backups, which hold all acknowledged writes."""
        return [self.primary, *self.backups]

    def witness(self, ident: str) -> ControllerInfo | None:
        """Return the witness with this id, or None."""
        return next((witness for witness in self.witnesses if witness.id == ident), None)


def is_majority(ids: Iterable[str], configuration: EpochConfiguration) -> bool:
    """Return True if `ids` include more than half of the configuration's witnesses."""
    known = set(ids)
    count = sum(witness.id in known for witness in configuration.witnesses)
    return count * 2 > len(configuration.witnesses)
