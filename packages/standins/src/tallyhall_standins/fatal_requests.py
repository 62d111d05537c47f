"""Requests that crash the stand-in of an upstream."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class FatalRequests:
    """Under which requests an upstream ends once it begins to run them.

    body: a body. parts: parts of prompts, whatever else a prompt holds; the
    collection may change meanwhile. events: how many events of a stream with
    such a part leave before the end; None if not even the head does.
    """

    body: bytes | None = None
    parts: Collection[str] = ()
    events: int | None = None

    def ends_before_head(self, headers: Mapping[str, str], body: bytes) -> bool:
        """Return whether an upstream ends before it answers a request."""
        if self.body is not None and body == self.body:
            return True
        return self.events is None and self._has_part(headers)

    def last_event(self, headers: Mapping[str, str]) -> int | None:
        """Return after how many events it ends, None if it does not."""
        return self.events if self._has_part(headers) else None

    def _has_part(self, headers: Mapping[str, str]) -> bool:
        return any(part in self.parts for part in prompt_parts(headers))


def prompt_parts(headers: Mapping[str, str]) -> list[str]:
    """Return the ids of the parts of a prompt, by its lowercase headers."""
    listed = headers.get('x-tallyhall-prompt-prefix', '')
    return [entry.partition(':')[0] for entry in listed.split(',') if entry]
