"""Errors of the transport layer; grpc's never leave it."""

from __future__ import annotations


class TransportError(Exception):
    """The transport could not be started."""
