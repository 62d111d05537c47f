"""Leaving upstreams get no new work; a graceful stop cuts nothing off."""

import json
import signal
import socket
import time
from collections.abc import Iterator

import pytest
from tallyhall_bench.fleet import Fleet
from tallyhall_bench.workloads import mixed_burst

from tests.processes.fleets import (
    count_answered,
    loaded,
    reasons,
    small_spec,
    violations,
)

pytestmark = pytest.mark.processes

_OVER_S = 6.0
# List lag 0.5, poll 1, gossip 2 rounds of 0.5, permit 1 and a call of 1 s.
_BOUND_S = 4.5
_EXIT_S = 40.0
_CALL = (
    b'POST /v1/services/tags/lots HTTP/1.1\r\n'
    b'host: entry\r\n'
    b'connection: close\r\n'
    b'x-tallyhall-workspace: foundry\r\n'
    b'x-tallyhall-tier: desk\r\n'
    b'x-tallyhall-deadline-ms: 5000\r\n'
    b'content-length: %d\r\n\r\n'
)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Start three instances before three engines."""
    with Fleet(small_spec()) as started:
        yield started


@pytest.mark.parametrize('kv_down', [False, True])
def test_a_leaving_upstream_gets_no_new_work(
    fleet: Fleet,
    kv_down: bool,
) -> None:
    fleet.faults('kv', down=kv_down)
    plan = mixed_burst(2, 120, _OVER_S * 2)
    leaving = fleet.upstreams['engine-1']
    with loaded(fleet, plan) as done:
        time.sleep(_OVER_S / 3)
        leaving.leaving = True
        fleet.announce()
        since = time.monotonic()
    late = [
        event
        for event in fleet.events()
        if event.get('event') == 'dispatched'
        and event['upstream'] == leaving.name
        and event['at'] > since + _BOUND_S
    ]
    assert not late
    assert not violations(fleet, done, plan)
    assert count_answered(done) > len(plan) // 2


def test_a_slow_reader_gets_its_answer_from_a_stopping_instance(
    fleet: Fleet,
) -> None:
    body = json.dumps({'lots': 'x' * 3_900_000}).encode()
    victim = fleet.instances.pop('entry-1')
    host, _, port = victim.address.rpartition(':')
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((host, int(port)))
        sock.sendall(_CALL % len(body) + body)
        answer = sock.recv(1)
        victim.process.send_signal(signal.SIGTERM)
        # Longer than it lingers for callers that still have its address.
        time.sleep(_OVER_S)
        part = sock.recv(65_536)
        while part:
            answer += part
            part = sock.recv(65_536)
    assert len(answer) > len(body)
    assert victim.process.wait(_EXIT_S) == 0


def test_stopping_all_one_after_the_other_cuts_nothing_off(
    fleet: Fleet,
) -> None:
    plan = mixed_burst(4, 150, _OVER_S * 2)
    names = tuple(fleet.instances)
    codes = []
    with loaded(fleet, plan) as done:
        for name in names:
            time.sleep(_OVER_S / 6)
            old = fleet.instances.pop(name)
            fresh = fleet.start_instance(f'{name}-b')
            fleet.wait_ready(fresh)
            old.process.send_signal(signal.SIGTERM)
            codes.append(old.process.wait(_EXIT_S))
    assert codes == [0, 0, 0]
    assert not violations(fleet, done, plan)
    assert reasons(done) <= {
        'answered',
        'shed',
        'deadline_unreachable',
        'deadline_exceeded',
    }
