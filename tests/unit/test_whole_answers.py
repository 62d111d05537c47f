"""Callers receive the complete answer to their own request or a failure."""

import itertools
from concurrent import futures

import pytest
from tallyhall_bench.proxy import FaultProxy, ProxyFaults
from tallyhall_gateway.errors import StreamBrokenError
from tallyhall_gateway.sse import OrderCheck, StreamEvent
from tallyhall_node.actions import Outcome
from tallyhall_standins.batch import EngineSpeed
from tallyhall_standins.web import Request, Response, not_found

from tests.unit import gateway

_NUMBERS = itertools.count(1)
_WORKERS = 32
_TIMEOUT_S = 60
_SLOW = EngineSpeed(step_s=0.5)


def _cut_at(address: str, byte: int, cuts: int) -> tuple[Outcome, str, bool]:
    with FaultProxy(address) as proxy:
        proxy.faults = ProxyFaults(cut_down_after=byte, cuts=cuts)
        outcome, ticket = gateway.run_once(next(_NUMBERS), proxy.address)
    return outcome, gateway.text_of(ticket), ticket.is_complete


def test_cut_at_every_byte_is_resumed() -> None:
    _, address = gateway.start_engine()
    with FaultProxy(address) as probe:
        gateway.run_once(next(_NUMBERS), probe.address)
    with futures.ThreadPoolExecutor(_WORKERS) as pool:
        results = list(
            pool.map(lambda byte: _cut_at(address, byte, 1), range(1340)),
        )
    assert set(results) == {(Outcome.complete, gateway.whole_text(), True)}


def test_cutting_the_answer_does_not_cut_the_request() -> None:
    # A proxy that cut the answer at byte 0 also cut the request being sent.
    _, address = gateway.start_engine()
    with futures.ThreadPoolExecutor(_WORKERS) as pool:
        results = list(
            pool.map(lambda _: _cut_at(address, 0, 1), range(200)),
        )
    assert set(results) == {(Outcome.complete, gateway.whole_text(), True)}


def test_resume_may_arrive_before_the_request() -> None:
    engine, address = gateway.start_engine()
    resumes = itertools.count()

    def reject_first_resume(req: Request) -> Response:  # noqa: WPS430
        if req.path.startswith('/v1/streams/') and not next(resumes):
            return not_found()
        return engine.handle(req)

    with FaultProxy(gateway.serve(reject_first_resume)) as proxy:
        proxy.faults = ProxyFaults(cut_down_after=0)
        outcome, ticket = gateway.run_once(next(_NUMBERS), proxy.address)
    assert outcome == Outcome.complete
    assert gateway.text_of(ticket) == gateway.whole_text()


def test_cancel_stops_an_open_stream() -> None:
    # Once the head of a response has been read, the connection object no
    # longer has a socket that could be closed.
    _, address = gateway.start_engine(_SLOW)
    run = gateway.make_run(next(_NUMBERS), address)
    with futures.ThreadPoolExecutor(1) as pool:
        end = pool.submit(run.execute, lambda start: None)
        assert run.ticket.part(0, _TIMEOUT_S)
        run.cancel()
        assert end.result(_TIMEOUT_S).outcome == Outcome.stopped
    assert not run.ticket.is_complete


def test_repeatedly_cut_answer_is_never_complete() -> None:
    _, address = gateway.start_engine()
    for byte in range(0, 400, 40):
        outcome, text, complete = _cut_at(address, byte, 99)
        assert (outcome, complete) == (Outcome.broken, False)
        assert gateway.whole_text().startswith(text)


def test_concurrent_answers_are_not_mixed_up() -> None:
    _, address = gateway.start_engine()
    with FaultProxy(address) as proxy:
        proxy.faults.hold = 4
        with futures.ThreadPoolExecutor(4) as pool:
            results = list(
                pool.map(
                    lambda _: gateway.run_once(
                        next(_NUMBERS),
                        proxy.address,
                    ),
                    range(4),
                ),
            )
    assert {outcome for outcome, _ in results} == {Outcome.complete}
    for _, ticket in results:
        assert gateway.text_of(ticket) == gateway.whole_text()


@pytest.mark.parametrize(
    ('events', 'taken'),
    [
        ([('me', 0), ('me', 1)], 2),
        ([('me', 0), ('me', 0), ('me', 1)], 2),
        ([('me', 0), ('me', 2)], -1),
        ([('other', 0)], -1),
        ([('me', 1)], -1),
    ],
    ids=['in order', 'repeated', 'gap', 'another request', 'late start'],
)
def test_order_of_events(events: list[tuple[str, int]], taken: int) -> None:
    check = OrderCheck('me')
    accepted = 0
    try:
        for request_id, seq in events:
            event = StreamEvent(id=request_id, seq=seq)
            accepted += check.accept(event)
    except StreamBrokenError:
        accepted = -1
    assert accepted == taken
