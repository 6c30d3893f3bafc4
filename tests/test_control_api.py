"""The calls of operators, trainers and servers (controller/api): which answer each call and each repeat gets, and when.

Replication is stood in for by `StagedControl`, whose writes reach all copies, or vanish, when a test says so.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable, Iterable
from typing import Any
from unittest import mock

from otterreach.controller import change_history
from otterreach.controller.api import configuration, router
from otterreach.controller.api.configuration import ConfigurationResource
from otterreach.controller.api.resource import Resource
from otterreach.controller.api.retirement import RetirementResource
from otterreach.controller.api.router import ApiRouter
from otterreach.controller.api.servers import ServerResource
from otterreach.controller.api.versions import VersionResource
from otterreach.controller.messages import Operate, Operated
from otterreach.controller.planner import Stores
from otterreach.controller.primary import is_private
from otterreach.controller.survival import Place, SurviveLimits
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.sidecar import http1
from tests import virtual

SMALL_RING = 16
ROUTE = {"name": "r", "host": "h.example", "prefix": "/p/", "kind": "idem", "timeoutMs": 1, "backend": "b"}


class StagedControl:
    """A primary whose writes wait until they are told to reach all copies, or that they don't."""

    def __init__(self, instant: bool = True) -> None:
        self.state, self.published, self.number = ReplicatedStore(), ReplicatedStore(), 1
        self.instant = instant
        self.is_primary, self.primary_address = True, ""
        self.endpoint = Endpoint()
        self._revision = 0
        self._waiting: list[asyncio.Future[bool]] = []

    def revise(self, changes: Iterable[tuple[str, bytes]]) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if not self.is_primary:
            future.set_result(False)
            return future
        for key, value in changes:
            self._revision += 1
            self.state.apply([Item(key, self._revision, value)])
        self._waiting.append(future)
        if self.instant:
            self.commit()
        return future

    def commit(self) -> None:
        """All writes are at all copies."""
        self.published.apply(list(self.state.items.values()))
        self._settle(True)

    def depose(self) -> None:
        """Another is primary; it is open what becomes of the writes under way."""
        self.is_primary = False
        self._settle(False)

    def _settle(self, done: bool) -> None:
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(done)

    async def confirm(self) -> bool:
        await asyncio.sleep(0)
        return self.is_primary

    async def committed(self) -> bool:
        if self._waiting:
            write = self._waiting[-1]
            await asyncio.wait([write])
            if not write.result():
                return False
        return await self.confirm()


