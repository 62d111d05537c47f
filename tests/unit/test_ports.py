"""Ports of fleets that run side by side on one machine.

Two CI runs beside each other on one machine: `entry-1` ended at its start with
"Address already in use". A port was drawn by binding it, released, and opened
by the process for which it was drawn a second later; meanwhile the kernel drew
from the same range for every other run and each outgoing connection. Proof:
of 600 ports drawn twice, 23, 25 and 30 were the same (three runs).
"""

import json
import os
import pathlib
import subprocess
import sys

import pytest
from tallyhall_bench.ports import NoPortError, Ports, free_ports

_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
_DRAWN = 600
_OTHER_RUN = f"""
import json, sys
import pytest
from tallyhall_bench.ports import NoPortError, Ports, free_ports
print(json.dumps(free_ports({_DRAWN})), flush=True)
sys.stdin.read()
"""


def test_runs_side_by_side_draw_different_ports() -> None:
    command = [sys.executable, '-c', _OTHER_RUN]
    with subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as other:
        assert other.stdout is not None
        theirs = set(json.loads(other.stdout.readline()))
        ours = free_ports(_DRAWN)
        other.communicate(b'')
    assert len(set(ours)) == len(theirs) == _DRAWN
    assert not theirs & set(ours)


def test_outgoing_connections_take_no_drawn_port() -> None:
    first, last = map(int, _RANGE.read_text().split())
    assert not set(range(first, last + 1)) & set(free_ports(_DRAWN))


def test_a_port_is_drawn_once_in_a_process() -> None:
    drawn = free_ports(_DRAWN) + free_ports(_DRAWN)
    assert len(set(drawn)) == 2 * _DRAWN


def test_ports_that_others_have_given_back_are_drawn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Above the kernel's range, where no run draws.
    first = 61_000 + os.getpid() % 8 * 500
    monkeypatch.setattr('tallyhall_bench.ports._FIRST', first)
    monkeypatch.setattr('tallyhall_bench.ports._AFTER', first + 500)
    other, own = Ports(), Ports()
    with pytest.raises(NoPortError):
        [other.draw() for _ in range(501)]
    with pytest.raises(NoPortError):
        own.draw()
    for marker in other._markers:
        marker.close()
    assert first <= own.draw() < first + 500
