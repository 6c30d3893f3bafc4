"""Tracks when each witness last answered the primary, and whether a majority did so recently.

Times are on the primary's monotonic clock. A contact is dated by when its request was sent, so that a delayed reply
does not make the contact look more recent than the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from otterreach.controller.epochs import EpochConfiguration, is_majority

MAX_CONTACT_AGE_S = 0.45  # without replies of a majority within this time, the primary serves no requests


@dataclass(slots=True)
class WitnessContact:
    """The primary's contact with one witness."""

    answered_at: float  # time at which the latest request that it answered was sent
    in_flight: int = 0  # unanswered heartbeats


class WitnessContacts:
    """The primary's contacts with the witnesses of its epoch."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.by_id: dict[str, WitnessContact] = {}
        self.configuration: EpochConfiguration | None = None
        self._changed = asyncio.Event()

    def begin_epoch(self, configuration: EpochConfiguration, own_id: str, was_primary: bool) -> None:
        """Track the witnesses of a configuration that has just taken effect.

        Its members, and witnesses unknown so far, count as in contact now. If this controller was primary before, the
        contact times of the other witnesses are kept, so that an unreachable one does not count as in contact again
        at each change of configuration.
        """
        now = self.clock()
        before = self.by_id if was_primary else {}
        self.configuration = configuration
        self.by_id = {witness.id: WitnessContact(now) for witness in configuration.witnesses if witness.id != own_id}
        for ident in self.by_id.keys() & before.keys() - set(configuration.backups):
            self.by_id[ident].answered_at = before[ident].answered_at
        self.notify_waiters()

    def record_reply(self, ident: str, sent_at: float) -> None:
        """Record that this witness confirmed the epoch in reply to a request sent at `sent_at`."""
        contact = self.by_id[ident]
        contact.answered_at = max(contact.answered_at, sent_at)
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Make all callers of `wait_for_majority` check again."""
        self._changed.set()

    def since_contact_s(self) -> dict[str, float]:
        """Return the seconds since the last contact with each witness, by id."""
        now = self.clock()
        return {ident: now - contact.answered_at for ident, contact in self.by_id.items()}

    def has_majority(self, since: float | None = None) -> bool:
        """Return True if a majority of the witnesses, this controller included, answered requests sent since `since`.

        :param since: time on the monotonic clock; by default MAX_CONTACT_AGE_S ago
        """
        configuration = self.configuration
        if configuration is None:
            return False
        begin = self.clock() - MAX_CONTACT_AGE_S if since is None else since
        unresponsive = {ident for ident, contact in self.by_id.items() if contact.answered_at < begin}
        responsive = [witness.id for witness in configuration.witnesses if witness.id not in unresponsive]
        return is_majority(responsive, configuration)

    async def wait_for_majority(self, since: float, may_continue: Callable[[], bool]) -> bool:
        """Wait until a majority has answered requests sent since `since`.

        :returns: True once it has; False once `may_continue` returns False
        """
        while may_continue():
            if self.has_majority(since):
                return True
            self._changed.clear()
            await self._changed.wait()
        return False
