"""What the kernel knows of a process: peak memory, open descriptors, bytes that it has not read yet."""

from __future__ import annotations

import asyncio
import os
from contextlib import suppress
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
KIB = 1024
MIB = 1024 * 1024
ESTABLISHED = "01"  # of /proc/net/tcp


def status_kib(pid: int, field: str) -> int:
    """Return a figure of /proc/PID/status in KiB; 0 after the end of the process."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1])
    return 0


def descriptors(pid: int) -> int:
    """Return the number of open descriptors; 0 after the end of the process."""
    with suppress(OSError):
        return len(os.listdir(f"/proc/{pid}/fd"))  # noqa: PTH208
    return 0


def unread_bytes(ip: str) -> int:
    """Return the received bytes that wait in the kernel on connections of a loopback address."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(local) and fields[3] == ESTABLISHED:
            total += int(fields[4].partition(":")[2], 16)
    return total


class Observer:
    """Samples one process while a crowd is there. The peak of its memory comes from the kernel."""

    def __init__(self, pid: int, ip: str) -> None:
        self.pid = pid
        self.ip = ip
        self.peak_mib = 0.0  # of the process, also between the samples
        self.peak_with_unread_mib = 0.0  # resident and unread bytes together, by samples
        self.peak_descriptors = 0
        self._task: asyncio.Task[None] | None = None

    def sample(self) -> None:
        """Update the peaks."""
        resident = status_kib(self.pid, "VmRSS") * KIB
        self.peak_mib = max(self.peak_mib, status_kib(self.pid, "VmHWM") / KIB)
        self.peak_with_unread_mib = max(self.peak_with_unread_mib, (resident + unread_bytes(self.ip)) / MIB)
        self.peak_descriptors = max(self.peak_descriptors, descriptors(self.pid))

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def __aenter__(self) -> Observer:
        self._task = asyncio.ensure_future(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.sample()
        if self._task:
            self._task.cancel()

    def __str__(self) -> str:
        return (
            f"peak {self.peak_mib:.0f} MiB, with unread bytes {self.peak_with_unread_mib:.0f} MiB, "
            f"{self.peak_descriptors} descriptors"
        )

    def check(self, ram_mib: int, nofile: int) -> None:
        """Fail unless the process lived within its limits all the time."""
        assert descriptors(self.pid) > 0, f"the process has ended: {self}"
        assert self.peak_mib <= ram_mib, str(self)
        assert self.peak_with_unread_mib <= ram_mib, str(self)
        assert self.peak_descriptors <= nofile, str(self)
