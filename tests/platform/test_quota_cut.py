"""Quotas while instances are partitioned and have not detected it yet.

In a fleet of 87, 26 instances were cut off from all others and the store 3 s
after a workspace had started to send eight times its usual load. The workspace
was admitted 6.33 million tokens in 8 s instead of at most 5.29 million:

- An instance detects a partition after 3.3 heartbeats, 3.5 s in this fleet.
  Until then, each of the 26 admitted up to the remaining quota it last knew of,
  as if it were the only one to use it: 1.5 million above the quota (events 400
  with `over_quota_s` and `heard` 1, with a growing `known_ms_ago`).
- After 2.5 s without reports, each of them dropped the use reported by hubs and
  admitted 0.7 million more as if the quota were unused.

The other 61 instances stayed within the quota. Without a partition the same
effect is smaller, since counts are one to two heartbeats old.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tallyhall_dispatch.desired import Workspace
from tallyhall_dispatch.quota_limits import QuotaBounds

from tests.platform.quota_fleet import Load, QuotaFleet, simulated

_BOUNDS = QuotaBounds(8, 0.1, 140_000)
_USUAL = 0.55
_SURGE = 8


def _workspace(scale: float) -> Workspace:
    rate, burst = 565_000 * scale, 160_000 * scale
    return Workspace('w', None, rate, burst, True, 1)


class _Scenario:
    """A surge that starts after 2 s, and a partition."""

    def __init__(self, size: int, scale: float, seed: int) -> None:
        self.clock = simulated()
        self.size = size
        self.fleet = QuotaFleet(
            self.clock,
            size,
            _workspace(scale),
            _BOUNDS,
            seed,
        )
        self.surge: float = _SURGE
        self.skew: float = 0
        self._began_at = self.clock.now + 10
        self._load = Load(self._per_s, self._pick)

    def play(self, cut_s: float, cut: list[int]) -> None:
        """Partition these instances at `cut_s` and run for two more windows."""
        self.fleet.run(10 + cut_s, self._load)
        self.fleet.cut = frozenset(cut)
        self.fleet.run(16, self._load)

    def hubs_first(self, hubs: int) -> list[int]:
        """Return all numbers, `hubs` hubs first, the other hubs last."""
        names = sorted(self.fleet.nodes[0].hubs)
        first = [int(name[1:]) for name in names[:hubs]]
        last = [int(name[1:]) for name in names[hubs:]]
        known = {*first, *last}
        others = [one for one in range(self.size) if one not in known]
        return first + others + last

    def _per_s(self, now: float) -> float:
        factor = self.surge if now >= self._began_at + 2 else 1
        return factor * _USUAL * self.fleet.limit / 8

    def _pick(self, rng: random.Random) -> int:
        if rng.random() < self.skew:
            return 0
        return rng.randrange(self.size)


async def test_isolated_instances_stay_within_the_quota() -> None:
    """26 of 87 instances are isolated while most of the quota is used."""
    scenario = _Scenario(87, 1, 1)
    scenario.play(5, list(range(61, 87)))
    assert scenario.fleet.most <= scenario.fleet.allowed


@pytest.mark.parametrize('hubs', [0, 2, 4])
@pytest.mark.parametrize('apart', [True, False])
@pytest.mark.parametrize('cut_s', [1.9, 2.3])
async def test_partition_at_start_of_surge_stays_within_the_quota(
    hubs: int,
    cut_s: float,
    *,
    apart: bool,
) -> None:
    """Nearly half of the quota is left at the time of the partition."""
    scenario = _Scenario(87, 1, 2)
    scenario.fleet.run(1)
    scenario.fleet.cut_apart = apart
    scenario.play(cut_s, scenario.hubs_first(hubs)[:26])
    assert scenario.fleet.most <= scenario.fleet.allowed


@settings(max_examples=40)
@given(
    st.integers(0, 10_000),
    st.integers(2, 16),
    st.floats(1, 6),
    st.sampled_from((1, 4, 8)),
    st.sampled_from((0, 0.9)),
    st.sampled_from((0.001, 0.03, 0.2)),
)
def test_mesh_stays_within_the_quota_in_any_partition(
    seed: int,
    size: int,
    cut_s: float,
    surge: float,
    skew: float,
    slowest_s: float,
) -> None:
    """Any instances are cut off at any time, with up to 0.2 s latency."""
    asyncio.run(_mesh(seed, size, cut_s, surge, skew, slowest_s))


async def _mesh(
    seed: int,
    size: int,
    cut_s: float,
    surge: float,
    skew: float,
    slowest_s: float,
) -> None:
    rng = random.Random(seed)
    scenario = _Scenario(size, 0.3, seed)
    scenario.surge = surge
    scenario.skew = skew
    scenario.fleet.delay_s = (0.0005, slowest_s)
    scenario.fleet.cut_apart = rng.random() < 0.5
    scenario.play(cut_s, rng.sample(range(size), rng.randrange(size)))
    assert scenario.fleet.most <= scenario.fleet.allowed


@pytest.mark.parametrize(('size', 'scale'), [(7, 0.3), (16, 0.3), (87, 1)])
@pytest.mark.parametrize('skew', [0, 0.9])
async def test_usual_load_is_hardly_refused(
    size: int,
    scale: float,
    skew: float,
) -> None:
    """Less than 0.5% of what fits into the quota is refused.

    The load is 0.55 of the quota for 46 s; one request in a hundred has 50,000
    tokens.
    """
    scenario = _Scenario(size, scale, 3)
    # Until all instances hear each other.
    scenario.fleet.run(5)
    scenario.surge = 1
    scenario.skew = skew
    scenario.play(20, [])
    assert scenario.fleet.fitted > 0
    assert scenario.fleet.denied <= 0.005 * scenario.fleet.fitted
