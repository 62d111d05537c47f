"""Interface between request handling and the headers on the wire.

Header names and the format of refusals differ between interfaces; the steps
of handling a request do not. Each interface implements `Dialect`.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.refusals import Refusal

from .messages import Headers, RequestHead, ResponseHead


class BadCallError(Exception):
    """A header of a request has no valid value."""


class CallInfo(msgspec.Struct, frozen=True):
    """The values of a caller's headers.

    deadline_s: how long the caller waits, counted from the first byte of its
    request; None if not stated. output_tokens: maximum tokens of the answer, 0
    for requests that state no tokens. last_event: number of the event after
    which a resumed stream continues.
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
        """Return the request id as text for logs."""
        return self.request_id.decode('latin-1')


class SendInfo(msgspec.Struct, frozen=True):
    """The values that are added to the headers sent to an upstream."""

    left_s: float
    upstream: str
    workspace: str | None
    last_event: int | None


class AnswerInfo(msgspec.Struct, frozen=True):
    """The values of the head of an upstream's answer.

    proven: it carries the upstream's signature. not_executed: the upstream
    states that it did not run the request. misplaced: another upstream has
    taken over the address. leaving: the upstream takes no new requests.
    rest_s: backoff in seconds that it asks of this instance, 0 for none.
    limit_per_s: requests per second that it accepts from all instances
    together, None if it states no limit. unread: names of headers about the
    upstream that this version does not interpret.
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
    def has_upstream_status(self) -> bool:
        """Return whether the upstream is leaving, backing off or limited."""
        has_limit = self.limit_per_s is not None
        return self.leaving or self.rest_s > 0 or has_limit


class OwnAnswer(msgspec.Struct, frozen=True):
    """An answer that this instance generates itself."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class Dialect(Protocol):
    """Reads and writes the headers of one interface."""

    id_header: bytes

    def call(self, head: RequestHead) -> CallInfo:
        """Parse the headers of a request; raise BadCallError."""

    def upstream_headers(
        self,
        head: RequestHead,
        body_size: int,
        info: SendInfo,
    ) -> Headers:
        """Return the headers of a request for one upstream."""

    def answer(self, head: ResponseHead) -> AnswerInfo:
        """Parse the head of an upstream's answer."""

    def refusal(self, refusal: Refusal) -> OwnAnswer:
        """Encode a refusal for this interface."""
