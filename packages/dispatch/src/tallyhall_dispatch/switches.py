"""Feature switches of the scheduling mechanisms.

All mechanisms are enabled on every instance. Experiments and tests disable one
to measure its effect; there is no setting for operators.
"""

from __future__ import annotations

import msgspec


class Switches(msgspec.Struct, frozen=True):
    """Which mechanisms are enabled.

    aside: an upstream is ejected for a while after consecutive failures.
    class_priority: urgencies that hold slots much longer than more urgent ones
    defer to them. early_refusals: a job whose expected wait is too long is
    rejected immediately. first_tries: the deadline of a job counts from the
    first attempt of its caller. forecasts: a job does not start on an upstream
    on which its first event would be late. late_aside: no job waits behind jobs
    that cannot meet their deadlines. late_places: late jobs leave some slots
    free. late_returns: callers that will be late at any retry get a longer,
    jittered retry delay. lengths: response lengths are estimated from earlier
    responses. load_reports: expected times and free slots account for the loads
    that upstreams report. pauses: a stream waits for an upstream that meets its
    pause limit. served_shares: urgencies are ranked by the share of each that
    was served. silence: a response that does not start is considered lost.
    speeds: the upstream with the earliest expected completion is selected,
    instead of the one with the most free slots.
    """

    aside: bool = True
    class_priority: bool = True
    early_refusals: bool = True
    first_tries: bool = True
    forecasts: bool = True
    late_aside: bool = True
    late_places: bool = True
    late_returns: bool = True
    lengths: bool = True
    load_reports: bool = True
    pauses: bool = True
    served_shares: bool = True
    silence: bool = True
    speeds: bool = True


ALL_ENABLED = Switches()
