"""Late and unserved requests are found in log lines, each exactly once."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.events import Event
from tallyhall_entry.losses import Cause, losses

_LATE = {
    'late_ms': 120,
    'since_first_ms': 0,
    'waited_ms': 10,
    'resent_ms': 0,
    'first_ms': 60,
    'forecast_ms': 50,
    'pause_ms': 20,
    'pause_aim_ms': 250,
    'is_resumed': False,
}


def _line(
    event: Event,
    at_s: float = 0,
    instance: str = 'one',
    **fields: Any,
) -> str:
    return json.dumps(
        {
            'time': f'2026-01-01T00:00:{at_s:09.6f}+00:00',
            'level': 'INFO',
            'event': event.name,
            'number': int(event),
            'instance': instance,
            **fields,
        },
    )


def _request_lines(
    request: str, at_s: float, outcome: str, **fields: Any
) -> list[str]:
    return [
        _line(Event.admitted, at_s, request=request, route='chat'),
        _line(
            Event.finished,
            at_s + 0.1,
            request=request,
            outcome=outcome,
            **fields,
        ),
    ]


def _cause(*lines: str) -> Cause | None:
    found = losses(lines).lost
    assert len(found) <= 1
    return found[0].cause if found else None


def test_an_answer_in_time_is_not_lost() -> None:
    found = losses(_request_lines('a', 0, 'answered'))
    assert (found.lost, found.seen, found.open) == ((), 1, 0)


def test_the_cause_of_a_late_answer_is_its_longest_phase() -> None:
    for part, cause in (
        ('since_first_ms', Cause.came_back),
        ('waited_ms', Cause.waited),
        ('resent_ms', Cause.resent),
        ('first_ms', Cause.unforeseen),
    ):
        late = _LATE | {part: 900}
        assert _cause(*_request_lines('a', 0, 'answered', **late)) is cause
    foreseen = _LATE | {'first_ms': 900, 'forecast_ms': 800}
    assert (
        _cause(*_request_lines('a', 0, 'answered', **foreseen))
        is Cause.foreseen
    )


def test_the_cause_of_a_late_answer_begun_in_time_is_a_pause() -> None:
    late = _LATE | {'late_ms': 0, 'pause_ms': 300}
    assert _cause(*_request_lines('a', 0, 'answered', **late)) is Cause.paused
    late |= {'is_resumed': True}
    assert _cause(*_request_lines('a', 0, 'answered', **late)) is Cause.resent


def test_refusals_after_a_client_retry_are_distinguished() -> None:
    refused = 'deadline_unreachable'
    assert _cause(*_request_lines('a', 0, refused)) is Cause.refused
    again = _request_lines('a', 0, refused, since_first_ms=700)
    assert _cause(*again) is Cause.refused_again
    entry = _line(Event.refused, request='a', reason='unknown_key')
    assert _cause(entry) is Cause.not_allowed


def test_upstream_failures_are_distinguished() -> None:
    failed = _request_lines('a', 0, 'upstream_error', may_have_run=1)
    assert _cause(*failed) is Cause.failed
    assert _cause(*_request_lines('a', 0, 'caller_left')) is Cause.caller_left


def test_requests_of_a_lost_instance_are_lost() -> None:
    begun = _line(Event.admitted, 1, request='a', route='chat')
    assert losses([begun]).open == 1
    silent = _line(Event.admitted, 9, 'two', request='b', route='chat')
    found = losses([begun, silent])
    assert [loss.cause for loss in found.lost] == [Cause.instance_lost]
    assert found.open == 1
    assert _cause(begun, _line(Event.started, 2)) is Cause.instance_lost


def test_dropped_lines_are_counted_once_per_run() -> None:
    lines = [
        _line(Event.logs_dropped, at_s, served=served, others=2, unread=0)
        for at_s, served in ((1, 3), (2, 5))
    ]
    again = _line(Event.logs_dropped, 4, served=1, others=0, unread=0)
    found = losses([*lines, _line(Event.started, 3), again])
    assert found.dropped == 8


def test_requests_that_reached_no_instance_are_found() -> None:
    found = losses(_request_lines('a', 0, 'answered'), ('a', 'b'))
    assert [(one.request, one.cause) for one in found.lost] == [
        ('b', Cause.unreached),
    ]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ('answered', 'late', 'deadline_unreachable', 'upstream_error'),
            ),
            st.floats(0, 30),
            st.sampled_from(('chat', 'plan')),
        ),
        max_size=20,
    ),
)
def test_tables_sum_up_the_listed_losses(
    drawn: list[tuple[str, float, str]],
) -> None:
    lines: list[str] = []
    for number, (outcome, at_s, route) in enumerate(drawn):
        late: dict[str, Any] = _LATE if outcome == 'late' else {}
        ended = 'answered' if outcome == 'late' else outcome
        lines += [
            _line(Event.admitted, at_s, request=str(number), route=route),
            _line(
                Event.finished,
                at_s,
                request=str(number),
                outcome=ended,
                **late,
            ),
        ]
    found = losses(lines)
    expected = [one for one in drawn if one[0] != 'answered']
    assert len(found.lost) == len(expected)
    weights = {'plan': 3.0}
    total = sum(weights.get(one[2], 1) for one in expected)
    for rows in (found.table(weights), found.by_second(weights)):
        assert sum(sum(row.values()) for row in rows.values()) == total


def test_the_command_prints_tables_and_a_plot(tmp_path: pathlib.Path) -> None:
    log = tmp_path / 'one.log'
    log.write_text(
        '\n'.join(_request_lines('a', 0, 'deadline_unreachable')) + '\n'
    )
    plot = tmp_path / 'lost.svg'
    command = (
        sys.executable,
        '-m',
        'tallyhall_daemon.main',
        'losses',
        str(log),
        '--weight',
        'chat=2.5',
    )
    output = subprocess.run(
        (*command, '--plot', str(plot)),
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert '1 requests, 1 late or not served' in output
    assert 'chat: 2.5' in output
    assert plot.read_text().lstrip().startswith('<?xml')
    wrong = subprocess.run(
        (*command, '--plot', str(tmp_path / 'lost.none')),
        capture_output=True,
        text=True,
        check=False,
    )
    assert wrong.returncode == 2
    assert 'cannot be written' in wrong.stderr


def _charge(request: str, at_s: float, charged: int) -> str:
    return _line(
        Event.admitted,
        at_s,
        request=request,
        workspace='w',
        charged=charged,
    )


def _over_quota(request: str, at_s: float, asked: int) -> str:
    return _line(
        Event.refused,
        at_s,
        request=request,
        reason='rate_limited',
        workspace='w',
        asked=asked,
        quota=1000,
        window_s=8,
    )


def test_refusals_are_compared_with_the_actual_usage() -> None:
    """Of 1000 tokens in 8 s first 900 are used, later 400.

    A refund of 400 leaves room for a request that was over the quota before.
    """
    lines = [
        _charge('a', 1, 500),
        _charge('b', 5, 400),
        _over_quota('c', 6, 200),
        _over_quota('d', 6, 100),
        _over_quota('e', 9.5, 600),
    ]
    found = {loss.request: loss.cause for loss in losses(lines).lost}
    assert found['c'] is Cause.not_allowed
    assert found['d'] is Cause.quota_left
    assert found['e'] is Cause.quota_left
    given_back = _line(
        Event.refused,
        5.5,
        request='b',
        reason='deadline_unreachable',
    )
    found = {
        loss.request: loss.cause for loss in losses([*lines, given_back]).lost
    }
    assert found['c'] is Cause.quota_left
