"""Limits the memory that long messages of one kind take, from their first byte to the end of their handling.

A link asks for admission once it has read the header of a long message. While there is no room, it stops reading, so
that the message stays with its sender. Links are admitted in the order in which they asked.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

SMALL_FRAME_BYTES = 64 * 1024  # shorter messages need no admission
STALL_S = 1.0  # a link that is admitted and receives nothing for this long is closed if others wait


class AdmittedLink(Protocol):
    """A connection that receives long messages."""

    @property
    def last_received_at(self) -> float:
        """Time of the last received byte."""

    def admitted(self) -> None:
        """Resume reading: there is room for the message now."""

    def abort(self) -> None:
        """Close the connection."""


class FrameAdmission:
    """The room for long messages of one kind. A single message is always admitted while no other is there."""

    def __init__(self, limit_bytes: int, copies: int) -> None:
        """:param copies: how many times the length of a message its handling takes"""
        self.limit_bytes = limit_bytes
        self.copies = copies
        self.used_bytes = 0
        self._receiving: dict[AdmittedLink, int] = {}  # lengths of messages that are admitted and incomplete
        self._waiting: deque[tuple[AdmittedLink, int]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def request(self, link: AdmittedLink, length: int) -> bool:
        """Admit a message, or let its link wait; return True if it may be read now."""
        if not self._waiting and self._has_room(length):
            self._admit(link, length)
            return True
        self._waiting.append((link, length))
        self._start_timer()
        return False

    def received(self, link: AdmittedLink) -> int:
        """Note that an admitted message is complete; return its length, which `release` needs."""
        return self._receiving.pop(link, 0)

    def release(self, length: int) -> None:
        """Note that a message has been handled."""
        self.used_bytes -= length * self.copies
        self._admit_waiting()

    def closed(self, link: AdmittedLink) -> None:
        """Note the end of a connection, which may be waiting or in the middle of a message."""
        self._waiting = deque(entry for entry in self._waiting if entry[0] is not link)
        self.release(self._receiving.pop(link, 0))

    def _has_room(self, length: int) -> bool:
        return not self.used_bytes or self.used_bytes + length * self.copies <= self.limit_bytes

    def _admit(self, link: AdmittedLink, length: int) -> None:
        self.used_bytes += length * self.copies
        self._receiving[link] = length

    def _admit_waiting(self) -> None:
        while self._waiting and self._has_room(self._waiting[0][1]):
            link, length = self._waiting.popleft()
            self._admit(link, length)
            link.admitted()

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(STALL_S, self._close_stalled)

    def _close_stalled(self) -> None:
        """Close the links that hold room others wait for, without receiving anything."""
        self._timer = None
        if not self._waiting:
            return
        latest = asyncio.get_running_loop().time() - STALL_S
        for link in list(self._receiving):
            if link.last_received_at < latest:
                link.abort()
        self._start_timer()
