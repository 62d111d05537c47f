"""Connection errors; the type tells whether the request may have run."""

from __future__ import annotations


class EdgeError(Exception):
    """Base of this package's errors."""


class NotSentError(EdgeError):
    """The request was not sent: no upstream can have read it."""


class BackoffError(NotSentError):
    """The upstream asked this instance to send nothing for some time."""


class NoPathError(NotSentError):
    """This instance reaches no upstream, directly or through another one."""


class InvalidTunnelMessageError(EdgeError):
    """Another instance sent a malformed message about a tunnel."""


class ConnectionFailedError(EdgeError):
    """The connection failed after the request was written."""


class ConnectionLostError(ConnectionFailedError):
    """The connection was lost while the request ran."""


class ExchangeEndedError(EdgeError):
    """An operation was called on an exchange that has ended."""


class UpstreamStalledError(ConnectionFailedError):
    """The upstream does not read the request; it may still run it."""


class InvalidResponseError(ConnectionFailedError):
    """The upstream sent a malformed or oversized response."""
