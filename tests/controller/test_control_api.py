"""Tests of PUT, PATCH and GET /config (controller/api/configuration.py): responses to calls and their retries."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from otterreach.controller import change_history
from otterreach.controller.api import configuration
from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.messages import ApiCall
from otterreach.controller.publisher import is_private
from otterreach.runtime.records import AcceptedChange
from tests.controller.control_api_support import Case, FakeControl, patch, put, settle, statuses

SMALL_RING = 16


class ConfigurationTest(Case):
    def test_answers(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            resource = ConfigurationResource(control, control.published)
            await self.expect(resource, ApiCall("GET", "/config", "", b""), 404)
            await self.expect(resource, put(0, 3), 200)
            first = patch(3, 5)
            await self.expect(resource, first, 200)
            await self.expect(resource, put(5, 8, "z"), 200)
            revision = control.state.revision
            table: list[tuple[str, ApiCall, int]] = [
                ("the newest again", put(5, 8, "z"), 200),
                ("a PATCH again after others", first, 200),
                ("a PUT again after others", put(0, 3), 200),
                ("another on a version that had its change", put(3, 5), 412),
                ("the same body on another version", ApiCall("PATCH", "/config", "5", first.body), 412),
                ("the same body by another method", ApiCall("PUT", "/config", "3", first.body), 400),
                ("the number of the newest, other content", put(5, 8, "y"), 412),
                ("a version that never was", put(4, 9), 412),
                ("a version that is still to come", put(9, 12), 412),
                ("a number that is not higher", put(8, 8, "y"), 400),
                ("cut short", ApiCall("PUT", "/config", "8", put(8, 9).body[:-1]), 400),
                ("no If-Match", put("", 9), 400),
                ("an If-Match that is no number", put("x", 9), 400),
                ("a time-out of 0", ApiCall("PUT", "/config", "8", put(8, 9).body.replace(b": 1,", b": 0,")), 400),
                ("another method", ApiCall("POST", "/config", "8", put(8, 9).body), 405),
            ]
            for what, call, status in table:
                with self.subTest(what):
                    await self.expect(resource, call, status)
            self.assertEqual(revision, control.state.revision, "a repeat or a refusal has left a trace")
            read = await self.expect(resource, ApiCall("GET", "/config", "", b""), 200)
            self.assertEqual(json.loads(put(5, 8, "z").body), json.loads(read.body))

        self.run_scenario(scenario)

    def test_sent_again_after_five_hundred_others(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            resource = ConfigurationResource(control, control.published)
            calls = [put(0, 1), *(patch(gen, gen + 1, f"n{gen % 7}") for gen in range(1, 500))]
            for call in calls:
                await self.expect(resource, call, 200)
            for call in (*calls[:3], calls[250], *calls[-3:]):
                await self.expect(resource, call, 200)
            await self.expect(resource, patch(250, 251, "other"), 412)

        self.run_scenario(scenario)

    def test_eight_at_once_on_one_version(self) -> None:
        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            tasks = [asyncio.ensure_future(resource.handle(put(0, n + 1, f"op{n}"))) for n in range(8)]
            await settle()
            self.assertFalse(any(task.done() for task in tasks), "answered before all copies had it")
            control.commit()
            answers = await asyncio.gather(*tasks)
            self.assertEqual([200] + [412] * 7, statuses(answers))

        self.run_scenario(scenario)

    def test_eight_at_once_are_left_open_when_the_write_is(self) -> None:
        """Seven changes must not be rejected because of one that may never be committed."""

        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            tasks = [asyncio.ensure_future(resource.handle(put(0, n + 1, f"op{n}"))) for n in range(8)]
            await settle()
            control.depose()
            self.assertEqual([503] * 8, statuses(await asyncio.gather(*tasks)))

        self.run_scenario(scenario)

    def test_sent_again_while_it_is_being_written(self) -> None:
        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            tasks = [asyncio.ensure_future(resource.handle(put(0, 4))) for _ in range(3)]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            revision = control.state.revision
            control.commit()
            self.assertEqual([200] * 3, statuses(await asyncio.gather(*tasks)))
            self.assertEqual(revision, control.state.revision)

        self.run_scenario(scenario)

    def test_a_caller_that_leaves_does_not_end_its_write(self) -> None:
        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            leaving = asyncio.ensure_future(resource.handle(put(0, 4)))
            await settle()
            again = asyncio.ensure_future(resource.handle(put(0, 4)))
            await settle()
            leaving.cancel()
            await settle()
            control.commit()
            self.assertEqual(200, (await again).status)

        self.run_scenario(scenario)

    def test_too_many_at_once(self) -> None:
        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            limit = configuration.MAX_CHANGES_IN_PROGRESS
            tasks = [asyncio.ensure_future(resource.handle(put(0, n + 1))) for n in range(limit)]
            await settle()
            await self.expect(resource, put(0, 99), 503)
            control.commit()
            self.assertEqual([200] + [412] * (limit - 1), statuses(await asyncio.gather(*tasks)))
            await self.expect(resource, put(0, 1), 200)

        self.run_scenario(scenario)

    def test_one_that_is_no_longer_primary_refuses_nothing(self) -> None:
        async def scenario() -> None:
            control = FakeControl()
            resource = ConfigurationResource(control, control.published)
            await self.expect(resource, put(0, 3), 200)
            control.depose()
            for call in (put(0, 3), put(0, 4), put(3, 2), put(3, 4), ApiCall("GET", "/config", "", b"")):
                await self.expect(resource, call, 503)

        self.run_scenario(scenario)


class HistoryTest(Case):
    def test_the_ring(self) -> None:
        """The history is a ring: each change writes one small item over the oldest one, and no key is deleted."""

        async def scenario() -> None:
            control = FakeControl()
            resource = ConfigurationResource(control, control.published)
            calls = [put(0, 1), *(patch(gen, gen + 1) for gen in range(1, 60))]
            for call in calls:
                await self.expect(resource, call, 200)
            state = control.state
            self.assertEqual(SMALL_RING, len(state.records(AcceptedChange)))
            self.assertFalse(any(item.is_tombstone for item in state.items.values()))
            self.assertLess(max(len(item.value) for item in state.items.values() if is_private(item)), 80)
            for call in calls[-SMALL_RING:]:
                await self.expect(resource, call, 200)
            for call in calls[:-SMALL_RING]:
                await self.expect(resource, call, 503)
            await self.expect(resource, patch(60 - SMALL_RING, 99), 412)

        with mock.patch.object(change_history, "RING_SLOTS", SMALL_RING):
            self.run_scenario(scenario)

    def test_kept_up_with_the_state(self) -> None:
        """A history that is updated with each change equals one that is read from the state, also after wrap-around."""

        async def scenario() -> None:
            control = FakeControl()
            first = ConfigurationResource(control, control.published)
            calls = [put(0, 1), *(patch(gen, gen + 1) for gen in range(1, 40))]
            for call in calls:
                await self.expect(first, call, 200)
                later = ConfigurationResource(control, control.published)
                for sent in calls:
                    known, read = await first.handle(sent), await later.handle(sent)
                    self.assertEqual(known.status, read.status, sent)
                    if sent is call:
                        break

        with mock.patch.object(change_history, "RING_SLOTS", SMALL_RING):
            self.run_scenario(scenario)

    def test_another_state_is_read_anew(self) -> None:
        """The history is rebuilt after a snapshot of another primary has replaced the whole state."""

        async def scenario() -> None:
            control = FakeControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            lost = asyncio.ensure_future(resource.handle(put(0, 3, "lost")))
            await settle()
            control.depose()
            control.lead_again(keeping=False)
            control.instant = True
            self.assertEqual(503, (await lost).status)
            await self.expect(resource, put(0, 4, "other"), 200)
            await self.expect(resource, put(0, 3, "lost"), 412)
            await self.expect(resource, put(0, 4, "other"), 200)

        self.run_scenario(scenario)

    def test_the_history_covers_the_changes_of_a_day(self) -> None:
        self.assertGreater(change_history.RING_SLOTS, 3 * 1300)

    def test_a_state_of_before_there_was_a_history(self) -> None:
        """Which changes were accepted before is unknown, so they get neither a definite answer nor a rejection."""

        async def scenario() -> None:
            control = FakeControl()
            control.propose([("config", put(4, 7).body), ("taken", b'["4f2a"]')])
            resource = ConfigurationResource(control, control.published)
            await self.expect(resource, put(2, 4), 503)
            await self.expect(resource, put(4, 7), 200)
            await self.expect(resource, put(7, 9), 200)
            self.assertTrue(control.state.items["taken"].is_tombstone)
            await self.expect(resource, put(2, 4), 503)
            await self.expect(resource, put(7, 8), 412)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
