"""An accepted connection whose requests and answers count in the budget of its process."""

from __future__ import annotations

from http import HTTPStatus

from otterreach.sidecar import http1
from otterreach.sidecar.memory_budget import MemoryBudget
from otterreach.sidecar.read_ahead import ReadAhead
from otterreach.sidecar.transport import AcceptedConnection

OVERLOAD_RETRY_AFTER_S = 0.5  # for a request that doesn't fit into the memory


class BudgetedConnection(AcceptedConnection):
    """Accounts what is held for a caller, and refuses the newest request that does not fit."""

    def __init__(self, parser: http1.RequestParser, queue: ReadAhead, budget: MemoryBudget) -> None:
        super().__init__()
        self._parser = parser
        self._queue = queue
        self._reservation = budget.reserve(self)

    def _handled_size(self) -> int:
        """Return the bytes that the request being handled takes, with its copies."""
        raise NotImplementedError

    def _answer_refusal(self) -> None:
        """Answer the parser's error, unless answers to earlier requests come first."""
        raise NotImplementedError

    def _update_reservation(self) -> bool:
        """Account what is held for this caller; return False if it doesn't fit."""
        if self._transport is None:
            return True
        other = self._queue.held_bytes + self._handled_size() + self._transport.get_write_buffer_size()
        return self._reservation.update(self._parser.buffered_bytes, other)

    def _account_received(self) -> None:
        """Account received data. If it doesn't fit, refuse the newest request that does not run yet."""
        if self._update_reservation():
            return
        if not self._parser.has_partial_request and self._queue:
            self._queue.pop_newest()
        self.evict()

    def evict(self) -> None:
        """Refuse the request being received: it has not run. Answers to earlier requests come first."""
        self._parser.refuse(int(HTTPStatus.SERVICE_UNAVAILABLE))
        self._update_reservation()
        self._answer_refusal()

    def _release(self) -> None:
        """Give back everything that is held, at the end of the connection."""
        self._queue.clear()
        self._parser.refuse(int(HTTPStatus.SERVICE_UNAVAILABLE))
        self._reservation.close()
