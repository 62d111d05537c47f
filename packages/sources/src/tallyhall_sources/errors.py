"""Errors of the platform clients; urllib3 errors are converted to these."""

from __future__ import annotations


class PlatformError(Exception):
    """The platform did not respond or sent an invalid response."""


class UnavailableError(PlatformError):
    """No response; a write may or may not have taken effect."""


class RateLimitedError(PlatformError):
    """The platform rejected the call by its rate limit, without effect."""


class InvalidResponseError(PlatformError):
    """The response does not conform to the published interface."""
