"""Complete answers whatever an engine sends on its connections."""

import itertools
import json
from collections.abc import Iterator
from typing import Any
from unittest import mock
from urllib.parse import parse_qs

from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_gateway import runner
from tallyhall_gateway.sse import OrderCheck, StreamEvent
from tallyhall_node.actions import Outcome
from tallyhall_standins.web import CutError, Request, Response

from tests.unit import gateway

_NUMBERS = itertools.count(1)
_EVENTS = 8
_STEPS = ('next', 'next', 'repeat', 'skip', 'foreign', 'garbage', 'cut', 'end')
_Script = list[list[str]]


class ScriptedEngine:
    """Follows the script of each connection, then answers correctly."""

    def __init__(self) -> None:
        """Initialize with an empty script."""
        self.script: _Script = []

    def handle(self, req: Request) -> Response:
        """Answer a request, a resume or a cancellation."""
        if req.method == 'DELETE':
            return Response(200, [])
        first = int(parse_qs(req.query).get('from', ['0'])[0])
        rid = req.headers.get('x-request-id') or req.path.rsplit('/', 1)[-1]
        steps = self.script.pop(0) if self.script else []
        return Response(200, _lines(rid, first, steps))


def _lines(rid: str, number: int, steps: list[str]) -> Iterator[bytes]:
    for step in steps:
        if step == 'cut':
            raise CutError
        if step == 'end':
            yield b'data: [DONE]\n\n'
            return
        if step == 'garbage':
            yield b'data: {"id": 7\n\n'
        if step == 'foreign':
            yield _line('another', number)
        if step == 'repeat':
            yield _line(rid, max(0, number - 1))
        if step == 'next' and number < _EVENTS:
            yield _line(rid, number)
        number += step in {'next', 'skip'}
    for rest in range(number, _EVENTS):
        yield _line(rid, rest)
    yield b'data: [DONE]\n\n'


def _line(rid: str, number: int) -> bytes:
    last = number == _EVENTS - 1
    event: dict[str, Any] = {
        'id': rid,
        'seq': number,
        'tokens': 1,
        'choices': [
            {'text': f' {number}', 'finish_reason': 'stop' if last else None},
        ],
    }
    return b'data: %b\n\n' % json.dumps(event).encode()


_ENGINE = ScriptedEngine()
_ADDRESS = gateway.serve(_ENGINE.handle)
_COMPLETE_TEXT = ''.join(f' {number}' for number in range(_EVENTS))
_SCRIPTS = st.lists(
    st.lists(st.sampled_from(_STEPS), max_size=_EVENTS),
    max_size=4,
)


def _run(script: _Script) -> tuple[Outcome, str, bool]:
    _ENGINE.script = [list(steps) for steps in script]
    with mock.patch.object(runner, '_RESUME_PAUSE_S', 0):
        outcome, ticket = gateway.run_once(next(_NUMBERS), _ADDRESS)
    return outcome, gateway.text_of(ticket), ticket.is_complete


@settings(max_examples=150)
@given(script=_SCRIPTS)
def test_answer_is_complete_or_marked_incomplete(script: _Script) -> None:
    outcome, text, complete = _run(script)
    assert complete == (outcome == Outcome.complete)
    assert _COMPLETE_TEXT.startswith(text)
    if complete:
        assert text == _COMPLETE_TEXT


def _accept_any(check: OrderCheck, event: StreamEvent) -> bool:
    return True


def test_wrong_text_without_order_check() -> None:
    with mock.patch.object(OrderCheck, 'accept', _accept_any):
        _, text, _ = _run([['next', 'repeat', 'foreign']])
    assert not _COMPLETE_TEXT.startswith(text)
