"""One request under way on this instance."""

from __future__ import annotations

import msgspec
from tallyhall_dispatch.gate import Admitted
from tallyhall_dispatch.jobs import Grant

from .dialect import CallInfo
from .exchange import Exchange
from .guard import Permit
from .relay import Relay

ANSWERED = 'answered'


class Visit(msgspec.Struct):
    """A request from its admission to its end; times of the loop, in seconds.

    end_at: when its time is over. last_event: the newest event that its
    caller has. content: digest of what is asked. since_first_s: time between
    the caller's first try and this one. waited_s: for the place of the last
    send; all_waits_s: for all of them; later_waits_s: for all but the first.
    pause_s: the longest between two events of one send; resumed_pause_s: the
    longest between the last event of one and the first of the next.
    """

    exchange: Exchange
    call: CallInfo
    admitted: Admitted
    end_at: float
    last_event: int | None
    content: str
    since_first_s: float = 0
    excluded: set[str] = msgspec.field(default_factory=set)
    sends: int = 0
    may_have_run: int = 0
    repeat_paid: bool = False
    # Of the send under way.
    permit: Permit | None = None
    waited_s: float = 0
    all_waits_s: float = 0
    later_waits_s: float = 0
    forecast_s: float = 0
    first_sent_at: float = 0
    sent_at: float = 0
    pause_s: float = 0
    resumed_pause_s: float = 0
    begun: bool = False
    outcome: str = ''
    # The answer of the last send.
    relay: Relay | None = None

    @property
    def request_id(self) -> str:
        """Return the caller's id."""
        return self.call.id_text


def note_send(visit: Visit, grant: Grant, now: float) -> None:
    """Take that a request is sent now, after a wait for its place."""
    visit.sends += 1
    visit.waited_s = grant.waited_s
    visit.all_waits_s += grant.waited_s
    visit.forecast_s = grant.forecast_s
    visit.sent_at = now
    if visit.sends == 1:
        visit.first_sent_at = now
        return
    visit.later_waits_s += grant.waited_s
