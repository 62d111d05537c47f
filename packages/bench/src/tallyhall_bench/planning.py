"""From a scenario to planned requests, a table, upstreams and a bound."""

from __future__ import annotations

import random
from typing import Any

from tallyhall_standins.batch import EngineSpeed, answer_tokens

from .fleet import UpstreamSpec
from .load import PlannedCall, text_of
from .scenario import Scenario, Stream

_DEFAULT_GAP_S = 0.076


def plan_calls(scenario: Scenario) -> list[PlannedCall]:
    """Return the scenario's requests, the same for each seed."""
    rng = random.Random(scenario.seed)
    deadlines = {tier.name: tier.deadline_s for tier in scenario.tiers}
    plan = []
    for stream in scenario.streams:
        for at in _arrivals(stream, scenario, rng):
            plan.append(_call(stream, at, rng, deadlines[stream.tier]))
    return plan


def plan_table(scenario: Scenario) -> dict[str, Any]:
    """Return the table under which the scenario runs."""
    kinds = {
        group.service: 'model' if group.kind == 'engine' else 'plain'
        for group in scenario.upstreams
    }
    rows = sorted({(one.workspace, one.service) for one in scenario.streams})
    tiers = [tier.name for tier in scenario.tiers]
    return {
        'tiers': [
            {
                'name': tier.name,
                'rank': rank,
                'deadline_s': tier.deadline_s,
                'goodput_weight': tier.goodput_weight,
            }
            for rank, tier in enumerate(scenario.tiers)
        ],
        'services': [
            {'name': service, 'kind': kind} for service, kind in kinds.items()
        ],
        'limits': [
            {'workspace': workspace, 'service': service, 'tiers': tiers}
            for workspace, service in rows
        ],
    }


def plan_upstreams(scenario: Scenario) -> tuple[UpstreamSpec, ...]:
    """Return the upstreams to start."""
    specs = []
    for group in scenario.upstreams:
        for number, speed in enumerate(group.speeds, 1):
            specs.append(
                UpstreamSpec(
                    group.service,
                    group.kind,
                    f'{group.service}-{number}',
                    {
                        'speed': speed,
                        'lag_s': group.lag_s,
                        'cache_tokens': group.cache_tokens,
                        'call_s': group.call_s,
                    },
                ),
            )
    return tuple(specs)


def upper_bound(
    scenario: Scenario,
    plan: list[PlannedCall],
) -> dict[str, float]:
    """Return the best goodput by tier that any scheduler could reach.

    All capacity known, nothing stale, every prefix computed once, every
    batch full: tiers in order, within a tier the cheapest requests first.
    Plain calls are taken as free. Optimistic, so a true bound.
    """
    speed = EngineSpeed()
    step = speed.step_s + speed.stream_s * speed.max_batch
    token_s = step / speed.max_batch
    capacity = sum(
        sum(group.speeds)
        for group in scenario.upstreams
        if group.kind == 'engine'
    )
    spent: float = 0
    bound = {}
    for tier in scenario.tiers:
        costs = sorted(
            _cost(call, speed.prompt_s, token_s)
            for call in plan
            if call.tier == tier.name
        )
        until = scenario.duration_s + tier.deadline_s
        served = 0
        for cost in costs:
            if spent + cost > capacity * until:
                break
            spent += cost
            served += 1
        bound[tier.name] = round(served / max(len(costs), 1), 4)
    return bound


def _cost(call: PlannedCall, prompt_s: float, token_s: float) -> float:
    if call.kind != 'model':
        return 0
    # The part of a prompt that no other request shares is computed anyway.
    own_tokens = call.own_tokens
    output = answer_tokens(call.prompt, call.max_tokens)
    return own_tokens * prompt_s + output * token_s


def _arrivals(
    stream: Stream,
    scenario: Scenario,
    rng: random.Random,
) -> list[float]:
    times = []
    rate = stream.rate * scenario.load
    at = rng.expovariate(rate) if rate else scenario.duration_s
    while at < scenario.duration_s:
        times.append(at)
        at += rng.expovariate(rate)
    burst = round(stream.burst * scenario.load)
    times.extend(stream.burst_at for _ in range(burst))
    return times


def _call(
    stream: Stream,
    at: float,
    rng: random.Random,
    deadline_s: float,
) -> PlannedCall:
    unique = f'{rng.getrandbits(48):012x}'
    own = max(0, stream.prompt_tokens - stream.shared_tokens)
    prompt = ''
    if stream.kind == 'model':
        group = rng.randrange(stream.groups)
        shared = f'{stream.workspace}/{stream.tier}/{group}'
        prompt = '{0}{1} {2}'.format(
            text_of(shared, stream.shared_tokens)
            if stream.shared_tokens
            else '',
            unique,
            text_of(unique, own),
        )
    return PlannedCall(
        at,
        stream.service,
        stream.kind,
        stream.workspace,
        stream.tier,
        prompt,
        stream.max_tokens,
        deadline_s,
        idempotent=stream.idempotent,
        own_tokens=own,
    )
