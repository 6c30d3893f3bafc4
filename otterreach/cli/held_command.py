"""Execution of a command under a lease: the command is terminated before the lock can expire."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
from collections.abc import Sequence
from contextlib import suppress

from otterreach.client import Lease

TERMINATE_SHARE = 0.3  # fraction of the hold time; SIGTERM is sent when less than this remains
PR_SET_PDEATHSIG = 1  # option of prctl(2): the signal that a process gets when its parent dies
_LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """Make the kernel kill this child process if its parent dies, since only the parent monitors the lease."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class HeldCommand:
    """One run of a command in its own process group.

    It gets SIGTERM when failed renewals leave less than TERMINATE_SHARE of the hold time, and SIGKILL when the lease
    is lost, which is before the service may grant the lock to another owner. Its environment contains the lock, the
    owner and the fencing token.
    """

    def __init__(self, lease: Lease, command: Sequence[str]) -> None:
        self.lease = lease
        self.command = command
        self._process: asyncio.subprocess.Process | None = None

    async def run(self) -> int | None:
        """Return the command's exit code, or None if it was terminated.

        It is terminated if the lease has been lost or is about to expire.

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
            *self.command, env=environment, start_new_session=True, preexec_fn=_die_with_parent
        )
        ended = asyncio.ensure_future(self._process.wait())
        near_expiry = asyncio.ensure_future(self._wait_for_expiry())
        try:
            await asyncio.wait((ended, near_expiry), return_when=asyncio.FIRST_COMPLETED)
            return ended.result() if ended.done() else None
        finally:
            near_expiry.cancel()
            await self._terminate(ended)

    async def _wait_for_expiry(self) -> None:
        """Return when the command must be terminated."""
        min_left_s = self.lease.hold_s * TERMINATE_SHARE
        while (left_s := self.lease.remaining_s) > min_left_s:
            await asyncio.sleep(left_s - min_left_s)

    async def _terminate(self, ended: asyncio.Future[int]) -> None:
        """Send SIGTERM, and SIGKILL once the command has ended or the lease is lost; return after its end."""
        if not ended.done():
            self._signal_group(signal.SIGTERM)
            lost = asyncio.ensure_future(self.lease.lost.wait())
            await asyncio.wait((ended, lost), return_when=asyncio.FIRST_COMPLETED, timeout=self.lease.remaining_s)
            lost.cancel()
        self._signal_group(signal.SIGKILL)
        await ended

    def _signal_group(self, number: int) -> None:
        """Signal the command and its children, except those that have left its process group."""
        assert self._process
        with suppress(ProcessLookupError):
            os.killpg(self._process.pid, number)
