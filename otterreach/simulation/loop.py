"""An event loop on virtual time, which advances to the next timer as soon as nothing is ready to run.

Each callback belongs to a process; the callbacks of a frozen process are deferred, those of a dead one are dropped.
"""

from __future__ import annotations

import asyncio
import heapq
import inspect
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
MAX_CALLBACKS_PER_INSTANT = 200_000  # more callbacks at the same virtual time mean a busy loop


class StalledError(RuntimeError):
    """Nothing is ready and no timer is set, or virtual time does not advance."""


class Process:
    """A simulated process: all tasks started in one context, which can be frozen, thawed and killed together."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.frozen = False
        self.dead = False
        self.deferred: list[asyncio.Handle] = []
        # All unfinished tasks. Those of a dead process are kept until the run ends: garbage collection would run their
        # `finally` blocks in the middle of another process.
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.context: Context = copy_context()
        self.context.run(OWNER.set, self)

    def start(self, loop: VirtualLoop, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a coroutine as a task of this process."""
        return loop.create_task(work, context=self.context)

    def forget(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task."""
        self.tasks.pop(task, None)

    def kill(self) -> None:
        """Stop the process between two callbacks, for good."""
        self.dead = True
        self.deferred.clear()

    def freeze(self) -> None:
        """Suspend the process: its callbacks are deferred."""
        self.frozen = True

    def thaw(self, loop: VirtualLoop, due: list[asyncio.Handle] | None = None) -> None:
        """Resume the process, and run its deferred callbacks in the next iteration.

        :param due: the deferred callbacks in the order in which they are to run; by default, that in which they became
            due
        """
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
    """The event loop; start it with `run(coroutine)`. `after` is called after each iteration of the loop."""

    def __init__(self, start_s: float = 1000.0) -> None:
        super().__init__()
        self.now = start_s
        self.steps = 0  # number of callbacks run
        self.after: Callable[[], None] | None = None
        self.network: Any = None  # implements create_connection and create_server
        self.over = False
        self._clock_resolution = 1e-9
        self.set_task_factory(_make_task)
        self._callbacks_at_this_instant = 0

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now

    def ready(self, handle: asyncio.Handle) -> None:
        """Run a handle in the next iteration."""
        self._ready.append(handle)  # type: ignore[attr-defined]

    def call_as(self, process: Process, callback: Callable[..., Any], *args: Any) -> None:
        """Call `call_soon` in the context of a process; nothing is scheduled for a dead one."""
        if not process.dead:
            self.call_soon(callback, *args, context=process.context)

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> asyncio.Handle:  # type: ignore[override]
        """Schedule a callback as asyncio does; nothing is scheduled after the end of the run."""
        if self.over:  # the remaining tasks of dead processes are being collected
            return asyncio.Handle(callback, args, self, context)
        return super().call_soon(callback, *args, context=context)

    def call_at(self, when: float, callback: Any, *args: Any, context: Context | None = None) -> asyncio.TimerHandle:  # type: ignore[override]
        """Schedule a timer as asyncio does; nothing is scheduled after the end of the run."""
        if self.over:
            return asyncio.TimerHandle(when, callback, args, self, context)
        return super().call_at(when, callback, *args, context=context)

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        scheduled: Any = self._scheduled  # type: ignore[attr-defined]
        if not ready:
            self._advance_clock(scheduled)
        while scheduled and (scheduled[0]._cancelled or scheduled[0]._when <= self.now + 1e-9):
            timer = heapq.heappop(scheduled)
            timer._scheduled = False
            if not timer._cancelled:
                ready.append(timer)
        for _ in range(len(ready)):
            self._run_handle(ready.popleft())
        if self.after is not None:
            self.after()

    def _advance_clock(self, scheduled: Any) -> None:
        while scheduled and scheduled[0]._cancelled:
            heapq.heappop(scheduled)._scheduled = False
        if not scheduled:
            if self._stopping:  # type: ignore[attr-defined]
                return
            raise StalledError(f"no callback is ready and no timer is set at virtual time {self.now:.3f} s")
        if scheduled[0]._when > self.now:
            self.now = scheduled[0]._when
            self._callbacks_at_this_instant = 0

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
        self._callbacks_at_this_instant += 1
        if self._callbacks_at_this_instant > MAX_CALLBACKS_PER_INSTANT:
            raise StalledError(
                f"more than {MAX_CALLBACKS_PER_INSTANT} callbacks at virtual time {self.now:.3f} s, last: {handle!r}"
            )
        handle._run()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run the coroutine to its end, then drop what is left of all processes."""
        try:
            return self.run_until_complete(work)
        finally:
            self.over = True
            self.set_exception_handler(lambda loop, context: None)
            self._close_unstarted_coroutines()
            self.close()

    def _close_unstarted_coroutines(self) -> None:
        """Close coroutines whose tasks never ran; collecting them would otherwise warn that they were never awaited."""
        for task in asyncio.all_tasks(self):
            coroutine = task.get_coro()
            if inspect.iscoroutine(coroutine) and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
                coroutine.close()

    # Methods of the selector event loop that have no function here.

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
        """Raise NotImplementedError: threads do not run on virtual time."""
        raise NotImplementedError("run_in_executor is not supported on virtual time")
