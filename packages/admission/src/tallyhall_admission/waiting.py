"""Queue ordered by tier, then by weighted fair share, then by deadline.

Within a tier each workspace has a virtual time that advances with each permit
by the job's tokens divided by the workspace's weight; the workspace with the
lowest virtual time is next. A workspace that was idle starts at the current
minimum, so that it cannot accumulate unused share.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterator

from .jobs import Job

_Queues = dict[str, list[Job]]


def _by_deadline(job: Job) -> float:
    return job.deadline


class WaitingJobs:
    """All waiting jobs of one service."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._queues_by_rank: dict[int, _Queues] = {}
        self._jobs: dict[str, Job] = {}
        self._virtual_time: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over all jobs, the highest tier first."""
        for rank in sorted(self._queues_by_rank):
            for jobs in self._queues_by_rank[rank].values():
                yield from jobs

    def get(self, request_id: str) -> Job | None:
        """Return the waiting job with this id."""
        return self._jobs.get(request_id)

    def push(self, job: Job) -> None:
        """Add a job; its id must not be in the queue."""
        workspace = job.ask.workspace
        queues = self._queues_by_rank.setdefault(job.rank, {})
        if workspace not in queues:
            self._activate(workspace)
        jobs = queues.setdefault(workspace, [])
        bisect.insort(jobs, job, key=_by_deadline)
        self._jobs[job.ask.id] = job

    def remove(self, request_id: str) -> Job | None:
        """Remove and return a job, if it is in the queue."""
        job = self._jobs.pop(request_id, None)
        if job is None:
            return None
        queues = self._queues_by_rank[job.rank]
        queues[job.ask.workspace].remove(job)
        if not queues[job.ask.workspace]:
            queues.pop(job.ask.workspace)
        if not queues:
            self._queues_by_rank.pop(job.rank)
        return job

    def next_by_workspace(
        self,
        has_capacity: Callable[[str], bool],
        count: int,
    ) -> Iterator[list[Job]]:
        """Yield the next `count` jobs of each workspace, in fair order."""
        for rank in sorted(self._queues_by_rank):
            queues = self._queues_by_rank[rank]
            order = sorted(queues, key=self._virtual_time.__getitem__)
            for workspace in order:
                if has_capacity(workspace):
                    yield queues[workspace][:count]

    def charge(self, job: Job, weight: float) -> None:
        """Advance the virtual time of a permitted job's workspace."""
        self._virtual_time[job.ask.workspace] += job.cost / weight

    def in_higher_tiers(self, job: Job) -> list[Job]:
        """Return the jobs of higher tiers than that of this job."""
        return [other for other in self if other.rank < job.rank]

    def in_same_tier(self, job: Job) -> dict[str, list[Job]]:
        """Return the jobs of the same tier as this job, by workspace."""
        return self._queues_by_rank.get(job.rank, {})

    def in_lower_tiers(self, rank: int) -> list[Job]:
        """Return the jobs of lower tiers than this rank."""
        return [job for job in self if job.rank > rank]

    def _activate(self, workspace: str) -> None:
        active = {
            name for queues in self._queues_by_rank.values() for name in queues
        }
        floor = min(
            (
                self._virtual_time[name]
                for name in active
                if name in self._virtual_time
            ),
            default=0,
        )
        self._virtual_time[workspace] = max(
            self._virtual_time.get(workspace, 0), floor
        )
