"""A request as the queue sees it, and what becomes of it."""

from __future__ import annotations

import enum
import types
from collections.abc import Mapping

import msgspec

from .desired import Upstream


class Job(msgspec.Struct, frozen=True):
    """What a request needs of an upstream.

    key: unique among all jobs of all instances. zone: of the instance that
    sends it. urgency: sorts jobs, least first. due_at: when the first byte
    should reach the caller. give_up_at: after this an upstream could no
    longer answer in time. excluded: incarnations that must not be used again
    for this request. spare: above the quota of its workspace, so that it
    only uses places left over. pause_s: the longest pause between two events
    of an answer that is on time, 0 where any is. suspect: digest of what is
    asked if an upstream has ended under it, else empty. resting: upstreams to
    which its instance must send nothing, and until when. route: of the request,
    where upstreams of its service are on trial, else empty. once: whether it
    may run only once.
    """

    key: str
    service: str
    zone: str
    urgency: int
    prompt_tokens: int
    output_tokens: int
    asked_at: float
    due_at: float
    give_up_at: float
    excluded: frozenset[str] = frozenset()
    spare: bool = False
    pause_s: float = 0
    suspect: str = ''
    resting: Mapping[str, float] = types.MappingProxyType({})
    route: str = ''
    once: bool = False


class Grant(msgspec.Struct, frozen=True):
    """Leave to send a job to an upstream: who gave it, after what wait.

    forecast_s: time that is expected until the first event from there.
    """

    upstream: Upstream
    by: str
    waited_s: float
    forecast_s: float = 0


@enum.unique
class Ending(enum.Enum):
    """How one send to an upstream ended.

    answered: a whole answer. failed: a whole answer with a server error.
    withheld: not sent, as the upstream rests. rejected: the upstream says that
    it did not run the request. misplaced: another incarnation has the address.
    unsent: nothing was written. unknown: no answer, it may have run. broken:
    the answer broke off. left: the caller went away.
    """

    answered = 'answered'
    failed = 'failed'
    withheld = 'withheld'
    rejected = 'rejected'
    misplaced = 'misplaced'
    unsent = 'unsent'
    unknown = 'unknown'
    broken = 'broken'
    left = 'left'


# Nothing of the request reached the upstream.
NOT_SENT = frozenset((Ending.unsent, Ending.withheld))
# The connection was lost before the answer was whole.
BROKEN_OFF = frozenset((Ending.unknown, Ending.broken))


class RunReport(msgspec.Struct, frozen=True):
    """What one send showed about its upstream.

    first_s: time to the first byte of the answer, None without one. events:
    events that came. stream_s: time between the first and the last of them.
    pause_s: the longest time between two of them, after pause_after events.
    """

    ending: Ending
    total_s: float
    first_s: float | None = None
    events: int = 0
    stream_s: float = 0
    pause_s: float = 0
    pause_after: int = 0
