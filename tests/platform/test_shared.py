"""The queue at its owner, and the way out when the owner is lost."""

import asyncio
from typing import Any

from tests.platform.harness import MODEL, deployment, desired, until

_TOKENS: dict[str, Any] = {'X_Tallyhall_Token_Counts': '100,30'}


async def test_places_are_counted_over_all_instances() -> None:
    async with deployment(3) as made:
        engine = await made.add_engine('model-0', event_s=0.02)
        await made.ready()
        asks = [
            made.caller(number % 3).ask('/stream/x', f'r{number}', **_TOKENS)
            for number in range(18)
        ]
        answers = await asyncio.gather(*asks)
        assert {answer.status for answer in answers} <= {200, 503}
        served = [one for one in answers if one.status == 200]
        assert len(served) == len(engine.ran)
        assert len(served) >= 12
        assert engine.most_running <= 4


async def test_requests_go_on_when_the_owner_dies() -> None:
    async with deployment(3) as made:
        await made.add_engine('model-0')
        await made.add_engine('model-1')
        await made.ready()
        names = [options.instance for options in made.options]
        owner = names.index(made.instances[0].owner(MODEL) or '')
        others = [number for number in range(3) if number != owner]
        await made.instances[owner].close()
        for number in range(6):
            caller = made.caller(others[number % 2])
            answer = await caller.ask('/stream/x', f'r{number}', **_TOKENS)
            assert answer.status == 200
        survivor = made.instances[others[0]]
        await until(lambda: survivor.owner(MODEL) != names[owner])


async def test_use_of_quotas_is_known_everywhere() -> None:
    async with deployment(2) as made:
        await made.add_engine('model-0')
        await made.ready()
        state = made.store
        changed = desired(2)
        changed['tenants'][0] |= {'rate-per-s': 50, 'burst': 260}
        state.put('op/config', changed)
        for instance in made.instances:
            await until(lambda: instance.state_version == 2)
        # 660 tokens in 8 s, less what two restarts may have used.
        statuses = []
        for number in range(6):
            caller = made.caller(number % 2)
            answer = await caller.ask('/stream/x', f'r{number}', **_TOKENS)
            statuses.append(answer.status)
            await asyncio.sleep(0.25)
        assert 429 in statuses
        assert statuses.count(200) <= 5
