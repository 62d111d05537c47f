"""The content digest of requests in log lines.

Each attempt has an id of its own, so only the digest identifies a repeated
request.
"""

import json
from pathlib import Path
from typing import Any

from tallyhall_core.content import content_digest

from tests.platform.harness import PLAIN, logged_deployment


def test_each_part_of_a_request_changes_the_digest() -> None:
    digests = {
        content_digest(b'a', b'POST', b'/x/', b'body'),
        content_digest(b'b', b'POST', b'/x/', b'body'),
        content_digest(b'a', b'PUT', b'/x/', b'body'),
        content_digest(b'a', b'POST', b'/y/', b'body'),
        content_digest(b'a', b'POST', b'/x/', b'other'),
        content_digest(b'a', b'POST', b'/x', b'/body'),
    }
    assert len(digests) == 6


async def test_log_lines_of_failed_sends_have_the_content_digest(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    async with logged_deployment(path) as made:
        await made.add_failing_engine(3)
        for serial, body in enumerate((b'one', b'other', b'one')):
            await made.caller().ask('/once/x', f'r{serial}', body=body)
        await made.caller().ask('/once/x', 'served', body=b'one')
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    for event in ('send_ended', 'finished'):
        first, other, again = _content_digests(lines, event)
        assert first == again
        assert first != other
    broken = [line for line in lines if line.get('ending') == 'unknown']
    assert all('closed' in line['cause'] for line in broken)


async def test_log_lines_of_failed_requests_have_the_parts_of_the_prompt(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'log'
    async with logged_deployment(path) as made:
        await made.add_failing_engine(1)
        prefix = {'X_Tallyhall_Prompt_Prefix': 'first:10,middle:10,own:10'}
        await made.caller().ask('/once/x', 'r1', **prefix)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    for event in ('send_ended', 'finished'):
        parts = [line['parts'] for line in lines if line['event'] == event]
        assert parts == [[f'{PLAIN}/first', f'{PLAIN}/middle']]


def _content_digests(lines: list[dict[str, Any]], event: str) -> list[str]:
    return [
        line['content']
        for line in lines
        if line['event'] == event and 'content' in line
    ]
