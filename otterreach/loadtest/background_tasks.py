"""Tasks that run beside a test until it ends; an error in one of them is a fault of the test."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine


class BackgroundTasks:
    """Keeps references to running tasks and reports their errors."""

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        """:param on_error: called with the exception of a task that failed"""
        self._on_error = on_error
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Start a task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def wait(self) -> None:
        """Wait until no task is running, including those started meanwhile."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self._on_error(error)
