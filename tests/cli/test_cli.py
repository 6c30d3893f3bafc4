"""The command line without a running system: exit codes, output and calls."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import yaml

from otterreach.cli import data, state
from otterreach.cli.__main__ import main
from otterreach.cli.caller import Caller, error_of
from otterreach.cli.codes import ExitCode
from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.messages import Accept, AppendItems, InstallSnapshot
from otterreach.jobstore.job_entries import end_entry, result_entry, submit_entry
from otterreach.jobstore.journal_records import RecordKind
from otterreach.jobstore.messages import JobResults, ReadJob
from otterreach.jobstore.partition_replica import PartitionReplica
from otterreach.jobstore.placement import partition_of
from otterreach.loadtest.machines import System
from otterreach.loadtest.plan import BOUNDS, Plan, configuration, load
from otterreach.runtime import codes
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.journal_format import pack
from otterreach.runtime.relay import Changes, Follow, FreshnessProbe
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.store import Item, ReplicatedStore
from otterreach.sidecar import http1
from tests import virtual


def default_plan() -> Plan:
    found = load("default")
    assert isinstance(found, Plan)
    return found


def response(status: int, body: bytes = b"", **headers: str) -> http1.Response:
    return http1.Response(status, {k.encode(): v.encode() for k, v in headers.items()}, body, False)


class CallerTest(unittest.TestCase):
    def call(self, answers: dict[str, list[Any]], within_s: float = 10.0) -> tuple[Any, list[str]]:
        asked: list[str] = []

        async def send(address: str, method: str, path: str, *_: Any) -> Any:
            asked.append(address + path)
            rows = answers[address]
            return rows.pop(0) if len(rows) > 1 else rows[0]

        async def body() -> Any:
            return await Caller(sorted(answers), Random(3), send).call("GET", "/config", within_s=within_s)

        return virtual.run(body), asked

    def test_moves_on_after_a_failure_a_5xx_and_a_429(self) -> None:
        answer, asked = self.call(
            {
                "a": [Failure(Code.TIMED_OUT, "")],
                "b": [response(503)],
                "c": [response(429)],
                "d": [response(412)],
            }
        )
        self.assertEqual(answer.status, 412)
        self.assertLessEqual(len(asked), 4)

    def test_follows_307_two_times(self) -> None:
        redirect = response(307, location="http://b:1/config")
        answer, asked = self.call({"a:1": [redirect], "b:1": [response(200)]})
        self.assertEqual(answer.status, 200)
        self.assertLessEqual(len(asked), 2)
        loop = response(307, location="http://a:1/config")
        answer, asked = self.call({"a:1": [loop]}, 0.0)
        self.assertEqual((answer.code, len(asked)), (Code.NOT_PRIMARY, 3))

    def test_unreachable_addresses_give_a_definite_failure(self) -> None:
        answer, asked = self.call({"a": [Failure(Code.UNREACHABLE, "no")]}, 2.0)
        self.assertEqual(answer.code, Code.UNREACHABLE)
        self.assertGreater(len(asked), 2)

    def test_a_5xx_leaves_the_outcome_unknown(self) -> None:
        answer, _ = self.call({"a": [response(503)]}, 1.0)
        self.assertEqual(answer.code, Code.TIMED_OUT)

    def test_no_address(self) -> None:
        self.assertEqual(self.call({})[0].code, Code.UNREACHABLE)

    def test_an_error_response_becomes_a_failure(self) -> None:
        failure = error_of(response(400, b'{"code":44,"reason":"routes.split"}'))
        self.assertEqual(failure, Failure(Code.CONFIG_NO_WEIGHT, "routes.split"))
        self.assertEqual(error_of(response(405)).code, Code.INTERNAL)


class Case(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.out, self.errors = "", ""

    def file(self, name: str, content: Any) -> str:
        path = self.folder / name
        path.write_bytes(content if isinstance(content, bytes) else json.dumps(content).encode())
        return str(path)

    def run_command(self, *arguments: str) -> int:
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            code = main(arguments)
        self.out, self.errors = out.getvalue(), errors.getvalue()
        return code


class FilesTest(Case):
    def test_check_settings(self) -> None:
        system = System(default_plan(), self.folder, "127.1", BOUNDS)
        raw = system.machines[0].settings(system.plan, system.seeds, BOUNDS)
        self.assertEqual(self.run_command("check-settings", self.file("good.yaml", yaml.safe_dump(raw).encode())), 0)
        self.assertIn("core-0", self.out)
        bad = {k: v for k, v in raw.items() if k != "portRange"}
        self.assertEqual(self.run_command("check-settings", self.file("bad.yaml", yaml.safe_dump(bad).encode())), 60)
        self.assertIn("portRange", self.errors)

    def test_check_config(self) -> None:
        config = configuration(default_plan(), 3)
        good = self.file("good.json", config)
        self.assertEqual(self.run_command("check-config", good), 0)
        newer = self.file("newer.json", config | {"gen": 9})
        self.assertEqual(self.run_command("check-config", good, "--current", newer), Code.CONFIG_OLD_NUMBER)
        self.assertEqual(self.run_command("check-config", self.file("bad.json", b"{")), Code.CONFIG_UNREADABLE)
        self.assertEqual(self.run_command("check-config", "/nowhere"), Code.CONFIG_UNREADABLE)
        config["routes"][0]["backend"] = "none"
        self.assertEqual(self.run_command("check-config", self.file("odd.json", config)), Code.CONFIG_UNKNOWN_SERVICE)

    def test_an_unknown_role_and_missing_arguments(self) -> None:
        self.assertEqual(self.run_command("run", "king"), Code.SETTINGS)
        self.assertEqual(self.run_command("put"), 1)


class JournalCase(Case):
    def control(self) -> list[tuple[int, bytes]]:
        who = ControllerInfo("a1", "core-0", "127.0.0.1:1", "z")
        items = [Item("config", 1 << 24 | 1, b'{"gen":4}'), Item("server/i", 1 << 24 | 2, b"")]
        return [
            (1, b"a1 1"),
            (3, encode(Accept([EpochConfiguration(1, "a1", [], [who])]))),
            (4, encode(AppendItems(1, items))),
            (5, encode(InstallSnapshot(2, "a1", [Item("config", 2 << 24 | 1, b'{"gen":6}')]))),
            (2, b"3"),
        ]

    def packed(self, records: list[tuple[int, bytes]]) -> bytes:
        found = b""
        for kind, payload in records:
            found += pack(kind, payload, len(found))
        return found

    def jobs(self) -> bytes:
        replica = PartitionReplica(partition_of("job1"), self, lambda: 0.0)
        self.records: list[tuple[int, bytes]] = [(RecordKind.DISK, b"d1")]
        replica.promise(4)
        replica.start_empty()
        body = {"step": 1, "reqs": [{"id": "x", "path": "/p"}, {"id": "y", "path": "/p"}]}
        for entry in (
            submit_entry("job1", "h", "r", json.dumps(body).encode()),
            result_entry("job1", "x", b"{}"),
            end_entry("job1"),
        ):
            replica.append(entry)
        return self.packed(self.records)

    def append(self, kind: int, payload: bytes) -> None:
        """Record an entry, in place of the replica's journal."""
        self.records.append((kind, payload))


