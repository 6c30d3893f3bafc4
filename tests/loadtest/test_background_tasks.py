"""Background tasks of a test: errors are reported, and all of them end."""

from __future__ import annotations

import asyncio

from otterreach.loadtest.background_tasks import BackgroundTasks


def test_an_error_is_reported_once_and_a_cancellation_is_not() -> None:
    errors: list[BaseException] = []

    async def fail() -> None:
        raise ValueError

    async def main() -> None:
        tasks = BackgroundTasks(errors.append)
        tasks.start(fail())
        sleeping = tasks.start(asyncio.sleep(60))
        await asyncio.sleep(0)
        tasks.cancel()
        await tasks.wait()
        assert sleeping.cancelled()

    asyncio.run(main())
    assert [type(error) for error in errors] == [ValueError]


def test_wait_includes_tasks_started_meanwhile() -> None:
    ended: list[str] = []

    async def main() -> None:
        tasks = BackgroundTasks(lambda error: None)

        async def second() -> None:
            await asyncio.sleep(0.01)
            ended.append("second")

        async def first() -> None:
            tasks.start(second())
            ended.append("first")

        tasks.start(first())
        await tasks.wait()

    asyncio.run(main())
    assert ended == ["first", "second"]
