"""What a process uses of its machine, as Linux counts it."""

from __future__ import annotations

import os
import pathlib

_KB = 1024


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    return _status_mb(pid, 'VmRSS')


def peak_mb(pid: int) -> float:
    """Return the most that was resident at any time, in MiB."""
    return _status_mb(pid, 'VmHWM')


def anonymous_mb(pid: int) -> float:
    """Return the anonymous resident memory of a process, in MiB."""
    return _status_mb(pid, 'RssAnon')


def _status_mb(pid: int, name: str) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(row for row in text.splitlines() if row.startswith(name))
    return int(line.split()[1]) / _KB
