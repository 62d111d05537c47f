"""Table changes reach all instances and are never lost."""

import time
from collections.abc import Callable, Iterator

import pytest
from tallyhall_bench.fleet import Fleet
from tallyhall_sources.errors import PlatformError
from tallyhall_sources.kv import EtcdKeyValue
from tallyhall_table.edits import RowEdit, rows_by_key
from tallyhall_table.model import LimitRow
from tallyhall_table.store import TableStore

from tests.processes.fleets import small_spec

pytestmark = pytest.mark.processes

_TIMEOUT_S = 40.0
_KEY = 'foundry/ledger'


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Start five instances, two of which do not poll the KV."""
    with Fleet(small_spec(instances=5, engines=1)) as started:
        yield started


def _set_weight(fleet: Fleet, weight: float) -> int:
    address = fleet.platform['kv'].address
    store = TableStore(EtcdKeyValue(f'http://{address}', 5))
    before = rows_by_key(store.read(), 'limits')[_KEY]
    assert isinstance(before, LimitRow)
    after = before.model_copy(update={'weight': weight})
    outcome = store.change((RowEdit('limits', _KEY, before, after),), 'test')
    return outcome.ok.revision


def _revisions(fleet: Fleet) -> set[int]:
    states = [fleet.status(member) for member in fleet.instances.values()]
    return {state['table_revision'] if state else 0 for state in states}


def _wait(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.1)


def test_change_reaches_all_instances(fleet: Fleet) -> None:
    revision = _set_weight(fleet, 2)
    _wait(lambda: _revisions(fleet) == {revision})


def test_change_propagates_during_a_kv_outage_and_after_a_restart(
    fleet: Fleet,
) -> None:
    """Instances with the change pass it on, also to a restarted one."""
    revision = _set_weight(fleet, 3)
    _wait(lambda: revision in _revisions(fleet))
    fleet.faults('kv', down=True)
    _wait(lambda: _revisions(fleet) == {revision})
    victim = fleet.instances['entry-2']
    victim.process.kill()
    victim.process.wait()
    fleet.start_instance('entry-2')
    _wait(lambda: _revisions(fleet) == {revision})


def test_change_with_lost_responses_and_a_kv_outage(fleet: Fleet) -> None:
    fleet.faults('kv', lose_every=2)
    revision = _set_weight(fleet, 4)
    fleet.faults('kv', lose_every=0)
    _wait(lambda: _revisions(fleet) == {revision})
    fleet.faults('kv', down=True)
    with pytest.raises(PlatformError):
        _set_weight(fleet, 5)
    fleet.faults('kv', down=False)
    assert _set_weight(fleet, 6) == revision + 1
