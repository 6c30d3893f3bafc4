"""When each witness last answered the primary, and whether a majority did so a moment ago.

Times are the monotonic clock of the primary, and count from when it asked: a delayed answer passes for no newer one
than its question.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from otterreach.controller.epochs import EpochConfiguration, is_majority

MAX_CONTACT_AGE_S = 0.45  # a primary that a majority of the witnesses has not answered for longer serves nothing


@dataclass(slots=True)
class WitnessContact:
    """What the primary knows of a witness."""

    answered_at: float  # when the last heartbeat that it confirmed was sent
    in_flight: int = 0  # heartbeats without an answer yet


class WitnessContacts:
    """The contacts of one epoch's primary."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.by_id: dict[str, WitnessContact] = {}
        self.configuration: EpochConfiguration | None = None
        self._changed = asyncio.Event()

    def begin_epoch(self, configuration: EpochConfiguration, own_id: str, was_primary: bool) -> None:
        """The configuration has just come into force.

        Its members count as heard now. Of the others, what the same primary knew before goes on, so that one that is
        gone is not taken for new at each change.
        """
        now = self.clock()
        before = self.by_id if was_primary else {}
        self.configuration = configuration
        self.by_id = {witness.id: WitnessContact(now) for witness in configuration.witnesses if witness.id != own_id}
        for ident in self.by_id.keys() & before.keys() - set(configuration.backups):
            self.by_id[ident].answered_at = before[ident].answered_at
        self.wake()

    def record_answer(self, ident: str, asked_at: float) -> None:
        """This witness, asked at that time, said that the epoch holds."""
        contact = self.by_id[ident]
        contact.answered_at = max(contact.answered_at, asked_at)
        self.wake()

    def wake(self) -> None:
        """Let those who wait for a majority look again."""
        self._changed.set()

    def since_contact_s(self) -> dict[str, float]:
        """Seconds since each was last in touch."""
        now = self.clock()
        return {ident: now - contact.answered_at for ident, contact in self.by_id.items()}

    def has_majority(self, since: float | None = None) -> bool:
        """Whether a majority of the witnesses, this controller included, answered what was asked since then.

        :param since: on the monotonic clock; by default MAX_CONTACT_AGE_S ago
        """
        configuration = self.configuration
        if configuration is None:
            return False
        begin = self.clock() - MAX_CONTACT_AGE_S if since is None else since
        unresponsive = {ident for ident, contact in self.by_id.items() if contact.answered_at < begin}
        in_touch = [witness.id for witness in configuration.witnesses if witness.id not in unresponsive]
        return is_majority(in_touch, configuration)

    async def wait_for_majority(self, since: float, may_go_on: Callable[[], bool]) -> bool:
        """True once a majority has answered what was asked since then; False once `may_go_on` does not hold."""
        while may_go_on():
            if self.has_majority(since):
                return True
            self._changed.clear()
            await self._changed.wait()
        return False
