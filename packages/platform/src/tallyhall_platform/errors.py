"""Exceptions of the platform adapter."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings file is missing or invalid; the text names the key."""


class DecodeError(Exception):
    """A stored value does not have the documented format."""


class StoreError(Exception):
    """Base class of the store client's errors."""


class StoreUnavailableError(StoreError):
    """No usable answer; a write may or may not have been executed."""


class StoreRefusedError(StoreUnavailableError):
    """The store refused the call (429, 503); nothing was executed."""


class StoreLimitedError(StoreRefusedError):
    """The store works, but its rate limit is exceeded (429)."""


class HistoryCompactedError(StoreError):
    """The requested changes are compacted; a full read is needed."""


class ConditionFailedError(StoreError):
    """A condition of a transaction did not hold; nothing was written."""


class LeaseEndedError(StoreError):
    """The lease has ended and its keys are deleted."""
