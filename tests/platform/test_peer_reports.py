"""Adoption of the fleet's quota usage by a restarted instance.

A restarted instance adopts the usage of the fleet from a peer that did not
restart. Two faults let a workspace that requested many times its quota exceed
it during a rolling restart:

The usage was adopted from the first peer that responded, even if that peer was
stopping and heard from no other instance, and so knew only its own usage. The
adopted sum replaced the usage recalled from the store, and the first reports of
other peers were ignored as if the sum included them. In a simulation with seven
instances, restarted ones heard from 1 to 3 peers, and two of them admitted 0.38
million tokens within a second while stopping ones still admitted. The logs did
not show an adoption of a partial sum at that time; the first two tests showed
that it would happen.

Usage was adopted from a report that left out what the sender had reported
before, and what peers admitted in the 0.3 s before their first reports was
ignored. The last of seven restarted instances admitted 0.22 million tokens in
1.7 s after the others had stopped admitting; the total was 1.96 million of a
quota of 1.87 million.
"""

import asyncio
import dataclasses
import random

from tallyhall_dispatch.desired import Workspace
from tallyhall_dispatch.freshness import Freshness
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.quota_limits import QuotaBounds
from tallyhall_dispatch.retries import RetryLimits
from tallyhall_entry.logs import EventLog
from tallyhall_entry.peer_reports import PeerReports
from tallyhall_transport.generated import peers_pb2
from tallyhall_transport.peer import Peer, PeerEndpoint
from tallyhall_transport.peer_streams import PeerStreams

from tests.platform.harness import log_stream

_LIMIT = 850
_NAMES = ('a', 'b', 'c')
# All instances report twice within this time.
_TWO_REPORTS_S = 0.35


@dataclasses.dataclass(slots=True)
class _Node:
    name: str
    gate: AdmissionGate
    peer_reports: PeerReports
    peer_streams: PeerStreams
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)

    def peer(self, name: str) -> Peer:
        """Return another instance as this one sees it."""
        return self.peers.setdefault(name, Peer(name, name))

    def report_to(self, other: '_Node') -> None:
        """Send a report to another instance."""
        batch = peers_pb2.Batch(
            sender=self.name,
            incarnation=self.name,
            hears=self.peer_streams.heard_count,
        )
        self.peer_reports.fill(self.peer(other.name), batch)
        heard = other.peer(self.name)
        heard.knows_fleet_use = batch.knows_use
        other.peer_reports.take(heard, batch)


def _node(name: str, started_at: float) -> _Node:
    gate = AdmissionGate(
        Freshness(5),
        RetryLimits(0.2, 50, 10),
        QuotaBounds(8, 0.1, 100),
        random.Random(1),
        started_at,
    )
    workspace = Workspace('w', None, 100, 50, True, 1)
    gate.quotas.configure({'w': workspace})
    peer_streams = PeerStreams(name, name, _ignore, _ignore, _ignore, _ignore)
    peer_streams.update_peers(
        {other: PeerEndpoint('', 1) for other in _NAMES if other != name},
    )
    peer_reports = PeerReports(
        gate, peer_streams, lambda raw: None, EventLog(log_stream())
    )
    return _Node(name, gate, peer_reports, peer_streams)


def _ignore(*_: object) -> None:
    """Ignore all arguments."""


async def test_adopted_use_is_counted_once() -> None:
    """Two old instances used 200 each; a new one counts 400, not 600."""
    now = asyncio.get_running_loop().time()
    old = [_node('a', now - 100), _node('b', now - 100)]
    for node in old:
        node.peer_streams.heard_count = len(_NAMES)
        assert not node.gate.quotas.charge('w', 200, now)
    for sender in old:
        for other in old:
            if sender is not other:
                sender.report_to(other)
    restarted = _node('c', now)
    for sender in (*old, *old):
        sender.report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    for again in (*old, *old):
        again.report_to(restarted)
    assert not restarted.gate.quotas.charge('w', _LIMIT - 401, now + 0.5)
    assert restarted.gate.quotas.charge('w', 10, now + 0.5) > 0


