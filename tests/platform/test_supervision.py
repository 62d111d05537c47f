"""Tasks of an instance go on after a failure."""

import asyncio

from tallyhall_entry.supervision import TaskSupervisor


class _Work:
    """A task and a step, which fail, and what was reported of them."""

    def __init__(self) -> None:
        self.failures: list[str] = []
        self.runs = asyncio.Semaphore(0)
        self.waiting = 0
        self.taken = 0

    def report(self, where: str, exc: BaseException) -> None:
        self.failures.append(where)

    async def fail(self) -> None:
        self.runs.release()
        raise LookupError

    async def wait(self) -> None:
        self.waiting += 1
        await asyncio.Event().wait()

    def fail_step(self) -> None:
        raise LookupError

    def take_step(self) -> None:
        self.taken += 1


async def test_a_task_that_fails_is_started_again() -> None:
    work = _Work()
    tasks = TaskSupervisor(work.report)
    tasks.start('one', work.fail)
    for _ in range(3):
        await asyncio.wait_for(work.runs.acquire(), 5)
    tasks.cancel_all()
    assert work.failures[:2] == ['one', 'one']


async def test_a_cancelled_task_is_not_started_again() -> None:
    work = _Work()
    tasks = TaskSupervisor(work.report)
    tasks.start('one', work.wait)
    await asyncio.sleep(0)
    tasks.cancel('one')
    await asyncio.sleep(1)
    assert work.waiting == 1
    assert not work.failures


async def test_a_step_that_fails_each_time_holds_up_no_other_one() -> None:
    work = _Work()
    tasks = TaskSupervisor(work.report)
    for _ in range(3):
        tasks.attempt('bad', work.fail_step)
        tasks.attempt('good', work.take_step)
    assert work.taken == 3
    assert work.failures == ['bad']
