"""Scenarios: what arrives, at which upstreams, and what goes wrong.

A TOML file, checked in full before anything starts. All times are seconds
from the start of the load; lengths are tokens.
"""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Literal

import pydantic

Count = Annotated[int, pydantic.Field(ge=0, le=100_000)]
Seconds = Annotated[float, pydantic.Field(ge=0, le=3600)]
Rate = Annotated[float, pydantic.Field(ge=0, le=10_000)]


class ScenarioError(ValueError):
    """A file that is no valid scenario; says which key is wrong."""


class Section(pydantic.BaseModel):
    """What all sections have in common."""

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')


class TierSpec(Section):
    """One tier of the run's table."""

    name: str
    deadline_s: Seconds
    goodput_weight: float = 1


class EngineGroup(Section):
    """Upstreams of one service; one for each speed (1 is the usual)."""

    service: str
    kind: Literal['engine', 'plain']
    speeds: tuple[float, ...]
    lag_s: Seconds = 1
    cache_tokens: Count = 32_768
    call_s: Seconds = 0.02


class Stream(Section):
    """One kind of request of one workspace.

    rate: requests a second, Poisson; bursts come on top: `burst` requests at
    `burst_at`. shared_tokens of the prompt are common to one of `groups`.
    """

    service: str
    kind: Literal['model', 'plain'] = 'model'
    workspace: str
    tier: str
    rate: Rate
    burst: Count = 0
    burst_at: Seconds = 0
    prompt_tokens: Count = 60
    shared_tokens: Count = 0
    groups: Annotated[int, pydantic.Field(ge=1)] = 1
    max_tokens: Count = 16
    idempotent: bool = True


class FaultSpec(Section):
    """One thing that goes wrong at a time; `until` ends it."""

    at: Seconds
    kind: Literal['slow_engine', 'kill_entry', 'kv_down', 'freeze_entry']
    target: str = ''
    factor: float = 5
    until: Seconds = 3600


class Scenario(Section):
    """A whole run. load: factor on every rate and burst."""

    name: str
    seed: int = 1
    duration_s: Seconds
    load: float = 1
    instances: Annotated[int, pydantic.Field(ge=1, le=20)] = 3
    repeats: Annotated[int, pydantic.Field(ge=1, le=20)] = 1
    tiers: tuple[TierSpec, ...]
    upstreams: tuple[EngineGroup, ...]
    streams: tuple[Stream, ...]
    faults: tuple[FaultSpec, ...] = ()

    @property
    def weights(self) -> dict[str, float]:
        """Return the weight of each tier's goodput."""
        return {tier.name: tier.goodput_weight for tier in self.tiers}


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read and check a file; `base` names a file that it extends."""
    try:
        fields = _read(path)
        return Scenario.model_validate(fields)
    except OSError as exc:
        raise ScenarioError(f'{path}: {exc.strerror}') from exc
    except pydantic.ValidationError as exc:
        fault = exc.errors()[0]
        key = '.'.join(str(part) for part in fault['loc'])
        raise ScenarioError(f'{path}: {key}: {fault["msg"]}') from exc
    except ValueError as exc:
        raise ScenarioError(f'{path}: {exc}') from exc


def _read(path: pathlib.Path) -> dict[str, object]:
    fields = tomllib.loads(path.read_text(encoding='utf-8'))
    base = fields.pop('base', None)
    if base is None:
        return fields
    return {**_read(path.parent / str(base)), **fields}
