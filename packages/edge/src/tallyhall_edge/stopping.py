"""Deadlines of a stopping instance: which requests it still serves."""

from __future__ import annotations

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError

# Retry-After in seconds for callers that a stopping instance refuses; other
# instances are available at once.
_RETRY_AFTER_S = 0.1
# A first send later than this many seconds before the end would probably be cut
# off.
_FIRST_SEND_MARGIN_S = 2.2
# Requests that still wait for a retry are refused this many seconds before the
# end.
_RETRY_MARGIN_S = 0.1


class StopSchedule(msgspec.Struct, frozen=True):
    """The schedule of a stopping instance, on the clock of the event loop.

    refuses_at: when it starts to refuse requests that may outlast its end; at
    the latest this is when a first send would probably be cut off. ends_at:
    when the process ends.
    """

    refuses_at: float
    ends_at: float

    @property
    def first_send_deadline(self) -> float:
        """Return the time until which a first send can still be answered."""
        return self.ends_at - _FIRST_SEND_MARGIN_S

    @property
    def retry_deadline(self) -> float:
        """Return the time until which a request may wait for a retry.

        It may have run before, so a retry is its best chance of an answer.
        """
        return self.ends_at - _RETRY_MARGIN_S

    def is_refusing(self, now: float) -> bool:
        """Return whether requests that may outlast the end are refused."""
        return now >= min(self.refuses_at, self.first_send_deadline)


def stopping_error() -> RefusedError:
    """Return the refusal of a request that could not be finished in time."""
    refusal = Refusal.of(Reason.stopping, retry_after=_RETRY_AFTER_S)
    return RefusedError(refusal)
