"""What was charged for a request that did not run.

Under load most of what was admitted waits and is given up. A workspace was
admitted more than its quota although no instance had a wrong count of what
ran. A charge was returned as a negative amount at the time of the return.
When the charge left the window the return was still in it, and the sum was
too low by that amount for as long as the request had waited. A day of high
load showed 0.7 million tokens a second of such returns (events 400 without
401), and their sum was the sum of what was admitted too much.
"""

import json
import random

from tallyhall_core.refusals import RefusedError
from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import Admitted, Gate
from tallyhall_dispatch.quota import QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_platform.decode import decode_state

from tests.platform.harness import KEY, SITE, desired

_WINDOW_S = 8
_BOUNDS = QuotaBounds(_WINDOW_S, 0.1, 0)


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
