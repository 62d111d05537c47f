"""Answers whose upstream stops in the middle of the head and closes."""

import contextlib
from collections.abc import Callable
from unittest import mock

import pytest
from tallyhall_client.client import Client
from tallyhall_client.locating import Entry, Locator
from tallyhall_client.outcome import CallOptions, Verdict
from tallyhall_gateway.calls import CallerHeaders, model_call
from tallyhall_gateway.errors import StreamBrokenError, TruncatedResponseError
from tallyhall_gateway.relay import relay
from tallyhall_gateway.upstream import UpstreamConnection, read_body
from tallyhall_sources.errors import PlatformError
from tallyhall_sources.http import JsonClient
from tallyhall_sources.weights import HttpWeightStore

from . import admission as build
from .cut_server import cut_server

_STATUS = b'HTTP/1.1 200 OK\r\n'
_TYPE = b'Content-Type: text/plain\r\n'
_HEADS = (
    b'%bContent-Length: 0\r\n%b\r\n' % (_STATUS, _TYPE),
    b'%b%bContent-Length: 15\r\n\r\n' % (_STATUS, _TYPE),
    b'%bTransfer-Encoding: chunked\r\n\r\n' % _STATUS,
    b'%b%b\r\n' % (_STATUS, _TYPE),
    b'HTTP/1.1 100 Continue\r\n\r\n%bContent-Length: 0\r\n\r\n' % _STATUS,
    b'HTTP/1.1 204 No Content\r\n%b\r\n' % _TYPE,
)


def _ask_upstream(address: str) -> None:
    conn = UpstreamConnection(address, 5)
    with contextlib.closing(conn):
        conn.connect()
        read_body(conn.exchange('GET', '/', b'', {}))


def _ask_relay(address: str) -> None:
    headers = CallerHeaders('foundry', 'desk', '', '', '', '', 0)
    raw = b'{"model": "ledger", "prompt": "x", "max_tokens": 5}'
    call = model_call('/v1/completions', raw, headers, build.table())
    b''.join(relay(call, 'id', address).body)


def _ask_platform(address: str) -> None:
    JsonClient(f'http://{address}', 5).stream('/', {}, 5)


def _ask_weights(address: str) -> None:
    HttpWeightStore(f'http://{address}', 5).get_metadata('ledger')


_ASKS = (
    (_ask_upstream, StreamBrokenError),
    (_ask_relay, TruncatedResponseError),
    (_ask_platform, PlatformError),
    (_ask_weights, PlatformError),
)


@pytest.mark.parametrize(('ask', 'error'), _ASKS)
@pytest.mark.parametrize('head', _HEADS)
def test_answer_that_stops_in_its_head_is_not_complete(
    head: bytes, ask: Callable[[str], None], error: type[Exception]
) -> None:
    with cut_server() as server:
        for length, _ in enumerate(head):
            server.answer = head[:length]
            server.resets = length % 2 == 1
            with pytest.raises(error):
                ask(server.address)


def _ask_client(address: str) -> Verdict:
    entry = Entry(instance='one', http=address, prefix='p')
    options = CallOptions('foundry', deadline_s=0.003)
    with mock.patch.object(Locator, 'pick', return_value=entry):
        return Client(('',)).call('tags', 'GET', '/x', b'', options).verdict


def test_client_takes_no_part_of_an_answer_without_length() -> None:
    with cut_server() as server:
        server.answer = b'%b%b\r\npart of a body' % (_STATUS, _TYPE)
        assert _ask_client(server.address) != Verdict.answered
        server.answer = b'%bContent-Length: 4\r\n\r\nbody' % _STATUS
        assert _ask_client(server.address) == Verdict.answered


@pytest.mark.parametrize('head', _HEADS)
def test_client_takes_no_answer_that_stops_in_its_head(head: bytes) -> None:
    with cut_server() as server:
        for length, _ in enumerate(head):
            server.answer = head[:length]
            verdict = _ask_client(server.address)
            assert verdict != Verdict.answered, head[:length]
