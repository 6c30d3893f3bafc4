"""A limit on the number of connections that callers keep open.

Descriptors are shared with a process's own connections and files. At the limit, the connection that has been quiet for
longest is closed in favour of a new one; those with a request that runs stay.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol, TypeVar


class LimitedConnection(Protocol):
    """A connection that can be closed in favour of a new one."""

    @property
    def holds_descriptor(self) -> bool:
        """True until the connection is about to give its descriptor back."""

    @property
    def is_evictable(self) -> bool:
        """True if no request runs or waits, and nothing unread may be a request."""

    @property
    def quiet_since(self) -> float:
        """Time of the last activity."""

    def abort(self) -> None:
        """Close the connection."""


ConnectionT = TypeVar("ConnectionT", bound=LimitedConnection)


def make_room(connections: Collection[ConnectionT], newest: ConnectionT, max_connections: int) -> None:
    """Close the quietest connection if there are more than `max_connections`; the newest one if all others are busy."""
    if len(connections) <= max_connections:
        return
    is_open = [connection for connection in connections if connection.holds_descriptor]
    if len(is_open) <= max_connections:
        return
    is_open.sort(key=lambda connection: connection.quiet_since)
    others = (connection for connection in is_open if connection is not newest and connection.is_evictable)
    next(others, newest).abort()
