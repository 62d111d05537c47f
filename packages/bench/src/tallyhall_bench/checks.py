"""Checkers of what must always hold, over callers' outcomes, engines' own
counts and the instances' event logs.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping
from typing import Any

from tallyhall_client.outcome import Verdict
from tallyhall_standins.batch import answer_tag, answer_tokens

from .load import DoneCall

_SHED_REASONS = frozenset(('shed', 'queue_full'))


@dataclasses.dataclass(frozen=True, slots=True)
class _RunInterval:
    id: str
    service: str
    rank: int
    start: float
    end: float


Counts = dict[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise."""

    promise: str
    detail: str


def dispatched_twice(counts: Counts) -> list[Violation]:
    """Find ids that engines or services got more than once."""
    total: collections.Counter[str] = collections.Counter()
    for upstream in counts.values():
        total.update(upstream.get('dispatches', {}))
    return [
        Violation('at most once', f'{request_id} dispatched {number} times')
        for request_id, number in total.items()
        if number > 1
    ]


def run_twice(done: list[DoneCall], counts: Counts) -> list[Violation]:
    """Find non-idempotent plain calls that ran more than once."""
    total: collections.Counter[str] = collections.Counter()
    for upstream in counts.values():
        total.update(upstream.get('runs', {}))
    return [
        Violation('non-idempotent', f'{one.outcome.request_id} ran twice')
        for one in done
        if not one.call.idempotent and total[one.outcome.request_id] > 1
    ]


def untrue_refusals(done: list[DoneCall], counts: Counts) -> list[Violation]:
    """Find refusals that say `not run` of requests that reached an upstream."""
    reached: set[str] = set()
    for upstream in counts.values():
        reached |= upstream.get('dispatches', {}).keys()
        reached |= upstream.get('received', {}).keys()
    found = []
    for one in done:
        refusal = one.outcome.refusal
        if refusal is None or refusal.executed != 'no':
            continue
        if one.outcome.request_id in reached:
            found.append(
                Violation('true refusals', f'{refusal.request_id} was run'),
            )
    return found


def wrong_answers(done: list[DoneCall]) -> list[Violation]:
    """Find answers that are not whole or not the caller's own."""
    found = []
    for one in done:
        if one.outcome.verdict != Verdict.answered:
            continue
        if one.call.kind != 'model':
            if one.outcome.request_id not in one.outcome.text:
                found.append(
                    Violation('whole answers', one.outcome.request_id),
                )
            continue
        if one.outcome.text != expected_answer(
            one.call.prompt, one.call.max_tokens
        ):
            found.append(Violation('whole answers', one.outcome.request_id))
    return found


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the only right answer of the stand-in engine to a prompt."""
    tag = answer_tag(prompt)
    length = answer_tokens(prompt, max_tokens)
    return ''.join(f' {tag}-{number}' for number in range(length))


def tier_order(
    events: list[dict[str, Any]],
    ranks: Mapping[str, int],
) -> list[Violation]:
    """Find requests shed while a lower tier ran anywhere in the service.

    `events` are the instances' logs; a run lasts from `dispatched` to the
    request's end. All clocks are this machine's.
    """
    runs = _run_intervals(events, ranks)
    found = []
    for event in events:
        if event.get('event') != 'refused':
            continue
        if event.get('reason') not in _SHED_REASONS:
            continue
        rank = ranks[event['tier']]
        lower = [
            run
            for run in runs
            if run.service == event['service']
            and run.rank > rank
            and run.start < event['at'] < run.end
        ]
        if lower:
            found.append(
                Violation('tier order', f'{event["id"]} shed, {lower[0].id}'),
            )
    return found


def _run_intervals(
    events: list[dict[str, Any]],
    ranks: Mapping[str, int],
) -> list[_RunInterval]:
    started = {
        event['id']: event['at']
        for event in events
        if event.get('event') == 'dispatched'
    }
    runs = []
    for event in events:
        ended = event.get('event') in {'finished', 'refused'}
        if not ended or event['id'] not in started or 'tier' not in event:
            continue
        runs.append(
            _RunInterval(
                event['id'],
                event['service'],
                ranks[event['tier']],
                started[event['id']],
                event['at'],
            ),
        )
    return runs


def without_end(done: list[DoneCall], planned: int) -> list[Violation]:
    """Find requests that did not end exactly once."""
    if len(done) == planned:
        return []
    return [Violation('every request ends', f'{len(done)} of {planned}')]


def all_checks(
    done: list[DoneCall],
    counts: Counts,
    planned: int,
) -> list[Violation]:
    """Run every checker that needs only outcomes and counts."""
    return [
        *dispatched_twice(counts),
        *run_twice(done, counts),
        *untrue_refusals(done, counts),
        *wrong_answers(done),
        *without_end(done, planned),
    ]
