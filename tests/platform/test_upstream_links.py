"""Links of instances to upstreams in fault runs."""

import asyncio

from tallyhall_bench.ports import free_ports
from tallyhall_bench.upstream_links import UpstreamLinks
from tallyhall_dispatch.options import Listening

from .harness import HOST


async def test_losses_that_end_together_restore_links_once() -> None:
    place = Listening(HOST, free_ports(1)[0])
    links, _ = await UpstreamLinks.open([place])
    await links.lose('closed')
    await asyncio.gather(links.restore(), links.restore())
    await links.lose('closed')
