"""What keeps a request from upstreams that may end under it."""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import Upstream


class Permit(msgspec.Struct, frozen=True):
    """Leave to send a request once.

    ends: how many ends of upstreams it was at. is_trial: no other like it runs
    anywhere until it is released.
    """

    ends: int
    is_trial: bool = False


class Guard(Protocol):
    """Knows which requests may end upstreams, by what they ask."""

    def check(self, content: str) -> int:
        """Return at how many ends a request was.

        Raises RefusedError where it is given up for now.
        """

    async def permit(self, content: str) -> Permit:
        """Let a request run once; raise RefusedError."""

    def answered(self, content: str) -> None:
        """Take that a request was answered with success."""

    def lost(self, content: str, permit: Permit, upstream: Upstream) -> None:
        """Take that the connection ended on which a request ran."""

    def release(self, content: str) -> None:
        """Take that a trial is over."""


def given_up_error(content: str, wait_s: float) -> RefusedError:
    """Return the refusal of a request that may end another upstream."""
    refusal = Refusal.of(
        Reason.quarantined,
        retry_after=wait_s,
        detail=f'content {content}',
    )
    return RefusedError(refusal)
