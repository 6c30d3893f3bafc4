"""Requests that a connection has read ahead of the one that runs."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from otterreach.sidecar import http1
from otterreach.sidecar.transport import RECEIVE_BUFFER_FACTOR

MAX_REQUESTS = 8


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request, and the times of its first and its last byte on the clock of its connection."""

    request: http1.Request
    first_byte_at: float
    received_at: float


class ReadAhead:
    """The queue of a connection. Reading pauses while it is long, or holds long bodies."""

    def __init__(self, max_bytes: int, receive_buffer_bytes: int) -> None:
        """:param max_bytes: size of the bodies in the queue at which reading pauses

        :param receive_buffer_bytes: what the kernel was asked to keep at most for the connection
        """
        self._max_bytes = max_bytes
        self._receive_buffer_bytes = receive_buffer_bytes
        self._requests: deque[ReceivedRequest] = deque()
        self._body_bytes = 0
        self.is_paused = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies in the queue, and those that may be unread in the kernel while reading is paused."""
        unread = self._receive_buffer_bytes * RECEIVE_BUFFER_FACTOR if self.is_paused else 0
        return self._body_bytes + unread

    def append(self, received: ReceivedRequest) -> None:
        """Add the newest request."""
        self._requests.append(received)
        self._body_bytes += len(received.request.body)

    def pop_oldest(self) -> ReceivedRequest:
        """Remove and return the request that runs next."""
        return self._removed(self._requests.popleft())

    def pop_newest(self) -> ReceivedRequest:
        """Remove and return the request that was received last."""
        return self._removed(self._requests.pop())

    def _removed(self, received: ReceivedRequest) -> ReceivedRequest:
        self._body_bytes -= len(received.request.body)
        return received

    def clear(self) -> None:
        """Drop all requests."""
        self._requests.clear()
        self._body_bytes = 0

    def update_reading(self, transport: asyncio.Transport) -> None:
        """Pause or resume reading, as the queue requires."""
        is_too_long = len(self._requests) > MAX_REQUESTS or self._body_bytes > self._max_bytes
        if is_too_long and not self.is_paused:
            self.is_paused = True
            transport.pause_reading()
        elif self.is_paused and not is_too_long:
            self.is_paused = False
            transport.resume_reading()
