"""No request is refused because of outdated use reports."""

import asyncio
import collections
from typing import cast
from unittest import mock

from tallyhall_core.refusals import Reason, Refusal
from tallyhall_dispatch.gate import OverQuotaError
from tallyhall_dispatch.quota import Quotas
from tallyhall_dispatch.quota_limits import FleetView, QuotaBounds
from tallyhall_entry.use_refresh import UseRefresher
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer, PeerEndpoint
from tallyhall_transport.peer_streams import PeerStreams

from tests.platform.harness import PLAIN, deployment

_BOUNDS = QuotaBounds(8, 0.1, 100)
_MANY = 18
_HUBS = frozenset(f'n{number}' for number in range(1, 5))


def _ignore(*_: object) -> None:
    """Accept and ignore any arguments."""


class _Asker:
    """An instance that queries hubs, which answer after a delay or never."""

    def __init__(self, instances: int, answer_s: float) -> None:
        self.asked = collections.Counter[str]()
        self.quotas = Quotas(_BOUNDS, -100)
        self._answer_s = answer_s
        self._instances = instances
        self._loop = asyncio.get_running_loop()
        self._asked_at = float('inf')
        peer_streams = PeerStreams(
            'n0', 'n0', _ignore, _ignore, _ignore, _ignore
        )
        names = [f'n{number}' for number in range(1, instances)]
        peer_streams.update_peers(
            dict.fromkeys(names, PeerEndpoint('127.0.0.1:1', 1))
        )
        peers = cast(dict[str, Peer], peer_streams.peers)
        peers.update({name: Peer(name) for name in _HUBS})
        peer_streams.next_batch = self._outgoing  # type: ignore[method-assign]
        self.refresher = UseRefresher(
            peer_streams, self.quotas, self._take_known
        )
        self.refresher.poll(_HUBS)
        self.knows(self._loop.time() - 1)

    def knows(self, known_at: float) -> None:
        """Set the time up to which others know the admissions."""
        fleet = FleetView(self._instances, 1, known_at, known_at)
        self.quotas.apply_fleet(fleet)

    def _outgoing(self, name: str, *, urgent: bool) -> None:
        batch = peers_pb2.Batch()
        self.refresher.fill(Peer(name), batch)
        self.asked[name] += batch.answer_now and urgent
        self._asked_at = self._loop.time()

    def _take_known(self) -> None:
        if self._loop.time() >= self._asked_at + self._answer_s:
            self.knows(self._asked_at)


async def test_concurrent_requests_share_one_query_per_hub() -> None:
    asker = _Asker(_MANY, 0.03)
    began_at = asyncio.get_running_loop().time()
    answers = [asker.refresher.refresh() for _ in range(5)]
    assert await asyncio.gather(*answers) == [True] * 5
    assert asyncio.get_running_loop().time() - began_at < 0.1
    assert asker.asked == dict.fromkeys(_HUBS, 1)
    # The known use is now as recent as another answer would be.
    assert not await asker.refresher.refresh()


async def test_silent_hubs_delay_a_request_for_a_tenth_of_a_second() -> None:
    asker = _Asker(_MANY, 60)
    began_at = asyncio.get_running_loop().time()
    assert await asker.refresher.refresh()
    assert 0.09 < asyncio.get_running_loop().time() - began_at < 0.3


async def test_full_mesh_sends_no_queries() -> None:
    asker = _Asker(7, 0)
    assert not await asker.refresher.refresh()
    assert not asker.asked


async def test_request_is_decided_again_after_a_refresh() -> None:
    """It is refused if it still does not fit, or if there is no newer data."""
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        runner = made.instances[0]._runner  # noqa: SLF001
        refused = OverQuotaError(
            Refusal.of(Reason.rate_limited, retry_after=1),
            None,
            'shop',
            10,
        )
        entered = mock.Mock(
            wraps=runner._admit,  # noqa: SLF001
            side_effect=[
                refused,
                mock.DEFAULT,
                refused,
                refused,
                refused,
                mock.DEFAULT,
            ],
        )
        asked = mock.AsyncMock(side_effect=[True, False, True])
        with (
            mock.patch.object(runner, '_admit', entered),
            mock.patch.object(runner, 'refresh_quota_use', asked),
        ):
            assert (await made.caller().ask('/safe/x', 'r1')).status == 200
            assert (await made.caller().ask('/safe/x', 'r2')).status == 429
            assert (await made.caller().ask('/safe/x', 'r3')).status == 429
            assert (await made.caller().ask('/safe/x', 'r4')).status == 200
