"""How an upstream is chosen: the policies that the bench compares.

`tallyhall` is the product's own. The others are baselines: they know only
what a plain balancer knows, keep no queue and ignore limits.
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

# Prompt work thrown away counts this many times its seconds, and at least as
# if a prompt token took this long.
_LOST_WEIGHT = 3.0
_LEAST_PROMPT_S = 0.0002


class Policy(Protocol):
    """Choice of an upstream for one request."""

    @property
    def bounded(self) -> bool:
        """Whether requests wait for a free slot and may be refused."""

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the upstream to use now, or None to wait.

        Only upstreams that are open are passed in.
        """


class RoundRobin:
    """Each upstream in turn, whatever its load."""

    bounded = False

    def __init__(self) -> None:
        """Start with the first upstream."""
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
    """The upstream with the least load in its last report."""

    bounded = False

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the least loaded; what was sent since then counts too."""
        if not upstreams:
            return None
        return min(upstreams, key=_reported_load)


class ExpectedTime:
    """Least expected time, with prompt work thrown away counted as time.

    Upstreams without a free slot are left out, so a request never queues in
    an engine, where no tier order exists; so are those on which it would end
    too late.
    """

    bounded = True

    def choose(
        self,
        ask: Ask,
        upstreams: Sequence[Upstream],
        output: float,
        left_s: float,
    ) -> Upstream | None:
        """Return the free upstream of least cost in seconds."""
        best: Upstream | None = None
        best_cost: tuple[float, float] = (0, 0)
        usual: float = 0
        if not all(upstream.speed.is_known for upstream in upstreams):
            usual = _usual_run(ask, upstreams, output)
        for upstream in upstreams:
            if not upstream.free():
                continue
            computed = _computed(ask, upstream)
            run = usual
            if upstream.speed.is_known:
                run = upstream.speed.run(computed, output)
            if run > left_s:
                continue
            cost = _cost(upstream, run, computed)
            if best is None or cost < best_cost:
                best = upstream
                best_cost = cost
        return best


def make_policy(name: str) -> Policy:
    """Return the policy of this name."""
    if name == ROUND_ROBIN:
        return RoundRobin()
    if name == LEAST_LOAD:
        return LeastLoad()
    return ExpectedTime()


def expected_output(
    lengths: OutputLengths,
    ask: Ask,
) -> float:
    """Return the output tokens to expect of a request; 0 for plain calls."""
    if not ask.prompt_tokens:
        return 0
    return lengths.expect(ask.workspace, ask.max_tokens)


def _computed(ask: Ask, upstream: Upstream) -> int:
    cached = upstream.cache.cached_tokens(ask.prefixes)
    return max(0, ask.prompt_tokens - cached)


def _usual_run(
    ask: Ask,
    upstreams: Sequence[Upstream],
    output: float,
) -> float:
    """Return the mean run of the known upstreams, 0 if none is known.

    An upstream of which nothing is known is expected to be like the others;
    taken for instant, it would get the work of which most is lost if it
    turns out to be slow.
    """
    runs = [
        upstream.speed.run(_computed(ask, upstream), output)
        for upstream in upstreams
        if upstream.speed.is_known
    ]
    return sum(runs) / max(len(runs), 1)


def _reported_load(upstream: Upstream) -> float:
    return upstream.reported + upstream.sent_since_report


def _cost(
    upstream: Upstream,
    run: float,
    lost_tokens: int,
) -> tuple[float, float]:
    lost = max(
        upstream.speed.prefill(lost_tokens),
        lost_tokens * _LEAST_PROMPT_S,
    )
    load = upstream.running / upstream.limit.slots
    # Sharing an engine slows every stream on it by about its load.
    seconds = run * (1 + load) + _LOST_WEIGHT * lost
    return (seconds, load)
