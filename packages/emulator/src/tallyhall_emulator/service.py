"""The engines of a service and the pools that decide for them.

Each group of instances that hear each other has one pool, the owner's; the
pools are the product's own and know nothing of the emulation.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import simpy
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Job, RunReport
from tallyhall_dispatch.load_reports import UpstreamLoads
from tallyhall_dispatch.pool import ServicePool
from tallyhall_dispatch.switches import Switches

from .arrivals import Arrival
from .clock import Waiting
from .engine import Engine, Run
from .scenario import Scenario
from .slowdowns import SlowdownTrace

SERVICE = 'service'
ZONE = 'zone'
# How often waiting jobs are looked at when nothing else happens, in seconds,
# as instances do.
_LOOK_S = 0.02
_MILLI = 1000


class _Asked(msgspec.Struct, frozen=True):
    job: Job
    group: int
    decided: Any


class Service:
    """Engines, and a pool for each group of instances."""

    def __init__(
        self,
        env: simpy.Environment,
        scenario: Scenario,
        rng: random.Random,
        seed: int,
        switches: Switches,
    ) -> None:
        """Start all engines and one pool."""
        self._env = env
        self._seed = seed
        self._scenario = scenario
        self._rng = rng
        self._switches = switches
        self._engines: dict[str, Engine] = {}
        self._upstreams: dict[str, Upstream] = {}
        for number in range(scenario.engines.count):
            self._start_engine(number)
        self._pools: list[ServicePool] = []
        # The load reports that each pool has received.
        self._loads: list[UpstreamLoads] = []
        # Jobs that wait: who hears of each, and in which group.
        self._asked: dict[str, _Asked] = {}
        self._looking: set[int] = set()
        # What runs, for a pool that takes over from another one.
        self._running: dict[str, tuple[Job, str]] = {}
        self.set_groups(1)

    def group_of(self, instance: int) -> int:
        """Return the group that an instance hears."""
        return instance % len(self._pools)

    def set_groups(self, count: int) -> None:
        """Cut the instances into so many groups, or join them again."""
        kept = self._pools[:count]
        self._loads = self._loads[:count]
        while len(kept) < count:
            loads = UpstreamLoads()
            pool = ServicePool(
                SERVICE,
                self._scenario.engines.event_tokens,
                random.Random(self._rng.random()),
                self._switches,
                loads,
            )
            pool.set_upstreams(self._upstreams.values())
            kept.append(pool)
            self._loads.append(loads)
        joined = count < len(self._pools)
        self._pools = kept
        for pool in self._pools:
            pool.apply_share(1 / count)
        if joined:
            self._join(count)

    def ask(self, job: Job, group: int) -> Any:
        """Queue a job; return an event whose value is the decision."""
        decided = self._env.event()
        # A group may have been joined while the request was on its way.
        group = min(group, len(self._pools) - 1)
        self._asked[job.key] = _Asked(job, group, decided)
        self._pools[group].enqueue(job)
        self._pump(group)
        return decided

    def send(
        self, job: Job, upstream: Upstream, arrival: Arrival
    ) -> Run | None:
        """Give a granted job to its engine; None where it is not taken."""
        engine = self._engines.get(upstream.incarnation)
        run = None if engine is None else engine.start(arrival)
        if run is not None:
            self._running[job.key] = (job, upstream.incarnation)
        return run

    def cut(self, upstream: Upstream, run: Run, ending: Any) -> None:
        """End a run before its answer is complete."""
        engine = self._engines.get(upstream.incarnation)
        if engine is not None:
            engine.cut(run, ending)

    def report_load(self, upstream: Upstream, group: int) -> None:
        """Tell a group the load that a response of an engine states."""
        engine = self._engines.get(upstream.incarnation)
        load = None if engine is None else engine.load
        if load is not None and group < len(self._loads):
            self._loads[group].record(upstream.incarnation, load, self._env.now)

    def first_byte(self, job: Job) -> None:
        """Take that the answer of a job has begun."""
        for pool in self._pools:
            pool.record_first_byte(job.key)

    def finish(self, job: Job, report: RunReport) -> None:
        """Take that a send has ended."""
        self._running.pop(job.key, None)
        for group, pool in enumerate(self._pools):
            pool.finish(job.key, report, self._env.now)
            self._pump(group)

    def crash(self, number: int, for_s: float) -> Waiting[None]:
        """Lose an engine; it starts again under its name, knowing nothing."""
        upstream = self._running_upstream(number)
        if upstream is None:
            return
        self._engines.pop(upstream.incarnation).crash()
        yield self._env.timeout(min(for_s, self._scenario.lapse_s))
        self._upstreams.pop(upstream.incarnation, None)
        self._tell_upstreams()
        yield self._env.timeout(max(0, for_s - self._scenario.lapse_s))
        self._start_engine(number)
        self._tell_upstreams()

    # -- inner steps

    def _join(self, count: int) -> None:
        """Tell the first pool what the ones that end had granted and queued."""
        for job, incarnation in self._running.values():
            self._pools[0].add_running(job, incarnation)
        for key, asked in tuple(self._asked.items()):
            if asked.group < count:
                continue
            self._asked[key] = msgspec.structs.replace(asked, group=0)
            self._pools[0].enqueue(asked.job)
        self._pump(0)

    def _running_upstream(self, number: int) -> Upstream | None:
        for upstream in self._upstreams.values():
            runs = upstream.incarnation in self._engines
            if runs and engine_number(upstream) == number:
                return upstream
        return None

    def _start_engine(self, number: int) -> None:
        spec = self._scenario.engines
        upstream = Upstream(
            f'u{number}',
            SERVICE,
            '127.0.0.1',
            number + 1,
            ZONE,
            spec.places,
            leaving=False,
            started_ms=int(self._env.now * _MILLI) + 1,
        )
        speed = spec.speeds[number % len(spec.speeds)]
        slowdowns: SlowdownTrace | None = None
        if spec.slowdowns is not None:
            rng = random.Random(f'{self._seed}/slowdowns/{number}')
            slowdowns = SlowdownTrace(spec.slowdowns, rng)
        self._upstreams[upstream.incarnation] = upstream
        self._engines[upstream.incarnation] = Engine(
            self._env, spec, speed, slowdowns
        )

    def _tell_upstreams(self) -> None:
        for group, pool in enumerate(self._pools):
            pool.set_upstreams(self._upstreams.values())
            self._pump(group)

    def _pump(self, group: int) -> None:
        pool = self._pools[group]
        for decision in pool.decide(self._env.now):
            self._asked.pop(decision.key).decided.succeed(decision)
        if pool.waiting and group not in self._looking:
            self._looking.add(group)
            self._env.process(self._look(group))

    def _look(self, group: int) -> Waiting[None]:
        yield self._env.timeout(_LOOK_S)
        self._looking.discard(group)
        if group < len(self._pools):
            self._pump(group)


def engine_number(upstream: Upstream) -> int:
    """Return which of the engines this is, from 0."""
    return upstream.port - 1
