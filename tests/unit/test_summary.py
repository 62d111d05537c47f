"""Wasted prefill: thrown away or computed again, and never counted twice."""

from typing import Any

import pytest
from tallyhall_bench.summary import wasted_share
from tallyhall_standins.batch import BLOCK_TOKENS

_Events = list[tuple[float, str, str]]


def _counts(
    first: _Events,
    second: _Events,
    thrown: list[str],
) -> dict[str, dict[str, Any]]:
    return {
        'engine-1': {
            'prefill_computed': 2 * BLOCK_TOKENS,
            'cache_events': first,
        },
        'engine-2': {
            'prefill_computed': 2 * BLOCK_TOKENS,
            'prefill_wasted': BLOCK_TOKENS * len(thrown),
            'wasted_blocks': thrown,
            'cache_events': second,
        },
    }


@pytest.mark.parametrize(
    ('first', 'second', 'thrown', 'share'),
    [
        ([(1, 'add', 'a')], [(2, 'add', 'b')], [], 0),
        ([(1, 'add', 'a')], [(2, 'add', 'a')], [], 0.25),
        ([(1, 'add', 'a'), (2, 'drop', 'a')], [(3, 'add', 'a')], [], 0),
        ([(1, 'add', 'a')], [(2, 'add', 'b')], ['b'], 0.25),
        ([(1, 'add', 'a')], [(2, 'add', 'a')], ['a'], 0.25),
    ],
    ids=['new', 'again', 'dropped before', 'thrown away', 'again and thrown'],
)
def test_wasted_share(
    first: _Events,
    second: _Events,
    thrown: list[str],
    share: float,
) -> None:
    counts = _counts(first, second, thrown)
    assert wasted_share(counts) == pytest.approx(share)
