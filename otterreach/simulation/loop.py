"""An event loop on virtual time: nothing waits, time jumps to the next timer.

Callbacks belong to processes, which may be frozen (their callbacks are held and run later) or dead (they are dropped).
"""

from __future__ import annotations

import asyncio
import heapq
import inspect
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
STEPS_IN_ONE_INSTANT = 200_000  # more callbacks without time going on: something spins


class StalledError(RuntimeError):
    """Nothing is left to run and no timer is set, or time does not go on."""


class Process:
    """Whatever runs in one context: `start` a coroutine as this process, freeze it, kill it."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.frozen = False
        self.dead = False
        self.deferred: list[asyncio.Handle] = []
        # All tasks that are not done. A dead process' are kept to the end of the run: collected, they would run their
        # `finally` blocks on somebody else's time.
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.context: Context = copy_context()
        self.context.run(OWNER.set, self)

    def start(self, loop: VirtualLoop, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task of this process."""
        return loop.create_task(work, context=self.context)

    def forget(self, task: asyncio.Task[Any]) -> None:
        """A task is done."""
        self.tasks.pop(task, None)

    def kill(self) -> None:
        """It stops between two callbacks and never runs again."""
        self.dead = True
        self.deferred.clear()

    def freeze(self) -> None:
        """What becomes due waits."""
        self.frozen = True

    def thaw(self, loop: VirtualLoop, due: list[asyncio.Handle] | None = None) -> None:
        """What has become due meanwhile runs now: `due`, or all in the order in which it became due."""
        self.frozen = False
        deferred = self.deferred
        self.deferred = []
        for handle in deferred if due is None else due:
            loop.ready(handle)


OWNER: ContextVar[Process | None] = ContextVar("owner", default=None)


def _make_task(loop: asyncio.AbstractEventLoop, work: Any, context: Context | None = None) -> asyncio.Task[Any]:
    task = asyncio.Task(work, loop=loop, context=context)
    owner = context.get(OWNER) if context is not None else OWNER.get()
    if owner is not None:
        owner.tasks[task] = None
        task.add_done_callback(owner.forget)
    return task


class VirtualLoop(asyncio.BaseEventLoop):
    """Run with `run(coroutine)`. `after` is called behind each instant in which something ran."""

    def __init__(self, start_s: float = 1000.0) -> None:
        super().__init__()
        self.now = start_s
        self.steps = 0  # callbacks run
        self.after: Callable[[], None] | None = None
        self.network: Any = None  # what create_connection and create_server are asked of
        self.over = False
        self._clock_resolution = 1e-9
        self.set_task_factory(_make_task)
        self._at_this_instant = 0

    def time(self) -> float:
        """Virtual seconds."""
        return self.now

    def ready(self, handle: asyncio.Handle) -> None:
        """Run a handle in the next turn."""
        self._ready.append(handle)  # type: ignore[attr-defined]

    def call_as(self, process: Process, callback: Callable[..., Any], *args: Any) -> None:
        """As `call_soon`, on behalf of a process."""
        if not process.dead:
            self.call_soon(callback, *args, context=process.context)

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> asyncio.Handle:  # type: ignore[override]
        """As asyncio's; after the end of the run nothing is scheduled."""
        if self.over:  # leftovers of dead processes are being collected
            return asyncio.Handle(callback, args, self, context)
        return super().call_soon(callback, *args, context=context)

    def call_at(self, when: float, callback: Any, *args: Any, context: Context | None = None) -> asyncio.TimerHandle:  # type: ignore[override]
        """As asyncio's; after the end of the run nothing is scheduled."""
        if self.over:
            return asyncio.TimerHandle(when, callback, args, self, context)
        return super().call_at(when, callback, *args, context=context)

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        if not ready:
            self._jump(scheduled)
        while scheduled and (scheduled[0]._cancelled or scheduled[0]._when <= self.now + 1e-9):
            timer = heapq.heappop(scheduled)
            timer._scheduled = False
            if not timer._cancelled:
                ready.append(timer)
        for _ in range(len(ready)):
            self._run_handle(ready.popleft())
        if self.after is not None:
            self.after()

    def _jump(self, scheduled: Any) -> None:
        while scheduled and scheduled[0]._cancelled:
            heapq.heappop(scheduled)._scheduled = False
        if not scheduled:
            if self._stopping:  # type: ignore[attr-defined]
                return
            raise StalledError(f"nothing to run at {self.now:.3f}")
        if scheduled[0]._when > self.now:
            self.now = scheduled[0]._when
            self._at_this_instant = 0

    def _run_handle(self, handle: Any) -> None:
        if handle._cancelled:
            return
        owner = handle._context.get(OWNER)
        if owner is not None and owner.dead:
            return
        if owner is not None and owner.frozen:
            owner.deferred.append(handle)
            return
        self.steps += 1
        self._at_this_instant += 1
        if self._at_this_instant > STEPS_IN_ONE_INSTANT:
            raise StalledError(f"time stands still at {self.now:.3f}: {handle!r}")
        handle._run()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """To the end of the coroutine; then what is left of all processes is dropped."""
        try:
            return self.run_until_complete(work)
        finally:
            self.over = True
            self.set_exception_handler(lambda loop, context: None)
            self._close_unstarted_coroutines()
            self.close()

    def _close_unstarted_coroutines(self) -> None:
        """A task that never got its first turn would otherwise warn, when it is collected, that nobody awaited it."""
        for task in asyncio.all_tasks(self):
            coroutine = task.get_coro()
            if inspect.iscoroutine(coroutine) and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
                coroutine.close()

    # What the selector loop has and this one does without.

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _timer_handle_cancelled(self, handle: Any) -> None:
        pass

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        """Connect over the virtual network."""
        return await self.network.connect(OWNER.get(), protocol_factory, host, port)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:
        """Listen on the virtual network."""
        return self.network.listen(OWNER.get(), protocol_factory, host, port)

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        """There are no threads on virtual time."""
        raise NotImplementedError("threads have no place on virtual time")
