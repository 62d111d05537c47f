"""What a caller gets: a whole answer, a refusal, or an unknown outcome."""

from __future__ import annotations

import dataclasses
import enum

import pydantic


@enum.unique
class Verdict(enum.StrEnum):
    """The end of a request as its caller sees it."""

    answered = 'answered'
    refused = 'refused'
    unknown = 'unknown'


class RefusalBody(pydantic.BaseModel):
    """The JSON object of a refusal."""

    code: int
    reason: str
    executed: str
    request_id: str
    retry_after_ms: int | None = None
    message: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CallOptions:
    """Whose request it is and how urgent; seconds for the deadline."""

    workspace: str
    tier: str = ''
    deadline_s: float = 30.0
    idempotent: bool | None = None
    key: str = ''


@dataclasses.dataclass(slots=True)
class CallOutcome:
    """The end of one request.

    first_s and total_s count from the first send; gaps_s is the mean time
    between tokens; sends counts the connections that carried the request.
    """

    verdict: Verdict = Verdict.unknown
    request_id: str = ''
    text: str = ''
    status: int = 0
    refusal: RefusalBody | None = None
    first_s: float = 0
    total_s: float = 0
    gap_s: float = 0
    sends: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0

    @property
    def reason(self) -> str:
        """Return the refusal's reason, `unknown` without one."""
        return self.refusal.reason if self.refusal else str(self.verdict)
