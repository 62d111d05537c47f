"""Sends that upstreams may not have read, and the retries charged for them."""

import asyncio
import random

from tallyhall_dispatch.retries import (
    RetryBudget,
    RetryLimits,
    RetryReservation,
)
from tallyhall_edge.unread_sends import (
    RequestSends,
    SendPath,
    UnreadSend,
    UnreadSends,
)

_PATH = SendPath('app-1')
_OTHER = SendPath('app-2')


class _Listener:
    def __init__(self) -> None:
        self.silent: list[str] = []
        self.heard: list[float] = []

    def on_silent(self, path: SendPath, unread: int, *, is_heard: bool) -> None:
        self.silent.append(path.incarnation)

    def on_heard(self, path: SendPath, silent_s: float, unread: int) -> None:
        self.heard.append(silent_s)


class _Fixture:
    """Unread sends of one instance with a budget that is never spent."""

    def __init__(self) -> None:
        self.listener = _Listener()
        self.sends = UnreadSends(self.listener)
        limits = RetryLimits(ratio=1, allowance=600, window_s=10)
        self.budget = RetryBudget(limits, random.Random(1), 0)
        for _ in range(100):
            self.budget.record_request(0)

    @property
    def unread_retries(self) -> int:
        return self.budget.use(0).unread

    def send(self, path: SendPath = _PATH) -> UnreadSend:
        return self.sends.add(path, RequestSends(), None)

    def retry(self, earlier: UnreadSend, path: SendPath) -> UnreadSend:
        return self.sends.add(path, earlier.request, self.charge())

    def charge(self) -> RetryReservation:
        charge = self.budget.reserve(0)
        assert charge is not None
        return charge

    def abandon(self, send: UnreadSend, *, is_acknowledged: bool) -> None:
        self.sends.record_overdue(send, is_acknowledged=is_acknowledged)
        self.sends.record_end(
            send, is_closed=False, is_acknowledged=is_acknowledged
        )


async def test_retry_is_charged_while_the_first_send_may_still_be_read() -> (
    None
):
    made = _Fixture()
    first = made.send()
    await asyncio.sleep(0.5)
    made.abandon(first, is_acknowledged=True)
    retry = made.retry(first, _OTHER)
    made.sends.record_answer(retry)
    made.sends.record_end(retry, is_closed=False, is_acknowledged=True)
    made.sends.close(first.request)
    assert made.unread_retries == 1
    await asyncio.sleep(60)
    assert made.unread_retries == 1


async def test_answer_to_a_later_send_shows_that_earlier_ones_are_read() -> (
    None
):
    made = _Fixture()
    first = made.send()
    made.abandon(first, is_acknowledged=True)
    made.sends.record_answer(made.retry(first, _OTHER))
    made.sends.record_answer(made.send(_OTHER))
    assert made.unread_retries == 1
    made.sends.record_answer(made.send())
    assert made.unread_retries == 0
    assert not len(made.sends)


async def test_answer_through_another_instance_shows_nothing() -> None:
    made = _Fixture()
    first = made.send(SendPath('app-1', 'entry-2'))
    made.abandon(first, is_acknowledged=True)
    made.sends.record_answer(made.retry(first, _OTHER))
    made.sends.record_answer(made.send())
    assert made.unread_retries == 1


async def test_answer_to_an_earlier_send_shows_nothing() -> None:
    made = _Fixture()
    earlier = made.send()
    first = made.send()
    made.abandon(first, is_acknowledged=True)
    made.sends.record_answer(made.retry(first, _OTHER))
    made.sends.record_answer(earlier)
    assert made.unread_retries == 1


async def test_discarded_bytes_are_charged_while_they_may_be_under_way() -> (
    None
):
    made = _Fixture()
    first = made.send()
    made.abandon(first, is_acknowledged=False)
    made.sends.record_answer(made.retry(first, _OTHER))
    assert made.unread_retries == 1
    await asyncio.sleep(1.1)
    assert made.unread_retries == 0


async def test_end_of_an_upstream_ends_the_charges_for_it() -> None:
    made = _Fixture()
    first = made.send()
    made.abandon(first, is_acknowledged=True)
    made.sends.record_answer(made.retry(first, _OTHER))
    made.sends.forget('app-1')
    assert made.unread_retries == 0
    assert not made.sends.silent


async def test_requests_without_retries_leave_nothing_behind() -> None:
    made = _Fixture()
    first = made.send()
    made.abandon(first, is_acknowledged=True)
    made.sends.close(first.request)
    assert not len(made.sends)


async def test_upstream_is_silent_from_an_overdue_send_to_the_next_byte() -> (
    None
):
    made = _Fixture()
    made.sends.record_data(_PATH)
    await asyncio.sleep(0.1)
    send = made.send()
    await asyncio.sleep(0.5)
    made.sends.record_overdue(send, is_acknowledged=True)
    assert made.sends.silent == {'app-1'}
    assert made.sends.occupied == {'app-1'}
    made.abandon(send, is_acknowledged=True)
    assert not made.sends.occupied
    await asyncio.sleep(2)
    made.sends.record_data(_PATH)
    assert not made.sends.silent
    assert made.listener.silent == ['app-1']
    assert [round(silent_s, 1) for silent_s in made.listener.heard] == [2.5]


async def test_busy_upstream_that_sends_other_answers_is_not_silent() -> None:
    made = _Fixture()
    send = made.send()
    await asyncio.sleep(0.3)
    made.sends.record_data(_PATH)
    await asyncio.sleep(0.3)
    made.sends.record_overdue(send, is_acknowledged=True)
    assert not made.sends.silent


async def test_silent_upstream_that_is_removed_is_forgotten() -> None:
    made = _Fixture()
    first = made.send()
    made.abandon(first, is_acknowledged=True)
    made.sends.close(first.request)
    assert made.sends.silent == {'app-1'}
    made.sends.record_removed('app-1')
    await asyncio.sleep(11)
    assert not made.sends.silent


async def test_send_that_waits_on_a_lost_link_makes_no_silent_upstream() -> (
    None
):
    made = _Fixture()
    first = made.send()
    made.sends.record_overdue(first, is_acknowledged=False)
    assert not first.request.is_held
    assert not made.sends.silent
