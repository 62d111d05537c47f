"""The catalogue of refusals: error code, reason, HTTP status and text.

Every response that does not come from an upstream carries one of these.
`Executed` tells whether an upstream may have run the request. It is `no` only
if the request was not dispatched and can never be.
"""

from __future__ import annotations

import enum

import msgspec


@enum.unique
class Executed(enum.StrEnum):
    """Whether the request reached an upstream."""

    no = 'no'
    unknown = 'unknown'
    yes = 'yes'


class Entry(msgspec.Struct, frozen=True):
    """One catalogue entry."""

    number: int
    status: int
    executed: Executed
    text: str


@enum.unique
class Reason(enum.StrEnum):
    """Refusal reasons, also used as metric names."""

    bad_request = 'bad_request'
    unknown_workspace = 'unknown_workspace'
    unknown_service = 'unknown_service'
    unknown_tier = 'unknown_tier'
    body_too_large = 'body_too_large'
    deadline_past = 'deadline_past'
    bad_request_id = 'bad_request_id'
    not_ready = 'not_ready'
    deadline_unreachable = 'deadline_unreachable'
    rate_limited = 'rate_limited'
    shed = 'shed'
    queue_full = 'queue_full'
    deadline_exceeded = 'deadline_exceeded'
    no_upstream = 'no_upstream'
    owner_unreachable = 'owner_unreachable'
    revoked = 'revoked'
    deadline_exceeded_running = 'deadline_exceeded_running'
    upstream_broken = 'upstream_broken'
    upstream_error = 'upstream_error'
    takeover_unknown = 'takeover_unknown'
    fenced = 'fenced'
    cancelled = 'cancelled'
    already_answered = 'already_answered'
    stopping = 'stopping'
    unknown_key = 'unknown_key'
    unknown_route = 'unknown_route'
    state_not_confirmed = 'state_not_confirmed'
    upstream_full = 'upstream_full'
    timed_out = 'timed_out'
    quarantined = 'quarantined'
    stream_unknown = 'stream_unknown'
    stream_version_gone = 'stream_version_gone'


_NO = Executed.no
_UNKNOWN = Executed.unknown
_YES = Executed.yes

CATALOGUE = {  # noqa: WPS407  (read only; a mapping proxy hides the types)
    Reason.bad_request: Entry(1001, 400, _NO, 'The request is malformed.'),
    Reason.unknown_workspace: Entry(1002, 403, _NO, 'Unknown workspace.'),
    Reason.unknown_service: Entry(1003, 404, _NO, 'Unknown service.'),
    Reason.unknown_tier: Entry(1004, 400, _NO, 'Tier not open to this row.'),
    Reason.body_too_large: Entry(1005, 413, _NO, 'The body is too large.'),
    Reason.deadline_past: Entry(1006, 400, _NO, 'The deadline has passed.'),
    Reason.bad_request_id: Entry(1007, 400, _NO, 'Use a fresh locate answer.'),
    Reason.not_ready: Entry(1101, 503, _NO, 'No table is in force yet.'),
    Reason.stopping: Entry(1102, 503, _NO, 'The instance is stopping.'),
    Reason.unknown_key: Entry(1008, 401, _NO, 'No workspace has the key.'),
    Reason.unknown_route: Entry(1009, 404, _NO, 'No route has the path.'),
    Reason.state_not_confirmed: Entry(
        1103, 503, _NO, 'The API keys in force cannot be confirmed now.'
    ),
    Reason.upstream_full: Entry(
        1208, 503, _NO, 'The upstreams took no more requests.'
    ),
    Reason.quarantined: Entry(
        1209, 503, _NO, 'Upstreams ended while they ran this request.'
    ),
    Reason.stream_unknown: Entry(
        1210, 503, _NO, 'Where the stream began cannot be proven.'
    ),
    Reason.stream_version_gone: Entry(
        1211, 503, _NO, 'No upstream of the version of the stream is left.'
    ),
    Reason.timed_out: Entry(
        1305, 504, _UNKNOWN, 'The time was over before the answer came.'
    ),
    Reason.deadline_unreachable: Entry(
        1201, 503, _NO, 'The deadline cannot be met even without a queue.'
    ),
    Reason.rate_limited: Entry(1202, 429, _NO, 'The row is over its rate.'),
    Reason.shed: Entry(1203, 503, _NO, 'Load is being shed.'),
    Reason.queue_full: Entry(1204, 503, _NO, 'The queue is full.'),
    Reason.deadline_exceeded: Entry(
        1205, 504, _NO, 'The deadline passed while the request waited.'
    ),
    Reason.no_upstream: Entry(1206, 503, _NO, 'No upstream takes new work.'),
    Reason.owner_unreachable: Entry(
        1207, 503, _NO, 'The owner of the service cannot be reached.'
    ),
    Reason.revoked: Entry(
        1301, 503, _YES, 'Stopped while running, for a higher tier.'
    ),
    Reason.deadline_exceeded_running: Entry(
        1302, 504, _YES, 'The deadline passed while the request ran.'
    ),
    Reason.upstream_broken: Entry(
        1303, 502, _UNKNOWN, 'The upstream broke off; it may have run.'
    ),
    Reason.upstream_error: Entry(
        1304, 502, _YES, 'The upstream answered with an error.'
    ),
    Reason.takeover_unknown: Entry(
        1401, 503, _UNKNOWN, 'The earlier instance may have dispatched it.'
    ),
    Reason.fenced: Entry(
        1402, 503, _UNKNOWN, 'Another instance took over; ask with this id.'
    ),
    Reason.cancelled: Entry(1403, 499, _YES, 'The caller went away.'),
    Reason.already_answered: Entry(
        1404, 409, _UNKNOWN, 'This id was answered; the answer is not kept.'
    ),
}


class Refusal(msgspec.Struct, frozen=True):
    """A final response that does not come from an upstream.

    retry_after: seconds after which a retry may succeed, None if none can.
    """

    reason: Reason
    executed: Executed
    retry_after: float | None = None
    detail: str = ''

    @classmethod
    def of(
        cls,
        reason: Reason,
        *,
        retry_after: float | None = None,
        detail: str = '',
    ) -> Refusal:
        """Return a refusal with the `executed` value from the catalogue."""
        executed = CATALOGUE[reason].executed
        return cls(reason, executed, retry_after, detail)


class RefusedError(Exception):
    """Raised to answer a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal to send."""
        super().__init__(refusal.reason)
        self.refusal = refusal
