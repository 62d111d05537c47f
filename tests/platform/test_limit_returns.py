"""Retry delays for callers rejected because of upstream rate limits."""

import random

import pytest
from tallyhall_dispatch.class_priority import ClassPriority
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.forecast import Forecast
from tallyhall_dispatch.group import UpstreamGroup
from tallyhall_dispatch.jobs import Job
from tallyhall_dispatch.rejection import RejectionPolicy
from tallyhall_dispatch.switches import ALL_ENABLED
from tallyhall_dispatch.urgency_stats import GrantRates, ServedFractions
from tallyhall_dispatch.wait_forecast import WaitForecast

_LIMIT_PER_S = 0.25


@pytest.mark.parametrize(
    ('limited', 'least_s', 'most_s'),
    [(('u', 'v'), 8, 30), (('u',), 0.25, 3)],
)
def test_retry_delay_covers_the_wait_for_the_rate_limits(
    limited: tuple[str, ...],
    least_s: float,
    most_s: float,
) -> None:
    """Only if all upstreams have limits; others may have a slot sooner."""
    rng = random.Random(1)
    group = UpstreamGroup(ALL_ENABLED, rng)
    group.set_upstreams(
        Upstream(name, 'svc', '', 1, 'a', 1, leaving=False)
        for name in ('u', 'v')
    )
    group.apply_limits(dict.fromkeys(limited, _LIMIT_PER_S), 1, 0)
    priority = ClassPriority(ServedFractions())
    waits = WaitForecast(GrantRates(), priority, lambda _urgency, _now: 9)
    policy = RejectionPolicy(group, waits, priority, rng, ALL_ENABLED)
    job = Job('k', 'svc', 'a', 0, 100, 30, 0, 1, 2)
    rate = 2 * _LIMIT_PER_S
    rejection = policy.evaluate(job, 4, Forecast(0, rate, 0.03, 0.0001))
    assert rejection is not None
    assert least_s <= rejection.retry_after_s <= most_s
