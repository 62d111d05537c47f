"""Scenarios: engines, requests, load and faults, from a TOML file.

All times are seconds from the start, lengths are tokens. A file is checked in
full before anything runs.
"""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]


class ScenarioError(ValueError):
    """A file that is no valid scenario; says which key is wrong."""


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all sections have in common."""


class Slowdowns(_Section, frozen=True):
    """Temporary slowdowns of engines by other workloads on their machines.

    share: part of the time that an engine is slowed. factor: of all its times.
    mean_s: mean duration of a slowdown; durations are exponential.
    """

    share: Annotated[float, msgspec.Meta(gt=0, lt=1)]
    factor: Annotated[float, msgspec.Meta(ge=1)]
    mean_s: Positive


class Engines(_Section, frozen=True):
    """The engines of the service.

    speeds: factors of all times, one engine after the other takes the next.
    step_s, step_per_run_s: time of a step, and more for each run. read_s:
    time to read a token of a prompt, and read_pair_s for each pair of tokens.
    chunk_tokens: read in one step. first_s: from the end of reading to the
    first event. event_tokens: tokens in an event. slowdowns: none if left out;
    if given, engines report their load.
    """

    count: Count
    places: Count
    queue: int
    speeds: tuple[Positive, ...]
    step_s: Positive
    step_per_run_s: Amount
    read_s: Positive
    read_pair_s: Amount
    chunk_tokens: Count
    first_s: Amount
    event_tokens: Count
    memory_tokens: Count
    slowdowns: Slowdowns | None = None


class Length(_Section, frozen=True):
    """A length that is drawn: log-normal with this mean and spread."""

    mean: Positive
    spread: Amount = 0
    longest: Positive = 1_000_000


class Kind(_Section, frozen=True):
    """One kind of request.

    per_s: how many arrive. worth, late_worth: what an answer in time and a
    late one are worth. stated: how many times the events that come a caller
    states. returns: how often a caller comes back after a refusal. honoured:
    part of the time that it has left after which it comes back at the latest.
    attempts: the most engines it may be sent to.
    """

    name: str
    per_s: Positive
    prompt: Length
    events: Length
    objective_s: Positive
    pause_s: Amount
    timeout_s: Positive
    worth: Amount
    late_worth: Amount
    urgency: int
    stated: Positive = 1
    returns: int = 1
    honoured: Part = 1
    attempts: Count = 1


class Burst(_Section, frozen=True):
    """More arrivals for a while, of one kind or of all."""

    at_s: Amount
    for_s: Positive
    times: Amount
    kind: str = ''


class Fault(_Section, frozen=True):
    """What goes wrong for a while.

    crash: `count` engines end and start again at the end. fail, lose, reject:
    each request fails, has its answer lost or is rejected, by this chance on
    `count` engines. restart: `count` instances forget what they know, at once.
    split: the instances are cut into `count` groups that do not hear each
    other.
    """

    kind: Literal['crash', 'fail', 'lose', 'reject', 'restart', 'split']
    at_s: Amount
    for_s: Positive
    count: Count = 1
    chance: Part = 0


class Scenario(_Section, frozen=True):
    """One service under a load.

    warm_s: what comes before is not counted. clump: requests that arrive
    together, on the average. instances: entry instances,
    among which arrivals are spread. ask_s: time to ask an owner. lapse_s: time
    after which a crashed engine is no longer named. arrivals: a recorded file
    of log lines to take arrivals from, in place of drawing them.
    """

    name: str
    seconds: Positive
    engines: Engines
    kinds: tuple[Kind, ...]
    warm_s: Amount = 0
    clump: Annotated[float, msgspec.Meta(ge=1)] = 1
    instances: Count = 6
    ask_s: Amount = 0.003
    lapse_s: Amount = 1.5
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    arrivals: str = ''


def load_scenario(path: pathlib.Path) -> Scenario:
    """Return the scenario of a file; raise ScenarioError."""
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as exc:
        raise ScenarioError(f'{path}: {exc.strerror}') from exc
    except tomllib.TOMLDecodeError as exc:
        raise ScenarioError(f'{path}: {exc}') from exc
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as exc:
        raise ScenarioError(f'{path}: {exc}') from exc
    _check(path, scenario)
    return scenario


def _check(path: pathlib.Path, scenario: Scenario) -> None:
    """Check what one section says of another one."""
    named = {kind.name for kind in scenario.kinds}
    for burst in scenario.bursts:
        if burst.kind and burst.kind not in named:
            raise ScenarioError(f'{path}: no kind {burst.kind!r} for a burst')
    for fault in scenario.faults:
        if fault.kind == 'restart' and fault.count > scenario.instances:
            raise ScenarioError(f'{path}: more restarts than instances')
