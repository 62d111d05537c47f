"""What an upstream still gets of a request that nobody waits for."""

import asyncio
import socket

import pytest
from tallyhall_edge.client import ClientConnection

from tests.paused_clock import Outside, wait_for
from tests.platform.harness import ResponseCollector

_BODY_BYTES = 8_000_000
_READ_BYTES = 65_536


def _address(server: socket.socket) -> tuple[str, int]:
    host, port = server.getsockname()
    return host, port


def _read_to_the_end(conn: socket.socket) -> int:
    received = 0
    while True:
        part = conn.recv(_READ_BYTES)
        if not part:
            return received
        received += len(part)


async def test_unacknowledged_bytes_are_discarded_with_the_connection() -> None:
    wait_for(Outside.threads)
    with socket.create_server(('127.0.0.1', 0)) as server:
        conn = await ClientConnection.open(*_address(server), 1)
        upstream, _ = server.accept()
        with upstream:
            conn.send(b'POST', ResponseCollector(), b'', [bytes(_BODY_BYTES)])
            await asyncio.sleep(0.2)
            assert not conn.is_acknowledged
            conn.close()
            await asyncio.sleep(0.2)
            upstream.settimeout(5)
            with pytest.raises(ConnectionResetError):
                _read_to_the_end(upstream)


async def test_connection_without_such_bytes_ends_as_before() -> None:
    wait_for(Outside.threads)
    with socket.create_server(('127.0.0.1', 0)) as server:
        conn = await ClientConnection.open(*_address(server), 1)
        upstream, _ = server.accept()
        with upstream:
            conn.send(b'POST', ResponseCollector(), b'')
            await asyncio.sleep(0.2)
            assert conn.is_acknowledged
            conn.close()
            await asyncio.sleep(0.2)
            upstream.settimeout(5)
            assert _read_to_the_end(upstream) == len(b'POST')
