"""Times of admission, in seconds."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Everything that admission can be tuned by.

    permit_s: how long a permit may lie unused. hold_s: how long no lower
    tier starts after a higher one was shed. windows_kept: windows of each
    home for which permits are remembered. broken_s: pause after a connect to
    an upstream failed. grace_s: added to a deadline before a permit whose
    home said nothing is taken back.
    """

    permit_s: float = 1
    hold_s: float = 2
    windows_kept: int = 12
    broken_s: float = 1
    grace_s: float = 5
