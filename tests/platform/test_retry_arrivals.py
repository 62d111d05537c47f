"""The retry budget where upstreams read retries long after they were sent."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_bench.retry_checks import fullest_window
from tallyhall_dispatch.retries import RetryLimits

from .retry_fleet import PausingFleet

# Allowances of fleets of these sizes, each for a window of ten seconds.
_SIZES = ((6, 54), (76, 196), (410, 430))
_PER_INSTANCE_S = 10


def _fleet(size: int, allowance: float) -> PausingFleet:
    return PausingFleet(size, RetryLimits(0.2, allowance, 10))


def _assert_kept(fleet: PausingFleet) -> None:
    worst = fullest_window(sorted(fleet.retries), fleet.requests, fleet.limits)
    assert not worst.is_exceeded, str(worst)


def _pause(
    fleet: PausingFleet,
    rng: random.Random,
    seconds: tuple[float, float],
    *,
    abandons: bool = True,
) -> None:
    """Let all requests be retried while no upstream reads."""
    now, ends_at = seconds
    while now < ends_at:
        number = rng.randrange(fleet.size)
        fleet.retry_unread(number, now, abandons=abandons)
        now += rng.expovariate(_PER_INSTANCE_S * fleet.size)


def _play(
    fleet: PausingFleet, rng: random.Random, begins_at: float, ends_at: float
) -> None:
    fleet.play(
        rng,
        seconds=(begins_at, ends_at),
        per_s=_PER_INSTANCE_S * fleet.size,
        rejected=0.6,
    )


@pytest.mark.parametrize('abandons', [True, False])
@pytest.mark.parametrize(('size', 'allowance'), _SIZES)
def test_retries_of_several_windows_do_not_arrive_in_one(
    size: int, allowance: float, *, abandons: bool
) -> None:
    rng = random.Random(1)
    fleet = _fleet(size, allowance)
    _play(fleet, rng, 0, 12)
    for begins_at in (12, 25):
        paused = (begins_at, begins_at + 9)
        _pause(fleet, rng, paused, abandons=abandons)
        fleet.read_all(begins_at + 9)
        _play(fleet, rng, begins_at + 9, begins_at + 13)
    _play(fleet, rng, 38, 50)
    _assert_kept(fleet)


@pytest.mark.parametrize(('size', 'allowance'), _SIZES)
def test_what_lost_instances_left_unread_fits_into_the_allowance(
    size: int, allowance: float
) -> None:
    rng = random.Random(2)
    fleet = _fleet(size, allowance)
    _play(fleet, rng, 0, 12)
    _pause(fleet, rng, (12, 20))
    fleet.restart_all(20)
    _pause(fleet, rng, (20, 28))
    fleet.read_all(28)
    _play(fleet, rng, 28, 40)
    _assert_kept(fleet)


@pytest.mark.parametrize(('size', 'allowance'), _SIZES)
def test_instance_whose_retries_are_read_again_retries_as_before(
    size: int, allowance: float
) -> None:
    rng = random.Random(3)
    fleet = _fleet(size, allowance)
    _pause(fleet, rng, (0, 10))
    fleet.read_all(10)
    before = len(fleet.retries)
    fleet.requests.clear()
    _play(fleet, rng, 10, 40)
    assert len(fleet.retries) - before > 0.2 * 0.85 * len(fleet.requests)


_STEP = st.tuples(
    st.floats(0, 3),
    st.integers(0, 5),
    st.sampled_from(('abandon', 'unread', 'rejected', 'read')),
    st.integers(1, 60),
)


@given(st.lists(_STEP, max_size=60))
def test_budget_holds_whenever_upstreams_read(
    steps: list[tuple[float, int, str, int]],
) -> None:
    fleet = _fleet(6, 54)
    now: float = 0
    for pause_s, number, action, count in steps:
        now += pause_s
        if action == 'read':
            fleet.read_all(now)
            continue
        for _ in range(count):
            if action == 'rejected':
                fleet.request(number, now, 3)
                continue
            abandons = action == 'abandon'
            fleet.retry_unread(number, now, abandons=abandons)
    fleet.read_all(now)
    _assert_kept(fleet)
