"""Property test with random schedules of changes, retries, commits, lost writes and failovers.

In any order, at most one change is accepted per version, an accepted change is never rejected, a rejected one is never
accepted, and accepted changes are not lost.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import defaultdict

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.messages import ApiCall
from otterreach.runtime.configuration import ConfigurationRecord
from tests import virtual
from tests.controller.control_api_support import FakeControl, patch, put, settle

CHANGES = [
    put(0, 2, "a"),
    put(0, 2, "b"),
    put(0, 4, "c"),
    patch(2, 4, "d"),
    patch(2, 4, "e"),
    put(2, 6, "f"),
    patch(4, 6, "g"),
    patch(4, 8, "h"),
    patch(6, 8, "i"),
]
RESULTS = [json.loads(change.body)["gen"] for change in CHANGES]
STEPS = st.one_of(
    st.tuples(st.just("send"), st.integers(0, len(CHANGES) - 1)),
    st.tuples(st.sampled_from(["commit", "commit", "lost", "kept"]), st.just(0)),
)
CLEAR = (200, 400, 412)


class Schedule:
    """Runs the steps against the resource of the current primary."""

    def __init__(self) -> None:
        self.control = FakeControl(instant=False)
        self.resource = ConfigurationResource(self.control, self.control.published)
        self.answers: dict[int, list[int]] = defaultdict(list)
        self.tasks: list[asyncio.Task[None]] = []

    async def run_steps(self, steps: list[tuple[str, int]]) -> None:
        for what, number in steps:
            if what == "send":
                self._send(number)
            elif what == "commit":
                self.control.commit()
            else:
                self.control.depose()
                await settle()
                self.control.lead_again(keeping=what == "kept")
            await settle()
        self.control.commit()
        await asyncio.gather(*self.tasks)

    def known_versions(self) -> set[int]:
        """Return the versions that a change may be based on: those that were acknowledged."""
        return {0} | {RESULTS[n] for n, statuses in self.answers.items() if 200 in statuses}

    def _send(self, number: int) -> None:
        if int(CHANGES[number].match) in self.known_versions():
            self.tasks.append(asyncio.ensure_future(self._ask(number, CHANGES[number])))

    async def _ask(self, number: int, call: ApiCall) -> None:
        self.answers[number].append((await self.resource.handle(call)).status)

    async def send_all_again(self) -> None:
        for number, statuses in list(self.answers.items()):
            if 200 in statuses:
                self._send(number)
        self.control.commit()
        await asyncio.gather(*self.tasks)


class ScheduleTest(unittest.TestCase):
    @hypothesis_settings(max_examples=300, deadline=None)
    @given(st.lists(STEPS, max_size=40))
    def test_any_order(self, steps: list[tuple[str, int]]) -> None:
        async def scenario() -> None:
            schedule = Schedule()
            await schedule.run_steps(steps)
            accepted = self.check(schedule)
            await schedule.send_all_again()
            self.assertEqual(accepted, self.check(schedule))
            newest = max((RESULTS[number] for number in accepted), default=0)
            record = schedule.control.published.record(ConfigurationRecord)
            self.assertGreaterEqual(record.version if record else 0, newest)

        virtual.run(scenario)

    def check(self, schedule: Schedule) -> set[int]:
        """Return the changes that were accepted."""
        accepted = {number for number, statuses in schedule.answers.items() if 200 in statuses}
        bases = [CHANGES[number].match for number in accepted]
        self.assertEqual(len(bases), len(set(bases)), f"two on one version: {accepted}")
        for number, statuses in schedule.answers.items():
            clear = {status for status in statuses if status in CLEAR}
            self.assertLessEqual(len(clear), 1, f"change {number}: {statuses}")
        return accepted


if __name__ == "__main__":
    unittest.main()
