"""`make run-platform`: three entry processes on stand-ins of the platform.

Prints by route what was asked, served and refused, and the time to whole
answers, and checks that nothing ran twice that must not.
"""

from __future__ import annotations

import asyncio
import collections
import random
import statistics
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from tallyhall_standins.platform_engine import HEALTH_PATH

from .platform_fleet import PlatformFleet, platform_fleet
from .platform_load import KEY, SITE, Caller, Tried

_REQUESTS = 600
_OVER_S = 8.0
_SEED = 7
_EVENTS = 12
# Seconds between two events of the nine engines.
_PACES = (0.004, 0.004, 0.004, 0.008, 0.008, 0.012, 0.012, 0.02, 0.02)
_ROUTES = ('summary', 'note', 'once', 'safe')
STREAMED = frozenset(('summary', 'note'))
_OK = 200


def usual_state(version: int = 1) -> dict[str, Any]:
    """Return a desired state with two streamed and two plain routes."""
    return {
        'version': version,
        'routes': [
            stream_route('summary', 'engines'),
            _route('note', 'streaming', 'engines', attempts=1, priority=1),
            _route('once', 'non_idempotent', 'app', attempts=1),
            _route('safe', 'safe', 'app'),
        ],
        'services': [
            service('engines', engine={'stride': 3}),
            service('app'),
        ],
        'tenants': [{'name': 'shop', 'api-keys': [KEY], 'unit': 'tokens'}],
    }


def doubled(fleet: PlatformFleet, route: str) -> list[str]:
    """Return the ids of a route that ran more than once."""
    ran = collections.Counter(
        seen.request_id
        for engine in fleet.engines
        for seen in engine.ran
        if seen.target.startswith(f'/{route}/')
    )
    return [request_id for request_id, times in ran.items() if times > 1]


def whole_stream(events: int) -> bytes:
    """Return the body of a whole stream."""
    return b''.join(
        b'id: %d\ndata: t%d\n\n' % (number, number)
        for number in range(1, events + 1)
    )


def service(name: str, **changes: Any) -> dict[str, Any]:
    """Return a service as the platform encodes it."""
    return {
        'name': name,
        'health-path': HEALTH_PATH,
        'max-conns': 100,
    } | changes


def stream_route(name: str, service: str) -> dict[str, Any]:
    """Return a route whose streams may go on elsewhere."""
    return _route(name, 'streaming', service, resumable=True)


def plain_route(name: str, service: str) -> dict[str, Any]:
    """Return a route whose requests may run more than once."""
    return _route(name, 'safe', service, attempts=3)


def _route(
    name: str,
    kind: str,
    service: str,
    **changes: Any,
) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'name': name,
        'host': SITE,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout-ms': 8000,
        'slo-ms': 800,
        'priority': 0,
        'attempts': 2,
        'gap-target-ms': 400,
    }
    return fields | changes


async def _run() -> int:
    rng = random.Random(_SEED)
    async with platform_fleet(3, usual_state()) as fleet:
        for number, pace in enumerate(_PACES, 1):
            await fleet.add_engine(
                f'engine-{number}',
                'engines',
                4,
                events=_EVENTS,
                event_s=pace,
            )
        for number in range(1, 5):
            await fleet.add_engine(f'app-{number}', 'app', 6)
        await fleet.until_ready()
        tries = await _load(fleet, rng)
        twice = doubled(fleet, 'once')
    for line in _table(tries):
        sys.stdout.write(f'{line}\n')
    joined = _wrong_streams(tries)
    sys.stdout.write(
        f'requests {len(tries)} ran twice {len(twice)} '
        f'wrong streams {len(joined)}\n',
    )
    return 1 if twice or joined else 0


async def _load(fleet: PlatformFleet, rng: random.Random) -> list[Tried]:
    callers = [Caller(rng) for _ in range(_REQUESTS)]
    work = []
    for number in range(_REQUESTS):
        entry = rng.choice(fleet.entries)
        route = rng.choice(_ROUTES)
        work.append(
            asyncio.create_task(
                callers[number].ask(
                    entry.name,
                    entry.front,
                    route,
                    f'r{number}',
                    streams=route in STREAMED,
                ),
            ),
        )
        await asyncio.sleep(rng.expovariate(_REQUESTS / _OVER_S))
    return list(await asyncio.gather(*work))


def _wrong_streams(tries: Sequence[Tried]) -> list[str]:
    expected = whole_stream(_EVENTS)
    wrong = []
    for one in tries:
        if one.status != _OK or one.route not in STREAMED:
            continue
        if one.whole and one.body != expected:
            wrong.append(one.request_id)
    return wrong


def _table(tries: Sequence[Tried]) -> list[str]:
    lines = ['route     asked  served refused  failed  p50 ms  p99 ms']
    grouped: Mapping[str, list[Tried]] = collections.defaultdict(list)
    for one in tries:
        grouped[one.route].append(one)
    for route, group in sorted(grouped.items()):
        served = [tried for tried in group if is_served(tried)]
        refused = sum(tried.status in {429, 503} for tried in group)
        times = sorted(tried.total_s * 1000 for tried in served) or [0]
        failed = len(group) - len(served) - refused
        lines.append(
            f'{route:9} {len(group):5} {len(served):7} {refused:7} '
            f'{failed:7} {statistics.median(times):7.0f} '
            f'{times[int(len(times) * 0.99)]:7.0f}',
        )
    return lines


def is_served(tried: Tried) -> bool:
    """Return whether a caller got a whole answer."""
    return tried.status == _OK and tried.whole


def main() -> int:
    """Run and return the exit code: 0 unless a promise was broken."""
    return asyncio.run(_run())


if __name__ == '__main__':
    sys.exit(main())
