"""`make run`: the whole path once, on real processes.

Three entry instances, stand-ins for the platform and the upstreams, a mixed
burst from several workspaces; prints goodput by tier, refusals by reason and
wasted prefill, and checks that nothing was lost or doubled.
"""

from __future__ import annotations

import sys

from tallyhall_client.client import Client

from .checks import all_checks
from .fleet import Fleet, FleetSpec, UpstreamSpec
from .load import run_plan
from .summary import summarise, summary_lines
from .tables import TIER_WEIGHTS, usual_table
from .workloads import WORKSPACES, mixed_burst

_REQUESTS = 240
_OVER_S = 8.0
_SEED = 7


def usual_upstreams() -> tuple[UpstreamSpec, ...]:
    """Return today's deployment: 9 unlike engines and 4 service instances."""
    speeds = (1.0, 1.0, 1.0, 0.8, 0.8, 0.6, 0.6, 0.5, 0.4)
    engines = tuple(
        UpstreamSpec('ledger', 'engine', f'engine-{number}', {'speed': speed})
        for number, speed in enumerate(speeds, 1)
    )
    services = tuple(
        UpstreamSpec('tags', 'plain', f'tags-{number}')
        for number in range(1, 5)
    )
    return engines + services


def main() -> int:
    """Run and return the exit code: 0 unless a promise was broken."""
    spec = FleetSpec(3, usual_upstreams(), usual_table(WORKSPACES))
    plan = mixed_burst(_SEED, _REQUESTS, _OVER_S)
    with Fleet(spec) as fleet:
        done = run_plan(plan, Client(fleet.seeds, 'first-run'))
        counts = fleet.all_counts()
    for line in summary_lines(summarise(done, dict(TIER_WEIGHTS), counts)):
        sys.stdout.write(f'{line}\n')
    violations = all_checks(done, counts, len(plan))
    for violation in violations:
        sys.stdout.write(f'VIOLATION {violation.promise}: {violation.detail}\n')
    sys.stdout.write(
        f'requests {len(plan)} ended {len(done)} '
        f'violations {len(violations)}\n',
    )
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
