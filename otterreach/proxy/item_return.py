"""The rule for returning an item to its job store node, so that another proxy, which may reach a server, can run it.

An item keeps waiting at this proxy while servers are full, while its route is missing, while no server has its weight
version, and while its batch job is not confirmed: other proxies would wait for the same conditions. It is returned if
its eligible servers are unreachable from this proxy, or if this proxy's view of the servers is outdated. The function
is pure: times are passed in.
"""

from __future__ import annotations

from enum import Enum, auto

RETURN_AFTER_S = 1.5  # time at no server; several proxies in turn must fit into the slack of a training step
RETURN_TEXT_AFTER_S = 2.5  # for an item with partial text, which another proxy would have to generate again
MIN_UNREACHABLE_ATTEMPTS = 2  # consecutive; a single one may be due to a connection that was already broken
MAX_STATE_AGE_S = 1.0  # with an older replica of the control state, the lack of an eligible server proves nothing


class Obstacle(Enum):
    """The reason why an item finds no server."""

    NOT_CONFIRMED = auto()  # its batch job has not been confirmed recently
    NO_ROUTE = auto()
    NO_SERVER = auto()  # no open server is known to have the version
    SERVERS_FULL = auto()  # this proxy uses its full share of each server
    NO_CONNECTION = auto()  # this proxy has reached its connection limit


def should_return(
    obstacle: Obstacle | None, waited_s: float, unreachable: int, state_age_s: float, has_text: bool
) -> bool:
    """Return True if an item is to be returned.

    :param obstacle: the reason why it finds no server now; None if it finds one
    :param waited_s: time since the end of its last attempt that was answered and may have been executed; before the
        first such attempt, time since it was assigned
    :param unreachable: consecutive attempts without any answer from their server
    :param state_age_s: age of the local replica of the control state
    :param has_text: True if part of its text has been generated
    """
    if waited_s < (RETURN_TEXT_AFTER_S if has_text else RETURN_AFTER_S):
        return False
    if obstacle in (Obstacle.NOT_CONFIRMED, Obstacle.NO_ROUTE, Obstacle.SERVERS_FULL):
        return False
    if obstacle is Obstacle.NO_SERVER:
        return state_age_s > MAX_STATE_AGE_S
    return obstacle is Obstacle.NO_CONNECTION or unreachable >= MIN_UNREACHABLE_ATTEMPTS
