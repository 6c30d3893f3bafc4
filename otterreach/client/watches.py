"""Watches: every put in a group of keys, in order, resumed across failures from the last revision seen."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, replace
from http import HTTPStatus

from otterreach.client.cells import ABSENT_REVISION, Cell, Cells
from otterreach.client.errors import OutcomeUnknownError, RequestRejectedError, UnavailableError
from otterreach.client.transport import Answer, Backoff, Call, Transport

WAIT_S = 2.0  # one call waits at the service for so long
ATTEMPTS_S = 10.0  # one round of attempts, before a pause
EMPTY_GROUP_PAUSE_S = 0.5  # between two questions whether a group has its first put
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Restarted:
    """A watch begins anew: the keys as they were read, at `revision` or later.

    Puts up to `revision` that were not reported before will not be. Those after it follow; one that a read already
    shows is reported once more, which its revision tells.
    """

    revision: int
    cells: tuple[Cell, ...]


@dataclass(frozen=True, slots=True)
class Changed:
    """All puts in the group after the former report and up to `revision`, in the order of their revisions."""

    revision: int
    cells: tuple[Cell, ...]


Report = Restarted | Changed


class Watches:
    """Watches on groups of keys."""

    def __init__(self, transport: Transport, cells: Cells) -> None:
        self._transport = transport
        self._cells = cells

    async def watch(self, group: str, keys: Sequence[str] = (), past: int = 0) -> AsyncIterator[Report]:
        """Reports, for ever. The first one is Restarted unless the service still has all puts after `past`.

        Failures are retried with a growing pause; RequestRejectedError is raised.

        :param group: the beginning of the keys' names, with its dot
        :param keys: the keys to read when the watch begins anew
        :param past: the revision of the last report of an earlier watch; 0 for a new one
        """
        if past == ABSENT_REVISION:
            restarted = await self._restart(group, keys)
            past = restarted.revision
            yield restarted
        while True:
            answer = await self._ask(group, past, WAIT_S)
            report: Report
            if answer.status == HTTPStatus.GONE:
                report = await self._restart(group, keys)
            else:
                report = _changed(answer, past)
            if isinstance(report, Restarted) or report.cells:
                yield report
            past = report.revision

    async def _restart(self, group: str, keys: Sequence[str]) -> Restarted:
        """Take the present revision first, then read: no put after the revision can be missed."""
        revision = (await self._ask(group, ABSENT_REVISION, 0.0)).integer("rev")
        while revision == ABSENT_REVISION:  # a watch can't wait for the first put: 0 asks for the revision alone
            await asyncio.sleep(EMPTY_GROUP_PAUSE_S)
            revision = (await self._ask(group, ABSENT_REVISION, 0.0)).integer("rev")
        cells = [cell for key in keys if (cell := await self._read(key)) is not None]
        return Restarted(revision, tuple(cells))

    async def _read(self, key: str) -> Cell | None:
        backoff = Backoff(self._transport.random)
        while True:
            try:
                return await self._cells.get(key)
            except (UnavailableError, OutcomeUnknownError):
                await asyncio.sleep(backoff.next_s())

    async def _ask(self, group: str, past: int, wait_s: float) -> Answer:
        """A clear answer, however long that takes."""
        named = Call.to("watch", group, "GET")
        query = f"?past={past}&waitMs={round(wait_s * MS_PER_S)}"
        call = replace(named, path=named.path + query, wait_s=wait_s)
        backoff = Backoff(self._transport.random)
        while True:
            try:
                answer = await self._transport.call(call, self._transport.now() + ATTEMPTS_S)
            except (UnavailableError, OutcomeUnknownError):
                await asyncio.sleep(backoff.next_s())
                continue
            if answer.status not in (HTTPStatus.OK, HTTPStatus.GONE):
                raise RequestRejectedError(answer.status, f"no watch of {group}")
            return answer


def _changed(answer: Answer, past: int) -> Changed:
    """The puts of an answer; those that the revision shows to be old are left out."""
    rows = answer.document.get("events")
    cells = [_cell(row) for row in rows] if isinstance(rows, list) else []
    return Changed(max(past, answer.integer("rev")), tuple(cell for cell in cells if cell.revision > past))


def _cell(row: object) -> Cell:
    if not isinstance(row, dict):
        raise OutcomeUnknownError("an event that is no object")
    name, value, revision = row.get("name"), row.get("value"), row.get("rev")
    if not isinstance(name, str) or not isinstance(value, str) or not isinstance(revision, int):
        raise OutcomeUnknownError("an event that can't be read")
    return Cell(name, value, revision)
