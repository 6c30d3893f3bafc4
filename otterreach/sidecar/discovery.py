"""Watch on discovery's list: a streamed response of JSON objects, one per line, until the connection ends."""

from __future__ import annotations

import asyncio
import json
import random
import re
import sys
import traceback
from collections.abc import Callable
from typing import Any

from otterreach.sidecar import http1
from otterreach.sidecar.config import Address, MemberList, Names

# A live watch sends an empty line every 2 s. Updates that a silent watch misses count as received 6 s after its last
# data (4 s after a change of the address), and a call may take a second to be rejected. So the watch is reopened as
# soon as an empty line is certainly late.
ANSWER_TIMEOUT_S = 3.0
# Growth of the time-out of a call after each call without an answer, and its limit.
TIMEOUT_GROWTH = 1.5
MAX_ANSWER_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0  # TCP's first retransmission is after the same time
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_OBJECT = 4 * 1024 * 1024
KEY = re.compile(rb'"(revision|complete|members)"\s*:')
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


class ObjectSplitter:
    """Splits the data of a watch into JSON objects, each on one line or formatted over several lines."""

    def __init__(self) -> None:
        self._partial_line = b""  # incomplete last line
        self._lines: list[bytes] = []  # lines of the incomplete object
        self._depth = 0  # nesting depth at the end of `_lines`
        self._size = 0  # size of `_lines` in bytes
        self._keys: set[bytes] = set()  # top-level keys of the incomplete list

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the objects that they complete, including lines that aren't valid objects.

        :raises OSError: an object exceeds MAX_OBJECT
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        completed: list[bytes] = []
        for line in lines:
            if line.strip():  # empty lines are heartbeats
                self._add_line(line, completed)
        if self._size + len(self._partial_line) > MAX_OBJECT:
            raise OSError(f"incomplete object exceeds {MAX_OBJECT} bytes")
        return completed

    def _add_line(self, line: bytes, completed: list[bytes]) -> None:
        if self._lines and line.startswith(b"{") and self._starts_new_object(line):
            self._finish_object(completed)
        if not self._keys.isdisjoint(KEY.findall(line)):
            self._split_lists(completed)
        self._append_line(line)
        if self._depth <= 0 or not self._lines[0].lstrip().startswith(b"{"):
            self._finish_object(completed)

    def _append_line(self, line: bytes) -> None:
        self._lines.append(line)
        self._size += len(line)
        self._keys.update(KEY.findall(line))
        for token in TOKEN.findall(line):
            self._depth += (token in (b"{", b"[")) - (token in (b"}", b"]"))

    def _split_lists(self, completed: list[bytes]) -> None:
        """Split the lines at the last object that starts in the first column.

        Called when a top-level key occurs twice: that object was taken for the last entry of the list before it, but
        it is itself the next list.
        """
        start = max((n for n, line in enumerate(self._lines) if line.startswith(b"{")), default=0)
        next_list = self._lines[start:]
        self._lines = self._lines[:start]
        self._finish_object(completed)
        for line in next_list:
            self._append_line(line)

    def _starts_new_object(self, line: bytes) -> bool:
        """Return True if a line with a brace in the first column starts a new object.

        It does if it can't continue the lines before, or if it is a complete list. Without this check, a truncated list
        would absorb all following ones.
        """
        return not self._is_continuation() or "members" in (_parse_object(line) or ())

    def _is_continuation(self) -> bool:
        text = b"\n".join([*self._lines, b"{"])
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            return error.pos >= len(error.doc)  # the only error is the missing rest
        except (ValueError, RecursionError):
            return False
        return False

    def _finish_object(self, completed: list[bytes]) -> None:
        if self._lines:
            completed.append(b"\n".join(self._lines))
        self._lines = []
        self._depth = 0
        self._size = 0
        self._keys.clear()


