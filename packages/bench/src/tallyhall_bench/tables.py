"""Tables for runs on one machine."""

from __future__ import annotations

import contextlib
import types
import uuid
from typing import Any

from tallyhall_sources.errors import PlatformError
from tallyhall_sources.kv import EtcdKeyValue
from tallyhall_table.edits import RowEdit, rows_by_key
from tallyhall_table.model import Table
from tallyhall_table.store import TableStore

_TIMEOUT_S = 2.0
# The usual three tiers: rank and weight in the goodput over all tiers.
TIER_RANKS = types.MappingProxyType({'audit': 0, 'desk': 1, 'batch': 2})
TIER_WEIGHTS = types.MappingProxyType(
    {'audit': 8.0, 'desk': 3.0, 'batch': 1.0},
)


def put_table(address: str, fields: dict[str, Any]) -> None:
    """Make the table in the KV equal to these fields, as an operator does."""
    store = TableStore(EtcdKeyValue(f'http://{address}', _TIMEOUT_S))
    wanted = Table.model_validate(fields)
    store.replace(wanted, store.read(), f'bench-{uuid.uuid4().hex[:6]}')


def set_weight(address: str, workspace: str, weight: float) -> None:
    """Set one row's weight, as an operator does who gives up on a fault."""
    store = TableStore(EtcdKeyValue(f'http://{address}', _TIMEOUT_S))
    key = f'{workspace}/ledger'
    with contextlib.suppress(PlatformError):
        before = rows_by_key(store.read(), 'limits')[key]
        after = before.model_copy(update={'weight': weight})
        store.change((RowEdit('limits', key, before, after),), 'faults')


def set_model(
    address: str,
    service: str,
    model: str,
    checks_fencing: bool,
) -> None:
    """Name the model that a service's engines are to load."""
    store = TableStore(EtcdKeyValue(f'http://{address}', _TIMEOUT_S))
    before = rows_by_key(store.read(), 'services')[service]
    after = before.model_copy(
        update={'model': model, 'checks_fencing': checks_fencing},
    )
    store.change((RowEdit('services', service, before, after),), 'bench')


def usual_table(
    workspaces: tuple[str, ...],
    deadlines: tuple[float, float, float] = (6.0, 12.0, 20.0),
) -> dict[str, Any]:
    """Return three tiers, a model and a plain service, all rows open."""
    return {
        'tiers': [
            {
                'name': name,
                'rank': rank,
                'deadline_s': deadlines[rank],
                'goodput_weight': TIER_WEIGHTS[name],
            }
            for name, rank in TIER_RANKS.items()
        ],
        'services': [
            {'name': 'ledger', 'kind': 'model'},
            {'name': 'tags', 'kind': 'plain'},
        ],
        'limits': [
            {
                'workspace': workspace,
                'service': service,
                'tiers': list(TIER_RANKS),
            }
            for workspace in workspaces
            for service in ('ledger', 'tags')
        ],
    }
