"""Keeps the tasks running that an instance needs for as long as it lives."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

# Pause before a task that failed is started again, in seconds.
_RESTART_PAUSE_S = 0.5
# Shortest interval between two log lines on one failing step, in seconds.
_LOG_INTERVAL_S = 10.0

Run = Callable[[], Coroutine[Any, Any, None]]


class TaskSupervisor:
    """Starts tasks, and starts them again when they fail."""

    def __init__(
        self, log_failure: Callable[[str, BaseException], None]
    ) -> None:
        """Report failures, with the name of the task or step."""
        self._log_failure = log_failure
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._logged_at: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    def start(self, name: str, run: Run) -> None:
        """Run a task until it returns or is cancelled."""
        self._tasks[name] = asyncio.create_task(
            self._keep_running(name, run), name=name
        )

    def cancel(self, name: str) -> None:
        """End the task of this name."""
        self._tasks[name].cancel()

    def cancel_all(self) -> None:
        """End all tasks."""
        for task in self._tasks.values():
            task.cancel()

    def attempt(self, name: str, step: Callable[[], None]) -> None:
        """Take one step of a periodic task; log a failure, and go on."""
        try:
            step()
        except Exception as exc:  # noqa: BLE001
            self._on_step_failed(name, exc)

    async def _keep_running(self, name: str, run: Run) -> None:
        while await self._has_failed(name, run):
            await asyncio.sleep(_RESTART_PAUSE_S)

    async def _has_failed(self, name: str, run: Run) -> bool:
        try:
            await run()
        except Exception as exc:  # noqa: BLE001
            self._log_failure(name, exc)
            return True
        return False

    def _on_step_failed(self, name: str, exc: BaseException) -> None:
        now = self._loop.time()
        if now - self._logged_at.get(name, -math.inf) >= _LOG_INTERVAL_S:
            self._logged_at[name] = now
            self._log_failure(name, exc)
