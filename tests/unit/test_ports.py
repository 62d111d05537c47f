"""Ports of fleets that run side by side on one machine.

Two CI runs beside each other on one machine: `entry-1` ended at its start with
"Address already in use". A port was drawn by binding it, released, and opened
by the process for which it was drawn a second later; meanwhile the kernel drew
from the same range for every other run and each outgoing connection. Proof:
of 600 ports drawn twice, 23, 25 and 30 were the same (three runs).
"""

import json
import subprocess
import sys

from tallyhall_bench.fleet import free_ports

_DRAWN = 600
_OTHER_RUN = f"""
import json, sys
from tallyhall_bench.fleet import free_ports
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
