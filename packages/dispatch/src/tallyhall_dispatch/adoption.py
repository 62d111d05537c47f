"""When a restarted instance may take the use of all from another one.

The sum that it takes holds what the sender has heard. What others told this
instance in the moment before may not be in it yet, and is counted beside it:
too much rather than too little. So the sum is taken only once all others have
been heard for that long, and no first report can hide anything older.
"""

from __future__ import annotations

import msgspec

# Each other has reported to each twice within this time, beats being 0.15 s
# apart in fleets in which all hear each other.
_LAG_S = 0.3


class _Told(msgspec.Struct, frozen=True):
    workspace: str
    sender: str
    amount: float
    at: float


class Hearing:
    """What one instance hears until it knows the use of all."""

    def __init__(self) -> None:
        """Start without reports."""
        self._told: list[_Told] = []
        # The newest run of each other one, and since when it is heard.
        self._since: dict[str, tuple[str, float]] = {}

    def heard(self, sender: str, incarnation: str, now: float) -> None:
        """Take that another instance has sent something."""
        run, _ = self._since.get(sender, ('', now))
        if run != incarnation:
            self._since[sender] = (incarnation, now)

    def reported(
        self,
        workspace: str,
        sender: str,
        amount: float,
        now: float,
    ) -> None:
        """Take that another instance admitted this amount."""
        self._told = [one for one in self._told if now - one.at < _LAG_S]
        self._told.append(_Told(workspace, sender, amount, now))

    def heard_long(self, names: frozenset[str], now: float) -> int:
        """Return how many of these have been heard for long enough."""
        return sum(
            name in names and now - since >= _LAG_S
            for name, (_, since) in self._since.items()
        )

    def just_told(self, workspace: str, but: str, now: float) -> float:
        """Return what all told lately, but for one of them."""
        return sum(
            one.amount
            for one in self._told
            if one.workspace == workspace
            and one.sender != but
            and now - one.at < _LAG_S
        )
