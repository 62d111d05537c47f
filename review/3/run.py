"""Clients send large bodies within the operator's limit; one tenant turns hot.

See claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case could
not run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The memory of a front machine of the site, in MB, and how often it is read.
MEMORY_MB = 150
POLL_S = 0.02
RESTART_S = 0.5
# What the operator lets a client send, as in `fleetbench wire`.
MAX_BODY_BYTES = 4_194_304
INSTANCES = 3
# Usual clients of each tenant; each sends one request after the other.
CLIENTS = {'tenant-a': 3, 'tenant-b': 3, 'tenant-c': 2}
# The largest dose of `hot_tenant` in the site file: 7.5 times the traffic of one
# tenant for 6.5 s.
HOT_TENANT = 'tenant-a'
HOT = 7.5
HOT_S = 6.5
HOT_AT = (4.0, 16.0, 28.0, 40.0)
LENGTH_S = 52.0
WORK_S = 0.2
PAUSE_S = 0.05
# A process ends by itself so often on so many machines if the rule is broken.
ENDS = 3
MACHINES = 2
BODY = bytes(1_572_864)
STATE = {
    'version': 3,
    'routes': [
        {
            'name': 'r-once', 'host': 'h.example', 'prefix': '/once/', 'kind': 'non_idempotent',
            'timeout-ms': 5000, 'slo-ms': 1000, 'priority': 1, 'service': 'app', 'attempts': 1,
            'public': False, 'sticky': False, 'resumable': False,
        },
    ],
    'services': [{'name': 'app', 'health-path': '/health', 'max-conns': 100, 'protocol': 'h1', 'tls': False}],
    'limits': {
        'max-header-bytes': 16384, 'max-body-bytes': MAX_BODY_BYTES, 'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
    'tenants': [{'name': name, 'api-keys': [f'key-{name}'], 'priority': 1} for name in CLIENTS],
}


def anonymous_mb(pid: int) -> float:
    """Return the memory of a process without what it maps from files."""
    try:
        for row in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
            if row.startswith('RssAnon:'):
                return int(row.split()[1]) * 1024 / 1_000_000
    except OSError:
        pass
    return 0


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, site: standins.Site) -> None:
        self.site = site
        self.ends = {entry.name: 0 for entry in site.entries}
        self.most = {entry.name: 0.0 for entry in site.entries}

    async def watch(self, entry: standins.Entry) -> None:
        record = self.site.record
        while True:
            await asyncio.sleep(POLL_S)
            assert entry.process is not None
            size = anonymous_mb(entry.process.pid)
            self.most[entry.name] = max(self.most[entry.name], size)
            if size > MEMORY_MB:
                record.line(f'{entry.name} holds {size:.0f} MB of {MEMORY_MB}: killed')
                entry.send(signal.SIGKILL)
            if entry.process.returncode is None and size <= MEMORY_MB:
                continue
            code = await entry.wait()
            self.ends[entry.name] += 1
            record.line(f'{entry.name} ended with {code}, end {self.ends[entry.name]}')
            await asyncio.sleep(RESTART_S)
            await entry.start()


class Clients:
    """Clients that each send one request after the other."""

    def __init__(self, site: standins.Site) -> None:
        self.site = site
        self.counts: dict[str, int] = {}
        self._rng = random.Random(1)
        self._numbers = 0

    async def run(self, tenant: str, ends_at: float) -> None:
        while self.site.record.now() < ends_at:
            await self._ask(tenant, self._rng.choice(self.site.entries))
            await asyncio.sleep(PAUSE_S)

    async def _ask(self, tenant: str, entry: standins.Entry) -> None:
        self._numbers += 1
        request_id = f'q{self._numbers}'
        rows = (
            f'POST /once/{request_id} HTTP/1.1', 'Host: h.example', f'X-Tallyhall-Request-Id: {request_id}',
            'X-Tallyhall-Deadline-Ms: 5000', f'Authorization: Bearer key-{tenant}', f'Content-Length: {len(BODY)}',
            'Connection: close', '', '',
        )
        answer = ''
        try:
            async with asyncio.timeout(6):
                reader, writer = await asyncio.open_connection(entry.ip, entry.front)
                try:
                    writer.write('\r\n'.join(rows).encode())
                    writer.write(BODY)
                    await writer.drain()
                    first, headers = await standins.read_head(reader)
                    await standins.read_body(reader, headers)
                finally:
                    writer.transport.abort()
                answer = first.split(' ')[1]
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            answer = type(exc).__name__
            await asyncio.sleep(0.3)
        self.counts[answer] = self.counts.get(answer, 0) + 1
        self.site.record.line(f'{request_id} to {entry.name}: {answer}')
        if answer in {'503', '429'}:
            await asyncio.sleep(float(headers.get('retry-after', '0.5')))


async def play(site: standins.Site) -> int:
    await site.open(STATE)
    for _ in range(6):
        await site.add_engine('app', WORK_S, 6)
    for entry in site.entries:
        await entry.start()
    if not await site.until_ready():
        return 2
    await asyncio.sleep(1)
    platform = Platform(site)
    watches = [asyncio.create_task(platform.watch(entry)) for entry in site.entries]
    clients = Clients(site)
    began_at = site.record.now()
    tasks = [
        asyncio.create_task(clients.run(tenant, began_at + LENGTH_S))
        for tenant, count in CLIENTS.items()
        for _ in range(count)
    ]
    for at in HOT_AT if HAS_TROUBLE else ():
        await asyncio.sleep(max(0, began_at + at - site.record.now()))
        more = int(CLIENTS[HOT_TENANT] * (HOT - 1))
        site.record.line(f'{HOT_TENANT} has {more} clients more for {HOT_S} s')
        ends_at = site.record.now() + HOT_S
        tasks += [asyncio.create_task(clients.run(HOT_TENANT, ends_at)) for _ in range(more)]
    await asyncio.gather(*tasks)
    for watch in watches:
        watch.cancel()
    site.record.line(f'answers: {clients.counts}')
    site.record.line(f'most memory in MB: {platform.most}; ends: {platform.ends}')
    broken = sum(ends >= ENDS for ends in platform.ends.values()) >= MACHINES
    return 1 if broken else 0


async def main() -> int:
    record = standins.Record(HERE / 'record.txt')
    record.line(f'trouble: {HAS_TROUBLE}')
    site = standins.Site(record, INSTANCES)
    try:
        async with asyncio.timeout(110):
            return await play(site)
    except (OSError, RuntimeError, TimeoutError) as exc:
        record.line(f'could not run: {exc!r}')
        return 2
    finally:
        await site.close()


sys.exit(asyncio.run(main()))
