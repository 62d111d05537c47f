"""A deadly part behind the sixteenth part of a prompt is never quarantined."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-2'))

from client import KEY  # noqa: E402
from deadly import CONTACT_S, Mortal, load  # noqa: E402
from fleet import Fleet, Record, main, route, service  # noqa: E402

# Parts that all prompts share, before the deadly one. A part's id is
# hexadecimal; 16 digits here. PARTS and DIGITS vary this for the control runs.
SHARED = int(os.environ.get('PARTS', '17'))
DIGITS = int(os.environ.get('DIGITS', '16'))
ENGINES = 6
SOUND_PER_S = 15.0
DEADLY_PER_S = 3.0
QUIET_S = 4.0
DEADLY_S = 30.0


def part(number: int) -> str:
    return f'{number + 0xA0:02x}'.rjust(DIGITS, '5')


def state() -> dict:
    return {
        'version': 1,
        'routes': [route('sum', 'streaming', 'llm', resumable=True)],
        'services': [service('llm', engine={'stride': 5})],
        'tenants': [{'name': 'shop', 'api-keys': [KEY], 'unit': 'tokens'}],
    }


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    loop = asyncio.get_running_loop()
    shared = [part(number) for number in range(SHARED)]
    deadly = part(99)
    crashes: list[float] = []
    await fleet.begin(state())
    for number in range(ENGINES):
        one = Mortal(f'llm-{number}', 'llm')
        one.deadly, one.crashes, one.fleet = deadly, crashes, fleet
        one.first_s, one.event_s = 0.1, 0.02
        await fleet.add_engine(one)
    for zone in ('a', 'a', 'b'):
        await fleet.add_entry(zone)
    await fleet.until_ready()
    began = loop.time()
    ends_at = began + QUIET_S + DEADLY_S
    sound: list = []
    sent: list = []
    loads = [load(fleet, random.Random(1), lambda: shared, SOUND_PER_S, ends_at, sound, 's')]

    async def send_deadly() -> None:
        await asyncio.sleep(QUIET_S)
        parts = [*shared, deadly]
        await load(fleet, random.Random(2), lambda: parts, DEADLY_PER_S, ends_at, sent, 'd')

    if trouble:
        loads.append(send_deadly())
    await asyncio.gather(*loads)
    return judge(fleet, record, sound, sent, crashes, began)


def judge(fleet, record, sound, sent, crashes, began) -> bool:
    reached = {run.request_id: run.at for one in fleet.engines for run in one.runs if run.ran}
    for at in crashes:
        record(f'{at - began:8.3f} an engine crashes')
    for one in sorted([*sound, *sent], key=lambda each: each.at):
        record(f'{one.line(began)} ran={one.request_id in reached}')
    known_at = float('inf')
    if len(crashes) >= 5:
        known_at = crashes[4] + CONTACT_S
    late = [one for one in sent if one.at > known_at and one.request_id in reached]
    cut = [one for one in sound if one.at > known_at and one.begun and not one.whole]
    failed = [one for one in sound if one.at > known_at and one.status == 502]
    record.say(
        f'{len(crashes)} crashes of engines; {len(late)} requests with the deadly '
        f'part, sent later than contact-ms after the fifth, reached engines; of '
        f'{len([one for one in sound if one.at > known_at])} sound requests sent '
        f'since then {len(cut)} were broken off and {len(failed)} got 502'
    )
    return len(late) > 3


# TROUBLE=0 plays the same without the disruption.
main(__file__, play, trouble=os.environ.get('TROUBLE', '1') != '0')
