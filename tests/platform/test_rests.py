"""Backoff requested by upstreams: which jobs avoid them, and for how long."""

import random

from tallyhall_dispatch.backoffs import Backoffs
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.jobs import Job
from tallyhall_dispatch.pool import GrantDecision, ServicePool
from tallyhall_dispatch.rejection import RejectDecision
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer_codec import decode_job, encode_job

_REST_S = 3.0


def _pool() -> ServicePool:
    pool = ServicePool('svc', 5, random.Random(1))
    pool.set_upstreams(
        Upstream(name, 'svc', '', 1, 'a', 1, leaving=False)
        for name in ('u', 'v')
    )
    return pool


def _job(key: str, backoffs: dict[str, float]) -> Job:
    return Job(key, 'svc', 'a', 0, 100, 30, 0, 5, 5, backoffs=backoffs)


def test_longest_backoff_applies_until_it_ends() -> None:
    rests = Backoffs()
    rests.add('u', _REST_S, 0)
    rests.add('u', 1, 0.5)
    assert rests.is_backing_off('u', _REST_S - 0.1)
    assert not rests.is_backing_off('u', _REST_S)
    assert not rests.is_backing_off('v', 0)
    assert rests.current(1) == {'u': _REST_S}
    assert not rests.current(_REST_S)


def test_only_instances_that_were_asked_back_off() -> None:
    pool = _pool()
    pool.enqueue(_job('told', {'u': _REST_S}))
    pool.enqueue(_job('free', {}))
    placed = {
        grant.key: grant.upstream.name
        for grant in pool.decide(0)
        if isinstance(grant, GrantDecision)
    }
    assert placed == {'told': 'v', 'free': 'u'}


def test_queued_job_gets_the_slot_when_the_backoff_ends() -> None:
    pool = _pool()
    pool.enqueue(_job('busy', {'u': _REST_S}))
    pool.decide(0)
    pool.enqueue(_job('next', {'u': _REST_S}))
    assert not pool.decide(_REST_S - 0.1)
    granted = pool.decide(_REST_S)
    assert [grant.key for grant in granted] == ['next']


def test_retry_delay_is_the_first_end_of_a_backoff_if_all_back_off() -> None:
    pool = _pool()
    pool.enqueue(_job('told', {'u': _REST_S, 'v': _REST_S + 1}))
    assert pool.decide(0) == [RejectDecision('told', _REST_S)]
    assert (
        pool.backoff_ends_in_s({'u': _REST_S, 'v': _REST_S + 1}, 0) == _REST_S
    )
    assert pool.backoff_ends_in_s({'u': _REST_S}, 0) == 0


def test_backoff_ends_are_converted_to_the_clock_of_the_owner() -> None:
    ask = peers_pb2.Ask()
    encode_job(ask, _job('told', {'u': 103}), 100)
    assert decode_job(ask, 7).backoffs == {'u': 10}
