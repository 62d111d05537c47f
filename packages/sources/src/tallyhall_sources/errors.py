"""Errors of the platform layer; urllib3's never leave it."""

from __future__ import annotations


class PlatformError(Exception):
    """The platform did not answer, or answered with nonsense."""


class UnavailableError(PlatformError):
    """No answer in time; a write may or may not have taken effect."""


class RateLimitedError(PlatformError):
    """The platform refused the call for its rate; nothing was done."""


class BadAnswerError(PlatformError):
    """The answer does not have the published form."""
