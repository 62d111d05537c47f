"""What a stopping instance refuses, and until when it answers."""

from __future__ import annotations

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError

# Told to callers that came to a stopping instance: others are there at once.
_ELSEWHERE_S = 0.1
# A first send later than this before the end would likely be cut.
_LAST_RUN_S = 2.2
# What still waits to be sent again is answered this long before the end.
_LAST_ANSWER_S = 0.1


class Stop(msgspec.Struct, frozen=True):
    """When a stopping instance ends, and from when it refuses longer requests.

    Both on the clock of the loop; the second at the latest when a first send
    would likely be cut.
    """

    refuses_at: float
    ends_at: float

    @property
    def sends_until(self) -> float:
        """Return until when a first send has time to be answered."""
        return self.ends_at - _LAST_RUN_S

    @property
    def resends_until(self) -> float:
        """Return until when what was sent before may wait for another send.

        It may have run; another send is its best chance.
        """
        return self.ends_at - _LAST_ANSWER_S

    def refuses(self, now: float) -> bool:
        """Return whether requests are refused that may outlast the end."""
        return now >= min(self.refuses_at, self.sends_until)


def stopping_error() -> RefusedError:
    """Return the refusal of what a stopping instance could not finish."""
    refusal = Refusal.of(Reason.stopping, retry_after=_ELSEWHERE_S)
    return RefusedError(refusal)
