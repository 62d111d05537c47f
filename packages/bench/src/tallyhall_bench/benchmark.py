"""Runs scenarios under several policies, side by side.

Policies take turns round by round on the same seeds, so that whatever else
the machine does falls on all of them alike. Each run has fresh processes.
"""

from __future__ import annotations

import signal
import threading
import time
from typing import Any

import pydantic
from pydantic.dataclasses import dataclass
from tallyhall_client.client import Client

from .checks import Violation, all_checks, tier_order
from .fleet import Fleet, FleetSpec
from .load import DoneCall, PlannedCall, run_plan
from .planning import plan_calls, plan_table, plan_upstreams, upper_bound
from .scenario import FaultSpec, Scenario
from .summary import Summary, summarise

_STEP_S = 0.05
_OURS = 'tallyhall'


@dataclass(frozen=True)
class RunRecord:
    """One run of one policy."""

    seed: int
    summary: Summary
    violations: tuple[str, ...]


@dataclass(frozen=True)
class PolicyResult:
    """The means over all runs of one policy, and the runs."""

    goodput_by_tier: dict[str, float]
    goodput_weighted: float
    wasted_prefill: float
    refusals: dict[str, int]
    first_token_p50_s: float
    first_token_p95_s: float
    gap_p95_s: float
    total_p99_s: float
    runs: tuple[RunRecord, ...]


@dataclass(frozen=True)
class BenchResult:
    """Everything that one bench call measured."""

    scenario: str
    load: float
    upper_bound: dict[str, float]
    policies: dict[str, PolicyResult]


def run_bench(
    scenario: Scenario,
    policies: tuple[str, ...],
    repeats: int,
) -> BenchResult:
    """Run every policy `repeats` times in alternating rounds."""
    runs: dict[str, list[RunRecord]] = {name: [] for name in policies}
    bound: dict[str, float] = {}
    for number in range(repeats):
        seeded = scenario.model_copy(update={'seed': scenario.seed + number})
        bound = upper_bound(seeded, plan_calls(seeded))
        for name in policies:
            runs[name].append(run_once(seeded, name))
    means = {policy: _mean(records) for policy, records in runs.items()}
    return BenchResult(scenario.name, scenario.load, bound, means)


def run_once(scenario: Scenario, policy: str) -> RunRecord:
    """Run one policy once on fresh processes."""
    plan = plan_calls(scenario)
    spec = FleetSpec(
        scenario.instances,
        plan_upstreams(scenario),
        plan_table(scenario),
        policy=policy,
    )
    with Fleet(spec) as fleet:
        done = _run_with_faults(fleet, scenario, plan)
        counts = fleet.all_counts()
        events = fleet.events()
    found = all_checks(done, counts, len(plan))
    if policy == _OURS:
        ranks = {tier.name: rank for rank, tier in enumerate(scenario.tiers)}
        found += tier_order(events, ranks)
    summary = summarise(done, scenario.weights, counts)
    return RunRecord(scenario.seed, summary, tuple(map(_text, found)))


def _run_with_faults(
    fleet: Fleet,
    scenario: Scenario,
    plan: list[PlannedCall],
) -> list[DoneCall]:
    stop = threading.Event()
    started = threading.Event()
    faults = threading.Thread(
        target=_inject,
        args=(fleet, scenario.faults, started, stop),
    )
    faults.start()
    client = Client(fleet.seeds, f'bench-{scenario.seed}')
    done = run_plan(plan, client, started)
    stop.set()
    faults.join()
    return done


def result_json(result: BenchResult) -> bytes:
    """Return the JSON document of a result."""
    return pydantic.TypeAdapter(BenchResult).dump_json(result, indent=1)


def table_lines(result: BenchResult) -> list[str]:
    """Return a short table for people."""
    tiers = list(result.upper_bound)
    head = ['policy', *tiers, 'weighted', 'wasted', 'ttft p50/p95', 'broken']
    rows = [head]
    bound = [f'{result.upper_bound[tier]:.3f}' for tier in tiers]
    rows.append(['upper bound', *bound, '', '', '', ''])
    for name, policy in result.policies.items():
        rows.append(
            [
                name,
                *(f'{policy.goodput_by_tier[tier]:.3f}' for tier in tiers),
                f'{policy.goodput_weighted:.3f}',
                f'{policy.wasted_prefill:.3f}',
                f'{policy.first_token_p50_s:.2f}/'
                f'{policy.first_token_p95_s:.2f} s',
                str(sum(len(run.violations) for run in policy.runs)),
            ],
        )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [f'{result.scenario}, load {result.load}']
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    return lines


def _mean(records: list[RunRecord]) -> PolicyResult:
    summaries = [record.summary for record in records]
    count = len(summaries)
    tiers = summaries[0].goodput_by_tier
    refusals: dict[str, int] = {}
    for counted in summaries:
        for reason, number in counted.refusals.items():
            refusals[reason] = refusals.get(reason, 0) + number
    first = [_all_tiers(summary) for summary in summaries]
    return PolicyResult(
        {
            tier: round(
                sum(one.goodput_by_tier.get(tier, 0) for one in summaries)
                / count,
                4,
            )
            for tier in tiers
        },
        _mean_of([one.goodput_weighted for one in summaries]),
        _mean_of([one.wasted_prefill for one in summaries]),
        refusals,
        _mean_of([points[0] for points in first]),
        _mean_of([points[1] for points in first]),
        _mean_of([one.gap_s.p95 for one in summaries]),
        _mean_of([one.total_s.p99 for one in summaries]),
        tuple(records),
    )


def _all_tiers(summary: Summary) -> tuple[float, float]:
    points = [one for one in summary.first_token_s.values() if one.count]
    total = sum(one.count for one in points) or 1
    return (
        sum(one.p50 * one.count for one in points) / total,
        max((one.p95 for one in points), default=0),
    )


def _mean_of(numbers: list[float]) -> float:
    return round(sum(numbers) / len(numbers), 4)


def _text(violation: Violation) -> str:
    return f'{violation.promise}: {violation.detail}'


def _inject(
    fleet: Fleet,
    faults: tuple[FaultSpec, ...],
    started: threading.Event,
    stop: threading.Event,
) -> None:
    """Bring about the scenario's faults at their times."""
    started.wait()
    begin = time.monotonic()
    pending = sorted(
        [(fault.at, True, fault) for fault in faults]
        + [(fault.until, False, fault) for fault in faults],
        key=_when,
    )
    for at, begins, fault in pending:
        while time.monotonic() < begin + at and not stop.is_set():
            time.sleep(_STEP_S)
        if stop.is_set() and begins:
            return
        _apply(fleet, fault, begins=begins)


def _when(entry: tuple[float, bool, Any]) -> float:
    return entry[0]


def _apply(fleet: Fleet, fault: FaultSpec, *, begins: bool) -> None:
    if fault.kind == 'slow_engine':
        fleet.faults(fault.target, slow=fault.factor if begins else 1)
    elif fault.kind == 'kv_down':
        fleet.faults('kv', down=begins)
    elif fault.kind == 'freeze_entry':
        wanted = signal.SIGSTOP if begins else signal.SIGCONT
        fleet.instances[fault.target].process.send_signal(wanted)
    elif begins:
        fleet.instances[fault.target].process.kill()
