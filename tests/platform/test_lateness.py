"""The breakdown of a late response, and its exchange between instances."""

from __future__ import annotations

import types
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Route, RouteKind
from tallyhall_dispatch.jobs import SlotGrant
from tallyhall_dispatch.rejection import RejectDecision, RejectionForecast
from tallyhall_edge.guard import Fingerprint
from tallyhall_edge.lateness import lateness
from tallyhall_edge.request_context import RequestContext, record_send
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer_codec import decode_give_up, encode_give_up

_OBJECTIVE_S = 0.5
_ROUTE = Route(
    name='chat',
    host='h',
    prefix='/',
    kind=RouteKind.streaming,
    targets=(),
    timeout_s=10,
    objective_s=_OBJECTIVE_S,
    priority=0,
    attempts=1,
    public=False,
    sticky=False,
    resumable=True,
    gap_s=0.25,
)


def _context(begun_at: float | None, **fields: Any) -> RequestContext:
    exchange: Any = types.SimpleNamespace(started_at=begun_at, received_at=10)
    admitted: Any = types.SimpleNamespace(route=_ROUTE)
    call = cast('Any', None)
    return RequestContext(
        exchange, call, admitted, 20, None, Fingerprint(''), **fields
    )


def _sent(
    context: RequestContext, waited_s: float, forecast_s: float, at: float
) -> None:
    record_send(
        context, SlotGrant(cast('Any', None), 'x', waited_s, forecast_s), at
    )


def test_response_that_started_in_time_is_not_late() -> None:
    assert lateness(_context(10 + _OBJECTIVE_S), 12) is None


def test_parts_of_the_latency_add_up() -> None:
    context = _context(11.5, since_first_s=0.4)
    _sent(context, 0.2, 0.1, 10.2)
    _sent(context, 0.3, 0.1, 11.0)
    late = lateness(context, 13)
    assert late is not None
    assert late.late_ms == 1400
    assert late.since_first_ms == 400
    assert late.waited_ms == 500
    assert late.resent_ms == 500
    assert (late.first_ms, late.forecast_ms) == (500, 100)


def test_buffered_response_starts_when_it_ends() -> None:
    context = _context(None)
    _sent(context, 0, 0.1, 10)
    late = lateness(context, 11)
    assert late is not None
    assert (late.late_ms, late.first_ms) == (500, 1000)


@pytest.mark.parametrize('resumed', [False, True])
def test_pause_alone_makes_a_response_late(*, resumed: bool) -> None:
    name = 'resumed_pause_s' if resumed else 'pause_s'
    context = _context(10.1, **{name: 0.3})
    _sent(context, 0, 0.1, 10)
    late = lateness(context, 13)
    assert late is not None
    assert (late.late_ms, late.pause_ms, late.pause_aim_ms) == (0, 300, 250)
    assert late.is_resumed is resumed


@given(
    st.floats(0.001, 3),
    st.integers(0, 1000),
    st.floats(0, 1e9),
    st.floats(0, 10_000, width=32),
    st.integers(0, 6000),
)
def test_forecast_survives_encoding_and_decoding(
    retry_s: float,
    ahead: int,
    wait_s: float,
    rate: float,
    free: int,
) -> None:
    message = peers_pb2.GiveUp()
    original = RejectDecision(
        'one/1', retry_s, RejectionForecast(ahead, wait_s, rate, free)
    )
    encode_give_up(message, original)
    sent = message.SerializeToString()
    decoded = decode_give_up(peers_pb2.GiveUp.FromString(sent))
    assert decoded.key == original.key
    assert decoded.retry_after_s == pytest.approx(retry_s, abs=0.001)
    forecast = decoded.forecast
    assert (forecast.ahead, forecast.rate, forecast.free) == (ahead, rate, free)
    assert forecast.wait_s == pytest.approx(min(wait_s, 3600), abs=0.001)
