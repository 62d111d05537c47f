"""Buffer for the response to one request.

The thread that reads from the upstream fills it; the threads that serve
callers wait on it. Parts are kept, so that a caller that lost its connection
receives the complete response if it retries with the same id.
"""

from __future__ import annotations

import dataclasses
import threading

from tallyhall_core.refusals import Executed, Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and content type of a plain response."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Part of a response, with its number of tokens."""

    content: bytes
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a complete model response."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """The instance from which the response has to be fetched."""

    instance: str
    http: str


class Ticket:
    """Thread-safe response buffer.

    It is final once `refusal` or `is_complete` is set.
    """

    def __init__(self, request_id: str, now: float) -> None:
        """Create an empty buffer."""
        self.id = request_id
        self.head: ResponseHead | None = None
        self.usage = Usage(0, 0, 0)
        self.refusal: Refusal | None = None
        self.relay: Relay | None = None
        self.is_complete = False
        self.readers = 0
        self.changed_at = now
        self._parts: list[Part] = []
        self._cond = threading.Condition()

    @property
    def is_final(self) -> bool:
        """Return whether the response can no longer change."""
        return self.is_complete or self.refusal is not None

    @property
    def may_run_again(self) -> bool:
        """Return whether the request was refused without being executed."""
        refusal = self.refusal
        return refusal is not None and refusal.executed == Executed.no

    @property
    def has_output(self) -> bool:
        """Return whether a caller may have received any of the response."""
        return self.head is not None or bool(self._parts)

    def add(self, part: Part) -> None:
        """Append a part, unless the response is final."""
        with self._cond:
            if not self.is_final:
                self._parts.append(part)
            self._cond.notify_all()

    def complete(self, usage: Usage, now: float) -> bool:
        """Mark the response as complete; return False if it was final."""
        with self._cond:
            if self.is_final:
                return False
            self.usage = usage
            self.is_complete = True
            self.changed_at = now
            self._cond.notify_all()
            return True

    def refuse(self, refusal: Refusal, now: float) -> None:
        """Set the refusal, unless the response is final."""
        with self._cond:
            if not self.is_final:
                self.refusal = refusal
                self.changed_at = now
            self._cond.notify_all()

    def send_to(self, relay: Relay | None) -> None:
        """Set the instance to relay to; None clears it."""
        with self._cond:
            self.relay = relay
            self._cond.notify_all()

    def wait_for_update(self, timeout_s: float) -> None:
        """Wait for a part, a relay target or the end of the response."""
        with self._cond:
            self._cond.wait_for(self._has_update, timeout_s)

    def part(self, number: int, timeout_s: float) -> Part | None:
        """Wait for a part by index; return None at the end or on timeout."""
        with self._cond:
            self._cond.wait_for(
                lambda: len(self._parts) > number or self.is_final,
                timeout_s,
            )
            if len(self._parts) > number:
                return self._parts[number]
            return None

    def add_reader(self, now: float) -> None:
        """Register a caller that reads the response."""
        with self._cond:
            self.readers += 1
            self.changed_at = now

    def remove_reader(self, now: float) -> None:
        """Unregister a caller that has stopped reading."""
        with self._cond:
            self.readers -= 1
            self.changed_at = now

    def _has_update(self) -> bool:
        return bool(self._parts) or self.is_final or self.relay is not None
