"""Exceptions of the transport layer, which raises none of gRPC's."""

from __future__ import annotations


class TransportError(Exception):
    """The server cannot listen, or a peer does not answer."""
