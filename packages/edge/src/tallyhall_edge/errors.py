"""Errors of connections; what is known about the request is in the type."""

from __future__ import annotations


class EdgeError(Exception):
    """Base of this package's errors."""


class NotSentError(EdgeError):
    """The request did not leave: no upstream can have read it."""


class RestingError(NotSentError):
    """The upstream wants nothing from this instance for a while."""


class BrokenError(EdgeError):
    """The connection failed after the request was written."""


class LostError(BrokenError):
    """The connection ended while the request ran."""


class EndedError(EdgeError):
    """Something was asked of an exchange that has ended."""


class BadMessageError(BrokenError):
    """The upstream sent bytes that are no answer."""
