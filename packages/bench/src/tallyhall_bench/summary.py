"""What users measure: goodput by tier, refusals, wasted prefill, latency."""

from __future__ import annotations

import collections
from typing import Any

from hdrh.histogram import HdrHistogram
from pydantic.dataclasses import dataclass
from tallyhall_standins.batch import BLOCK_TOKENS

from .load import DoneCall

_MICRO = 1_000_000
_HIGHEST_S = 600
_DIGITS = 3


@dataclass(frozen=True)
class Quantiles:
    """Seconds at four points of a distribution, and its size."""

    count: int
    p50: float
    p95: float
    p99: float
    highest: float


@dataclass(frozen=True)
class Summary:
    """Measures of one run; shares are 0..1, times in seconds."""

    requests: int
    goodput_by_tier: dict[str, float]
    goodput_weighted: float
    refusals: dict[str, int]
    refusals_by_tier: dict[str, dict[str, int]]
    wasted_prefill: float
    prefill_tokens: int
    first_token_s: dict[str, Quantiles]
    gap_s: Quantiles
    total_s: Quantiles
    goodput_by_workspace: dict[str, float]


def summarise(
    done: list[DoneCall],
    weights: dict[str, float],
    counts: dict[str, dict[str, Any]],
) -> Summary:
    """Return the measures of one run."""
    tiers = sorted({one.call.tier for one in done})
    by_tier = {
        tier: _share([one for one in done if one.call.tier == tier])
        for tier in tiers
    }
    scored = sum(weights.get(one.call.tier, 1) for one in done if one.in_time)
    possible = sum(weights.get(one.call.tier, 1) for one in done)
    good = [one for one in done if one.outcome.verdict == 'answered']
    computed = _sum_counts(counts, 'prefill_computed')
    workspaces = sorted({one.call.workspace for one in done})
    return Summary(
        requests=len(done),
        goodput_by_tier=by_tier,
        goodput_weighted=round(scored / max(possible, 1), 4),
        refusals=_refusals(done),
        refusals_by_tier={
            tier: _refusals([one for one in done if one.call.tier == tier])
            for tier in tiers
        },
        wasted_prefill=wasted_share(counts),
        prefill_tokens=computed,
        first_token_s={
            tier: quantiles(
                [one.outcome.first_s for one in good if one.call.tier == tier],
            )
            for tier in tiers
        },
        gap_s=quantiles(
            [one.outcome.gap_s for one in good if one.outcome.tokens > 1],
        ),
        total_s=quantiles([one.outcome.total_s for one in good]),
        goodput_by_workspace={
            name: _share([one for one in done if one.call.workspace == name])
            for name in workspaces
        },
    )


def wasted_share(counts: dict[str, dict[str, Any]]) -> float:
    """Return the share of prompt work that was thrown away or repeated.

    Thrown away: computed for a request that was then stopped. Repeated: a
    block computed while another engine of the same kind still kept it.
    """
    computed = _sum_counts(counts, 'prefill_computed')
    if not computed:
        return 0
    wasted = _sum_counts(counts, 'prefill_wasted')
    repeated = repeated_tokens(counts)
    return round(min(1.0, (wasted + repeated) / computed), 4)


def repeated_tokens(counts: dict[str, dict[str, Any]]) -> int:
    """Return prompt tokens computed while another engine kept them.

    Those that were thrown away as well are left out, so that none counts
    twice.
    """
    thrown = {
        name: collections.Counter(upstream.get('wasted_blocks', ()))
        for name, upstream in counts.items()
    }
    events = sorted(
        (at, kind == 'add', block, name)
        for name, upstream in counts.items()
        for at, kind, block in upstream.get('cache_events', ())
    )
    keepers: dict[str, set[str]] = {}
    repeated = 0
    for _, added, block, name in events:
        kept_by = keepers.setdefault(block, set())
        if not added:
            kept_by.discard(name)
            continue
        if kept_by - {name} and thrown[name][block] > 0:
            thrown[name][block] -= 1
        elif kept_by - {name}:
            repeated += BLOCK_TOKENS
        kept_by.add(name)
    return repeated


def quantiles(seconds: list[float]) -> Quantiles:
    """Return the points of a distribution, by an HDR histogram."""
    histogram = HdrHistogram(1, _HIGHEST_S * _MICRO, _DIGITS)
    for sample in seconds:
        histogram.record_value(max(1, int(sample * _MICRO)))
    points = [
        round(histogram.get_value_at_percentile(point) / _MICRO, 4)
        for point in (50, 95, 99, 100)
    ]
    return Quantiles(len(seconds), *points)


def summary_lines(summary: Summary) -> list[str]:
    """Return the three lines that users read first."""
    goodput = ' '.join(
        f'{tier}={share:.3f}' for tier, share in summary.goodput_by_tier.items()
    )
    refusals = ' '.join(
        f'{reason}={count}'
        for reason, count in sorted(summary.refusals.items())
    )
    return [
        f'goodput by tier: {goodput}',
        f'refusals by reason: {refusals or "none"}',
        f'wasted prefill: {summary.wasted_prefill:.3f} '
        f'of {summary.prefill_tokens} tokens',
    ]


def _refusals(done: list[DoneCall]) -> dict[str, int]:
    counted = collections.Counter(
        one.outcome.reason for one in done if one.outcome.verdict != 'answered'
    )
    return dict(counted)


def _share(done: list[DoneCall]) -> float:
    in_time = sum(one.in_time for one in done)
    return round(in_time / max(len(done), 1), 4)


def _sum_counts(counts: dict[str, dict[str, Any]], key: str) -> int:
    return sum(int(upstream.get(key, 0)) for upstream in counts.values())
