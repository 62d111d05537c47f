"""Faults drawn from a seed, two at once and the same twice: a short part."""

import pytest
from tallyhall_bench.fault_run import run_faults

pytestmark = pytest.mark.processes

_SEED = 5
_SECONDS = 30


def test_no_promise_is_broken() -> None:
    report = run_faults(_SEED, _SECONDS)
    assert not report.found
    assert report.faults > 5
    answered = [one for one in report.done if one.outcome.verdict == 'answered']
    assert len(answered) > len(report.done) // 2
