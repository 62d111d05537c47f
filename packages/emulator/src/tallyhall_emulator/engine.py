"""A model engine that batches: unequal steps, prompts read between tokens."""

from __future__ import annotations

import collections
from typing import Any

import msgspec
import simpy
from tallyhall_dispatch.jobs import AttemptOutcome, RunReport
from tallyhall_dispatch.load_reports import LoadReport

from .arrivals import Arrival
from .clock import Waiting
from .scenario import Engines
from .slowdowns import SlowdownTrace


class Run(msgspec.Struct):
    """One request at an engine.

    begun: an event of the clock that happens with the first event of the
    answer; ended: with the end, whose value is the report. unread: tokens of
    the prompt. left: events to come; tokens: of the event under way.
    """

    arrival: Arrival
    started_at: float
    begun: Any
    ended: Any
    unread: int
    left: int
    tokens: int = 0
    context: int = 0
    ready_at: float = 0
    first_s: float | None = None
    last_at: float = 0
    events: int = 0
    pause_s: float = 0


class Engine:
    """Runs requests in steps; more than its places wait in its queue."""

    def __init__(
        self,
        env: simpy.Environment,
        spec: Engines,
        slowness: float,
        slowdowns: SlowdownTrace | None = None,
    ) -> None:
        """Be so many times as slow as the usual engine.

        slowdowns: temporary ones, None if there are none.
        """
        self._env = env
        self._spec = spec
        self._slowness = slowness
        self._slowdowns = slowdowns
        self._runs: list[Run] = []
        self._queue: collections.deque[Run] = collections.deque()
        self._held_tokens = 0
        self._woken = env.event()
        self._dead = False
        env.process(self._steps())

    @property
    def load(self) -> LoadReport | None:
        """Return the load that a response states, None if it states none."""
        if self._slowdowns is None:
            return None
        return LoadReport(
            len(self._runs),
            len(self._queue),
            self._spec.places,
            self._slowdowns.factor(self._env.now),
        )

    def start(self, arrival: Arrival) -> Run | None:
        """Take a request; None where the queue is full or nothing listens."""
        if self._dead:
            return None
        if len(self._queue) >= self._spec.queue:
            return None
        run = Run(
            arrival,
            self._env.now,
            self._env.event(),
            self._env.event(),
            arrival.prompt_tokens,
            arrival.events,
        )
        self._queue.append(run)
        if not self._woken.triggered:
            self._woken.succeed()
        return run

    def cut(self, run: Run, ending: AttemptOutcome) -> None:
        """End a run before its answer is complete."""
        if run in self._runs:
            self._runs.remove(run)
            self._held_tokens -= _held(run)
        elif run in self._queue:
            self._queue.remove(run)
        self._end(run, ending)

    def crash(self) -> None:
        """Lose all runs; nothing listens from now on."""
        self._dead = True
        for run in (*self._runs, *self._queue):
            self._end(
                run,
                AttemptOutcome.broken if run.events else AttemptOutcome.unknown,
            )
        self._runs.clear()
        self._queue.clear()

    # -- steps

    def _steps(self) -> Waiting[None]:
        while not self._dead:
            self._admit()
            if not self._runs:
                self._woken = self._env.event()
                yield self._woken
                continue
            reading = self._reading()
            chunk = 0
            if reading is not None:
                chunk = min(self._spec.chunk_tokens, reading.unread)
            yield self._env.timeout(self._step_s(reading, chunk))
            if not self._dead:
                self._step(reading, chunk)

    def _admit(self) -> None:
        """Move what fits into places and memory from the queue."""
        while self._queue and len(self._runs) < self._spec.places:
            tokens = _held(self._queue[0])
            fits = self._held_tokens + tokens <= self._spec.memory_tokens
            if self._runs and not fits:
                return
            self._held_tokens += tokens
            self._runs.append(self._queue.popleft())

    def _reading(self) -> Run | None:
        for run in self._runs:
            if run.unread:
                return run
        return None

    def _step_s(self, reading: Run | None, chunk: int) -> float:
        spec = self._spec
        spent_s = spec.step_s + spec.step_per_run_s * len(self._runs)
        if reading is not None:
            spent_s += chunk * spec.read_s
            pairs = chunk * (reading.context + chunk / 2)
            spent_s += pairs * spec.read_pair_s
        return spent_s * self._current_slowness()

    def _current_slowness(self) -> float:
        if self._slowdowns is None:
            return self._slowness
        return self._slowness * self._slowdowns.factor(self._env.now)

    def _step(self, reading: Run | None, chunk: int) -> None:
        now = self._env.now
        if reading is not None and reading in self._runs:
            reading.unread -= chunk
            reading.context += chunk
            if not reading.unread:
                first_s = self._spec.first_s * self._current_slowness()
                reading.ready_at = now + first_s
        for run in tuple(self._runs):
            if run.unread or now < run.ready_at:
                continue
            # The time to the first event holds its tokens.
            run.tokens += 1
            if not run.events or run.tokens >= self._spec.event_tokens:
                run.tokens = 0
                self._emit(run, now)

    def _emit(self, run: Run, now: float) -> None:
        run.left -= 1
        if run.first_s is None:
            run.first_s = now - run.started_at
            run.begun.succeed()
        else:
            run.pause_s = max(run.pause_s, now - run.last_at)
        run.last_at = now
        run.events += 1
        if run.left <= 0:
            self._runs.remove(run)
            self._held_tokens -= _held(run)
            self._end(run, AttemptOutcome.answered)

    def _end(self, run: Run, ending: AttemptOutcome) -> None:
        if run.ended.triggered:
            return
        stream_s: float = 0
        if run.first_s is not None:
            stream_s = run.last_at - run.started_at - run.first_s
        run.ended.succeed(
            RunReport(
                ending,
                self._env.now - run.started_at,
                run.first_s,
                run.events,
                stream_s,
                run.pause_s,
            ),
        )


def _held(run: Run) -> int:
    return run.arrival.prompt_tokens + run.arrival.events
