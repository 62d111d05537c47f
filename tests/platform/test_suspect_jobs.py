"""Scheduling of suspects: one run per content, next to few other runs.

A suspect is a request whose content may crash upstreams.
"""

import random

import msgspec
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer_codec import decode_job, encode_job

_BROKEN = RunReport(AttemptOutcome.unknown, 0.1)
_ANSWERED = RunReport(AttemptOutcome.answered, 0.1, 0.05, 5, 0.05)
_SLOTS = 4
# Longer than it takes until all instances know the outcome of a run.
_SETTLE_S = 0.2


def _pool(upstreams: int) -> ServicePool:
    pool = ServicePool('svc', 5, random.Random(1))
    pool.set_upstreams(
        Upstream(f'u{number}', 'svc', '', 1, 'a', _SLOTS, leaving=False)
        for number in range(upstreams)
    )
    return pool


def _job(key: str, suspect: str = '') -> Job:
    return Job(key, 'svc', 'a', 0, 100, 30, 0, 5, 5, suspect_digest=suspect)


def _ask(pool: ServicePool, job: Job, now: float = 0) -> None:
    pool.enqueue(job)
    pool.decide(now)


def _running(pool: ServicePool) -> dict[str, str]:
    """Return where each job runs."""
    return {
        key: incarnation
        for incarnation, view in pool.views.items()
        for key in view.runs
    }


def test_attempts_of_a_suspect_run_in_turn() -> None:
    pool = _pool(3)
    _ask(pool, _job('first', 'x'))
    _ask(pool, _job('again', 'x'))
    _ask(pool, _job('usual'))
    assert _running(pool).keys() == {'first', 'usual'}
    pool.finish('first', _ANSWERED, 0.1)
    pool.decide(0.1)
    assert _running(pool).keys() == {'again', 'usual'}


def test_a_broken_run_delays_the_next_attempt() -> None:
    """The sender must first find out whether the upstream has ended."""
    pool = _pool(3)
    _ask(pool, _job('first', 'x'))
    pool.finish('first', _BROKEN, 0.1)
    _ask(pool, _job('again', 'x'), 0.1)
    assert not _running(pool)
    granted = pool.decide(0.1 + _SETTLE_S)
    assert [type(grant) for grant in granted] == [GrantDecision]


def test_a_started_answer_delays_no_attempt() -> None:
    pool = _pool(3)
    _ask(pool, _job('first', 'x'))
    pool.record_first_byte('first')
    _ask(pool, _job('again', 'x'))
    assert _running(pool).keys() == {'first', 'again'}


def test_suspects_start_on_different_upstreams() -> None:
    pool = _pool(2)
    for suspect in ('x', 'y', 'z'):
        _ask(pool, _job(suspect, suspect))
    placed = _running(pool)
    assert len(placed) == 2
    assert len(set(placed.values())) == 2


def test_a_suspect_runs_on_the_least_loaded_upstream() -> None:
    pool = _pool(2)
    for number in range(5):
        _ask(pool, _job(f'usual {number}'))
    loads = {name: len(view.runs) for name, view in pool.views.items()}
    _ask(pool, _job('suspect', 'x'))
    assert loads[_running(pool)['suspect']] == min(loads.values())


def test_the_owner_receives_the_suspect() -> None:
    ask = peers_pb2.Ask()
    encode_job(ask, _job('first', 'x'), 0)
    assert decode_job(ask, 0).suspect_digest == 'x'


def test_job_that_waits_for_months_can_be_sent_to_the_owner() -> None:
    ask = peers_pb2.Ask()
    months_s = 1e7
    job = msgspec.structs.replace(
        _job('first'), due_at=months_s, reject_at=float('inf')
    )
    encode_job(ask, job, 0)
    assert decode_job(ask, 0).due_at == 2_147_483.647
    assert decode_job(ask, 0).reject_at == 2_147_483.647
