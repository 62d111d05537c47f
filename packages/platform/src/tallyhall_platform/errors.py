"""Errors of the adapter."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings file is missing or wrong; the text names the key."""


class DecodeError(Exception):
    """A value in the store does not have the published form."""


class StoreError(Exception):
    """Base of the store client's errors."""


class StoreUnavailableError(StoreError):
    """No usable answer; a write may or may not have been done."""


class StoreRefusedError(StoreUnavailableError):
    """The store refused the call (429, 503); nothing was done."""


class StoreLimitedError(StoreRefusedError):
    """The store works and refused one call too many (429)."""


class HistoryGoneError(StoreError):
    """The store no longer holds the changes asked for; read all again."""


class ConditionFailedError(StoreError):
    """A condition of a transaction did not hold; nothing was written."""


class LeaseEndedError(StoreError):
    """The lease has ended; its keys are gone."""
