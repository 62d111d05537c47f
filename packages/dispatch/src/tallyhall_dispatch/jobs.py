"""Queued requests and the reports of their execution."""

from __future__ import annotations

import enum
import types
from collections.abc import Mapping

import msgspec

from .desired import Upstream


class Job(msgspec.Struct, frozen=True):
    """The requirements of a request for its upstream.

    key: unique among the jobs of all instances. zone: the zone of the instance
    that sends the request. urgency: priority class, lower values first. due_at:
    deadline for the first byte to reach the caller. reject_at: time after which
    no upstream could respond before the caller's timeout. excluded:
    incarnations that must not be used again for this request. over_quota:
    whether the request exceeds the quota of its workspace and may only use idle
    slots. pause_s: maximum pause between two events of a response that is on
    time, 0 if there is no limit. suspect_digest: digest of the request content
    if an upstream terminated while running it, else empty. backoffs: upstreams
    to which the sending instance must not send anything, and until when. route:
    the route of the request if its service has canary upstreams, else empty.
    non_idempotent: whether the request may run only once. resumable: whether
    its response is a stream that may be resumed. version: the only version that
    may run it, as it goes on with a stream of that version; None for any.
    """

    key: str
    service: str
    zone: str
    urgency: int
    prompt_tokens: int
    output_tokens: int
    asked_at: float
    due_at: float
    reject_at: float
    excluded: frozenset[str] = frozenset()
    over_quota: bool = False
    pause_s: float = 0
    suspect_digest: str = ''
    backoffs: Mapping[str, float] = types.MappingProxyType({})
    route: str = ''
    non_idempotent: bool = False
    resumable: bool = False
    version: str | None = None


class SlotGrant(msgspec.Struct, frozen=True):
    """Permission to send a job to an upstream.

    by: the instance that granted it. waited_s: time in the queue. forecast_s:
    expected time to the first event.
    """

    upstream: Upstream
    by: str
    waited_s: float
    forecast_s: float = 0


@enum.unique
class AttemptOutcome(enum.Enum):
    """The outcome of one attempt to send a request to an upstream.

    answered: complete response. failed: complete response with a server error.
    withheld: not sent, because the upstream asked for a backoff. rejected: the
    upstream reported that it did not run the request. misplaced: the address
    belongs to another incarnation. unsent: nothing was written. no_path: the
    sending instance reaches no upstream at all; says nothing about this one.
    unknown: no response, the request may have run. broken: incomplete response.
    left: the caller disconnected.
    """

    answered = 'answered'
    failed = 'failed'
    withheld = 'withheld'
    rejected = 'rejected'
    misplaced = 'misplaced'
    unsent = 'unsent'
    no_path = 'no_path'
    unknown = 'unknown'
    broken = 'broken'
    left = 'left'


# Outcomes in which no part of the request reached the upstream.
NOT_SENT = frozenset(
    (AttemptOutcome.unsent, AttemptOutcome.withheld, AttemptOutcome.no_path)
)
# Outcomes in which the upstream's response is complete.
COMPLETE = frozenset(
    (
        AttemptOutcome.answered,
        AttemptOutcome.failed,
        AttemptOutcome.rejected,
        AttemptOutcome.misplaced,
    )
)
# Outcomes in which the connection was lost before the response was complete.
INTERRUPTED = frozenset((AttemptOutcome.unknown, AttemptOutcome.broken))


class RunReport(msgspec.Struct, frozen=True):
    """Measurements of one attempt to send a request to an upstream.

    first_s: time to the first byte of the response, None without one. events:
    number of events received. stream_s: time from the first to the last event.
    pause_s: the longest time between two events. pause_after: number of events
    before that pause.
    """

    ending: AttemptOutcome
    total_s: float
    first_s: float | None = None
    events: int = 0
    stream_s: float = 0
    pause_s: float = 0
    pause_after: int = 0
