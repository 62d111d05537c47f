"""Reads the metrics of an entry process."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from tallyhall_dispatch.options import Listening

_TIMEOUT_S = 2.0
_REQUEST = (
    b'GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n'
)


async def scrape(place: Listening) -> Mapping[str, float]:
    """Return the metrics by name and labels; raise OSError."""
    async with asyncio.timeout(_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(place.host, place.port)
        writer.write(_REQUEST)
        text = (await reader.read()).decode()
        writer.close()
    _, _, body = text.partition('\r\n\r\n')
    samples = (
        line.rpartition(' ')
        for line in body.splitlines()
        if line.startswith('tallyhall_')
    )
    return {name: float(number) for name, _, number in samples}


def load_reports(metrics: Mapping[str, float], step: str) -> float:
    """Return how many load reports took this step."""
    return metrics.get(f'tallyhall_load_reports_total{{step="{step}"}}', 0)
