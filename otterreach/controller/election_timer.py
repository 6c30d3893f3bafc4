"""When a controller stands for election: after a silence of the primary that differs from member to member."""

from __future__ import annotations

from random import Random

from otterreach.controller.local_replica import LocalReplica, Mode

# How long the primary is silent before a member stands: the base, more for each later rank, and a random part.
TIMEOUT_S = 0.45
TIMEOUT_PER_RANK_S = 0.2
TIMEOUT_SPREAD_S = 0.1
START_TIMEOUT_S = 0.1  # the same right after a start: those that hear a primary would not promise
RETRY_S = 0.12  # between attempts while no primary has been heard of since the start


class ElectionTimer:
    """Draws a new time-out whenever the mode changes, and after each attempt."""

    def __init__(self, replica: LocalReplica, random: Random) -> None:
        self.replica = replica
        self.random = random
        self._timeout_s = START_TIMEOUT_S
        replica.on_mode_change.append(self._mode_changed)

    def _mode_changed(self, old: Mode, new: Mode) -> None:
        if new is not Mode.PRIMARY:
            self._timeout_s = START_TIMEOUT_S if old is Mode.NEW else self._draw()

    def _draw(self) -> float:
        configuration = self.replica.accepted
        ident = self.replica.id
        rank = configuration.members.index(ident) if configuration and ident in configuration.members else 0
        return TIMEOUT_S + TIMEOUT_PER_RANK_S * rank + TIMEOUT_SPREAD_S * self.random.random()

    def has_expired(self) -> bool:
        """Whether the primary has been silent for longer than the time-out."""
        return self.replica.loop.time() - self.replica.last_primary_contact_at > self._timeout_s

    def restart(self, elected: bool) -> None:
        """An attempt has ended: count the silence anew."""
        replica = self.replica
        replica.last_primary_contact_at = replica.loop.time()
        no_primary_known = not replica.last_primary and not elected
        self._timeout_s = RETRY_S * (1 + self.random.random()) if no_primary_known else self._draw()
