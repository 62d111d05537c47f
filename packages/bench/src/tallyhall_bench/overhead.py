"""What tallyhall adds to a request over calling the engine directly.

The same plan goes straight to one engine and then through one instance, at
a steady rate and at saturation. Processor time is read from /proc for the
instance alone; latency is the time to the first token and to the end.
"""

from __future__ import annotations

import json
import random
import sys
import time
from concurrent import futures

import urllib3
from tallyhall_client.client import Client

from .fleet import Fleet, FleetSpec, UpstreamSpec
from .load import PlannedCall, run_plan, text_of
from .process_use import cpu_s
from .summary import Quantiles, quantiles
from .tables import usual_table

_RATE = 50
_OVER_S = 10
_SATURATION = 4
_WORKERS = 600


def main() -> int:
    """Measure and print one JSON line a case."""
    engines = tuple(
        UpstreamSpec('ledger', 'engine', f'engine-{number}', {'speed': 8})
        for number in range(1, 4)
    )
    spec = FleetSpec(1, engines, usual_table(('foundry',)))
    for rate in (_RATE, _RATE * _SATURATION):
        _measure(spec, rate)
    return 0


def _measure(spec: FleetSpec, rate: int) -> None:
    plan = _plan(rate)
    with Fleet(spec) as fleet:
        targets = [up.address for up in fleet.upstreams.values()]
        direct = _direct(plan, targets)
        pid = next(iter(fleet.instances.values())).process.pid
        before = cpu_s(pid)
        done = run_plan(plan, Client(fleet.seeds, 'cost'))
        spent = cpu_s(pid) - before
    answered = [one for one in done if one.outcome.verdict == 'answered']
    _print_case(
        rate,
        direct,
        quantiles([one.outcome.total_s for one in answered]),
    )
    line = {
        'rate': rate,
        'answered': len(answered),
        'of': len(done),
        'cpu_ms_a_request': round(1000 * spent / len(done), 2),
    }
    sys.stdout.write(f'{json.dumps(line)}\n')


def _print_case(rate: int, direct: Quantiles, through: Quantiles) -> None:
    line = {
        'rate': rate,
        'direct_p50_s': direct.p50,
        'direct_p99_s': direct.p99,
        'through_p50_s': through.p50,
        'through_p99_s': through.p99,
        'added_p50_ms': round(1000 * (through.p50 - direct.p50), 1),
        'added_p99_ms': round(1000 * (through.p99 - direct.p99), 1),
    }
    sys.stdout.write(f'{json.dumps(line)}\n')


def _plan(rate: int) -> list[PlannedCall]:
    rng = random.Random(rate)
    plan = []
    for number in range(rate * _OVER_S):
        prompt = text_of(f'{rate}-{number}', 60)
        plan.append(
            PlannedCall(
                rng.uniform(0, _OVER_S),
                'ledger',
                'model',
                'foundry',
                'desk',
                prompt,
                12,
                20,
            ),
        )
    return plan


def _direct(plan: list[PlannedCall], targets: list[str]) -> Quantiles:
    http = urllib3.PoolManager(retries=False, maxsize=_WORKERS)

    def send(number: int, call: PlannedCall) -> float:  # noqa: WPS430
        started = time.monotonic()
        fields = {
            'model': 'ledger',
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'stream': True,
        }
        target = targets[number % len(targets)]
        http.request(
            'POST',
            f'http://{target}/v1/completions',
            body=json.dumps(fields),
            headers={'x-request-id': f'direct-{number}'},
        )
        return time.monotonic() - started

    begin = time.monotonic()
    with futures.ThreadPoolExecutor(_WORKERS) as pool:
        futs = []
        ordered = sorted(plan, key=lambda call: call.at)
        for number, call in enumerate(ordered):
            time.sleep(max(0, begin + call.at - time.monotonic()))
            futs.append(pool.submit(send, number, call))
        return quantiles([fut.result() for fut in futs])


if __name__ == '__main__':
    sys.exit(main())
