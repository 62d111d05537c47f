"""What a reader of requests passes on, and what it needs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from .body_memory import BodyMemory
from .messages import RequestHead
from .request_body import RequestBody
from .request_memory import RequestReservation
from .server_limits import Rejection, ServerLimits


class IncomingRequest(msgspec.Struct, frozen=True):
    """A request that is passed on to its handler.

    received_at: when its first byte was received. is_refused: there was no
    memory for its body, which is empty here.
    """

    head: RequestHead
    body: RequestBody
    reservation: RequestReservation
    received_at: float
    keep_alive: bool = False
    supports_chunked: bool = True
    is_refused: bool = False


class ReaderOwner(Protocol):
    """The part of the server that a reader uses."""

    @property
    def limits(self) -> ServerLimits:
        """Return the limits of a connection."""

    @property
    def bodies(self) -> BodyMemory:
        """Return the memory for the bodies of requests."""

    @property
    def workspace_of(self) -> Callable[[RequestHead], str]:
        """Return what finds the workspace of a request, empty if unknown."""


class RequestListener(Protocol):
    """Receives what is read from a connection."""

    @property
    def accepts_request(self) -> bool:
        """Return whether another request may be parsed now."""

    def on_request_begun(self, now: float) -> float:
        """Handle the first byte; return when it was received."""

    def on_head_read(self) -> None:
        """Handle a complete head, before its body."""

    def on_wait_changed(self) -> None:
        """Handle that a body begins or ends to wait for its memory."""

    def on_request_read(self, req: IncomingRequest) -> None:
        """Handle a request that was read, or refused after its head."""

    def on_rejected(self, rejection: Rejection) -> None:
        """Handle a request that cannot be read; nothing follows it."""

    def on_dropped(self) -> None:
        """Handle the end of a request that was answered before its end."""
