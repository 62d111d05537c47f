"""Another instance, as seen from one, and where it is reached."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

ReadState = Callable[[], bytes]


class Peer(msgspec.Struct):
    """Another instance as seen through its batches."""

    name: str
    incarnation: str = ''
    heard_at: float = -1
    question_us: int = 0
    answered_at: float = -1
    leaving: bool = False
    # Since when a stream to it is kept, None without one.
    linked_at: float | None = None
    # Instances that this one hears, as it says.
    hears: int = 0
    # Whether it knows the use of all; until then it is told everything.
    knows_use: bool = False
    told: dict[str, float] = msgspec.field(default_factory=dict)
    # Of quotas: what was returned as told last, and those told as used much.
    told_returned: dict[str, float] = msgspec.field(default_factory=dict)
    told_high: set[str] = msgspec.field(default_factory=set)

    def forget_told(self) -> None:
        """Take that a new stream begins: all that is told is told again."""
        self.told.clear()
        self.told_returned.clear()
        self.told_high.clear()


class PeerPlace(msgspec.Struct, frozen=True):
    """Where a peer is reached, and what processor time it has, in cores.

    serves: whether callers are sent there, so that it may own services.
    """

    address: str
    cores: float
    serves: bool = True
