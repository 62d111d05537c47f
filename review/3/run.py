"""A tenant sends beyond its usage cap while all processes are killed once.

See claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case could
not run.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# As in the example of a desired state that `fleetbench wire` prints.
RATE_PER_S = 111_747
BURST = 111_747
# Bounds of the sheet.
WINDOW_S = 8.0
OVERSHOOT = 0.1
SLACK = 140_000
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
# Tokens of one request; the sheet has 6,610 in the mean and 54,600 at most.
PROMPT_TOKENS = 19_000
OUTPUT_TOKENS = 1_000
TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
# The usual traffic of a tenant is its cap divided by 1.8 (`quota_x`); the
# largest dose of `hot_tenant` is 7.5 times that.
HOT_PER_S = 22
HOT_S = 9.0
# The processes are killed once so many requests have been sent.
KILL_AFTER = 28
RESTART_S = 0.5
INSTANCES = 4
STATE = {
    'version': 3,
    'routes': [
        {
            'name': 'r-once', 'host': 'h.example', 'prefix': '/once/', 'kind': 'non_idempotent',
            'timeout-ms': 3000, 'slo-ms': 1000, 'priority': 1, 'service': 'app', 'attempts': 1,
            'public': False, 'sticky': False, 'resumable': False,
        },
    ],
    'services': [{'name': 'app', 'health-path': '/health', 'max-conns': 100, 'protocol': 'h1', 'tls': False}],
    'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
    'tenants': [{
        'name': 'tenant-a', 'api-keys': ['key-a'], 'priority': 1, 'unit': 'tokens', 'plain-tokens': 200,
        'rate-per-s': RATE_PER_S, 'burst': BURST,
    }],
}


class Tenant:
    """Sends requests at a steady rate, each to the next instance."""

    def __init__(self, site: standins.Site) -> None:
        self.site = site
        self.sent: dict[str, float] = {}
        self.answers: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._entries = itertools.cycle(site.entries)

    async def run(self) -> None:
        for number in range(int(HOT_PER_S * HOT_S)):
            task = asyncio.create_task(self._ask(f'q{number}', next(self._entries)))
            self._tasks.add(task)
            await asyncio.sleep(1 / HOT_PER_S)
        await asyncio.gather(*self._tasks)

    async def _ask(self, request_id: str, entry: standins.Entry) -> None:
        record = self.site.record
        try:
            async with asyncio.timeout(4):
                reader, writer = await asyncio.open_connection(entry.ip, entry.front)
                rows = (
                    f'POST /once/{request_id} HTTP/1.1', 'Host: h.example', f'X-Tallyhall-Request-Id: {request_id}',
                    'X-Tallyhall-Deadline-Ms: 3000', f'X-Tallyhall-Token-Counts: {PROMPT_TOKENS},{OUTPUT_TOKENS}',
                    'Authorization: Bearer key-a', 'Content-Length: 0', 'Connection: close', '', '',
                )
                writer.write('\r\n'.join(rows).encode())
                self.sent[request_id] = record.now()
                record.line(f'client sent {request_id} to {entry.name}')
                try:
                    first, headers = await standins.read_head(reader)
                    await standins.read_body(reader, headers)
                finally:
                    writer.close()
                answer = first.split(' ')[1]
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            answer = type(exc).__name__
        self.answers[request_id] = answer
        record.line(f'client got {answer} for {request_id}')


async def play(site: standins.Site) -> int:
    await site.open(STATE)
    for _ in range(6):
        await site.add_engine('app', 0.05, 6)
    for entry in site.entries:
        await entry.start()
    if not await site.until_ready():
        return 2
    # Processes that have run for a whole window know all use within it.
    await asyncio.sleep(WINDOW_S + 2)
    tenant = Tenant(site)
    task = asyncio.create_task(tenant.run())
    while len(tenant.sent) < KILL_AFTER:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    if HAS_TROUBLE:
        await kill_all(site)
    await task
    return judge(site, tenant)


async def kill_all(site: standins.Site) -> None:
    """Kill all processes at the same moment; the platform starts them again."""
    site.record.line('SIGKILL to all processes')
    for entry in site.entries:
        entry.send(signal.SIGKILL)
    for entry in site.entries:
        await entry.wait()
    await asyncio.sleep(RESTART_S)
    for entry in site.entries:
        await entry.start()
    site.record.line('all processes started again')


def judge(site: standins.Site, tenant: Tenant) -> int:
    """Sum the tokens that were both sent and run in any window."""
    runs = sorted((run.at, tenant.sent[run.id], run.tokens) for run in site.runs)
    most = 0
    for start in [sent for _, sent, _ in runs]:
        inside = [tokens for at, sent, tokens in runs if start <= sent and at <= start + WINDOW_S]
        most = max(most, sum(inside))
    counts = {answer: list(tenant.answers.values()).count(answer) for answer in set(tenant.answers.values())}
    site.record.line(f'answers: {counts}')
    site.record.line(f'most tokens in {WINDOW_S} s: {most}; the rule allows {LIMIT:.0f}')
    return 1 if most > LIMIT else 0


async def main() -> int:
    record = standins.Record(HERE / 'record.txt')
    record.line(f'trouble: {HAS_TROUBLE}')
    site = standins.Site(record, INSTANCES)
    try:
        async with asyncio.timeout(100):
            return await play(site)
    except (OSError, RuntimeError, TimeoutError) as exc:
        record.line(f'could not run: {exc!r}')
        return 2
    finally:
        await site.close()


sys.exit(asyncio.run(main()))
