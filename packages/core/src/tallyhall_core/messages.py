"""Messages between instances, and their codec.

Each message is one frozen class told apart by its `kind`. Times travel as
durations in seconds, never as clock readings, since clocks differ between
instances. The codec is pydantic's, so that a message is checked on arrival.
"""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic
from pydantic.dataclasses import dataclass

from .refusals import Reason

_FROZEN = pydantic.ConfigDict(extra='forbid')


class BadMessageError(ValueError):
    """Bytes that are no message of this version."""


@dataclass(frozen=True, config=_FROZEN)
class Ask:
    """A home asks a service's owner for a permit.

    left_s: seconds to the deadline. prefixes: hashes of growing prompt
    prefixes, one for each block, shortest first. attempt tells repeated asks
    of one request apart. content: digest of what is asked. ends: at how many
    ends of upstreams such a call was, as the owner knows.
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
    """The owner allows one dispatch of one request to one upstream.

    ends: as in the ask.
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
    """The owner will not permit the request."""

    id: str
    service: str
    attempt: int
    reason: Reason
    retry_after_s: float
    kind: Literal['refused'] = 'refused'


@dataclass(frozen=True, config=_FROZEN)
class NotOwner:
    """The asked instance does not own the service in its own view."""

    id: str
    service: str
    attempt: int
    epoch: int
    kind: Literal['not_owner'] = 'not_owner'


@dataclass(frozen=True, config=_FROZEN)
class Withdraw:
    """The home no longer wants a permit for the request."""

    id: str
    service: str
    kind: Literal['withdraw'] = 'withdraw'


@dataclass(frozen=True, config=_FROZEN)
class Done:
    """A permit comes back.

    ran: whether any byte was written to the upstream. ok: whether the answer
    was complete. broken: whether the upstream failed to answer whole. ended:
    whether the upstream has ended since. content: as in the ask. ends: at how
    many ends such a call was, with this one.
    first_s: seconds from dispatch to the first token.
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
    """What one home saw of one upstream since its last report.

    streams: decoding streams; tokens: tokens received in elapsed_s.
    """

    service: str
    upstream: str
    streams: int
    tokens: int
    elapsed_s: float
    kind: Literal['progress'] = 'progress'


@dataclass(frozen=True, config=_FROZEN)
class Revoke:
    """The owner stops a running request to make room for a higher tier."""

    id: str
    service: str
    kind: Literal['revoke'] = 'revoke'


@dataclass(frozen=True, config=_FROZEN)
class Running:
    """One permit in use, as its home reports it to a new owner."""

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
    """An upstream ended under a call, so many seconds ago; as in `Done`."""

    content: str
    upstream: str
    ends: int
    age_s: float


@dataclass(frozen=True, config=_FROZEN)
class Holding:
    """Everything a home has running in a service, for a new owner.

    seen: the ends of upstreams that it saw.
    """

    service: str
    since: int
    home: str
    running: tuple[Running, ...]
    seen: tuple[EndSeen, ...] = ()
    kind: Literal['holding'] = 'holding'


@dataclass(frozen=True, config=_FROZEN)
class HoldingWanted:
    """A new owner asks a home what it has running in the service."""

    service: str
    since: int
    kind: Literal['holding_wanted'] = 'holding_wanted'


@dataclass(frozen=True, config=_FROZEN)
class Query:
    """A taker asks what the owner knows of a request of a fenced home."""

    id: str
    service: str
    taker: str
    assignment: str
    kind: Literal['query'] = 'query'


Verdict = Literal['never', 'permitted', 'unknown']


@dataclass(frozen=True, config=_FROZEN)
class QueryAnswer:
    """The owner's knowledge of a queried request."""

    id: str
    service: str
    verdict: Verdict
    upstream: str = ''
    address: str = ''
    kind: Literal['query_answer'] = 'query_answer'


MemberState = Literal['live', 'leaving', 'gone']


@dataclass(frozen=True, config=_FROZEN)
class MemberEntry:
    """What is known of one instance; the higher counter is the newer."""

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
    """The revision that the sender holds of one shared value."""

    name: str
    revision: int


@dataclass(frozen=True, config=_FROZEN)
class Digest:
    """A heartbeat: member entries and revisions of the shared values."""

    members: tuple[MemberEntry, ...]
    revisions: tuple[Revision, ...]
    kind: Literal['digest'] = 'digest'


@dataclass(frozen=True, config=_FROZEN)
class Want:
    """The sender lacks newer revisions of these shared values."""

    names: tuple[str, ...]
    kind: Literal['want'] = 'want'


@dataclass(frozen=True, config=_FROZEN)
class SharedValue:
    """One shared value with its revision."""

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
    """Return the wire form of a message."""
    return _ADAPTER.dump_json(message)


def decode(raw: bytes) -> Message:
    """Read a wire form; raise BadMessageError where it does not fit."""
    try:
        return _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as exc:
        raise BadMessageError(str(exc)) from exc