class JournalTest(JournalCase):
    def test_a_valid_journal(self) -> None:
        name = self.file("control.journal", self.packed(self.control()))
        self.assertEqual(self.run_command("verify", name), 0)
        self.assertIn("5 records", self.out)

    def test_a_torn_journal(self) -> None:
        name = self.file("control.journal", self.packed(self.control())[:-1])
        self.assertEqual(self.run_command("verify", name), ExitCode.DATA_TORN)
        self.assertIn("torn end", self.errors)

    def test_damaged_at_each_byte_of_a_record(self) -> None:
        valid = self.packed([*self.control(), (2, b"4")])
        begin = next(e.offset for e in data.walk(valid) if e.kind == 4)
        for at in range(begin, begin + 40):
            broken = bytearray(valid)
            broken[at] ^= 0x41
            verdict = data.verify(Path(self.file("control.journal", bytes(broken))))
            self.assertEqual(verdict.code, ExitCode.DATA_DAMAGED, at)
            self.assertEqual(verdict.records, 2)

    def test_missing(self) -> None:
        self.assertEqual(self.run_command("verify", "/nowhere"), ExitCode.DATA_MISSING)
        self.assertEqual(self.run_command("read-data", "/nowhere"), ExitCode.DATA_MISSING)

    def test_read_a_journal_of_a_controller(self) -> None:
        self.assertEqual(self.run_command("read-data", self.file("control.journal", self.packed(self.control()))), 0)
        self.assertIn("kind=epoch", self.out)
        self.assertIn("witnesses=core-0", self.out)
        self.assertIn("items=config@1.1,server/i@1.2-", self.out)
        self.assertIn("kind=state", self.out)

    def test_the_newest_value_of_an_item(self) -> None:
        name = self.file("odd-name", self.packed(self.control()))
        self.assertEqual(self.run_command("read-data", name, "--item", "config"), 0)
        self.assertEqual(json.loads(self.out), {"gen": 6})
        self.assertEqual(self.run_command("read-data", name, "--item", "server/i"), ExitCode.NOT_THERE)

    def test_read_a_journal_of_a_job_store_node(self) -> None:
        name = self.file("jobs.journal", self.jobs())
        self.assertEqual(self.run_command("read-data", name), 0)
        for part in ("kind=disk", "submit=job1", "result=job1", "end=job1", f"part={partition_of('job1')}"):
            self.assertIn(part, self.out)
        self.assertEqual(self.run_command("jobs", "--data", name), 0)
        self.assertIn("ended  1 of 2 listed", self.out)

    def test_a_file_is_known_by_its_first_record(self) -> None:
        self.assertEqual(data.kind_of_file(Path("x"), self.packed(self.control())), data.CONTROL)
        self.assertEqual(data.kind_of_file(Path("x"), self.jobs()), data.JOBS)

    def test_an_unreadable_record_is_shown_as_such(self) -> None:
        entry = data.Entry(0, 3, b"nothing", 0)
        self.assertIn("unreadable=", data.record_line(data.CONTROL, entry))


