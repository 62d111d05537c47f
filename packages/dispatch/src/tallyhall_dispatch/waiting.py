"""The queued jobs of one service, ordered by deadline.

In a large fleet, a saturated owner has some hundred queued jobs and a thousand
slots that become free per second, so the next jobs must be found without a scan
of the queue. There are two heaps per urgency: one for jobs that can be in time,
and one for jobs that are late or exceed their quota. Jobs that only one version
may run have heaps of their own, so that neither they nor the others wait behind
jobs whose upstreams are busy. Removed jobs are skipped when they reach the top
of a heap.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable, Iterator

from .jobs import Job

# Deadline of a job, serial number as a tie breaker, and key of the job.
_Entry = tuple[float, int, str]
# Urgency, and the only version that may run the jobs, None for any.
_Lane = tuple[int, str | None]


class WaitingJobs:
    """Queued jobs by urgency, with late and over-quota jobs kept apart."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._jobs: dict[str, Job] = {}
        self._in_time: dict[_Lane, list[_Entry]] = {}
        self._deferred: dict[_Lane, list[_Entry]] = {}
        self._serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued jobs."""
        return len(self._jobs)

    def all(self) -> Iterable[Job]:
        """Return all queued jobs."""
        return tuple(self._jobs.values())

    def get(self, key: str) -> Job | None:
        """Return a queued job, None if there is none with this key."""
        return self._jobs.get(key)

    def add(self, job: Job) -> None:
        """Add a job."""
        self._jobs[job.key] = job
        heaps = self._deferred if job.over_quota else self._in_time
        self._push(heaps, job)

    def remove(self, key: str) -> None:
        """Remove a job if it is queued."""
        self._jobs.pop(key, None)

    def remove_prefix(self, prefix: str) -> None:
        """Remove the jobs whose key has this prefix."""
        for key in tuple(self._jobs):
            if key.startswith(prefix):
                self._jobs.pop(key)

    def defer_late(self, is_late: Callable[[Job], bool]) -> None:
        """Move late jobs from the front of the queue behind all others."""
        for heap in self._in_time.values():
            while heap:
                job = self._jobs.get(heap[0][-1])
                if job is not None and not is_late(job):
                    break
                heapq.heappop(heap)
                if job is not None:
                    self._push(self._deferred, job)

    def urgencies(self, *, late: bool) -> list[int]:
        """Return the urgencies with non-empty heaps."""
        heaps = self._deferred if late else self._in_time
        return sorted({urgency for (urgency, _), heap in heaps.items() if heap})

    def first(
        self,
        urgency: int,
        limit: int,
        *,
        late: bool,
        count_removed: bool = True,
    ) -> Iterator[Job]:
        """Yield the jobs with the earliest deadlines.

        limit: for each version that jobs are bound to, and for the unbound
        ones. Jobs may be removed during the iteration. count_removed: whether
        those count towards the limit.
        """
        heaps = self._deferred if late else self._in_time
        lanes = [
            self._first_of(heap, limit, count_removed=count_removed)
            for (other, _), heap in heaps.items()
            if other == urgency and heap
        ]
        if len(lanes) == 1:
            yield from lanes[0]
            return
        yield from heapq.merge(*lanes, key=_due_at)

    def _first_of(
        self, heap: list[_Entry], limit: int, *, count_removed: bool
    ) -> Iterator[Job]:
        popped: list[_Entry] = []
        try:
            while heap and len(popped) < limit:
                entry = heapq.heappop(heap)
                job = self._jobs.get(entry[-1])
                if job is None:
                    continue
                popped.append(entry)
                yield job
                if not count_removed and entry[-1] not in self._jobs:
                    popped.pop()
        finally:
            for entry in popped:
                if entry[-1] in self._jobs:
                    heapq.heappush(heap, entry)

    def _push(self, heaps: dict[_Lane, list[_Entry]], job: Job) -> None:
        entry = (job.due_at, next(self._serial), job.key)
        lane = (job.urgency, job.version)
        heapq.heappush(heaps.setdefault(lane, []), entry)


def _due_at(job: Job) -> float:
    return job.due_at
