"""When an item goes back to its job store node because nothing comes of it here: another proxy may reach a server.

An item waits here while servers are full, while its route or its version of the weights is at no server, and while it
isn't known that its batch job goes on: other proxies would wait for the same. It goes back where the servers that may
have it can't be reached from here, or where what is known here of servers is old. Pure: time is handed in.
"""

from __future__ import annotations

from enum import Enum, auto

RETURN_AFTER_S = 1.5  # at no server; several proxies in turn have to fit into the time that a step has to spare
RETURN_TEXT_AFTER_S = 2.5  # the same of an item with a text: another proxy would have it generated anew
MIN_UNREACHABLE_ATTEMPTS = 2  # in a row: one may have been a connection that had been cut before
MAX_STATE_AGE_S = 1.0  # with older state, that no server may have an item is not sure


class Obstacle(Enum):
    """Why an item finds no server right now."""

    NOT_CONFIRMED = auto()  # whether its batch job goes on
    NO_ROUTE = auto()
    NO_SERVER = auto()  # none that is open has the version, as far as is known here
    SERVERS_FULL = auto()  # this proxy has its share of each
    NO_CONNECTION = auto()  # this proxy may open no further one


def should_return(
    obstacle: Obstacle | None, waited_s: float, unreachable: int, state_age_s: float, has_text: bool
) -> bool:
    """Whether an item is returned.

    :param obstacle: why it finds no server now; None if it finds one
    :param waited_s: how long it has been at no server
    :param unreachable: attempts in a row that brought nothing from their server
    :param state_age_s: how old the copy of the control state is
    """
    if waited_s < (RETURN_TEXT_AFTER_S if has_text else RETURN_AFTER_S):
        return False
    if obstacle in (Obstacle.NOT_CONFIRMED, Obstacle.NO_ROUTE, Obstacle.SERVERS_FULL):
        return False
    if obstacle is Obstacle.NO_SERVER:
        return state_age_s > MAX_STATE_AGE_S
    return obstacle is Obstacle.NO_CONNECTION or unreachable >= MIN_UNREACHABLE_ATTEMPTS
