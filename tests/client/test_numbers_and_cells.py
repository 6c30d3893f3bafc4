"""Numbers and cells: which calls are retried, with which values, for how long, and what is returned or raised."""

from __future__ import annotations

from itertools import pairwise

import pytest

from otterreach.client import (
    ABSENT_REVISION,
    Cell,
    CoordinationClient,
    OutcomeUnknownError,
    RequestRejectedError,
    RevisionConflictError,
    UnavailableError,
)
from tests.client.fake_service import ANSWER_LOST, SILENT, FakeService, Fault, play


def test_numbers_rise_through_lost_answers() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        first = await client.numbers.next("n1")
        service.faults += [ANSWER_LOST, Fault(status=503)]
        assert await client.numbers.next("n1") == first + 2

    play(body)


def test_a_put_is_repeated_with_the_same_value_and_gets_its_first_revision() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults += [ANSWER_LOST, Fault(lost_status=504)]
        assert await client.cells.put("g1.a", "v1", ABSENT_REVISION) == 1
        puts = [call for call in service.calls if call.method == "PUT"]
        assert [put.document for put in puts] == [{"value": "v1", "expect": 0}] * 3
        assert len({put.address for put in puts}) == 3
        assert service.revisions["g1."] == 1

    play(body)


def test_a_call_is_not_retried_after_a_conclusive_answer() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        await client.cells.put("g1.a", "v1", ABSENT_REVISION)
        with pytest.raises(RevisionConflictError) as conflict:
            await client.cells.put("g1.a", "v2", ABSENT_REVISION)
        assert (conflict.value.expected, conflict.value.actual) == (0, 1)
        assert len(service.calls) == 2

    play(body)


def test_a_rejected_call_raises_the_reason() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults.append(Fault(status=400))
        with pytest.raises(RequestRejectedError, match="a fault") as rejected:
            await client.cells.put("g1.a", "v1", -1)
        assert rejected.value.status == 400
        assert len(service.calls) == 1

    play(body)


def test_rejections_alone_raise_unavailable() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults.extend([Fault(status=503), Fault(status=429)] * 50)
        with pytest.raises(UnavailableError):
            await client.cells.put("g1.a", "v1", ABSENT_REVISION, within_s=3.0)
        assert service.cells == {}

    play(body)


def test_one_time_out_among_rejections_leaves_the_outcome_unknown() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults.append(ANSWER_LOST)
        service.faults.extend([Fault(status=503)] * 50)
        with pytest.raises(OutcomeUnknownError):
            await client.cells.put("g1.a", "v1", ABSENT_REVISION, within_s=3.0)
        assert service.cells["g1.a"] == ("v1", 1)

    play(body)


def test_the_pause_between_attempts_grows() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults.extend([Fault(status=503)] * 50)
        with pytest.raises(UnavailableError):
            await client.numbers.next("n1", within_s=8.0)
        times = [call.at for call in service.calls]
        pauses = [later - earlier for earlier, later in pairwise(times)]
        assert pauses[0] < 0.06
        assert 0.5 < max(pauses) <= 1.01
        assert len(times) < 30

    play(body)


def test_an_unreachable_address_is_skipped_and_not_called_again_at_once() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        for _ in range(3):
            await client.numbers.next("n1")
        host, _, port = service.calls[-1].address.partition(":")
        del service.loop.listeners[(host, int(port))]
        client.close()
        service.calls.clear()
        for _ in range(4):
            await client.numbers.next("n1")
        assert len({call.address for call in service.calls}) == 1

    play(body)


def test_connections_are_kept() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        for _ in range(20):
            await client.numbers.next("n1")
        assert service.loop.opened == 1

    play(body)


def test_reads() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        assert await client.cells.get("g1.a") is None
        service.put("g1.a", "v1")
        service.faults.append(SILENT)
        assert await client.cells.get("g1.a") == Cell("g1.a", "v1", 1)

    play(body)


def test_names_reach_the_service_as_they_are() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        await client.numbers.next("a:%41+b.")
        assert service.numbers == {"a:%41+b.": 1}
        for name in ("", "a/b", "a b", "a?", "a#", "ü", "a\n"):
            with pytest.raises(RequestRejectedError):
                await client.numbers.next(name)
        assert len(service.calls) == 1

    play(body)
