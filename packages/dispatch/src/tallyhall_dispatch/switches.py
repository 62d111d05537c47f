"""Which mechanisms of the decisions are on.

All are, on every instance. Experiments and tests switch one off to see what it
is worth; operators cannot.
"""

from __future__ import annotations

import msgspec


class Switches(msgspec.Struct, frozen=True):
    """The mechanisms, by what callers get of each.

    aside: an upstream that fails several times in a row is left out for a
    while. early_refusals: a job whose wait is foreseen to be too long is
    refused at once. first_tries: a job is due by its caller's first try.
    forecasts: a job takes no place on which its first event would be late.
    late_aside: nobody waits behind jobs that cannot be in time.
    late_places: such jobs leave some places free. late_returns: callers that
    will be late at any return come later, spread. lengths: the length of
    answers is learned. pauses: a stream waits for an upstream that keeps its
    pace. served_shares: urgencies take turns by what was served of each.
    silence: an answer that does not begin is taken as lost. speeds: the
    upstream is chosen that is done first, not the one with most free places.
    """

    aside: bool = True
    early_refusals: bool = True
    first_tries: bool = True
    forecasts: bool = True
    late_aside: bool = True
    late_places: bool = True
    late_returns: bool = True
    lengths: bool = True
    pauses: bool = True
    served_shares: bool = True
    silence: bool = True
    speeds: bool = True


ALL_ON = Switches()
