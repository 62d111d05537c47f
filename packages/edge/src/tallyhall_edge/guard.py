"""Interface for the quarantine of requests that may crash upstreams."""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.part_verdicts import PartEnds
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

    fingerprint: of the request. sent_at: time of the event loop, in seconds.
    ends: number of upstream ends attributed to the content. parts: the same for
    each part of its prompt. trials: the content or parts for which it is a
    trial: no other request with them runs anywhere until it is released.
    """

    fingerprint: Fingerprint
    sent_at: float
    ends: int
    parts: tuple[PartEnds, ...] = ()
    trials: tuple[str, ...] = ()


class Guard(Protocol):
    """Tracks which requests may crash upstreams, by content and by parts."""

    async def admit(self, fingerprint: Fingerprint) -> str:
        """Return the content or part for which a request may crash upstreams.

        Returns an empty string if it is free. Waits while a trial of one of its
        parts runs. Raises RefusedError if it is quarantined for now.
        """

    async def request_permit(self, fingerprint: Fingerprint) -> Permit:
        """Return a permit for one send; raise RefusedError."""

    def answered(self, permit: Permit) -> None:
        """Record that a request was answered completely and successfully."""

    def established(self, permit: Permit) -> None:
        """Record that an answer has gone on for long enough.

        An upstream that crashes by a part of the prompt does so earlier.
        """

    def record_connection_lost(
        self, permit: Permit, upstream: Upstream, *, is_established: bool
    ) -> None:
        """Record that the connection of a running request was lost."""

    def release(self, permit: Permit) -> None:
        """Release the trials of a permit."""


def quarantined_error(suspect: str, wait_s: float) -> RefusedError:
    """Return the refusal of a request that may crash another upstream.

    suspect: the content or part that may do so.
    """
    refusal = Refusal.of(
        Reason.quarantined,
        retry_after=wait_s,
        detail=f'suspect {suspect}',
    )
    return RefusedError(refusal)
