"""Parts of prompts that may crash upstreams: counts, verdicts and their effect.

Times are wall clock seconds since 1970.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

# Seconds from a quarantine to the next trial, by the number of trials that
# failed since the first; each costs an upstream.
_TRIAL_DELAYS_S = (30.0, 600.0, 3600.0)
# Counts above this are rejected as invalid.
_MAX_ENDS = 1_000_000

_Ends = Annotated[int, msgspec.Meta(ge=0, le=_MAX_ENDS)]


class PartEnds(msgspec.Struct, frozen=True, array_like=True):
    """A part, and the number of terminations of upstreams counted for it."""

    part: str
    ends: _Ends


class QuarantinedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part that crashes upstreams.

    ends: the terminations counted for it. failed_trials: trials since the first
    quarantine during which upstreams terminated, too.
    """

    part: str
    ends: _Ends
    failed_trials: Annotated[int, msgspec.Meta(ge=0, le=_MAX_ENDS)]
    at_s: float

    @property
    def trial_at(self) -> float:
        """Return when one request may run as a trial."""
        last = len(_TRIAL_DELAYS_S) - 1
        return self.at_s + _TRIAL_DELAYS_S[min(self.failed_trials, last)]


@enum.unique
class PartVerdict(enum.Enum):
    """Whether a request with a part may run.

    held: not before the outcome of a trial, or of requests that run already, is
    known. trial: only while no other request with the part runs anywhere.
    quarantined: not now.
    """

    free = 'free'
    held = 'held'
    trial = 'trial'
    quarantined = 'quarantined'


class PartStatus(msgspec.Struct, frozen=True):
    """The verdict on a part.

    wait_s: seconds until it may change. alone: a trial is only for a request
    without another suspect part.
    """

    verdict: PartVerdict
    wait_s: float = 0
    alone: bool = False
