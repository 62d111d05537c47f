"""Rollout orders in the store: valid, malformed, withdrawn and repeated."""

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tallyhall_bench.ports import free_ports
from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.versions import RolloutState
from tallyhall_platform.errors import ConditionFailedError, DecodeError
from tallyhall_platform.rollouts import (
    RolloutStore,
    decode_order,
    decode_status,
)
from tallyhall_platform.store import Change, ConditionalWrite, StoreClient
from tallyhall_standins.platform_store import StoreStandIn

from tests.platform.harness import MODEL, Deployment, deployment, until

_ORDER = {'service': 's', 'target': 'v2', 'duration-s': 12}


def _change(key: str, fields: Any) -> Change:
    return Change(key, json.dumps(fields).encode(), 7)


def test_an_order_is_decoded_with_its_revision() -> None:
    order = decode_order(_change('op/rollout/s', _ORDER))
    assert order is not None
    assert (order.service, order.target, order.limit_s) == ('s', 'v2', 12)
    assert order.revision == 7


def test_withdrawn_order_is_none() -> None:
    assert decode_order(Change('op/rollout/s', None, 7)) is None


@pytest.mark.parametrize(
    'wrong',
    [
        {'service': 'other'},
        {'service': ''},
        {'target': ''},
        {'target': 2},
        {'duration-s': 0},
        {'duration-s': -1},
        {'duration-s': 'long'},
    ],
)
def test_malformed_order_is_rejected(wrong: dict[str, Any]) -> None:
    with pytest.raises(DecodeError):
        decode_order(_change('op/rollout/s', _ORDER | wrong))


@given(st.binary(max_size=60))
def test_arbitrary_bytes_raise_only_decode_errors(raw: bytes) -> None:
    for decode in (decode_order, decode_status):
        with contextlib.suppress(DecodeError):
            decode(Change('op/rollout/s', raw, 7))


def test_states_are_decoded() -> None:
    fields = {'service': 's', 'target': 'v2', 'state': 'rolled_back'}
    status = decode_status(_change('status/rollout/s', fields))
    assert status is not None
    assert status.state is RolloutState.rolled_back


@contextlib.asynccontextmanager
async def _stored() -> AsyncIterator[tuple[StoreStandIn, StoreClient]]:
    store = StoreStandIn()
    address = Listening('127.0.0.1', free_ports(1)[0])
    await store.listen(address.host, address.port)
    client = StoreClient(address)
    try:
        yield store, client
    finally:
        client.close()
        store.close()


async def test_key_is_written_only_if_unchanged_since_the_read() -> None:
    async with _stored() as (_, client):
        first = await client.compare_and_swap(ConditionalWrite('k', b'1', 0))
        with pytest.raises(ConditionFailedError):
            await client.compare_and_swap(ConditionalWrite('k', b'2', 0))
        with pytest.raises(ConditionFailedError):
            await client.compare_and_swap(
                ConditionalWrite('j', b'2', 0), {'k': first + 1}
            )
        await client.compare_and_swap(
            ConditionalWrite('j', b'2', 0), {'k': first}
        )
        found = await client.get('j')
        assert found is not None
        assert found.content == b'2'
        assert await client.get('none') is None


async def test_unreadable_record_can_be_overwritten() -> None:
    async with _stored() as (store, client):
        store.put_raw('tallyhall/rollouts/s', b'no record')
        stored = await RolloutStore(client).read('s')
        assert stored.record is None
        assert stored.record_revision > 0


async def test_malformed_order_changes_nothing() -> None:
    """The order is ignored, and other rollouts are not affected."""
    async with deployment(1) as site:
        site.store.put_raw(f'op/rollout/{MODEL}', b'{"service"')
        site.store.put(
            f'op/rollout/{MODEL}-unknown',
            {'service': f'{MODEL}-unknown', 'target': 'v2', 'duration-s': 1},
        )
        status = f'status/rollout/{MODEL}-unknown'
        # The rollout of an unknown service is rolled back at its deadline.
        await until(lambda: _state(site, status) == 'rolled_back')
        assert _state(site, f'status/rollout/{MODEL}') is None


def _order(site: Deployment) -> None:
    """Order a rollout whose record says that its time is long over."""
    fields = {'service': MODEL, 'target': 'v2', 'duration-s': 8}
    revision = site.store.put(f'op/rollout/{MODEL}', fields)
    site.store.put(
        f'tallyhall/rollouts/{MODEL}',
        {'order': revision, 'elapsed_s': 100, 'day_s': time.time()},
    )


async def test_running_instance_does_not_use_the_wall_clock() -> None:
    async with deployment(1) as site:
        _order(site)
        status = f'status/rollout/{MODEL}'
        await until(lambda: _state(site, status) == 'running')
        await asyncio.sleep(1)
        assert _state(site, status) == 'running'


async def test_instance_started_later_uses_the_record() -> None:
    async with deployment(0) as site:
        _order(site)
        await site.add_instance()
        status = f'status/rollout/{MODEL}'
        await until(lambda: _state(site, status) == 'rolled_back')


def _state(site: Deployment, key: str) -> str | None:
    found = site.store.item(key)
    if found is None:
        return None
    return str(json.loads(base64.b64decode(found.text))['state'])
