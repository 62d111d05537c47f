"""Forecasts that decide what waits, what is refused and what is stopped.

All take the owner's exact knowledge of queue and running work; the speeds
are learned. Unknown speeds forecast zero, so that nothing is refused before
there is evidence for it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .jobs import Grant, Job
from .upstream import Upstream
from .waiting import WaitingJobs

# A waiting job counts as urgent once less than this share of its slack is
# left for waiting on its own.
_URGENT_SHARE = 0.5


def run_seconds(job: Job, upstreams: list[Upstream]) -> float:
    """Return the expected run time of a job on the fastest upstream."""
    ask = job.ask
    best: float = 0
    for number, upstream in enumerate(upstreams):
        cached = upstream.cache.cached_tokens(ask.prefixes)
        computed = max(0, ask.prompt_tokens - cached)
        seconds = upstream.speed.run(computed, job.output)
        if number == 0 or seconds < best:
            best = seconds
    return best


def idle_run_seconds(job: Job, upstreams: list[Upstream]) -> float:
    """Return the run time on the fastest upstream if it had little else."""
    ask = job.ask
    return min(
        (
            up.speed.idle_run(
                ask.prompt_tokens - up.cache.cached_tokens(ask.prefixes),
                job.output,
            )
            for up in upstreams
        ),
        default=0,
    )


def mean_run_seconds(job: Job, upstreams: list[Upstream]) -> float:
    """Return the expected run time of a job on a middling upstream."""
    total = sum(
        upstream.speed.run(job.ask.prompt_tokens, job.output)
        for upstream in upstreams
    )
    return total / max(len(upstreams), 1)


def wait_seconds(
    job: Job,
    waiting: WaitingJobs,
    grants: Iterable[Grant],
    upstreams: list[Upstream],
    weight: Callable[[str], float],
) -> float:
    """Return how long a job would wait if it joined the queue now.

    The work ahead is all of the higher tiers, and of its own tier either
    everything or, if that is less, its own workspace's work scaled up by the
    share that the workspace has among those waiting.
    """
    slots = sum(up.limit.slots for up in upstreams)
    free = sum(up.free() for up in upstreams)
    if not slots:
        return 0
    ahead = sum(
        mean_run_seconds(other, upstreams) for other in waiting.above(job)
    )
    beside = waiting.beside(job)
    same = {
        name: sum(mean_run_seconds(other, upstreams) for other in jobs)
        for name, jobs in beside.items()
    }
    names = same.keys() | {job.ask.workspace}
    share = weight(job.ask.workspace) / sum(weight(name) for name in names)
    own = same.get(job.ask.workspace, 0)
    ahead += min(sum(same.values()), own / share)
    if free and not ahead:
        return 0
    residual = [mean_run_seconds(grant.job, upstreams) / 2 for grant in grants]
    next_free = sum(residual) / len(residual) / slots if residual else 0
    return ahead / slots + next_free


def urgent_jobs(
    waiting: WaitingJobs,
    upstreams: list[Upstream],
    now: float,
) -> list[Job]:
    """Return the waiting jobs that cannot wait for room to come by itself."""
    slots = sum(up.limit.slots for up in upstreams)
    if not slots:
        return []
    urgent = []
    ahead: float = 0
    for job in waiting:
        run = mean_run_seconds(job, upstreams)
        ahead += run
        slack = job.deadline - now - run_seconds(job, upstreams)
        if ahead / slots > slack * _URGENT_SHARE:
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
