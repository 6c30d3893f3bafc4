"""Which connection is closed when there are too many."""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.sidecar.connection_limit import make_room


@dataclass(eq=False)
class Connection:
    quiet_since: float
    is_evictable: bool = True
    holds_descriptor: bool = True

    def abort(self) -> None:
        self.holds_descriptor = False


def closed(connections: list[Connection], max_connections: int) -> list[float]:
    make_room(connections, connections[-1], max_connections)
    return [connection.quiet_since for connection in connections if not connection.holds_descriptor]


def test_up_to_the_limit_all_stay() -> None:
    assert closed([Connection(1.0), Connection(2.0)], 2) == []


def test_the_quietest_connection_is_closed() -> None:
    assert closed([Connection(2.0), Connection(1.0), Connection(3.0)], 2) == [1.0]


def test_busy_connections_stay() -> None:
    assert closed([Connection(1.0, is_evictable=False), Connection(2.0), Connection(3.0)], 2) == [2.0]


def test_the_newest_is_closed_if_all_others_are_busy() -> None:
    assert closed([Connection(1.0, is_evictable=False), Connection(2.0, is_evictable=False), Connection(3.0)], 2) == [
        3.0
    ]


def test_closed_connections_do_not_count() -> None:
    assert closed([Connection(1.0, holds_descriptor=False), Connection(2.0), Connection(3.0)], 2) == [1.0]
