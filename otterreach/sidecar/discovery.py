"""The watch on discovery's list: one long answer, a JSON object a line, for as long as it lasts."""

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

# What a silent watch misses counts as told 6 s after its last word (4 s after a move), and a call may wait a
# second to be turned away. So silence ends a watch once an empty line, due every 2 s, is surely late.
ANSWER_TIMEOUT_S = 3.0
# with a call, where those before got no answer
PATIENCE_GROWTH = 1.5
LONGEST_PATIENCE_S = 6.0
CONNECT_S = 1.0  # TCP tries again after as long
FIRST_WAIT_S = 0.05
LONGEST_WAIT_S = 2.0
MAX_OBJECT = 4 * 1024 * 1024
KEY = re.compile(rb'"(revision|complete|members)"\s*:')
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


class Objects:
    """Cuts what a watch brings into JSON objects: each on a line of its own, or laid out over several."""

    def __init__(self) -> None:
        self._rest = b""  # of a line
        self._lines: list[bytes] = []  # of an object that goes on
        self._depth = 0
        self._size = 0
        self._keys: set[bytes] = set()  # of the list itself, as far as it has come

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that these bytes complete, and what can't be one."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        done: list[bytes] = []
        for line in lines:
            if line.strip():  # an empty one only says that the watch is alive
                self._add(line, done)
        if self._size + len(self._rest) > MAX_OBJECT:
            raise OSError("an object without end")
        return done

    def _add(self, line: bytes, done: list[bytes]) -> None:
        if self._lines and line.startswith(b"{") and self._begins_anew(line):
            self._end(done)
        if not self._keys.isdisjoint(KEY.findall(line)):
            self._part(done)
        self._take(line)
        if self._depth <= 0 or not self._lines[0].lstrip().startswith(b"{"):
            self._end(done)

    def _take(self, line: bytes) -> None:
        self._lines.append(line)
        self._size += len(line)
        self._keys.update(KEY.findall(line))
        for token in TOKEN.findall(line):
            self._depth += (token in (b"{", b"[")) - (token in (b"}", b"]"))

    def _part(self, done: list[bytes]) -> None:
        """No list has a key twice: what was taken for its last entry has been the next list all along."""
        start = max((n for n, line in enumerate(self._lines) if line.startswith(b"{")), default=0)
        behind = self._lines[start:]
        self._lines = self._lines[:start]
        self._end(done)
        for line in behind:
            self._take(line)

    def _begins_anew(self, line: bytes) -> bool:
        """Danger: a list that was cut off would swallow all that follow.

        A brace at the margin is the next one's where it can't go on the lines before, or is a whole list.
        """
        return not self._goes_on() or "members" in (_object(line) or ())

    def _goes_on(self) -> bool:
        text = b"\n".join([*self._lines, b"{"])
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            return error.pos >= len(error.doc)  # all that is wrong with it is that it ends
        except (ValueError, RecursionError):
            return False
        return False

    def _end(self, done: list[bytes]) -> None:
        if self._lines:
            done.append(b"\n".join(self._lines))
        self._lines = []
        self._depth = 0
        self._size = 0
        self._keys.clear()


def _object(text: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


class Watch:
    """Keeps the list up to date and hands each change on, in order."""

    def __init__(
        self,
        address: Address,
        names: Names,
        revision: int,
        on_list: Callable[[MemberList], None],
        on_idle: Callable[[], None] = lambda: None,
        longest_wait_s: float = LONGEST_WAIT_S,
    ) -> None:
        self._address = address
        self._names = names
        self._on_list = on_list
        self._on_idle = on_idle  # called once it has told all that it has for now
        self._revision = revision
        self._wait_s = FIRST_WAIT_S
        self._longest_wait_s = longest_wait_s
        self._patience_s = 0.0  # with the next call, where that is longer than silence may last
        self._watching: asyncio.Task[None] | None = None

    def move(self, address: Address) -> None:
        """Watch at another address from now on.

        Neither the watch that ends nor the pause after its failures is waited for.
        """
        if address == self._address:
            return
        print("discovery: now at {}:{}".format(*address), file=sys.stderr)
        self._address = address
        self._wait_s = FIRST_WAIT_S
        self._patience_s = 0.0
        if self._watching:
            self._watching.cancel()

    async def run(self) -> None:
        """Watch, and begin anew after each end; for ever."""
        while True:
            self._watching = asyncio.create_task(self._watch_and_wait())
            try:
                await asyncio.wait([self._watching])  # a turn may be cancelled, and that does not end the watch
            finally:
                self._watching.cancel()

    async def _watch_and_wait(self) -> None:
        try:
            await self._watch_once()
        except TimeoutError:
            print("discovery: no word in time", file=sys.stderr)
        except OSError as error:
            print(f"discovery: {type(error).__name__}: {error}", file=sys.stderr)
            if isinstance(error, ConnectionRefusedError):  # nobody is there; one that is down holds its calls
                self._on_idle()
        except Exception:  # Danger: whatever it was, without a watch drains are missed for good
            traceback.print_exc()
        # Jittered: all sidecars lose discovery at the same moment.
        wait_s = self._wait_s
        self._wait_s = min(2 * self._wait_s, self._longest_wait_s, LONGEST_WAIT_S)
        await asyncio.sleep(wait_s * random.uniform(0.5, 1.0))

    async def _watch_once(self) -> None:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*self._address)
        body: list[bytes] = []
        objects = Objects()
        parser = http1.ResponseParser(body.append)
        try:
            target = b"/v1/servers?stream=1&index=%d" % self._revision
            request = http1.Request(b"GET", target, {}, b"", True)
            writer.write(http1.encode_request(request, "{}:{}".format(*self._address).encode(), {}))
            while True:
                data = await self._read(reader, answered=parser.status == 200)
                if not data:
                    raise OSError("the watch has ended")
                parser.feed(data)
                if parser.status == 200:
                    self._patience_s = 0.0
                    for text in objects.feed(b"".join(body)):
                        self._on_object(text)
                    self._on_idle()
                body.clear()
                if parser.broken or parser.response or parser.status not in (0, 200):
                    raise OSError(f"the watch has ended, with status {parser.status}")
        finally:
            parser.close()
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader, answered: bool) -> bytes:
        """Read what the discovery service sends next; a read that is given up lets the next one wait longer.

        A service that answers slowly would otherwise be asked anew each time just before its answer.
        """
        patience_s = ANSWER_TIMEOUT_S if answered else max(ANSWER_TIMEOUT_S, self._patience_s)
        try:
            async with asyncio.timeout(patience_s):
                return await reader.read(65536)
        except TimeoutError:
            if not answered:
                self._patience_s = min(patience_s * PATIENCE_GROWTH, LONGEST_PATIENCE_S)
            raise

    def _on_object(self, text: bytes) -> None:
        try:
            update = self._names.member_list(json.loads(text))
        except (ValueError, RecursionError) as error:
            # Danger: one line that nobody can read must not end the watch, nor hide those behind it.
            print(f"discovery: a line was skipped: {error}"[:300], file=sys.stderr)
            return
        self._on_list(update)
        self._revision = update.revision
        self._wait_s = FIRST_WAIT_S
