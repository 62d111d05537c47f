"""What an instance knows of another one, and its address."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

ReadState = Callable[[], bytes]


class Peer(msgspec.Struct):
    """The state of another instance, learned from its batches."""

    name: str
    incarnation: str = ''
    last_heard_at: float = -1
    question_us: int = 0
    echoed_at: float = -1
    leaving: bool = False
    # Whether it reaches no upstream itself.
    isolated: bool = False
    # When the stream to it was opened, None without one.
    stream_opened_at: float | None = None
    # Number of instances that it reports to hear directly, with itself.
    heard_count: int = 0
    # Whether it knows the use of quotas by all instances; if not, it is sent
    # all of it.
    knows_fleet_use: bool = False
    reported_totals: dict[str, float] = msgspec.field(default_factory=dict)
    # Last returned amounts that were sent, by workspace, and the workspaces
    # that were reported to it as highly used.
    reported_returns: dict[str, float] = msgspec.field(default_factory=dict)
    reported_high: set[str] = msgspec.field(default_factory=set)

    def reset_reported(self) -> None:
        """Forget what was sent, so that a new stream sends all of it again."""
        self.reported_totals.clear()
        self.reported_returns.clear()
        self.reported_high.clear()


class PeerEndpoint(msgspec.Struct, frozen=True):
    """A peer's address and its processor time in cores.

    serves: whether callers are sent to it; only then may it own services.
    """

    address: str
    cores: float
    serves: bool = True

    @property
    def host(self) -> str:
        """Return the IP address."""
        return self.address.rpartition(':')[0]
