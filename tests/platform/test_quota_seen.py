"""Each quota decision carries the quota state that it was based on."""

import json
import random

import pytest
from tallyhall_core.refusals import Reason
from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import AdmissionGate, Admitted, OverQuotaError
from tallyhall_dispatch.quota_limits import FleetView, QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_platform.decode import decode_state

from tests.platform.harness import KEY, SITE, desired


def _gate() -> AdmissionGate:
    gate = AdmissionGate(
        Freshness(5),
        RetryLimits(0.2, 50, 10),
        QuotaBounds(8, 0.1, 0),
        random.Random(1),
        -100,
    )
    changed = desired(1)
    changed['tenants'][0] |= {'rate-per-s': 100, 'burst': 200}
    gate.apply_state(decode_state(json.dumps(changed).encode()))
    gate.freshness.record_confirmation(0)
    return gate


def _admit(gate: AdmissionGate, tokens: int, now: float) -> Admitted:
    return gate.admit(SITE, '/safe/x', KEY, tokens, now)


def test_admission_carries_the_quota_state() -> None:
    gate = _gate()
    gate.quotas.apply_fleet(FleetView(4, 0.5, 0.75))
    gate.quotas.record_admitted('shop', 200, 0.5)
    seen = _admit(gate, 50, 1).quota_state
    assert seen is not None
    assert seen.used == 200
    assert seen.limit == 0.5 * 1000 + 0.5 * 100 / 4
    assert seen.heard_fraction == 0.5
    assert seen.data_age_s == 0.25


def test_refusal_carries_the_quota_state() -> None:
    gate = _gate()
    gate.quotas.record_admitted('shop', 990, 0.5)
    with pytest.raises(OverQuotaError) as caught:
        _admit(gate, 500, 1)
    assert caught.value.refusal.reason is Reason.rate_limited
    assert caught.value.quota_state is not None
    assert caught.value.quota_state.used == 990
