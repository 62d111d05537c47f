"""Counts of calls to the store by kind, cause and outcome."""

import json
import pathlib

import pytest
from cleo.testers.command_tester import CommandTester
from tallyhall_core.events import Event
from tallyhall_daemon.command_base import EXIT_FAILED
from tallyhall_daemon.command_calls import CallsCommand, calls_lines
from tallyhall_entry.store_calls import store_calls
from tallyhall_platform.call_counts import CallCause, CallCounts
from tallyhall_platform.errors import StoreError
from tallyhall_platform.store import StoreClient
from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import deployment


def _line(at_s: int, instance: str, run: str, **calls: int) -> str:
    return json.dumps(
        {
            'time': f'2026-01-01T00:00:{at_s:02}+00:00',
            'level': 'INFO',
            'event': Event.store_calls.name,
            'number': int(Event.store_calls),
            'instance': instance,
            'incarnation': run,
            'calls': calls,
        },
    )


def test_the_last_report_of_each_run_is_counted() -> None:
    lines = [
        _line(0, 'a', 'a1', watch=1),
        _line(2, 'a', 'a1', watch=3, lease=1),
        _line(6, 'a', 'a2', watch=2),
        _line(10, 'b', 'b1', watch=5),
        'no line of ours',
    ]
    found = store_calls(lines)
    assert found.counts == {'watch': 10, 'lease': 1}
    assert found.instances == 2
    assert found.per_second(10) == 0.5
    assert len(list(calls_lines(found))) == 3


def test_a_log_without_calls_is_an_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'log'
    path.write_text('nothing\n')
    assert CommandTester(CallsCommand()).execute(str(path)) == EXIT_FAILED


async def test_calls_are_counted_by_kind_cause_and_outcome() -> None:
    async with deployment() as made:
        counts = CallCounts()
        client = StoreClient(made.options[0].store.address, counts)
        seen = await client.snapshot('')
        client.cause = CallCause.steady
        await client.watch('none/', seen.revision, 0.01)
        made.store.put('servers/x', {})
        await client.watch('servers/', seen.revision, 0.01)
        made.store.fault = StoreFault.limits
        with pytest.raises(StoreError):
            await client.grant_lease(2)
        assert counts.by_label() == {
            ('scan', 'start', 'answered'): 1,
            ('watch', 'steady', 'answered'): 1,
            ('watch', 'steady', 'changed'): 1,
            ('lease', 'steady', 'limited'): 1,
        }
