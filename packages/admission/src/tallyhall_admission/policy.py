"""Load balancing policies: how an upstream is chosen for a request.

`tallyhall` is the default. The others are baselines for benchmarks: they use
only the data of a plain load balancer, keep no queue and ignore limits.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from tallyhall_core.messages import Ask

from .estimate import OutputLengths
from .upstream import Upstream

ROUND_ROBIN = 'round-robin'
LEAST_LOAD = 'least-load'
TALLYHALL = 'tallyhall'
POLICIES = (ROUND_ROBIN, LEAST_LOAD, TALLYHALL)

# Prompt tokens that must be computed, since they are not cached, are weighted
# by this factor of their expected time, with a minimum time per token.
_PREFILL_WEIGHT = 3.0
_MIN_PREFILL_S_PER_TOKEN = 0.0002


class Policy(Protocol):
    """Choice of an upstream for one request."""

    @property
    def queues_requests(self) -> bool:
        """Whether requests wait for a free slot and may be refused."""

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the upstream to use now, or None to wait.

        `upstreams` contains only upstreams that are available.
        """


class RoundRobin:
    """Chooses the upstreams in turn, regardless of load."""

    queues_requests = False

    def __init__(self) -> None:
        """Start a new cycle."""
        self._turn = 0

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the next upstream in order of name."""
        if not upstreams:
            return None
        self._turn += 1
        return upstreams[self._turn % len(upstreams)]


class LeastLoad:
    """Chooses the upstream with the lowest reported load."""

    queues_requests = False

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the least loaded, counting requests since its report."""
        if not upstreams:
            return None
        return min(upstreams, key=_reported_load)


class LeastExpectedTime:
    """Chooses the upstream with the least expected run time.

    The computation of uncached prompt tokens counts extra. Upstreams without
    a free slot are excluded, so that no request queues in an engine, which
    does not order by tier; so are those that would miss the deadline.
    """

    queues_requests = True

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the free upstream with the lowest cost in seconds."""
        best: Upstream | None = None
        best_cost: tuple[float, float] = (0, 0)
        default_run: float = 0
        if not all(upstream.speed.is_known for upstream in upstreams):
            default_run = _mean_run_s(ask, upstreams, output)
        for upstream in upstreams:
            if not upstream.free_slots():
                continue
            uncached = _uncached_tokens(ask, upstream)
            run = default_run
            if upstream.speed.is_known:
                run = upstream.speed.expected_run_s(uncached, output)
            if run > left_s:
                continue
            cost = _cost(upstream, run, uncached)
            if best is None or cost < best_cost:
                best = upstream
                best_cost = cost
        return best


def make_policy(name: str) -> Policy:
    """Return the policy with this name."""
    if name == ROUND_ROBIN:
        return RoundRobin()
    if name == LEAST_LOAD:
        return LeastLoad()
    return LeastExpectedTime()


def expected_output(
    lengths: OutputLengths,
    ask: Ask,
) -> float:
    """Return the expected output tokens; 0 for plain calls."""
    if not ask.prompt_tokens:
        return 0
    return lengths.predict(ask.workspace, ask.max_tokens)


def _uncached_tokens(ask: Ask, upstream: Upstream) -> int:
    cached = upstream.cache.cached_tokens(ask.prefixes)
    return max(0, ask.prompt_tokens - cached)


def _mean_run_s(
    ask: Ask,
    upstreams: Sequence[Upstream],
    output: float,
) -> float:
    """Return the mean run time on upstreams with samples, 0 if none has any.

    It is the estimate for upstreams without samples. With an estimate of 0
    these would get the most expensive requests, which would be lost if the
    upstream turned out to be slow.
    """
    runs = [
        upstream.speed.expected_run_s(_uncached_tokens(ask, upstream), output)
        for upstream in upstreams
        if upstream.speed.is_known
    ]
    return sum(runs) / max(len(runs), 1)


def _reported_load(upstream: Upstream) -> float:
    return upstream.reported_requests + upstream.sent_since_report


def _cost(
    upstream: Upstream,
    run: float,
    uncached_tokens: int,
) -> tuple[float, float]:
    lost = max(
        upstream.speed.prefill_s(uncached_tokens),
        uncached_tokens * _MIN_PREFILL_S_PER_TOKEN,
    )
    load = upstream.running / upstream.limit.slots
    # Every stream on an engine slows down roughly in proportion to its load.
    seconds = run * (1 + load) + _PREFILL_WEIGHT * lost
    return (seconds, load)
