"""What was charged for a request that did not run.

Under load most of what was admitted waits and is given up. A workspace was
admitted more than its quota although no instance had a wrong count of what
ran. A charge was returned as a negative amount at the time of the return.
When the charge left the window the return was still in it, and the sum was
too low by that amount for as long as the request had waited. A day of high
load showed 0.7 million tokens a second of such returns (events 400 without
401), and their sum was the sum of what was admitted too much. A caller that
left before its request was sent was never given its charge back.
"""

import asyncio
import json
import random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from tallyhall_core.refusals import RefusedError
from tallyhall_dispatch.desired import Workspace
from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import Admitted, Gate
from tallyhall_dispatch.quota_limits import QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_platform.decode import decode_state

from tests.platform.harness import (
    KEY,
    MODEL,
    SITE,
    deployment,
    desired,
    route,
    until,
)
from tests.platform.quota_fleet import QuotaFleet, simulated
from tests.platform.windows import most_in_window

_WINDOW_S = 8
_BOUNDS = QuotaBounds(_WINDOW_S, 0.1, 0)
_LIMIT = 1000
_WORKSPACE = Workspace('shop', None, 100, 200, True, 10)


def _state(rate: int, burst: int) -> bytes:
    changed = desired(1)
    changed['tenants'][0] |= {'rate-per-s': rate, 'burst': burst}
    return json.dumps(changed).encode()


def _gate() -> Gate:
    retries = RetryLimits(0.2, 50, 10)
    gate = Gate(Freshness(5), retries, _BOUNDS, random.Random(1), -100)
    gate.take_state(decode_state(_state(100, 200)))
    return gate


def _admit(gate: Gate, tokens: int, now: float) -> Admitted | None:
    gate.freshness.confirm(now)
    try:
        return gate.admit(SITE, '/safe/x', KEY, tokens, now)
    except RefusedError:
        return None


def test_a_return_does_not_outlive_its_charge() -> None:
    """One waits 4 s and is given up; the quota is used once, not twice."""
    gate = _gate()
    waiting = _admit(gate, 900, 0)
    assert waiting is not None
    gate.give_back(waiting, 4)
    assert _admit(gate, 900, 4.1)
    assert _admit(gate, 900, 8.4) is None


async def test_others_take_a_return_back_where_it_was_charged() -> None:
    clock = simulated()
    fleet = QuotaFleet(clock, 2, _WORKSPACE, _BOUNDS)
    gate, other = (node.gate for node in fleet.nodes)
    fleet.run(1)
    gate.take_state(decode_state(_state(100, 200)))
    waiting = _admit(gate, 900, clock.now)
    assert waiting is not None
    fleet.run(4)
    gate.give_back(waiting, clock.now)
    fleet.run(1)
    assert not other.quotas.take('shop', 900, clock.now)
    fleet.run(3.6)
    assert other.quotas.take('shop', 900, clock.now) > 0


async def test_returns_that_waited_unequally_hide_nothing_that_ran() -> None:
    """Of three charges of 300 the first and the last are returned at once.

    They waited 7 s and 0.2 s. Taken back at the mean of that, both came off
    the one between, which ran: when the first left the window, the sum of
    the other instance was 0 for 3 s.
    """
    clock = simulated()
    fleet = QuotaFleet(clock, 2, _WORKSPACE, _BOUNDS)
    gate, other = (node.gate for node in fleet.nodes)
    fleet.run(1)
    gate.take_state(decode_state(_state(100, 200)))
    charged = []
    for wait_s in (3, 3.8, 0.2):
        charged.append(_admit(gate, 300, clock.now))
        fleet.run(wait_s)
    first, _, last = charged
    assert first is not None and last is not None
    gate.give_back(first, clock.now)
    gate.give_back(last, clock.now)
    fleet.run(2)
    assert other.quotas.take('shop', 750, clock.now) > 0


@given(
    st.lists(
        st.tuples(
            st.floats(0, 1, allow_nan=False),
            st.integers(1, 300),
            st.floats(0, 6, allow_nan=False),
            st.booleans(),
        ),
        max_size=80,
    ),
)
def test_what_ran_stays_within_the_quota_whatever_is_returned(
    steps: list[tuple[float, int, float, bool]],
) -> None:
    """Each request waits; then it runs or its charge is returned."""
    gate = _gate()
    waiting: list[tuple[float, Admitted]] = []
    ran: list[tuple[float, float]] = []
    now: float = 0
    for pause, tokens, wait_s, runs in steps:
        now += pause
        waiting.sort(key=lambda one: one[0])
        while waiting and waiting[0][0] <= now:
            ends_at, unserved = waiting.pop(0)
            gate.give_back(unserved, ends_at)
        admitted = _admit(gate, tokens, now)
        if admitted is None:
            continue
        if runs:
            ran.append((now, tokens))
            continue
        waiting.append((now + wait_s, admitted))
    assert most_in_window(ran, _WINDOW_S) <= _LIMIT * 1.1


async def test_a_caller_that_leaves_unsent_gives_its_charge_back() -> None:
    """Four public requests hold all places; then the quota is needed."""
    async with deployment() as made:
        engine = await made.add_engine('model-0', event_s=0.15)
        await made.ready()
        changed = json.loads(_state(1, 10_000)) | {'version': 2}
        free = {'kind': 'streaming', 'service': MODEL, 'public': True}
        changed['routes'].append(route('free', **free))
        await made.change(changed)
        counts: dict[str, Any] = {'X_Tallyhall_Token_Counts': '100,100'}
        holding = [made.caller() for _ in range(4)]
        runs = [
            await caller.start('/free/x', f'h{number}', **counts)
            for number, caller in enumerate(holding)
        ]
        await until(lambda: len(engine.ran) == len(runs))
        large: dict[str, Any] = {'X_Tallyhall_Token_Counts': '3000,100'}
        left = made.caller()
        await left.start('/stream/x', 'left', **large)
        await asyncio.sleep(0.1)
        assert left.conn is not None
        left.conn.close()
        await asyncio.gather(*runs)
        assert len(engine.ran) == len(runs)
        answer = await made.caller().ask('/stream/x', 'next', **large)
        assert answer.status == 200
