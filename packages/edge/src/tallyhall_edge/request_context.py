"""The state of a request that this instance handles."""

from __future__ import annotations

import asyncio

import msgspec
from tallyhall_dispatch.gate import Admitted
from tallyhall_dispatch.jobs import SlotGrant
from tallyhall_dispatch.retries import RetryReservation

from .dialect import RequestInfo
from .errors import NotSentError
from .exchange import Exchange
from .guard import Fingerprint, Permit
from .relay import Relay
from .unread_sends import RequestSends, UnreadSend

ANSWERED = 'answered'


class RequestContext(msgspec.Struct):
    """The state of an admitted request; times of the event loop, in seconds.

    end_at: deadline of the request. last_event: number of the newest event
    that the caller has. fingerprint: what other requests may share with it.
    since_first_s: time between the caller's first attempt and this one.
    version: software version that began the stream, None before its first
    event; first_id: request id of the attempt that brought it. may_have_run:
    sends that an upstream may have executed. retry: reservation in the retry
    budget for the next send, None if it needs none or has none. waited_s: wait
    for the slot of the last send; total_wait_s: sum over all sends;
    retry_wait_s: sum over all but the first. pause_s: longest pause
    between two events of one send; resumed_pause_s: longest pause between the
    last event of one send and the first of the next.
    """

    exchange: Exchange
    call: RequestInfo
    admitted: Admitted
    end_at: float
    last_event: int | None
    fingerprint: Fingerprint
    since_first_s: float = 0
    version: str | None = None
    first_id: str = ''
    excluded: set[str] = msgspec.field(default_factory=set)
    sends: int = 0
    may_have_run: int = 0
    retry: RetryReservation | None = None
    # Its sends that upstreams may still read, and the one whose answer is
    # waited for.
    sent: RequestSends = msgspec.field(default_factory=RequestSends)
    unread_send: UnreadSend | None = None
    # Time in seconds for which the upstream of the last send was silent.
    stalled_s: float = 0
    # The instance through which the last send went, empty if it was direct, and
    # the id of the tunnel.
    via: str = ''
    tunnel: str = ''
    # Why the last send did not take place, None if it did.
    not_sent: NotSentError | None = None
    # The permit of the current send.
    permit: Permit | None = None
    # The content or part for which its last send was restricted, as it may
    # crash upstreams; empty if none was.
    suspect: str = ''
    waited_s: float = 0
    total_wait_s: float = 0
    retry_wait_s: float = 0
    forecast_s: float = 0
    first_sent_at: float = 0
    sent_at: float = 0
    pause_s: float = 0
    resumed_pause_s: float = 0
    begun: bool = False
    outcome: str = ''
    # Whether its wait for a slot was ended to save memory.
    is_shed: bool = False
    # Ends it at `end_at`; None once it has ended.
    time_limit: asyncio.Timeout | None = None
    # Whether it was ended as the process ends.
    is_stopped: bool = False
    # The answer of the last send.
    relay: Relay | None = None

    @property
    def is_retry(self) -> bool:
        """Return whether the caller was refused before."""
        return self.since_first_s > 0

    @property
    def request_id(self) -> str:
        """Return the caller's request id as text."""
        return self.call.id_text

    @property
    def content(self) -> str:
        """Return the digest of what it asks for."""
        return self.fingerprint.content

    @property
    def workspace(self) -> str:
        """Return the name of the workspace, empty without one."""
        workspace = self.admitted.workspace
        return '' if workspace is None else workspace.name


def record_send(context: RequestContext, grant: SlotGrant, now: float) -> None:
    """Record that a request is sent now, after waiting for its slot."""
    context.sends += 1
    context.waited_s = grant.waited_s
    context.total_wait_s += grant.waited_s
    context.forecast_s = grant.forecast_s
    context.sent_at = now
    if context.sends == 1:
        context.first_sent_at = now
        return
    context.retry_wait_s += grant.waited_s
