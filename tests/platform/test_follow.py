"""Following the store through outages, silence and compacted history."""

import asyncio

from tallyhall_standins.platform_store import StoreFault

from tests.platform.harness import PLAIN, deployment, desired, until


async def test_older_and_invalid_states_are_ignored() -> None:
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        instance = made.instances[0]
        made.store.put('op/config', desired(7))
        await until(lambda: instance.state_version == 7)
        made.store.put('op/config', desired(5))
        made.store.put_raw('op/config', b'{"version": 9}')
        made.store.put('op/config', desired(8))
        await until(lambda: instance.state_version == 8)


async def test_compacted_history_triggers_a_full_read() -> None:
    # The store is down for a second, longer than entries survive.
    async with deployment(heartbeat_s=0.4) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        await until(lambda: instance.usable_upstreams == 2)
        await asyncio.sleep(2.5)
        made.store.fault = StoreFault.refuses
        await asyncio.sleep(1)
        made.store.put('op/config', desired(4))
        made.store.remove('servers/plain-1')
        made.store.compact()
        made.store.fault = StoreFault.none
        await until(lambda: instance.state_version == 4)
        # The removal is held while entries may be written again, then applied.
        assert instance.usable_upstreams == 2
        await until(lambda: instance.usable_upstreams == 1)


async def test_removed_upstream_is_dropped_at_once() -> None:
    async with deployment() as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        await until(lambda: instance.usable_upstreams == 2)
        await asyncio.sleep(2.5)
        made.store.remove('servers/plain-0')
        await until(lambda: instance.usable_upstreams == 1, 0.5)


async def test_two_quick_changes_in_a_large_fleet_are_read_in_time() -> None:
    """A removal right after another change is applied within `change_s`.

    Instances of a large fleet used to pause for 1.2 s after each change,
    regardless of that bound.
    """
    async with deployment(change_s=0.9) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.add_engine('plain-1', PLAIN)
        await made.ready()
        instance = made.instances[0]
        for number in range(24):
            fields = {
                'instance': f'other-{number}',
                'incarnation': str(number),
                'front': '127.0.0.1:1',
                'peer': '127.0.0.1:1',
                'zone': 'a',
                'region': 'r',
            }
            made.store.put(f'tallyhall/instances/{number}', fields)
        await asyncio.sleep(3)
        await made.next_watch()
        made.store.put('op/config', desired(2))
        await until(lambda: instance.state_version == 2, 0.5)
        made.store.remove('servers/plain-1')
        await until(lambda: instance.usable_upstreams == 1, 0.9)


async def test_api_keys_need_a_confirmed_state() -> None:
    async with deployment(revoke_s=2.5) as made:
        engine = await made.add_engine('plain-0', PLAIN)
        await made.ready()
        made.store.fault = StoreFault.silent
        await asyncio.sleep(2)
        refused = await made.caller().ask('/safe/x', 'r1')
        assert refused.status == 503
        public = await made.caller().ask('/open/x', 'r2', key='')
        assert public.status == 200
        assert [seen.request_id for seen in engine.ran] == ['r2']
        made.store.fault = StoreFault.none
        await asyncio.sleep(1.6)
        served = await made.caller().ask('/safe/x', 'r3')
        assert served.status == 200


async def test_a_peer_relays_state_to_an_instance_without_the_store() -> None:
    async with deployment(2, revoke_s=4.3) as made:
        await made.add_engine('plain-0', PLAIN)
        await made.ready()
        made.instances[0].stop_following_store()
        await asyncio.sleep(3.3)
        answer = await made.caller().ask('/safe/x', 'r1')
        assert answer.status == 200
        # A state that only the peer has read is relayed by it.
        state = desired(2)
        state['tenants'][0]['api-keys'] = ['key-2']
        made.store.put('op/config', state)
        await until(lambda: made.instances[0].state_version == 2)
        refused = await made.caller().ask('/safe/x', 'r2')
        assert refused.status == 401


async def test_entry_is_removed_when_its_instance_closes() -> None:
    async with deployment(2) as made:
        await made.ready()
        prefix = 'tallyhall/instances/'
        assert len(made.store.keys(prefix)) == 2
        await made.instances[0].close()
        await until(lambda: len(made.store.keys(prefix)) == 1)
