"""Errors of the gateway layer."""

from __future__ import annotations

from tallyhall_core.refusals import Refusal


class RefusedError(Exception):
    """The request is refused; carries the typed refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(refusal.reason)
        self.refusal = refusal


class CutOffError(Exception):
    """Raised into the server to end an answer without its proper end."""


class StreamBrokenError(Exception):
    """An upstream's answer ended before its end marker."""


class NotSentError(Exception):
    """Nothing was written to the upstream."""