def _parse_object(text: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


class Watch:
    """Keeps a watch on discovery's list open and reports each update, in order."""

    def __init__(
        self,
        address: Address,
        names: Names,
        revision: int,
        on_list: Callable[[MemberList], None],
        on_idle: Callable[[], None] = lambda: None,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        self._address = address
        self._names = names
        self._on_list = on_list
        self._on_idle = on_idle  # called when all updates available for now were reported
        self._revision = revision
        self._backoff_s = INITIAL_BACKOFF_S
        self._max_backoff_s = max_backoff_s
        self._answer_timeout_s = 0.0  # time-out of the next call, if above ANSWER_TIMEOUT_S
        self._watching: asyncio.Task[None] | None = None

    def set_address(self, address: Address) -> None:
        """Change discovery's address, without waiting for the current watch or backoff to end."""
        if address == self._address:
            return
        print("discovery: address changed to {}:{}".format(*address), file=sys.stderr)
        self._address = address
        self._backoff_s = INITIAL_BACKOFF_S
        self._answer_timeout_s = 0.0
        if self._watching:
            self._watching.cancel()

    async def run(self) -> None:
        """Keep a watch open, in an endless loop."""
        while True:
            self._watching = asyncio.create_task(self._watch_and_wait())
            try:
                await asyncio.wait([self._watching])  # set_address cancels this task, not the loop
            finally:
                self._watching.cancel()

    async def _watch_and_wait(self) -> None:
        try:
            await self._watch_once()
        except TimeoutError:
            print("discovery: no data within the time-out", file=sys.stderr)
        except OSError as error:
            print(f"discovery: {type(error).__name__}: {error}", file=sys.stderr)
            # A refused connection means that nothing listens there, so no update is available for now. Other errors
            # don't prove that: a service that has failed but still listens would leave calls pending.
            if isinstance(error, ConnectionRefusedError):
                self._on_idle()
        except Exception:  # after any error the watch must be reopened, or updates are missed permanently
            traceback.print_exc()
        # With jitter, since all sidecars lose discovery at the same time.
        backoff_s = self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, self._max_backoff_s, MAX_BACKOFF_S)
        await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))

    async def _watch_once(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self._address)
        body: list[bytes] = []
        objects = ObjectSplitter()
        parser = http1.ResponseParser(body.append)
        try:
            target = b"/v1/servers?stream=1&index=%d" % self._revision
            request = http1.Request(b"GET", target, {}, b"", True)
            writer.write(http1.encode_request(request, "{}:{}".format(*self._address).encode(), {}))
            while True:
                data = await self._read(reader, answered=parser.status == 200)
                if not data:
                    raise OSError("the watch has ended: connection closed")
                parser.feed(data)
                if parser.status == 200:
                    self._answer_timeout_s = 0.0
                    for text in objects.feed(b"".join(body)):
                        self._on_object(text)
                    self._on_idle()
                body.clear()
                if parser.broken or parser.response or parser.status not in (0, 200):
                    raise OSError(f"the watch has ended: status {parser.status}")
        finally:
            parser.close()
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader, answered: bool) -> bytes:
        """Read the next data from discovery; a time-out before the answer extends the time-out of the next call.

        Otherwise, a slow service would be called again each time just before it answers.
        """
        timeout_s = ANSWER_TIMEOUT_S if answered else max(ANSWER_TIMEOUT_S, self._answer_timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.read(65536)
        except TimeoutError:
            if not answered:
                self._answer_timeout_s = min(timeout_s * TIMEOUT_GROWTH, MAX_ANSWER_TIMEOUT_S)
            raise

    def _on_object(self, text: bytes) -> None:
        try:
            update = self._names.parse_member_list(json.loads(text))
        except (ValueError, RecursionError) as error:
            # An invalid line must neither end the watch nor affect the lines after it.
            print(f"discovery: invalid line skipped: {error}"[:300], file=sys.stderr)
            return
        self._on_list(update)
        self._revision = update.revision
        self._backoff_s = INITIAL_BACKOFF_S
