"""Sharing of evidence on prompt parts in a large fleet with hubs."""

import asyncio

import pytest
from tallyhall_core.part_verdicts import PartEnds
from tallyhall_core.refusals import RefusedError
from tallyhall_core.suspects import InterruptedRun
from tallyhall_edge.guard import Fingerprint, Permit

from tests.platform.guard_fleet import (
    FORWARDED_S,
    HUBS,
    Fleet,
    new_recorder,
    open_store,
)

_SHARED = 'svc/shared'
_FATAL = 'svc/fatal'
_ENDS = 3
# Instances that had a request at an upstream, and those that answer a request
# with the shared part before they hear that others did.
_AT_UPSTREAM = 10
_ANSWERING = 40
# Longer than a part is observed before its quarantine, in seconds.
_OBSERVED_S = 1.1


class _Evidence:
    """Ends of upstreams, and answers, in a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._numbers = iter(range(1000))

    async def end(self) -> None:
        """End an upstream with ten requests, one with the fatal part."""
        name = f'u{next(self._numbers)}'
        for number in range(_AT_UPSTREAM):
            middle = f'svc/middle{number}' if number else _FATAL
            run = InterruptedRun(
                f'{name}/{number}',
                1,
                tuple(
                    PartEnds(one.part, one.ends + 1)
                    for one in self._known(number, (_SHARED, middle))
                ),
            )
            self._fleet.sees_end(HUBS + number, run, name)
        await self._settle()

    async def answer(self) -> None:
        """Answer requests with the shared part at many instances at once."""
        sent_at = asyncio.get_running_loop().time()
        for number in range(_ANSWERING):
            parts = self._known(number, (_SHARED, f'svc/other{number}'))
            permit = Permit(Fingerprint(''), sent_at, 0, parts)
            self._fleet.guards[number].established(permit)
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(2):
            self._fleet.deliver()
            await asyncio.sleep(FORWARDED_S)
        self._fleet.deliver()
        self._fleet.now += _OBSERVED_S / 2

    def _known(
        self, number: int, parts: tuple[str, ...]
    ) -> tuple[PartEnds, ...]:
        quarantine = self._fleet.guards[number]._parts  # noqa: SLF001
        return quarantine.known_ends(parts)


@pytest.mark.parametrize('size', [195, 410])
async def test_all_instances_refuse_the_fatal_part_alone(size: int) -> None:
    async with open_store() as (_, address):
        fleet = Fleet(size, new_recorder(address))
        evidence = _Evidence(fleet)
        for _ in range(_ENDS):
            await evidence.end()
            await evidence.answer()
        fleet.guards[HUBS]._parts.judge()  # noqa: SLF001
        fleet.deliver()
        await asyncio.sleep(FORWARDED_S)
        fleet.deliver()
        for guard in fleet.guards:
            with pytest.raises(RefusedError):
                await guard.admit(Fingerprint('x', (_SHARED, _FATAL)))
            assert not await guard.admit(Fingerprint('x', (_SHARED,)))
        # Each instance gets one batch from each hub for an end, its answers and
        # the verdict, and those that saw something send one to each hub.
        rounds = 2 * _ENDS + 1
        assert fleet.batches <= rounds * HUBS * (size + _ANSWERING)
