"""When requests arrive and how long they are, drawn by seed or recorded."""

from __future__ import annotations

import math
import pathlib
import random
from collections.abc import Iterator

import msgspec
from tallyhall_core.events import Event
from tallyhall_entry.explain import read_line

from .scenario import Burst, Kind, Length, Scenario, ScenarioError

# The least length of anything, in tokens or events.
_LEAST = 1


class Arrival(msgspec.Struct, frozen=True):
    """One request: when, of what kind, tokens to read, events to come."""

    number: int
    at_s: float
    kind: Kind
    prompt_tokens: int
    events: int


def arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all requests in the order in which they come."""
    rng = random.Random(seed)
    if scenario.arrivals:
        times = _recorded(scenario)
    else:
        times = [
            (at_s, kind)
            for kind in scenario.kinds
            for at_s in _times(scenario, kind, rng)
        ]
    times.sort(key=lambda one: one[0])
    return [
        Arrival(
            number,
            at_s,
            kind,
            draw(kind.prompt, rng),
            draw(kind.events, rng),
        )
        for number, (at_s, kind) in enumerate(times)
    ]


def draw(length: Length, rng: random.Random) -> int:
    """Return a length of this mean, spread as a log-normal."""
    if not length.spread:
        return round(length.mean)
    variance = math.log(1 + length.spread**2)
    middle = math.log(length.mean) - variance / 2
    drawn = rng.lognormvariate(middle, math.sqrt(variance))
    return max(_LEAST, round(min(drawn, length.longest)))


def _times(
    scenario: Scenario,
    kind: Kind,
    rng: random.Random,
) -> Iterator[float]:
    """Yield the times of a process whose rate bursts raise.

    Clumps come as a Poisson process; the number in one is geometric.
    """
    bursts = [one for one in scenario.bursts if one.kind in {'', kind.name}]
    clumps_per_s = kind.per_s / scenario.clump
    most = clumps_per_s * math.prod(max(1, one.times) for one in bursts)
    at_s: float = 0
    while True:
        at_s += rng.expovariate(most)
        if at_s >= scenario.seconds:
            return
        if rng.random() * most >= clumps_per_s * _times_at(bursts, at_s):
            continue
        yield at_s
        while rng.random() * scenario.clump > 1:
            yield at_s


def _times_at(bursts: list[Burst], at_s: float) -> float:
    return math.prod(
        one.times for one in bursts if one.at_s <= at_s < one.at_s + one.for_s
    )


def _recorded(scenario: Scenario) -> list[tuple[float, Kind]]:
    """Return times and kinds of the admitted lines of a log.

    A kind is called as its route. Lines of other routes are passed over.
    """
    kinds = {kind.name: kind for kind in scenario.kinds}
    found: list[tuple[float, Kind]] = []
    try:
        texts = pathlib.Path(scenario.arrivals).read_text(encoding='utf-8')
    except OSError as exc:
        raise ScenarioError(f'arrivals: {scenario.arrivals}: {exc}') from exc
    for text in texts.splitlines():
        line = read_line(text)
        if line is None or line.event != Event.admitted.name:
            continue
        kind = kinds.get(line.fields['route'])
        if kind is not None:
            found.append((line.at_s, kind))
    if not found:
        raise ScenarioError(
            f'arrivals: {scenario.arrivals} has no admitted line of any kind',
        )
    first_at = min(at for at, _ in found)
    return [(at - first_at, kind) for at, kind in found]
