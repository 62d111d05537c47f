"""Pool invariants under random event sequences: tier order and limits."""

import dataclasses
from collections.abc import Callable
from unittest import mock

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from tallyhall_admission.outgoing import Outgoing
from tallyhall_admission.service_state import ServiceState
from tallyhall_admission.tier_holds import TierHolds
from tallyhall_admission.upstream import Upstream, UpstreamInfo
from tallyhall_core.messages import Ask, AskRefused, Permit, Progress, Revoke
from tallyhall_core.refusals import Reason

from tests.unit import admission as build

_UPSTREAMS = tuple(f'engine-{number}' for number in range(3))
_WORKSPACES = ('foundry', 'kitchen')
_CONCURRENCY = 5
_HOLD_S = 2.0
_SHED = frozenset((Reason.shed, Reason.queue_full))
_RUN = settings(max_examples=150, stateful_step_count=60)
# The test expects a failure, so examples are not shrunk.
_SEARCH = settings(
    max_examples=400,
    stateful_step_count=60,
    phases=(Phase.generate,),
)


class PoolMachine(RuleBasedStateMachine):
    """Sends random events to a pool and checks each message that it returns.

    `running` is the state at the homes: a request runs from its permit until
    the home reports its end, regardless of the state of the pool.
    """

    def __init__(self) -> None:
        """Start with three available upstreams."""
        super().__init__()
        self.pool = build.pool(len(_UPSTREAMS), 2, concurrency=_CONCURRENCY)
        self.now: float = 0
        self.asks: dict[str, Ask] = {}
        self.deadlines: dict[str, float] = {}
        self.waiting: set[str] = set()
        self.running: dict[str, str] = {}
        self.leaving: set[str] = set()
        self.shed_at: dict[int, float] = {}

    @rule(
        tier=st.sampled_from(build.TIERS),
        workspace=st.sampled_from(_WORKSPACES),
        left_s=st.sampled_from((0.5, 3, 12)),
    )
    def ask(self, tier: str, workspace: str, left_s: float) -> None:
        """Send a new request."""
        ask = build.ask(len(self.asks), tier, workspace, left_s)
        self.asks[ask.id] = ask
        self.deadlines[ask.id] = self.now + left_s
        self.waiting.add(ask.id)
        self.check(self.pool.ask(ask, self.now))

    @rule(index=st.integers(0, 50), total_s=st.sampled_from((0.2, 2, 8)))
    def end(self, index: int, total_s: float) -> None:
        """Complete a running request."""
        if self.running:
            rid = sorted(self.running)[index % len(self.running)]
            upstream = self.running.pop(rid)
            done = build.done(self.asks[rid], upstream, total_s)
            self.check(self.pool.done(done, self.now))

    @rule(index=st.integers(0, 50))
    def repeat(self, index: int) -> None:
        """Send a duplicate of an unfinished request."""
        unfinished = sorted(self.waiting | self.running.keys())
        if unfinished:
            rid = unfinished[index % len(unfinished)]
            self.check(self.pool.ask(self.asks[rid], self.now))

    @rule(index=st.integers(0, 50))
    def withdraw(self, index: int) -> None:
        """Withdraw a waiting request."""
        if self.waiting:
            rid = sorted(self.waiting)[index % len(self.waiting)]
            self.waiting.discard(rid)
            self.check(self.pool.withdraw(rid, self.now))

    @rule(leaving=st.sets(st.sampled_from(_UPSTREAMS), max_size=2))
    def change_list(self, leaving: set[str]) -> None:
        """Change which upstreams are leaving."""
        self.leaving = leaving
        infos = tuple(
            UpstreamInfo(name, f'{name}:1', leaving=name in leaving)
            for name in _UPSTREAMS
        )
        self.pool.apply_upstreams(infos)

    @rule(
        upstream=st.sampled_from(_UPSTREAMS),
        tokens=st.sampled_from((0, 5, 100)),
    )
    def progress(self, upstream: str, tokens: int) -> None:
        """Report the tokens of open streams; 0 is a stall."""
        report = Progress(build.SERVICE, upstream, 2, tokens, 0.5)
        self.check(self.pool.progress(report, self.now))

    @rule(seconds=st.sampled_from((0.1, 0.6, 2.1, 6)))
    def tick(self, seconds: float) -> None:
        """Advance the time; homes end requests past their deadline."""
        self.now += seconds
        for rid, upstream in list(self.running.items()):
            if self.deadlines[rid] <= self.now:
                self.running.pop(rid)
                done = build.done(self.asks[rid], upstream)
                late = dataclasses.replace(done, ok=False)
                self.check(self.pool.done(late, self.now))
        self.check(self.pool.tick(self.now))

    @invariant()
    def no_request_is_lost(self) -> None:
        """Every request is in exactly one state: waiting, running or ended."""
        assert self.pool.counts().waiting == len(self.waiting)
        assert not self.waiting & self.running.keys()

    @invariant()
    def concurrency_is_limited(self) -> None:
        """No workspace exceeds its concurrency limit."""
        for workspace in _WORKSPACES:
            running = [
                rid
                for rid in self.running
                if self.asks[rid].workspace == workspace
            ]
            assert len(running) <= _CONCURRENCY

    def check(self, messages: list[Outgoing]) -> None:
        """Check messages in the order in which homes receive them."""
        for outgoing in messages:
            match outgoing.message:
                case Permit() as permit:
                    self.check_permit(permit)
                case AskRefused() as refused:
                    self.check_refusal(refused)
                case Revoke() as revoke:
                    assert revoke.id in self.running

    def check_permit(self, permit: Permit) -> None:
        """Check a permit, which may be a duplicate."""
        known = self.running.get(permit.id)
        if known is not None:
            assert known == permit.upstream
            return
        assert permit.id in self.waiting
        assert permit.upstream not in self.leaving
        rank = self.rank(permit.id)
        for shed_rank, at in self.shed_at.items():
            assert rank <= shed_rank or self.now - at >= _HOLD_S
        self.waiting.remove(permit.id)
        self.running[permit.id] = permit.upstream

    def check_refusal(self, refused: AskRefused) -> None:
        """Check that no running request is refused and the tier order."""
        assert refused.id in self.waiting
        assert refused.retry_after_s > 0
        self.waiting.remove(refused.id)
        if refused.reason not in _SHED:
            return
        rank = self.rank(refused.id)
        lower = [rid for rid in self.running if self.rank(rid) > rank]
        assert not lower
        shed_at = self.shed_at.get(rank, -_HOLD_S)
        if self.now - shed_at >= _HOLD_S:
            self.shed_at[rank] = self.now

    def rank(self, rid: str) -> int:
        """Return the rank of a request's tier."""
        return build.TIERS.index(self.asks[rid].tier)


def test_invariants_under_random_events() -> None:
    run_state_machine_as_test(PoolMachine, settings=_RUN)


def _always(*_: object) -> bool:
    return True


def _never(*_: object) -> int:
    return 0


@pytest.mark.parametrize(
    ('target', 'name', 'replacement'),
    [
        (ServiceState, 'has_lower_tier_running', _never),
        (TierHolds, 'remaining_s', _never),
        (Upstream, 'is_available', _always),
    ],
    ids=['lower tiers ignored', 'no hold', 'leaving ignored'],
)
def test_each_rule_is_needed(
    target: type,
    name: str,
    replacement: Callable[..., int],
) -> None:
    """The state machine fails if a rule of the pool is disabled."""
    with mock.patch.object(target, name, replacement):
        with pytest.raises(AssertionError):
            run_state_machine_as_test(PoolMachine, settings=_SEARCH)
