"""The waiting jobs: by tier, then by weighted share, then by deadline.

Within a tier each workspace has a virtual time that grows by tokens over
weight with each permit; the workspace that is furthest behind goes next. One
that returns from idling starts at the present minimum, so that it cannot save
up its share.
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
        """Start empty."""
        self._ranks: dict[int, _Queues] = {}
        self._jobs: dict[str, Job] = {}
        self._spent: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over all jobs, highest tier first."""
        for rank in sorted(self._ranks):
            for jobs in self._ranks[rank].values():
                yield from jobs

    def get(self, request_id: str) -> Job | None:
        """Return the waiting job of this id."""
        return self._jobs.get(request_id)

    def push(self, job: Job) -> None:
        """Add a job; its id must not be waiting."""
        workspace = job.ask.workspace
        queues = self._ranks.setdefault(job.rank, {})
        if workspace not in queues:
            self._join(workspace)
        jobs = queues.setdefault(workspace, [])
        bisect.insort(jobs, job, key=_by_deadline)
        self._jobs[job.ask.id] = job

    def remove(self, request_id: str) -> Job | None:
        """Take a job out, if it waits."""
        job = self._jobs.pop(request_id, None)
        if job is None:
            return None
        queues = self._ranks[job.rank]
        queues[job.ask.workspace].remove(job)
        if not queues[job.ask.workspace]:
            queues.pop(job.ask.workspace)
        if not queues:
            self._ranks.pop(job.rank)
        return job

    def turns(
        self,
        has_room: Callable[[str], bool],
        most: int,
    ) -> Iterator[list[Job]]:
        """Yield each workspace's next jobs, `most` of them, in their order."""
        for rank in sorted(self._ranks):
            queues = self._ranks[rank]
            order = sorted(queues, key=self._spent.__getitem__)
            for workspace in order:
                if has_room(workspace):
                    yield queues[workspace][:most]

    def charge(self, job: Job, weight: float) -> None:
        """Charge a permitted job to its workspace."""
        self._spent[job.ask.workspace] += job.cost / weight

    def above(self, job: Job) -> list[Job]:
        """Return the jobs of higher tiers than this job's."""
        return [other for other in self if other.rank < job.rank]

    def beside(self, job: Job) -> dict[str, list[Job]]:
        """Return the jobs of the same tier by workspace."""
        return self._ranks.get(job.rank, {})

    def below(self, rank: int) -> list[Job]:
        """Return the jobs of lower tiers than this rank."""
        return [job for job in self if job.rank > rank]

    def _join(self, workspace: str) -> None:
        active = {name for queues in self._ranks.values() for name in queues}
        floor = min(
            (self._spent[name] for name in active if name in self._spent),
            default=0,
        )
        self._spent[workspace] = max(self._spent.get(workspace, 0), floor)
