"""Interface of what receives the response on a connection to an upstream."""

from __future__ import annotations

from typing import Protocol

from .errors import ConnectionFailedError
from .messages import ResponseHead


class ResponseSink(Protocol):
    """Receives one response as it arrives."""

    def on_head(self, head: ResponseHead) -> None:
        """Handle the head."""

    def on_data(self, payload: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        """Handle the end: `exc` is None if the response is complete."""
