"""Interface between request handling and the headers on the wire.

Header names and the format of refusals differ between interfaces; the steps
of handling a request do not. Each interface implements `HeaderCodec`.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.refusals import Refusal
from tallyhall_dispatch.load_reports import LoadReport

from .messages import Headers, RequestHead, ResponseHead


class InvalidHeaderError(Exception):
    """A header of a request has no valid value."""


class RequestInfo(msgspec.Struct, frozen=True):
    """The values of a caller's headers.

    deadline_s: how long the caller waits, counted from the first byte of its
    request; None if not stated. output_tokens: maximum tokens of the answer, 0
    for requests that state no tokens. last_event: number of the event after
    which a resumed stream continues. resumes: id of the attempt that brought
    the first event of that stream, empty if not stated. parts: ids of the parts
    of its prompt that other requests may share, in order.
    """

    request_id: bytes
    host: str
    key: str
    deadline_s: float | None
    prompt_tokens: int
    output_tokens: int
    last_event: int | None
    resumes: str = ''
    parts: tuple[str, ...] = ()

    @property
    def id_text(self) -> str:
        """Return the request id as text for logs."""
        return self.request_id.decode('latin-1')


class UpstreamRequestInfo(msgspec.Struct, frozen=True):
    """The values that are added to the headers sent to an upstream."""

    remaining_s: float
    upstream: str
    workspace: str | None
    last_event: int | None


class ResponseInfo(msgspec.Struct, frozen=True):
    """The values of the head of an upstream's answer.

    is_signed: it carries the upstream's signature. not_executed: the upstream
    states that it did not run the request. is_misdirected: another upstream has
    taken over the address. leaving: the upstream takes no new requests.
    backoff_s: backoff in seconds that it asks of this instance, 0 for none.
    limit_per_s: requests per second that it accepts from all instances
    together, None if it states no limit. load: its load, None if it states
    none. unknown_headers: names of headers about the upstream that this version
    does not interpret.
    """

    is_signed: bool
    not_executed: bool
    is_misdirected: bool
    streams: bool
    leaving: bool = False
    backoff_s: float = 0
    limit_per_s: float | None = None
    load: LoadReport | None = None
    unknown_headers: tuple[str, ...] = ()

    @property
    def has_upstream_status(self) -> bool:
        """Return whether the upstream is leaving, backing off or limited."""
        has_limit = self.limit_per_s is not None
        return self.leaving or self.backoff_s > 0 or has_limit


class LocalResponse(msgspec.Struct, frozen=True):
    """An answer that this instance generates itself."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class HeaderCodec(Protocol):
    """Reads and writes the headers of one interface."""

    id_header: bytes

    def parse_request(self, head: RequestHead) -> RequestInfo:
        """Parse the headers of a request; raise InvalidHeaderError."""

    def upstream_headers(
        self,
        head: RequestHead,
        body_size: int,
        info: UpstreamRequestInfo,
    ) -> Headers:
        """Return the headers of a request for one upstream."""

    def parse_response(self, head: ResponseHead) -> ResponseInfo:
        """Parse the head of an upstream's answer."""

    def encode_refusal(self, refusal: Refusal) -> LocalResponse:
        """Encode a refusal for this interface."""
