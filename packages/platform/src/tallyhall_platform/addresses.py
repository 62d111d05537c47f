"""Parses the platform's addresses, IP:PORT; host names are not resolved."""

from __future__ import annotations

import socket

from tallyhall_dispatch.options import Listening

_MAX_PORT = 65_535
# Digits of a port that are parsed, and characters of an invalid address that
# an error message quotes.
_MAX_PORT_DIGITS = 6
_MAX_SHOWN = 40


def parse_address(text: str) -> Listening:
    """Parse an address of the form IP:PORT; raise ValueError."""
    host, _, digits = text.rpartition(':')
    if not (digits.isascii() and digits.isdigit()):
        raise ValueError(f'{text[:_MAX_SHOWN]!r} is not IP:PORT')
    port = int(digits[:_MAX_PORT_DIGITS])
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'a port must be between 1 and {_MAX_PORT}')
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as exc:
        raise ValueError(f'{text[:_MAX_SHOWN]!r} is not IP:PORT') from exc
    return Listening(host, port)
