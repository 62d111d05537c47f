"""Interface for the quarantine of requests that may crash upstreams."""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import Upstream


class Fingerprint(msgspec.Struct, frozen=True):
    """What a request has in common with others that may crash upstreams.

    content: digest of the whole request. parts: the parts of its prompt that
    other requests may share, each with its service.
    """

    content: str
    parts: tuple[str, ...] = ()


class Permit(msgspec.Struct, frozen=True):
    """Permission to send a request once.

    ends: number of upstream ends attributed to the content. is_trial: no other
    request with this content runs anywhere until the permit is released.
    """

    ends: int
    is_trial: bool = False


class Guard(Protocol):
    """Tracks by content which requests may crash upstreams."""

    def check(self, content: str) -> int:
        """Return the number of upstream ends attributed to a content.

        Raises RefusedError if it is quarantined for now.
        """

    async def request_permit(self, content: str) -> Permit:
        """Return a permit for one send; raise RefusedError."""

    def answered(self, content: str) -> None:
        """Record that a request was answered successfully."""

    def record_connection_lost(
        self, content: str, permit: Permit, upstream: Upstream
    ) -> None:
        """Record that the connection of a running request was lost."""

    def release(self, content: str) -> None:
        """Release the permit of a trial."""


def quarantined_error(content: str, wait_s: float) -> RefusedError:
    """Return the refusal of a request that may crash another upstream."""
    refusal = Refusal.of(
        Reason.quarantined,
        retry_after=wait_s,
        detail=f'content {content}',
    )
    return RefusedError(refusal)
