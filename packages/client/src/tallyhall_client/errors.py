"""Exceptions raised by the client library."""

from __future__ import annotations


class ClientError(Exception):
    """Base class of all errors of the client library."""


class NoEntryError(ClientError):
    """No entry instance responded."""


class NotSentError(ClientError):
    """The connection could not be established; nothing was sent."""


class IncompleteResponseError(ClientError):
    """The response is incomplete; the request may have been executed."""
