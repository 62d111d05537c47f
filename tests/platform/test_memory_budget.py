"""Decisions of the memory budget, without a network.

They guard against an instance that is killed for its memory, and against
measures that hit callers which read.
"""

import random

import pytest
from tallyhall_edge.memory_budget import (
    Holder,
    MemoryBudget,
    Step,
    UnreadPeer,
    budget_bytes,
)

_SIZE = 1000
_MB = 1_000_000
_BUFFER = 262_144


def _filled(percent: float) -> MemoryBudget:
    budget = MemoryBudget(_SIZE)
    budget.add(Holder.responses, int(percent * 10))
    return budget


@pytest.mark.parametrize(
    ('limit', 'idle', 'expected'),
    [
        (128 * _MB, 40 * _MB, int(36.8 * _MB)),
        (128 * _MB, None, int(31.8 * _MB)),
        # A limit below the idle process still leaves room to serve.
        (60 * _MB, 50 * _MB, 4 * _MB),
    ],
)
def test_the_budget_is_what_the_idle_process_leaves(
    limit: int, idle: int | None, expected: int
) -> None:
    assert budget_bytes(limit, idle) == expected


@pytest.mark.parametrize(
    ('percent', 'step'),
    [
        (49.9, Step.normal),
        (50, Step.hold_new),
        (70, Step.stop_buffering),
        (85, Step.refuse),
        (95, Step.close),
        (130, Step.close),
    ],
)
def test_steps_begin_at_their_thresholds(percent: float, step: Step) -> None:
    budget = _filled(percent)
    assert budget.step is step
    assert budget.entered == {
        entered: 1 for entered in Step if 0 < entered <= step
    }


@pytest.mark.parametrize(
    ('step', 'ends_below'),
    [
        (Step.hold_new, 40),
        (Step.stop_buffering, 60),
        (Step.refuse, 75),
        (Step.close, 85),
    ],
)
def test_steps_end_ten_points_lower(step: Step, ends_below: int) -> None:
    """A step that ended at its threshold would toggle with each answer."""
    budget = _filled(100)
    budget.add(Holder.responses, ends_below * 10 - _SIZE)
    steps = [budget.step]
    budget.add(Holder.responses, -1)
    steps.append(budget.step)
    assert steps == [step, Step(step - 1)]


def test_changes_of_step_are_reported_once() -> None:
    budget = MemoryBudget(_SIZE)
    seen: list[tuple[Step, Step]] = []
    budget.on_step = lambda before, after: seen.append((before, after))
    for size in (500, 10, 10, -10, 250, -500):
        budget.add(Holder.responses, size)
    assert seen == [
        (Step.normal, Step.hold_new),
        (Step.hold_new, Step.stop_buffering),
        (Step.stop_buffering, Step.normal),
    ]


def test_a_resized_budget_changes_its_step() -> None:
    budget = _filled(50)
    steps = []
    for size in (10 * _SIZE, _SIZE // 2):
        budget.resize(size)
        steps.append(budget.step)
    assert steps == [Step.normal, Step.close]


def test_random_counts_match_a_scan() -> None:
    """The step is derived from bounds that change with it."""
    rng = random.Random(3)
    budget = MemoryBudget(_SIZE)
    thresholds = (500, 700, 850, 950)
    for _ in range(5000):
        size = rng.randint(-budget.total, 1200 - budget.total)
        budget.add(rng.choice(list(Holder)), size)
        total = budget.total
        assert total == sum(budget.held.values())
        least = sum(total >= limit for limit in thresholds)
        most = sum(total >= limit - 100 for limit in thresholds)
        assert least <= budget.step <= most


def test_the_least_urgent_requests_are_refused_first() -> None:
    budget = _filled(84)
    assert not any(budget.refuses(urgency, 'a') for urgency in range(3))
    refused = []
    for size in (10, 35, 35):
        budget.add(Holder.request_bodies, size)
        refused.append([urg for urg in range(3) if budget.refuses(urg, 'a')])
    assert refused == [[2], [1, 2], [0, 1, 2]]


def test_refusals_last_until_the_step_ends() -> None:
    budget = _filled(84)
    for urgency in range(3):
        budget.refuses(urgency, 'a')
    budget.add(Holder.responses, 80)
    assert budget.refuses(1, 'a')
    budget.add(Holder.responses, -160)
    assert budget.refuses(1, 'a')
    budget.add(Holder.responses, -20)
    assert not budget.refuses(2, 'a')
    budget.add(Holder.responses, 120)
    assert budget.refuses(2, 'a')
    assert not budget.refuses(1, 'a')


def test_responses_are_buffered_until_70_percent() -> None:
    below = _filled(69.9)
    assert below.may_buffer_responses
    assert below.caller_buffer_bytes('a') == _BUFFER
    above = _filled(70)
    assert not above.may_buffer_responses
    assert above.caller_buffer_bytes('a') == 0


def test_slow_callers_of_a_workspace_are_limited_alone() -> None:
    """One workspace with slow callers must not stop the others."""
    budget = MemoryBudget(_SIZE)
    budget.add_unread('slow', 349)
    assert not budget.refuses(0, 'slow')
    budget.add_unread('slow', 1)
    assert budget.refuses(0, 'slow')
    assert budget.caller_buffer_bytes('slow') == 0
    assert not budget.refuses(0, 'other')
    assert budget.caller_buffer_bytes('other') == _BUFFER
    budget.add_unread('slow', -100)
    assert budget.refuses(0, 'slow')
    budget.add_unread('slow', -1)
    assert not budget.refuses(0, 'slow')
    budget.add_unread('slow', -249)
    assert budget.unread_bytes('slow') == 0
    assert budget.held[Holder.caller_writes] == 0


def test_only_the_largest_stalled_caller_is_closed() -> None:
    budget = _filled(95)
    reading = UnreadPeer(500, 0)
    small = UnreadPeer(20, 0)
    large = UnreadPeer(110, 0)
    peers = [reading, small, large]
    reading.update(499, 1)
    assert not budget.callers_to_close(peers, 1.9)
    assert budget.callers_to_close(peers, 2) == [large]
    assert not budget.callers_to_close([reading], 2.9)


def test_as_many_callers_are_closed_as_are_needed() -> None:
    """One at a time would take a minute after a burst of large responses."""
    budget = _filled(100)
    peers = [UnreadPeer(held, 0) for held in (20, 60, 50, 70, 40)]
    closed = budget.callers_to_close(peers, 2)
    assert [peer.held for peer in closed] == [70, 60, 50]


def test_nothing_is_closed_before_95_percent() -> None:
    assert not _filled(94.9).callers_to_close([UnreadPeer(940, 0)], 60)


def test_a_peer_that_reads_while_more_is_written_has_progress() -> None:
    """The bytes held grow although the peer reads."""
    peer = UnreadPeer(100, 0)
    peer.record_write(50)
    peer.update(140, 1)
    assert peer.read_at == 1
    peer.record_write(60)
    peer.update(200, 2)
    assert peer.read_at == 1


@pytest.mark.parametrize(
    ('held', 'now', 'stalled'),
    [(65_537, 4.9, False), (65_537, 5, True), (65_536, 60, False)],
)
def test_an_upstream_stalls_with_a_large_unread_rest(
    held: int, now: float, stalled: bool
) -> None:
    assert UnreadPeer(held, 0).is_stalled_upstream(now) is stalled
