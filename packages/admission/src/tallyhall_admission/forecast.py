"""Wait time forecasts on which refusals and revocations are based.

The owner knows the queue and the running requests exactly; run times are
estimates. Without samples the estimates are 0, so that no request is refused
before its upstreams are known to be too slow.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from .jobs import Grant, Job
from .run_time import ServiceRunTimes
from .waiting import WaitingJobs

# A waiting job is urgent once the expected wait exceeds this share of its
# slack.
_URGENT_SHARE = 0.5


def wait_seconds(
    job: Job,
    waiting: WaitingJobs,
    grants: Collection[Grant],
    run_times: ServiceRunTimes,
    weight: Callable[[str], float],
) -> float:
    """Return the expected wait of a job that is queued now.

    The work ahead is that of all higher tiers plus, of its own tier, the
    smaller of two amounts: all work, or the work of its own workspace divided
    by the workspace's weighted share among the waiting workspaces.
    """
    if not run_times.slots:
        return 0
    run = run_times.mean.expected_run_s
    work_ahead_s = sum(run(other) for other in waiting.in_higher_tiers(job))
    same_tier_s = {
        name: sum(run(other) for other in jobs)
        for name, jobs in waiting.in_same_tier(job).items()
    }
    names = same_tier_s.keys() | {job.ask.workspace}
    share = weight(job.ask.workspace) / sum(weight(name) for name in names)
    own_work_s = same_tier_s.get(job.ask.workspace, 0)
    work_ahead_s += min(sum(same_tier_s.values()), own_work_s / share)
    if run_times.free_slots and not work_ahead_s:
        return 0
    remaining_s = sum(run(grant.job) for grant in grants) / 2
    next_free = remaining_s / max(len(grants), 1) / run_times.slots
    return work_ahead_s / run_times.slots + next_free


def urgent_jobs(
    waiting: WaitingJobs,
    run_times: ServiceRunTimes,
    now: float,
) -> list[Job]:
    """Return the jobs that would be late unless slots are freed for them."""
    if not run_times.slots:
        return []
    urgent = []
    work_ahead_s: float = 0
    for job in waiting:
        work_ahead_s += run_times.mean.expected_run_s(job)
        slack = job.deadline - now - run_times.fastest.expected_run_s(job)
        if work_ahead_s / run_times.slots > slack * _URGENT_SHARE:
            urgent.append(job)
    return urgent


def cheapest_victim(
    grants: Iterable[Grant],
    rank: int,
    upstreams: set[str],
) -> Grant | None:
    """Return the running lower-tier job that is cheapest to revoke.

    Ordered by lowest tier, then idempotent jobs, then least prompt
    computation. Jobs on upstreams that are not in `upstreams` are skipped,
    since their slots could not be used for new requests.
    """
    best: Grant | None = None
    for grant in grants:
        if grant.revoked or grant.job.rank <= rank:
            continue
        if grant.upstream not in upstreams:
            continue
        if best is None or _revocation_cost(grant) < _revocation_cost(best):
            best = grant
    return best


def _revocation_cost(grant: Grant) -> tuple[int, bool, int]:
    return (
        -grant.job.rank,
        not grant.job.ask.idempotent,
        grant.uncached_tokens,
    )
