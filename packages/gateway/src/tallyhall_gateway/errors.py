"""Exceptions of the gateway."""

from __future__ import annotations


class TruncatedResponseError(Exception):
    """Makes the server close the connection before the response is complete."""


class StreamBrokenError(Exception):
    """The response of an upstream is incomplete or invalid."""


class NotSentError(Exception):
    """Nothing was sent to the upstream."""
