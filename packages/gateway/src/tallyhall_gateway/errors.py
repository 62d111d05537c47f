"""Errors of the gateway layer."""

from __future__ import annotations


class CutOffError(Exception):
    """Raised into the server to end an answer without its proper end."""


class StreamBrokenError(Exception):
    """An upstream's answer ended before its end marker."""


class NotSentError(Exception):
    """Nothing was written to the upstream."""
