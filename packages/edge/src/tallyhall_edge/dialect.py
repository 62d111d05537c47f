"""What a request's way needs to know of the headers on the wire.

Names of headers and the form of refusals differ between interfaces; the
steps of a request do not. Each interface implements `Dialect`.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.refusals import Refusal

from .messages import Headers, RequestHead, ResponseHead


class BadCallError(Exception):
    """A header of a request has no valid value."""


class CallInfo(msgspec.Struct, frozen=True):
    """What a caller's headers say.

    deadline_s: how long the caller waits, counted from its first byte; None
    if it does not say. output_tokens: the most tokens of the answer, 0 for
    requests that state no tokens. last_event: the event after which a
    resumed stream goes on.
    """

    request_id: bytes
    host: str
    key: str
    deadline_s: float | None
    prompt_tokens: int
    output_tokens: int
    last_event: int | None

    @property
    def id_text(self) -> str:
        """Return the request id as logs show it."""
        return self.request_id.decode('latin-1')


class SendInfo(msgspec.Struct, frozen=True):
    """What is added to a request on its way to one upstream."""

    left_s: float
    upstream: str
    workspace: str | None
    last_event: int | None


class AnswerInfo(msgspec.Struct, frozen=True):
    """What the head of an upstream's answer says.

    proven: it carries the upstream's signature. not_executed: the upstream
    states that it did not run the request. leaving: it takes no new work.
    rest_s: seconds for which it wants nothing from this instance, 0 for none.
    limit_per_s: requests a second that it takes from all instances together,
    None if it names no limit. unread: names of headers that say something of
    the upstream and that nothing here reads.
    """

    proven: bool
    not_executed: bool
    misplaced: bool
    streams: bool
    leaving: bool = False
    rest_s: float = 0
    limit_per_s: float | None = None
    unread: tuple[str, ...] = ()

    @property
    def says_anything(self) -> bool:
        """Return whether the upstream says how it wants to be treated."""
        said_limit = self.limit_per_s is not None
        return self.leaving or self.rest_s > 0 or said_limit


class OwnAnswer(msgspec.Struct, frozen=True):
    """An answer of this instance."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class Dialect(Protocol):
    """Reads and writes the headers of one interface."""

    id_header: bytes

    def call(self, head: RequestHead) -> CallInfo:
        """Return what a request says; raise BadCallError."""

    def upstream_headers(
        self,
        head: RequestHead,
        body_size: int,
        info: SendInfo,
    ) -> Headers:
        """Return the headers of a request for one upstream."""

    def answer(self, head: ResponseHead) -> AnswerInfo:
        """Return what the head of an answer says."""

    def refusal(self, refusal: Refusal) -> OwnAnswer:
        """Return a refusal as this interface sends it."""
