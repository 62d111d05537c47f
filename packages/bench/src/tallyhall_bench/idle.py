"""What instances cost that serve nobody, by the size of the fleet.

Real processes at rest: processor time, resident memory, calls to the
key-value service. Prints one JSON line a size.
"""

from __future__ import annotations

import json
import sys
import time

from .fleet import Fleet, FleetSpec, UpstreamSpec
from .process_use import cpu_s, resident_mb
from .tables import usual_table

_SIZES = (3, 6, 12, 24)
_SETTLE_S = 6.0
_OVER_S = 10.0


def main() -> int:
    """Measure every size."""
    upstreams = (
        UpstreamSpec('ledger', 'engine', 'engine-1'),
        UpstreamSpec('tags', 'plain', 'tags-1'),
    )
    for size in _SIZES:
        spec = FleetSpec(size, upstreams, usual_table(('foundry',)))
        with Fleet(spec) as fleet:
            time.sleep(_SETTLE_S)
            _measure(fleet, size)
    return 0


def _measure(fleet: Fleet, size: int) -> None:
    pids = [member.process.pid for member in fleet.instances.values()]
    calls = sum(fleet.counts('kv').values())
    before = [cpu_s(pid) for pid in pids]
    time.sleep(_OVER_S)
    shares = [
        100 * (cpu_s(pid) - start) / _OVER_S
        for pid, start in zip(pids, before, strict=True)
    ]
    line = {
        'instances': size,
        'core_percent_mean': round(sum(shares) / size, 2),
        'core_percent_most': round(max(shares), 2),
        'resident_mb_mean': round(sum(map(resident_mb, pids)) / size, 1),
        'kv_calls_per_s': round(
            (sum(fleet.counts('kv').values()) - calls) / _OVER_S,
            2,
        ),
    }
    sys.stdout.write(f'{json.dumps(line)}\n')


if __name__ == '__main__':
    sys.exit(main())
