"""Addresses as the platform writes them: IP:PORT, nothing to look up."""

from __future__ import annotations

import socket

from tallyhall_dispatch.options import Listening

_MOST_PORT = 65_535
# Digits of a port that are read; characters of a wrong text that are shown.
_MOST_DIGITS = 6
_SHOWN = 40


def listening(text: str) -> Listening:
    """Return the address in HOST:PORT; raise ValueError."""
    host, _, digits = text.rpartition(':')
    if not (digits.isascii() and digits.isdigit()):
        raise ValueError(f'{text[:_SHOWN]!r} is not IP:PORT')
    port = int(digits[:_MOST_DIGITS])
    if not 0 < port <= _MOST_PORT:
        raise ValueError(f'a port is at most {_MOST_PORT}')
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as exc:
        raise ValueError(f'{text[:_SHOWN]!r} is not IP:PORT') from exc
    return Listening(host, port)
