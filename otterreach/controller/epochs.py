"""Epoch configurations and their majorities. Pure: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from otterreach.runtime.codec import message


@message(0)
@dataclass(slots=True)
class ControllerInfo:
    """A controller, by the id on its disk: one whose disk was wiped is another controller."""

    id: str
    node: str
    address: str
    zone: str


@message(0)
@dataclass(slots=True)
class EpochConfiguration:
    """Who leads in an epoch, who has every write, who votes: the only thing that witnesses keep."""

    number: int
    primary: str
    backups: list[str]
    witnesses: list[ControllerInfo]

    @property
    def members(self) -> list[str]:
        """Those that hold all acknowledged writes."""
        return [self.primary, *self.backups]

    def witness(self, ident: str) -> ControllerInfo | None:
        """The witness with this id."""
        return next((witness for witness in self.witnesses if witness.id == ident), None)


def is_majority(ids: Iterable[str], configuration: EpochConfiguration) -> bool:
    """Whether these are more than half of the configuration's witnesses."""
    known = set(ids)
    count = sum(witness.id in known for witness in configuration.witnesses)
    return count * 2 > len(configuration.witnesses)
