"""A command of the operating system that runs while a lock is held, and ends before the hold can run out."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
from collections.abc import Sequence
from contextlib import suppress

from otterreach.client import Lease

TERMINATE_SHARE = 0.3  # of the hold: with less time left the command is asked to end
PR_SET_PDEATHSIG = 1  # of prctl(2): the signal that a process gets when its parent ends
_LIBC = ctypes.CDLL(None, use_errno=True)


def _end_with_parent() -> None:
    """In the child, before the command starts: nobody would watch over it without its parent."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class HeldCommand:
    """One run of a command in a process group of its own.

    It gets SIGTERM once renewals have failed for so long that less than TERMINATE_SHARE of the hold is left, and
    SIGKILL when the lease is lost, which is before the service may give the lock to another. Its environment names the
    lock, the owner and the fencing token.
    """

    def __init__(self, lease: Lease, command: Sequence[str]) -> None:
        self.lease = lease
        self.command = command
        self._process: asyncio.subprocess.Process | None = None

    async def run(self) -> int | None:
        """The command's exit code, or None if it was ended because the lease was in danger or lost.

        Raises OSError if the command can't be started.
        """
        environment = {
            **os.environ,
            "OTTERREACH_LOCK": self.lease.name,
            "OTTERREACH_OWNER": self.lease.owner,
            "OTTERREACH_FENCE": str(self.lease.fence),
        }
        self.lease.check()
        self._process = await asyncio.create_subprocess_exec(
            *self.command, env=environment, start_new_session=True, preexec_fn=_end_with_parent
        )
        ended = asyncio.ensure_future(self._process.wait())
        guard = asyncio.ensure_future(self._guard())
        try:
            await asyncio.wait((ended, guard), return_when=asyncio.FIRST_COMPLETED)
            return ended.result() if ended.done() else None
        finally:
            guard.cancel()
            await self._end(ended)

    async def _guard(self) -> None:
        """Ends when the command has to end."""
        least_s = self.lease.hold_s * TERMINATE_SHARE
        while (left_s := self.lease.remaining_s) > least_s:
            await asyncio.sleep(left_s - least_s)

    async def _end(self, ended: asyncio.Future[int]) -> None:
        """SIGTERM, SIGKILL once the lease is lost; the process is gone on return."""
        if not ended.done():
            self._signal_group(signal.SIGTERM)
            lost = asyncio.ensure_future(self.lease.lost.wait())
            await asyncio.wait((ended, lost), return_when=asyncio.FIRST_COMPLETED, timeout=self.lease.remaining_s)
            lost.cancel()
        self._signal_group(signal.SIGKILL)
        await ended

    def _signal_group(self, number: int) -> None:
        """Also what the command has started, unless that has left its process group."""
        assert self._process
        with suppress(ProcessLookupError):
            os.killpg(self._process.pid, number)