class ConfigCommandsTest(Case):
    def answering(self, *answers: Any) -> Any:
        self.calls: list[tuple[Any, ...]] = []
        rows = list(answers)

        async def call(
            caller: Caller, method: str, path: str, body: bytes = b"", headers: Any = None, within_s: float = 0
        ) -> Any:
            self.calls.append((method, path, headers.get(b"If-Match") if headers else None, body))
            return rows.pop(0)

        return mock.patch.object(Caller, "call", call)

    def test_get(self) -> None:
        with self.answering(response(200, b'{"gen":5}')):
            self.assertEqual(self.run_command("get", "--ctl", "a:1"), 0)
        self.assertEqual(json.loads(self.out), {"gen": 5})
        with self.answering(response(404)):
            self.assertEqual(self.run_command("get", "--ctl", "a:1"), ExitCode.NOT_THERE)
        with self.answering(Failure(Code.UNREACHABLE, "no")):
            self.assertEqual(self.run_command("get", "--ctl", "a:1"), 10)

    def test_put_builds_on_what_is_in_force(self) -> None:
        file = self.file("new.json", {"gen": 6})
        with self.answering(response(200, b'{"gen":5}'), response(200)):
            self.assertEqual(self.run_command("put", file, "--ctl", "a:1"), 0)
        self.assertEqual(self.calls[1], ("PUT", "/config", b"5", b'{"gen": 6}'))
        with self.answering(response(404), response(200)):
            self.assertEqual(self.run_command("put", file, "--ctl", "a:1"), 0)
        self.assertEqual(self.calls[1][2], b"0")

    def test_patch_and_a_refusal(self) -> None:
        refusal = response(412, b'{"code":47,"reason":"If-Match"}')
        with self.answering(refusal):
            code = self.run_command("patch", self.file("p.json", {"gen": 6}), "--match", "4", "--ctl", "a:1")
        self.assertEqual((code, self.calls[0][0]), (Code.CONFIG_STALE_MATCH, "PATCH"))
        self.assertIn("config_stale_match (47)", self.errors)

    def test_diff(self) -> None:
        with self.answering(response(200, b'{"gen":5,"caps":{}}')):
            self.assertEqual(self.run_command("diff", self.file("a", {"caps": {}, "gen": 5}), "--ctl", "a:1"), 0)
        with self.answering(response(200, b'{"gen":5}')):
            self.assertEqual(self.run_command("diff", self.file("b", {"gen": 6}), "--ctl", "a:1"), ExitCode.DIFFERENT)
        self.assertIn('+ "gen": 6', self.out)

    def test_retire_until_done(self) -> None:
        serving, done = response(200, b'{"state":"serving"}'), response(200, b'{"state":"done"}')
        with self.answering(response(200), serving, Failure(Code.TIMED_OUT, "no"), done), mock.patch("time.sleep"):
            self.assertEqual(self.run_command("retire", "store-0", "--watch", "--ctl", "a:1"), 0)
        self.assertEqual(self.out.splitlines(), ["store-0: serving", "store-0: done"])
        self.assertEqual([c[0] for c in self.calls], ["POST", "GET", "GET", "GET"])

    def test_retire_refused(self) -> None:
        with self.answering(response(409, b'{"code":51,"reason":"1 others"}')):
            self.assertEqual(self.run_command("retire", "store-0", "--ctl", "a:1"), Code.TOO_FEW_LEFT)
        with self.answering(response(404)):
            self.assertEqual(self.run_command("retire", "store-0", "--look", "--ctl", "a:1"), Code.UNKNOWN_NODE)

    def test_no_addresses(self) -> None:
        with mock.patch.dict("os.environ", {}, clear=True):
            self.assertEqual(self.run_command("get"), Code.SETTINGS)
        self.assertEqual(self.run_command("owners", "--settings", "/nowhere"), Code.SETTINGS)


