"""Election time-out: how long a member waits for the primary before it stands for election.

The time-out differs between members so that they rarely stand at the same time.
"""

from __future__ import annotations

from random import Random

from otterreach.controller.local_replica import LocalReplica, Mode

# Election time-out: a base, an addition for each rank in the configuration, and a random part.
TIMEOUT_S = 0.45
TIMEOUT_PER_RANK_S = 0.2
TIMEOUT_SPREAD_S = 0.1
START_TIMEOUT_S = 0.1  # election time-out right after a start; safe, as witnesses in contact with a primary reject it
RETRY_S = 0.12  # minimum between attempts while this controller has heard of no primary since its start


class ElectionTimer:
    """The election time-out of one controller, chosen anew at each change of mode and after each election attempt."""

    def __init__(self, replica: LocalReplica, random: Random) -> None:
        self.replica = replica
        self.random = random
        self._timeout_s = START_TIMEOUT_S
        replica.on_mode_change.append(self._mode_changed)

    def _mode_changed(self, old: Mode, new: Mode) -> None:
        if new is not Mode.PRIMARY:
            self._timeout_s = START_TIMEOUT_S if old is Mode.NEW else self._random_timeout_s()

    def _random_timeout_s(self) -> float:
        configuration = self.replica.accepted
        ident = self.replica.id
        rank = configuration.members.index(ident) if configuration and ident in configuration.members else 0
        return TIMEOUT_S + TIMEOUT_PER_RANK_S * rank + TIMEOUT_SPREAD_S * self.random.random()

    def has_expired(self) -> bool:
        """Return True if the primary has not been heard from within the time-out."""
        return self.replica.loop.time() - self.replica.last_primary_contact_at > self._timeout_s

    def restart(self, elected: bool) -> None:
        """Restart the timer after an election attempt."""
        replica = self.replica
        replica.last_primary_contact_at = replica.loop.time()
        no_primary_known = not replica.last_primary and not elected
        self._timeout_s = RETRY_S * (1 + self.random.random()) if no_primary_known else self._random_timeout_s()
