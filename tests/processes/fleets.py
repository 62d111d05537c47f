"""Small fleets for tests with processes."""

import threading
from collections.abc import Iterator
from concurrent import futures
from contextlib import contextmanager

from tallyhall_bench.checks import Violation, all_checks
from tallyhall_bench.fleet import Fleet, FleetSpec, UpstreamSpec
from tallyhall_bench.load import DoneCall, PlannedCall, run_plan
from tallyhall_bench.tables import usual_table
from tallyhall_bench.workloads import WORKSPACES
from tallyhall_client.client import Client

FAST = '[times]\nlocate_s = 1.0\nwindow_s = 20\n'


def small_spec(instances: int = 3, engines: int = 3) -> FleetSpec:
    """Return a few instances before a few engines and plain services."""
    upstreams = [
        UpstreamSpec('ledger', 'engine', f'engine-{number}', {'speed': 2})
        for number in range(1, engines + 1)
    ]
    upstreams += [
        UpstreamSpec('tags', 'plain', f'tags-{number}') for number in (1, 2)
    ]
    return FleetSpec(
        instances,
        tuple(upstreams),
        usual_table(WORKSPACES),
        settings=FAST,
    )


@contextmanager
def loaded(
    fleet: Fleet,
    plan: list[PlannedCall],
) -> Iterator[list[DoneCall]]:
    """Run a plan beside the body; the list is filled at the end."""
    done: list[DoneCall] = []
    started = threading.Event()
    client = Client(fleet.seeds, 'test')
    with futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(run_plan, plan, client, started)
        started.wait()
        yield done
        done.extend(fut.result())


def violations(
    fleet: Fleet,
    done: list[DoneCall],
    plan: list[PlannedCall],
) -> list[Violation]:
    """Run all checkers."""
    return all_checks(done, fleet.all_counts(), len(plan))


def count_answered(done: list[DoneCall]) -> int:
    """Return how many requests got a whole answer."""
    return sum(one.outcome.verdict == 'answered' for one in done)


def reasons(done: list[DoneCall]) -> set[str]:
    """Return the ends that requests came to."""
    return {one.outcome.reason for one in done}
