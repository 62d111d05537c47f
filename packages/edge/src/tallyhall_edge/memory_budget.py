"""Memory budget of an instance: what connections hold, and load shedding.

A process that exceeds its memory limit is killed and loses all of its requests.
Slow callers and upstreams make it buffer. This module counts what is held for
them and decides which measures apply, in steps that begin before the limit is
reached.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Callable, Iterable

# Fraction of the memory limit that the process and its buffers may use. The
# rest covers kernel buffers, fragmentation and what is not counted.
_USABLE_FRACTION = 0.6
# Assumed limit in bytes of a process whose limit is unknown.
_UNKNOWN_LIMIT_BYTES = 128_000_000
# Assumed memory of the idle process in bytes if it cannot be measured.
_UNKNOWN_IDLE_BYTES = 45_000_000
# Minimum budget in bytes: enough for about fifty connections with a buffered
# answer each. Without it, an instance with a small limit would refuse all.
_MIN_BUDGET_BYTES = 4_000_000
# Maximum bytes that are buffered for a slow caller before its upstream is
# paused. An upstream cuts off a response that stays unread for some seconds.
_MAX_CALLER_BUFFER_BYTES = 262_144
# Fractions of the budget held for the slow callers of one workspace at which
# measures against this workspace begin and end. They begin well below the first
# step, which affects all workspaces, because running requests still add bytes.
_WORKSPACE_BEGINS = 0.35
_WORKSPACE_ENDS = 0.25
# A caller that has read nothing for this long, in seconds, may be closed.
_CALLER_STALL_S = 2.0
# An upstream is stalled if it has read nothing for this many seconds while more
# than this number of bytes is buffered for it.
_UPSTREAM_STALL_S = 5.0
_UPSTREAM_STALL_BYTES = 65_536


class Holder(enum.StrEnum):
    """What holds memory; labels of the metric."""

    connections = 'connections'
    requests = 'requests'
    request_bodies = 'request_bodies'
    responses = 'responses'
    caller_writes = 'caller_writes'
    upstream_writes = 'upstream_writes'
    received = 'received'


class Step(enum.IntEnum):
    """The measures in force; each includes those before it.

    hold_new: new connections are not read. stop_buffering: idle connections
    are not read and responses are not buffered. refuse: requests that have not
    run are refused. close: stalled callers are closed.
    """

    normal = 0
    hold_new = 1
    stop_buffering = 2
    refuse = 3
    close = 4


# Fractions of the budget at which the steps after `normal` begin and end. Each
# ends ten percentage points lower, so that one answer more or less does not
# switch it on and off.
_BEGINS = (0.5, 0.7, 0.85, 0.95)
_ENDS = (0.4, 0.6, 0.75, 0.85)


def budget_bytes(limit: int, idle: int | None) -> int:
    """Return the budget of a process with this limit and idle size.

    limit: in bytes, 0 if it is unknown. idle: in bytes, None if it is unknown.
    """
    if idle is None:
        idle = _UNKNOWN_IDLE_BYTES
    usable = int((limit or _UNKNOWN_LIMIT_BYTES) * _USABLE_FRACTION)
    return max(_MIN_BUDGET_BYTES, usable - idle)


class UnreadPeer:
    """Progress of a peer that has not read all bytes written to it.

    held: bytes that it has not read. unwritten: bytes that are written once it
    has read those. read_at: when it was last seen to read.
    """

    def __init__(self, held: int, now: float, unwritten: int = 0) -> None:
        """Start with the bytes that are unread now."""
        self.held = held
        self.unwritten = unwritten
        self.read_at = now
        self._written = held
        self._read = 0

    def record_write(self, size: int) -> None:
        """Record that more bytes were written to the peer."""
        self._written += size

    def update(self, held: int, now: float) -> None:
        """Record how many bytes are unread now."""
        self.held = held
        read = self._written - held
        if read > self._read:
            self._read = read
            self.read_at = now

    def is_stalled_caller(self, now: float) -> bool:
        """Return whether the peer, a caller, may be closed."""
        return now - self.read_at >= _CALLER_STALL_S

    def is_stalled_upstream(self, now: float) -> bool:
        """Return whether the peer, an upstream, has stopped reading."""
        if self.held + self.unwritten <= _UPSTREAM_STALL_BYTES:
            return False
        return now - self.read_at >= _UPSTREAM_STALL_S


class MemoryBudget:
    """Counts the bytes held for peers and decides on the measures.

    Counting takes constant time: the step is only computed again when the total
    leaves the range of the current one.
    """

    def __init__(self, size: int) -> None:
        """Start with nothing held of a budget of this many bytes."""
        self.size = size
        self.step = Step.normal
        self.total = 0
        self.held = dict.fromkeys(Holder, 0)
        # How often each step was entered.
        self.entered: collections.Counter[Step] = collections.Counter()
        self.on_step: Callable[[Step, Step], None] = _ignore
        self._low: float = -math.inf
        self._high: float = _BEGINS[0] * size
        self._urgencies: set[int] = set()
        # Number of urgencies refused in the current step, the least urgent.
        self._refused = 0
        self._workspaces: dict[str, int] = {}
        self._limited: set[str] = set()

    def resize(self, size: int) -> None:
        """Set the size of the budget."""
        self.size = size
        self._change_step()

    # -- counting

    def add(self, holder: Holder, size: int) -> None:
        """Count bytes that are held from now on; negative if released."""
        self.held[holder] += size
        self.total += size
        if not self._low <= self.total < self._high:
            self._change_step()

    def add_unread(
        self,
        workspace: str,
        size: int,
        holder: Holder = Holder.caller_writes,
    ) -> None:
        """Count bytes that are held as a caller of a workspace reads slowly."""
        self.add(holder, size)
        held = self._workspaces.get(workspace, 0) + size
        if held > 0:
            self._workspaces[workspace] = held
        else:
            self._workspaces.pop(workspace, None)
        if held >= _WORKSPACE_BEGINS * self.size:
            self._limited.add(workspace)
        elif held < _WORKSPACE_ENDS * self.size:
            self._limited.discard(workspace)

    def unread_bytes(self, workspace: str) -> int:
        """Return what is held for the slow callers of a workspace."""
        return self._workspaces.get(workspace, 0)

    # -- decisions

    @property
    def excess(self) -> float:
        """Return how many bytes must be released, 0 below the last step."""
        if self.step < Step.close:
            return 0
        return max(0, self.total - _ENDS[Step.close - 1] * self.size)

    @property
    def may_buffer_responses(self) -> bool:
        """Return whether responses may be buffered until complete."""
        return self.step < Step.stop_buffering

    def caller_buffer_bytes(self, workspace: str) -> int:
        """Return how much may be unread before an upstream is paused."""
        if self.step >= Step.stop_buffering or workspace in self._limited:
            return 0
        return _MAX_CALLER_BUFFER_BYTES

    def refuses(self, urgency: int, workspace: str) -> bool:
        """Return whether a request that has not run is refused.

        The least urgent are refused from 85% of the budget on, the others as
        it fills up to 95%, each until the step ends.
        """
        self._urgencies.add(urgency)
        if workspace in self._limited:
            return True
        if self.step < Step.refuse:
            return False
        count = len(self._urgencies)
        self._refused = max(self._refused, self._refused_count(count))
        ranked = sorted(self._urgencies)
        return urgency in ranked[max(0, count - self._refused) :]

    def callers_to_close(
        self, peers: Iterable[UnreadPeer], now: float
    ) -> list[UnreadPeer]:
        """Return the callers to close: as few as are needed to end the step.

        They hold the most bytes of those that have read nothing for a while. A
        caller that reads slowly is not closed, and does not protect others.
        """
        to_close: list[UnreadPeer] = []
        excess = self.excess
        if not excess:
            return to_close
        stalled = [peer for peer in peers if peer.is_stalled_caller(now)]
        for peer in sorted(stalled, key=_held, reverse=True):
            if excess < 0:
                break
            excess -= peer.held
            to_close.append(peer)
        return to_close

    # -- internals

    def _refused_count(self, urgencies: int) -> int:
        begins = _BEGINS[Step.refuse - 1]
        ends = _BEGINS[Step.close - 1]
        filled = (self.total / self.size - begins) / (ends - begins)
        return min(urgencies, 1 + int(max(0, filled) * urgencies))

    def _change_step(self) -> None:
        before = self.step
        fraction = self.total / self.size
        step = before
        while step < Step.close and fraction >= _BEGINS[step]:
            step = Step(step + 1)
            self.entered[step] += 1
        while step and fraction < _ENDS[step - 1]:
            step = Step(step - 1)
        self.step = step
        self._set_bounds(step)
        if step < Step.refuse:
            self._refused = 0
        if step is not before:
            self.on_step(before, step)

    def _set_bounds(self, step: Step) -> None:
        self._low = -math.inf
        self._high = math.inf
        if step:
            self._low = _ENDS[step - 1] * self.size
        if step < Step.close:
            self._high = _BEGINS[step] * self.size


def _held(peer: UnreadPeer) -> int:
    return peer.held


def _ignore(before: Step, after: Step) -> None:
    """Handle a change of step if nobody listens."""
