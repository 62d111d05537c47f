"""Actions that a node returns, and the results reported back to it."""

from __future__ import annotations

import dataclasses
import enum

from tallyhall_core.events import Event
from tallyhall_core.messages import Message
from tallyhall_core.refusals import Refusal
from tallyhall_membership.assignment import Edit


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an incarnation.

    to: the incarnation; if empty, any incarnation at the address.
    """

    address: str
    to: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Dispatch the request to the upstream; the permit expires at `until`.

    resume: read the existing stream of this id at the upstream from its start
    instead of dispatching the request.
    """

    id: str
    upstream: str
    address: str
    until: float
    resume: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Stop a running request and answer the caller with the refusal."""

    id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer the caller with a refusal; nothing runs for this id here."""

    id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTo:
    """Relay the caller's request to the instance that handles the id."""

    id: str
    instance: str
    http: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeEdits:
    """Apply edits to the assignment in the key-value store (KV)."""

    edits: tuple[Edit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """Restart as a new incarnation, because this one has been fenced."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a numbered event to the log.

    fields: further values, for people and for the programs that check logs.
    """

    event: Event
    fields: dict[str, str | int | float | bool]


@dataclasses.dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Increment a counter."""

    name: str
    amount: int = 1


Action = (
    Send
    | StartRun
    | CancelRun
    | RefuseRequest
    | RelayTo
    | ProposeEdits
    | Restart
    | LogEvent
    | IncrementCounter
)


@enum.unique
class Outcome(enum.StrEnum):
    """How a run ended.

    not_sent: no byte was written to the upstream. broken: the answer is
    incomplete and cannot be completed. stopped: cancelled by this instance.
    """

    complete = 'complete'
    not_sent = 'not_sent'
    broken = 'broken'
    failed = 'failed'
    stopped = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result and measurements of a run; times in seconds.

    shown: whether any of the answer was sent to the caller. ended: whether the
    upstream no longer accepts connections.
    """

    id: str
    upstream: str
    outcome: Outcome
    first_s: float = 0
    total_s: float = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    shown: bool = False
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSpec:
    """Properties of a caller's request that decisions depend on.

    left_s: seconds until the deadline, counted from submission. content:
    digest of the request's content.
    """

    workspace: str
    service: str
    tier: str
    idempotent: bool
    left_s: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefixes: tuple[str, ...] = ()
    content: str = ''
