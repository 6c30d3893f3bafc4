"""Watches: report all puts in a group of keys in order, and resume after failures from the last reported revision."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, replace
from http import HTTPStatus

from otterreach.client.cells import ABSENT_REVISION, Cell, Cells
from otterreach.client.errors import OutcomeUnknownError, RequestRejectedError, UnavailableError
from otterreach.client.transport import Answer, Backoff, Call, Transport

LONG_POLL_S = 2.0  # how long the service holds one call
CALL_TIMEOUT_S = 10.0  # time-out of one call with its retries, before a backoff
EMPTY_GROUP_POLL_S = 0.5  # interval of polling for the first put of a group
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Restarted:
    """A (re)start of the watch: the values of the keys, read at `revision` or later.

    Puts up to `revision` that were not reported before will not be reported. Later puts follow; one that the read
    already includes is reported again, and can be recognized by its revision.
    """

    revision: int
    cells: tuple[Cell, ...]


@dataclass(frozen=True, slots=True)
class Changed:
    """All puts in the group after the previous report and up to `revision`, in order of their revisions."""

    revision: int
    cells: tuple[Cell, ...]


Report = Restarted | Changed


class Watches:
    """Watches on groups of keys."""

    def __init__(self, transport: Transport, cells: Cells) -> None:
        self._transport = transport
        self._cells = cells

    async def watch(self, group: str, keys: Sequence[str] = (), past: int = 0) -> AsyncIterator[Report]:
        """Yield reports indefinitely. The first one is Restarted unless the service still has all puts after `past`.

        Failures are retried with backoff, except RequestRejectedError, which is raised.

        :param group: the common prefix of the keys' names, including the dot
        :param keys: the keys to read when the watch (re)starts
        :param past: the revision of the last report of an earlier watch; 0 for a new watch
        """
        if past == ABSENT_REVISION:
            restarted = await self._restart(group, keys)
            past = restarted.revision
            yield restarted
        while True:
            answer = await self._query(group, past, LONG_POLL_S)
            report: Report
            if answer.status == HTTPStatus.GONE:
                report = await self._restart(group, keys)
            else:
                report = _changed_from(answer, past)
            if isinstance(report, Restarted) or report.cells:
                yield report
            past = report.revision

    async def _restart(self, group: str, keys: Sequence[str]) -> Restarted:
        """Return the values of the keys. The revision is fetched before the values, so no later put is missed."""
        revision = (await self._query(group, ABSENT_REVISION, 0.0)).integer("rev")
        # An empty group is polled until its first put, since the watch can't start at past=0: if the put were made
        # before such a query, the answer would be its revision, at once and without the put.
        while revision == ABSENT_REVISION:
            await asyncio.sleep(EMPTY_GROUP_POLL_S)
            revision = (await self._query(group, ABSENT_REVISION, 0.0)).integer("rev")
        cells = [cell for key in keys if (cell := await self._read(key)) is not None]
        return Restarted(revision, tuple(cells))

    async def _read(self, key: str) -> Cell | None:
        backoff = Backoff(self._transport.random)
        while True:
            try:
                return await self._cells.get(key)
            except (UnavailableError, OutcomeUnknownError):
                await asyncio.sleep(backoff.next_s())

    async def _query(self, group: str, past: int, wait_s: float) -> Answer:
        """Return a conclusive answer; retry until there is one."""
        named = Call.to("watch", group, "GET")
        query = f"?past={past}&waitMs={round(wait_s * MS_PER_S)}"
        call = replace(named, path=named.path + query, wait_s=wait_s)
        backoff = Backoff(self._transport.random)
        while True:
            try:
                answer = await self._transport.call(call, self._transport.now() + CALL_TIMEOUT_S)
            except (UnavailableError, OutcomeUnknownError):
                await asyncio.sleep(backoff.next_s())
                continue
            if answer.status not in (HTTPStatus.OK, HTTPStatus.GONE):
                raise RequestRejectedError(answer.status, f"watch rejected: {group}")
            return answer


def _changed_from(answer: Answer, past: int) -> Changed:
    """Return the puts in an answer, without those at or below revision `past`."""
    rows = answer.document.get("events")
    cells = [_cell_from(row) for row in rows] if isinstance(rows, list) else []
    return Changed(max(past, answer.integer("rev")), tuple(cell for cell in cells if cell.revision > past))


def _cell_from(row: object) -> Cell:
    if not isinstance(row, dict):
        raise OutcomeUnknownError("event in the answer is not a JSON object")
    name, value, revision = row.get("name"), row.get("value"), row.get("rev")
    if not isinstance(name, str) or not isinstance(value, str) or not isinstance(revision, int):
        raise OutcomeUnknownError("event in the answer lacks name (string), value (string) or rev (integer)")
    return Cell(name, value, revision)