VALUES: dict[str, Any] = {
    "core": {"registrars": ["c:1"], "primary": "c:1", "number": 3},
    "config": {"gen": 8},
    "version/m": {"gen": 4},
    "server/i-1": {
        "backend": "b",
        "addr": "d:1",
        "az": "z",
        "cap": 4,
        "state": "up",
        "silent": True,
        "models": [{"name": "m", "gen": 4}],
    },
    "part/0": {"epoch": 2, "primary": "s1#x", "backups": ["s2#y"], "joining": []},
    "duty/i-1": {"holder": "front-0", "wait_ms": 0},
    "retire/s1": {"over_s": 1},
}


class StateTest(unittest.TestCase):
    """Commands on the state, against an endpoint on a real connection that answers as a controller."""

    def items(self, address: str) -> list[Item]:
        member = {"role": "store", "address": address, "zone": "z", "disk": "x"}
        part = f"part/{partition_of('job1')}"
        owned = {"epoch": 2, "primary": "s1#x", "backups": [], "joining": []}
        values = {**VALUES, "member/s1": member, part: owned}
        return [Item(key, n + 1, json.dumps(value).encode()) for n, (key, value) in enumerate(values.items())]

    def against(self, work: Any) -> Any:
        self.asked: list[int] = []

        async def body() -> Any:
            endpoint = Endpoint()
            port = await endpoint.listen("127.0.0.1", 0)
            address = f"127.0.0.1:{port}"

            async def follow(link: Link, ask: Follow) -> Changes:
                updates = [Item("config", 99, b'{"gen":9}'), Item("part/9", 98, b"")]
                asyncio.get_running_loop().call_soon(link.send, Changes(0, 99, updates, 0))
                return Changes(0, 1, self.items(address), 0)

            async def read(link: Link, ask: ReadJob) -> JobResults | Failure:
                if ask.job != "job1":
                    return Failure(Code.UNKNOWN_JOB, ask.job)
                return JobResults(5, min(3, ask.offset + 2), b"")

            async def answer_probe(link: Link, ask: FreshnessProbe) -> None:
                if not self.asked:
                    self.asked.append(ask.sent_ms)
                    link.send(Changes(0, 99, [], 0))

            endpoint.on(Follow, follow)
            endpoint.on(FreshnessProbe, answer_probe)
            endpoint.on(ReadJob, read)
            try:
                return await work(address)
            finally:
                await endpoint.close()

        return asyncio.run(body())

    def test_tables(self) -> None:
        store = self.against(lambda address: state.read(["127.0.0.1:1", address]))
        assert isinstance(store, ReplicatedStore)
        self.assertRegex(state.columns(state.servers(store)), r"i-1 +b +d:1 +z +4 +up silent +m=4 +front-0")
        self.assertRegex(state.columns(state.members(store)), r"s1 .* yes")
        self.assertRegex(state.columns(state.owners(store)), r"0 +2 +s1#x +s2#y")
        self.assertRegex(state.columns(state.epochs(store)), r"configuration +8")

    def test_no_controller_answers(self) -> None:
        found = asyncio.run(state.read(["127.0.0.1:1"]))
        assert isinstance(found, Failure)
        self.assertEqual(found.code, Code.UNREACHABLE)

    def test_a_batch_job_is_read_from_its_owner(self) -> None:
        row = self.against(lambda address: state.job([address], "job1"))
        self.assertEqual(row, ("job1", str(partition_of("job1")), "s1", "3", "5"))

    def test_watch_shows_changes_and_ends_when_the_controller_stops_answering(self) -> None:
        seen: list[str] = []
        with mock.patch.object(state, "CALL_TIMEOUT_S", 0.2), mock.patch.object(state, "PROBE_INTERVAL_S", 0.0):
            ended = self.against(lambda address: state.watch([address], "", lambda i: seen.append(state.item_line(i))))
        self.assertEqual(ended.code, Code.TIMED_OUT)
        self.assertEqual(seen, ['0.99 config {"gen": 9}', "0.98 part/9 gone"])


class CodesTest(unittest.TestCase):
    def test_each_code_is_unique(self) -> None:
        used = {code.value for code in codes.Code} | {1}
        self.assertFalse(used & {code.value for code in ExitCode})
        self.assertLess(max(ExitCode), 126)  # 126 and above are reserved by shells