class Endpoint:
    """Takes the place of runtime.rpc.Endpoint: the primary is asked through it."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}
        self.answer_after_s: float | None = None  # None: silence

    def on(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        if self.answer_after_s is None or self.answer_after_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return Failure(Code.TIMED_OUT, "no answer in time")
        await asyncio.sleep(self.answer_after_s)
        return Operated(200)


def put(base: int | str, gen: int, name: str = "r") -> Operate:
    whole = {"gen": gen, "routes": [ROUTE | {"name": name}], "backends": [{"name": "b"}]}
    return Operate("PUT", "/config", str(base), json.dumps(whole).encode())


def patch(base: int, gen: int, name: str = "x") -> Operate:
    upsert = {"routes": [ROUTE | {"name": name, "prefix": f"/{name}/"}]}
    return Operate("PATCH", "/config", str(base), json.dumps({"gen": gen, "upsert": upsert}).encode())


async def settle() -> None:
    """Let all that can run do so."""
    for _ in range(8):
        await asyncio.sleep(0)


def statuses(answers: Iterable[Operated]) -> list[int]:
    return sorted(answer.status for answer in answers)


class Case(unittest.TestCase):
    def play(self, scene: Callable[[], Awaitable[None]]) -> None:
        virtual.run(scene)

    async def expect(self, resource: Resource, call: Operate, status: int) -> Operated:
        answer = await resource.handle(call)
        self.assertEqual(status, answer.status, (call, answer))
        return answer


class ConfigurationTest(Case):
    def test_answers(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            resource = ConfigurationResource(control, control.published)
            await self.expect(resource, Operate("GET", "/config", "", b""), 404)
            await self.expect(resource, put(0, 3), 200)
            first = patch(3, 5)
            await self.expect(resource, first, 200)
            await self.expect(resource, put(5, 8, "z"), 200)
            rev = control.state.rev
            table: list[tuple[str, Operate, int]] = [
                ("the newest again", put(5, 8, "z"), 200),
                ("a PATCH again after others", first, 200),
                ("a PUT again after others", put(0, 3), 200),
                ("another on a version that had its change", put(3, 5), 412),
                ("the same body on another version", Operate("PATCH", "/config", "5", first.body), 412),
                ("the same body by another method", Operate("PUT", "/config", "3", first.body), 400),
                ("the number of the newest, other content", put(5, 8, "y"), 412),
                ("a version that never was", put(4, 9), 412),
                ("a version that is still to come", put(9, 12), 412),
                ("a number that is not higher", put(8, 8, "y"), 400),
                ("cut short", Operate("PUT", "/config", "8", put(8, 9).body[:-1]), 400),
                ("no If-Match", put("", 9), 400),
                ("an If-Match that is no number", put("x", 9), 400),
                ("a time-out of 0", Operate("PUT", "/config", "8", put(8, 9).body.replace(b": 1,", b": 0,")), 400),
                ("another method", Operate("POST", "/config", "8", put(8, 9).body), 405),
            ]
            for what, call, status in table:
                with self.subTest(what):
                    await self.expect(resource, call, status)
            self.assertEqual(rev, control.state.rev, "a repeat or a refusal has left a trace")
            read = await self.expect(resource, Operate("GET", "/config", "", b""), 200)
            self.assertEqual(json.loads(put(5, 8, "z").body), json.loads(read.body))

        self.play(scene)

    def test_sent_again_after_five_hundred_others(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            resource = ConfigurationResource(control, control.published)
            calls = [put(0, 1), *(patch(gen, gen + 1, f"n{gen % 7}") for gen in range(1, 500))]
            for call in calls:
                await self.expect(resource, call, 200)
            for call in (*calls[:3], calls[250], *calls[-3:]):
                await self.expect(resource, call, 200)
            await self.expect(resource, patch(250, 251, "other"), 412)

        self.play(scene)

    def test_eight_at_once_on_one_version(self) -> None:
        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            tasks = [asyncio.ensure_future(resource.handle(put(0, n + 1, f"op{n}"))) for n in range(8)]
            await settle()
            self.assertFalse(any(task.done() for task in tasks), "answered before all copies had it")
            control.commit()
            answers = await asyncio.gather(*tasks)
            self.assertEqual([200] + [412] * 7, statuses(answers))

        self.play(scene)

    def test_eight_at_once_are_left_open_when_the_write_is(self) -> None:
        """The seven would be refused because of a change that may never have been."""

        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            tasks = [asyncio.ensure_future(resource.handle(put(0, n + 1, f"op{n}"))) for n in range(8)]
            await settle()
            control.depose()
            self.assertEqual([503] * 8, statuses(await asyncio.gather(*tasks)))

        self.play(scene)

    def test_sent_again_while_it_is_being_written(self) -> None:
        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            tasks = [asyncio.ensure_future(resource.handle(put(0, 4))) for _ in range(3)]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            rev = control.state.rev
            control.commit()
            self.assertEqual([200] * 3, statuses(await asyncio.gather(*tasks)))
            self.assertEqual(rev, control.state.rev)

        self.play(scene)

    def test_a_caller_that_leaves_does_not_end_its_write(self) -> None:
        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            leaving = asyncio.ensure_future(resource.handle(put(0, 4)))
            await settle()
            again = asyncio.ensure_future(resource.handle(put(0, 4)))
            await settle()
            leaving.cancel()
            await settle()
            control.commit()
            self.assertEqual(200, (await again).status)

        self.play(scene)

    def test_too_many_at_once(self) -> None:
        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = ConfigurationResource(control, control.published)
            limit = configuration.MAX_CHANGES_UNDER_WAY
            tasks = [asyncio.ensure_future(resource.handle(put(0, n + 1))) for n in range(limit)]
            await settle()
            await self.expect(resource, put(0, 99), 503)
            control.commit()
            self.assertEqual([200] + [412] * (limit - 1), statuses(await asyncio.gather(*tasks)))
            await self.expect(resource, put(0, 1), 200)

        self.play(scene)

    def test_one_that_is_no_longer_primary_refuses_nothing(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            resource = ConfigurationResource(control, control.published)
            await self.expect(resource, put(0, 3), 200)
            control.depose()
            for call in (put(0, 3), put(0, 4), put(3, 2), put(3, 4), Operate("GET", "/config", "", b"")):
                await self.expect(resource, call, 503)

        self.play(scene)


class HistoryTest(Case):
    def test_the_ring(self) -> None:
        """The oldest make room; the keys stay the same; nothing is deleted; each change writes one small item."""

        async def scene() -> None:
            control = StagedControl()
            resource = ConfigurationResource(control, control.published)
            calls = [put(0, 1), *(patch(gen, gen + 1) for gen in range(1, 60))]
            for call in calls:
                await self.expect(resource, call, 200)
            state = control.state
            self.assertEqual(SMALL_RING, len(state.named("change")))
            self.assertFalse(any(item.gone for item in state.items.values()))
            self.assertLess(max(len(item.value) for key, item in state.items.items() if is_private(key)), 80)
            for call in calls[-SMALL_RING:]:
                await self.expect(resource, call, 200)
            for call in calls[:-SMALL_RING]:
                await self.expect(resource, call, 503)
            await self.expect(resource, patch(60 - SMALL_RING, 99), 412)

        with mock.patch.object(change_history, "CHANGES_REMEMBERED", SMALL_RING):
            self.play(scene)

    def test_room_for_a_day(self) -> None:
        self.assertGreater(change_history.CHANGES_REMEMBERED, 3 * 1300)

    def test_a_state_of_before_there_was_a_history(self) -> None:
        """What was accepted then is not known: no clear answer, and no refusal."""

        async def scene() -> None:
            control = StagedControl()
            control.revise([("config", put(4, 7).body), ("taken", b'["4f2a"]')])
            resource = ConfigurationResource(control, control.published)
            await self.expect(resource, put(2, 4), 503)
            await self.expect(resource, put(4, 7), 200)
            await self.expect(resource, put(7, 9), 200)
            self.assertIsNone(control.state.get("taken"))
            await self.expect(resource, put(2, 4), 503)
            await self.expect(resource, put(7, 8), 412)

        self.play(scene)


class VersionTest(Case):
    def test_answers(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            resource = VersionResource(control)

            def version(gen: Any) -> Operate:
                return Operate("POST", "/version-put", "", json.dumps({"model": "m", "gen": gen}).encode())

            for gen, status in ((2, 200), (2, 200), (3, 200), (2, 200), (None, 400)):
                await self.expect(resource, version(gen), status)
            self.assertEqual({"gen": 3}, control.state.get("version/m"))
            await self.expect(resource, Operate("POST", "/version-put", "", b"{"), 400)
            await self.expect(resource, Operate("GET", "/version-put", "", b""), 405)

        self.play(scene)

    def test_a_repeat_waits_for_the_first(self) -> None:
        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = VersionResource(control)
            call = Operate("POST", "/version-put", "", b'{"model":"m","gen":2}')
            tasks = [asyncio.ensure_future(resource.handle(call)) for _ in range(2)]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            control.depose()
            self.assertEqual([503, 503], statuses(await asyncio.gather(*tasks)))

        self.play(scene)


class RetirementTest(Case):
    def stage(self, count: int, instant: bool = True) -> tuple[StagedControl, RetirementResource, set[str]]:
        control = StagedControl(instant)
        living: set[str] = set()
        for n in range(count):
            self.member(control, f"s{n}", f"d{n}")
            living.add(f"s{n}#d{n}")
        control.commit()

        def stores() -> Stores:
            return Stores({name: Place("z", "r") for name in living})

        return control, RetirementResource(control, control.published, stores, SurviveLimits(1)), living

    def member(self, control: StagedControl, node: str, disk: str) -> None:
        control.revise([(f"member/{node}", json.dumps({"role": "store", "disk": disk}).encode())])

    def call(self, node: str, method: str = "POST") -> Operate:
        return Operate(method, f"/retire/{node}", "", b'{"overS":10}')

    def test_answers(self) -> None:
        async def scene() -> None:
            control, resource, _ = self.stage(4)
            partition = {"primary": "s0#d0", "backups": ["s1#d1"], "joining": []}
            control.revise([("part/0", json.dumps(partition).encode())])
            await self.expect(resource, self.call("unknown"), 404)
            await self.expect(resource, self.call("unknown", "GET"), 404)
            await self.expect(resource, self.call("s0"), 200)
            await self.expect(resource, self.call("s0"), 200)
            await self.expect(resource, self.call("s1"), 200)
            await self.expect(resource, self.call("s2"), 409)
            await self.expect(resource, self.call("s1"), 200)
            progress = await self.expect(resource, self.call("s0", "GET"), 200)
            self.assertEqual({"state": "serving"}, json.loads(progress.body))
            control.revise([("part/0", json.dumps(partition | {"primary": "s2#d2", "backups": ["s3#d3"]}).encode())])
            progress = await self.expect(resource, self.call("s0", "GET"), 200)
            self.assertEqual({"state": "done"}, json.loads(progress.body))

        self.play(scene)

    def test_another_disk_is_another_machine(self) -> None:
        async def scene() -> None:
            control, resource, living = self.stage(4)
            await self.expect(resource, self.call("s0"), 200)
            self.member(control, "s0", "new")
            living.add("s0#new")
            progress = await self.expect(resource, self.call("s0", "GET"), 200)
            self.assertEqual({"state": "serving"}, json.loads(progress.body))
            await self.expect(resource, self.call("s0"), 200)
            self.assertEqual({"disk": "new"}, control.state.get("retire/s0"))

        self.play(scene)

    def test_silence_is_no_reason_to_refuse(self) -> None:
        async def scene() -> None:
            _, resource, living = self.stage(3)
            living.discard("s1#d1")
            await self.expect(resource, self.call("s0"), 503)
            living.add("s1#d1")
            await self.expect(resource, self.call("s0"), 200)

        self.play(scene)

    def test_refused_only_because_of_what_lasts(self) -> None:
        """The second is refused only because of the first, which may vanish."""

        async def scene() -> None:
            control, resource, _ = self.stage(3, instant=False)
            tasks = [asyncio.ensure_future(resource.handle(self.call(node))) for node in ("s0", "s1", "s0")]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            control.depose()
            self.assertEqual([503] * 3, statuses(await asyncio.gather(*tasks)))

        self.play(scene)


def heartbeat(ident: str, calls: int, state: str = "up", gen: int = 1, address: str = "10.0.0.9:80") -> Operate:
    value = {
        "backend": "b",
        "addr": address,
        "az": "z",
        "cap": 4,
        "state": state,
        "warmLeftMs": 0,
        "models": [{"name": "m", "gen": gen, "loras": []}],
        "calls": calls,
    }
    return Operate("PUT", f"/servers/{ident}", "", json.dumps(value).encode())


def farewell(ident: str) -> Operate:
    return Operate("DELETE", f"/servers/{ident}", "", b"")


class ServerTest(Case):
    def scene(self, *calls: Operate) -> StagedControl:
        """Each call is acknowledged, in this order."""
        control = StagedControl()

        async def scene() -> None:
            resource = ServerResource(control)
            for call in calls:
                await self.expect(resource, call, 200)

        self.play(scene)
        return control

    def test_draining_is_for_good(self) -> None:
        control = self.scene(heartbeat("a", 1), heartbeat("a", 5, "draining"), heartbeat("a", 6), heartbeat("a", 3))
        self.assertEqual("draining", control.state.get("server/a")["state"])

    def test_late_heartbeats_do_not_bring_it_back(self) -> None:
        for calls in (
            (heartbeat("a", 1), farewell("a"), heartbeat("a", 2)),
            (heartbeat("a", 1), heartbeat("a", 2, "draining"), farewell("a"), heartbeat("a", 3, "draining")),
            (farewell("a"), heartbeat("a", 2)),  # none of its heartbeats had come
            (heartbeat("a", 1), farewell("a"), heartbeat("b", 1), heartbeat("a", 9), farewell("a")),
        ):
            self.assertIsNone(self.scene(*calls).state.get("server/a"))

    def test_a_late_one_changes_nothing(self) -> None:
        control = self.scene(heartbeat("a", 4, address="10.0.0.1:80"), heartbeat("a", 2))
        self.assertEqual("10.0.0.1:80", control.state.get("server/a")["addr"])

    def test_versions_only_rise(self) -> None:
        """A load was noted before the server told of it."""
        control = self.scene(heartbeat("a", 1, gen=3), heartbeat("a", 2, gen=2), heartbeat("a", 3, "draining", gen=1))
        server = control.state.get("server/a")
        self.assertEqual(([{"name": "m", "gen": 3}], "draining"), (server["models"], server["state"]))

    def test_the_next_at_an_address_takes_its_place(self) -> None:
        control = self.scene(heartbeat("a", 1), heartbeat("b", 1), heartbeat("a", 2))
        self.assertEqual(["b"], list(control.state.named("server")))

    def test_nothing_new_writes_nothing(self) -> None:
        once = self.scene(heartbeat("a", 1))
        often = self.scene(*(heartbeat("a", n) for n in range(1, 9)))
        self.assertEqual(once.state.rev, often.state.rev)

    def test_a_repeat_waits_for_the_first(self) -> None:
        async def scene() -> None:
            control = StagedControl(instant=False)
            resource = ServerResource(control)
            calls = [heartbeat("a", 1), heartbeat("a", 1), farewell("a"), farewell("a"), heartbeat("a", 2)]
            tasks = [asyncio.ensure_future(resource.handle(call)) for call in calls]
            await settle()
            self.assertFalse(any(task.done() for task in tasks))
            control.depose()
            self.assertEqual([503] * 5, statuses(await asyncio.gather(*tasks)))

        self.play(scene)

    def test_unreadable(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            for data in (b"", b"{}", b"[]", b'{"state":"up"}'):
                await self.expect(ServerResource(control), Operate("PUT", "/servers/a", "", data), 400)
            self.assertEqual(0, control.state.rev)

        self.play(scene)


class Follower:
    def __init__(self, store: ReplicatedStore) -> None:
        self.store, self.age = store, 0.1

    def age_s(self) -> float:
        return self.age


class RouterTest(Case):
    def stage(self, control: StagedControl) -> tuple[ApiRouter, Follower, list[str]]:
        settings: Any = type("Settings", (), {"survive_nodes": 1, "survive_zones": 0, "survive_regions": 0})
        follower, heard = Follower(control.published), list[str]()
        parts: Any = control, follower
        return ApiRouter(settings, parts[0], parts[1], lambda: None, heard.append), follower, heard

    def request(self, call: Operate) -> http1.Request:
        headers = {b"if-match": call.match.encode()}
        return http1.Request(call.method.encode(), call.path.encode(), headers, call.body, True)

    async def status(self, api: ApiRouter, call: Operate) -> int:
        return (await api.handle(self.request(call))).status

    def test_answered_within_the_callers_second(self) -> None:
        """Writes stand still: eight orders and a repeat get 503 in time; what was written counts all the same."""

        async def scene() -> None:
            control = StagedControl(instant=False)
            api, _, _ = self.stage(control)
            began = asyncio.get_running_loop().time()
            calls = [put(0, n + 1, f"op{n}") for n in range(8)]
            found = await asyncio.gather(*(self.status(api, call) for call in (*calls, calls[0])))
            self.assertEqual([503] * 9, found)
            self.assertLess(asyncio.get_running_loop().time() - began, 0.9)
            control.commit()
            self.assertEqual(200, await self.status(api, calls[0]))
            self.assertEqual(412, await self.status(api, calls[1]))

        self.play(scene)

    def test_passed_on(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            control.is_primary = False
            api, _, _ = self.stage(control)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertEqual(503, await self.status(api, put(0, 1)))
            self.assertEqual(began, loop.time(), "no primary is known: the answer comes at once")
            control.primary_address = "10.0.0.1:7000"
            self.assertEqual(503, await self.status(api, put(0, 1)))
            self.assertLess(loop.time() - began, 1.0)
            control.endpoint.answer_after_s = 0.3
            self.assertEqual(200, await self.status(api, put(0, 1)))
            refused = await control.endpoint.handlers[Operate](None, put(0, 1))
            self.assertEqual(Code.NOT_PRIMARY, refused.code)

        self.play(scene)

    def test_a_large_body_has_more_time(self) -> None:
        small, large = put(0, 1), Operate("PUT", "/config", "0", bytes(8_000_000))
        self.assertLess(router.answer_within_s(small) + router.FORWARD_EXTRA_S, 0.9)
        self.assertGreater(router.answer_within_s(large), 4.0)

    def test_heartbeats_are_acknowledged_only_from_a_fresh_copy(self) -> None:
        async def scene() -> None:
            control = StagedControl()
            api, follower, heard = self.stage(control)
            self.assertEqual(200, await self.status(api, heartbeat("a", 1)))
            control.is_primary = False  # from here on this is another controller, with a copy
            self.assertEqual(200, await self.status(api, heartbeat("a", 2)))
            self.assertEqual(503, await self.status(api, heartbeat("a", 3, "draining")))
            follower.age = router.COPY_AGE_S + 0.1
            self.assertEqual(503, await self.status(api, heartbeat("a", 4)))
            self.assertEqual(["a"] * 4, heard)

        self.play(scene)

    def test_unknown_paths(self) -> None:
        async def scene() -> None:
            api, _, _ = self.stage(StagedControl())
            self.assertEqual(404, await self.status(api, Operate("GET", "/what", "", b"")))
            self.assertEqual(404, (await api._decide(Operate("GET", "/what", "", b""))).status)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
