"""Settings of admission control."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Settings of a pool; times are in seconds.

    permit_s: time within which a permit must be used. hold_s: time for which
    no lower tier starts after a higher one was shed. windows_kept: number of
    windows per home for which permits are recorded. broken_s: backoff after
    a connection to an upstream failed. grace_s: time after the deadline at
    which a permit is released that its home has not returned.
    """

    permit_s: float = 1
    hold_s: float = 2
    windows_kept: int = 12
    broken_s: float = 1
    grace_s: float = 5
