"""Tier order, leaving and limits over any interleaving of a pool's events."""

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
from tallyhall_admission.holds import Holds
from tallyhall_admission.outgoing import Outgoing
from tallyhall_admission.roster import Roster
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
# Nothing has to be shrunk where a failure is what is wanted.
_SEARCH = settings(
    max_examples=400,
    stateful_step_count=60,
    phases=(Phase.generate,),
)


class PoolMachine(RuleBasedStateMachine):
    """Asks, ends, losses, lists and time in any order, all answers checked.

    `running` is the truth at the homes: a request runs from its permit until
    the home reports its end, whatever the pool believes.
    """

    def __init__(self) -> None:
        """Start with three upstreams that are open."""
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
        """Let a new request arrive."""
        ask = build.ask(len(self.asks), tier, workspace, left_s)
        self.asks[ask.id] = ask
        self.deadlines[ask.id] = self.now + left_s
        self.waiting.add(ask.id)
        self.take(self.pool.ask(ask, self.now))

    @rule(place=st.integers(0, 50), total_s=st.sampled_from((0.2, 2, 8)))
    def end(self, place: int, total_s: float) -> None:
        """End a running request."""
        if self.running:
            rid = sorted(self.running)[place % len(self.running)]
            upstream = self.running.pop(rid)
            done = build.done(self.asks[rid], upstream, total_s)
            self.take(self.pool.done(done, self.now))

    @rule(place=st.integers(0, 50))
    def repeat(self, place: int) -> None:
        """Let an ask arrive once more, whatever became of it."""
        unfinished = sorted(self.waiting | self.running.keys())
        if unfinished:
            rid = unfinished[place % len(unfinished)]
            self.take(self.pool.ask(self.asks[rid], self.now))

    @rule(place=st.integers(0, 50))
    def withdraw(self, place: int) -> None:
        """Let a home give up a waiting request."""
        if self.waiting:
            rid = sorted(self.waiting)[place % len(self.waiting)]
            self.waiting.discard(rid)
            self.take(self.pool.withdraw(rid, self.now))

    @rule(leaving=st.sets(st.sampled_from(_UPSTREAMS), max_size=2))
    def change_list(self, leaving: set[str]) -> None:
        """Let upstreams leave or come back."""
        self.leaving = leaving
        infos = tuple(
            UpstreamInfo(name, f'{name}:1', leaving=name in leaving)
            for name in _UPSTREAMS
        )
        self.pool.take_instances(infos)

    @rule(
        upstream=st.sampled_from(_UPSTREAMS),
        tokens=st.sampled_from((0, 5, 100)),
    )
    def progress(self, upstream: str, tokens: int) -> None:
        """Report tokens of open streams, none for a stall."""
        report = Progress(build.SERVICE, upstream, 2, tokens, 0.5)
        self.take(self.pool.progress(report, self.now))

    @rule(seconds=st.sampled_from((0.1, 0.6, 2.1, 6)))
    def tick(self, seconds: float) -> None:
        """Let time pass; homes end what is past its deadline."""
        self.now += seconds
        for rid, upstream in list(self.running.items()):
            if self.deadlines[rid] <= self.now:
                self.running.pop(rid)
                done = build.done(self.asks[rid], upstream)
                late = dataclasses.replace(done, ok=False)
                self.take(self.pool.done(late, self.now))
        self.take(self.pool.tick(self.now))

    @invariant()
    def nothing_is_lost(self) -> None:
        """Every request is waiting, permitted or answered, and only one."""
        assert self.pool.counts().waiting == len(self.waiting)
        assert not self.waiting & self.running.keys()

    @invariant()
    def rows_are_kept(self) -> None:
        """No workspace runs more than its row allows."""
        for workspace in _WORKSPACES:
            used = [
                rid
                for rid in self.running
                if self.asks[rid].workspace == workspace
            ]
            assert len(used) <= _CONCURRENCY

    def take(self, messages: list[Outgoing]) -> None:
        """Check messages in the order in which homes get them."""
        for outgoing in messages:
            match outgoing.message:
                case Permit() as permit:
                    self.permitted(permit)
                case AskRefused() as refused:
                    self.refused(refused)
                case Revoke() as revoke:
                    assert revoke.id in self.running

    def permitted(self, permit: Permit) -> None:
        """Check a permit, new or repeated."""
        known = self.running.get(permit.id)
        if known is not None:
            assert known == permit.upstream
            return
        assert permit.id in self.waiting
        assert permit.upstream not in self.leaving
        rank = self.rank(permit.id)
        for above, at in self.shed_at.items():
            assert rank <= above or self.now - at >= _HOLD_S
        self.waiting.remove(permit.id)
        self.running[permit.id] = permit.upstream

    def refused(self, refused: AskRefused) -> None:
        """Check a refusal: what runs has none, tiers keep their order."""
        assert refused.id in self.waiting
        assert refused.retry_after_s > 0
        self.waiting.remove(refused.id)
        if refused.reason not in _SHED:
            return
        rank = self.rank(refused.id)
        lower = [rid for rid in self.running if self.rank(rid) > rank]
        assert not lower
        held = self.shed_at.get(rank, -_HOLD_S)
        if self.now - held >= _HOLD_S:
            self.shed_at[rank] = self.now

    def rank(self, rid: str) -> int:
        """Return the rank of a request's tier."""
        return build.TIERS.index(self.asks[rid].tier)


def test_pool_over_any_interleaving() -> None:
    run_state_machine_as_test(PoolMachine, settings=_RUN)


def _always(*_: object) -> bool:
    return True


def _never(*_: object) -> int:
    return 0


@pytest.mark.parametrize(
    ('owner', 'name', 'broken'),
    [
        (Roster, 'runs_below', _never),
        (Holds, 'left', _never),
        (Upstream, 'is_open', _always),
    ],
    ids=['lower tiers not looked at', 'no hold', 'leaving not looked at'],
)
def test_each_rule_is_needed(
    owner: type,
    name: str,
    broken: Callable[..., int],
) -> None:
    with mock.patch.object(owner, name, broken):
        with pytest.raises(AssertionError):
            run_state_machine_as_test(PoolMachine, settings=_SEARCH)
