"""Messages between instances, and their codec.

Each message is a frozen dataclass, discriminated by its `kind`. Times are sent
as durations in seconds, never as timestamps, since clocks differ between
instances. Messages are validated by pydantic when they are decoded.
"""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic
from pydantic.dataclasses import dataclass

from .refusals import Reason

_FROZEN = pydantic.ConfigDict(extra='forbid')


class BadMessageError(ValueError):
    """The bytes are not a valid message of this protocol version."""


@dataclass(frozen=True, config=_FROZEN)
class Ask:
    """A home requests a permit from the owner of a service.

    left_s: seconds until the deadline. prefixes: hashes of the prompt prefixes
    that end at each block boundary, shortest first. attempt: distinguishes
    repeated permit requests for one call. content: digest of the request
    content. ends: how many upstreams terminated while running a call with this
    content, as far as the owner knows.
    """

    id: str
    service: str
    holder: str
    workspace: str
    tier: str
    idempotent: bool
    prompt_tokens: int
    max_tokens: int
    left_s: float
    prefixes: tuple[str, ...] = ()
    attempt: int = 0
    avoid: str = ''
    content: str = ''
    ends: int = 0
    kind: Literal['ask'] = 'ask'


@dataclass(frozen=True, config=_FROZEN)
class Permit:
    """The owner allows one dispatch of a request to an upstream.

    ends: as in `Ask`.
    """

    id: str
    service: str
    attempt: int
    upstream: str
    address: str
    valid_s: float
    ends: int = 0
    kind: Literal['permit'] = 'permit'


@dataclass(frozen=True, config=_FROZEN)
class AskRefused:
    """The owner refuses a permit for the request."""

    id: str
    service: str
    attempt: int
    reason: Reason
    retry_after_s: float
    kind: Literal['refused'] = 'refused'


@dataclass(frozen=True, config=_FROZEN)
class NotOwner:
    """The receiver of a permit request does not consider itself the owner."""

    id: str
    service: str
    attempt: int
    epoch: int
    kind: Literal['not_owner'] = 'not_owner'


@dataclass(frozen=True, config=_FROZEN)
class Withdraw:
    """The home cancels its permit request."""

    id: str
    service: str
    kind: Literal['withdraw'] = 'withdraw'


@dataclass(frozen=True, config=_FROZEN)
class Done:
    """The home returns a permit.

    ran: whether any byte was written to the upstream. ok: whether the response
    was complete. broken: whether the upstream failed to complete its response.
    ended: whether the upstream has terminated since. content: as in `Ask`.
    ends: how many upstreams terminated while running such a call, including
    this one. first_s: seconds from dispatch to the first token.
    """

    id: str
    service: str
    upstream: str
    attempt: int
    ran: bool
    ok: bool = False
    broken: bool = False
    first_s: float = 0
    total_s: float = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    ended: bool = False
    content: str = ''
    ends: int = 0
    kind: Literal['done'] = 'done'


@dataclass(frozen=True, config=_FROZEN)
class Progress:
    """What a home measured of an upstream since its previous report.

    streams: streams in the decoding phase. tokens: tokens received during
    elapsed_s.
    """

    service: str
    upstream: str
    streams: int
    tokens: int
    elapsed_s: float
    kind: Literal['progress'] = 'progress'


@dataclass(frozen=True, config=_FROZEN)
class Revoke:
    """The owner preempts a running request in favour of a higher tier."""

    id: str
    service: str
    kind: Literal['revoke'] = 'revoke'


@dataclass(frozen=True, config=_FROZEN)
class Running:
    """A permit in use, as its home reports it to a new owner."""

    id: str
    upstream: str
    workspace: str
    tier: str
    idempotent: bool
    prompt_tokens: int
    max_tokens: int
    left_s: float
    attempt: int = 0


@dataclass(frozen=True, config=_FROZEN)
class EndSeen:
    """An upstream terminated while running a call, `age_s` seconds ago.

    content, ends: as in `Done`.
    """

    content: str
    upstream: str
    ends: int
    age_s: float


@dataclass(frozen=True, config=_FROZEN)
class Holding:
    """All requests of a home that run in a service, sent to a new owner.

    seen: the terminations of upstreams that the home observed.
    """

    service: str
    since: int
    home: str
    running: tuple[Running, ...]
    seen: tuple[EndSeen, ...] = ()
    kind: Literal['holding'] = 'holding'


@dataclass(frozen=True, config=_FROZEN)
class HoldingWanted:
    """A new owner asks a home for its running requests in a service."""

    service: str
    since: int
    kind: Literal['holding_wanted'] = 'holding_wanted'


@dataclass(frozen=True, config=_FROZEN)
class Query:
    """Asks the owner what it knows about a request of a fenced home.

    taker: the instance that takes over the request.
    """

    id: str
    service: str
    taker: str
    assignment: str
    kind: Literal['query'] = 'query'


Verdict = Literal['never', 'permitted', 'unknown']


@dataclass(frozen=True, config=_FROZEN)
class QueryAnswer:
    """The owner's response to a `Query`."""

    id: str
    service: str
    verdict: Verdict
    upstream: str = ''
    address: str = ''
    kind: Literal['query_answer'] = 'query_answer'


MemberState = Literal['live', 'leaving', 'gone']


@dataclass(frozen=True, config=_FROZEN)
class MemberEntry:
    """The state of an instance; the entry with the higher counter is newer."""

    instance: str
    incarnation: str
    counter: int
    state: MemberState
    rpc: str
    http: str
    zone: str
    epoch: int
    window: int
    load: int = 0
    table: int = 0
    kv_up: bool = True


@dataclass(frozen=True, config=_FROZEN)
class Revision:
    """The revision of a shared value that the sender has stored."""

    name: str
    revision: int


@dataclass(frozen=True, config=_FROZEN)
class Digest:
    """A heartbeat with member entries and revisions of shared values."""

    members: tuple[MemberEntry, ...]
    revisions: tuple[Revision, ...]
    kind: Literal['digest'] = 'digest'


@dataclass(frozen=True, config=_FROZEN)
class Want:
    """Requests the newer revisions of these shared values from a peer."""

    names: tuple[str, ...]
    kind: Literal['want'] = 'want'


@dataclass(frozen=True, config=_FROZEN)
class SharedValue:
    """A shared value with its revision."""

    name: str
    revision: int
    text: str
    kind: Literal['value'] = 'value'


Message = (
    Ask
    | Permit
    | AskRefused
    | NotOwner
    | Withdraw
    | Done
    | Progress
    | Revoke
    | Holding
    | HoldingWanted
    | Query
    | QueryAnswer
    | Digest
    | Want
    | SharedValue
)

_ADAPTER: pydantic.TypeAdapter[Message] = pydantic.TypeAdapter(
    Annotated[Message, pydantic.Field(discriminator='kind')],
)


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    return _ADAPTER.dump_json(message)


def decode(raw: bytes) -> Message:
    """Decode a message; raise BadMessageError if it is invalid."""
    try:
        return _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as exc:
        raise BadMessageError(str(exc)) from exc
