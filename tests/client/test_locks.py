"""Locks and leases: acquisition, renewal, local expiry, loss and release."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any
from unittest import mock

import pytest

from otterreach.client import CoordinationClient, Lease, LeaseLostError, LockHeldError, OutcomeUnknownError
from otterreach.client.lease import safety_margin_s
from otterreach.client.transport import Answer
from tests.client.fake_service import ADDRESSES, ANSWER_LOST, SILENT, FakeService, Fault, Hold, play

HOLD_S = 3.0


def other_client() -> CoordinationClient:
    return CoordinationClient(ADDRESSES, "a2", Random(6))


def test_a_hold_is_renewed_for_as_long_as_the_block_runs_and_given_back_after_it() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async with client.locks.hold("l1", HOLD_S) as lease:
            await asyncio.sleep(10 * HOLD_S)
            assert lease.held
            lease.check()
            assert service.holds["l1"].fence == lease.fence
        assert not lease.held
        assert "l1" not in service.holds

    play(body)


def test_the_hold_counts_from_the_sending_of_the_attempt_that_was_answered() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults += [SILENT, Fault(answer_delay_s=0.8)]
        async with client.locks.hold("l1", HOLD_S) as lease:
            sent_at = service.calls[-1].at
            assert sent_at - 0.1 < service.loop.time() - 0.8
            assert lease.remaining_s <= sent_at + HOLD_S - safety_margin_s(HOLD_S) - service.loop.time()

    play(body)


def test_an_answer_that_comes_after_the_hold_is_over_gives_no_lease() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults.append(Fault(answer_delay_s=0.5))
        async with client.locks.hold("l1", hold_s=0.4) as lease:
            assert lease.held
            assert len([call for call in service.calls if call.method == "POST"]) == 2

    play(body)


def test_acquisition_waits_until_another_holder_releases_the_lock() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.holds["l1"] = Hold("a9", 0, service.loop.time() + 2.0)
        begun = service.loop.time()
        async with client.locks.hold("l1", HOLD_S):
            assert 2.0 <= service.loop.time() - begun < 2.6

    play(body)


def test_gives_up_waiting_for_one_that_stays_held() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.holds["l1"] = Hold("a9", 0, service.loop.time() + 60.0)
        begun = service.loop.time()
        with pytest.raises(LockHeldError):
            async with client.locks.hold("l1", HOLD_S, wait_s=2.0):
                pass
        assert service.loop.time() - begun <= 2.0

    play(body)


def test_acquisition_without_a_conclusive_answer_raises_outcome_unknown() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        service.faults.extend([ANSWER_LOST] * 20)
        with pytest.raises(OutcomeUnknownError):
            async with client.locks.hold("l1", HOLD_S, wait_s=2.0):
                pass

    play(body)


def test_a_renewal_that_is_refused_loses_the_lease_at_once() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async with client.locks.hold("l1", HOLD_S) as lease:
            service.holds["l1"] = Hold("a9", 99, service.loop.time() + 60.0)
            begun = service.loop.time()
            await lease.lost.wait()
            assert service.loop.time() - begun < HOLD_S / 2
            with pytest.raises(LeaseLostError):
                lease.check()
        assert service.holds["l1"].owner == "a9"

    play(body)


def test_renewals_without_answer_end_the_lease_a_margin_before_the_service_may_give_it_away() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async with client.locks.hold("l1", HOLD_S) as lease:
            free_at = service.holds["l1"].ends_at
            service.faults.extend([SILENT] * 20)
            await lease.lost.wait()
            assert service.loop.time() <= free_at - safety_margin_s(HOLD_S) + 0.01
            assert service.loop.time() > free_at - 3 * safety_margin_s(HOLD_S)
            service.faults.clear()

    play(body)


def test_a_renewal_answered_after_the_local_expiry_is_ignored() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async with client.locks.hold("l1", hold_s=0.9) as lease:
            service.faults.append(Fault(answer_delay_s=0.7))
            await lease.lost.wait()
            await asyncio.sleep(0.2)
            assert not lease.held
            assert service.holds["l1"].ends_at > service.loop.time(), "the service accepted the renewal"
        assert "l1" not in service.holds, "the expired lease is released at the service"

    play(body)


def test_a_frozen_holder_finds_its_lease_lost_before_any_timer_has_run() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async with client.locks.hold("l1", HOLD_S) as lease:
            service.loop.freeze(HOLD_S)
            assert not lease.held

    play(body)


def test_a_renewal_whose_answer_is_processed_after_a_freeze_is_ignored() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        transport = client._transport
        call = transport.call

        async def call_and_freeze(*arguments: Any) -> Answer:
            answer = await call(*arguments)
            service.loop.freeze(HOLD_S)
            return answer

        async with client.locks.hold("l1", HOLD_S) as lease:
            with mock.patch.object(transport, "call", call_and_freeze), pytest.raises(LeaseLostError):
                await lease.renew()
            assert not lease.held

    play(body)


def test_a_renewal_extends_the_hold_from_its_sending() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async with client.locks.hold("l1", HOLD_S) as lease:
            service.faults.append(Fault(answer_delay_s=0.9))
            service.faults.extend([SILENT] * 20)
            await lease.renew()
            sent_at = service.calls[-1].at
            await lease.lost.wait()
            assert sent_at + HOLD_S / 2 < service.loop.time() <= sent_at + HOLD_S - safety_margin_s(HOLD_S)
            service.faults.clear()

    play(body)


def test_another_address_is_called_after_a_rejection_a_failure_and_a_time_out() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        for fault in (Fault(status=503), Fault(status=429), Fault(status=500), Fault(status=504), SILENT):
            service.calls.clear()
            service.faults.append(fault)
            async with client.locks.hold("l1", HOLD_S):
                first, second = service.calls[:2]
                assert first.address != second.address
                assert second.at - first.at < 1.1
                assert len(service.calls) == 2

    play(body)


def test_work_is_cancelled_when_the_lease_is_lost() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        ended_at: list[float] = []

        async def work() -> None:
            try:
                await asyncio.sleep(3600)
            finally:
                ended_at.append(service.loop.time())

        async with client.locks.hold("l1", HOLD_S) as lease:
            free_at = service.holds["l1"].ends_at
            service.faults.extend([SILENT] * 20)
            with pytest.raises(LeaseLostError):
                await lease.run(work())
            service.faults.clear()
        assert ended_at[0] < free_at

    play(body)


def test_run_returns_the_result_of_the_work() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async def work() -> int:
            await asyncio.sleep(2 * HOLD_S)
            return 7

        async with client.locks.hold("l1", HOLD_S) as lease:
            assert await lease.run(work()) == 7

    play(body)


def test_two_tasks_of_one_owner_never_hold_one_lock_together() -> None:
    """The service grants a held lock to its owner again, so the client has to exclude a second task of that owner."""

    async def body(service: FakeService, client: CoordinationClient) -> None:
        leases: list[Lease] = []

        async def task() -> None:
            async with client.locks.hold("l1", HOLD_S, wait_s=30.0) as lease:
                assert not any(other.held for other in leases)
                leases.append(lease)
                await asyncio.sleep(1.0)

        await asyncio.gather(*(task() for _ in range(5)))
        assert len(leases) == 5
        with pytest.raises(LockHeldError):
            async with client.locks.hold("l1", HOLD_S), client.locks.hold("l1", HOLD_S, wait_s=1.0):
                pass

    play(body)


def test_two_clients_never_hold_one_lock_together() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        leases: list[Lease] = []

        async def caller(of: CoordinationClient) -> None:
            for _ in range(5):
                async with of.locks.hold("l1", HOLD_S, wait_s=60.0) as lease:
                    assert not any(other.held for other in leases)
                    assert all(other.fence < lease.fence for other in leases)
                    leases.append(lease)
                    await asyncio.sleep(0.5)

        async with other_client() as other:
            await asyncio.gather(caller(client), caller(other))
        assert len(leases) == 10

    play(body)


def test_a_cancelled_holder_gives_the_lock_back() -> None:
    async def body(service: FakeService, client: CoordinationClient) -> None:
        async def holder() -> None:
            async with client.locks.hold("l1", HOLD_S):
                await asyncio.sleep(3600)

        task = asyncio.ensure_future(holder())
        await asyncio.sleep(1.0)
        assert "l1" in service.holds
        task.cancel()
        await asyncio.wait((task,))
        assert "l1" not in service.holds

    play(body)
