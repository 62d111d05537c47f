"""What a load of the bench tells of its own failures."""

from __future__ import annotations

import asyncio
import random

import pytest

from tallyhall_bench.platform_load import end_tasks, under_load


async def _fail() -> None:
    raise LookupError


async def _fail_under_load() -> None:
    async with under_load(_fail, random.Random(1), 100.0):
        await asyncio.sleep(0.1)


async def _end_one_that_waits() -> None:
    task = asyncio.create_task(asyncio.sleep(60))
    await asyncio.sleep(0)
    await end_tasks(task)
    assert task.cancelled()


def test_a_load_that_ended_by_an_error_is_no_silent_end() -> None:
    with pytest.raises(ExceptionGroup):
        asyncio.run(_fail_under_load())


def test_a_task_that_is_ended_is_cancelled() -> None:
    asyncio.run(_end_one_that_waits())
