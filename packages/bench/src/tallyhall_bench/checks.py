"""Checkers of what must always hold, over callers' outcomes, engines' own
counts and the instances' event logs.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from tallyhall_client.outcome import Verdict
from tallyhall_standins.batch import answer_tag, answer_tokens

from .load import DoneCall

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
