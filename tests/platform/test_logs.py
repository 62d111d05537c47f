"""Log lines are bounded, never block, and suffice to explain a failure."""

import os
import re
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from tallyhall_bench.ports import free_ports
from tallyhall_core.events import Event
from tallyhall_entry.explain import check_line, explain, read_line
from tallyhall_entry.exposition import exposed
from tallyhall_entry.logs import EventLog, setup_logging
from tallyhall_entry.metrics import Metrics

from tests.platform.harness import (
    HOST,
    PLAIN,
    log_stream,
    logged_deployment,
    until,
)

_DOCS = Path(__file__).resolve().parent.parent.parent / 'docs'


def test_every_event_is_in_its_catalogue() -> None:
    text = (_DOCS / 'EVENTS.md').read_text()
    rows = re.findall(r'^\| (\d+) \| (\w+) \|', text, re.MULTILINE)
    listed = {name: int(number) for number, name in rows}
    assert listed == {event.name: int(event) for event in Event}


def test_every_metric_is_in_its_catalogue() -> None:
    text = (_DOCS / 'METRICS.md').read_text()
    listed = set(re.findall(r'^\| (tallyhall_\w+) \|', text, re.MULTILINE))
    exported = exposed(Metrics(log_stream())).decode()
    types = re.findall(r'^# TYPE (\w+) (\w+)$', exported, re.MULTILINE)
    names = {name for name, _ in types if not name.endswith('_created')}
    assert listed == names


def test_a_stopped_reader_does_not_block() -> None:
    reader, writer = os.pipe()
    stream = setup_logging('test', time.monotonic, writer)
    log = EventLog(stream)
    began_at = time.monotonic()
    for number in range(3000):
        log.event(Event.refused, request=f'r{number}', reason='shed')
    assert time.monotonic() - began_at < 2
    assert sum(stream.dropped.values()) > 0
    first = os.read(reader, 4096).decode().split('\n')[0]
    assert check_line(first) is None
    os.close(reader)
    log.event(Event.refused, request='late')
    os.close(writer)


def test_lines_of_served_requests_are_dropped_first() -> None:
    now = [0]
    writer = os.open(os.devnull, os.O_WRONLY)
    stream = setup_logging('test', lambda: now[0], writer)
    log = EventLog(stream)
    for number in range(3000):
        log.event(Event.finished, served=True, request=f'r{number}')
    log.event(Event.refused, request='last', reason='shed')
    assert stream.dropped['served'] > 0
    assert stream.dropped['others'] == 0
    os.close(writer)


async def test_a_failed_request_is_explained_by_its_lines(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    async with logged_deployment(path) as made:
        await made.add_failing_engine(1)
        answer = await made.caller().ask('/once/x', 'r-broken')
        assert answer.status == 502
        refused = await made.caller().ask('/safe/x', 'r-key', key='no')
        assert refused.status == 401
        await until(lambda: 'r-key' in path.read_text())
    lines = path.read_text().splitlines()
    broken = explain('r-broken', lines)
    assert broken is not None
    events = [line.event for line in broken.lines]
    assert events == [
        'admitted',
        'permitted',
        'send_ended',
        'refused',
        'finished',
    ]
    assert not broken.lines[-1].fields['begun']
    assert 'broke off' in broken.cause
    assert 'plain-0 (unknown after' in broken.cause
    other = explain('r-key', [f'12.1 host-1 {line}' for line in lines])
    assert other is not None
    assert 'API key' in other.cause
    assert explain('r-none', lines) is None
    assert not any(check_line(line) for line in lines)


async def test_lines_tell_why_nothing_was_sent_and_who_is_left_out(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    async with logged_deployment(path) as made:
        for number, port in enumerate(free_ports(2)):
            made.register(f'plain-{number}', f'{HOST}:{port}', PLAIN)
        await made.ready()
        answer = await made.caller().ask('/safe/x', 'r-unsent')
        assert answer.status == 503
        await until(lambda: 'upstream_ejected' in path.read_text())
    lines = [read_line(text) for text in path.read_text().splitlines()]
    unsent, ejected = (
        line.fields
        for line in lines
        if line is not None and line.fields.get('ending') == 'unsent'
    )
    assert 'ConnectionRefused' in unsent['cause']
    assert ejected['event'] == 'upstream_ejected'
    assert ejected['upstream'] == unsent['upstream']
    assert ejected['by'] == 'entry-1'
    assert ejected['ejected_ms'] == 500


def test_invalid_lines_are_rejected() -> None:
    for text in ('', 'nonsense', '{"a": 1}', '{broken', '[1]', '{"time": {}'):
        assert read_line(text) is None
        assert check_line(text) is not None


@pytest.mark.parametrize(
    ('args', 'code', 'text'),
    [
        (('explain', 'r1', '/nowhere'), 2, 'cannot be read'),
        (('explain', 'r1'), 1, 'no line about request'),
        (('logs',), 1, '1 lines, 1 wrong'),
    ],
)
def test_commands_report_errors(
    args: tuple[str, ...],
    code: int,
    text: str,
) -> None:
    tool = Path(sys.executable).parent / 'tallyhall'
    done = subprocess.run(
        (tool, *args),
        input='no line\n',
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == code
    assert text in done.stdout + done.stderr
    assert 'Traceback' not in done.stderr


async def test_an_unread_header_is_logged_once(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    async with logged_deployment(path) as made:
        engine = await made.add_engine('plain-0', PLAIN)
        engine.limit_per_s = 50
        engine.says = ('Server-Mood: glum',)
        await made.ready()
        for number in range(2):
            answer = await made.caller().ask('/safe/x', f'r{number}')
            assert answer.status == 200
    lines = [read_line(text) for text in path.read_text().splitlines()]
    fields: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        assert line is not None
        fields.setdefault(line.event, []).append(dict(line.fields))
    headers = [told['header'] for told in fields['header_unread']]
    assert headers == ['server-mood']
    limits = [told['limit_per_s'] for told in fields['send_ended']]
    assert limits == [50, 50]