async def test_usage_is_adopted_only_from_a_peer_that_knows_all() -> None:
    """The first responding peer knows of 100, the second one of all 500."""
    now = asyncio.get_running_loop().time()
    partial, complete = _node('a', now - 100), _node('b', now - 100)
    assert not partial.gate.quotas.charge('w', 100, now)
    assert not complete.gate.quotas.charge('w', 400, now)
    partial.report_to(complete)
    complete.peer_streams.heard_count = len(_NAMES)
    restarted = _node('c', now)
    restarted.gate.quotas.restore({'w': ((0, 800),)}, now)
    partial.report_to(restarted)
    # The recalled usage applies until a peer knows the complete usage.
    assert restarted.gate.quotas.charge('w', 60, now + 0.1) > 0
    complete.report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    complete.report_to(restarted)
    assert not restarted.gate.quotas.charge('w', _LIMIT - 501, now + 0.5)
    assert restarted.gate.quotas.charge('w', 10, now + 0.5) > 0


async def test_adoption_subtracts_own_usage_less_returns() -> None:
    """The new instance used 200 and returned them; the old one used 400.

    The sum of 400 no longer includes the 200.
    """
    now = asyncio.get_running_loop().time()
    old, third = _node('a', now - 100), _node('b', now - 100)
    assert not old.gate.quotas.charge('w', 400, now)
    old.peer_streams.heard_count = len(_NAMES)
    restarted = _node('c', now)
    assert not restarted.gate.quotas.charge('w', 200, now)
    restarted.report_to(old)
    restarted.gate.quotas.refund('w', 200, now, now)
    restarted.report_to(old)
    for sender in (third, old):
        sender.report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    for again in (third, old):
        again.report_to(restarted)
    assert restarted.gate.quotas.knows_full_window(now + 0.5)
    assert restarted.gate.quotas.charge('w', _LIMIT - 300, now + 0.5) > 0


async def test_usage_after_an_adoption_is_counted() -> None:
    """A peer reported before the adoption, so its later usage is new."""
    now = asyncio.get_running_loop().time()
    old = [_node('a', now - 100), _node('b', now - 100)]
    restarted = _node('c', now)
    for node in old:
        node.peer_streams.heard_count = len(_NAMES)
    old[0].report_to(restarted)
    old[1].report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    old[0].report_to(restarted)
    assert not old[1].gate.quotas.charge('w', 300, now)
    old[1].report_to(restarted)
    assert restarted.gate.quotas.charge('w', _LIMIT - 299, now + 0.5) > 0


async def test_a_later_report_contains_all_usage() -> None:
    """An instance that does not know the usage is sent all of it again."""
    now = asyncio.get_running_loop().time()
    old = [_node('a', now - 100), _node('b', now - 100)]
    for node in old:
        assert not node.gate.quotas.charge('w', 200, now)
    old[1].report_to(old[0])
    restarted = _node('c', now)
    for first in old:
        first.report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    old[0].peer_streams.heard_count = len(_NAMES)
    old[0].report_to(restarted)
    assert not restarted.gate.quotas.charge('w', _LIMIT - 401, now + 0.5)
    assert restarted.gate.quotas.charge('w', 10, now + 0.5) > 0


async def test_usage_unknown_to_the_adopted_sender_is_counted() -> None:
    """Another instance reports 100 more here before it tells the sender."""
    now = asyncio.get_running_loop().time()
    sender, other = _node('a', now - 100), _node('b', now - 100)
    restarted = _node('c', now)
    assert not other.gate.quotas.charge('w', 100, now)
    for receiver in (sender, restarted):
        other.report_to(receiver)
    sender.report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    assert not other.gate.quotas.charge('w', 100, now + 0.4)
    other.report_to(restarted)
    sender.peer_streams.heard_count = len(_NAMES)
    sender.report_to(restarted)
    assert restarted.gate.quotas.knows_full_window(now + 0.5)
    assert restarted.gate.quotas.charge('w', _LIMIT - 199, now + 0.5) > 0


async def test_usage_of_a_new_instance_is_counted_after_an_adoption() -> None:
    """It started after the adoption, so the sum does not include its usage."""
    now = asyncio.get_running_loop().time()
    old = [_node('a', now - 100), _node('b', now - 100)]
    restarted = _node('c', now)
    for node in old:
        node.peer_streams.heard_count = len(_NAMES)
        node.report_to(restarted)
    await asyncio.sleep(_TWO_REPORTS_S)
    old[0].report_to(restarted)
    newcomer = _node('d', now)
    assert not newcomer.gate.quotas.charge('w', 300, now + 0.5)
    newcomer.report_to(restarted)
    assert restarted.gate.quotas.knows_full_window(now + 0.5)
    assert restarted.gate.quotas.charge('w', _LIMIT - 299, now + 0.6) > 0
