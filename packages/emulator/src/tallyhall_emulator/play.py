"""One play of a scenario under the decision code."""

from __future__ import annotations

import random

import simpy
from tallyhall_dispatch.switches import ALL_ENABLED, Switches

from .arrivals import arrivals
from .callers import Callers, Served
from .clock import Waiting
from .scenario import Fault, Scenario
from .service import Service


def play(
    scenario: Scenario,
    seed: int,
    switches: Switches = ALL_ENABLED,
) -> list[Served]:
    """Return what became of all requests that are counted."""
    served = play_callers(scenario, seed, switches).served
    return [one for one in served if one.arrival.at_s >= scenario.warm_s]


def play_callers(
    scenario: Scenario,
    seed: int,
    switches: Switches = ALL_ENABLED,
) -> Callers:
    """Return the callers of a play that has ended.

    Arrivals, and which of them faults strike at their n-th send, depend on the
    scenario and the seed alone, so that two sets of switches meet the same.
    """
    env = simpy.Environment()
    rng = random.Random(f'{seed}/decisions')
    service = Service(env, scenario, rng, seed, switches)
    callers = Callers(env, scenario, service, seed, switches)
    for arrival in arrivals(scenario, seed):
        env.process(callers.call(arrival))
    for fault in scenario.faults:
        env.process(_play_fault(env, service, callers, fault))
    env.run()
    return callers


def _play_fault(
    env: simpy.Environment,
    service: Service,
    callers: Callers,
    fault: Fault,
) -> Waiting[None]:
    yield env.timeout(fault.at_s)
    if fault.kind == 'crash':
        for number in range(fault.count):
            env.process(service.crash(number, fault.for_s))
    if fault.kind == 'restart':
        callers.budgets.restart(fault.count, env.now)
    if fault.kind == 'split':
        service.set_groups(fault.count)
        yield env.timeout(fault.for_s)
        service.set_groups(1)
