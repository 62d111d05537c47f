"""The answer to one request, between the thread that reads it from the
upstream and the threads of the callers that wait for it.

Parts are kept, so that a caller that lost its connection gets the whole
answer again when it comes back with the same id.
"""

from __future__ import annotations

import dataclasses
import threading

from tallyhall_core.refusals import Executed, Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a plain answer, known before its parts."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One piece of an answer. tokens: number of tokens in it."""

    content: bytes
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a complete model answer."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """The answer is to be had from another instance."""

    instance: str
    http: str


class Ticket:
    """The growing answer; final once `refusal` or `is_complete` is set."""

    def __init__(self, request_id: str, now: float) -> None:
        """Start without any part."""
        self.id = request_id
        self.head: Head | None = None
        self.usage = Usage(0, 0, 0)
        self.refusal: Refusal | None = None
        self.relay: Relay | None = None
        self.is_complete = False
        self.readers = 0
        self.changed = now
        self._parts: list[Part] = []
        self._cond = threading.Condition()

    @property
    def is_final(self) -> bool:
        """Return whether nothing more will come."""
        return self.is_complete or self.refusal is not None

    @property
    def may_run_again(self) -> bool:
        """Return whether the request surely has not run and will not."""
        refusal = self.refusal
        return refusal is not None and refusal.executed == Executed.no

    @property
    def is_shown(self) -> bool:
        """Return whether any of the answer may have reached a caller."""
        return self.head is not None or bool(self._parts)

    def add(self, part: Part) -> None:
        """Append a part, unless the answer is final."""
        with self._cond:
            if not self.is_final:
                self._parts.append(part)
            self._cond.notify_all()

    def complete(self, usage: Usage, now: float) -> bool:
        """Mark the answer whole; return whether it was not final yet."""
        with self._cond:
            if self.is_final:
                return False
            self.usage = usage
            self.is_complete = True
            self.changed = now
            self._cond.notify_all()
            return True

    def refuse(self, refusal: Refusal, now: float) -> None:
        """Give the final refusal, unless the answer is final."""
        with self._cond:
            if not self.is_final:
                self.refusal = refusal
                self.changed = now
            self._cond.notify_all()

    def send_to(self, relay: Relay | None) -> None:
        """Say where the answer is to be had; None takes it back."""
        with self._cond:
            self.relay = relay
            self._cond.notify_all()

    def wait_first(self, timeout_s: float) -> None:
        """Wait for a part, a relay or the end."""
        with self._cond:
            self._cond.wait_for(self._has_news, timeout_s)

    def part(self, number: int, timeout_s: float) -> Part | None:
        """Return the part of this number; None at the end or on timeout."""
        with self._cond:
            self._cond.wait_for(
                lambda: len(self._parts) > number or self.is_final,
                timeout_s,
            )
            if len(self._parts) > number:
                return self._parts[number]
            return None

    def attach(self, now: float) -> None:
        """Count a caller that reads."""
        with self._cond:
            self.readers += 1
            self.changed = now

    def detach(self, now: float) -> None:
        """Count a caller that reads no more."""
        with self._cond:
            self.readers -= 1
            self.changed = now

    def _has_news(self) -> bool:
        return bool(self._parts) or self.is_final or self.relay is not None
