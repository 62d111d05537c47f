"""Forecasts that decide what waits, what is refused and what is stopped.

All take the owner's exact knowledge of queue and running work; the speeds
are learned. Unknown speeds forecast zero, so that nothing is refused before
there is evidence for it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from .jobs import Grant, Job
from .pace import Paces
from .waiting import WaitingJobs

# A waiting job counts as urgent once less than this share of its slack is
# left for waiting on its own.
_URGENT_SHARE = 0.5


def wait_seconds(
    job: Job,
    waiting: WaitingJobs,
    grants: Collection[Grant],
    paces: Paces,
    weight: Callable[[str], float],
) -> float:
    """Return how long a job would wait if it joined the queue now.

    The work ahead is all of the higher tiers, and of its own tier either
    everything or, if that is less, its own workspace's work scaled up by the
    share that the workspace has among those waiting.
    """
    if not paces.slots:
        return 0
    run = paces.mean.run
    ahead = sum(run(other) for other in waiting.above(job))
    same = {
        name: sum(run(other) for other in jobs)
        for name, jobs in waiting.beside(job).items()
    }
    names = same.keys() | {job.ask.workspace}
    share = weight(job.ask.workspace) / sum(weight(name) for name in names)
    own = same.get(job.ask.workspace, 0)
    ahead += min(sum(same.values()), own / share)
    if paces.free and not ahead:
        return 0
    residual = sum(run(grant.job) for grant in grants) / 2
    next_free = residual / max(len(grants), 1) / paces.slots
    return ahead / paces.slots + next_free


def urgent_jobs(
    waiting: WaitingJobs,
    paces: Paces,
    now: float,
) -> list[Job]:
    """Return the waiting jobs that cannot wait for room to come by itself."""
    if not paces.slots:
        return []
    urgent = []
    ahead: float = 0
    for job in waiting:
        ahead += paces.mean.run(job)
        slack = job.deadline - now - paces.fastest.run(job)
        if ahead / paces.slots > slack * _URGENT_SHARE:
            urgent.append(job)
    return urgent


def cheapest_victim(
    grants: Iterable[Grant],
    rank: int,
    upstreams: set[str],
) -> Grant | None:
    """Return the running lower-tier job whose loss costs least.

    The lowest tier goes first, then idempotent ones, then the least prompt
    work. Work on an upstream that takes no new work frees no usable room.
    """
    best: Grant | None = None
    for grant in grants:
        if grant.revoked or grant.job.rank <= rank:
            continue
        if grant.upstream not in upstreams:
            continue
        if best is None or _loss(grant) < _loss(best):
            best = grant
    return best


def _loss(grant: Grant) -> tuple[int, bool, int]:
    return (
        -grant.job.rank,
        not grant.job.ask.idempotent,
        grant.lost_tokens,
    )
