"""The order of queued jobs, compared with a sorted list."""

import functools

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_dispatch.jobs import Job
from tallyhall_dispatch.waiting import WaitingJobs

_MOST = 3

_actions = st.lists(
    st.tuples(st.sampled_from('ardl'), st.integers(0, 2), st.integers(0, 50)),
    max_size=80,
)


def _job(number: int, urgency: int, due_at: float, *, over_quota: bool) -> Job:
    key = f'{"ab"[number % 2]}/{number}'
    return Job(
        key, 's', 'a', urgency, 1, 1, 0, due_at, 99, over_quota=over_quota
    )


def _is_late(moment: float, job: Job) -> bool:
    return job.due_at < moment


def _first(jobs: WaitingJobs, urgency: int, *, late: bool) -> list[str]:
    if urgency not in jobs.urgencies(late=late):
        return []
    return [job.key for job in jobs.first(urgency, _MOST, late=late)]


@given(_actions)
def test_jobs_are_ordered_by_deadline_and_none_is_lost(
    actions: list[tuple[str, int, int]],
) -> None:
    """Jobs due before a time that only increases are late."""
    waiting = WaitingJobs()
    model: dict[str, Job] = {}
    late_before: float = 0
    for number, (action, urgency, amount) in enumerate(actions):
        if action == 'a':
            job = _job(number, urgency, amount, over_quota=not amount % 7)
            waiting.add(job)
            model[job.key] = job
        elif action == 'r' and model:
            key = sorted(model)[amount % len(model)]
            waiting.remove(key)
            model.pop(key)
        elif action == 'd':
            waiting.remove_prefix('a/')
            model = {key: job for key, job in model.items() if key[0] != 'a'}
        elif action == 'l':
            late_before = max(late_before, amount)
        moment = late_before
        waiting.defer_late(functools.partial(_is_late, moment))
        assert len(waiting) == len(model)
        for late in (False, True):
            expected = sorted(
                (
                    job
                    for job in model.values()
                    if job.urgency == urgency
                    and late == (job.over_quota or job.due_at < moment)
                ),
                key=lambda job: job.due_at,
            )
            found = _first(waiting, urgency, late=late)
            assert [model[key].due_at for key in found] == [
                job.due_at for job in expected[:_MOST]
            ]
